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
	flushEvery = 30 * time.Millisecond
	// flushTimeout bounds such a call.
	flushTimeout = 300 * time.Millisecond
	// failuresAllowed is the number of failures in a row from which a core node is avoided. It is then probed each
	// probeEvery, and asked again once it answers a probe.
	failuresAllowed = 3
	probeEvery      = 500 * time.Millisecond
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
	// failed counts failures in a row by core node. One in avoid is not asked until a probe at the time there is answered.
	failed map[string]int
	avoid  map[string]camphorhinge.Instant
	// teach are the core nodes that did not know this node and get its holdings.
	teach map[string]bool

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
		events: map[string][]event{}, called: map[string]camphorhinge.Instant{}, teach: map[string]bool{},
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
func (c *Client) scheduler() string {
	for _, address := range c.cfg.Cores() {
		if _, avoided := c.avoid[address]; avoided {
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
	address := c.scheduler()
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
		c.heard(c.cfg.Clock.Now(), address, resp, err)
		if err != nil || !resp.GetWaiting() {
			return resp, err
		}
	}
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
	find := func(name string, serving bool) *camphorhinge.Target {
		for _, t := range live {
			if string(t.Name) == name && (t.Serving || !serving) {
				return t
			}
		}
		return nil
	}
	plan := place.Plan{
		Serve: find(resp.GetServe(), true), Expected: time.Duration(resp.GetExpected()) * time.Microsecond,
		Unread: camphorhinge.Tokens(resp.GetUnread()), Reason: resp.GetReason(),
	}
	if plan.Serve == nil {
		return plan, false
	}
	if name := resp.GetPrefill(); name != "" {
		if plan.Prefill = find(name, true); plan.Prefill == nil {
			return plan, false
		}
	}
	if name := resp.GetFetch(); name != "" {
		plan.Fetch = find(name, false)
	}
	return plan, true
}

// heard notes whether a core node answered.
func (c *Client) heard(now camphorhinge.Instant, address string, resp *peerpb.PlaceResponse, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		if _, avoided := c.avoid[address]; avoided {
			c.cfg.Log.Info("core node may place requests again", "core", address)
		}
		delete(c.failed, address)
		delete(c.avoid, address)
		if resp.GetUnknown() {
			c.teach[address] = true
		}
		return
	}
	c.failed[address]++
	_, avoided := c.avoid[address]
	if avoided || c.failed[address] >= failuresAllowed {
		c.avoid[address] = now.Add(probeEvery)
		delete(c.events, address)
	}
	if !avoided && c.failed[address] >= failuresAllowed {
		c.cfg.Log.Warn("core node does not place requests", "core", address, "failures", c.failed[address], "error", err)
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

// due returns the core nodes that are to be called now: those with events, the preferred one from time to time, and those
// that are to be probed.
func (c *Client) due(now camphorhinge.Instant) []string {
	cores := c.cfg.Cores()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, address := range cores {
		at, avoided := c.avoid[address]
		switch {
		case avoided && now < at:
		case avoided:
			c.avoid[address] = now.Add(probeEvery)
			out = append(out, address)
		case len(c.events[address]) > 0, c.teach[address],
			address == c.core && now.Sub(c.called[address]) >= presentEvery:
			out = append(out, address)
		}
	}
	return out
}

func (c *Client) flush(ctx context.Context, address string) {
	now := c.cfg.Clock.Now()
	call := &peerpb.PlaceRequest{Node: string(c.cfg.Node), Start: c.start, Events: c.take(now, address)}
	c.mu.Lock()
	teach := c.teach[address]
	delete(c.teach, address)
	c.mu.Unlock()
	if teach {
		call.Holdings = holdings(c.cfg.Local.Holdings(now))
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	resp, err := c.cfg.Pool.Get(address).Feed.Place(ctx, call)
	c.heard(c.cfg.Clock.Now(), address, resp, err)
}

func holdings(known []place.Holding) []*peerpb.Holding {
	out := make([]*peerpb.Holding, 0, len(known))
	for _, h := range known {
		x := &peerpb.Holding{Target: string(h.Target), Incarnation: uint64(h.Incarnation)}
		for i, p := range h.Parts {
			x.Parts = append(x.Parts, p.Hash)
			x.Sizes = append(x.Sizes, uint32(p.Tokens))
			x.Ages = append(x.Ages, uint32(h.Ages[i].Milliseconds()))
		}
		out = append(out, x)
	}
	return out
}
