package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

// Reasons of a choice.
const (
	ReasonOnly   = "only eligible target"
	ReasonPrefix = "holds a prefix of the prompt"
	ReasonZone   = "least expected completion, own zone"
	ReasonSpill  = "least expected completion, other zone"
	ReasonDecode = "decode after a move of the KV cache"
)

// Router implements camphorhinge.Router. Its methods may be called by several goroutines.
type Router struct {
	cfg Config

	mu      sync.Mutex
	rng     *rand.Rand
	states  map[camphorhinge.TargetName]*targetState
	index   *index
	history map[camphorhinge.ServiceName]*history
	speeds  map[camphorhinge.ServiceName]*serviceSpeed
	started camphorhinge.Instant
	swept   camphorhinge.Instant
	// scratch buffers of one Pick, to allocate none.
	list    []candidate
	starter []candidate
	holders []*targetState
	pick    uint64
	rares   map[rareKey]rareTargets
}

var _ camphorhinge.Router = (*Router)(nil)

type history struct {
	n    int
	mean float64
}

type candidate struct {
	target *camphorhinge.Target
	state  *targetState
	est    estimate
	held   int
	// total is the expected time to completion.
	total time.Duration
	// sure is total without the part that may be an effect of the report's age.
	sure time.Duration
}

// New returns a Router.
func New(c Config) (*Router, error) {
	if c.Targets == nil || c.Clock == nil {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: errDependency}
	}
	c = c.withDefaults()
	return &Router{
		cfg: c, started: c.Clock.Now(), rng: rand.New(rand.NewPCG(c.Seed, 1)), index: newIndex(c.IndexPairs),
		rares:  map[rareKey]rareTargets{},
		states: map[camphorhinge.TargetName]*targetState{}, history: map[camphorhinge.ServiceName]*history{},
		speeds: map[camphorhinge.ServiceName]*serviceSpeed{},
	}, nil
}

// Observe takes the cache events of a new announcement. It returns true when events were missing: the caller then asks
// the target for all its prefixes (GET /v1/target?cache=full) and passes them to Resync.
func (r *Router) Observe(t *camphorhinge.Target) (missing bool) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(t, now)
	r.sweep(now)
	if t.Incarnation < s.incarnation {
		return false
	}
	return !r.index.apply(s, t.Cache)
}

// Resync replaces what is known of a target's prefixes by its full list. It returns false when the list is older than
// events that were observed; the caller asks again.
func (r *Router) Resync(t *camphorhinge.Target) bool {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(t, now)
	return t.Incarnation < s.incarnation || r.index.replace(s, t.Cache)
}

// Output returns the expected number of output tokens of a request to a service that allows at most limit; a limit of
// 0 is none.
func (r *Router) Output(service camphorhinge.ServiceName, limit camphorhinge.Tokens) camphorhinge.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.output(service, limit)
}

func (r *Router) output(service camphorhinge.ServiceName, limit camphorhinge.Tokens) camphorhinge.Tokens {
	expected := r.cfg.Output
	if h := r.history[service]; h != nil && h.n >= historyLeast {
		expected = camphorhinge.Tokens(h.mean + 0.5)
	}
	if limit > 0 {
		expected = min(expected, limit)
	}
	return max(1, expected)
}

// Pick returns the target to try next.
func (r *Router) Pick(req camphorhinge.RouteRequest) (camphorhinge.RouteChoice, bool) {
	live := r.cfg.Targets.Live(req.Service)
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	output := r.output(req.Service, req.Output)
	r.collect(live, &req, now, output)
	if len(r.list) == 0 {
		return camphorhinge.RouteChoice{}, false
	}
	r.complete(blocks(req.Prompt))
	best := r.choose(now)
	reason := ReasonZone
	switch {
	case len(r.list) == 1:
		reason = ReasonOnly
	case best.held > 0:
		reason = ReasonPrefix
	case best.target.Zone != r.cfg.Zone:
		reason = ReasonSpill
	}
	return camphorhinge.RouteChoice{Target: best.target, Expected: best.total, Reason: reason}, true
}

// PickDecode returns the engine to which the KV cache of a request moves from the engine that holds it. ok is false when
// the request should stay there, or no engine may take it.
func (r *Router) PickDecode(req camphorhinge.RouteRequest, from *camphorhinge.Target) (camphorhinge.RouteChoice, bool) {
	live := r.cfg.Targets.Live(req.Service)
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	output := r.output(req.Service, req.Output)
	r.collect(live, &req, now, output)
	move := r.cfg.BlockMove * time.Duration(blocks(req.Prompt))
	stay := time.Duration(-1)
	kept := r.list[:0]
	for _, c := range r.list {
		if c.target.Name == from.Name {
			stay = c.est.decode
			continue
		}
		if c.target.Role == camphorhinge.RolePrefill && from.Role == camphorhinge.RolePrefill {
			continue // It would hand the stream on at once.
		}
		// The cache comes with the move, so only the wait for a place in the batch and for memory precedes the next token.
		c.total = move + c.est.wait + c.est.decode
		kept = append(kept, c)
	}
	r.list = kept
	if len(kept) == 0 {
		return camphorhinge.RouteChoice{}, false
	}
	best := r.choose(now)
	if stay >= 0 && stay <= best.total {
		return camphorhinge.RouteChoice{}, false
	}
	return camphorhinge.RouteChoice{Target: best.target, Expected: best.total, Reason: ReasonDecode}, true
}

// collect fills r.list with the eligible candidates and their estimates.
func (r *Router) collect(live []*camphorhinge.Target, req *camphorhinge.RouteRequest, now camphorhinge.Instant, output camphorhinge.Tokens) {
	r.list, r.starter = r.list[:0], r.starter[:0]
	r.pick++
	r.holders = r.index.mark(r.holders[:0], req.Prefixes, r.pick)
	if len(live) <= scanLimit {
		for _, t := range live {
			r.consider(t, req, now, output)
		}
	} else {
		r.sample(live, req, now, output)
	}
	if len(r.list) == 0 {
		// Targets in their slow start are better than none.
		r.list = append(r.list, r.starter...)
	}
}

// sample considers a random part of the targets and those that hold a prefix of the prompt.
func (r *Router) sample(live []*camphorhinge.Target, req *camphorhinge.RouteRequest, now camphorhinge.Instant, output camphorhinge.Tokens) {
	n := len(live)
	at, step := r.rng.IntN(n), 1+r.rng.IntN(n-1)
	for i := 0; i < min(n, sampleDraws) && len(r.list) < sampleSize; i++ {
		r.consider(live[at], req, now, output)
		at = (at + step) % n
	}
	if len(r.list)+len(r.starter) < 2 {
		r.list, r.starter = r.list[:0], r.starter[:0]
		for _, name := range r.rare(live, req, now) {
			r.considerName(live, name, req, now, output)
		}
		return
	}
	for _, s := range r.holders[:min(sampleHolders, len(r.holders))] {
		if !slices.ContainsFunc(r.list, func(c candidate) bool { return c.state == s }) {
			r.considerName(live, s.name, req, now, output)
		}
	}
}

type rareKey struct {
	service camphorhinge.ServiceName
	model   camphorhinge.ModelName
	adapter camphorhinge.AdapterName
}

type rareTargets struct {
	at    camphorhinge.Instant
	names []camphorhinge.TargetName
}

// rare returns up to scanLimit names of targets that have the model and adapter of a request. It looks at all targets,
// and remembers the result for rareAge, so that not each pick does.
func (r *Router) rare(live []*camphorhinge.Target, req *camphorhinge.RouteRequest, now camphorhinge.Instant) []camphorhinge.TargetName {
	key := rareKey{req.Service, req.Model, req.Adapter}
	if old, ok := r.rares[key]; ok && now.Sub(old.at) < rareAge {
		return old.names
	}
	var names []camphorhinge.TargetName
	for _, t := range live {
		if len(names) < scanLimit && up(t, now) && serves(t, req) {
			names = append(names, t.Name)
		}
	}
	if len(r.rares) >= maxRare {
		clear(r.rares)
	}
	r.rares[key] = rareTargets{now, names}
	return names
}

func (r *Router) considerName(live []*camphorhinge.Target, name camphorhinge.TargetName, req *camphorhinge.RouteRequest, now camphorhinge.Instant, output camphorhinge.Tokens) {
	i, ok := slices.BinarySearchFunc(live, name, func(t *camphorhinge.Target, name camphorhinge.TargetName) int {
		return cmp.Compare(t.Name, name)
	})
	if ok {
		r.consider(live[i], req, now, output)
	}
}

// consider adds a target to the candidates when it may take the request.
func (r *Router) consider(t *camphorhinge.Target, req *camphorhinge.RouteRequest, now camphorhinge.Instant, output camphorhinge.Tokens) {
	if !up(t, now) || !serves(t, req) || slices.Contains(req.Exclude, t.Name) ||
		t.Load.Blocks > 0 && blocks(req.Prompt+output) > t.Load.Blocks {
		return
	}
	s := r.state(t, now)
	if !s.breaker.allows(now) {
		return
	}
	w := s.work(t.Load, taken(t, now), r.nodes())
	c := candidate{target: t, state: s}
	if t.Kind == camphorhinge.KindService {
		c.est = r.cfg.plain(s, w)
	} else {
		c.held = r.held(s, req.Prefixes)
		c.est = r.cfg.engine(t, s, w, req.Prompt, output, c.held)
	}
	if share := s.share(now); share < 1 && r.rng.Float64() >= share {
		r.starter = append(r.starter, c)
		return
	}
	r.list = append(r.list, c)
}

// held returns how many leading blocks of the current pick's prompt a target holds.
func (r *Router) held(s *targetState, prefixes []uint64) int {
	switch {
	case s.marked == r.pick:
		return s.held
	case len(r.holders) < maxHolders:
		return 0 // all holders are marked
	}
	return s.search(prefixes)
}

func up(t *camphorhinge.Target, now camphorhinge.Instant) bool {
	return t.Serving && !t.Leaving && !t.Busy && now.Sub(t.Heard) <= camphorhinge.TargetExpiry
}

func serves(t *camphorhinge.Target, req *camphorhinge.RouteRequest) bool {
	return t.Kind == camphorhinge.KindService ||
		(req.Model == "" || slices.Contains(t.Models, req.Model)) &&
			(req.Adapter == "" || slices.Contains(t.Adapters, req.Adapter))
}

// complete computes the costs. A prefill engine hands over to the best decode engine of the sample, if that is faster
// than to go on alone.
func (r *Router) complete(prompt camphorhinge.Blocks) {
	move := r.cfg.BlockMove * time.Duration(prompt)
	handover := time.Duration(-1)
	for _, c := range r.list {
		if c.target.Kind != camphorhinge.KindService && c.target.Role != camphorhinge.RolePrefill {
			if d := move + c.est.decode; handover < 0 || d < handover {
				handover = d
			}
		}
	}
	for i := range r.list {
		c := &r.list[i]
		decode := c.est.decode
		if c.target.Role == camphorhinge.RolePrefill && handover >= 0 {
			decode = min(decode, handover)
		}
		c.total = c.est.ready + decode
	}
}

// choose takes two random candidates among the best and returns the better one. Without the random choice all nodes
// would send to the same target until its next load report. The own zone is left only for a clear gain.
//
// For the best ones, the part of an estimate that stems from load counts only as far as it exceeds the mean age of the
// reports: a queue may have grown or shrunk by that much since. What stems from the request itself counts in full, so
// that a held prefix is not lost in the uncertainty of the load.
func (r *Router) choose(now camphorhinge.Instant) candidate {
	age := time.Duration(0)
	for _, c := range r.list {
		age += now.Sub(taken(c.target, now))
	}
	age /= time.Duration(len(r.list))
	const none = time.Duration(math.MaxInt64)
	own, best := none, none
	for i := range r.list {
		c := &r.list[i]
		c.sure = c.total - min(c.est.load, age)
		best = min(best, c.sure)
		if c.target.Zone == r.cfg.Zone {
			own = min(own, c.sure)
		}
	}
	local := own != none && own <= slack(best)+r.cfg.ZoneMargin
	if local {
		best = own
	}
	n := 0
	for i, c := range r.list {
		if c.sure <= slack(best) && (!local || c.target.Zone == r.cfg.Zone) {
			r.list[n], r.list[i] = r.list[i], r.list[n]
			n++
		}
	}
	a, b := r.list[r.rng.IntN(n)], r.list[r.rng.IntN(n)]
	if b.total < a.total {
		return b
	}
	return a
}

// slack is the expected completion up to which candidates count as good as the best; estimates are no more exact.
func slack(best time.Duration) time.Duration { return best + best/16 }

// Sent notes that an attempt was sent; done is called once when it has ended.
func (r *Router) Sent(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest) (done func(camphorhinge.AttemptResult)) {
	return r.sent(choice, req, req.Prompt)
}

// SentDecode is Sent for an attempt whose KV cache was moved to the target: its prompt fills memory, and none of it is
// computed.
func (r *Router) SentDecode(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest) (done func(camphorhinge.AttemptResult)) {
	return r.sent(choice, req, 0)
}

func (r *Router) sent(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest, prompt camphorhinge.Tokens) func(camphorhinge.AttemptResult) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := choice.Target
	s := r.state(t, now)
	r.pick++
	r.holders = r.index.mark(r.holders[:0], req.Prefixes, r.pick)
	w := s.work(t.Load, taken(t, now), r.nodes())
	output := r.output(req.Service, req.Output)
	f := &flight{sent: now, tokens: output, blocks: blocks(req.Prompt + output)}
	var est estimate
	if t.Kind == camphorhinge.KindService {
		est = r.cfg.plain(s, w)
	} else {
		held := r.held(s, req.Prefixes)
		f.tokens += max(0, prompt-camphorhinge.Tokens(held)*camphorhinge.BlockTokens)
		est = r.cfg.engine(t, s, w, prompt, output, held)
	}
	s.begin(f)
	s.breaker.sent()
	return func(res camphorhinge.AttemptResult) { r.ended(req, s, f, est, res) }
}

func (r *Router) ended(req camphorhinge.RouteRequest, s *targetState, f *flight, est estimate, res camphorhinge.AttemptResult) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.ended {
		return
	}
	s.end(f, now)
	if s.breaker.ended(res.Failed, now) {
		s.since = now
	}
	if res.Failed || res.Class != camphorhinge.Run {
		return
	}
	expected, took := est.ready, now.Sub(f.sent)
	if est.perToken > 0 {
		// The time between tokens tells the speed of an engine; the time before them tells its queue.
		expected, took = est.perToken*time.Duration(res.Output), took-res.FirstByte
	}
	measured := est.perToken == 0 || res.FirstByte > 0 && res.Output >= speedOutput
	if measured && expected > 0 && took > 0 {
		// The clamp keeps one odd result from turning a target away for long.
		ratio := min(4, max(0.25, float64(took)/float64(expected)))
		s.measured++
		weight := max(speedWeight, 1/float64(s.measured))
		s.speed = min(8, max(0.05, s.speed+weight*(s.rate()*ratio-s.speed)))
		s.service.ratio += serviceWeight * (s.speed - s.service.ratio)
	}
	if res.Output > 0 && !res.Moved {
		h := r.history[req.Service]
		if h == nil {
			h = &history{}
			r.history[req.Service] = h
		}
		h.n++
		h.mean += max(historyWeight, 1/float64(h.n)) * (float64(res.Output) - h.mean)
	}
}

func (r *Router) speedOf(service camphorhinge.ServiceName) *serviceSpeed {
	s := r.speeds[service]
	if s == nil {
		s = &serviceSpeed{ratio: 1}
		r.speeds[service] = s
	}
	return s
}

// state returns the bookkeeping of a target; a new incarnation starts slowly and with an empty cache.
func (r *Router) state(t *camphorhinge.Target, now camphorhinge.Instant) *targetState {
	s := r.states[t.Name]
	if s == nil {
		s = &targetState{name: t.Name, incarnation: t.Incarnation, since: now, seen: now, speed: 1, service: r.speedOf(t.Service), prefixes: map[uint64]struct{}{}}
		if now.Sub(r.started) < settleTime {
			s.since = now.Add(-slowStart)
		}
		r.states[t.Name] = s
	}
	s.seen = now
	if t.Incarnation > s.incarnation {
		r.index.drop(s)
		s.incarnation, s.since, s.cacheSeq = t.Incarnation, now, 0
		s.flights, s.sums = nil, sums{}
	}
	return s
}

// sweep forgets targets that have not announced themselves for long, and bounds the memory by that.
func (r *Router) sweep(now camphorhinge.Instant) {
	if now.Sub(r.swept) < forgetAfter/4 {
		return
	}
	r.swept = now
	for name, s := range r.states {
		if now.Sub(s.seen) > forgetAfter {
			r.index.drop(s)
			delete(r.states, name)
		}
	}
}

func (r *Router) nodes() float64 {
	if r.cfg.Nodes == nil {
		return 1
	}
	return float64(max(1, r.cfg.Nodes()))
}

// taken is when the target's load report was taken.
func taken(t *camphorhinge.Target, now camphorhinge.Instant) camphorhinge.Instant {
	return min(now, t.Heard.Add(-time.Duration(t.Load.Age)*time.Millisecond))
}
