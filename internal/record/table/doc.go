// Package table holds the accepted records: the replicated Table, and the Mirror of nodes without a replica.
//
// A write names a kind, a name and a version, and is accepted only when its version is above all earlier ones of that
// name. A resend of an accepted write gets the same success and revision, also after later versions or a withdrawal;
// any other write of a used version is a conflict that names the write that won. Each accepted write raises the
// revision by one.
//
// The table does not validate documents when it applies a command, because replicas of two program versions must reach
// the same state; validation happens before a command is proposed. A document that the running version can't decode is
// kept and handed on, and its earlier decoded form stays in the View.
//
// Invariants: the revision never falls; the versions of a name strictly rise; equal commands in equal order give equal
// snapshots.
package table
