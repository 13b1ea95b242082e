package schedule

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/origin"
	"example.org/camphorhinge/internal/request/place"
	"example.org/camphorhinge/internal/request/shard"
)

const (
	// placeTimeout is added to maxCallWait to bound a placement call; it allows several round trips between zones.
	placeTimeout = 60 * time.Millisecond
	// flushInterval is the time between two calls that carry only events.
	flushInterval = 30 * time.Millisecond
	// flushTimeout bounds one call that carries only events.
	flushTimeout = 300 * time.Millisecond
)

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	Node camphorhinge.NodeID
	// Feed returns the RPC client of the core node at a peer address.
	Feed func(address string) peerpb.Feed
	// Cores returns the peer addresses of the core nodes, sorted.
	Cores func() []string
	// Shards returns the number of engines in each shard of a service, or nil while it is undivided, and the sorted peer addresses of
	// the core nodes that place requests for shards; nil stands for a function that always returns nil.
	Shards func(service camphorhinge.ServiceName) (engines []int, cores []string)
	// Local places requests when no core node answers, and all requests to plain services.
	Local *place.Placer
	// LinkMbps is the speed of the entry node's link in Mbit/s; 0 means unknown.
	LinkMbps float64
	Clock    camphorhinge.Clock
	Log      *slog.Logger
	Metrics  *metrics.Set
}

// Client places the requests of one entry node through a core node, or locally when none answers; it implements
// forward.Placer.
type Client struct {
	cfg ClientConfig
	// startID identifies the start of this process in calls to core nodes.
	startID uint64

	mu sync.Mutex
	// lastID is the number of the latest placement.
	lastID uint64
	// lastCore is the core node that was last chosen to place the requests of undivided services.
	lastCore string
	// divided is set while the engines of the service that was last asked for are divided into shards.
	divided bool
	// links holds the state of each current core node, by peer address.
	links map[string]*link
	// uplink estimates the time to send a request.
	uplink *uplink
	// unsentOrigins are the origins that no core node has confirmed yet.
	unsentOrigins []origin.Record
	originsSwept  camphorhinge.Instant

	// origins are those of the streams that this node has begun or continued.
	origins        *origin.Table
	originsDropped *metrics.Counter

	placedByCore, placedLocally *metrics.Counter
}

// NewClient returns a Client. Run must be running for core nodes to receive the events of placements in time.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, startID: rand.Uint64() | 1, //nolint:gosec // Identifies the process start; needs no secrecy.
		links:   map[string]*link{},
		uplink:  newUplink(cfg.LinkMbps),
		origins: origin.New(maxOwnOrigins), originsDropped: cfg.Metrics.NewCounter("camphorhinge_origins_dropped_total"),
		placedByCore:  cfg.Metrics.NewCounter(`camphorhinge_placements_total{by="core"}`),
		placedLocally: cfg.Metrics.NewCounter(`camphorhinge_placements_total{by="node"}`),
	}
}

// Place chooses the targets of a request and may block until an engine can start it. ok is false when no target is
// eligible. A positive refusal means that the request can't be served in time; it is the time after which to retry.
func (c *Client) Place(
	ctx context.Context, live []*camphorhinge.Target, req place.Request,
) (p *place.Placement, refusal time.Duration, ok bool) {
	if req.Engine != nil {
		p, refusal, ok = c.placeByCore(ctx, live, req)
		if ok || refusal > 0 {
			c.placedByCore.Inc()
			return p, refusal, ok
		}
		if ctx.Err() != nil {
			return nil, 0, false
		}
		c.placedLocally.Inc()
	}
	now := c.cfg.Clock.Now()
	if p, ok = c.cfg.Local.Place(now, live, req); !ok {
		refusal = c.cfg.Local.LimitWait(now, live, &req)
	}
	return p, refusal, ok
}

// PauseLeft implements forward.Placer.
func (c *Client) PauseLeft(live []*camphorhinge.Target, req place.Request) (left time.Duration, certain bool) {
	return c.cfg.Local.PauseLeft(c.cfg.Clock.Now(), live, &req)
}

func encodeLimits(limits []place.Limit) []*peerpb.Limit {
	out := make([]*peerpb.Limit, 0, len(limits))
	for _, l := range limits {
		out = append(out, &peerpb.Limit{
			Target: string(l.Target), Incarnation: uint64(l.Incarnation), Rate: l.PerSecond, Age: uint32(min(l.Age.Milliseconds(), math.MaxUint32)),
		})
	}
	return out
}

// link returns the state of a core node and creates it if needed. The caller holds c.mu.
func (c *Client) link(address string) *link {
	l := c.links[address]
	if l == nil {
		l = &link{log: c.cfg.Log.With("core", address)}
		c.links[address] = l
	}
	return l
}

// preferredCore returns the first core node that is not avoided after failures, or "". All entry nodes prefer the same
// one. The caller holds c.mu.
func (c *Client) preferredCore() string {
	for _, address := range c.cfg.Cores() {
		if c.link(address).probeAt != 0 {
			continue
		}
		if address != c.lastCore {
			c.cfg.Log.Info("core node places requests", "core", address, "before", c.lastCore)
			c.lastCore = address
		}
		return address
	}
	return ""
}

// maxPlanAttempts bounds the plans requested while plans name targets that this node does not have, core nodes pass the request on
// or don't answer.
const maxPlanAttempts = 3

// destination is the core node that places a request, and the shard on whose engines it does.
type destination struct {
	address string
	shard   shard.Index
	// shards is the number of shards, or 0 while the service is undivided, and cores are the core nodes that place requests for them.
	shards int
	cores  []string
}

// destinationOf returns the core node to ask for a placement, without the given ones; the address is empty if none is available. Requests
// with the same shared segments go to the same shard.
func (c *Client) destinationOf(req *place.Request, without []string) destination {
	var engines []int
	var cores []string
	if c.cfg.Shards != nil {
		engines, cores = c.cfg.Shards(req.Service)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(engines) < 2 {
		c.divided = false
		if address := c.preferredCore(); !slices.Contains(without, address) {
			return destination{address: address}
		}
		return destination{}
	}
	c.divided = true
	home := shard.Home(shardHash(req.Segments), engines)
	address := shard.Core(home, cores, func(address string) bool {
		return c.link(address).probeAt == 0 && !slices.Contains(without, address)
	})
	return destination{address, home, len(engines), cores}
}

// shardHash returns the hash of the last segment that other requests may have as well, or of the only segment.
func shardHash(segments []place.Segment) uint64 {
	switch n := len(segments); n {
	case 0:
		return rand.Uint64() //nolint:gosec // Spreads requests without segments.
	case 1:
		return segments[0].Hash
	default:
		return segments[n-2].Hash
	}
}

// passedOn returns the destination of a request that the core node of d has passed on to the one at an address, for which it places on
// the engines of that node's own shard.
func (d destination) passedOn(address string) destination {
	i := slices.Index(d.cores, address)
	if i < 0 || i >= d.shards {
		return d
	}
	return destination{address, shard.Index(i), d.shards, d.cores}
}

// placeByCore returns the placement made by a core node, or its refusal, or neither when no core node decided.
func (c *Client) placeByCore(
	ctx context.Context, live []*camphorhinge.Target, req place.Request,
) (p *place.Placement, refusal time.Duration, ok bool) {
	var silent []string // core nodes that did not answer
	passed := destination{}
	for range maxPlanAttempts {
		now := c.cfg.Clock.Now()
		to := passed
		if to.address == "" {
			to = c.destinationOf(&req, silent)
		}
		if to.address == "" {
			return nil, 0, false
		}
		c.mu.Lock()
		c.lastID++
		id := c.lastID
		req.Upload = c.uplink.timeFor(now, req.Bytes)
		c.link(to.address).open++
		c.mu.Unlock()
		call := c.newCall(now, id, req)
		call.Shards, call.Shard, call.Passed = uint32(to.shards), uint32(to.shard), passed.address != ""
		for _, name := range c.cfg.Local.InBackoff(now, live) {
			call.Exclude = append(call.Exclude, string(name))
		}
		resp, err := c.awaitDecision(ctx, to.address, call)
		report := func(prefill bool, e place.Event) {
			expected := e.Ended && e.Outcome == place.Served || e.PrefillDone && resp.GetPrefill() != ""
			c.queueEvent(to.address, call, prefill, !prefill && expected, e)
		}
		switch {
		case err != nil || ctx.Err() != nil:
			report(false, place.Event{At: now, Ended: true, Outcome: place.Abandoned})
			if ctx.Err() != nil || to.shards == 0 {
				return nil, 0, false
			}
			silent, passed = append(silent, to.address), destination{}
			continue
		case resp.GetPass() != "":
			c.closePlacement(to.address)
			passed = to.passedOn(resp.GetPass())
			continue
		case resp.GetRefused() > 0:
			c.closePlacement(to.address)
			return nil, time.Duration(resp.GetRefused()) * time.Millisecond, false
		case resp.GetServe() == "":
			c.closePlacement(to.address)
			return nil, 0, false
		}
		plan, serveKnown, prefillKnown := planFromResponse(live, resp)
		if serveKnown && req.Software != nil && plan.Serve.Software != *req.Software {
			serveKnown = false
		}
		if serveKnown && prefillKnown {
			return c.adopt(plan, req, report), 0, true
		}
		req.Exclude = append(slices.Clone(req.Exclude), rejectPlan(now, resp, serveKnown, prefillKnown, report)...)
	}
	return nil, 0, false
}

// closePlacement records the end of a placement that a core node does not need to learn of.
func (c *Client) closePlacement(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link(address).open--
}

// adopt records the work of a core node's plan in the local placer and reports its events to the core node.
func (c *Client) adopt(plan place.Plan, req place.Request, report func(prefill bool, e place.Event)) *place.Placement {
	now := c.cfg.Clock.Now()
	sends := 1
	if plan.Prefill != nil {
		sends = 2
	}
	c.mu.Lock()
	c.uplink.record(now, sends*req.Bytes)
	c.mu.Unlock()
	p := c.cfg.Local.Adopt(now, plan, req)
	p.ServeAttempt.OnEvent = func(e place.Event) { report(false, e) }
	if p.PrefillAttempt != nil {
		p.PrefillAttempt.OnEvent = func(e place.Event) { report(true, e) }
	}
	return p
}

// rejectPlan reports to a core node that its plan names targets which this node does not have, and returns their names.
// Either the core node has missed that a target left, or this node has missed that one joined.
func rejectPlan(
	now camphorhinge.Instant, resp *peerpb.PlaceResponse, serveKnown, prefillKnown bool,
	report func(prefill bool, e place.Event),
) (unknown []camphorhinge.TargetName) {
	abandoned := place.Event{At: now, Ended: true, Outcome: place.Abandoned}
	unreachable := place.Event{At: now, Ended: true, Outcome: place.Unreachable}
	if !prefillKnown {
		unknown = append(unknown, camphorhinge.TargetName(resp.GetPrefill()))
		report(true, unreachable)
	}
	if serveKnown {
		report(false, abandoned)
		return unknown
	}
	report(false, unreachable)
	return append(unknown, camphorhinge.TargetName(resp.GetServe()))
}

// awaitDecision repeats a call to a core node until the core node has decided or the call fails.
func (c *Client) awaitDecision(ctx context.Context, address string, call *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	hold := maxCallWait
	for {
		call.Hold = uint32(hold.Milliseconds())
		resp, err := c.send(ctx, address, call, hold+placeTimeout)
		if err != nil || !resp.GetWaiting() {
			return resp, err
		}
		hold = repeatedCallWait
	}
}

// send makes one call in the current session, which carries the events queued for the core node. A call that ends
// because of ctx does not count as a failure of the core node; its events are queued again.
func (c *Client) send(
	ctx context.Context, address string, call *peerpb.PlaceRequest, timeout time.Duration,
) (*peerpb.PlaceResponse, error) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	l := c.link(address)
	events, origins := l.takeEvents(now), c.takeOrigins(address)
	call.Session = l.session
	c.mu.Unlock()
	call.Origins = encodeOrigins(now, origins)
	call.Events, call.Limits = call.Events[:0], encodeLimits(c.cfg.Local.Limits(now))
	for _, e := range events {
		e.Age = uint32(max(now.Sub(e.at).Milliseconds(), 0))
		call.Events = append(call.Events, e.PlaceEvent)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.cfg.Feed(address).Place(callCtx, call)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.restoreOrigins(now, origins)
	} else if resp.GetNewSession() && (c.divided || address == c.lastCore) {
		c.unsentOrigins = c.origins.All(now)
	}
	switch {
	case err == nil:
		l.recordResponse(resp)
	case ctx.Err() != nil:
		l.queue(events...)
	default:
		l.recordFailure(c.cfg.Clock.Now(), events, err)
	}
	return resp, err
}

func (c *Client) newCall(now camphorhinge.Instant, id uint64, req place.Request) *peerpb.PlaceRequest {
	call := &peerpb.PlaceRequest{
		Node: string(c.cfg.Node), Start: c.startID, Placement: id, Service: string(req.Service),
		Prompt: uint32(req.Prompt), Output: uint32(req.Output), Direct: req.Direct, Rank: uint32(max(req.Rank, 0)),
		Zone: string(req.Zone), Bytes: uint32(req.Bytes), Upload: uint32(min(req.Upload.Microseconds(), math.MaxUint32)), Resumable: req.Resumable, Workspace: string(req.Workspace),
	}
	if req.Due > 0 {
		call.Objective = req.Due.Sub(now).Milliseconds()
	}
	if req.Deadline > 0 {
		call.Patience = req.Deadline.Sub(now).Milliseconds()
	}
	for _, p := range req.Segments {
		call.Parts = append(call.Parts, p.Hash)
		call.Sizes = append(call.Sizes, uint32(p.Tokens))
	}
	for _, name := range req.Exclude {
		call.Exclude = append(call.Exclude, string(name))
	}
	if req.Software != nil {
		call.Software, call.Pinned = string(*req.Software), true
	}
	return call
}

// planFromResponse returns the plan that a core node made. serveKnown reports whether this node has the target that
// serves the request; prefillKnown is false when the plan names a prefill engine that this node does not have.
func planFromResponse(
	live []*camphorhinge.Target, resp *peerpb.PlaceResponse,
) (plan place.Plan, serveKnown, prefillKnown bool) {
	find := func(name string, serving bool) *camphorhinge.Target {
		for _, t := range live {
			if string(t.Name) == name && (t.Serving || !serving) {
				return t
			}
		}
		return nil
	}
	plan = place.Plan{
		Serve: find(resp.GetServe(), true), Expected: time.Duration(resp.GetExpected()) * time.Microsecond,
		Uncached: camphorhinge.Tokens(resp.GetUnread()), Reason: resp.GetReason(),
	}
	if name := resp.GetPrefill(); name != "" {
		plan.Prefill = find(name, true)
	}
	if name := resp.GetFetch(); name != "" {
		plan.Fetch = find(name, false)
	}
	return plan, plan.Serve != nil, resp.GetPrefill() == "" || plan.Prefill != nil
}

// queueEvent queues an event for the core node that answered call with a placement; prefill marks an event of the
// placement's prefill attempt, and deferrable one that the core node need not learn of at once.
func (c *Client) queueEvent(address string, call *peerpb.PlaceRequest, prefill, deferrable bool, e place.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Ended && !prefill {
		c.link(address).open--
	}
	c.link(address).queue(event{&peerpb.PlaceEvent{
		Placement: call.GetPlacement(), Reader: prefill, First: e.PrefillDone, Ended: e.Ended, Outcome: uint32(e.Outcome),
		Slowness: uint32(min(e.Slowness*100, math.MaxUint16)),
	}, e.At, call.GetSession(), deferrable})
}

// Run sends the queued events that no placement call has carried to the core nodes, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			var g errgroup.Group
			for _, address := range c.dueCores(c.cfg.Clock.Now()) {
				g.Go(func() error {
					c.flush(ctx, address)
					return nil
				})
			}
			_ = g.Wait() // The functions return no error.
		}
	}
}

// dueCores returns the core nodes to call now: those with queued events, the preferred one at each keep-alive interval,
// and those due for a probe. It drops the state of core nodes that are no longer listed.
func (c *Client) dueCores(now camphorhinge.Instant) []string {
	cores := c.cfg.Cores()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.originsSwept) >= originSweepInterval {
		c.originsSwept = now
		c.origins.Sweep(now)
		c.unsentOrigins = slices.DeleteFunc(c.unsentOrigins, func(r origin.Record) bool { return r.Until <= now })
	}
	maps.DeleteFunc(c.links, func(address string, _ *link) bool { return !slices.Contains(cores, address) })
	var out []string
	for _, address := range cores {
		if c.link(address).callDue(now, address == c.lastCore && !c.divided) {
			out = append(out, address)
		}
	}
	if len(c.unsentOrigins) > 0 && !slices.ContainsFunc(out, c.takesOrigins) {
		if address := c.originCore(cores); address != "" {
			out = append(out, address)
		}
	}
	return out
}

// takesOrigins reports whether origins are sent with calls to a core node. The caller holds c.mu.
func (c *Client) takesOrigins(address string) bool {
	return c.link(address).probeAt == 0 && (c.divided || address == c.lastCore)
}

// originCore returns the core node to call with origins: one for which events are queued, so that the call carries them as well, or the
// preferred one. The caller holds c.mu.
func (c *Client) originCore(cores []string) string {
	preferred := c.preferredCore()
	for _, address := range cores {
		if c.takesOrigins(address) && len(c.link(address).events) > 0 {
			return address
		}
	}
	return preferred
}

// flush sends the queued events to a core node without a placement request, and the known cache contents if the core
// node has asked for them. They are sent once: if the call fails, the core node's polls of the engines replace them.
func (c *Client) flush(ctx context.Context, address string) {
	call := &peerpb.PlaceRequest{Node: string(c.cfg.Node), Start: c.startID}
	c.mu.Lock()
	l := c.link(address)
	sendCaches := l.sendCaches
	l.sendCaches = false
	c.mu.Unlock()
	if sendCaches {
		call.Holdings = encodeCaches(c.cfg.Local.CacheContents(c.cfg.Clock.Now()))
	}
	if _, err := c.send(ctx, address, call, flushTimeout); err != nil && sendCaches {
		c.cfg.Log.Warn("cache contents not sent", "core", address, "engines", len(call.GetHoldings()), "error", err)
	}
}

func encodeCaches(caches []place.CachedSegments) []*peerpb.Holding {
	out := make([]*peerpb.Holding, 0, len(caches))
	for _, h := range caches {
		x := &peerpb.Holding{Target: string(h.Target), Incarnation: uint64(h.Incarnation)}
		for i, p := range h.Segments {
			x.Parts = append(x.Parts, p.Hash)
			x.Sizes = append(x.Sizes, uint32(p.Tokens))
			x.Ages = append(x.Ages, uint32(h.Ages[i].Milliseconds()))
		}
		out = append(out, x)
	}
	return out
}
