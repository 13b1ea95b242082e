package consensus

import "example.org/camphorhinge"

// stepAppend adds the entries of a leader to the log, in place of any that conflict, or rejects them if the log does
// not match at m.Index.
func (c *Core) stepAppend(m Message) {
	if m.Index < c.commit {
		// Committed entries are the same on both replicas, so only later ones are compared.
		skip := int(min(c.commit-m.Index, camphorhinge.Index(len(m.Entries))))
		m.Entries, m.Index = m.Entries[skip:], c.commit
		m.LogTerm, _ = c.log.term(c.commit)
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint, term := c.log.hint(m.Index, m.LogTerm)
		c.sendAfterTerm(Message{
			Type: MessageAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint, LogTerm: term,
		})
		return
	}
	for i, e := range m.Entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			c.truncate(e.Index)
		}
		c.appendEntries(m.Entries[i:]...)
		break
	}
	last := m.Index + camphorhinge.Index(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.sendAfterAll(Message{Type: MessageAppendReply, To: m.From, Index: last})
}

// InstallSnapshot processes a complete snapshot that the leader from has sent in term. A snapshot that is not ahead of
// the committed log, or that ends at an entry of the log, is acknowledged and dropped.
func (c *Core) InstallSnapshot(now camphorhinge.Instant, from camphorhinge.ReplicaID, term camphorhinge.Term, s Snapshot) error {
	const op = "install snapshot"
	c.advance(now)
	if from == 0 || from == c.id || s.Term > term || s.Index == 0 || len(s.Membership.Voters()) == 0 {
		return failure(op, KindMalformed, "snapshot at index %d of term %d from replica %d in term %d", s.Index, s.Term,
			from, term)
	}
	if term < c.hard.Term {
		c.replyToOldTerm(Message{Type: MessageAppend, From: from})
		return nil
	}
	if term > c.hard.Term {
		c.becomeFollower(term)
	}
	if c.role == Leader {
		return failure(op, KindMalformed, "snapshot from replica %d in a term that this replica leads", from)
	}
	c.followLeader(from)
	if s.Index <= c.commit || c.log.matches(s.Index, s.Term) {
		c.commitTo(s.Index)
		c.sendAfterAll(Message{Type: MessageAppendReply, To: from, Index: s.Index})
		return nil
	}
	c.log.reset(s.Index, s.Term)
	c.writes.reset(s.Index)
	c.commit, c.applied = s.Index, s.Index
	c.configs = []configAt{{index: s.MembershipIndex, membership: s.Membership}}
	c.snapshot = s.SnapshotMeta
	c.pendingSnapshot = &s
	c.sendAfterAll(Message{Type: MessageAppendReply, To: from, Index: s.Index})
	return nil
}
