// Package consensus is the replicated log of the durable state as a pure state machine: pre-vote, votes, check-quorum, a
// leader lease, replication, snapshots, learners, single-step membership changes, leadership transfer and linearizable
// reads.
//
// A Core has no goroutine, no clock and no file. The driver feeds it with the time, messages, proposals and
// confirmations of syncs, and after each batch of inputs calls Ready. The contract of the driver:
//
//   - It writes the Snapshot, HardState and Entries of each Ready in the order of the Ready calls, syncs them, and then
//     calls Synced with Ready.Write. Several writes may share one sync and one call. A failed sync is fatal: the Core
//     must not be used any more.
//   - It may send Ready.Messages at once. Messages that reveal unsynced state are held back by the Core and appear in a
//     Ready after Synced.
//   - It applies Ready.Committed in order, exactly once. A Ready.Snapshot replaces the state of the machine before the
//     entries of later Readys are applied.
//   - The times that it passes are from one monotonic clock which counts suspended time.
//
// Invariants: at most one leader per term; entries of equal index and term are equal, and so is all before them; a
// committed entry is in the log of each later leader; at most one Core holds a valid lease at any time, provided that
// clock rates differ by at most 10 %.
package consensus
