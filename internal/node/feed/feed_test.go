package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/clock"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
)

func decode(document []byte) (*routing.Config, error) {
	var c routing.Config
	if err := json.Unmarshal(document, &c); err != nil {
		return nil, err
	}
	return &c, c.Validate()
}

// core is a core node's Source on a port.
type core struct {
	table    *routing.Table
	registry *registry.Registry
	source   *Source
	address  string
	cancel   context.CancelFunc
	group    errgroup.Group
	cores    atomic.Value
}

func newCore(t *testing.T) *core {
	t.Helper()
	c := &core{table: routing.NewTable(decode)}
	c.cores.Store([]string{})
	c.registry = registry.New(registry.Config{
		Clock: clock.New(), Expiry: time.Minute, Exclusive: true, Metrics: metrics.NewSet(), OnChange: func() { c.source.Changed() },
	})
	c.source = NewSource(SourceConfig{
		Registry: c.registry, Table: c.table, Clock: clock.New(), Scores: func() []byte { return nil },
		Cores: func() []string { return c.cores.Load().([]string) },
	})
	server, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	c.address = server.Address()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group.Go(func() error {
		return server.Serve(ctx, peer.Services{Replica: nothing{}, Control: nothing{}, Spread: nothing{}, Feed: c.source})
	})
	t.Cleanup(func() { c.stop(t) })
	return c
}

func (c *core) stop(t *testing.T) {
	t.Helper()
	c.cancel()
	require.NoError(t, c.group.Wait())
}

// configure applies a version with one route for each number.
func (c *core) configure(t *testing.T, version camphorhinge.Version, routes ...int) {
	t.Helper()
	x := routing.Config{Version: version, Services: []routing.Service{{Name: "s"}}}
	for _, n := range routes {
		x.Routes = append(x.Routes, routing.Route{
			Host: "h", Prefix: fmt.Sprintf("/%d/", n), Retry: routing.RetryIfNotRun, Timeout: time.Second,
			Shares: []routing.Share{{Service: "s", Weight: 1}},
		})
	}
	data, err := json.Marshal(x)
	require.NoError(t, err)
	c.table.Apply(camphorhinge.Entry{}, data)
	c.source.Changed()
}

func (c *core) announce(t *testing.T, seq camphorhinge.Sequence, leaving bool) {
	t.Helper()
	_, err := c.registry.Announce(camphorhinge.Announcement{
		Name: "t", Service: "s", Address: "127.0.0.1:1", Zone: "z", Incarnation: 1, Seq: seq, Kind: camphorhinge.KindService, Leaving: leaving,
	}, 0, true)
	require.NoError(t, err)
}

// nothing implements the services that the test does not use.
type nothing struct{}

var errUnused = errors.New("not used")

func (nothing) Step(context.Context, *peerpb.StepRequest) (*peerpb.StepResponse, error) {
	return nil, errUnused
}

func (nothing) Chunk(context.Context, *peerpb.ChunkRequest) (*peerpb.ChunkResponse, error) {
	return nil, errUnused
}

func (nothing) Propose(context.Context, *peerpb.ProposeRequest) (*peerpb.ProposeResponse, error) {
	return nil, errUnused
}

func (nothing) Read(context.Context, *peerpb.ReadRequest) (*peerpb.ReadResponse, error) {
	return nil, errUnused
}

func (nothing) Renew(context.Context, *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	return nil, errUnused
}

func (nothing) Join(context.Context, *peerpb.JoinRequest) (*peerpb.JoinResponse, error) {
	return nil, errUnused
}

func (nothing) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return nil, errUnused
}

func (nothing) Announce(context.Context, *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	return nil, errUnused
}

func (nothing) Known(context.Context, *peerpb.KnownRequest) (*peerpb.AnnounceRequest, error) {
	return nil, errUnused
}

// follow runs a Follower that starts with the given core nodes.
func follow(t *testing.T, seeds ...*core) (*Follower, *registry.Registry) {
	t.Helper()
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	r := registry.New(registry.Config{Clock: clock.New(), Expiry: time.Hour, Exclusive: true, Metrics: metrics.NewSet()})
	f := NewFollower(FollowerConfig{
		Node: "entry", Pool: pool, Registry: r, Scores: func([]byte) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Seeds: func() []string {
			var out []string
			for _, c := range seeds {
				out = append(out, c.address)
			}
			return out
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
		pool.Close()
	})
	return f, r
}

const soon = 5 * time.Second

func version(f *Follower) camphorhinge.Version {
	if x := f.Index(); x != nil {
		return x.Config.Version
	}
	return 0
}

// Guards what an entry node obeys: the highest version of any core node, by differences, and never a lower one again, also
// when a core node that lags behind answers later.
func TestHighestVersionHolds(t *testing.T) {
	a, b := newCore(t), newCore(t)
	a.configure(t, 3, 1, 2)
	f, _ := follow(t, a, b)
	require.Eventually(t, func() bool { return version(f) == 3 }, soon, time.Millisecond)
	b.configure(t, 2, 9)
	b.configure(t, 5, 2, 4)
	require.Eventually(t, func() bool { return version(f) == 5 }, soon, time.Millisecond)
	require.Nil(t, f.Index().Match("h", "/1/x"))
	require.NotNil(t, f.Index().Match("h", "/4/x"))
	a.configure(t, 4, 1)
	a.announce(t, 1, false) // It makes core node a answer.
	require.Never(t, func() bool { return version(f) != 5 }, 200*time.Millisecond, 5*time.Millisecond)
}

// Guards against a leaving target that entry nodes learn of late, and against a lost core node that delays it.
func TestLeavingIsToldAtOnce(t *testing.T) {
	a, b := newCore(t), newCore(t)
	a.cores.Store([]string{a.address, b.address})
	a.announce(t, 1, false)
	b.announce(t, 1, false)
	f, r := follow(t, a) // Core node b is only named by a.
	serving := func() bool {
		live := r.Live("s")
		return len(live) == 1 && live[0].Serving
	}
	require.Eventually(t, serving, soon, time.Millisecond)
	require.Eventually(t, func() bool { return len(f.Cores()) == 2 }, soon, time.Millisecond)
	a.stop(t)
	began := time.Now()
	b.announce(t, 2, true)
	require.Eventually(t, func() bool { return !serving() }, soon, time.Millisecond)
	require.Less(t, time.Since(began), time.Second)
}

// Guards the division of the retry budget: a core node counts the entry nodes that watch, and forgets one that left.
func TestEntriesAreCounted(t *testing.T) {
	a := newCore(t)
	f, _ := follow(t, a)
	require.Eventually(t, f.Synced, soon, time.Millisecond)
	_, err := a.source.Watch(t.Context(), &peerpb.WatchRequest{Node: "other"})
	require.NoError(t, err)
	a.announce(t, 1, false)
	require.Eventually(t, func() bool { return f.Entries() == 2 }, soon, time.Millisecond)
	_, err = a.source.Watch(t.Context(), &peerpb.WatchRequest{Node: "other", Leaving: true})
	require.NoError(t, err)
	a.announce(t, 2, true)
	require.Eventually(t, func() bool { return f.Entries() == 1 }, soon, time.Millisecond)
}
