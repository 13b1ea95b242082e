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
	// watchWait is how long a core node holds a watch without news.
	watchWait = time.Second
	// watchTimeout bounds a watch. A call on a silent connection is lost for this time, and a call to another core node
	// brings the news meanwhile.
	watchTimeout = watchWait + 500*time.Millisecond
	// fetchTimeout bounds the fetch of a configuration.
	fetchTimeout = time.Second
	// retryPause is the pause after a watch that failed.
	retryPause = 200 * time.Millisecond
	// unreachablePause is the pause after several watches of a core node that failed in a row.
	unreachablePause = time.Second
	// unreachableFailures is the number of such watches.
	unreachableFailures = 5
	// dropFailures is the number after which a core node that is not configured is no longer watched, until another names it.
	dropFailures = 30
)

// FollowerConfig holds what a Follower needs.
type FollowerConfig struct {
	Node camphorhinge.NodeID
	Pool *peer.Pool
	// Seeds returns the peer addresses from the settings.
	Seeds    func() []string
	Registry *registry.Registry
	// OnScores takes the crash counts by request fingerprint, encoded.
	OnScores func([]byte)
	Log      *slog.Logger
}

// Follower keeps an entry node's copy of what the core nodes know.
type Follower struct {
	cfg   FollowerConfig
	index atomic.Pointer[routing.Index]
	// synced is set once a core node has told all targets that it knows.
	synced atomic.Bool
	// fetching makes one fetch of the configuration run at a time.
	fetching sync.Mutex
	group    *errgroup.Group

	mu       sync.Mutex
	watching map[string]bool
	entries  map[string]int
	scores   string
}

// NewFollower returns a Follower that knows nothing yet.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, watching: map[string]bool{}, entries: map[string]int{}}
}

// Index returns the configuration in force, or nil.
func (f *Follower) Index() *routing.Index { return f.index.Load() }

// Synced reports whether a core node has told the targets that it knows.
func (f *Follower) Synced() bool { return f.synced.Load() }

// Entries returns the number of entry nodes as far as the core nodes know, at least 1.
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

// Run watches until ctx ends.
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

// Leave tells the core nodes that this node takes no new requests.
func (f *Follower) Leave(ctx context.Context) {
	var g errgroup.Group
	for _, address := range f.Cores() {
		g.Go(func() error {
			_, err := f.cfg.Pool.Get(address).Feed.Watch(ctx, &peerpb.WatchRequest{Node: string(f.cfg.Node), Leaving: true})
			if err != nil {
				f.cfg.Log.Debug("core node not told of the stop", "core", address, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
}

// watchAll starts to watch the core nodes that are not watched yet.
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

// watch watches one core node until ctx ends or the node stays away.
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

// apply puts an answer in force.
func (f *Follower) apply(ctx context.Context, address string, resp *peerpb.WatchResponse) {
	for _, t := range resp.GetTargets() {
		a, err := registry.Decode(t.GetAnnouncement())
		if err != nil {
			f.cfg.Log.Warn("announcement from a core node not understood", "core", address, "error", err)
			continue
		}
		if _, err := f.cfg.Registry.Announce(a, time.Duration(t.GetAge())*time.Millisecond, false); err != nil {
			f.cfg.Log.Warn("announcement not taken", "target", a.Name, "error", err)
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
	news := scores != f.scores
	f.scores = scores
	f.mu.Unlock()
	if news && len(scores) > 0 {
		f.cfg.OnScores([]byte(scores))
	}
	f.watchAll(ctx, resp.GetCores())
	if f.synced.CompareAndSwap(false, true) {
		f.cfg.Log.Info("targets known", "core", address, "targets", f.cfg.Registry.Len())
	}
}

// fetch brings the configuration to the version of a core node.
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
	var held *routing.Config
	if base != nil {
		held = base.Config
	}
	c, err := d.Apply(held)
	if err != nil {
		return fmt.Errorf("version %d: %w", d.Version, err)
	}
	f.index.Store(routing.NewIndex(c))
	f.cfg.Log.Info("configuration in force", "version", c.Version, "from", d.Base, "routes", len(c.Routes), "core", address)
	return nil
}
