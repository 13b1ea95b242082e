package consensus

import (
	"cmp"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// EntryKind says how the Data of an Entry is interpreted.
type EntryKind uint8

// Kinds of entries; the numbers are part of the log's format.
const (
	// EntryNoop carries the id of the leader that appends it at the start of its term. Committing it commits the entries
	// of earlier terms. Earlier versions left the data empty.
	EntryNoop EntryKind = 1
	// EntryCommand carries a command of the driver.
	EntryCommand EntryKind = 2
	// EntryMembership carries an encoded Membership, which takes effect when it is appended.
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
	// Voter is false for a learner, which receives the log but doesn't count towards a quorum.
	Voter bool
	// Address is the peer address for the driver's transport; the Core doesn't use it.
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

// without returns a copy that lacks the member with the given id.
func (m Membership) without(id camphorhinge.ReplicaID) Membership {
	return Membership{Members: slices.DeleteFunc(slices.Clone(m.Members), func(x Member) bool { return x.ID == id })}
}

func compareMember(m Member, id camphorhinge.ReplicaID) int {
	return cmp.Compare(m.ID, id)
}

// SnapshotMeta is the metadata of a snapshot: its position in the log and the membership there.
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

// MessageType is the purpose of a Message and says which of its fields are set.
type MessageType uint8

// Types of messages; the numbers are part of the protocol between replicas.
const (
	// MessagePreVote asks whether the receiver would vote for the sender in Term.
	MessagePreVote MessageType = 1
	// MessagePreVoteReply replies to a MessagePreVote.
	MessagePreVoteReply MessageType = 2
	// MessageVote requests a vote in Term.
	MessageVote MessageType = 3
	// MessageVoteReply replies to a MessageVote.
	MessageVoteReply MessageType = 4
	// MessageAppend carries entries after Index.
	MessageAppend MessageType = 5
	// MessageAppendReply acknowledges the log up to Index, or rejects an append.
	MessageAppendReply MessageType = 6
	// MessageHeartbeat is a leader's request for a reply in a heartbeat round.
	MessageHeartbeat MessageType = 7
	// MessageHeartbeatReply replies to a MessageHeartbeat, or reports a newer term to the sender of an old one.
	MessageHeartbeatReply MessageType = 8
	// MessageTimeoutNow asks the receiver to start an election at once, as part of a leadership transfer.
	MessageTimeoutNow MessageType = 9
)

// Message is a protocol message from one replica to another.
type Message struct {
	Type MessageType
	From camphorhinge.ReplicaID
	To   camphorhinge.ReplicaID
	Term camphorhinge.Term
	// Index is the entry before Entries in an append, the last entry in a vote request, the highest synced and matching
	// entry in an append reply, and the Index of the rejected append in a rejecting one.
	Index camphorhinge.Index
	// LogTerm is the term of the entry at Index, or in a rejecting append reply of the entry at Hint.
	LogTerm camphorhinge.Term
	// Commit is the highest index that the receiver may treat as committed.
	Commit camphorhinge.Index
	// Round is the number of the leader's heartbeat round; replies repeat it.
	Round uint64
	// Reject marks a reply that refuses the request.
	Reject bool
	// Hint is the highest index at which the logs may match after a rejected append.
	Hint camphorhinge.Index
	// Force marks a vote request of a leadership transfer, before which the leader has given up its lease.
	Force bool
	// Former marks a vote or pre-vote request of the replica that led the previous term until it restarted. Its lease
	// ended with its process.
	Former bool
	// Entries have consecutive indexes from Index+1 on.
	Entries []Entry
}

// Timing holds the durations of the protocol, as measured by each replica's own clock.
type Timing struct {
	// Heartbeat is the time between two heartbeat rounds.
	Heartbeat time.Duration
	// ElectionMin is the shortest election timeout. Votes are refused for this long after a message of a leader.
	ElectionMin time.Duration
	// ElectionMax is the longest election timeout.
	ElectionMax time.Duration
	// Lease is how long the leader's lease lasts, counted from sending a heartbeat round with replies from a majority.
	// Lease times 1.1 must be below ElectionMin, since clock rates may differ by 10 %. Votes are refused for Lease times
	// 1.1 after a restart.
	Lease time.Duration
	// Resend is the time without an acknowledgement after which entries are resent.
	Resend time.Duration
}

// restartWait returns how long a lease that a replica supported before its restart may still be valid.
func (t Timing) restartWait() time.Duration { return t.Lease * 11 / 10 }

// DefaultTiming returns the durations of the design document, for drivers that configure no others.
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
	// MessageBytes bounds the data of the entries in one append; a single larger entry is sent alone.
	MessageBytes int
	// MessageEntries bounds the number of entries of one append.
	MessageEntries int
	// Inflight bounds the number of unacknowledged appends per receiver.
	Inflight int
	// InflightBytes bounds the data of the unacknowledged appends per receiver; a single larger append is sent alone. 0 means no
	// limit.
	InflightBytes int
	// UncommittedBytes bounds the data of uncommitted commands; a proposal that would exceed it while others are
	// uncommitted is refused with KindBusy.
	UncommittedBytes int
	// PromoteLag is how many committed entries a learner may lack when it is promoted.
	PromoteLag camphorhinge.Index
}

// DefaultLimits returns limits for entries of a few kilobytes on small VMs. InflightBytes is the product of Inflight and MessageBytes, so
// that it matters only for entries that are larger than MessageBytes.
func DefaultLimits() Limits {
	return Limits{
		MessageBytes:     256 << 10,
		MessageEntries:   1024,
		Inflight:         16,
		InflightBytes:    4 << 20,
		UncommittedBytes: 8 << 20,
		PromoteLag:       64,
	}
}

// Config holds the settings and the stored state from which New creates a Core.
type Config struct {
	ID camphorhinge.ReplicaID
	// Now is the time of the start. Until a lease supported before the restart has expired, votes are granted only to the
	// former leader.
	Now camphorhinge.Instant
	// Seed, together with ID, seeds the random election timeouts.
	Seed   uint64
	Timing Timing
	Limits Limits
	// HardState, Snapshot and Entries are the stored state. Entries that the snapshot covers are skipped.
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
}

// Ready lists the work of the driver after a batch of inputs.
type Ready struct {
	// Write is the number to pass to Synced once Snapshot, HardState and Entries are synced; it is 0 if all are empty.
	Write uint64
	// Snapshot, if not nil, replaces the stored log and the state of the machine; it is written before Entries.
	Snapshot *Snapshot
	// HardState is nil if unchanged.
	HardState *HardState
	// Entries are appended to the stored log; stored entries at or after the index of the first one are replaced.
	Entries []Entry
	// Messages may be sent at once.
	Messages []Message
	// Committed are the next entries to apply; they are synced on this replica.
	Committed []Entry
	// SendSnapshots names replicas that need the latest stored snapshot; the driver reports the result to SnapshotSent.
	SendSnapshots []SnapshotRequest
	// Reads are the read requests that are confirmed now or have failed.
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
	// Index is the lowest acceptable index of the snapshot.
	Index camphorhinge.Index
}

// ReadState is the result of a ReadIndex request: the read may use any state that includes the entry at Index.
type ReadState struct {
	ID    uint64
	Index camphorhinge.Index
	// Failed is true if leadership was lost; the read has to be requested again.
	Failed bool
}

// ChangeKind says what a Change does to the membership.
type ChangeKind uint8

const (
	// AddLearner adds a replica that receives the log without a vote.
	AddLearner ChangeKind = 1
	// Promote makes a learner that has caught up a voter.
	Promote ChangeKind = 2
	// Remove removes a replica other than the leader from the group.
	Remove ChangeKind = 3
)

// Change is a membership change of a single replica.
type Change struct {
	Kind ChangeKind
	ID   camphorhinge.ReplicaID
	// Address is the new member's peer address; only AddLearner uses it.
	Address string
}

// Role is a replica's role in the election protocol; the zero value is Follower.
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

// Status is a copy of a Core's state for drivers and operators.
type Status struct {
	ID     camphorhinge.ReplicaID
	Role   Role
	Term   camphorhinge.Term
	Leader camphorhinge.ReplicaID
	// LeaderContact is when the last message of a legitimate leader arrived, or 0 before the first one.
	LeaderContact camphorhinge.Instant
	Commit        camphorhinge.Index
	Applied       camphorhinge.Index
	// Last is the index of the last entry of the log, synced or not.
	Last camphorhinge.Index
	// Durable is the index of the last entry synced on this replica.
	Durable camphorhinge.Index
	// First is the index of the first entry that is not compacted.
	First camphorhinge.Index
	// Membership is the one in effect, from the entry at MembershipIndex.
	Membership      Membership
	MembershipIndex camphorhinge.Index
	// Progress has an element for each member on the leader and is empty on other replicas.
	Progress []ProgressStatus
}

// ProgressStatus is the replication state of one replica on the leader.
type ProgressStatus struct {
	ID camphorhinge.ReplicaID
	// Match is the index of the last entry known to be synced on the replica.
	Match camphorhinge.Index
	// LastReply is when the replica last replied to the leader, or when the leader began to track it.
	LastReply camphorhinge.Instant
	// Snapshot is true while a snapshot is being sent.
	Snapshot bool
}
