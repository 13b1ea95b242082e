package consensus

import (
	"cmp"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// EntryKind tells what an Entry carries.
type EntryKind uint8

// Kinds of entries; the numbers are part of the log's format.
const (
	// EntryNoop carries the id of the leader that appends it; a new leader commits one to commit the entries of earlier
	// terms. Earlier versions left it empty.
	EntryNoop EntryKind = 1
	// EntryCommand carries a command of the driver.
	EntryCommand EntryKind = 2
	// EntryMembership carries an encoded Membership, in effect from its append on.
	EntryMembership EntryKind = 3
)

// Entry is one position of the replicated log.
type Entry struct {
	Index camphorhinge.Index
	Term  camphorhinge.Term
	Kind  EntryKind
	Data  []byte
}

// HardState is the part of a replica's state, besides log and snapshot, that must survive a restart.
type HardState struct {
	Term camphorhinge.Term
	// Vote is the replica voted for in Term, or 0.
	Vote camphorhinge.ReplicaID
}

// Member is one replica of a Membership.
type Member struct {
	ID camphorhinge.ReplicaID
	// Voter is false for a learner, which gets the log but doesn't count towards a quorum.
	Voter bool
	// Address is the peer address for the driver's transport; the Core doesn't read it.
	Address string
}

// Membership lists the replicas of the group, sorted by ID.
type Membership struct {
	Members []Member
}

// Find returns the member with the given id.
func (m Membership) Find(id camphorhinge.ReplicaID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(m.Members, id, compareMember)
	if !ok {
		return Member{}, false
	}
	return m.Members[i], true
}

// Voters returns the ids of the voters, sorted.
func (m Membership) Voters() []camphorhinge.ReplicaID {
	var ids []camphorhinge.ReplicaID
	for _, x := range m.Members {
		if x.Voter {
			ids = append(ids, x.ID)
		}
	}
	return ids
}

func (m Membership) isVoter(id camphorhinge.ReplicaID) bool {
	x, ok := m.Find(id)
	return ok && x.Voter
}

// with returns a copy in which x replaces the member of equal id or is added.
func (m Membership) with(x Member) Membership {
	out := slices.Clone(m.Members)
	i, ok := slices.BinarySearchFunc(out, x.ID, compareMember)
	if ok {
		out[i] = x
	} else {
		out = slices.Insert(out, i, x)
	}
	return Membership{Members: out}
}

func (m Membership) without(id camphorhinge.ReplicaID) Membership {
	return Membership{Members: slices.DeleteFunc(slices.Clone(m.Members), func(x Member) bool { return x.ID == id })}
}

func compareMember(m Member, id camphorhinge.ReplicaID) int {
	return cmp.Compare(m.ID, id)
}

// SnapshotMeta describes the position of a snapshot.
type SnapshotMeta struct {
	// Index and Term are those of the last entry that the snapshot covers.
	Index camphorhinge.Index
	Term  camphorhinge.Term
	// Membership is the one in effect at Index; MembershipIndex is the index of its entry.
	Membership      Membership
	MembershipIndex camphorhinge.Index
}

// Snapshot is the state of the machine at a position of the log.
type Snapshot struct {
	SnapshotMeta
	// Data is the encoded state of the driver's machine.
	Data []byte
}

// MessageType tells the purpose of a Message.
type MessageType uint8

// Types of messages; the numbers are part of the protocol between replicas.
const (
	// MessagePreVote asks whether a vote at Term would be granted.
	MessagePreVote MessageType = 1
	// MessagePreVoteReply answers a MessagePreVote.
	MessagePreVoteReply MessageType = 2
	// MessageVote asks for a vote at Term.
	MessageVote MessageType = 3
	// MessageVoteReply answers a MessageVote.
	MessageVoteReply MessageType = 4
	// MessageAppend carries entries after Index.
	MessageAppend MessageType = 5
	// MessageAppendReply acknowledges the log up to Index, or rejects.
	MessageAppendReply MessageType = 6
	// MessageHeartbeat tells that the leader is alive and starts a round.
	MessageHeartbeat MessageType = 7
	// MessageHeartbeatReply answers a round.
	MessageHeartbeatReply MessageType = 8
	// MessageTimeoutNow asks the receiver to take over leadership.
	MessageTimeoutNow MessageType = 9
)

// Message is sent from one replica to another.
type Message struct {
	Type MessageType
	From camphorhinge.ReplicaID
	To   camphorhinge.ReplicaID
	Term camphorhinge.Term
	// Index is the entry before Entries in an append, the last entry in a vote request, the highest synced and matching
	// entry in an append reply, and the refused Index in a rejecting one.
	Index camphorhinge.Index
	// LogTerm is the term of the entry at Index; in a rejecting append reply that of the entry at Hint.
	LogTerm camphorhinge.Term
	// Commit is the highest committed index that the receiver may rely on.
	Commit camphorhinge.Index
	// Round numbers the heartbeat rounds of one leader and is echoed by the reply.
	Round uint64
	// Reject marks a refusing reply.
	Reject bool
	// Hint is where logs may still match after a rejected append.
	Hint camphorhinge.Index
	// Force marks a vote request of a leadership transfer; the sender of the lease has given it up.
	Force bool
	// Former marks a request for a vote or pre-vote by the replica that led the term before, until it restarted. Its lease
	// ended with its process.
	Former bool
	// Entries follow Index without a gap.
	Entries []Entry
}

// Timing holds the durations of the protocol, in the replica's own clock.
type Timing struct {
	// Heartbeat is the time between two heartbeat rounds.
	Heartbeat time.Duration
	// ElectionMin is the shortest election timeout, for which votes are refused after hearing from a leader.
	ElectionMin time.Duration
	// ElectionMax is the longest election timeout.
	ElectionMax time.Duration
	// Lease is how long the leader's lease lasts from the sending of a heartbeat round that a majority answered.
	// Lease times 1.1 must be below ElectionMin, since clock rates may differ by 10 %. For that time votes are refused
	// after a restart.
	Lease time.Duration
	// Resend is the time without an acknowledgement after which entries are sent again.
	Resend time.Duration
}

// restartWait is how long a lease that a replica supported before its restart may last at most.
func (t Timing) restartWait() time.Duration { return t.Lease * 11 / 10 }

// DefaultTiming returns the durations of the design page.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   100 * time.Millisecond,
		ElectionMin: 1000 * time.Millisecond,
		ElectionMax: 1500 * time.Millisecond,
		Lease:       700 * time.Millisecond,
		Resend:      300 * time.Millisecond,
	}
}

// Limits bounds memory and message sizes.
type Limits struct {
	// MessageBytes bounds the data of the entries of one append, which holds at least one entry.
	MessageBytes int
	// MessageEntries bounds the number of entries of one append.
	MessageEntries int
	// Inflight bounds the unacknowledged appends per receiver.
	Inflight int
	// UncommittedBytes bounds the data of uncommitted entries; proposals above it are refused with KindBusy.
	UncommittedBytes int
	// PromoteLag is how many entries a learner may miss of the committed log when it is promoted.
	PromoteLag camphorhinge.Index
}

// DefaultLimits returns limits for entries of a few kilobytes on small VMs.
func DefaultLimits() Limits {
	return Limits{
		MessageBytes:     256 << 10,
		MessageEntries:   1024,
		Inflight:         16,
		UncommittedBytes: 8 << 20,
		PromoteLag:       64,
	}
}

// Config holds what a Core starts from.
type Config struct {
	ID camphorhinge.ReplicaID
	// Now is the time of the start; for the time of a lease after it a vote is granted only to the former leader.
	Now camphorhinge.Instant
	// Seed seeds the random election timeouts.
	Seed   uint64
	Timing Timing
	Limits Limits
	// HardState, Snapshot and Entries are what storage holds after a restart. Entries before the snapshot's end are skipped.
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
}

// Ready is what the driver has to do after a batch of inputs.
type Ready struct {
	// Write numbers the writes below; it is 0 when there are none. It is passed to Synced.
	Write uint64
	// Snapshot, if any, replaces the stored log and the state of the machine; it is written before Entries.
	Snapshot *Snapshot
	// HardState is nil when unchanged.
	HardState *HardState
	// Entries are appended to the stored log; stored entries at or after the index of the first one are replaced.
	Entries []Entry
	// Messages may be sent at once.
	Messages []Message
	// Committed are the next entries to apply; they are synced on this replica.
	Committed []Entry
	// SendSnapshots names replicas that need the latest stored snapshot; SnapshotSent reports the result.
	SendSnapshots []SnapshotRequest
	// Reads are the read requests that are confirmed now.
	Reads []ReadState
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Write == 0 && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.SendSnapshots) == 0 &&
		len(r.Reads) == 0
}

// SnapshotRequest asks the driver to send its latest stored snapshot.
type SnapshotRequest struct {
	To   camphorhinge.ReplicaID
	Term camphorhinge.Term
	// Index is the least index of the snapshot.
	Index camphorhinge.Index
}

// ReadState confirms that state which includes the entry at Index answers the read.
type ReadState struct {
	ID    uint64
	Index camphorhinge.Index
	// Failed is true when leadership was lost; the read has to be asked again.
	Failed bool
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

const (
	// AddLearner adds a replica that gets the log without a vote.
	AddLearner ChangeKind = 1
	// Promote makes a learner that is caught up a voter.
	Promote ChangeKind = 2
	// Remove takes a replica out of the group; the leader itself can't be removed.
	Remove ChangeKind = 3
)

// Change is one step of the membership.
type Change struct {
	Kind ChangeKind
	ID   camphorhinge.ReplicaID
	// Address is used by AddLearner.
	Address string
}

// Role is the part that a replica plays in its term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "unknown"
}

// Status is a copy of a Core's state.
type Status struct {
	ID      camphorhinge.ReplicaID
	Role    Role
	Term    camphorhinge.Term
	Leader  camphorhinge.ReplicaID
	Commit  camphorhinge.Index
	Applied camphorhinge.Index
	Last    camphorhinge.Index
	// Durable is the last entry synced on this replica.
	Durable camphorhinge.Index
	First   camphorhinge.Index
	// Membership is the one in effect, of the entry at MembershipIndex.
	Membership      Membership
	MembershipIndex camphorhinge.Index
	// Progress is filled on the leader.
	Progress []ProgressStatus
}

// ProgressStatus is the leader's view of one replica.
type ProgressStatus struct {
	ID camphorhinge.ReplicaID
	// Match is the last entry known to be synced there.
	Match camphorhinge.Index
	// LastReply is when the replica answered last.
	LastReply camphorhinge.Instant
	// Snapshot is true while a snapshot is being sent.
	Snapshot bool
}
