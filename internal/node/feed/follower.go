package feed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
)

const (
	// watchWait is how long a core node delays the response to a watch while there are no changes.
	watchWait = time.Second
	// lightWait is how long a core node delays the response to a light watch.
	lightWait = maxWait
	// watchMargin is added to the wait to bound a watch. A call on a dead connection fails only after this time; until
	// then, changes arrive through the watch of another core node.
	watchMargin = 500 * time.Millisecond
	// changeSources is the number of core nodes from which an entry node receives changes. The others are watched for
	// their presence, their contact with the leader and to be counted there: the same changes from all of them would multiply the
	// traffic.
	changeSources = 2
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
	// Zone is the node's own zone, whose core nodes are preferred as sources of changes.
	Zone camphorhinge.Zone
	// Feed returns the RPC client of the core node at a peer address.
	Feed func(address string) peerpb.Feed
	// Seeds returns the peer addresses of core nodes that the settings currently name.
	Seeds    func() []string
	Registry *registry.Registry
	// OnScores is called with the encoded crash scores by request fingerprint when they have changed.
	OnScores func([]byte)
	// RevocationBound is the time after which a removed key must not be accepted, or 0 without such a bound.
	RevocationBound time.Duration
	// Clock counts the time for which the machine is suspended as well.
	Clock camphorhinge.Clock
	// OnResponse, if set, is called with each response to a watch as soon as it is received.
	OnResponse func(address string, resp *peerpb.WatchResponse)
	Log        *slog.Logger
}

// Follower maintains an entry node's copy of the data of the core nodes.
type Follower struct {
	cfg   FollowerConfig
	index atomic.Pointer[routing.Index]
	// synced is set once a core node has sent all its targets.
	synced atomic.Bool
	// confirmed is the latest time for which it is known that the configuration in force was the newest, or 0.
	confirmed atomic.Int64
	// fetching serializes the fetches of the configuration; it holds one element during a fetch.
	fetching chan struct{}
	group    *errgroup.Group

	mu       sync.Mutex
	watching map[string]*watchedCore
	// entries is the number of entry nodes, and shards what is known of the shards, by the address of the core node that reported it.
	entries map[string]int
	shards  map[string]reportedShards
}

// reportedShards are the numbers of engines in the shards of each service, and the sorted addresses of the core nodes. known is not set
// for a core node of an earlier version, which does not place requests for single shards.
type reportedShards struct {
	known    bool
	services map[camphorhinge.ServiceName][]int
	cores    []string
}

// watchedCore is the state of the watch of one core node.
type watchedCore struct {
	// zone is the core node's zone, as far as known.
	zone camphorhinge.Zone
	// isolated is set while the core node states that it has lost contact with the leader.
	isolated bool
	// failures counts consecutive failures.
	failures int
	// legacy is set for a core node of an earlier version, which knows no light watches.
	legacy bool
	// scores is the hash of the crash scores that the core node has sent.
	scores uint64
	// interrupt ends the light watch in progress; nil without one.
	interrupt context.CancelFunc
	// urgent is set when the latest watch did not wait, since the confirmation of the configuration was old.
	urgent bool
}

// NewFollower returns a Follower without a configuration; it watches nothing until Run is called.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, fetching: make(chan struct{}, 1), watching: map[string]*watchedCore{}, entries: map[string]int{}, shards: map[string]reportedShards{}}
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

// Shards returns the number of engines in each shard of a service and the core nodes that place requests, sorted. The numbers are nil
// while the service must be treated as undivided, since a core node does not place requests for single shards. Of several reports the
// one with most shards counts.
func (f *Follower) Shards(service camphorhinge.ServiceName) (engines []int, cores []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := ""
	for address, r := range f.shards {
		if !r.known {
			return nil, nil
		}
		n := len(r.services[service])
		if n > len(engines) || n == len(engines) && address < from {
			engines, cores, from = r.services[service], r.cores, address
		}
	}
	return engines, cores
}

// recordShards records a core node's report of the shards. The caller holds f.mu.
func (f *Follower) recordShards(address string, resp *peerpb.WatchResponse) {
	r := reportedShards{
		known: resp.GetSharding(), services: map[camphorhinge.ServiceName][]int{}, cores: slices.Sorted(slices.Values(resp.GetCores())),
	}
	for _, x := range resp.GetShards() {
		engines := make([]int, 0, len(x.GetEngines()))
		for _, n := range x.GetEngines() {
			engines = append(engines, int(n))
		}
		r.services[camphorhinge.ServiceName(x.GetService())] = engines
	}
	f.shards[address] = r
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

// Relays returns the peer addresses of the core nodes that answer, in the order of precedes.
func (f *Follower) Relays() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.watching))
	for address, c := range f.watching {
		if c.failures == 0 {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if f.precedes(a, f.watching[a], b, f.watching[b]) {
			return -1
		}
		return 1
	})
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
			_, err := f.cfg.Feed(address).Watch(ctx, &peerpb.WatchRequest{Node: string(f.cfg.Node), Leaving: true})
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
		if f.watching[address] != nil || ctx.Err() != nil {
			continue
		}
		f.watching[address] = &watchedCore{}
		f.group.Go(func() error { return f.watch(ctx, address) })
	}
}

// isSource reports whether this node receives changes from the core node: it is one of the first changeSources that
// answer, in the order of precedes. The caller holds f.mu.
func (f *Follower) isSource(address string) bool {
	own := f.watching[address]
	if own.legacy {
		return true
	}
	if own.failures > 0 {
		return false
	}
	before := 0
	for other, c := range f.watching {
		if other != address && c.failures == 0 && f.precedes(other, c, address, own) {
			before++
		}
	}
	return before < changeSources
}

// precedes reports whether core node a is preferred to b: one in contact with the leader to an isolated one, which lacks the changes
// that the majority has accepted since, then one of the node's own zone, and then by a hash that spreads the nodes over the core nodes.
func (f *Follower) precedes(a string, stateA *watchedCore, b string, stateB *watchedCore) bool {
	if stateA.isolated != stateB.isolated {
		return stateB.isolated
	}
	if nearA, nearB := stateA.zone == f.cfg.Zone, stateB.zone == f.cfg.Zone; nearA != nearB {
		return nearA
	}
	return xxhash.Sum64String(string(f.cfg.Node)+" "+a) < xxhash.Sum64String(string(f.cfg.Node)+" "+b)
}

// interruptLight ends the light watches in progress, so that another core node becomes a source at once. The caller holds f.mu.
func (f *Follower) interruptLight() {
	for _, c := range f.watching {
		if c.interrupt != nil {
			c.interrupt()
		}
	}
}

// recordFailure counts a failed watch of a core node, and returns the number of consecutive ones.
func (f *Follower) recordFailure(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.watching[address]
	c.failures++
	if c.failures == 1 {
		f.interruptLight()
	}
	if c.failures >= unreachableFailures {
		delete(f.entries, address)
		delete(f.shards, address)
	}
	return c.failures
}

// recordSuccess records a successful watch, and returns the number of failures before it.
func (f *Follower) recordSuccess(address string, resp *peerpb.WatchResponse) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.watching[address]
	before := c.failures
	c.failures, c.zone, c.legacy = 0, camphorhinge.Zone(resp.GetZone()), resp.GetZone() == ""
	if c.isolated != resp.GetIsolated() {
		c.isolated = resp.GetIsolated()
		f.cfg.Log.Info("contact of a core node with the leader changed", "core", address, "isolated", c.isolated)
		f.interruptLight()
	}
	return before
}

// watch watches one core node until ctx ends or the node has been unreachable for dropFailures calls.
func (f *Follower) watch(ctx context.Context, address string) error {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watching, address)
		delete(f.entries, address)
		delete(f.shards, address)
	}()
	var start, change uint64
	for ctx.Err() == nil {
		sent := f.cfg.Clock.Now()
		resp, light, err := f.poll(ctx, address, start, change)
		if errors.Is(err, errInterrupted) {
			continue
		}
		if err == nil {
			if f.cfg.OnResponse != nil {
				f.cfg.OnResponse(address, resp)
			}
			if failures := f.recordSuccess(address, resp); failures >= unreachableFailures {
				f.cfg.Log.Info("core node answers again", "core", address, "failures", failures)
			}
			f.apply(ctx, address, resp)
			f.recordConfirmed(sent, resp)
			if !light {
				start, change = resp.GetStart(), resp.GetChange()
				f.recordSync(address, start)
			}
			continue
		}
		failures := f.recordFailure(address)
		if failures == unreachableFailures {
			f.cfg.Log.Warn("core node does not answer", "core", address, "error", err)
		}
		if failures >= dropFailures && !slices.Contains(f.cfg.Seeds(), address) {
			return nil
		}
		pause := retryPause
		if failures >= unreachableFailures {
			pause = unreachablePause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// recordSync records that a core node has sent all the targets that this node did not have.
func (f *Follower) recordSync(address string, start uint64) {
	if start != 0 && f.synced.CompareAndSwap(false, true) {
		f.cfg.Log.Info("targets received", "core", address, "targets", f.cfg.Registry.Len())
	}
}

// errInterrupted marks a light watch that was ended because this node needs another source of changes.
var errInterrupted = errors.New("the light watch was ended")

// poll makes one watch of a core node, and reports whether it was a light one.
func (f *Follower) poll(ctx context.Context, address string, start, change uint64) (resp *peerpb.WatchResponse, light bool, err error) {
	req := &peerpb.WatchRequest{Node: string(f.cfg.Node), Version: uint64(f.version()), Compact: true, Wait: uint64(watchWait.Milliseconds())}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	req.Scores = f.watching[address].scores
	if light = !f.isSource(address); light {
		req.Light, req.Wait = true, uint64(lightWait.Milliseconds())
		f.watching[address].interrupt = cancel
	}
	if f.watching[address].failures > 0 {
		req.Wait = 0 // Any answer shows that the core node may be a source again.
	}
	limit := time.Duration(req.GetWait())*time.Millisecond + watchMargin
	if !light {
		req.Wait = min(req.GetWait(), uint64(f.confirmWait(f.watching[address]).Milliseconds()))
	}
	f.mu.Unlock()
	if !light {
		req.Start, req.Change = start, change
		if start == 0 {
			digests := f.cfg.Registry.Digests()
			req.Digests = digests[:]
		}
	}
	callCtx, cancelCall := context.WithTimeout(watchCtx, limit)
	defer cancelCall()
	resp, err = f.cfg.Feed(address).Watch(callCtx, req)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching[address].interrupt = nil
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return nil, light, errInterrupted
	}
	return resp, light, err
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
	for _, t := range resp.GetStates() {
		a, age := decodeTarget(t)
		f.announce(a, age)
	}
	for _, t := range resp.GetTargets() { // From a core node of an earlier version.
		a, err := registry.Decode(t.GetAnnouncement())
		if err != nil {
			f.cfg.Log.Warn("announcement from a core node not decoded", "core", address, "error", err)
			continue
		}
		f.announce(a, time.Duration(t.GetAge())*time.Millisecond)
	}
	if camphorhinge.Version(resp.GetVersion()) > f.version() {
		if err := f.fetch(ctx, address); err != nil {
			f.cfg.Log.Warn("configuration not fetched", "core", address, "version", resp.GetVersion(), "error", err)
		}
	}
	f.mu.Lock()
	f.entries[address] = int(resp.GetEntries())
	f.recordShards(address, resp)
	scores := resp.GetScores()
	if len(scores) > 0 {
		f.watching[address].scores = xxhash.Sum64(scores)
	}
	f.mu.Unlock()
	if len(scores) > 0 {
		f.cfg.OnScores(scores)
	}
	f.watchAll(ctx, resp.GetCores())
}

func (f *Follower) announce(a camphorhinge.Announcement, age time.Duration) {
	if _, err := f.cfg.Registry.Announce(a, age, false); err != nil {
		f.cfg.Log.Warn("announcement not accepted", "target", a.Name, "error", err)
	}
}

// fetch updates the configuration to the version of a core node if that is higher.
func (f *Follower) fetch(ctx context.Context, address string) error {
	select {
	case f.fetching <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.fetching }()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := f.index.Load()
	resp, err := f.cfg.Feed(address).Routing(ctx, &peerpb.RoutingRequest{Version: uint64(f.version())})
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
