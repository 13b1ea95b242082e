package consensus

import (
	"maps"
	"slices"

	"example.org/camphorhinge"
)

// leaderState is the volatile state of a leader; it is reset when leadership ends.
type leaderState struct {
	peers map[camphorhinge.ReplicaID]*progress
	// noopIndex is the index of the no-op entry with which this leader began its term.
	noopIndex        camphorhinge.Index
	nextHeartbeat    camphorhinge.Instant
	uncommittedBytes int

	// round is the number of the latest heartbeat round.
	round uint64
	// unconfirmedRounds are the heartbeat rounds to which no majority has replied yet.
	unconfirmedRounds []heartbeatRound
	// leaseStart is when the latest round with replies from a majority was sent; hasLease is false before the first one.
	leaseStart camphorhinge.Instant
	hasLease   bool
	// leaseRevoked is set for the rest of the term when MessageTimeoutNow is sent, since its receiver may be elected
	// before the lease would expire.
	leaseRevoked bool
	transfer     transferState
	reads        []pendingRead

	sendSnapshots []SnapshotRequest
}

// heartbeatRound is a round and the time at which its heartbeats were sent.
type heartbeatRound struct {
	round  uint64
	sentAt camphorhinge.Instant
}

// progressState is the replication mode for one replica.
type progressState uint8

const (
	// stateProbe sends one append at a time until the logs are known to match.
	stateProbe progressState = iota
	// stateReplicate pipelines appends, up to Limits.Inflight unacknowledged ones.
	stateReplicate
	// stateSnapshot sends no entries while the driver sends a snapshot.
	stateSnapshot
)

// progress is the leader's view of one replica. Invariant: match < next.
type progress struct {
	state     progressState
	match     camphorhinge.Index
	next      camphorhinge.Index
	lastReply camphorhinge.Instant
	// ackedRound is the highest heartbeat round to which the replica has replied.
	ackedRound uint64
	// resendFrom is the start of the wait for an acknowledgement: when an append was sent while none was in flight, or when
	// an append in flight was last acknowledged.
	resendFrom camphorhinge.Instant
	// inflight holds the unacknowledged appends.
	inflight []inflightAppend
	// snapshotIndex is the lowest acceptable index of the snapshot being sent.
	snapshotIndex camphorhinge.Index
}

// inflightAppend is an unacknowledged append: the index of its last entry and the size of its data.
type inflightAppend struct {
	last  camphorhinge.Index
	bytes int
}

// inflightBytes returns the size of the data of all unacknowledged appends.
func (p *progress) inflightBytes() int {
	sum := 0
	for _, a := range p.inflight {
		sum += a.bytes
	}
	return sum
}

// probe switches to stateProbe after the last matching entry and discards the record of appends in flight.
func (p *progress) probe() {
	p.state, p.next, p.inflight = stateProbe, p.match+1, nil
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leaderID = c.id
	c.votes = nil
	c.leadership = leaderState{
		peers:     make(map[camphorhinge.ReplicaID]*progress),
		noopIndex: c.log.last() + 1,
	}
	c.updatePeers(c.log.last() + 1)
	c.appendEntries(Entry{
		Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryNoop, Data: appendLeader(nil, c.id),
	})
	c.startRound()
}

// endLeadership fails the pending reads and resets the leader's state.
func (c *Core) endLeadership() {
	for _, r := range c.leadership.reads {
		c.reads = append(c.reads, ReadState{ID: r.id, Failed: true})
	}
	c.leadership = leaderState{}
}

// updatePeers adds and removes progress entries according to the membership; new ones start at index next.
func (c *Core) updatePeers(next camphorhinge.Index) {
	m := c.membership()
	for _, x := range m.Members {
		if c.leadership.peers[x.ID] == nil {
			c.leadership.peers[x.ID] = &progress{next: next, lastReply: c.now}
		}
	}
	maps.DeleteFunc(c.leadership.peers, func(id camphorhinge.ReplicaID, _ *progress) bool {
		_, ok := m.Find(id)
		return !ok
	})
}

func (c *Core) tickLeader() {
	if !c.quorumActive(c.membership()) {
		c.becomeFollower(c.hard.Term)
		return
	}
	if !c.tickTransfer() {
		return
	}
	if c.now >= c.leadership.nextHeartbeat {
		c.startRound()
	}
}

// quorumActive reports whether a majority of the voters of m, including this replica, replied within the shortest
// election timeout.
func (c *Core) quorumActive(m Membership) bool {
	voters, active := m.Voters(), 0
	for _, id := range voters {
		if p := c.leadership.peers[id]; id == c.id || p != nil && c.now.Sub(p.lastReply) < c.timing.ElectionMin {
			active++
		}
	}
	return active > len(voters)/2
}

// startRound sends a heartbeat to each replica and resends entries that have not been acknowledged in time.
func (c *Core) startRound() {
	l := &c.leadership
	l.round++
	l.nextHeartbeat = c.now.Add(c.timing.Heartbeat)
	l.unconfirmedRounds = append(l.unconfirmedRounds, heartbeatRound{round: l.round, sentAt: c.now})
	for _, x := range c.membership().Members {
		if x.ID == c.id {
			continue
		}
		p := l.peers[x.ID]
		if len(p.inflight) > 0 && c.now.Sub(p.resendFrom) >= c.timing.Resend {
			p.probe()
		}
		c.send(Message{Type: MessageHeartbeat, To: x.ID, Round: l.round, Commit: min(p.match, c.commit)})
	}
	c.recordRoundReply(c.id, l.round)
}

func (c *Core) stepHeartbeatReply(m Message) {
	p := c.leadership.peers[m.From]
	if c.role != Leader || p == nil || m.Round > c.leadership.round {
		return
	}
	p.lastReply = c.now
	c.recordRoundReply(m.From, m.Round)
}

// recordRoundReply records that id has replied to a heartbeat round, and renews the lease once a majority has.
func (c *Core) recordRoundReply(id camphorhinge.ReplicaID, round uint64) {
	l := &c.leadership
	p := l.peers[id]
	if round <= p.ackedRound {
		return
	}
	p.ackedRound = round
	confirmed := majority(c.membership(), func(id camphorhinge.ReplicaID) uint64 { return l.peers[id].ackedRound })
	n := 0
	for n < len(l.unconfirmedRounds) && l.unconfirmedRounds[n].round <= confirmed {
		l.leaseStart, l.hasLease = l.unconfirmedRounds[n].sentAt, true
		n++
	}
	l.unconfirmedRounds = l.unconfirmedRounds[n:]
	c.confirmReads(confirmed)
}

// majority returns the highest value that a majority of the voters has reached.
func majority[T ~uint64](m Membership, value func(camphorhinge.ReplicaID) T) T {
	var values []T
	for _, id := range m.Voters() {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Propose appends commands to the log and returns the index of the first one and the term. The commands are committed
// when entries of these indexes and this term appear in Ready.Committed. After an error nothing was appended.
func (c *Core) Propose(now camphorhinge.Instant, commands [][]byte) (camphorhinge.Index, camphorhinge.Term, error) {
	const op = "propose"
	c.advance(now)
	if c.role != Leader {
		return 0, 0, notLeader(op)
	}
	if c.leadership.transfer.to != 0 || c.leadership.leaseRevoked {
		return 0, 0, failure(op, KindTransfer, "leadership is being transferred to replica %d", c.leadership.transfer.to)
	}
	size := 0
	for _, b := range commands {
		size += len(b)
	}
	if c.leadership.uncommittedBytes > 0 && c.leadership.uncommittedBytes+size > c.limits.UncommittedBytes {
		return 0, 0, failure(op, KindBusy, "%d bytes are uncommitted", c.leadership.uncommittedBytes)
	}
	c.leadership.uncommittedBytes += size
	first := c.log.last() + 1
	es := make([]Entry, len(commands))
	for i, b := range commands {
		es[i] = Entry{Index: first + camphorhinge.Index(i), Term: c.hard.Term, Kind: EntryCommand, Data: b}
	}
	c.appendEntries(es...)
	return first, c.hard.Term, nil
}

// replicate sends each replica the entries that flow control allows.
func (c *Core) replicate() {
	for _, x := range c.membership().Members {
		if x.ID != c.id {
			c.replicateTo(x.ID, c.leadership.peers[x.ID])
		}
	}
}

func (c *Core) replicateTo(id camphorhinge.ReplicaID, p *progress) {
	window := c.limits.Inflight
	if p.state == stateProbe {
		window = 1
	}
	for p.state != stateSnapshot && p.next <= c.log.last() && len(p.inflight) < window {
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if !ok {
			c.requestSnapshot(id, p)
			return
		}
		last, size := p.next, 0
		for ; last <= c.log.last() && int(last-p.next) < c.limits.MessageEntries; last++ {
			n := len(c.log.slice(last, last)[0].Data)
			if size+n > c.limits.MessageBytes && last > p.next {
				break
			}
			size += n
		}
		last--
		if limit := c.limits.InflightBytes; limit > 0 && len(p.inflight) > 0 && p.inflightBytes()+size > limit {
			return
		}
		c.send(Message{
			Type: MessageAppend, To: id, Index: prev, LogTerm: term, Commit: c.commit,
			Entries: c.log.slice(p.next, last),
		})
		if len(p.inflight) == 0 {
			p.resendFrom = c.now
		}
		p.inflight = append(p.inflight, inflightAppend{last: last, bytes: size})
		if p.state == stateReplicate {
			p.next = last + 1
		}
	}
}

// requestSnapshot asks the driver to send a snapshot, provided that the receiver replied within the election timeout.
func (c *Core) requestSnapshot(id camphorhinge.ReplicaID, p *progress) {
	if c.now.Sub(p.lastReply) >= c.timing.ElectionMin {
		return
	}
	p.state, p.snapshotIndex, p.inflight = stateSnapshot, c.log.prev.Index, nil
	c.leadership.sendSnapshots = append(c.leadership.sendSnapshots,
		SnapshotRequest{To: id, Term: c.hard.Term, Index: p.snapshotIndex})
}

// SnapshotSent reports to the Core that sending a requested snapshot has succeeded or failed; index is the snapshot's.
func (c *Core) SnapshotSent(now camphorhinge.Instant, r SnapshotRequest, index camphorhinge.Index, ok bool) {
	c.advance(now)
	p := c.leadership.peers[r.To]
	if c.role != Leader || r.Term != c.hard.Term || p == nil || p.state != stateSnapshot {
		return
	}
	p.probe()
	if ok {
		// The receiver may not have installed it yet. In that case it rejects the next append, which corrects next.
		p.next = max(p.next, index+1)
	}
}

func (c *Core) stepAppendReply(m Message) {
	p := c.leadership.peers[m.From]
	if c.role != Leader || p == nil || m.Index > c.log.last() {
		return
	}
	p.lastReply = c.now
	if m.Reject {
		c.handleAppendReject(p, m)
		return
	}
	c.recordMatch(m.From, m.Index)
	if p.state == stateSnapshot && p.match < p.snapshotIndex {
		return
	}
	n := 0
	for n < len(p.inflight) && p.inflight[n].last <= p.match {
		n++
	}
	if n > 0 {
		p.inflight, p.resendFrom = slices.Delete(p.inflight, 0, n), c.now
	}
	if p.state != stateReplicate && p.match+1 >= p.next {
		p.state, p.inflight = stateReplicate, nil
	}
	p.next = max(p.next, p.match+1)
	c.tryTransfer()
}

// handleAppendReject moves next back to just after the highest index at which the logs may match. It ignores rejections
// during a snapshot, at or below the last matching entry and, in stateProbe, of other appends than the latest one.
func (c *Core) handleAppendReject(p *progress, m Message) {
	switch {
	case p.state == stateSnapshot || m.Index <= p.match:
		return
	case p.state == stateProbe && m.Index != p.next-1:
		return
	}
	hint, _ := c.log.hint(m.Hint, m.LogTerm)
	p.probe()
	p.next = max(p.match+1, min(hint+1, m.Index))
}

// recordMatch records that id has synced the log up to i, and commits the entries that a majority has synced.
func (c *Core) recordMatch(id camphorhinge.ReplicaID, i camphorhinge.Index) {
	p := c.leadership.peers[id]
	if p == nil || i <= p.match {
		return
	}
	p.match = i
	p.next = max(p.next, i+1)
	n := majority(c.membership(), func(id camphorhinge.ReplicaID) camphorhinge.Index {
		return c.leadership.peers[id].match
	})
	// Only entries of the leader's own term are committed by counting replicas; earlier entries are committed with them.
	if n <= c.commit || !c.log.matches(n, c.hard.Term) {
		return
	}
	for _, e := range c.log.slice(max(c.commit+1, c.leadership.noopIndex), n) {
		if e.Kind == EntryCommand {
			c.leadership.uncommittedBytes -= len(e.Data)
		}
	}
	c.commitTo(n)
	c.confirmReads(0)
}

// committedInTerm reports whether the leader has committed an entry of its own term. Until then its commit index may be
// below that of earlier leaders.
func (c *Core) committedInTerm() bool { return c.commit >= c.leadership.noopIndex }
