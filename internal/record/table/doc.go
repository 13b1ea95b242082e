// Package table stores the operator's accepted records: Table is the replicated state, Mirror is the read-only copy on
// nodes without a replica.
//
// A write has a kind, a name and a version, and is accepted only when its version is above all earlier versions of that
// kind and name. Resending an accepted write returns the original success and revision, even after later versions or a
// withdrawal; any other write of a used version is a conflict, and its result contains the write that won. Each
// accepted write increments the revision.
//
// The table does not validate documents when it applies a command, because replicas that run different program versions
// must reach the same state; documents are validated before a command is proposed. A document that the running version
// can't decode is stored and distributed unchanged, and the View keeps the previous decoded document.
//
// Invariants: the revision never decreases; the versions of a record strictly increase; the same commands in the same
// order produce the same snapshot.
package table
