package consensus

import "example.org/camphorhinge"

// preCampaign starts a pre-vote, which finds out whether an election could be won without raising the term.
func (c *Core) preCampaign() {
	if !c.membership().isVoter(c.id) || c.leaderMayBeActive() && !c.formerLeader() {
		return
	}
	c.role = PreCandidate
	c.leaderID = 0
	c.preVoteStart = c.now
	c.resetDeadlineForRetry()
	c.votes = map[camphorhinge.ReplicaID]bool{c.id: true}
	if c.hasVoteMajority() {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Type: MessagePreVote, Term: c.hard.Term + 1, Former: c.formerLeader()})
}

// campaign raises the term and requests votes; force is true for a leadership transfer. This replica's own vote counts
// once it is synced.
func (c *Core) campaign(force bool) {
	c.role = Candidate
	c.leaderID = 0
	c.votes = make(map[camphorhinge.ReplicaID]bool)
	former := c.formerLeader()
	c.setHardState(c.hard.Term+1, c.id)
	c.resetDeadlineForRetry()
	c.sendAfterAll(Message{Type: MessageVoteReply, To: c.id})
	c.requestVotes(Message{Type: MessageVote, Force: force, Former: former})
}

// requestVotes sends m with the position of the last entry to all other voters.
func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, id := range c.membership().Voters() {
		if id == c.id {
			continue
		}
		m.To = id
		if m.Type == MessagePreVote {
			c.send(m)
		} else {
			c.sendAfterTerm(m)
		}
	}
}

// hasVoteMajority reports whether a majority of the voters has granted its vote or pre-vote.
func (c *Core) hasVoteMajority() bool {
	voters, granted := c.membership().Voters(), 0
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted > len(voters)/2
}

// upToDate reports whether a log that ends with entry i of term t contains all entries that this replica may have
// acknowledged.
func (c *Core) upToDate(i camphorhinge.Index, t camphorhinge.Term) bool {
	lastTerm := c.log.lastTerm()
	return t > lastTerm || t == lastTerm && i >= c.log.last()
}

// allowsPreVote reports whether a pre-vote may be granted to another replica while this one requests pre-votes itself.
// Of two such replicas only the one with the lower id grants; otherwise they could split the votes and lose an election
// timeout. The other one refuses only for ElectionMin/4, so that lost requests of its own don't block the election, and
// only if the sender's log is not ahead.
func (c *Core) allowsPreVote(m Message) bool {
	return c.role != PreCandidate || c.id < m.From || c.now.Sub(c.preVoteStart) >= c.timing.ElectionMin/4 ||
		m.Index > c.log.last() || m.LogTerm > c.log.lastTerm()
}

func (c *Core) stepPreVote(m Message) {
	if m.Term > c.hard.Term && (!c.leaderMayBeActive() || c.fromFormerLeader(m)) && c.upToDate(m.Index, m.LogTerm) &&
		c.allowsPreVote(m) {
		c.sendAfterTerm(Message{Type: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	// The refusal carries this replica's term, which a candidate of a lower term adopts.
	if c.hard.Term > 0 {
		c.sendAfterTerm(Message{Type: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) stepPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > c.hard.Term {
			c.becomeFollower(m.Term)
		}
		return
	}
	if c.role != PreCandidate || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteMajority() {
		c.campaign(false)
	}
}

func (c *Core) stepVote(m Message) {
	mayVote := c.hard.Vote == 0 || c.hard.Vote == m.From
	if c.role != Follower || !mayVote || !c.upToDate(m.Index, m.LogTerm) {
		c.sendAfterTerm(Message{Type: MessageVoteReply, To: m.From, Reject: true})
		return
	}
	c.setHardState(c.hard.Term, m.From)
	c.resetElectionDeadline()
	c.sendAfterAll(Message{Type: MessageVoteReply, To: m.From})
}

func (c *Core) stepVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteMajority() {
		c.becomeLeader()
	}
}
