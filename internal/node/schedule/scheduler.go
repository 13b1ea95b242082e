package schedule

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/place"
)

const (
	// sessionExpiry is the time without a call after which an entry node's placements end.
	sessionExpiry = 3 * time.Second
	// placementExpiry bounds the age of a placement whose end was not reported. It should exceed the longest request: a
	// placement that lasts longer no longer counts as work of its engines.
	placementExpiry = 15 * time.Second
	// reportTime is the time until a new engine's role has been ordered and until it reports the role that it has got.
	reportTime = 2 * time.Second
	// sweepInterval is the time between two sweeps for expired placements.
	sweepInterval = 500 * time.Millisecond
	// maxCallWait bounds the time for which the first call for a request blocks while it waits for an engine; the entry node then
	// calls again. repeatedCallWait bounds that of further calls: the core node has shown that it answers, and with many waiting
	// requests most of its calls would be repeated ones.
	maxCallWait, repeatedCallWait = 150 * time.Millisecond, 500 * time.Millisecond
	// queueInterval is the time between two runs of the queue.
	queueInterval = 5 * time.Millisecond
	// maxCacheReports is the number of entry nodes that are asked for the cache contents they know, within
	// cacheReportPeriod. The polls of the engines bring the rest; reports of all entry nodes together would delay
	// placements after a restart.
	maxCacheReports   = 3
	cacheReportPeriod = 5 * time.Second
	// maxLoggedShares is the number of workspaces in a line of logLoad.
	maxLoggedShares = 5
	// repeatGrace is the time, beyond that for which its call blocks, after which a waiting request is dropped if its call is not
	// repeated.
	repeatGrace = 300 * time.Millisecond
)

// Config holds the dependencies of a Scheduler.
type Config struct {
	Targets camphorhinge.Targets
	// Configuration returns the latest routing configuration, or nil.
	Configuration func() *routing.Config
	// Caches lists the engines' cached prompt segments; nil disables polling.
	Caches Caches
	// Self is the peer address of this core node, and Others returns those of the others; nil means that there are none.
	Self   string
	Others func() []string
	// Feed returns the RPC client of the core node at a peer address.
	Feed func(address string) peerpb.Feed
	// Versions reads the software versions of a service that are or recently were in service from the durable state; nil
	// means that it does not hold them.
	Versions func(ctx context.Context, service camphorhinge.ServiceName) ([]camphorhinge.SoftwareVersion, error)
	Clock    camphorhinge.Clock
	Seed     uint64
	Log      *slog.Logger
	Metrics  *metrics.Set
}

// Scheduler places the requests of all entry nodes. It is safe for use by several goroutines.
type Scheduler struct {
	cfg      Config
	origins  *origins
	division *division
	passing  passing

	mu        sync.Mutex
	placer    *place.Placer
	queue     *place.Queue
	sessions  map[string]*session
	lastSweep camphorhinge.Instant
	// cacheReports counts the entry nodes asked for cache contents since cacheReportsSince.
	cacheReports      int
	cacheReportsSince camphorhinge.Instant
	// requestedAt is the time of the latest placement request.
	requestedAt camphorhinge.Instant
	// load is the work since the last line of logLoad, and lateness the longest delay of a run of the queue since the last call of
	// TakeLateness.
	load     load
	lateness time.Duration

	// runLate is how late the runs of the queue are, decisionTime the time from a placement request to its decision, both in seconds.
	runLate, decisionTime *metrics.Histogram
	// passedOn and passedTo count the requests passed on to other core nodes, and those that others have passed on to this one.
	passedOn, passedTo *metrics.Counter
}

// load is the work of a Scheduler within a span of time, for logs.
type load struct {
	since camphorhinge.Instant
	// considered is that of the placer at the begin of the span.
	considered uint64
	requests   int
	// runLate is the longest delay of a run of the queue.
	runLate time.Duration
}

// session holds the placements of an entry node's current session.
type session struct {
	// start identifies the start of the entry node's process; number is the number of the session since then.
	start    uint64
	number   uint32
	lastCall camphorhinge.Instant
	// placements and pending are keyed by the number that the entry node gave to the placement.
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
	// lastCall is the time of the latest call for the request, and hold the time for which that blocks.
	lastCall camphorhinge.Instant
	hold     time.Duration
	// decided is closed once response is set.
	decided  chan struct{}
	response *peerpb.PlaceResponse
}

// New returns a Scheduler without placements. Run must be running for requests to be decided.
func New(cfg Config) *Scheduler {
	placer := place.New(place.Config{Seed: cfg.Seed, Central: true})
	cfg.Metrics.NewGauge("camphorhinge_placement_considered", func() float64 { return float64(placer.Considered()) })
	s := &Scheduler{
		cfg: cfg, origins: newOrigins(cfg.Clock.Now()), placer: placer, queue: place.NewQueue(placer), sessions: map[string]*session{},
		division: newDivision(cfg.Targets), passing: passing{free: map[passKey]*freeEngines{}},
		passedOn:     cfg.Metrics.NewCounter(`camphorhinge_placements_passed_total{direction="on"}`),
		passedTo:     cfg.Metrics.NewCounter(`camphorhinge_placements_passed_total{direction="here"}`),
		runLate:      cfg.Metrics.NewHistogram("camphorhinge_placement_run_late_seconds"),
		decisionTime: cfg.Metrics.NewHistogram("camphorhinge_placement_decision_seconds"),
	}
	refusals := func(read func(r place.Refusals) uint64) func() float64 {
		return func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(read(s.queue.Refusals()))
		}
	}
	cfg.Metrics.NewGauge(`camphorhinge_placements_refused{reason="share"}`, refusals(func(r place.Refusals) uint64 { return r.AboveShare }))
	cfg.Metrics.NewGauge(`camphorhinge_placements_refused{reason="time"}`, refusals(func(r place.Refusals) uint64 { return r.InVain }))
	cfg.Metrics.NewGauge("camphorhinge_placement_workspaces_starved", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.queue.Starved())
	})
	return s
}

// Considered returns the number of targets that were considered for requests so far, as place.Placer does.
func (s *Scheduler) Considered() uint64 { return s.placer.Considered() }

// Run decides the waiting requests and polls engine caches until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.runQueue(ctx) })
	g.Go(func() error { return s.runCopies(ctx) })
	g.Go(func() error { return s.runFreePolls(ctx) })
	if s.cfg.Caches != nil {
		g.Go(func() error { return s.pollCaches(ctx) })
	}
	return g.Wait()
}

func (s *Scheduler) runQueue(ctx context.Context) error {
	ticker := time.NewTicker(queueInterval)
	defer ticker.Stop()
	last := s.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.mu.Lock()
		now := s.cfg.Clock.Now()
		late := max(now.Sub(last)-queueInterval, 0)
		last = now
		s.load.runLate = max(s.load.runLate, late)
		if now.Sub(s.requestedAt) < sessionExpiry {
			s.lateness = max(s.lateness, late)
		}
		if s.queue.Len() > 0 {
			s.runLate.Update(late.Seconds())
			s.queue.Run(now)
		}
		if now.Sub(s.lastSweep) >= sweepInterval {
			s.sweep(now)
			s.logLoad(now)
		}
		s.mu.Unlock()
	}
}

// logLoad logs the waiting requests, the work since the line before and the estimated speeds while requests wait. The caller
// holds s.mu.
func (s *Scheduler) logLoad(now camphorhinge.Instant) {
	config, work := s.cfg.Configuration(), s.load
	considered := s.placer.Considered()
	s.load = load{since: now, considered: considered}
	if s.queue.Len() == 0 || config == nil {
		return
	}
	for i := range config.Services {
		if svc := &config.Services[i]; svc.Engine != nil {
			s.cfg.Log.Info("requests wait for an engine", "service", svc.Name, "waiting", s.queue.Len(),
				"since_ms", now.Sub(work.since).Milliseconds(), "requests", work.requests, "considered", considered-work.considered,
				"run_late_ms", work.runLate.Milliseconds(), "passed_on", s.passedOn.Get(), "passed_here", s.passedTo.Get(),
				"workspaces", s.queue.Shares(svc.Name, maxLoggedShares),
				"engines", s.placer.Speeds(now, svc.Name, s.division.own(now, svc.Name)))
		}
	}
}

// TakeLateness returns the longest delay of a run of the queue since the last call, while requests come, and resets it.
func (s *Scheduler) TakeLateness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.lateness
	s.lateness = 0
	return out
}

// Place applies the events of a call and places its request, if it has one. When the request still waits for an engine
// after its hold, the response has Waiting set, and the entry node calls again with the same placement number.
func (s *Scheduler) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	s.mergeOrigins(s.cfg.Clock.Now(), req.GetOrigins(), true)
	pending, resp := s.receive(req)
	if pending == nil {
		return resp, nil
	}
	timer := time.NewTimer(callHold(req))
	defer timer.Stop()
	select {
	case <-pending.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending.response == nil {
		resp.Waiting = true
		return resp, nil
	}
	if sess := s.sessions[req.GetNode()]; sess != nil {
		delete(sess.pending, req.GetPlacement())
	}
	pending.response.Unknown, pending.response.NewSession = resp.GetUnknown(), resp.GetNewSession()
	return pending.response, nil
}

// callHold returns the time for which a call blocks while its request waits.
func callHold(req *peerpb.PlaceRequest) time.Duration {
	return min(max(time.Duration(req.GetHold())*time.Millisecond, maxCallWait), repeatedCallWait)
}

// askForCaches reports whether to ask the entry node of a new session for the cache contents that it knows.
func (s *Scheduler) askForCaches(now camphorhinge.Instant) bool {
	if now.Sub(s.cacheReportsSince) > cacheReportPeriod {
		s.cacheReports, s.cacheReportsSince = 0, now
	}
	s.cacheReports++
	return s.cacheReports <= maxCacheReports
}

// Work returns the measured work of a service's engines. It is not measured while this node places no requests.
func (s *Scheduler) Work(_ context.Context, req *peerpb.WorkRequest) (*peerpb.WorkResponse, error) {
	now, service := s.cfg.Clock.Now(), camphorhinge.ServiceName(req.GetService())
	w, ok := s.placer.Work(now, service)
	speeds := s.placer.Speeds(now, service, s.division.own(now, service))
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.WorkResponse{
		Measured: ok, Generating: w.Generating, Prefilling: w.Prefilling, Transferring: w.Transferring, Age: uint64(w.Age.Milliseconds()),
		Idle: uint64(max(now.Sub(s.requestedAt), 0).Milliseconds()), Waiting: uint32(s.queue.Len()), Free: uint32(speeds.Free()),
	}, nil
}

// receive applies the events of a call and queues its request. It returns the pending request, or nil if there is none
// to decide, and the response as far as it is known: whether the session is new, whether to ask the entry node for cache contents, and
// the core node to which the request is passed on. A call of an earlier session has no effect.
func (s *Scheduler) receive(req *peerpb.PlaceRequest) (*pendingRequest, *peerpb.PlaceResponse) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &peerpb.PlaceResponse{}
	sess, fresh := s.currentSession(now, req)
	if sess == nil {
		return nil, resp
	}
	resp.NewSession, resp.Unknown = fresh, fresh && s.askForCaches(now)
	s.mergeCaches(now, req.GetHoldings())
	s.mergeLimits(now, req.GetLimits())
	for _, e := range req.GetEvents() {
		s.applyEvent(now, sess, e)
	}
	if req.GetPlacement() == 0 {
		return nil, resp
	}
	if pending := sess.pending[req.GetPlacement()]; pending != nil {
		pending.lastCall, pending.hold = now, callHold(req)
		return pending, resp
	}
	config := s.cfg.Configuration()
	if config == nil {
		return nil, resp
	}
	service := config.Service(camphorhinge.ServiceName(req.GetService()))
	if service == nil || service.Engine == nil {
		return nil, resp
	}
	if resp.Pass = s.passOn(now, req); resp.GetPass() != "" {
		return nil, resp
	}
	return s.enqueue(now, sess, req, service), resp
}

// passOn returns the core node to which a request is passed on, or "" if it is placed here. A request is passed on once at most.
func (s *Scheduler) passOn(now camphorhinge.Instant, req *peerpb.PlaceRequest) string {
	if req.GetPassed() {
		s.passedTo.Inc()
		return ""
	}
	key := shardOf(req)
	oldest := s.queue.Oldest(now)
	if key.count <= 1 || req.GetPinned() || oldest < passAfter {
		return ""
	}
	var shared camphorhinge.Tokens
	for _, n := range req.GetSizes()[:max(len(req.GetSizes())-1, 0)] {
		shared += camphorhinge.Tokens(n)
	}
	if oldest < passAfter+s.placer.PrefillTime(key.service, shared) {
		return ""
	}
	address := s.passing.take(now, key.service)
	if address != "" {
		s.passedOn.Inc()
	}
	return address
}

// mergeCaches adds the cache contents that an entry node has recorded of the engines.
func (s *Scheduler) mergeCaches(now camphorhinge.Instant, reported []*peerpb.Holding) {
	config := s.cfg.Configuration()
	if len(reported) == 0 || config == nil {
		return
	}
	var caches []place.CachedSegments
	for _, holding := range reported {
		contents := place.CachedSegments{
			Target: camphorhinge.TargetName(holding.GetTarget()), Incarnation: camphorhinge.Incarnation(holding.GetIncarnation()),
		}
		for i, hash := range holding.GetParts() {
			if i < len(holding.GetSizes()) && i < len(holding.GetAges()) {
				contents.Segments = append(contents.Segments, place.Segment{Hash: hash, Tokens: camphorhinge.Tokens(holding.GetSizes()[i])})
				contents.Ages = append(contents.Ages, time.Duration(holding.GetAges()[i])*time.Millisecond)
			}
		}
		caches = append(caches, contents)
	}
	for i := range config.Services {
		if config.Services[i].Engine != nil {
			s.placer.MergeCaches(now, s.cfg.Targets.Live(config.Services[i].Name), caches)
		}
	}
}

// mergeLimits records the limits that targets stated to an entry node.
func (s *Scheduler) mergeLimits(now camphorhinge.Instant, stated []*peerpb.Limit) {
	if len(stated) == 0 {
		return
	}
	limits := make([]place.Limit, 0, len(stated))
	for _, l := range stated {
		limits = append(limits, place.Limit{
			Target: camphorhinge.TargetName(l.GetTarget()), Incarnation: camphorhinge.Incarnation(l.GetIncarnation()), PerSecond: l.GetRate(),
			Age: time.Duration(l.GetAge()) * time.Millisecond,
		})
	}
	for _, l := range s.placer.MergeLimits(now, s.engines(), limits) {
		s.cfg.Log.Info("limit of an engine changed", "target", l.Target, "per_second", l.PerSecond, "age_ms", l.Age.Milliseconds())
	}
}

// enqueue queues a new request.
func (s *Scheduler) enqueue(now camphorhinge.Instant, sess *session, req *peerpb.PlaceRequest, service *routing.Service) *pendingRequest {
	s.requestedAt = now
	s.load.requests++
	key := shardOf(req)
	if s.division.record(now, key) {
		s.cfg.Log.Info("requests are placed here", "service", key.service, "shard", int(key.shard), "shards", key.count)
	}
	pending := &pendingRequest{lastCall: now, hold: callHold(req), decided: make(chan struct{})}
	r := decodeRequest(now, req)
	r.Engine = service.Engine
	if service.Scaling != nil && service.Engine != nil {
		r.Settle = service.Engine.SwitchTime + reportTime
	}
	id := req.GetPlacement()
	pending.queued = &place.QueuedRequest{
		Request: r, Live: func() []*camphorhinge.Target { return s.division.candidates(key, r.Software) },
		OnDecision: func(p *place.Placement, retry time.Duration) {
			s.decisionTime.Update(s.cfg.Clock.Now().Sub(now).Seconds())
			pending.response = newResponse(p, retry)
			if p != nil {
				s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_placements_total{reason=%q}", p.Reason)).Inc()
				sess.placements[id] = activePlacement{p, s.cfg.Clock.Now()}
			}
			close(pending.decided)
		},
	}
	sess.pending[id] = pending
	s.queue.Add(now, pending.queued)
	return pending
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
		Upload: time.Duration(req.GetUpload()) * time.Microsecond, Resumable: req.GetResumable(),
		Workspace: camphorhinge.WorkspaceName(req.GetWorkspace()),
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
	if req.GetPinned() {
		software := camphorhinge.SoftwareVersion(req.GetSoftware())
		r.Software = &software
	}
	for _, name := range req.GetExclude() {
		r.Exclude = append(r.Exclude, camphorhinge.TargetName(name))
	}
	return r
}

// currentSession returns the session of a call, and whether it was unknown and has been created. A new session ends the
// placements of the entry node's former one; for a call of an earlier session it returns nil.
func (s *Scheduler) currentSession(now camphorhinge.Instant, req *peerpb.PlaceRequest) (sess *session, unknown bool) {
	sess = s.sessions[req.GetNode()]
	if sess != nil && sess.start == req.GetStart() && req.GetSession() < sess.number {
		return nil, false
	}
	unknown = sess == nil || sess.start != req.GetStart() || sess.number != req.GetSession()
	if unknown {
		if sess != nil {
			s.close(now, sess)
		}
		sess = &session{
			start: req.GetStart(), number: req.GetSession(), placements: map[uint64]activePlacement{}, pending: map[uint64]*pendingRequest{},
		}
		s.sessions[req.GetNode()] = sess
	}
	sess.lastCall = now
	return sess, unknown
}

// sweep ends the placements of expired sessions and those older than placementExpiry, and drops pending requests whose
// calls are no longer repeated.
func (s *Scheduler) sweep(now camphorhinge.Instant) {
	s.lastSweep = now
	for name, sess := range s.sessions {
		if now.Sub(sess.lastCall) > sessionExpiry {
			s.close(now, sess)
			delete(s.sessions, name)
			continue
		}
		for id, p := range sess.placements {
			if now.Sub(p.placedAt) > placementExpiry {
				p.Close(now)
				delete(sess.placements, id)
			}
		}
		for id, pending := range sess.pending {
			if now.Sub(pending.lastCall) > pending.hold+repeatGrace {
				s.queue.Remove(pending.queued)
				delete(sess.pending, id)
			}
		}
	}
}

// close ends the placements of a session and removes its pending requests from the queue.
func (s *Scheduler) close(now camphorhinge.Instant, sess *session) {
	for _, p := range sess.placements {
		p.Close(now)
	}
	for _, pending := range sess.pending {
		s.queue.Remove(pending.queued)
	}
}

// applyEvent applies an event to the placement that it names. An end event also removes a pending request, which the
// entry node no longer waits for.
func (s *Scheduler) applyEvent(now camphorhinge.Instant, sess *session, e *peerpb.PlaceEvent) {
	if pending := sess.pending[e.GetPlacement()]; pending != nil && e.GetEnded() {
		s.queue.Remove(pending.queued)
		delete(sess.pending, e.GetPlacement())
	}
	p, ok := sess.placements[e.GetPlacement()]
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
	inFlight.RecordSlowness(at, float64(e.GetSlowness())/100)
	if e.GetFirst() {
		inFlight.RecordFirstEvent(at)
	}
	if e.GetEnded() {
		inFlight.End(at, place.Outcome(e.GetOutcome()))
		if !e.GetReader() {
			p.Close(at)
			delete(sess.placements, e.GetPlacement())
		}
	}
}
