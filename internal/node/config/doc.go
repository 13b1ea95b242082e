// Package config makes "accepted" mean "in force everywhere": the leader grants each entry node a configuration lease
// and holds the acceptance of a change until no node can serve by an older configuration.
//
// Leases runs on the leader, Holder on each node. Invariant: a node that serves new requests by revision r has a lease
// that ended at most StaleLimit ago, and Leases.Wait(r+1) has not returned.
package config
