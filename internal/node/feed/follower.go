package feed

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
)

const (
	// watchWait is how long a core node delays the response to a watch while there are no changes.
	watchWait = time.Second
	// watchTimeout bounds a watch. A call on a dead connection fails only after this time; until then, changes arrive
	// through the watches of other core nodes.
	watchTimeout = watchWait + 500*time.Millisecond
	// fetchTimeout bounds the fetch of a configuration.
	fetchTimeout = time.Second
	// retryPause is the pause after a failed watch.
	retryPause = 200 * time.Millisecond
	// unreachablePause is the pause after a failed watch of a core node that counts as unreachable.
	unreachablePause = time.Second
	// unreachableFailures is the number of consecutive failures after which a core node counts as unreachable.
	unreachableFailures = 5
	// dropFailures is the number of consecutive failures after which a core node that the settings do not name is no
	// longer watched, until another core node lists it.
	dropFailures = 30
)

// FollowerConfig holds the dependencies of a Follower.
type FollowerConfig struct {
	Node camphorhinge.NodeID
	Pool *peer.Pool
	// Seeds returns the peer addresses of core nodes that the settings currently name.
	Seeds    func() []string
	Registry *registry.Registry
	// OnScores is called with the encoded crash scores by request fingerprint when they have changed.
	OnScores func([]byte)
	Log      *slog.Logger
}

// Follower maintains an entry node's copy of the data of the core nodes.
type Follower struct {
	cfg   FollowerConfig
	index atomic.Pointer[routing.Index]
	// synced is set once a core node has sent all its targets.
	synced atomic.Bool
	// fetching serializes the fetches of the configuration.
	fetching sync.Mutex
	group    *errgroup.Group

	mu       sync.Mutex
	watching map[string]bool
	entries  map[string]int
	scores   string
}

// NewFollower returns a Follower without a configuration; it watches nothing until Run is called.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, watching: map[string]bool{}, entries: map[string]int{}}
}

// Index returns the index of the routing configuration in force, or nil if there is none yet.
func (f *Follower) Index() *routing.Index { return f.index.Load() }

// Synced reports whether a core node has sent all its targets.
func (f *Follower) Synced() bool { return f.synced.Load() }

// Entries returns the highest number of entry nodes that any watched core node reported, at least 1.
func (f *Follower) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for _, count := range f.entries {
		n = max(n, count)
	}
	return n
}

// Cores returns the peer addresses of the core nodes that are watched.
func (f *Follower) Cores() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.watching))
	for address := range f.watching {
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

// Run watches the core nodes until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	f.mu.Lock()
	f.group = g
	f.mu.Unlock()
	g.Go(func() error {
		ticker := time.NewTicker(unreachablePause)
		defer ticker.Stop()
		for {
			f.watchAll(ctx, f.cfg.Seeds())
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
	return g.Wait()
}

// Leave notifies the core nodes that this node accepts no new requests. Failures are only logged.
func (f *Follower) Leave(ctx context.Context) {
	var g errgroup.Group
	for _, address := range f.Cores() {
		g.Go(func() error {
			_, err := f.cfg.Pool.Get(address).Feed.Watch(ctx, &peerpb.WatchRequest{Node: string(f.cfg.Node), Leaving: true})
			if err != nil {
				f.cfg.Log.Debug("core node not notified of the stop", "core", address, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
}

// watchAll starts watches of the given core nodes, except those that are already watched.
func (f *Follower) watchAll(ctx context.Context, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		if f.watching[address] || ctx.Err() != nil {
			continue
		}
		f.watching[address] = true
		f.group.Go(func() error { return f.watch(ctx, address) })
	}
}

// watch watches one core node until ctx ends or the node has been unreachable for dropFailures calls.
func (f *Follower) watch(ctx context.Context, address string) error {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watching, address)
		delete(f.entries, address)
	}()
	var start, change uint64
	failures := 0
	for ctx.Err() == nil {
		resp, err := f.poll(ctx, address, start, change)
		if err == nil {
			if failures >= unreachableFailures {
				f.cfg.Log.Info("core node answers again", "core", address, "failures", failures)
			}
			failures = 0
			f.apply(ctx, address, resp)
			start, change = resp.GetStart(), resp.GetChange()
			continue
		}
		failures++
		if failures == unreachableFailures {
			f.cfg.Log.Warn("core node does not answer", "core", address, "error", err)
		}
		if failures >= dropFailures && !slices.Contains(f.cfg.Seeds(), address) {
			return nil
		}
		pause := retryPause
		if failures >= unreachableFailures {
			pause = unreachablePause
			f.mu.Lock()
			delete(f.entries, address)
			f.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

func (f *Follower) poll(ctx context.Context, address string, start, change uint64) (*peerpb.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return f.cfg.Pool.Get(address).Feed.Watch(ctx, &peerpb.WatchRequest{
		Node: string(f.cfg.Node), Start: start, Change: change, Version: uint64(f.version()),
		Wait: uint64(watchWait.Milliseconds()),
	})
}

func (f *Follower) version() camphorhinge.Version {
	if x := f.index.Load(); x != nil {
		return x.Config.Version
	}
	return 0
}

// apply puts the changes of a response in force: targets, configuration, number of entry nodes, crash scores and core
// nodes.
func (f *Follower) apply(ctx context.Context, address string, resp *peerpb.WatchResponse) {
	for _, t := range resp.GetTargets() {
		a, err := registry.Decode(t.GetAnnouncement())
		if err != nil {
			f.cfg.Log.Warn("announcement from a core node not decoded", "core", address, "error", err)
			continue
		}
		if _, err := f.cfg.Registry.Announce(a, time.Duration(t.GetAge())*time.Millisecond, false); err != nil {
			f.cfg.Log.Warn("announcement not accepted", "target", a.Name, "error", err)
		}
	}
	if camphorhinge.Version(resp.GetVersion()) > f.version() {
		if err := f.fetch(ctx, address); err != nil {
			f.cfg.Log.Warn("configuration not fetched", "core", address, "version", resp.GetVersion(), "error", err)
		}
	}
	f.mu.Lock()
	f.entries[address] = int(resp.GetEntries())
	scores := string(resp.GetScores())
	changed := scores != f.scores
	f.scores = scores
	f.mu.Unlock()
	if changed && len(scores) > 0 {
		f.cfg.OnScores([]byte(scores))
	}
	f.watchAll(ctx, resp.GetCores())
	if f.synced.CompareAndSwap(false, true) {
		f.cfg.Log.Info("targets received", "core", address, "targets", f.cfg.Registry.Len())
	}
}

// fetch updates the configuration to the version of a core node if that is higher.
func (f *Follower) fetch(ctx context.Context, address string) error {
	f.fetching.Lock()
	defer f.fetching.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := f.index.Load()
	resp, err := f.cfg.Pool.Get(address).Feed.Routing(ctx, &peerpb.RoutingRequest{Version: uint64(f.version())})
	if err != nil {
		return err
	}
	if len(resp.GetDelta()) == 0 {
		return nil
	}
	d, err := routing.DecodeDelta(resp.GetDelta())
	if err != nil {
		return err
	}
	if d.Version <= f.version() {
		return nil
	}
	var current *routing.Config
	if base != nil {
		current = base.Config
	}
	c, err := d.Apply(current)
	if err != nil {
		return fmt.Errorf("version %d: %w", d.Version, err)
	}
	f.index.Store(routing.NewIndex(c))
	f.cfg.Log.Info("configuration in force", "version", c.Version, "from", d.Base, "routes", len(c.Routes), "core", address)
	return nil
}
