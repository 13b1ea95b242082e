package schedule

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/place"
)

const (
	// callerExpiry is how long the placements of an entry node that does not call are kept.
	callerExpiry = 3 * time.Second
	// placementExpiry bounds the age of a placement whose end was not told; it is above the longest request.
	placementExpiry = 15 * time.Second
	// sweepEvery is the time between two looks for what has expired.
	sweepEvery = 500 * time.Millisecond
	// holdTime is how long a call is held whose request waits for an engine; the caller then asks again.
	holdTime = 150 * time.Millisecond
	// runEvery is the time between two looks at the waiting requests.
	runEvery = 5 * time.Millisecond
	// askAgain is how long a waiting request is kept without a call of its caller.
	askAgain = 300 * time.Millisecond
)

// Config holds what a Scheduler needs.
type Config struct {
	Targets camphorhinge.Targets
	// Configuration returns the newest routing configuration, or nil.
	Configuration func() *routing.Config
	// Caches is asked what engines hold; nil asks none.
	Caches Caches
	Clock  camphorhinge.Clock
	Seed   uint64
	Log    *slog.Logger
}

// Scheduler places the requests of all entry nodes.
type Scheduler struct {
	cfg Config

	mu      sync.Mutex
	placer  *place.Placer
	queue   *place.Queue
	callers map[string]*caller
	swept   camphorhinge.Instant
	// requested is when a request to place came last.
	requested camphorhinge.Instant
}

// caller holds the placements of one session of an entry node.
type caller struct {
	start      uint64
	session    uint32
	heard      camphorhinge.Instant
	placements map[uint64]held
	waiting    map[uint64]*ticket
}

type held struct {
	*place.Placement
	since camphorhinge.Instant
}

// ticket is a request that was asked to be placed and whose caller has not got the answer.
type ticket struct {
	waiting *place.QueuedRequest
	// asked is when the caller asked last.
	asked   camphorhinge.Instant
	decided chan struct{}
	answer  *peerpb.PlaceResponse
}

// New returns a Scheduler that knows of no work; Run decides on the requests that wait.
func New(cfg Config) *Scheduler {
	placer := place.New(place.Config{Seed: cfg.Seed, Central: true})
	return &Scheduler{cfg: cfg, placer: placer, queue: place.NewQueue(placer), callers: map[string]*caller{}}
}

// Run decides on the requests that wait until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.decide(ctx) })
	if s.cfg.Caches != nil {
		g.Go(func() error { return s.survey(ctx) })
	}
	return g.Wait()
}

func (s *Scheduler) decide(ctx context.Context) error {
	ticker := time.NewTicker(runEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := s.cfg.Clock.Now()
		s.mu.Lock()
		if s.queue.Len() > 0 {
			s.queue.Run(now)
		}
		if now.Sub(s.swept) >= sweepEvery {
			s.sweep(now)
		}
		s.mu.Unlock()
	}
}

// Place takes the caller's events and chooses where its request runs, if there is one.
func (s *Scheduler) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	t, unknown := s.take(req)
	if t == nil {
		return &peerpb.PlaceResponse{Unknown: unknown}, nil
	}
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-t.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.answer == nil {
		return &peerpb.PlaceResponse{Waiting: true, Unknown: unknown}, nil
	}
	if c := s.callers[req.GetNode()]; c != nil {
		delete(c.waiting, req.GetPlacement())
	}
	t.answer.Unknown = unknown
	return t.answer, nil
}

// take applies the events of a call and returns the ticket of its request, or nil, and whether the caller was unknown.
func (s *Scheduler) take(req *peerpb.PlaceRequest) (t *ticket, unknown bool) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c, unknown := s.caller(now, req)
	if c == nil {
		return nil, false
	}
	s.learn(now, req.GetHoldings())
	for _, e := range req.GetEvents() {
		s.event(now, c, e)
	}
	if req.GetPlacement() == 0 {
		return nil, unknown
	}
	if t := c.waiting[req.GetPlacement()]; t != nil {
		t.asked = now
		return t, unknown
	}
	config := s.cfg.Configuration()
	if config == nil {
		return nil, unknown
	}
	service := config.Service(camphorhinge.ServiceName(req.GetService()))
	if service == nil || service.Engine == nil {
		return nil, unknown
	}
	return s.enqueue(now, c, req, service), unknown
}

// learn takes over what a caller knows of the engines.
func (s *Scheduler) learn(now camphorhinge.Instant, known []*peerpb.Holding) {
	config := s.cfg.Configuration()
	if len(known) == 0 || config == nil {
		return
	}
	var holdings []place.CachedSegments
	for _, k := range known {
		h := place.CachedSegments{Target: camphorhinge.TargetName(k.GetTarget()), Incarnation: camphorhinge.Incarnation(k.GetIncarnation())}
		for i, hash := range k.GetParts() {
			if i < len(k.GetSizes()) && i < len(k.GetAges()) {
				h.Segments = append(h.Segments, place.Segment{Hash: hash, Tokens: camphorhinge.Tokens(k.GetSizes()[i])})
				h.Ages = append(h.Ages, time.Duration(k.GetAges()[i])*time.Millisecond)
			}
		}
		holdings = append(holdings, h)
	}
	for i := range config.Services {
		if config.Services[i].Engine != nil {
			s.placer.MergeCaches(now, s.cfg.Targets.Live(config.Services[i].Name), holdings)
		}
	}
}

// enqueue makes the ticket of a new request.
func (s *Scheduler) enqueue(now camphorhinge.Instant, c *caller, req *peerpb.PlaceRequest, service *routing.Service) *ticket {
	s.requested = now
	t := &ticket{asked: now, decided: make(chan struct{})}
	r := request(now, req)
	r.Engine = service.Engine
	id := req.GetPlacement()
	t.waiting = &place.QueuedRequest{
		Request: r, Live: func() []*camphorhinge.Target { return s.cfg.Targets.Live(service.Name) },
		OnDecision: func(p *place.Placement, retry time.Duration) {
			t.answer = answer(p, retry)
			if p != nil {
				c.placements[id] = held{p, s.cfg.Clock.Now()}
			}
			close(t.decided)
		},
	}
	c.waiting[id] = t
	s.queue.Add(now, t.waiting)
	return t
}

func answer(p *place.Placement, retry time.Duration) *peerpb.PlaceResponse {
	if p == nil {
		return &peerpb.PlaceResponse{Refused: uint64(retry.Milliseconds())}
	}
	resp := &peerpb.PlaceResponse{
		Serve: string(p.Serve.Name), Reason: p.Reason, Expected: uint64(p.Expected.Microseconds()), Unread: uint32(p.Uncached),
	}
	if p.Prefill != nil {
		resp.Prefill = string(p.Prefill.Name)
	}
	if p.Fetch != nil {
		resp.Fetch = string(p.Fetch.Name)
	}
	return resp
}

func request(now camphorhinge.Instant, req *peerpb.PlaceRequest) place.Request {
	r := place.Request{
		Service: camphorhinge.ServiceName(req.GetService()), Prompt: camphorhinge.Tokens(req.GetPrompt()),
		Output: camphorhinge.Tokens(req.GetOutput()), Direct: req.GetDirect(), Rank: int(req.GetRank()),
		Zone: camphorhinge.Zone(req.GetZone()), Bytes: int(req.GetBytes()),
	}
	if ms := req.GetObjective(); ms != 0 {
		r.Due = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if ms := req.GetPatience(); ms != 0 {
		r.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	for i, hash := range req.GetParts() {
		if i < len(req.GetSizes()) {
			r.Segments = append(r.Segments, place.Segment{Hash: hash, Tokens: camphorhinge.Tokens(req.GetSizes()[i])})
		}
	}
	for _, name := range req.GetExclude() {
		r.Exclude = append(r.Exclude, camphorhinge.TargetName(name))
	}
	return r
}

// caller returns what is held of the calling node, and whether it was unknown. Its earlier sessions have no work any more;
// for a call of one it returns nil.
func (s *Scheduler) caller(now camphorhinge.Instant, req *peerpb.PlaceRequest) (c *caller, unknown bool) {
	c = s.callers[req.GetNode()]
	if c != nil && c.start == req.GetStart() && req.GetSession() < c.session {
		return nil, false
	}
	unknown = c == nil || c.start != req.GetStart() || c.session != req.GetSession()
	if unknown {
		if c != nil {
			s.close(now, c)
		}
		c = &caller{
			start: req.GetStart(), session: req.GetSession(), placements: map[uint64]held{}, waiting: map[uint64]*ticket{},
		}
		s.callers[req.GetNode()] = c
	}
	c.heard = now
	return c, unknown
}

// sweep ends the placements of callers that are gone, and those whose end was not told, and forgets requests whose caller
// does not ask any more.
func (s *Scheduler) sweep(now camphorhinge.Instant) {
	s.swept = now
	for name, c := range s.callers {
		if now.Sub(c.heard) > callerExpiry {
			s.close(now, c)
			delete(s.callers, name)
			continue
		}
		for id, p := range c.placements {
			if now.Sub(p.since) > placementExpiry {
				p.Close(now)
				delete(c.placements, id)
			}
		}
		for id, t := range c.waiting {
			if now.Sub(t.asked) > holdTime+askAgain {
				s.queue.Remove(t.waiting)
				delete(c.waiting, id)
			}
		}
	}
}

func (s *Scheduler) close(now camphorhinge.Instant, c *caller) {
	for _, p := range c.placements {
		p.Close(now)
	}
	for _, t := range c.waiting {
		s.queue.Remove(t.waiting)
	}
}

// event applies what a caller tells of one of its placements.
func (s *Scheduler) event(now camphorhinge.Instant, c *caller, e *peerpb.PlaceEvent) {
	if t := c.waiting[e.GetPlacement()]; t != nil && e.GetEnded() {
		s.queue.Remove(t.waiting)
		delete(c.waiting, e.GetPlacement())
	}
	p, ok := c.placements[e.GetPlacement()]
	if !ok {
		return
	}
	at := now.Add(-time.Duration(e.GetAge()) * time.Millisecond)
	flight := p.ServeAttempt
	if e.GetReader() {
		flight = p.PrefillAttempt
	}
	if flight == nil {
		return
	}
	if e.GetFirst() {
		flight.RecordFirstEvent(at)
	}
	if e.GetEnded() {
		flight.End(at, place.Outcome(e.GetOutcome()))
		if !e.GetReader() {
			p.Close(at)
			delete(c.placements, e.GetPlacement())
		}
	}
}
