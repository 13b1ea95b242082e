package server

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/order"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/member"
)

// bubbleClock returns the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Since(c.start) + time.Hour)
}

// Guards against an order that interrupts requests: an engine counts as drained only by a load report measured after
// its current cordon has been in force on all nodes for as long as a routed request may still be connecting.
func TestDrained(t *testing.T) {
	// A step waits, then changes something, and then checks Drained.
	type step struct {
		what  string
		after time.Duration
		do    func(*drainFixture)
		want  bool
	}
	confirm := func(b *drainFixture) { b.confirm() }
	report := func(running, waiting int, age time.Duration) func(*drainFixture) {
		return func(b *drainFixture) { b.report(running, waiting, age) }
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{name: "no decision", steps: []step{
			{what: "first check", do: report(0, 0, 0)}, {what: "second check", after: 5 * time.Second, do: report(0, 0, 0)},
		}},
		{name: "decision without a cordon", steps: []step{
			{what: "decision", do: func(b *drainFixture) { b.decide(false); b.confirm() }},
			{what: "idle", after: 5 * time.Second, do: report(0, 0, 0)},
		}},
		{name: "cordon not in force yet", steps: []step{
			{what: "cordon", do: func(b *drainFixture) { b.decide(true) }},
			{what: "empty, but a node may still send", after: 5 * time.Second, do: report(0, 0, 0)},
			{what: "in force", do: confirm},
			{what: "within the margin", after: 1999 * time.Millisecond, do: report(0, 0, 0)},
			{what: "after the margin", after: time.Second + time.Millisecond, do: report(0, 0, time.Second), want: true},
		}},
		{name: "isolated node can no longer serve", steps: []step{
			{what: "cordon", do: func(b *drainFixture) { b.decide(true) }},
			{what: "lease and stale limit have passed", after: 8800 * time.Millisecond},
			{what: "drained", after: drainMargin, do: report(0, 0, 0), want: true},
		}},
		{name: "report older than the cordon", steps: []step{
			{what: "cordon", do: func(b *drainFixture) { b.decide(true); b.confirm() }},
			{what: "measured before the margin ended", after: 3 * time.Second, do: report(0, 0, 1001*time.Millisecond)},
			{what: "measured after", after: time.Second, do: report(0, 0, 2*time.Second), want: true},
		}},
		{name: "still running", steps: []step{
			{what: "cordon", do: func(b *drainFixture) { b.decide(true); b.confirm() }},
			{what: "one runs", after: 3 * time.Second, do: report(1, 0, 0)},
			{what: "one waits", after: time.Second, do: report(0, 1, 0)},
			{what: "none", after: time.Second, do: report(0, 0, 0), want: true},
		}},
		{name: "engine expired", steps: []step{
			{what: "cordon", do: func(b *drainFixture) { b.decide(true); b.confirm(); b.report(0, 0, 0) }},
			{what: "no recent report", after: 5 * time.Second},
		}},
		{name: "cordon of an earlier, abandoned drain", steps: []step{
			{what: "cordon", do: func(b *drainFixture) { b.decide(true); b.confirm() }},
			{what: "abandoned", after: 3 * time.Second, do: func(b *drainFixture) { b.report(1, 0, 0); b.decide(false) }},
			{what: "second cordon, not in force", after: time.Second, do: func(b *drainFixture) { b.decide(true); b.report(0, 0, 0) }},
			{what: "in force", after: time.Second, do: func(b *drainFixture) { b.confirm(); b.report(0, 0, 0) }},
			{what: "drained", after: drainMargin, do: report(0, 0, 0), want: true},
		}},
		{name: "leader without leases", steps: []step{
			{what: "cordon", do: func(b *drainFixture) { b.decide(true); b.confirm(); b.leases.Follow() }},
			{what: "empty", after: 5 * time.Second, do: report(0, 0, 0)},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newDrainFixture()
				for _, s := range tt.steps {
					time.Sleep(s.after)
					if s.do != nil {
						s.do(b)
					}
					require.Equal(t, s.want, b.orders.Drained("e"), s.what)
				}
			})
		})
	}
}

// drainFixture holds the state that orders.Drained depends on. The only node, "a", confirms cordons.
type drainFixture struct {
	orders   *orders
	leases   *config.Leases
	table    *order.Table
	registry *registry.Registry
	seq      camphorhinge.Sequence
}

func newDrainFixture() *drainFixture {
	clock := bubbleClock{time.Now()}
	b := &drainFixture{
		leases: config.NewLeases(clock, config.StaleLimit), table: order.NewTable(),
		registry: registry.New(registry.Config{Clock: clock, Metrics: metrics.NewSet()}),
	}
	b.leases.Lead([]camphorhinge.NodeID{"a"})
	b.orders = &orders{
		server: &Server{clock: clock, registry: b.registry}, durable: &durableState{leases: b.leases, orderTable: b.table},
		cordoned: map[camphorhinge.TargetName]cordon{},
	}
	return b
}

func (b *drainFixture) decide(draining bool) {
	command, err := json.Marshal(map[string]any{"op": "decide", "term": 1, "engine": "e", "service": "s", "draining": draining})
	if err != nil {
		panic(err)
	}
	b.table.Apply(camphorhinge.Entry{Term: 1}, command)
}

func (b *drainFixture) confirm() {
	if err := b.leases.Renew("a", config.Position{OrdersRevision: b.table.Revision()}); err != nil {
		panic(err)
	}
}

func (b *drainFixture) report(running, waiting int, age time.Duration) {
	b.seq++
	if _, err := b.registry.Announce(camphorhinge.Announcement{
		Name: "e", Service: "s", Kind: camphorhinge.KindEngine, Seq: b.seq,
		Load: camphorhinge.Load{Running: running, Waiting: waiting, Age: age.Milliseconds()},
	}, 0, true); err != nil {
		panic(err)
	}
}

// listReplica is a leader that applies proposed changes to the list of nodes at once.
type listReplica struct{ *member.Table }

func (l listReplica) Propose(_ context.Context, _ camphorhinge.CommandKind, command []byte) ([]byte, error) {
	return l.Apply(camphorhinge.Entry{}, command), nil
}
func (listReplica) Authority() (camphorhinge.Term, bool) { return 1, true }
func (listReplica) Barrier(context.Context) error        { return nil }
func (listReplica) Leader() camphorhinge.ReplicaID       { return 1 }

// Guards against a list of nodes that grows without bound, which reduces each node's share of the limits, and against
// the removal of a node that may still serve.
func TestRemoveAbsent(t *testing.T) {
	for _, tt := range []struct {
		name    string
		replica camphorhinge.ReplicaID
		// during runs each minute.
		during func(minute int, l *config.Leases)
		// removedAt is the minute at which the node is removed from the list, or 0.
		removedAt int
	}{
		{name: "absent since before this leader", removedAt: 11},
		{name: "absent, with a replica", replica: 2},
		{name: "renews", during: func(_ int, l *config.Leases) { _ = l.Renew("a", config.Position{}) }},
		{name: "planned stop", removedAt: 11, during: func(_ int, l *config.Leases) { l.Release("a") }},
		{name: "planned stop and return", removedAt: 28, during: func(m int, l *config.Leases) {
			switch {
			case m <= 8:
				l.Release("a")
			case m <= 16:
				_ = l.Renew("a", config.Position{})
			case m == 17:
				l.Release("a")
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := bubbleClock{time.Now()}
				l := config.NewLeases(clock, config.StaleLimit)
				l.Lead([]camphorhinge.NodeID{"a"})
				d := &durableState{
					log: slog.New(slog.DiscardHandler), clock: clock, leases: l, members: member.New(),
					absentSince: map[camphorhinge.NodeID]camphorhinge.Instant{},
				}
				d.control = control.NewServer(control.ServerConfig{
					Replica: listReplica{d.members}, Members: d.members, Leases: l, Metrics: metrics.NewSet(),
				})
				require.NoError(t, d.members.Restore(mustJSON([]member.Node{{Name: "a", Address: "1:1", Replica: tt.replica}})))
				removedAt := 0
				for minute := 0; minute <= 30; minute++ {
					if tt.during != nil {
						tt.during(minute, l)
					}
					if d.removeAbsent(t.Context(), d.members.Nodes()) && removedAt == 0 {
						removedAt = minute
					}
					require.Equal(t, removedAt == 0, len(d.members.Nodes()) == 1)
					time.Sleep(time.Minute)
				}
				require.Equal(t, tt.removedAt, removedAt)
			})
		})
	}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
