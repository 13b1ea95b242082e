package consensus

import (
	"maps"
	"slices"

	"example.org/camphorhinge"
)

// leaderState is what a leader holds in memory only.
type leaderState struct {
	peers map[camphorhinge.ReplicaID]*progress
	// first is the index of the no-op entry of the term.
	first         camphorhinge.Index
	nextHeartbeat camphorhinge.Instant
	uncommitted   int

	round uint64
	// rounds are the heartbeat rounds since the last one that a majority answered.
	rounds []heartbeatRound
	// leased is when the latest round that a majority answered was sent; hasLease is false before the first one.
	leased   camphorhinge.Instant
	hasLease bool
	// void is set for the rest of the term once another replica was asked to take over, since that one may be elected
	// while the lease would still run.
	void     bool
	transfer transferState
	reads    []pendingRead

	sendSnapshots []SnapshotRequest
}

type heartbeatRound struct {
	round uint64
	sent  camphorhinge.Instant
}

type progressState uint8

const (
	// stateProbe sends one append at a time until the logs are known to match.
	stateProbe progressState = iota
	// stateReplicate sends appends without waiting, up to the bound of unacknowledged ones.
	stateReplicate
	// stateSnapshot sends no entries while the driver sends a snapshot.
	stateSnapshot
)

// progress is the leader's view of one replica. Invariant: match < next.
type progress struct {
	state progressState
	match camphorhinge.Index
	next  camphorhinge.Index
	heard camphorhinge.Instant
	// acked is the highest heartbeat round that was answered.
	acked uint64
	// sent is when the oldest unacknowledged append left; inflight holds the last index of each of them.
	sent     camphorhinge.Instant
	inflight []camphorhinge.Index
	// snapshot is the least index of the snapshot being sent.
	snapshot camphorhinge.Index
}

func (p *progress) probe() {
	p.state, p.next, p.inflight = stateProbe, p.match+1, nil
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.votes = nil
	c.lead = leaderState{
		peers: make(map[camphorhinge.ReplicaID]*progress),
		first: c.log.last() + 1,
	}
	c.addPeers(c.log.last() + 1)
	c.appendEntries(Entry{
		Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryNoop, Data: appendLeader(nil, c.id),
	})
	c.startRound()
}

// endLeadership fails the waiting reads and forgets the leader's state.
func (c *Core) endLeadership() {
	for _, r := range c.lead.reads {
		c.reads = append(c.reads, ReadState{ID: r.id, Failed: true})
	}
	c.lead = leaderState{}
}

// addPeers makes the progress entries fit the membership.
func (c *Core) addPeers(next camphorhinge.Index) {
	m := c.membership()
	for _, x := range m.Members {
		if c.lead.peers[x.ID] == nil {
			c.lead.peers[x.ID] = &progress{next: next, heard: c.now}
		}
	}
	maps.DeleteFunc(c.lead.peers, func(id camphorhinge.ReplicaID, _ *progress) bool {
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
	if c.now >= c.lead.nextHeartbeat {
		c.startRound()
	}
}

// quorumActive reports whether a majority of the voters of m, this replica included, answered within the shortest
// election timeout.
func (c *Core) quorumActive(m Membership) bool {
	voters, active := m.Voters(), 0
	for _, id := range voters {
		if p := c.lead.peers[id]; id == c.id || p != nil && c.now.Sub(p.heard) < c.timing.ElectionMin {
			active++
		}
	}
	return active > len(voters)/2
}

// startRound sends a heartbeat to each replica and sends lost entries again.
func (c *Core) startRound() {
	l := &c.lead
	l.round++
	l.nextHeartbeat = c.now.Add(c.timing.Heartbeat)
	l.rounds = append(l.rounds, heartbeatRound{round: l.round, sent: c.now})
	for _, x := range c.membership().Members {
		if x.ID == c.id {
			continue
		}
		p := l.peers[x.ID]
		if len(p.inflight) > 0 && c.now.Sub(p.sent) >= c.timing.Resend {
			p.probe()
		}
		c.send(Message{Type: MessageHeartbeat, To: x.ID, Round: l.round, Commit: min(p.match, c.commit)})
	}
	c.answered(c.id, l.round)
}

func (c *Core) stepHeartbeatReply(m Message) {
	p := c.lead.peers[m.From]
	if c.role != Leader || p == nil || m.Round > c.lead.round {
		return
	}
	p.heard = c.now
	c.answered(m.From, m.Round)
}

// answered notes that id answered a heartbeat round, and renews the lease when a majority did.
func (c *Core) answered(id camphorhinge.ReplicaID, round uint64) {
	l := &c.lead
	p := l.peers[id]
	if round <= p.acked {
		return
	}
	p.acked = round
	confirmed := majority(c.membership(), func(id camphorhinge.ReplicaID) uint64 { return l.peers[id].acked })
	n := 0
	for n < len(l.rounds) && l.rounds[n].round <= confirmed {
		l.leased, l.hasLease = l.rounds[n].sent, true
		n++
	}
	l.rounds = l.rounds[n:]
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
	if c.lead.transfer.to != 0 || c.lead.void {
		return 0, 0, failure(op, KindTransfer, "leadership is being transferred to replica %d", c.lead.transfer.to)
	}
	size := 0
	for _, b := range commands {
		size += len(b)
	}
	if c.lead.uncommitted > 0 && c.lead.uncommitted+size > c.limits.UncommittedBytes {
		return 0, 0, failure(op, KindBusy, "%d bytes are uncommitted", c.lead.uncommitted)
	}
	c.lead.uncommitted += size
	first := c.log.last() + 1
	es := make([]Entry, len(commands))
	for i, b := range commands {
		es[i] = Entry{Index: first + camphorhinge.Index(i), Term: c.hard.Term, Kind: EntryCommand, Data: b}
	}
	c.appendEntries(es...)
	return first, c.hard.Term, nil
}

// replicate sends what the flow control allows.
func (c *Core) replicate() {
	for _, x := range c.membership().Members {
		if x.ID != c.id {
			c.replicateTo(x.ID, c.lead.peers[x.ID])
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
			c.startSnapshot(id, p)
			return
		}
		last, size := p.next, 0
		for ; last <= c.log.last() && int(last-p.next) < c.limits.MessageEntries; last++ {
			size += len(c.log.slice(last, last)[0].Data)
			if size > c.limits.MessageBytes && last > p.next {
				break
			}
		}
		last--
		c.send(Message{
			Type: MessageAppend, To: id, Index: prev, LogTerm: term, Commit: c.commit,
			Entries: c.log.slice(p.next, last),
		})
		if len(p.inflight) == 0 {
			p.sent = c.now
		}
		p.inflight = append(p.inflight, last)
		if p.state == stateReplicate {
			p.next = last + 1
		}
	}
}

// startSnapshot asks the driver for a snapshot, provided that the receiver answers at all.
func (c *Core) startSnapshot(id camphorhinge.ReplicaID, p *progress) {
	if c.now.Sub(p.heard) >= c.timing.ElectionMin {
		return
	}
	p.state, p.snapshot, p.inflight = stateSnapshot, c.log.prev.Index, nil
	c.lead.sendSnapshots = append(c.lead.sendSnapshots,
		SnapshotRequest{To: id, Term: c.hard.Term, Index: p.snapshot})
}

// SnapshotSent reports that the sending of a requested snapshot has ended; index is that of the snapshot.
func (c *Core) SnapshotSent(now camphorhinge.Instant, r SnapshotRequest, index camphorhinge.Index, ok bool) {
	c.advance(now)
	p := c.lead.peers[r.To]
	if c.role != Leader || r.Term != c.hard.Term || p == nil || p.state != stateSnapshot {
		return
	}
	p.probe()
	if ok {
		// The receiver may not have installed it yet; a refusal of the next append corrects the guess.
		p.next = max(p.next, index+1)
	}
}

func (c *Core) stepAppendReply(m Message) {
	p := c.lead.peers[m.From]
	if c.role != Leader || p == nil || m.Index > c.log.last() {
		return
	}
	p.heard = c.now
	if m.Reject {
		c.rejected(p, m)
		return
	}
	c.matched(m.From, m.Index)
	if p.state == stateSnapshot && p.match < p.snapshot {
		return
	}
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= p.match {
		n++
	}
	if n > 0 {
		p.inflight, p.sent = slices.Delete(p.inflight, 0, n), c.now
	}
	if p.state != stateReplicate && p.match+1 >= p.next {
		p.state, p.inflight = stateReplicate, nil
	}
	p.next = max(p.next, p.match+1)
	c.tryTransfer()
}

// rejected goes back to where the logs may match.
func (c *Core) rejected(p *progress, m Message) {
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

// matched notes that id has synced the log up to i, and commits what a majority has.
func (c *Core) matched(id camphorhinge.ReplicaID, i camphorhinge.Index) {
	p := c.lead.peers[id]
	if p == nil || i <= p.match {
		return
	}
	p.match = i
	p.next = max(p.next, i+1)
	n := majority(c.membership(), func(id camphorhinge.ReplicaID) camphorhinge.Index { return c.lead.peers[id].match })
	// Only entries of the own term are committed by counting; earlier ones with them.
	if n <= c.commit || !c.log.matches(n, c.hard.Term) {
		return
	}
	for _, e := range c.log.slice(max(c.commit+1, c.lead.first), n) {
		if e.Kind == EntryCommand {
			c.lead.uncommitted -= len(e.Data)
		}
	}
	c.commitTo(n)
	c.confirmReads(0)
}

// settled reports whether the leader has committed an entry of its own term, before which it doesn't know what earlier
// leaders committed.
func (c *Core) settled() bool { return c.commit >= c.lead.first }
