package schedule

import (
	"context"
	"sync"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/place"
)

const (
	// callerExpiry is how long the placements of an entry node that does not call are kept.
	callerExpiry = 10 * time.Second
	// placementExpiry bounds the age of a placement whose end was not told; it is above the longest request.
	placementExpiry = 30 * time.Second
	// sweepEvery is the time between two looks for what has expired.
	sweepEvery = 2 * time.Second
)

// Config holds what a Scheduler needs.
type Config struct {
	Targets camphorhinge.Targets
	// Configuration returns the newest routing configuration, or nil.
	Configuration func() *routing.Config
	Clock         camphorhinge.Clock
	Seed          uint64
}

// Scheduler places the requests of all entry nodes.
type Scheduler struct {
	cfg    Config
	placer *place.Placer

	mu      sync.Mutex
	callers map[string]*caller
	swept   camphorhinge.Instant
}

// caller holds the placements of one start of an entry node.
type caller struct {
	start      uint64
	heard      camphorhinge.Instant
	placements map[uint64]held
}

type held struct {
	*place.Placement
	since camphorhinge.Instant
}

// New returns a Scheduler that knows of no work.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, placer: place.New(place.Config{Seed: cfg.Seed, Whole: true}), callers: map[string]*caller{},
	}
}

// Place takes the caller's events and chooses where its request runs, if there is one.
func (s *Scheduler) Place(_ context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.caller(now, req)
	for _, e := range req.GetEvents() {
		c.take(now, e)
	}
	resp := &peerpb.PlaceResponse{}
	if req.GetPlacement() == 0 {
		return resp, nil
	}
	config := s.cfg.Configuration()
	if config == nil {
		return resp, nil
	}
	service := config.Service(camphorhinge.ServiceName(req.GetService()))
	if service == nil || service.Engine == nil {
		return resp, nil
	}
	r := request(req)
	r.Engine = service.Engine
	placed, ok := s.placer.Place(now, s.cfg.Targets.Live(service.Name), r)
	if !ok {
		return resp, nil
	}
	c.placements[req.GetPlacement()] = held{placed, now}
	resp.Serve, resp.Reason = string(placed.Serve.Name), placed.Reason
	resp.Expected, resp.Unread = uint64(placed.Expected.Microseconds()), uint32(placed.Unread)
	if placed.Prefill != nil {
		resp.Prefill = string(placed.Prefill.Name)
	}
	if placed.Fetch != nil {
		resp.Fetch = string(placed.Fetch.Name)
	}
	return resp, nil
}

func request(req *peerpb.PlaceRequest) place.Request {
	r := place.Request{
		Service: camphorhinge.ServiceName(req.GetService()), Prompt: camphorhinge.Tokens(req.GetPrompt()),
		Output: camphorhinge.Tokens(req.GetOutput()), Direct: req.GetDirect(),
	}
	for i, hash := range req.GetParts() {
		if i < len(req.GetSizes()) {
			r.Parts = append(r.Parts, place.Part{Hash: hash, Tokens: camphorhinge.Tokens(req.GetSizes()[i])})
		}
	}
	for _, name := range req.GetExclude() {
		r.Exclude = append(r.Exclude, camphorhinge.TargetName(name))
	}
	return r
}

// caller returns what is held of the calling node; an earlier start of it has no work any more.
func (s *Scheduler) caller(now camphorhinge.Instant, req *peerpb.PlaceRequest) *caller {
	if now.Sub(s.swept) >= sweepEvery {
		s.sweep(now)
	}
	c := s.callers[req.GetNode()]
	if c == nil || c.start != req.GetStart() {
		if c != nil {
			c.close(now)
		}
		c = &caller{start: req.GetStart(), placements: map[uint64]held{}}
		s.callers[req.GetNode()] = c
	}
	c.heard = now
	return c
}

// sweep ends the placements of callers that are gone, and those whose end was not told.
func (s *Scheduler) sweep(now camphorhinge.Instant) {
	s.swept = now
	for name, c := range s.callers {
		if now.Sub(c.heard) > callerExpiry {
			c.close(now)
			delete(s.callers, name)
			continue
		}
		for id, p := range c.placements {
			if now.Sub(p.since) > placementExpiry {
				p.Close(now)
				delete(c.placements, id)
			}
		}
	}
}

func (c *caller) close(now camphorhinge.Instant) {
	for _, p := range c.placements {
		p.Close(now)
	}
}

// take applies an event to the caller's placement.
func (c *caller) take(now camphorhinge.Instant, e *peerpb.PlaceEvent) {
	p, ok := c.placements[e.GetPlacement()]
	if !ok {
		return
	}
	at := now.Add(-time.Duration(e.GetAge()) * time.Millisecond)
	flight := p.Server
	if e.GetReader() {
		flight = p.Reader
	}
	if flight == nil {
		return
	}
	if e.GetFirst() {
		flight.First(at)
	}
	if e.GetEnded() {
		flight.End(at, place.Outcome(e.GetOutcome()))
		if !e.GetReader() {
			p.Close(at)
			delete(c.placements, e.GetPlacement())
		}
	}
}
