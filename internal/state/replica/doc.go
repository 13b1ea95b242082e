// Package replica runs one replica of the durable state: it drives consensus over a log on disk, hands committed commands
// to the machine of their kind, batches proposals, and answers linearizable reads.
//
// One goroutine owns the consensus Core and the machines, another one the log. All writes that wait while a sync runs
// share the next one; meanwhile heartbeats and messages go on. A failed write or sync ends Run, and the replica must not
// be used any more.
//
// Invariants: a result of Propose is returned only after the command is synced on a majority and applied here;
// Authority is valid at one replica at a time; OnLeader is called after the machines hold all that earlier leaders
// committed.
package replica
