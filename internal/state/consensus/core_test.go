package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	camphorhinge "example.org/camphorhinge"
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

// settle delivers messages until none is left.
func (g *group) settle(t *testing.T) {
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
		g.settle(t)
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
	g.settle(t)
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
		g.settle(t)
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
