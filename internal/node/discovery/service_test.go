package discovery

import (
	"context"
	"fmt"
	"math"
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
