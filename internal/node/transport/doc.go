// Package transport carries consensus messages and snapshots between replicas over the peer port.
//
// Messages may be lost, as consensus allows: a peer's queue that is full drops the newest messages, and a call that fails
// drops its batch.
package transport
