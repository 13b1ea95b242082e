// Package transport sends consensus messages and snapshots between replicas over the peer port.
//
// Messages may be lost, which consensus tolerates: a full queue drops the newest messages, and a failed call drops its
// batch.
package transport
