package order

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/engine"
	standin "example.org/camphorhinge/internal/standin/engine"
)

// httpEnv is a controllerEnv whose engine is a stand-in behind the real client.
type httpEnv struct {
	*controllerEnv
	*engine.Client
	engine *standin.Engine
}

func (h *httpEnv) Live(camphorhinge.ServiceName) []*camphorhinge.Target {
	return []*camphorhinge.Target{{Announcement: h.engine.Target(), ReportedAt: h.Now()}}
}

func (h *httpEnv) Read(ctx context.Context, address string) (camphorhinge.Announcement, error) {
	return h.Client.Read(ctx, address)
}

func (h *httpEnv) Prepare(ctx context.Context, address string, f camphorhinge.Term, s camphorhinge.Sequence) engine.Result {
	return h.Client.Prepare(ctx, address, f, s)
}

func (h *httpEnv) Order(ctx context.Context, address string, o engine.Order) engine.Result {
	return h.Client.Order(ctx, address, o)
}

// TestOverHTTP guards against a controller and an engine that interpret the control protocol differently, also when
// the engine crashes with a change partly applied.
func TestOverHTTP(t *testing.T) {
	for _, k := range engineKinds() {
		t.Run(k.name, func(t *testing.T) {
			crash := 2 // the first order is the touch before the real one
			if k.orders == camphorhinge.OrdersTwoStep {
				crash = 1
			}
			e, err := standin.New(standin.Config{
				Name: testEngine, Service: testService, Incarnation: 1, Role: camphorhinge.RoleMixed,
				Models: []camphorhinge.ModelName{"m"}, Adapters: []camphorhinge.AdapterName{"a"}, Fencing: k.fencing, Orders: k.orders,
				ChangeTime: time.Millisecond, LoadTime: time.Millisecond, RestartTime: time.Millisecond, HalfApply: true, CrashOnOrder: crash,
			})
			require.NoError(t, err)
			client, err := engine.New(engine.Config{})
			require.NoError(t, err)
			defer client.Close()
			c := newCluster()
			w := &httpEnv{engine: e, Client: client, controllerEnv: &controllerEnv{
				term: 3, cluster: c, leaseEnd: time.Now().Add(time.Hour), delay: func() {}, loseAnswer: func() bool { return false },
			}}
			w.services = func() []Service { return []Service{{Name: testService, Models: []camphorhinge.ModelName{"n", "o"}}} }
			ctl := New(Config{
				Authority: w, Proposer: w, Targets: w, Engines: w, Drains: w, Clock: w, Table: c.startTerm(3), Services: w.services,
				Interval: time.Millisecond, PollInterval: time.Millisecond,
			})
			ctx, cancel := context.WithCancel(t.Context())
			var g errgroup.Group
			g.Go(func() error { return e.Run(ctx) })
			g.Go(func() error { return ctl.Run(ctx) })
			require.Eventually(t, func() bool {
				a := e.Target()
				return len(a.Adapters) == 0 && !c.table().Cordoned(&camphorhinge.Target{Announcement: a})
			}, 30*time.Second, time.Millisecond)
			require.Equal(t, 1, e.Counters().Crashes)
			require.Equal(t, []camphorhinge.ModelName{"n", "o"}, e.Target().Models)
			cancel()
			require.ErrorIs(t, g.Wait(), context.Canceled)
		})
	}
}
