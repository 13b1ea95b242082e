// Package claim makes non-idempotent requests run at most once.
//
// Before a byte of such a request is sent, its node commits a claim for (workspace, service, idempotency key). Machine
// is the replicated side; Client is what a node calls.
//
// Invariants:
//   - Of all claims on a key only one is granted, until it is released by its owner or its retention has passed.
//   - Only the owner, known by its token, completes, loses or releases a claim.
//   - An unresolved claim past its deadline counts as lost: its outcome is unknown, and it is not granted again.
package claim
