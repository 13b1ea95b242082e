package discovery

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/admit"
)

type testClock struct{ now camphorhinge.Instant }

func (c *testClock) Now() camphorhinge.Instant { return c.now }

// node is a Service with its own peer port.
type node struct {
	*Service
	address  string
	registry *registry.Registry
	reports  *admit.Reports
	demands  []admit.Demand
	others   []string
	// received counts the calls of other nodes.
	received atomic.Int32
}

func start(t *testing.T, clock *testClock, name camphorhinge.NodeID) *node {
	t.Helper()
	s, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	n := &node{
		address: s.Address(), registry: registry.New(registry.Config{Clock: clock, Metrics: metrics.NewSet()}),
		reports: admit.NewReports(clock, func() int { return 2 }),
	}
	n.Service = New(Config{
		Node: name, Registry: n.registry, Pool: pool, Others: func() []string { return n.others }, Metrics: metrics.NewSet(),
		Demands: func() []admit.Demand { return n.demands }, Reports: n.reports,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, peer.Services{Spread: n}) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return n
}

// engine is the announcement of engine e1.
var engine = camphorhinge.Announcement{
	Name: "e1", Service: "s", Address: "127.0.0.1:9", Zone: "z", Incarnation: 1, Seq: 1, Kind: camphorhinge.KindEngine,
	Role: camphorhinge.RoleMixed, Fencing: camphorhinge.FencingChecked, Orders: camphorhinge.OrdersPlain,
}

// Guards against announcements and demand that don't reach the other node, or reach it changed: the age of
// announcements must be kept, and an empty demand must be sent.
func TestAnnouncementsAndDemandArrive(t *testing.T) {
	clock := &testClock{now: camphorhinge.Instant(time.Hour)}
	a, b := start(t, clock, "a"), start(t, clock, "b")
	a.others = []string{b.address}

	_, err := a.registry.Announce(engine, time.Second, true)
	require.NoError(t, err)
	a.announceChanges(t.Context())
	live := b.registry.Live("s")
	require.Len(t, live, 1)
	require.Equal(t, time.Second, clock.now.Sub(live[0].ReportedAt))

	a.demands = []admit.Demand{{Workspace: "w", Bucket: 3, Requests: 2.5, Tokens: 4000}, {Workspace: "w", Bucket: 7, Requests: 1}}
	a.reportDemand(t.Context())
	others, reporting := b.reports.Demand("w", 3)
	require.Equal(t, admit.Limit{Requests: 2.5, Tokens: 4000}, others)
	require.Equal(t, 1, reporting)
	a.demands = nil
	a.reportDemand(t.Context())
	others, reporting = b.reports.Demand("w", 3)
	require.Zero(t, others)
	require.Equal(t, 1, reporting)
	a.announceChanges(t.Context())
	_, reporting = b.reports.Demand("w", 3)
	require.Equal(t, 1, reporting, "a call without a report changes nothing")
	_, reporting = a.reports.Demand("w", 3)
	require.Zero(t, reporting)
}

// Guards against a node that keeps using a target that left while the node was unreachable: a target announces its
// leaving only once.
func TestMissedAnnouncementSentLater(t *testing.T) {
	clock := &testClock{now: camphorhinge.Instant(time.Hour)}
	a, b := start(t, clock, "a"), start(t, clock, "b")
	a.others = []string{b.address}
	_, err := a.registry.Announce(engine, 0, true)
	require.NoError(t, err)
	a.announceChanges(t.Context())
	require.True(t, b.registry.Live("s")[0].Serving)

	require.True(t, a.registry.MarkLeft("e1", 0))
	cut, cancel := context.WithCancel(t.Context())
	cancel()
	a.announceChanges(cut)
	require.True(t, b.registry.Live("s")[0].Serving)
	a.announceChanges(t.Context())
	require.False(t, b.registry.Live("s")[0].Serving)
}

// Guards against a report of a faulty or newer peer that exceeds the bounds or is counted in the wrong bucket.
func TestDecodeReport(t *testing.T) {
	r := &peerpb.DemandReport{Age: math.MaxUint64, Demands: []*peerpb.Demand{{Workspace: "w", Bucket: 256}}}
	got := decodeReport("a", r)
	require.Empty(t, got.Demands)
	require.Equal(t, admit.ReportExpiry, got.Age)
	for i := range 2 * admit.MaxDemands {
		r.Demands = append(r.Demands, &peerpb.Demand{Workspace: fmt.Sprint(i)})
	}
	require.Len(t, decodeReport("a", r).Demands, admit.MaxDemands-1)
}

// Announce implements peerpb.Spread and counts the calls.
func (n *node) Announce(ctx context.Context, req *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	n.received.Add(1)
	return n.Service.Announce(ctx, req)
}

// TestConfirm guards against a leave that is confirmed although only the node that confirms it holds it, and against one that is held back
// by a node that does not answer.
func TestConfirm(t *testing.T) {
	for _, tc := range []struct {
		name             string
		reachable, dead  int
		holders, holding int
		fails            bool
	}{
		{"alone", 0, 0, 2, 0, false},
		{"all answer", 4, 0, 2, 2, false},
		{"two of four", 2, 2, 2, 2, false},
		{"one of four", 1, 3, 2, 1, true},
		{"group of three", 2, 0, 1, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := &testClock{now: camphorhinge.Instant(time.Hour)}
			a := start(t, clock, "a")
			var others []*node
			for i := range tc.reachable {
				others = append(others, start(t, clock, camphorhinge.NodeID(fmt.Sprint(i))))
				a.others = append(a.others, others[i].address)
			}
			for range tc.dead {
				l, err := net.Listen("tcp", "127.0.0.1:0") // It accepts no connection.
				require.NoError(t, err)
				defer l.Close()
				a.others = append(a.others, l.Addr().String())
			}
			_, err := a.registry.Announce(engine, 0, true)
			require.NoError(t, err)
			a.announceChanges(t.Context())
			require.True(t, a.registry.MarkLeft("e1", 0))
			began := time.Now()
			err = a.Confirm(t.Context(), "e1", tc.holders)
			require.Equal(t, tc.fails, err != nil, "%v", err)
			if !tc.fails {
				require.Less(t, time.Since(began), batchTimeout)
			}
			held := 0
			for _, n := range others {
				if live := n.registry.Live("s"); len(live) == 1 && !live[0].Serving {
					held++
				}
			}
			require.GreaterOrEqual(t, held, tc.holding)
			require.NoError(t, a.confirmations.group.Wait())
		})
	}
}

// TestConfirmTogether guards against calls for each of many targets that leave at the same time, as in a release.
func TestConfirmTogether(t *testing.T) {
	const targets = 240
	clock := &testClock{now: camphorhinge.Instant(time.Hour)}
	a, b := start(t, clock, "a"), start(t, clock, "b")
	a.others = []string{b.address}
	for i := range targets {
		e := engine
		e.Name, e.Address = camphorhinge.TargetName(fmt.Sprint(i)), fmt.Sprintf("127.0.0.1:%d", 1000+i)
		_, err := a.registry.Announce(e, 0, true)
		require.NoError(t, err)
	}
	a.announceChanges(t.Context())
	before := b.received.Load()
	var g errgroup.Group
	for i := range targets {
		g.Go(func() error {
			name := camphorhinge.TargetName(fmt.Sprint(i))
			a.registry.MarkLeft(name, 0)
			return a.Confirm(t.Context(), name, 2)
		})
	}
	require.NoError(t, g.Wait())
	for _, live := range b.registry.Live("s") {
		require.False(t, live.Serving)
	}
	require.LessOrEqual(t, b.received.Load()-before, int32(targets/10))
	require.NoError(t, a.confirmations.group.Wait())
}

// TestLeavesArePassedOn guards against a leave that some nodes never hear of, since the one that received it ended first.
func TestLeavesArePassedOn(t *testing.T) {
	clock := &testClock{now: camphorhinge.Instant(time.Hour)}
	a, b, c := start(t, clock, "a"), start(t, clock, "b"), start(t, clock, "c")
	for _, n := range []*node{a, b, c} {
		n.cfg.PassOnLeaves = true
	}
	a.others, b.others = []string{b.address, c.address}, []string{a.address, c.address}
	_, err := a.registry.Announce(engine, 0, true)
	require.NoError(t, err)
	a.announceChanges(t.Context())
	a.others = []string{b.address}
	require.True(t, a.registry.MarkLeft("e1", 0))
	require.NoError(t, a.Confirm(t.Context(), "e1", 1))
	require.True(t, c.registry.Live("s")[0].Serving)
	b.announceChanges(t.Context())
	require.False(t, c.registry.Live("s")[0].Serving)
	require.Empty(t, a.registry.TakeDirect()[1:], "only its own")
	require.NoError(t, a.confirmations.group.Wait())
}
