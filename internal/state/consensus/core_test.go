package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// group is a group of three voters with a driver that syncs at once and loses only the messages for which drop is true.
type group struct {
	now   camphorhinge.Instant
	cores map[camphorhinge.ReplicaID]*Core
	drop  func(Message) bool
}

func newGroup(t *testing.T) *group {
	t.Helper()
	g := &group{cores: make(map[camphorhinge.ReplicaID]*Core), drop: func(Message) bool { return false }}
	var m Membership
	for id := camphorhinge.ReplicaID(1); id <= 3; id++ {
		m = m.with(Member{ID: id, Voter: true})
	}
	for id := camphorhinge.ReplicaID(1); id <= 3; id++ {
		hard, entries := Bootstrap(m)
		g.add(t, Config{ID: id, HardState: hard, Entries: entries})
	}
	return g
}

func (g *group) add(t *testing.T, cfg Config) {
	t.Helper()
	cfg.Timing, cfg.Limits, cfg.Now, cfg.Seed = DefaultTiming(), DefaultLimits(), g.now, uint64(cfg.ID)
	c, err := New(cfg)
	require.NoError(t, err)
	g.cores[cfg.ID] = c
}

// deliverAll syncs all writes and delivers messages until there are no more.
func (g *group) deliverAll(t *testing.T) {
	t.Helper()
	for busy := true; busy; {
		busy = false
		for id := camphorhinge.ReplicaID(1); id <= 9; id++ {
			c := g.cores[id]
			if c == nil {
				continue
			}
			r := c.Ready()
			busy = busy || !r.Empty()
			if r.Write > 0 {
				c.Synced(g.now, r.Write)
			}
			for _, m := range r.Messages {
				if to := g.cores[m.To]; to != nil && !g.drop(m) {
					require.NoError(t, to.Step(g.now, m))
				}
			}
		}
	}
}

// run advances the time by d in ticks of 50 ms.
func (g *group) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := g.now.Add(d); g.now < end; {
		g.now = g.now.Add(50 * time.Millisecond)
		for id := camphorhinge.ReplicaID(1); id <= 9; id++ {
			if c := g.cores[id]; c != nil {
				c.Tick(g.now)
			}
		}
		g.deliverAll(t)
	}
}

func (g *group) leader(t *testing.T) *Core {
	t.Helper()
	for _, c := range g.cores {
		if c.role == Leader {
			return c
		}
	}
	t.Fatal("no leader")
	return nil
}

func requireKind(t *testing.T, err error, kind Kind) {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, kind, e.Kind)
}

// TestMembershipRefusals checks that changes are refused if single-step membership changes would not be safe.
func TestMembershipRefusals(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.run(t, 3*time.Second)
	l := g.leader(t)
	change := func(k ChangeKind, id camphorhinge.ReplicaID) error {
		_, _, err := l.ProposeChange(g.now, Change{Kind: k, ID: id})
		return err
	}
	other := l.id%3 + 1
	requireKind(t, change(Remove, l.id), KindInvalid)
	requireKind(t, change(Promote, other), KindInvalid)
	requireKind(t, change(AddLearner, other), KindInvalid)
	require.NoError(t, change(AddLearner, 4))
	requireKind(t, change(AddLearner, 5), KindPending)
	g.deliverAll(t)
	requireKind(t, change(Promote, 4), KindBehind)
	g.add(t, Config{ID: 4})
	g.run(t, time.Second)
	require.NoError(t, change(Promote, 4))
	g.run(t, time.Second)
	require.Len(t, g.cores[4].membership().Voters(), 4)

	unresponsive, responsive := other, 6-other-l.id
	require.NoError(t, change(Remove, 4))
	g.run(t, 300*time.Millisecond)
	// If one of three voters does not reply, removing the other follower would leave one responsive voter of two.
	g.drop = func(m Message) bool { return m.From == unresponsive || m.To == unresponsive }
	g.run(t, 1100*time.Millisecond)
	requireKind(t, change(Remove, responsive), KindQuorum)
	require.NoError(t, change(Remove, unresponsive))

	requireKind(t, func() error {
		_, _, err := g.cores[responsive].ProposeChange(g.now, Change{Kind: Remove, ID: unresponsive})
		return err
	}(), KindNotLeader)
}

// TestChangeBeforeOwnCommit checks that a new leader accepts no membership change and no lease read before it has
// committed an entry of its own term: until then its commit index may lag behind that of earlier leaders.
func TestChangeBeforeOwnCommit(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.drop = func(m Message) bool { return m.Type == MessageAppend }
	g.run(t, 3*time.Second)
	l := g.leader(t)
	_, _, err := l.ProposeChange(g.now, Change{Kind: AddLearner, ID: 4})
	requireKind(t, err, KindEarly)
	_, ok := l.LeaseRead(g.now)
	require.False(t, ok, "a lease read before a commit in the own term could miss committed entries")
}

// TestTransferVoidsLease guards against a lease that stays valid, or is renewed, after MessageTimeoutNow was sent: a
// delayed message may still get the successor elected.
func TestTransferVoidsLease(t *testing.T) {
	t.Parallel()
	for _, lost := range []bool{false, true} {
		g := newGroup(t)
		g.run(t, 3*time.Second)
		l := g.leader(t)
		_, ok := l.Lease(g.now)
		require.True(t, ok)
		g.drop = func(m Message) bool { return lost && m.Type == MessageTimeoutNow }
		to := l.id%3 + 1
		require.NoError(t, l.Transfer(g.now, to))
		_, ok = l.Lease(g.now)
		require.False(t, ok)
		_, _, err := l.Propose(g.now, [][]byte{{1}})
		requireKind(t, err, KindTransfer)
		g.deliverAll(t)
		require.Equal(t, !lost, g.cores[to].role == Leader)
		if lost {
			g.run(t, 500*time.Millisecond)
			_, ok = l.Lease(g.now)
			require.False(t, ok, "later heartbeat rounds must not renew the lease")
			g.run(t, 600*time.Millisecond)
			require.NotEqual(t, Leader, l.role)
		}
	}
}

// TestIsolatedVoterReturns guards against a voter that raises the term while it is isolated, and deposes the leader
// when it is connected again.
func TestIsolatedVoterReturns(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.run(t, 3*time.Second)
	l := g.leader(t)
	term, isolated := l.hard.Term, l.id%3+1
	g.drop = func(m Message) bool { return m.From == isolated || m.To == isolated }
	g.run(t, 10*time.Second)
	require.Equal(t, PreCandidate, g.cores[isolated].role)
	g.drop = func(Message) bool { return false }
	g.run(t, 3*time.Second)
	require.Equal(t, Leader, l.role)
	require.Equal(t, term, l.hard.Term)
	require.Equal(t, l.commit, g.cores[isolated].commit)
}

// TestStepRefusesMalformed checks that messages which violate the protocol return an error and change nothing.
func TestStepRefusesMalformed(t *testing.T) {
	t.Parallel()
	hard, entries := Bootstrap(Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}}})
	tests := []struct {
		name string
		m    Message
	}{
		{"wrong receiver", Message{Type: MessageHeartbeat, From: 2, To: 3, Term: 1}},
		{"from itself", Message{Type: MessageHeartbeat, From: 1, To: 1, Term: 1}},
		{"no term", Message{Type: MessageHeartbeat, From: 2, To: 1}},
		{"gap in entries", Message{
			Type: MessageAppend, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1,
			Entries: []Entry{{Index: 3, Term: 1, Kind: EntryNoop}},
		}},
		{"entry above the term", Message{
			Type: MessageAppend, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1,
			Entries: []Entry{{Index: 2, Term: 2, Kind: EntryNoop}},
		}},
		{"membership without voters", Message{
			Type: MessageAppend, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1,
			Entries: []Entry{{Index: 2, Term: 1, Kind: EntryMembership, Data: AppendMembership(nil, Membership{})}},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c, err := New(Config{ID: 1, Timing: DefaultTiming(), Limits: DefaultLimits(), HardState: hard, Entries: entries})
			require.NoError(t, err)
			requireKind(t, c.Step(0, test.m), KindMalformed)
			r := c.Ready()
			require.True(t, r.Empty())
		})
	}
}

// newVoter returns replica 1 of three voters. Its log ends with an entry of index 2 and term 2.
func newVoter(t *testing.T) *Core {
	t.Helper()
	var m Membership
	for id := camphorhinge.ReplicaID(1); id <= 3; id++ {
		m = m.with(Member{ID: id, Voter: true})
	}
	_, entries := Bootstrap(m)
	c, err := New(Config{
		ID: 1, Timing: DefaultTiming(), Limits: DefaultLimits(), HardState: HardState{Term: 2},
		Entries: append(entries, Entry{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte{1}}),
	})
	require.NoError(t, err)
	return c
}

// syncWrites syncs all writes and returns the messages to be sent.
func syncWrites(c *Core) []Message {
	var out []Message
	for r := c.Ready(); !r.Empty(); r = c.Ready() {
		out = append(out, r.Messages...)
		if r.Write > 0 {
			c.Synced(0, r.Write)
		}
	}
	return out
}

// TestNewRefusesLongLease checks that New refuses a lease which, on a clock that runs 10 % slow, would last longer than
// voters refuse votes.
func TestNewRefusesLongLease(t *testing.T) {
	for lease, ok := range map[time.Duration]bool{909: true, 910: false, 999: false} {
		timing := DefaultTiming()
		timing.Lease = lease * time.Millisecond
		_, err := New(Config{ID: 1, Timing: timing, Limits: DefaultLimits()})
		require.Equal(t, ok, err == nil, "lease of %d ms", lease)
	}
}

// TestVoteRules checks each condition of a grant for pre-votes and votes separately, since in a whole election the
// pre-vote hides a fault in the rules of the vote.
func TestVoteRules(t *testing.T) {
	t.Parallel()
	const late = camphorhinge.Instant(5 * time.Second)
	request := Message{From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2}
	tests := []struct {
		name      string
		at        camphorhinge.Instant
		heartbeat bool
		edit      func(*Message)
		want      bool
	}{
		{"granted", late, false, func(*Message) {}, true},
		{"longer log", late, false, func(m *Message) { m.Index = 9 }, true},
		{"shorter log", late, false, func(m *Message) { m.Index = 1 }, false},
		{"longer log of a lower term", late, false, func(m *Message) { m.Index, m.LogTerm = 9, 1 }, false},
		{"769 ms after a restart", camphorhinge.Instant(769 * time.Millisecond), false, func(*Message) {}, false},
		{"770 ms after a restart", camphorhinge.Instant(770 * time.Millisecond), false, func(*Message) {}, true},
		{"former leader after a restart", 0, false, func(m *Message) { m.Former = true }, true},
		{"former leader of an earlier term", 0, false, func(m *Message) { m.Former, m.Term = true, 2 }, false},
		{"former leader, recent heartbeat of a leader of the term", late, true, func(m *Message) { m.Former = true }, true},
		{"former leader with a shorter log", 0, false, func(m *Message) { m.Former, m.Index = true, 1 }, false},
		{"recent heartbeat of a leader", late, true, func(*Message) {}, false},
		{"lower term", late, false, func(m *Message) { m.Term = 1 }, false},
	}
	for _, typ := range []MessageType{MessagePreVote, MessageVote} {
		for _, test := range tests {
			c := newVoter(t)
			if test.heartbeat {
				require.NoError(t, c.Step(test.at, Message{Type: MessageHeartbeat, From: 3, To: 1, Term: 2}))
				syncWrites(c)
			}
			m := request
			m.Type = typ
			test.edit(&m)
			require.NoError(t, c.Step(test.at, m))
			unsynced := c.Ready()
			for _, r := range append(unsynced.Messages, syncWrites(c)...) {
				require.False(t, typ == MessageVote && !r.Reject, "%s: a vote was sent before its sync", test.name)
			}
			c.Synced(test.at, unsynced.Write)
			granted := false
			for _, r := range append(unsynced.Messages, syncWrites(c)...) {
				granted = granted || !r.Reject
			}
			require.Equal(t, test.want, granted, "%s, type %d", test.name, typ)
			// A request that is refused because of a possible leader doesn't raise the term, which would depose the leader.
			waited := !test.heartbeat && test.at >= camphorhinge.Instant(770*time.Millisecond)
			raised := typ == MessageVote && (waited || m.Former) && m.Term == 3
			require.Equal(t, raised, c.hard.Term == 3, "%s, type %d: term", test.name, typ)
			if test.want && typ == MessageVote {
				m.From = 3
				require.NoError(t, c.Step(test.at, m))
				again := syncWrites(c)
				if !m.Former {
					require.Len(t, again, 1)
				}
				for _, r := range again {
					require.True(t, r.Reject, "a second candidate received a vote in the same term")
				}
			}
		}
	}
}

// restart replaces replicas by new ones with the same stored state.
func (g *group) restart(t *testing.T, ids ...camphorhinge.ReplicaID) {
	t.Helper()
	for _, id := range ids {
		c := g.cores[id]
		g.add(t, Config{ID: id, HardState: c.hard, Entries: slices.Clone(c.log.entries)})
	}
}

// TestFormerLeaderElectedAtOnce checks that after a restart of all replicas the former leader, whose lease ended with
// its process, is elected without waiting for the lease to expire. Otherwise the group would be unavailable for that
// time.
func TestFormerLeaderElectedAtOnce(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.run(t, 3*time.Second)
	before := g.leader(t).id
	g.restart(t, 1, 2, 3)
	g.run(t, 150*time.Millisecond)
	require.Equal(t, before, g.leader(t).id)
	// Without the former leader the others wait until its lease has expired, and not much longer.
	g.restart(t, 1, 2, 3)
	delete(g.cores, before)
	g.run(t, 700*time.Millisecond)
	for _, c := range g.cores {
		require.NotEqual(t, Leader, c.role)
	}
	g.run(t, 600*time.Millisecond)
	require.NotEqual(t, before, g.leader(t).id)
}

// TestFormerLeaderClaim checks that a replica claims to be the former leader only if its log shows that it led the
// term. If it was only a candidate, another replica may have led that term and may still hold a lease.
func TestFormerLeaderClaim(t *testing.T) {
	t.Parallel()
	noop := func(id camphorhinge.ReplicaID) Entry {
		return Entry{Index: 3, Term: 3, Kind: EntryNoop, Data: appendLeader(nil, id)}
	}
	for _, tc := range []struct {
		name  string
		entry Entry
		term  camphorhinge.Term
		want  bool
	}{
		{"own first entry", noop(1), 3, true},
		{"entry of another leader", noop(2), 3, false},
		{"no leader named", Entry{Index: 3, Term: 3, Kind: EntryNoop}, 3, false},
		{"own command only", Entry{Index: 3, Term: 3, Kind: EntryCommand, Data: []byte{1}}, 3, false},
		{"later term seen", noop(1), 4, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newVoter(t)
			c, err := New(Config{
				ID: 1, Timing: DefaultTiming(), Limits: DefaultLimits(), HardState: HardState{Term: tc.term, Vote: 1},
				Entries: append(slices.Clone(c.log.entries), tc.entry),
			})
			require.NoError(t, err)
			require.Equal(t, tc.want, c.formerLeader())
			// Replicas of earlier versions refuse the claim, so it is dropped after a while.
			c.advance(camphorhinge.Instant(DefaultTiming().ElectionMax))
			require.False(t, c.formerLeader())
		})
	}
}

// TestLeaderRules guards against committing entries of earlier terms by counting replicas, since a later leader may
// replace such entries, and against leases and reads that are based on replies to older rounds.
func TestLeaderRules(t *testing.T) {
	t.Parallel()
	c := newVoter(t)
	now := camphorhinge.Instant(5 * time.Second)
	c.Tick(now)
	require.NoError(t, c.Step(now, Message{Type: MessagePreVoteReply, From: 2, To: 1, Term: 3}))
	require.NoError(t, c.Step(now, Message{Type: MessageVoteReply, From: 2, To: 1, Term: 3}))
	require.Equal(t, Candidate, c.role, "the own vote must count only once it is synced")
	syncWrites(c)
	require.Equal(t, Leader, c.role)
	require.NoError(t, c.Step(now, Message{Type: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 2}))
	require.Zero(t, c.commit)
	require.NoError(t, c.Step(now, Message{Type: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 3}))
	require.EqualValues(t, 3, c.commit)

	// The lease starts when the round was sent, since the time for which the voter refuses votes may have started then.
	reply := Message{Type: MessageHeartbeatReply, From: 2, To: 1, Term: 3, Round: c.leadership.round}
	require.NoError(t, c.Step(now.Add(600*time.Millisecond), reply))
	_, ok := c.Lease(now.Add(699 * time.Millisecond))
	require.True(t, ok)
	_, ok = c.Lease(now.Add(700 * time.Millisecond))
	require.False(t, ok)

	// A read is confirmed by a round that started after it, not by replies to an earlier one.
	require.NoError(t, c.ReadIndex(now, 1))
	reply.From = 3
	require.NoError(t, c.Step(now, reply))
	r := c.Ready()
	require.Empty(t, r.Reads)
	reply.Round++
	require.NoError(t, c.Step(now, reply))
	r = c.Ready()
	require.Equal(t, []ReadState{{ID: 1, Index: 3}}, r.Reads)
}

// TestTruncateRollsBack checks that removing an entry from the log also reverts its membership and the durable index.
func TestTruncateRollsBack(t *testing.T) {
	t.Parallel()
	c := newVoter(t)
	soleVoter := AppendMembership(nil, Membership{Members: []Member{{ID: 3, Voter: true}}})
	require.NoError(t, c.Step(0, Message{
		Type: MessageAppend, From: 3, To: 1, Term: 3, Index: 2, LogTerm: 2,
		Entries: []Entry{{Index: 3, Term: 3, Kind: EntryMembership, Data: soleVoter}},
	}))
	syncWrites(c)
	require.Len(t, c.membership().Members, 1)
	require.EqualValues(t, 3, c.writes.durableIndex)
	require.NoError(t, c.Step(0, Message{
		Type: MessageAppend, From: 2, To: 1, Term: 4, Index: 2, LogTerm: 2, Commit: 3,
		Entries: []Entry{{Index: 3, Term: 4, Kind: EntryNoop}},
	}))
	require.Len(t, c.membership().Members, 3)
	r := c.Ready()
	require.Len(t, r.Committed, 2, "the replacing entry is not synced yet")
	require.Empty(t, r.Messages, "the acknowledgement was sent before the sync")
}
