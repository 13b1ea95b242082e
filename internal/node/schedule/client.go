package schedule

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/place"
)

const (
	// placeTimeout bounds the way of a question to a core node and back: several round trips between zones.
	placeTimeout = 60 * time.Millisecond
	// flushEvery is the time between two calls that only bring events.
	flushEvery = 20 * time.Millisecond
	// flushTimeout bounds such a call.
	flushTimeout = 300 * time.Millisecond
	// avoidFor is how long a core node that did not answer in time is not asked, failuresAllowed the number of such
	// failures in a row from which that holds.
	avoidFor        = 3 * time.Second
	failuresAllowed = 3
	// maxEvents bounds the events that wait for a core node; the oldest are dropped, and the core node forgets their
	// placements by itself.
	maxEvents = 2048
	// presentEvery is the time between two calls to the preferred core node when nothing else is to be told.
	presentEvery = time.Second
)

// ClientConfig holds what a Client needs.
type ClientConfig struct {
	Node camphorhinge.NodeID
	Pool *peer.Pool
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
	// events wait for the core nodes that made the placements.
	events map[string][]event
	// called is when a core node was called last.
	called map[string]camphorhinge.Instant
	// failed counts failures in a row by core node, avoid tells until when one is not asked.
	failed map[string]int
	avoid  map[string]camphorhinge.Instant

	asked, alone *metrics.Counter
}

// event is what happened to a placement, to be told with its age.
type event struct {
	*peerpb.PlaceEvent
	at camphorhinge.Instant
}

// NewClient returns a Client; Run tells core nodes what happens to placements.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, start: rand.Uint64() | 1, //nolint:gosec // The number only tells starts apart.
		failed: map[string]int{}, avoid: map[string]camphorhinge.Instant{},
		events: map[string][]event{}, called: map[string]camphorhinge.Instant{},
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

// scheduler returns the core node to ask: the first that is not avoided. All entry nodes prefer the same one. It is called
// with the lock.
func (c *Client) scheduler(now camphorhinge.Instant) string {
	for _, address := range c.cfg.Cores() {
		if now < c.avoid[address] {
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

// ask returns the placement by a core node, or its refusal, or neither when no core node decided.
func (c *Client) ask(
	ctx context.Context, live []*camphorhinge.Target, req place.Request,
) (p *place.Placement, refusal time.Duration, ok bool) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	address := c.scheduler(now)
	c.next++
	id := c.next
	c.mu.Unlock()
	if address == "" {
		return nil, 0, false
	}
	call := c.call(now, id, req)
	for _, name := range c.cfg.Local.Closed(now, live) {
		call.Exclude = append(call.Exclude, string(name))
	}
	resp, err := c.decide(ctx, address, call)
	switch {
	case err != nil || ctx.Err() != nil:
		c.tell(address, id, false, place.Event{At: now, Ended: true, Outcome: place.Abandoned})
		return nil, 0, false
	case resp.GetRefused() > 0:
		return nil, time.Duration(resp.GetRefused()) * time.Millisecond, false
	case resp.GetServe() == "":
		return nil, 0, false
	}
	plan, known := planOf(live, resp)
	if !known {
		c.tell(address, id, false, place.Event{At: now, Ended: true, Outcome: place.Abandoned})
		return nil, 0, false
	}
	p = c.cfg.Local.Adopt(c.cfg.Clock.Now(), plan, req)
	p.Server.Told = func(e place.Event) { c.tell(address, id, false, e) }
	if p.Reader != nil {
		p.Reader.Told = func(e place.Event) { c.tell(address, id, true, e) }
	}
	return p, 0, true
}

// decide calls a core node until it has decided.
func (c *Client) decide(ctx context.Context, address string, call *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	for {
		call.Events = c.take(c.cfg.Clock.Now(), address)
		one, cancel := context.WithTimeout(ctx, holdTime+placeTimeout)
		resp, err := c.cfg.Pool.Get(address).Feed.Place(one, call)
		cancel()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		c.heard(c.cfg.Clock.Now(), address, err)
		if err != nil || !resp.GetWaiting() {
			return resp, err
		}
		call.Again = true
	}
}

func (c *Client) call(now camphorhinge.Instant, id uint64, req place.Request) *peerpb.PlaceRequest {
	call := &peerpb.PlaceRequest{
		Node: string(c.cfg.Node), Start: c.start, Placement: id, Service: string(req.Service),
		Prompt: uint32(req.Prompt), Output: uint32(req.Output), Direct: req.Direct, Rank: uint32(max(req.Rank, 0)),
	}
	if req.Due > 0 {
		call.Objective = req.Due.Sub(now).Milliseconds()
	}
	if req.Until > 0 {
		call.Patience = req.Until.Sub(now).Milliseconds()
	}
	for _, p := range req.Parts {
		call.Parts = append(call.Parts, p.Hash)
		call.Sizes = append(call.Sizes, uint32(p.Tokens))
	}
	for _, name := range req.Exclude {
		call.Exclude = append(call.Exclude, string(name))
	}
	return call
}

// planOf returns the plan that a core node named; ok is false when this node does not know its targets.
func planOf(live []*camphorhinge.Target, resp *peerpb.PlaceResponse) (place.Plan, bool) {
	find := func(name string) *camphorhinge.Target {
		for _, t := range live {
			if string(t.Name) == name && t.Serving {
				return t
			}
		}
		return nil
	}
	plan := place.Plan{
		Serve: find(resp.GetServe()), Expected: time.Duration(resp.GetExpected()) * time.Microsecond,
		Unread: camphorhinge.Tokens(resp.GetUnread()), Reason: resp.GetReason(),
	}
	if plan.Serve == nil {
		return plan, false
	}
	if name := resp.GetPrefill(); name != "" {
		if plan.Prefill = find(name); plan.Prefill == nil {
			return plan, false
		}
	}
	if name := resp.GetFetch(); name != "" {
		plan.Fetch = find(name)
	}
	return plan, true
}

// heard notes whether a core node answered.
func (c *Client) heard(now camphorhinge.Instant, address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.failed, address)
		return
	}
	c.failed[address]++
	if c.failed[address] >= failuresAllowed {
		c.avoid[address] = now.Add(avoidFor)
		c.failed[address] = 0
		c.cfg.Log.Warn("core node does not place requests", "core", address, "error", err, "pause_ms", avoidFor.Milliseconds())
	}
}

// tell queues an event for the core node that made the placement.
func (c *Client) tell(address string, id uint64, reader bool, e place.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.events[address]
	if len(queue) >= maxEvents {
		queue = queue[1:]
	}
	c.events[address] = append(queue, event{&peerpb.PlaceEvent{
		Placement: id, Reader: reader, First: e.First, Ended: e.Ended, Outcome: uint32(e.Outcome),
	}, e.At})
}

// take returns the events that wait for a core node, with their ages.
func (c *Client) take(now camphorhinge.Instant, address string) []*peerpb.PlaceEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*peerpb.PlaceEvent
	for _, e := range c.events[address] {
		e.Age = uint32(max(now.Sub(e.at).Milliseconds(), 0))
		out = append(out, e.PlaceEvent)
	}
	delete(c.events, address)
	c.called[address] = now
	return out
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

// due returns the core nodes that are to be called now. Events for one that does not answer are dropped; it forgets the
// placements by itself.
func (c *Client) due(now camphorhinge.Instant) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for address := range c.events {
		if now < c.avoid[address] {
			delete(c.events, address)
			continue
		}
		out = append(out, address)
	}
	if c.core != "" && now >= c.avoid[c.core] && c.events[c.core] == nil && now.Sub(c.called[c.core]) >= presentEvery {
		out = append(out, c.core)
	}
	return out
}

func (c *Client) flush(ctx context.Context, address string) {
	events := c.take(c.cfg.Clock.Now(), address)
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_, err := c.cfg.Pool.Get(address).Feed.Place(ctx, &peerpb.PlaceRequest{Node: string(c.cfg.Node), Start: c.start, Events: events})
	if err != nil {
		c.heard(c.cfg.Clock.Now(), address, err)
	}
}
