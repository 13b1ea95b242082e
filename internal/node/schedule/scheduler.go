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
	// sessionExpiry is the time without a call after which an entry node's placements end.
	sessionExpiry = 3 * time.Second
	// placementExpiry bounds the age of a placement whose end was not reported; it exceeds the longest request.
	placementExpiry = 15 * time.Second
	// sweepInterval is the time between two sweeps for expired placements.
	sweepInterval = 500 * time.Millisecond
	// maxCallWait bounds the time for which a call blocks while its request waits for an engine; the entry node then
	// calls again.
	maxCallWait = 150 * time.Millisecond
	// queueInterval is the time between two runs of the queue.
	queueInterval = 5 * time.Millisecond
	// repeatGrace is the time, beyond maxCallWait, after which a waiting request that was not asked for again is
	// dropped.
	repeatGrace = 300 * time.Millisecond
)

// Config holds the dependencies of a Scheduler.
type Config struct {
	Targets camphorhinge.Targets
	// Configuration returns the latest routing configuration, or nil.
	Configuration func() *routing.Config
	// Caches lists the engines' cached prompt segments; nil disables polling.
	Caches Caches
	Clock  camphorhinge.Clock
	Seed   uint64
	Log    *slog.Logger
}

// Scheduler places the requests of all entry nodes.
type Scheduler struct {
	cfg Config

	mu        sync.Mutex
	placer    *place.Placer
	queue     *place.Queue
	sessions  map[string]*session
	lastSweep camphorhinge.Instant
	// requestedAt is the time of the latest placement request.
	requestedAt camphorhinge.Instant
}

// session holds the placements of an entry node's current session.
type session struct {
	start      uint64
	number     uint32
	lastCall   camphorhinge.Instant
	placements map[uint64]activePlacement
	pending    map[uint64]*pendingRequest
}

type activePlacement struct {
	*place.Placement
	placedAt camphorhinge.Instant
}

// pendingRequest is a placement request whose response has not been delivered.
type pendingRequest struct {
	queued *place.QueuedRequest
	// lastCall is the time of the latest call for the request.
	lastCall camphorhinge.Instant
	decided  chan struct{}
	response *peerpb.PlaceResponse
}

// New returns a Scheduler without placements. Run must be running for requests to be decided.
func New(cfg Config) *Scheduler {
	placer := place.New(place.Config{Seed: cfg.Seed, Central: true})
	return &Scheduler{cfg: cfg, placer: placer, queue: place.NewQueue(placer), sessions: map[string]*session{}}
}

// Run decides the waiting requests and polls engine caches until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.runQueue(ctx) })
	if s.cfg.Caches != nil {
		g.Go(func() error { return s.pollCaches(ctx) })
	}
	return g.Wait()
}

func (s *Scheduler) runQueue(ctx context.Context) error {
	ticker := time.NewTicker(queueInterval)
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
		if now.Sub(s.lastSweep) >= sweepInterval {
			s.sweep(now)
		}
		s.mu.Unlock()
	}
}

// Place applies the events of a call and places its request, if it has one. When the request still waits for an engine
// after maxCallWait, the response says so, and the entry node calls again.
func (s *Scheduler) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	t, unknown := s.receive(req)
	if t == nil {
		return &peerpb.PlaceResponse{Unknown: unknown}, nil
	}
	timer := time.NewTimer(maxCallWait)
	defer timer.Stop()
	select {
	case <-t.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.response == nil {
		return &peerpb.PlaceResponse{Waiting: true, Unknown: unknown}, nil
	}
	if c := s.sessions[req.GetNode()]; c != nil {
		delete(c.pending, req.GetPlacement())
	}
	t.response.Unknown = unknown
	return t.response, nil
}

// receive applies the events of a call. It returns the pending request of the call, or nil, and whether the session was
// unknown.
func (s *Scheduler) receive(req *peerpb.PlaceRequest) (t *pendingRequest, unknown bool) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c, unknown := s.currentSession(now, req)
	if c == nil {
		return nil, false
	}
	s.mergeCaches(now, req.GetHoldings())
	for _, e := range req.GetEvents() {
		s.applyEvent(now, c, e)
	}
	if req.GetPlacement() == 0 {
		return nil, unknown
	}
	if t := c.pending[req.GetPlacement()]; t != nil {
		t.lastCall = now
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

// mergeCaches adds an entry node's view of the engines' caches.
func (s *Scheduler) mergeCaches(now camphorhinge.Instant, reported []*peerpb.Holding) {
	config := s.cfg.Configuration()
	if len(reported) == 0 || config == nil {
		return
	}
	var caches []place.CachedSegments
	for _, k := range reported {
		h := place.CachedSegments{Target: camphorhinge.TargetName(k.GetTarget()), Incarnation: camphorhinge.Incarnation(k.GetIncarnation())}
		for i, hash := range k.GetParts() {
			if i < len(k.GetSizes()) && i < len(k.GetAges()) {
				h.Segments = append(h.Segments, place.Segment{Hash: hash, Tokens: camphorhinge.Tokens(k.GetSizes()[i])})
				h.Ages = append(h.Ages, time.Duration(k.GetAges()[i])*time.Millisecond)
			}
		}
		caches = append(caches, h)
	}
	for i := range config.Services {
		if config.Services[i].Engine != nil {
			s.placer.MergeCaches(now, s.cfg.Targets.Live(config.Services[i].Name), caches)
		}
	}
}

// enqueue queues a new request.
func (s *Scheduler) enqueue(now camphorhinge.Instant, c *session, req *peerpb.PlaceRequest, service *routing.Service) *pendingRequest {
	s.requestedAt = now
	t := &pendingRequest{lastCall: now, decided: make(chan struct{})}
	r := decodeRequest(now, req)
	r.Engine = service.Engine
	id := req.GetPlacement()
	t.queued = &place.QueuedRequest{
		Request: r, Live: func() []*camphorhinge.Target { return s.cfg.Targets.Live(service.Name) },
		OnDecision: func(p *place.Placement, retry time.Duration) {
			t.response = newResponse(p, retry)
			if p != nil {
				c.placements[id] = activePlacement{p, s.cfg.Clock.Now()}
			}
			close(t.decided)
		},
	}
	c.pending[id] = t
	s.queue.Add(now, t.queued)
	return t
}

func newResponse(p *place.Placement, retry time.Duration) *peerpb.PlaceResponse {
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

func decodeRequest(now camphorhinge.Instant, req *peerpb.PlaceRequest) place.Request {
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

// currentSession returns the session of a call, and whether it was unknown. A new session ends the work of earlier
// ones; for a call of an earlier session it returns nil.
func (s *Scheduler) currentSession(now camphorhinge.Instant, req *peerpb.PlaceRequest) (c *session, unknown bool) {
	c = s.sessions[req.GetNode()]
	if c != nil && c.start == req.GetStart() && req.GetSession() < c.number {
		return nil, false
	}
	unknown = c == nil || c.start != req.GetStart() || c.number != req.GetSession()
	if unknown {
		if c != nil {
			s.endSession(now, c)
		}
		c = &session{
			start: req.GetStart(), number: req.GetSession(), placements: map[uint64]activePlacement{}, pending: map[uint64]*pendingRequest{},
		}
		s.sessions[req.GetNode()] = c
	}
	c.lastCall = now
	return c, unknown
}

// sweep ends the placements of expired sessions and of requests whose end was not reported, and drops waiting requests
// that are no longer asked for.
func (s *Scheduler) sweep(now camphorhinge.Instant) {
	s.lastSweep = now
	for name, c := range s.sessions {
		if now.Sub(c.lastCall) > sessionExpiry {
			s.endSession(now, c)
			delete(s.sessions, name)
			continue
		}
		for id, p := range c.placements {
			if now.Sub(p.placedAt) > placementExpiry {
				p.Close(now)
				delete(c.placements, id)
			}
		}
		for id, t := range c.pending {
			if now.Sub(t.lastCall) > maxCallWait+repeatGrace {
				s.queue.Remove(t.queued)
				delete(c.pending, id)
			}
		}
	}
}

func (s *Scheduler) endSession(now camphorhinge.Instant, c *session) {
	for _, p := range c.placements {
		p.Close(now)
	}
	for _, t := range c.pending {
		s.queue.Remove(t.queued)
	}
}

// applyEvent applies an event to the placement that it names.
func (s *Scheduler) applyEvent(now camphorhinge.Instant, c *session, e *peerpb.PlaceEvent) {
	if t := c.pending[e.GetPlacement()]; t != nil && e.GetEnded() {
		s.queue.Remove(t.queued)
		delete(c.pending, e.GetPlacement())
	}
	p, ok := c.placements[e.GetPlacement()]
	if !ok {
		return
	}
	at := now.Add(-time.Duration(e.GetAge()) * time.Millisecond)
	inFlight := p.ServeAttempt
	if e.GetReader() {
		inFlight = p.PrefillAttempt
	}
	if inFlight == nil {
		return
	}
	if e.GetFirst() {
		inFlight.RecordFirstEvent(at)
	}
	if e.GetEnded() {
		inFlight.End(at, place.Outcome(e.GetOutcome()))
		if !e.GetReader() {
			p.Close(at)
			delete(c.placements, e.GetPlacement())
		}
	}
}
