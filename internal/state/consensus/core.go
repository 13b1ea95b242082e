package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// Core is the protocol state of one replica of the log. It is not safe for concurrent use.
type Core struct {
	id      camphorhinge.ReplicaID
	timing  Timing
	limits  Limits
	random  *rand.Rand
	now     camphorhinge.Instant
	started camphorhinge.Instant
	// formerTerm is the term that this replica led before its restart according to its log, or 0.
	formerTerm camphorhinge.Term

	role     Role
	hard     HardState
	leaderID camphorhinge.ReplicaID
	// leaderContact is when the last message of a legitimate leader arrived; hasLeaderContact is false before the first
	// one.
	leaderContact    camphorhinge.Instant
	hasLeaderContact bool
	// electionDeadline is when a replica that doesn't lead starts the next pre-vote.
	electionDeadline camphorhinge.Instant
	// preVoteStart is when this replica last requested pre-votes.
	preVoteStart camphorhinge.Instant

	log     memoryLog
	commit  camphorhinge.Index
	applied camphorhinge.Index
	// configs are the memberships sorted by index; the index of the first one is at or before the start of the log.
	configs []configAt
	// snapshot describes the latest stored snapshot.
	snapshot SnapshotMeta

	writes writeState
	// deferred holds the messages that wait for a sync, outbox those for the next Ready.
	deferred []deferredMessage
	outbox   []Message
	// pendingSnapshot is the snapshot from the leader that the next Ready passes to the driver, or nil.
	pendingSnapshot *Snapshot

	// votes holds the replicas that granted a pre-vote to a PreCandidate or a vote to a Candidate.
	votes      map[camphorhinge.ReplicaID]bool
	leadership leaderState
	// reads holds the results of ReadIndex requests for the next Ready.
	reads []ReadState
}

// configAt is a membership with the index of its entry.
type configAt struct {
	index      camphorhinge.Index
	membership Membership
}

// New creates a Core that starts as a follower. It fails with KindInvalid if the id or the timing can't be used, and
// with KindMalformed if the stored state is inconsistent.
func New(cfg Config) (*Core, error) {
	const op = "new"
	if cfg.ID == 0 {
		return nil, failure(op, KindInvalid, "the replica id is 0")
	}
	if cfg.Timing.restartWait() >= cfg.Timing.ElectionMin || cfg.Timing.ElectionMin > cfg.Timing.ElectionMax {
		return nil, failure(op, KindInvalid, "lease %v is too long for election timeouts of %v to %v, or these are reversed",
			cfg.Timing.Lease, cfg.Timing.ElectionMin, cfg.Timing.ElectionMax)
	}
	c := &Core{
		id:       cfg.ID,
		timing:   cfg.Timing,
		limits:   cfg.Limits,
		random:   rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))), //nolint:gosec // election timeouts need no secrecy
		now:      cfg.Now,
		started:  cfg.Now,
		hard:     cfg.HardState,
		snapshot: cfg.Snapshot,
		commit:   cfg.Snapshot.Index,
		applied:  cfg.Snapshot.Index,
		configs:  []configAt{{index: cfg.Snapshot.MembershipIndex, membership: cfg.Snapshot.Membership}},
	}
	c.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	// A crash may leave an installed snapshot whose term is above that of the stored hard state. This replica has not
	// voted in that term.
	if c.hard.Term < cfg.Snapshot.Term {
		c.setHardState(cfg.Snapshot.Term, 0)
	}
	for _, e := range cfg.Entries {
		// A crash between the installation of a snapshot and the removal of the log that it replaces leaves entries of
		// lower terms, which are not a continuation of the snapshot.
		if e.Term < cfg.Snapshot.Term && e.Index >= cfg.Snapshot.Index {
			break
		}
		if e.Index <= cfg.Snapshot.Index {
			continue
		}
		if err := checkEntry(op, e, c.log.last(), c.log.lastTerm()); err != nil {
			return nil, err
		}
		c.appendEntries(e)
	}
	c.formerTerm = c.findFormerTerm()
	if c.log.lastTerm() > c.hard.Term {
		return nil, failure(op, KindMalformed, "the last entry has term %d, above the stored term %d", c.log.lastTerm(),
			c.hard.Term)
	}
	c.writes.writtenIndex, c.writes.durableIndex = c.log.last(), c.log.last()
	c.writes.dirty = c.writes.hardStateDirty
	c.resetDeadlineAfterStart()
	return c, nil
}

// findFormerTerm returns the term that this replica led when its process ended, or 0. The stored vote is not enough to
// decide that: another candidate may have won the election.
func (c *Core) findFormerTerm() camphorhinge.Term {
	for _, e := range c.log.entries {
		if e.Kind == EntryNoop && e.Term == c.hard.Term && decodeLeader(e.Data) == c.id {
			return e.Term
		}
	}
	return 0
}

// formerLeader reports whether this replica led its current term before it restarted, less than ElectionMax ago. The
// claim is dropped after that time, since replicas of earlier versions refuse it.
func (c *Core) formerLeader() bool {
	return c.formerTerm != 0 && c.formerTerm == c.hard.Term && c.now.Sub(c.started) < c.timing.ElectionMax
}

// Bootstrap returns the hard state and the log with which each of the initial voters of a new group starts.
func Bootstrap(m Membership) (HardState, []Entry) {
	return HardState{Term: 1}, []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: AppendMembership(nil, m)}}
}

// checkEntry returns an error if e can't follow the entry at prev of term prevTerm, or carries an invalid membership.
func checkEntry(op string, e Entry, prev camphorhinge.Index, prevTerm camphorhinge.Term) error {
	if e.Index != prev+1 || e.Term < prevTerm || e.Term == 0 {
		return failure(op, KindMalformed, "entry %d of term %d follows entry %d of term %d", e.Index, e.Term, prev, prevTerm)
	}
	if e.Kind == EntryMembership {
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		if len(m.Voters()) == 0 {
			return failure(op, KindMalformed, "the membership of entry %d has no voter", e.Index)
		}
	}
	return nil
}

// advance sets the Core's time to now, unless now is earlier.
func (c *Core) advance(now camphorhinge.Instant) { c.now = max(c.now, now) }

func (c *Core) membership() Membership { return c.configs[len(c.configs)-1].membership }

func (c *Core) membershipIndex() camphorhinge.Index { return c.configs[len(c.configs)-1].index }

// appendEntries appends checked entries and puts the memberships among them into effect.
func (c *Core) appendEntries(es ...Entry) {
	c.log.append(es...)
	c.writes.dirty = true
	for _, e := range es {
		if e.Kind != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			panic("consensus: unchecked membership entry: " + err.Error())
		}
		c.configs = append(c.configs, configAt{index: e.Index, membership: m})
	}
}

// truncate drops the entries from i on, with their memberships.
func (c *Core) truncate(i camphorhinge.Index) {
	if i <= c.commit {
		panic("consensus: append would replace a committed entry; a replica has lost synced state")
	}
	c.log.truncate(i)
	c.writes.truncate(i)
	for len(c.configs) > 1 && c.configs[len(c.configs)-1].index >= i {
		c.configs = c.configs[:len(c.configs)-1]
	}
}

// resetElectionDeadline sets the deadline to a random election timeout from now.
func (c *Core) resetElectionDeadline() {
	spread := c.timing.ElectionMax - c.timing.ElectionMin
	d := c.timing.ElectionMin
	if spread > 0 {
		d += time.Duration(c.random.Int64N(int64(spread)))
	}
	c.electionDeadline = c.now.Add(d)
}

// resetDeadlineAfterStart sets the deadline of the first election after a restart. A former leader has no lease to wait
// for. Other replicas wait until the last lease they supported has expired, which also leaves time for the heartbeats
// of a leader that still runs.
func (c *Core) resetDeadlineAfterStart() {
	if c.formerLeader() {
		c.electionDeadline = c.now
		return
	}
	c.electionDeadline = c.now.Add(c.timing.restartWait() + time.Duration(c.random.Int64N(int64(c.timing.ElectionMin/4))))
}

// resetDeadlineForRetry sets the deadline for the next try of an election. It is shorter than an election timeout,
// since only the replies of the voters are outstanding, or for a former leader the start of enough voters.
func (c *Core) resetDeadlineForRetry() {
	if c.formerLeader() {
		c.electionDeadline = c.now.Add(c.timing.Heartbeat)
		return
	}
	c.electionDeadline = c.now.Add(c.timing.ElectionMin/4 + time.Duration(c.random.Int64N(int64(c.timing.ElectionMin/2))))
}

func (c *Core) setHardState(term camphorhinge.Term, vote camphorhinge.ReplicaID) {
	if h := (HardState{Term: term, Vote: vote}); h != c.hard {
		c.hard = h
		c.writes.markHardStateDirty()
	}
}

// becomeFollower makes this replica a follower in term, or in the current term if that is higher, without a known
// leader.
func (c *Core) becomeFollower(term camphorhinge.Term) {
	if term > c.hard.Term {
		c.setHardState(term, 0)
	}
	if c.role == Leader {
		c.endLeadership()
		c.resetElectionDeadline()
	}
	c.role = Follower
	c.leaderID = 0
	c.votes = nil
}

// followLeader records from as the leader of the current term and restarts the election timeout.
func (c *Core) followLeader(from camphorhinge.ReplicaID) {
	if c.role != Follower {
		c.becomeFollower(c.hard.Term)
	}
	c.leaderID = from
	c.leaderContact, c.hasLeaderContact = c.now, true
	c.resetElectionDeadline()
}

// leaderMayBeActive reports whether votes are refused because a leader may hold a lease: this replica leads, received a
// message of a leader within the shortest election timeout, or restarted so recently that the lease of a leader it
// followed before may still be valid.
func (c *Core) leaderMayBeActive() bool {
	return c.role == Leader || c.now.Sub(c.started) < c.timing.restartWait() ||
		c.hasLeaderContact && c.now.Sub(c.leaderContact) < c.timing.ElectionMin
}

// fromFormerLeader reports whether a vote request comes from the restarted leader of the latest term that can have had
// a leader. Its lease ended with its process, and leases of earlier terms had expired when it was elected.
func (c *Core) fromFormerLeader(m Message) bool {
	return m.Former && c.role != Leader && c.hard.Term < m.Term
}

// Tick advances the time and starts elections and heartbeat rounds that are due. The driver calls it about every 50 ms.
func (c *Core) Tick(now camphorhinge.Instant) {
	c.advance(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDeadline {
		c.resetElectionDeadline()
		c.preCampaign()
	}
}

// Step processes one message. A message that violates the protocol returns an *Error and changes nothing.
func (c *Core) Step(now camphorhinge.Instant, m Message) error {
	const op = "step"
	c.advance(now)
	if m.To != c.id || m.From == 0 || m.From == c.id || m.Term == 0 {
		return failure(op, KindMalformed, "message of type %d from replica %d to %d with term %d arrived at replica %d",
			m.Type, m.From, m.To, m.Term, c.id)
	}
	if m.Type == MessageAppend {
		prev, term := m.Index, m.LogTerm
		for _, e := range m.Entries {
			if err := checkEntry(op, e, prev, term); err != nil {
				return err
			}
			prev, term = e.Index, e.Term
		}
		if term > m.Term {
			return failure(op, KindMalformed, "append of term %d carries an entry of term %d", m.Term, term)
		}
	} else if len(m.Entries) > 0 {
		return failure(op, KindMalformed, "message of type %d carries entries", m.Type)
	}
	c.step(m)
	return nil
}

func (c *Core) step(m Message) {
	switch m.Type {
	case MessagePreVote:
		c.stepPreVote(m)
		return
	case MessagePreVoteReply:
		c.stepPreVoteReply(m)
		return
	case MessageVote:
		if !m.Force && !c.fromFormerLeader(m) && c.leaderMayBeActive() {
			return
		}
	}
	if m.Term < c.hard.Term {
		c.replyToOldTerm(m)
		return
	}
	if m.Term > c.hard.Term {
		if m.Type == MessageTimeoutNow {
			return
		}
		c.becomeFollower(m.Term)
	}
	switch m.Type {
	case MessageVote:
		c.stepVote(m)
	case MessageVoteReply:
		c.stepVoteReply(m)
	case MessageAppend:
		if c.role != Leader {
			c.followLeader(m.From)
			c.stepAppend(m)
		}
	case MessageHeartbeat:
		if c.role != Leader {
			c.followLeader(m.From)
			c.commitTo(min(m.Commit, c.log.last()))
			c.sendAfterTerm(Message{Type: MessageHeartbeatReply, To: m.From, Round: m.Round})
		}
	case MessageTimeoutNow:
		if c.role == Follower && c.leaderID == m.From && c.membership().isVoter(c.id) {
			c.campaign(true)
		}
	case MessageAppendReply:
		c.stepAppendReply(m)
	case MessageHeartbeatReply:
		c.stepHeartbeatReply(m)
	}
}

// replyToOldTerm sends the current term to the sender of a message with an old one. Otherwise a deposed leader would
// continue, and a candidate would repeat its requests.
func (c *Core) replyToOldTerm(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat:
		c.sendAfterTerm(Message{Type: MessageHeartbeatReply, To: m.From})
	case MessageVote:
		c.sendAfterTerm(Message{Type: MessageVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) commitTo(i camphorhinge.Index) { c.commit = max(c.commit, i) }

// Ready returns the writes, messages and results due after the inputs since the last call.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		if n := len(c.leadership.reads); n > 0 && c.leadership.reads[n-1].round > c.leadership.round {
			c.startRound()
		}
		c.replicate()
	}
	var r Ready
	if c.writes.dirty {
		r.Write = c.writes.begin(c.log.last())
		if c.writes.hardStateDirty {
			h := c.hard
			r.HardState = &h
			c.writes.hardStateDirty = false
		}
		r.Snapshot, c.pendingSnapshot = c.pendingSnapshot, nil
		r.Entries = c.log.slice(max(c.writes.writtenIndex+1, c.log.first()), c.log.last())
		c.writes.writtenIndex = c.log.last()
	}
	r.Messages, c.outbox = c.outbox, nil
	if upTo := min(c.commit, c.writes.durableIndex); upTo > c.applied {
		r.Committed = c.log.slice(c.applied+1, upTo)
		c.applied = upTo
	}
	r.Reads, c.reads = c.reads, nil
	r.SendSnapshots, c.leadership.sendSnapshots = c.leadership.sendSnapshots, nil
	return r
}

// Synced reports to the Core that all writes up to number write are synced.
func (c *Core) Synced(now camphorhinge.Instant, write uint64) {
	c.advance(now)
	c.writes.confirm(write)
	n := 0
	for n < len(c.deferred) && c.deferred[n].write <= c.writes.syncedWrite {
		n++
	}
	due := c.deferred[:n]
	c.deferred = c.deferred[n:]
	for _, d := range due {
		switch {
		case d.message.To != c.id:
			c.outbox = append(c.outbox, d.message)
		case d.message.Term == c.hard.Term:
			// The only message to this replica itself is its own vote.
			c.stepVoteReply(d.message)
		}
	}
	if c.role == Leader {
		c.recordMatch(c.id, c.writes.durableIndex)
	}
}

// Compact drops the entries up to index upTo once snapshot s is durable; upTo is at most s.Index. Entries between upTo
// and s.Index are kept for replicas that lag slightly.
func (c *Core) Compact(s SnapshotMeta, upTo camphorhinge.Index) {
	if s.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = s
	upTo = min(upTo, s.Index, c.applied)
	if upTo > c.log.prev.Index {
		c.log.compact(upTo)
	}
	for len(c.configs) > 1 && c.configs[1].index <= upTo {
		c.configs = slices.Delete(c.configs, 0, 1)
	}
}

// KeepBefore returns the index up to which the log may be compacted when at most the given numbers of entries and of bytes of their data
// are to be kept at or before index i.
func (c *Core) KeepBefore(i camphorhinge.Index, entries, bytes int) camphorhinge.Index {
	return c.log.keepBefore(i, entries, bytes)
}

// SnapshotMeta returns the metadata for a snapshot at index i, which must be committed and in the log.
func (c *Core) SnapshotMeta(i camphorhinge.Index) (SnapshotMeta, error) {
	t, ok := c.log.term(i)
	if !ok || i > c.commit {
		return SnapshotMeta{}, failure("snapshot", KindInvalid, "index %d is uncommitted or not in the log", i)
	}
	s := SnapshotMeta{Index: i, Term: t}
	for _, x := range c.configs {
		if x.index <= i {
			s.Membership, s.MembershipIndex = x.membership, x.index
		}
	}
	return s, nil
}

// Status returns a copy of the state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.id, Role: c.role, Term: c.hard.Term, Leader: c.leaderID, Commit: c.commit, Applied: c.applied,
		Last: c.log.last(), Durable: c.writes.durableIndex, First: c.log.first(),
		Membership:      Membership{Members: slices.Clone(c.membership().Members)},
		MembershipIndex: c.membershipIndex(),
	}
	if c.hasLeaderContact {
		s.LeaderContact = c.leaderContact
	}
	if c.role != Leader {
		return s
	}
	for _, x := range c.membership().Members {
		p := c.leadership.peers[x.ID]
		s.Progress = append(s.Progress, ProgressStatus{
			ID: x.ID, Match: p.match, LastReply: p.lastReply, Snapshot: p.state == stateSnapshot,
		})
	}
	return s
}
