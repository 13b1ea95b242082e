package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// group is three voters and a driver that syncs at once and loses nothing but what drop names.
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

// deliverAll delivers messages until none is left.
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

// TestMembershipRefusals guards the rules under which single-step changes are safe.
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

	silent, answering := other, 6-other-l.id
	require.NoError(t, change(Remove, 4))
	g.run(t, 300*time.Millisecond)
	// With one of three voters silent, removing the answering one would leave one of two.
	g.drop = func(m Message) bool { return m.From == silent || m.To == silent }
	g.run(t, 1100*time.Millisecond)
	requireKind(t, change(Remove, answering), KindQuorum)
	require.NoError(t, change(Remove, silent))

	requireKind(t, func() error {
		_, _, err := g.cores[answering].ProposeChange(g.now, Change{Kind: Remove, ID: silent})
		return err
	}(), KindNotLeader)
}

// TestChangeBeforeOwnCommit guards against a change that a new leader makes before it knows what is committed.
func TestChangeBeforeOwnCommit(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.drop = func(m Message) bool { return m.Type == MessageAppend }
	g.run(t, 3*time.Second)
	l := g.leader(t)
	_, _, err := l.ProposeChange(g.now, Change{Kind: AddLearner, ID: 4})
	requireKind(t, err, KindEarly)
	_, ok := l.LeaseRead(g.now)
	require.False(t, ok, "a lease read before the own commit could miss committed entries")
}

// TestTransferVoidsLease guards against a lease that lives on while its successor may be elected by a delayed message.
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
			require.False(t, ok, "later rounds must not renew the lease")
			g.run(t, 600*time.Millisecond)
			require.NotEqual(t, Leader, l.role)
		}
	}
}

// TestIsolatedVoterReturns guards against a returning voter that raises the term and deposes the leader.
func TestIsolatedVoterReturns(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.run(t, 3*time.Second)
	l := g.leader(t)
	term, out := l.hard.Term, l.id%3+1
	g.drop = func(m Message) bool { return m.From == out || m.To == out }
	g.run(t, 10*time.Second)
	require.Equal(t, PreCandidate, g.cores[out].role)
	g.drop = func(Message) bool { return false }
	g.run(t, 3*time.Second)
	require.Equal(t, Leader, l.role)
	require.Equal(t, term, l.hard.Term)
	require.Equal(t, l.commit, g.cores[out].commit)
}

// TestStepRefusesMalformed guards against peers whose messages would break the log.
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

// newVoter returns replica 1 of three voters, with a log that ends with an entry of index 2 and term 2.
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

// syncWrites syncs all writes and returns the messages.
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

// TestNewRefusesLongLease guards against a lease that outlives the refusal of votes on a clock that is 10 % slow.
func TestNewRefusesLongLease(t *testing.T) {
	for lease, ok := range map[time.Duration]bool{909: true, 910: false, 999: false} {
		timing := DefaultTiming()
		timing.Lease = lease * time.Millisecond
		_, err := New(Config{ID: 1, Timing: timing, Limits: DefaultLimits()})
		require.Equal(t, ok, err == nil, "lease of %d ms", lease)
	}
}

// TestVoteRules guards each condition of a grant on its own, since pre-vote hides a fault in the vote itself.
func TestVoteRules(t *testing.T) {
	t.Parallel()
	const late = camphorhinge.Instant(5 * time.Second)
	request := Message{From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2}
	tests := []struct {
		name  string
		at    camphorhinge.Instant
		heard bool
		edit  func(*Message)
		want  bool
	}{
		{"granted", late, false, func(*Message) {}, true},
		{"longer log", late, false, func(m *Message) { m.Index = 9 }, true},
		{"shorter log", late, false, func(m *Message) { m.Index = 1 }, false},
		{"longer log of a lower term", late, false, func(m *Message) { m.Index, m.LogTerm = 9, 1 }, false},
		{"769 ms after a restart", camphorhinge.Instant(769 * time.Millisecond), false, func(*Message) {}, false},
		{"770 ms after a restart", camphorhinge.Instant(770 * time.Millisecond), false, func(*Message) {}, true},
		{"former leader after a restart", 0, false, func(m *Message) { m.Former = true }, true},
		{"former leader of an earlier term", 0, false, func(m *Message) { m.Former, m.Term = true, 2 }, false},
		{"former leader, just heard from a leader of the term", late, true, func(m *Message) { m.Former = true }, true},
		{"former leader with a shorter log", 0, false, func(m *Message) { m.Former, m.Index = true, 1 }, false},
		{"just heard from a leader", late, true, func(*Message) {}, false},
		{"lower term", late, false, func(m *Message) { m.Term = 1 }, false},
	}
	for _, typ := range []MessageType{MessagePreVote, MessageVote} {
		for _, test := range tests {
			c := newVoter(t)
			if test.heard {
				require.NoError(t, c.Step(test.at, Message{Type: MessageHeartbeat, From: 3, To: 1, Term: 2}))
				syncWrites(c)
			}
			m := request
			m.Type = typ
			test.edit(&m)
			require.NoError(t, c.Step(test.at, m))
			unsynced := c.Ready()
			for _, r := range append(unsynced.Messages, syncWrites(c)...) {
				require.False(t, typ == MessageVote && !r.Reject, "%s: a vote left before its sync", test.name)
			}
			c.Synced(test.at, unsynced.Write)
			granted := false
			for _, r := range append(unsynced.Messages, syncWrites(c)...) {
				granted = granted || !r.Reject
			}
			require.Equal(t, test.want, granted, "%s, type %d", test.name, typ)
			// A request within the wait leaves the term alone, so that it doesn't depose the leader.
			waited := !test.heard && test.at >= camphorhinge.Instant(770*time.Millisecond)
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
					require.True(t, r.Reject, "a second candidate got a vote in the same term")
				}
			}
		}
	}
}

// restart starts replicas again from what they stored; they forget the rest.
func (g *group) restart(t *testing.T, ids ...camphorhinge.ReplicaID) {
	t.Helper()
	for _, id := range ids {
		c := g.cores[id]
		g.add(t, Config{ID: id, HardState: c.hard, Entries: slices.Clone(c.log.entries)})
	}
}

// Guards against a group that stands still for the time of a lease after all of its processes restarted: the former leader
// knows that its lease is over.
func TestFormerLeaderElectedAtOnce(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.run(t, 3*time.Second)
	before := g.leader(t).id
	g.restart(t, 1, 2, 3)
	g.run(t, 150*time.Millisecond)
	require.Equal(t, before, g.leader(t).id)
	// Without the former leader the others wait for the end of its lease, and not for much longer.
	g.restart(t, 1, 2, 3)
	delete(g.cores, before)
	g.run(t, 700*time.Millisecond)
	for _, c := range g.cores {
		require.NotEqual(t, Leader, c.role)
	}
	g.run(t, 600*time.Millisecond)
	require.NotEqual(t, before, g.leader(t).id)
}

// Guards against a claim by a replica that only asked for votes: another one may have led that term, with a lease.
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
			// Replicas of earlier versions refuse the claim, so it is given up.
			c.advance(camphorhinge.Instant(DefaultTiming().ElectionMax))
			require.False(t, c.formerLeader())
		})
	}
}

// TestLeaderRules guards against committing entries of earlier terms by counting, which a later leader may replace, and
// against leases and reads that rest on answers to older rounds.
func TestLeaderRules(t *testing.T) {
	t.Parallel()
	c := newVoter(t)
	now := camphorhinge.Instant(5 * time.Second)
	c.Tick(now)
	require.NoError(t, c.Step(now, Message{Type: MessagePreVoteReply, From: 2, To: 1, Term: 3}))
	require.NoError(t, c.Step(now, Message{Type: MessageVoteReply, From: 2, To: 1, Term: 3}))
	require.Equal(t, Candidate, c.role, "the own vote counts once it is synced")
	syncWrites(c)
	require.Equal(t, Leader, c.role)
	require.NoError(t, c.Step(now, Message{Type: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 2}))
	require.Zero(t, c.commit)
	require.NoError(t, c.Step(now, Message{Type: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 3}))
	require.EqualValues(t, 3, c.commit)

	// The lease starts when the answered round was sent, since the voter's wait may have started right then.
	answer := Message{Type: MessageHeartbeatReply, From: 2, To: 1, Term: 3, Round: c.leadership.round}
	require.NoError(t, c.Step(now.Add(600*time.Millisecond), answer))
	_, ok := c.Lease(now.Add(699 * time.Millisecond))
	require.True(t, ok)
	_, ok = c.Lease(now.Add(700 * time.Millisecond))
	require.False(t, ok)

	// A read is confirmed by a round that started after it, not by the answers to an earlier one.
	require.NoError(t, c.ReadIndex(now, 1))
	answer.From = 3
	require.NoError(t, c.Step(now, answer))
	r := c.Ready()
	require.Empty(t, r.Reads)
	answer.Round++
	require.NoError(t, c.Step(now, answer))
	r = c.Ready()
	require.Equal(t, []ReadState{{ID: 1, Index: 3}}, r.Reads)
}

// TestTruncateRollsBack guards against a membership, or a durable index, that outlives the entry it came from.
func TestTruncateRollsBack(t *testing.T) {
	t.Parallel()
	c := newVoter(t)
	alone := AppendMembership(nil, Membership{Members: []Member{{ID: 3, Voter: true}}})
	require.NoError(t, c.Step(0, Message{
		Type: MessageAppend, From: 3, To: 1, Term: 3, Index: 2, LogTerm: 2,
		Entries: []Entry{{Index: 3, Term: 3, Kind: EntryMembership, Data: alone}},
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
	require.Empty(t, r.Messages, "the acknowledgement left before the sync")
}
