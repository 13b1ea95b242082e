// Package claim makes non-idempotent requests run at most once.
//
// Before a node sends the first byte of such a request, it commits a claim for (workspace, service, idempotency key).
// Machine is the replicated state; Client is the interface for a node.
//
// Invariants:
//   - Of all claims on a key at most one is granted, until its owner releases it or its retention has passed.
//   - Only the owner, identified by its token, can complete a claim, mark it as lost or release it.
//   - An unresolved claim past its deadline counts as lost: its outcome is unknown, and it is not granted again.
package claim
