package control

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/member"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/table"
)

var errLost = errors.New("lost")

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Since(c.start) + time.Hour)
}

// fakeReplica leads while its term is not 0, applies commands on the list of nodes at once, and fails with the errors
// set by the test.
type fakeReplica struct {
	term    atomic.Uint64
	propose error
	barrier error
	members *member.Table
	// onApplied runs after a command is applied and before Propose returns.
	onApplied func()
	commands  []string
}

func (r *fakeReplica) Propose(_ context.Context, kind camphorhinge.CommandKind, command []byte) ([]byte, error) {
	if r.propose != nil {
		return nil, r.propose
	}
	r.commands = append(r.commands, string(command))
	result := []byte("result")
	if kind == camphorhinge.CommandMember {
		result = r.members.Apply(camphorhinge.Entry{}, command)
	}
	if r.onApplied != nil {
		r.onApplied()
	}
	return result, nil
}

func (r *fakeReplica) Authority() (camphorhinge.Term, bool) {
	return camphorhinge.Term(r.term.Load()), r.term.Load() != 0
}
func (r *fakeReplica) Barrier(context.Context) error        { return r.barrier }
func (r *fakeReplica) Leader() camphorhinge.ReplicaID       { return 0 }
func (r *fakeReplica) Revision() camphorhinge.Revision      { return 7 }
func (r *fakeReplica) Encode() (engines []byte, rev uint64) { return []byte("engines"), 3 }
func (r *fakeReplica) Since(_ camphorhinge.Revision, full bool) table.Changes {
	return table.Changes{Full: full, Revision: 7}
}

type fakeOrders struct{ *fakeReplica }

func (fakeOrders) Revision() uint64 { return 3 }

// testServer is a Server with fake dependencies; node "a" is listed and has renewed.
type testServer struct {
	*Server
	replica *fakeReplica
	leases  *config.Leases
}

func newTestServer() *testServer {
	r := &fakeReplica{members: member.New()}
	r.term.Store(5)
	r.members.Apply(camphorhinge.Entry{}, encodeCommand(member.ActionPut, member.Node{Name: "a", Address: "1:1", Zone: "z", Replica: 9}))
	l := config.NewLeases(bubbleClock{time.Now()}, config.StaleLimit)
	l.Lead([]camphorhinge.NodeID{"a"})
	return &testServer{replica: r, leases: l, Server: NewServer(ServerConfig{
		Replica: r, Records: r, Orders: fakeOrders{r}, Members: r.members, Leases: l, Metrics: metrics.NewSet(),
		Scores:        func() []byte { return nil },
		Revision:      func([]byte) camphorhinge.Revision { return 8 },
		Cluster:       func() camphorhinge.ClusterID { return "c" },
		LeaderAddress: func() string { return "hint" },
		Queries: map[string]Query{
			"good": func(args []byte) ([]byte, error) { return args, nil },
			"bad":  func([]byte) ([]byte, error) { return nil, errLost },
		},
	})}
}

func encodeCommand(a member.Action, n member.Node) []byte {
	data, err := json.Marshal(member.Command{Action: a, Node: n})
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against an outcome that claims more than the leader can know: "done" for a change that is not in force, or
// "nothing was done" for a committed one.
func TestProposeOutcomes(t *testing.T) {
	const timeout = 20 * time.Second
	tests := []struct {
		name  string
		kind  camphorhinge.CommandKind
		setup func(*testServer)
		// later runs a second after the call began.
		later   func(*testServer)
		outcome string
		hint    string
		after   time.Duration
	}{
		{name: "leader", kind: camphorhinge.CommandClaim, outcome: OutcomeDone},
		{name: "not leader", setup: func(b *testServer) { b.replica.term.Store(0) }, outcome: OutcomeRedirect, hint: "hint"},
		{
			name: "no replica", outcome: OutcomeRedirect, hint: "hint",
			setup: func(b *testServer) { b.cfg.Replica = nil },
		},
		{
			name: "refused by the replica", setup: func(b *testServer) { b.replica.propose = camphorhinge.ErrNotLeader },
			outcome: OutcomeRedirect, hint: "hint",
		},
		{name: "uncertain proposal", setup: func(b *testServer) { b.replica.propose = camphorhinge.ErrUncertain }, outcome: OutcomeUncertain},
		{
			name: "record confirmed", kind: camphorhinge.CommandRecord, outcome: OutcomeDone, after: time.Second,
			later: func(b *testServer) { _ = b.leases.Renew("a", config.Position{Revision: 8}) },
		},
		{
			name: "record not confirmed before the leases end", kind: camphorhinge.CommandRecord, outcome: OutcomeDone,
			after: 8800 * time.Millisecond,
		},
		{
			name: "deposed between the commit and the answer", kind: camphorhinge.CommandRecord, outcome: OutcomeUncertain,
			setup: func(b *testServer) { b.replica.onApplied = b.leases.Follow },
		},
		{
			name: "deposed while the acceptance waits", kind: camphorhinge.CommandRecord, outcome: OutcomeUncertain,
			later: func(b *testServer) { b.leases.Follow() }, after: time.Second,
		},
		{
			name: "acceptance not known in time", kind: camphorhinge.CommandRecord, outcome: OutcomeUncertain, after: timeout,
			setup: func(b *testServer) { b.cfg.Leases.Lead([]camphorhinge.NodeID{"a"}) },
			later: func(b *testServer) {
				for range 19 { // Node "a" renews, but never confirms the revision.
					_ = b.leases.Renew("a", config.Position{Revision: 7})
					time.Sleep(time.Second)
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, start := newTestServer(), time.Now()
				if tt.setup != nil {
					tt.setup(b)
				}
				var g errgroup.Group
				if tt.later != nil {
					g.Go(func() error {
						time.Sleep(time.Second)
						tt.later(b)
						return nil
					})
				}
				resp, err := b.Propose(t.Context(), &peerpb.ProposeRequest{Kind: uint32(tt.kind), Timeout: uint64(timeout.Milliseconds())})
				require.NoError(t, err)
				require.Equal(t, tt.outcome, resp.GetOutcome(), resp.GetMessage())
				require.Equal(t, tt.hint, resp.GetLeader())
				require.Equal(t, tt.after, time.Since(start))
				require.NoError(t, g.Wait())
			})
		})
	}
}

// Guards against a read answered by a deposed leader, and against a refusal that looks like a lost answer.
func TestReadOutcomes(t *testing.T) {
	for _, tt := range []struct {
		name, query string
		setup       func(*fakeReplica)
		outcome     string
		result      string
	}{
		{name: "leader", query: "good", outcome: OutcomeDone, result: "x"},
		{name: "not leader", query: "good", setup: func(r *fakeReplica) { r.term.Store(0) }, outcome: OutcomeRedirect},
		{
			name: "deposed during the barrier", query: "good", outcome: OutcomeRedirect,
			setup: func(r *fakeReplica) { r.barrier = camphorhinge.ErrNotLeader },
		},
		{name: "refused query", query: "bad", outcome: OutcomeRefused, result: "lost"},
		{name: "unknown query", query: "none", outcome: OutcomeRefused, result: "unknown query none"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestServer()
			if tt.setup != nil {
				tt.setup(b.replica)
			}
			resp, err := b.Read(t.Context(), &peerpb.ReadRequest{Query: tt.query, Args: []byte("x")})
			require.NoError(t, err)
			require.Equal(t, tt.outcome, resp.GetOutcome())
			require.Equal(t, tt.result, string(resp.GetResult()))
		})
	}
}

// Guards against a granted lease that the current leader or a later one does not take into account.
func TestRenewOutcomes(t *testing.T) {
	behind := &peerpb.RenewRequest{Node: "a", Address: "1:1", Zone: "z", Revision: 6, Holds: 3}
	current := &peerpb.RenewRequest{Node: "a", Address: "1:1", Zone: "z", Revision: 7, Holds: 3}
	fresh := &peerpb.RenewRequest{Node: "b", Address: "2:2", Zone: "z", Full: true}
	removeNode := func(b *testServer) { _ = b.RemoveNode(context.Background(), "a", 0) }
	for _, tt := range []struct {
		name  string
		req   *peerpb.RenewRequest
		setup func(*testServer)
		// later runs 100 ms after the call began.
		later   func(*testServer)
		outcome string
		after   time.Duration
		// commands are the expected changes of the node list; counted is whether the node's lease counts.
		commands []string
		counted  bool
	}{
		{name: "behind", req: behind, outcome: OutcomeDone, counted: true},
		{name: "current, held", req: current, outcome: OutcomeDone, after: config.RenewWait, counted: true},
		{name: "not leader", req: behind, setup: func(b *testServer) { b.replica.term.Store(0) }, outcome: OutcomeRedirect, counted: true},
		{
			name: "node in a later term", outcome: OutcomeRedirect, counted: true,
			req: &peerpb.RenewRequest{Node: "a", Address: "1:1", Zone: "z", Term: 6},
		},
		{
			name: "deposed while held", req: current, outcome: OutcomeRedirect, after: config.RenewWait, counted: true,
			later: func(b *testServer) { b.replica.term.Store(0) },
		},
		{
			name: "deposed and elected again while held", req: current, outcome: OutcomeRedirect, after: config.RenewWait, counted: true,
			later: func(b *testServer) { b.replica.term.Store(7) },
		},
		{name: "leases of the leadership not counted yet", req: behind, setup: func(b *testServer) { b.leases.Follow() }, outcome: OutcomeRedirect, counted: true},
		{
			name: "new node", req: fresh, outcome: OutcomeDone, counted: true,
			commands: []string{`{"action":"put","node":{"name":"b","address":"2:2","zone":"z"}}`},
		},
		{
			name: "new node not listed", req: fresh, outcome: OutcomeRedirect,
			setup: func(b *testServer) { b.replica.propose = camphorhinge.ErrUncertain },
		},
		{
			name: "node moved", outcome: OutcomeDone, counted: true,
			req:      &peerpb.RenewRequest{Node: "a", Address: "1:2", Zone: "z"},
			commands: []string{`{"action":"put","node":{"name":"a","address":"1:2","zone":"z"}}`},
		},
		{name: "leaving", req: &peerpb.RenewRequest{Node: "a", Leaving: true}, outcome: OutcomeDone},
		{name: "unlisted node leaving", req: &peerpb.RenewRequest{Node: "b", Leaving: true}, outcome: OutcomeDone},
		{
			name: "removed while held", req: current, later: func(b *testServer) {
				time.Sleep(time.Millisecond)
				removeNode(b)
			}, outcome: OutcomeRedirect, after: config.RenewWait,
			commands: []string{`{"action":"remove","node":{"name":"a","address":"","zone":""}}`},
		},
		{
			name: "back after a removal", req: behind, setup: removeNode, outcome: OutcomeDone, counted: true,
			commands: []string{
				`{"action":"remove","node":{"name":"a","address":"","zone":""}}`, `{"action":"put","node":{"name":"a","address":"1:1","zone":"z"}}`,
			},
		},
		{
			name: "back after a removal of uncertain outcome", req: behind, outcome: OutcomeDone, counted: true,
			setup: func(b *testServer) {
				b.replica.propose = camphorhinge.ErrUncertain
				removeNode(b)
				b.replica.propose = nil
			},
			commands: []string{`{"action":"put","node":{"name":"a","address":"1:1","zone":"z"}}`},
		},
		{
			name: "back before the removal began", req: behind, outcome: OutcomeDone, counted: true,
			setup: func(b *testServer) { _ = b.RemoveNode(context.Background(), "a", time.Hour) },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestServer()
				time.Sleep(time.Second)
				if tt.setup != nil {
					tt.setup(b)
				}
				start := time.Now()
				var g errgroup.Group
				if tt.later != nil {
					g.Go(func() error {
						time.Sleep(100 * time.Millisecond)
						tt.later(b)
						return nil
					})
				}
				resp, err := b.Renew(t.Context(), tt.req)
				require.NoError(t, err)
				require.Equal(t, tt.outcome, resp.GetOutcome())
				require.Equal(t, tt.after, time.Since(start))
				require.Equal(t, tt.commands, b.replica.commands)
				lease, counted := b.leases.Members()[camphorhinge.NodeID(tt.req.GetNode())]
				require.Equal(t, tt.counted, counted)
				if tt.outcome == OutcomeDone && !tt.req.GetLeaving() {
					require.Equal(t, tt.after, lease.Age, "the lease is counted from the arrival of the request")
					require.Equal(t, uint64(2000), resp.GetLease())
					_, listed := b.replica.members.Get(camphorhinge.NodeID(tt.req.GetNode()))
					require.True(t, listed)
				}
				require.NoError(t, g.Wait())
			})
		})
	}
}

// Guards against a lease granted to a node while its removal from the list is under way.
func TestNoLeaseDuringRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestServer()
		time.Sleep(time.Second)
		b.replica.onApplied = func() {
			b.replica.onApplied = nil
			resp, err := b.Renew(t.Context(), &peerpb.RenewRequest{Node: "a", Address: "1:1", Zone: "z"})
			require.NoError(t, err)
			require.Equal(t, OutcomeRedirect, resp.GetOutcome())
		}
		require.NoError(t, b.RemoveNode(t.Context(), "a", 0))
		require.Empty(t, b.replica.members.Nodes())
		require.Empty(t, b.leases.Members())
	})
}

// Guards against a data folder of another cluster that joins, and against an update of the list by a renewal, which
// names no replica, that removes the replica of a node that has just joined.
func TestJoin(t *testing.T) {
	b := newTestServer()
	join := func(cluster string) string {
		resp, err := b.Join(t.Context(), &peerpb.JoinRequest{
			Cluster: cluster, Node: &peerpb.Node{Name: "a", Address: "1:2", Zone: "z", Replica: 10},
		})
		require.NoError(t, err)
		return resp.GetOutcome()
	}
	require.Equal(t, OutcomeRefused, join("other"))
	require.Empty(t, b.replica.commands)
	require.Equal(t, OutcomeDone, join("c"))
	b.replica.members.Apply(camphorhinge.Entry{}, encodeCommand(member.ActionPut, member.Node{Name: "a", Address: "1:2", Zone: "z"}))
	n, _ := b.replica.members.Get("a")
	require.Equal(t, camphorhinge.ReplicaID(10), n.Replica)
	b.replica.propose = camphorhinge.ErrUncertain
	require.Equal(t, OutcomeUncertain, join(""))
	b.replica.term.Store(0)
	require.Equal(t, OutcomeRedirect, join(""))
}
