package schedule

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/place"
)

const (
	// placeTimeout bounds the way of a question to a core node and back: several round trips between zones.
	placeTimeout = 60 * time.Millisecond
	// flushEvery is the time between two calls that only bring events.
	flushEvery = 30 * time.Millisecond
	// flushTimeout bounds such a call.
	flushTimeout = 300 * time.Millisecond
)

// ClientConfig holds what a Client needs.
type ClientConfig struct {
	Node camphorhinge.NodeID
	// Feed returns the calls of a core node by its peer address.
	Feed func(address string) peerpb.Feed
	// Cores returns the peer addresses of the core nodes, sorted.
	Cores func() []string
	// Local places requests when no core node answers, and those of plain services.
	Local   *place.Placer
	Clock   camphorhinge.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Client places the requests of one entry node; it implements forward.Placer.
type Client struct {
	cfg   ClientConfig
	start uint64

	mu   sync.Mutex
	next uint64
	// core is the core node that was asked last.
	core string
	// links are kept for the core nodes that were named lately.
	links map[string]*link

	asked, alone *metrics.Counter
}

// NewClient returns a Client; Run tells core nodes what happens to placements.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, start: rand.Uint64() | 1, //nolint:gosec // The number only tells starts apart.
		links: map[string]*link{},
		asked: cfg.Metrics.NewCounter(`camphorhinge_placements_total{by="core"}`),
		alone: cfg.Metrics.NewCounter(`camphorhinge_placements_total{by="node"}`),
	}
}

// Place chooses where a request goes, which may take until an engine can begin with it; ok is false when no target may
// take it. A refusal, if there is one, tells that it can't be served in time.
func (c *Client) Place(
	ctx context.Context, live []*camphorhinge.Target, req place.Request,
) (p *place.Placement, refusal time.Duration, ok bool) {
	if req.Engine != nil {
		p, refusal, ok = c.ask(ctx, live, req)
		if ok || refusal > 0 {
			c.asked.Inc()
			return p, refusal, ok
		}
		if ctx.Err() != nil {
			return nil, 0, false
		}
		c.alone.Inc()
	}
	p, ok = c.cfg.Local.Place(c.cfg.Clock.Now(), live, req)
	return p, 0, ok
}

// link returns what is kept for a core node. It is called with the lock.
func (c *Client) link(address string) *link {
	l := c.links[address]
	if l == nil {
		l = &link{log: c.cfg.Log.With("core", address)}
		c.links[address] = l
	}
	return l
}

// scheduler returns the core node to ask: the first that is not avoided. All entry nodes prefer the same one. It is called
// with the lock.
func (c *Client) scheduler() string {
	for _, address := range c.cfg.Cores() {
		if c.link(address).avoid != 0 {
			continue
		}
		if address != c.core {
			c.cfg.Log.Info("core node places requests", "core", address, "before", c.core)
			c.core = address
		}
		return address
	}
	return ""
}

// askTries is the number of plans that are asked for when a plan names targets that this node does not know.
const askTries = 3

// ask returns the placement by a core node, or its refusal, or neither when no core node decided.
func (c *Client) ask(
	ctx context.Context, live []*camphorhinge.Target, req place.Request,
) (p *place.Placement, refusal time.Duration, ok bool) {
	for range askTries {
		now := c.cfg.Clock.Now()
		c.mu.Lock()
		address := c.scheduler()
		c.next++
		id := c.next
		c.mu.Unlock()
		if address == "" {
			return nil, 0, false
		}
		call := c.call(now, id, req)
		for _, name := range c.cfg.Local.InBackoff(now, live) {
			call.Exclude = append(call.Exclude, string(name))
		}
		resp, err := c.decide(ctx, address, call)
		tell := func(reader bool, e place.Event) { c.tell(address, call, reader, e) }
		switch {
		case err != nil || ctx.Err() != nil:
			tell(false, place.Event{At: now, Ended: true, Outcome: place.Abandoned})
			return nil, 0, false
		case resp.GetRefused() > 0:
			return nil, time.Duration(resp.GetRefused()) * time.Millisecond, false
		case resp.GetServe() == "":
			return nil, 0, false
		}
		plan, serves, reads := planOf(live, resp)
		if serves && reads {
			return c.adopt(plan, req, tell), 0, true
		}
		req.Exclude = append(slices.Clone(req.Exclude), decline(now, resp, serves, reads, tell)...)
	}
	return nil, 0, false
}

// adopt notes the work of a plan that a core node made, and tells it what happens.
func (c *Client) adopt(plan place.Plan, req place.Request, tell func(reader bool, e place.Event)) *place.Placement {
	p := c.cfg.Local.Adopt(c.cfg.Clock.Now(), plan, req)
	p.ServeAttempt.OnEvent = func(e place.Event) { tell(false, e) }
	if p.PrefillAttempt != nil {
		p.PrefillAttempt.OnEvent = func(e place.Event) { tell(true, e) }
	}
	return p
}

// decline tells a core node that its plan names targets which this node does not know, and returns their names. The core
// node has missed that a target left, or this node that one came.
func decline(
	now camphorhinge.Instant, resp *peerpb.PlaceResponse, serves, reads bool, tell func(reader bool, e place.Event),
) (unknown []camphorhinge.TargetName) {
	ended := place.Event{At: now, Ended: true, Outcome: place.Abandoned}
	gone := place.Event{At: now, Ended: true, Outcome: place.Unreachable}
	if !reads {
		unknown = append(unknown, camphorhinge.TargetName(resp.GetPrefill()))
		tell(true, gone)
	}
	if serves {
		tell(false, ended)
		return unknown
	}
	tell(false, gone)
	return append(unknown, camphorhinge.TargetName(resp.GetServe()))
}

// decide calls a core node until it has decided.
func (c *Client) decide(ctx context.Context, address string, call *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	for {
		resp, err := c.send(ctx, address, call, holdTime+placeTimeout)
		if err != nil || !resp.GetWaiting() {
			return resp, err
		}
	}
}

// send makes one call, which takes the events along that wait for the core node. A call that ctx ends says nothing of the
// core node.
func (c *Client) send(
	ctx context.Context, address string, call *peerpb.PlaceRequest, timeout time.Duration,
) (*peerpb.PlaceResponse, error) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	l := c.link(address)
	events := l.take(now)
	call.Session = l.session
	c.mu.Unlock()
	call.Events = call.Events[:0]
	for _, e := range events {
		e.Age = uint32(max(now.Sub(e.at).Milliseconds(), 0))
		call.Events = append(call.Events, e.PlaceEvent)
	}
	one, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.cfg.Feed(address).Place(one, call)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		l.heard(resp)
	case ctx.Err() != nil:
		l.queue(events...)
	default:
		l.missed(c.cfg.Clock.Now(), events, err)
	}
	return resp, err
}

func (c *Client) call(now camphorhinge.Instant, id uint64, req place.Request) *peerpb.PlaceRequest {
	call := &peerpb.PlaceRequest{
		Node: string(c.cfg.Node), Start: c.start, Placement: id, Service: string(req.Service),
		Prompt: uint32(req.Prompt), Output: uint32(req.Output), Direct: req.Direct, Rank: uint32(max(req.Rank, 0)),
		Zone: string(req.Zone), Bytes: uint32(req.Bytes),
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
	return call
}

// planOf returns the plan that a core node named, and whether this node knows the target that serves it and the one that
// reads the prompt, if there is one.
func planOf(live []*camphorhinge.Target, resp *peerpb.PlaceResponse) (plan place.Plan, serves, reads bool) {
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

// tell queues an event for the core node that made the placement which call asked for.
func (c *Client) tell(address string, call *peerpb.PlaceRequest, reader bool, e place.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link(address).queue(event{&peerpb.PlaceEvent{
		Placement: call.GetPlacement(), Reader: reader, First: e.PrefillDone, Ended: e.Ended, Outcome: uint32(e.Outcome),
	}, e.At, call.GetSession()})
}

// Run brings events to the core nodes that no request takes along, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			var g errgroup.Group
			for _, address := range c.due(c.cfg.Clock.Now()) {
				g.Go(func() error {
					c.flush(ctx, address)
					return nil
				})
			}
			_ = g.Wait() // The functions return no error.
		}
	}
}

// due returns the core nodes that are to be called now: those with events, the preferred one from time to time, and those
// that are to be probed. It forgets core nodes that are no longer named.
func (c *Client) due(now camphorhinge.Instant) []string {
	cores := c.cfg.Cores()
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.links, func(address string, _ *link) bool { return !slices.Contains(cores, address) })
	var out []string
	for _, address := range cores {
		if c.link(address).due(now, address == c.core) {
			out = append(out, address)
		}
	}
	return out
}

// flush calls a core node without a request.
func (c *Client) flush(ctx context.Context, address string) {
	call := &peerpb.PlaceRequest{Node: string(c.cfg.Node), Start: c.start}
	c.mu.Lock()
	teach := c.link(address).teach
	c.mu.Unlock()
	if teach {
		call.Holdings = holdings(c.cfg.Local.CacheContents(c.cfg.Clock.Now()))
	}
	resp, err := c.send(ctx, address, call, flushTimeout)
	if err == nil && !resp.GetUnknown() {
		c.mu.Lock()
		c.link(address).teach = false
		c.mu.Unlock()
	}
}

func holdings(known []place.CachedSegments) []*peerpb.Holding {
	out := make([]*peerpb.Holding, 0, len(known))
	for _, h := range known {
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
