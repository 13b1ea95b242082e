package order

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/engine"
)

// TestController guards, for each order protocol, against an order that is repeated, lost, sent without need or never
// completed when an answer is lost, the engine crashes or disappears, or an earlier order was left open.
func TestController(t *testing.T) {
	all := engineKinds()
	plain := engineKind{"plain", camphorhinge.FencingIgnored, camphorhinge.OrdersPlain}
	both := engineKind{"checked and twostep", camphorhinge.FencingChecked, camphorhinge.OrdersTwoStep}
	type env struct {
		*controllerEnv
		service *Service
	}
	// once returns a function that is true only at the n-th call.
	once := func(n int) func() bool {
		var calls atomic.Int32
		return func() bool { return calls.Add(1) == int32(n) }
	}
	tests := []struct {
		name  string
		kinds []engineKind
		set   func(*env)
		// after is called 4 s into the run.
		after  func(*env)
		orders int
		state  EngineState
		order  State
		reason string
	}{
		{name: "change", kinds: append(all, both), orders: 1, state: EngineServing, order: Done},
		{name: "nothing to do", kinds: all, set: func(w *env) { w.service.Models = []camphorhinge.ModelName{"m"} }, state: EngineServing},
		{name: "crash with the change partly applied", kinds: all, set: func(w *env) { w.engine.crashOnChange = 1 }, orders: 2, state: EngineServing, order: Done},
		{name: "long change", kinds: all, set: func(w *env) { w.engine.changeTime = 20 * time.Second }, orders: 1, state: EngineServing, order: Done},
		{name: "never drained", kinds: all, set: func(w *env) { w.neverDrained.Store(true) }, state: EngineMatching, order: Abandoned, reason: errDrainTimeout.Error()},
		{
			name: "vanishes during the change", kinds: all, set: func(w *env) { w.engine.changeTime = 10 * time.Second },
			after: func(w *env) { w.expired.Store(true) }, orders: 1, state: EngineLost, order: Sent, reason: errNotLive.Error(),
		},
		{name: "an engine that left its role by itself", kinds: all, set: func(w *env) {
			w.service.Models = []camphorhinge.ModelName{"m"}
			w.service.Change = &RoleChange{ID: 1, From: camphorhinge.RoleMixed, To: camphorhinge.RoleDecode}
		}, after: func(w *env) { w.engine.setRole(camphorhinge.RoleMixed) }, orders: 2, state: EngineServing, order: Done},
		{name: "leaving", kinds: all, set: func(w *env) { w.engine.a.Leaving = true }, state: EngineMatching},
		{
			name: "lease lost while draining", kinds: all, set: func(w *env) { w.neverDrained.Store(true); w.leaseEnd = time.Now().Add(2 * time.Second) },
			after: func(w *env) { w.neverDrained.Store(false) }, state: EngineDraining, order: Draining, reason: errLeaseLost.Error(),
		},
		{name: "plain", kinds: []engineKind{plain}, state: EngineServing, reason: ReasonUnfenced},
		{name: "plain and unfenced", kinds: []engineKind{plain}, set: func(w *env) { w.service.Unfenced = true }, orders: 1, state: EngineServing, order: Done},
		{name: "open order of a predecessor that took effect", kinds: all, set: func(w *env) {
			w.engine.a.Models = []camphorhinge.ModelName{"n"}
			commitOpenOrder(w.cluster, desired(camphorhinge.RoleMixed, "n"))
		}, state: EngineServing, order: Done},
		{name: "open order of a predecessor that never arrived", kinds: all, set: func(w *env) {
			commitOpenOrder(w.cluster, desired(camphorhinge.RoleMixed, "n"))
		}, orders: 1, state: EngineServing, order: Done},
		{name: "open order of a predecessor that is being carried out", kinds: all, set: func(w *env) {
			commitOpenOrder(w.cluster, desired(camphorhinge.RoleMixed, "x"))
			w.engine.a.Busy = true
			time.AfterFunc(3*time.Second, func() {
				w.engine.finish(engine.Order{Role: camphorhinge.RoleMixed, Models: []camphorhinge.ModelName{"x"}}, 0)
			})
		}, orders: 1, state: EngineServing, order: Done},
	}
	// Loses the answer of each call of a change in turn; the order still takes effect once.
	for n := 1; n <= 12; n++ {
		tests = append(tests, tests[0])
		last := &tests[len(tests)-1]
		last.name = "answer lost at call " + string(rune('a'+n-1))
		last.set = func(w *env) { w.loseAnswer = once(n) }
	}
	for _, tt := range tests {
		for _, k := range tt.kinds {
			t.Run(tt.name+"/"+k.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e, c := newFakeEngine(k.fencing, k.orders), newCluster()
					service := Service{Name: testService, Models: []camphorhinge.ModelName{"n"}}
					w := &env{service: &service, controllerEnv: &controllerEnv{
						term: 5, cluster: c, engine: e, leaseEnd: time.Now().Add(time.Hour), lag: time.Second,
						delay: func() { time.Sleep(time.Millisecond) }, delayOrder: func() {}, loseAnswer: func() bool { return false },
						services: func() []Service { return []Service{service} },
					}}
					if tt.set != nil {
						tt.set(w)
					}
					ctl := w.controller(c.startTerm(5))
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					var g errgroup.Group
					g.Go(func() error { return ctl.Run(ctx) })
					time.Sleep(4 * time.Second)
					if tt.after != nil {
						tt.after(w)
					}
					time.Sleep(26500 * time.Millisecond)
					status := ctl.Status()
					cancel()
					require.ErrorIs(t, g.Wait(), context.Canceled)
					require.Empty(t, e.faults)
					require.Len(t, e.accepted, tt.orders)
					require.Len(t, status, 1)
					require.Equal(t, tt.state, status[0].State, "%+v", status)
					if tt.order != "" {
						require.Equal(t, tt.order, status[0].Order, "%+v", status)
					}
					require.Contains(t, status[0].Reason, tt.reason)
					cordoned := c.table().Cordoned(&camphorhinge.Target{Announcement: e.read()})
					require.Equal(t, tt.state != EngineServing, cordoned)
				})
			})
		}
	}
}

// commitOpenOrder commits an open order of an earlier term.
func commitOpenOrder(c *cluster, d Desired) {
	c.startTerm(4)
	s := &controllerEnv{term: 4, cluster: c, delay: func() {}, loseAnswer: func() bool { return false }}
	for _, cmd := range []command{
		{Op: opDecide, Term: 4, Engine: testEngine, Service: testService, Desired: d, Draining: true},
		{Op: opRecord, Term: 4, Engine: testEngine, Order: &Order{Engine: testEngine, Incarnation: 1, Fence: 4, Seq: 2, Desired: d}},
	} {
		if _, err := s.Propose(context.Background(), camphorhinge.CommandOrder, mustEncode(cmd)); err != nil {
			panic(err)
		}
	}
}

// TestLoadBudgetAfterMassRestart guards against more loads at a time than the budget allows, and a load that
// overtakes one with more goodput per byte.
func TestLoadBudgetAfterMassRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		w := &fleetEnv{controllerEnv: &controllerEnv{
			term: 1, cluster: c, leaseEnd: time.Now().Add(time.Hour),
			delay: func() { time.Sleep(time.Millisecond) }, delayOrder: func() {}, loseAnswer: func() bool { return false },
		}}
		for i := range 6 {
			e := newFakeEngine(camphorhinge.FencingChecked, camphorhinge.OrdersPlain)
			e.a.Name = camphorhinge.TargetName(rune('a' + i))
			e.a.Address, e.a.Models, e.changeTime = string(e.a.Name), nil, 4*time.Second
			if i >= 4 {
				e.a.Service = "small"
			}
			w.engines = append(w.engines, e)
		}
		weights := map[camphorhinge.ModelName]int64{"large": 100, "small": 10}
		w.services = func() []Service {
			return []Service{
				{Name: testService, Models: []camphorhinge.ModelName{"large"}, ModelBytes: weights, Goodput: 100},
				{Name: "small", Models: []camphorhinge.ModelName{"small"}, ModelBytes: weights, Goodput: 100},
			}
		}
		ctl := New(Config{
			Authority: w, Proposer: w, Targets: w, Engines: w, Drains: w, Clock: w, Table: c.startTerm(1), Services: w.services,
			Budget: NewBudget(2, 1000),
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var g errgroup.Group
		g.Go(func() error { return ctl.Run(ctx) })
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"e", "f"}, w.loading(), "the small models give more goodput per byte")
		time.Sleep(4 * time.Second)
		require.Equal(t, []string{"a", "b"}, w.loading())
		time.Sleep(10 * time.Second)
		require.Empty(t, w.loading())
		for _, s := range ctl.Status() {
			require.Equal(t, EngineServing, s.State)
		}
		cancel()
		require.ErrorIs(t, g.Wait(), context.Canceled)
	})
}

// TestRoleChangeOnceAndRemoval guards against a role change that is carried out on more than one engine, and against
// entries that stay after their engines have been absent for removeAfter.
func TestRoleChangeOnceAndRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		w := &fleetEnv{controllerEnv: &controllerEnv{
			term: 1, cluster: c, leaseEnd: time.Now().Add(100 * time.Hour), delay: func() {}, delayOrder: func() {}, loseAnswer: func() bool { return false },
		}}
		for i := range 3 {
			e := newFakeEngine(camphorhinge.FencingChecked, camphorhinge.OrdersPlain)
			e.a.Name = camphorhinge.TargetName(rune('a' + i))
			e.a.Address = string(e.a.Name)
			w.engines = append(w.engines, e)
		}
		change := &RoleChange{ID: 3, From: camphorhinge.RoleMixed, To: camphorhinge.RoleDecode}
		w.services = func() []Service {
			return []Service{{Name: testService, Models: []camphorhinge.ModelName{"m"}, Change: change}}
		}
		table := c.startTerm(1)
		ctl := New(Config{
			Authority: w, Proposer: w, Targets: w, Engines: w, Drains: w, Clock: w, Table: table, Services: w.services,
			Interval: time.Minute,
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var g errgroup.Group
		g.Go(func() error { return ctl.Run(ctx) })
		time.Sleep(time.Hour)
		require.Equal(t, camphorhinge.RoleDecode, w.engines[0].read().Role)
		require.Equal(t, camphorhinge.RoleMixed, w.engines[1].read().Role)
		require.Equal(t, camphorhinge.RoleMixed, w.engines[2].read().Role)
		w.expired.Store(true)
		time.Sleep(23 * time.Hour)
		require.Len(t, table.Entries(), 3)
		time.Sleep(2 * time.Hour)
		require.Empty(t, table.Entries())
		require.Empty(t, ctl.Status())
		cancel()
		require.ErrorIs(t, g.Wait(), context.Canceled)
	})
}

// fleetEnv is a controllerEnv with several engines.
type fleetEnv struct {
	*controllerEnv
	engines []*fakeEngine
}

func (f *fleetEnv) loading() []string {
	var out []string
	for _, e := range f.engines {
		if e.read().Busy {
			out = append(out, e.a.Address)
		}
	}
	return out
}

func (f *fleetEnv) find(address string) *controllerEnv {
	for _, e := range f.engines {
		if e.a.Address == address {
			return &controllerEnv{
				term: f.term, cluster: f.cluster, leaseEnd: f.leaseEnd, engine: e, delay: f.delay, delayOrder: f.delayOrder, loseAnswer: f.loseAnswer,
			}
		}
	}
	return nil
}

func (f *fleetEnv) Live(service camphorhinge.ServiceName) []*camphorhinge.Target {
	var out []*camphorhinge.Target
	for _, e := range f.engines {
		if f.expired.Load() {
			return nil
		}
		if a := e.read(); a.Service == service {
			out = append(out, &camphorhinge.Target{Announcement: a, ReportedAt: f.Now()})
		}
	}
	return out
}

func (f *fleetEnv) Read(ctx context.Context, address string) (camphorhinge.Announcement, error) {
	return f.find(address).Read(ctx, address)
}

func (f *fleetEnv) Order(ctx context.Context, address string, o engine.Order) engine.Result {
	return f.find(address).Order(ctx, address, o)
}
