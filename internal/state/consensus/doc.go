// Package consensus implements the replicated log of the durable state, a variant of Raft, as a pure state machine:
// pre-vote, votes, check-quorum, a leader lease, replication, snapshots, learners, single-step membership changes,
// leadership transfer and linearizable reads.
//
// A Core uses no goroutine, clock or file of its own. The driver passes it the time, messages, proposals and
// confirmations of syncs, and calls Ready after each batch of inputs. The contract of the driver:
//
//   - It writes the Snapshot, HardState and Entries of each Ready in the order of the Ready calls, syncs them, and then
//     calls Synced with Ready.Write. Several writes may share one sync and one call. After a failed sync the Core must
//     not be used any more.
//   - It may send Ready.Messages at once. The Core defers messages that reveal unsynced state to a Ready after Synced.
//   - It applies Ready.Committed in order, exactly once. A Ready.Snapshot replaces the state of the machine before the
//     entries of later Readys are applied.
//   - The times that it passes come from one monotonic clock that includes suspended time.
//
// Invariants: each term has at most one leader; entries of equal index and term are equal, and so are all entries
// before them; a committed entry is in the log of each later leader; at most one Core holds a valid lease at any time,
// provided that clock rates differ by at most 10 %.
package consensus
