package consensus

import "example.org/camphorhinge"

// transferState describes a leadership transfer in progress; to is 0 when there is none.
type transferState struct {
	to       camphorhinge.ReplicaID
	deadline camphorhinge.Instant
}

// pendingRead is a ReadIndex request whose heartbeat round is not confirmed yet.
type pendingRead struct {
	id uint64
	// index is the commit index at the time of the request, or 0 if the leader had not committed an entry of its term.
	index camphorhinge.Index
	// round is the first heartbeat round sent after the request.
	round uint64
}

// Lease returns the term and whether this replica leads with a valid lease at now. No other replica is elected while
// the lease is valid.
func (c *Core) Lease(now camphorhinge.Instant) (camphorhinge.Term, bool) {
	l := &c.leadership
	if c.role != Leader || l.leaseRevoked || !l.hasLease {
		return c.hard.Term, false
	}
	return c.hard.Term, max(now, c.now).Sub(l.leaseStart) < c.timing.Lease
}

// LeaseEnd returns when the current lease ends unless a later round renews it; ok is false without a valid lease.
func (c *Core) LeaseEnd() (end camphorhinge.Instant, ok bool) {
	if _, ok := c.Lease(c.now); !ok {
		return 0, false
	}
	return c.leadership.leaseStart.Add(c.timing.Lease), true
}

// LeaseRead returns the index that a machine must have applied to answer a read that started before now. It returns
// false without a valid lease, or before the leader has committed an entry of its own term.
func (c *Core) LeaseRead(now camphorhinge.Instant) (camphorhinge.Index, bool) {
	if _, ok := c.Lease(now); !ok || !c.committedInTerm() {
		return 0, false
	}
	return c.commit, true
}

// CommittedInTerm reports whether this replica leads and has committed an entry of its own term.
func (c *Core) CommittedInTerm() bool { return c.role == Leader && c.committedInTerm() }

// ReadIndex requests a heartbeat round that confirms leadership; the result appears in Ready.Reads under id. All
// requests since the last Ready share one round.
func (c *Core) ReadIndex(now camphorhinge.Instant, id uint64) error {
	c.advance(now)
	if c.role != Leader {
		return notLeader("read index")
	}
	r := pendingRead{id: id, round: c.leadership.round + 1}
	if c.committedInTerm() {
		r.index = c.commit
	}
	c.leadership.reads = append(c.leadership.reads, r)
	return nil
}

// confirmReads completes the reads of all rounds up to confirmed, to which a majority has replied; 0 stands for the
// latest such round.
func (c *Core) confirmReads(confirmed uint64) {
	l := &c.leadership
	if confirmed == 0 {
		confirmed = majority(c.membership(), func(id camphorhinge.ReplicaID) uint64 { return l.peers[id].ackedRound })
	}
	if !c.committedInTerm() {
		return
	}
	kept := l.reads[:0]
	for _, r := range l.reads {
		if r.index == 0 {
			r.index = c.commit
		}
		if r.round <= confirmed {
			c.reads = append(c.reads, ReadState{ID: r.id, Index: r.index})
		} else {
			kept = append(kept, r)
		}
	}
	l.reads = kept
}

// ProposeChange appends one membership change and returns the index and term of its entry. Only one change may be
// uncommitted at a time.
func (c *Core) ProposeChange(now camphorhinge.Instant, ch Change) (camphorhinge.Index, camphorhinge.Term, error) {
	const op = "change membership"
	c.advance(now)
	switch {
	case c.role != Leader:
		return 0, 0, notLeader(op)
	case c.leadership.transfer.to != 0 || c.leadership.leaseRevoked:
		return 0, 0, failure(op, KindTransfer, "leadership is being transferred to replica %d", c.leadership.transfer.to)
	case !c.committedInTerm():
		return 0, 0, failure(op, KindEarly, "no entry of term %d is committed yet", c.hard.Term)
	case c.membershipIndex() > c.commit:
		return 0, 0, failure(op, KindPending, "the membership change at index %d is uncommitted", c.membershipIndex())
	}
	m, err := c.membershipAfter(op, ch)
	if err != nil {
		return 0, 0, err
	}
	if !c.quorumActive(m) {
		return 0, 0, failure(op, KindQuorum, "no majority of the voters %v replied within the election timeout", m.Voters())
	}
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryMembership, Data: AppendMembership(nil, m)}
	c.appendEntries(e)
	c.updatePeers(c.log.last())
	return e.Index, e.Term, nil
}

// membershipAfter returns the membership that results from ch, or an error if ch is not allowed.
func (c *Core) membershipAfter(op string, ch Change) (Membership, error) {
	m := c.membership()
	x, member := m.Find(ch.ID)
	switch {
	case ch.Kind == AddLearner && !member && ch.ID != 0:
		return m.with(Member{ID: ch.ID, Address: ch.Address}), nil
	case ch.Kind == Promote && member && !x.Voter:
		if p := c.leadership.peers[ch.ID]; p.match+c.limits.PromoteLag < c.commit || p.match == 0 {
			return m, failure(op, KindBehind, "replica %d has synced up to index %d of %d", ch.ID, p.match, c.commit)
		}
		x.Voter = true
		return m.with(x), nil
	case ch.Kind == Remove && member && ch.ID != c.id:
		return m.without(ch.ID), nil
	}
	return m, failure(op, KindInvalid, "change of kind %d for replica %d does not apply to the membership", ch.Kind, ch.ID)
}

// Transfer starts to hand leadership over to a voter. Proposals are refused until the transfer has ended. The lease is
// given up for the rest of the term before MessageTimeoutNow is sent to the voter.
func (c *Core) Transfer(now camphorhinge.Instant, to camphorhinge.ReplicaID) error {
	const op = "transfer"
	c.advance(now)
	switch {
	case c.role != Leader:
		return notLeader(op)
	case c.leadership.transfer.to != 0:
		return failure(op, KindTransfer, "leadership is being transferred to replica %d", c.leadership.transfer.to)
	case to == c.id || !c.membership().isVoter(to):
		return failure(op, KindInvalid, "replica %d is not another voter", to)
	case c.now.Sub(c.leadership.peers[to].lastReply) >= c.timing.ElectionMin:
		return failure(op, KindBehind, "replica %d has not replied within the election timeout", to)
	}
	c.leadership.transfer = transferState{to: to, deadline: c.now.Add(c.timing.ElectionMin)}
	c.tryTransfer()
	return nil
}

// Transferring reports whether this replica leads and a leadership transfer is in progress.
func (c *Core) Transferring() bool { return c.role == Leader && c.leadership.transfer.to != 0 }

// tryTransfer sends MessageTimeoutNow to the chosen voter once that has the complete log.
func (c *Core) tryTransfer() {
	t := &c.leadership.transfer
	if t.to == 0 || c.leadership.leaseRevoked {
		return
	}
	p := c.leadership.peers[t.to]
	if p == nil || p.match < c.log.last() {
		return
	}
	c.leadership.leaseRevoked = true
	c.send(Message{Type: MessageTimeoutNow, To: t.to})
}

// tickTransfer ends a transfer after its deadline. It returns false if this replica stepped down.
func (c *Core) tickTransfer() bool {
	if c.leadership.transfer.to == 0 || c.now < c.leadership.transfer.deadline {
		return true
	}
	if c.leadership.leaseRevoked {
		// MessageTimeoutNow may still arrive, so the lease of this term stays revoked. Stepping down allows an
		// election.
		c.becomeFollower(c.hard.Term)
		return false
	}
	c.leadership.transfer = transferState{}
	return true
}
