// Package config ensures that an accepted change is in force on all nodes: the leader grants each entry node a
// configuration lease, and delays the acceptance of a change until no node can serve by an older configuration.
//
// Leases runs on the leader, Lease on each node. Invariant: if a node serves new requests by revision r, its lease is
// valid or ended less than StaleLimit ago, and Leases.Wait has not returned for any later revision.
package config
