// Package replica runs one replica of the durable state: it drives a consensus.Core over a log on disk, applies
// committed commands to the machine of their kind, batches proposals, and serves linearizable reads.
//
// One goroutine, the loop, owns the Core and the machines; another one, the writer, owns the log. Writes that arrive
// during a sync share the next one, and heartbeats and messages continue meanwhile. A failed write or sync ends Run,
// after which the replica must not be used.
//
// Invariants: Propose returns a result only after the command is synced on a majority and applied on this replica;
// Authority is valid on at most one replica at a time; OnLeader is called after the machines have applied all entries
// that earlier leaders committed.
package replica
