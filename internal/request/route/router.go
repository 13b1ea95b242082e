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

// Router implements camphorhinge.Router. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu        sync.Mutex
	rng       *rand.Rand
	states    map[camphorhinge.TargetName]*targetState
	index     *index
	history   map[camphorhinge.ServiceName]*outputHistory
	slowdowns map[camphorhinge.ServiceName]*serviceSlowdown
	startedAt camphorhinge.Instant
	sweptAt   camphorhinge.Instant
	// candidates, slowStarting and holders are buffers of one Pick, reused to avoid allocations.
	candidates   []candidate
	slowStarting []candidate
	holders      []*targetState
	// pick is the number of the current pick or sent attempt; marks of index.markHolders with another number are ignored.
	pick uint64
	// rareCache holds the results of rareTargets.
	rareCache map[rareKey]rareEntry
}

var _ camphorhinge.Router = (*Router)(nil)

type outputHistory struct {
	n    int
	mean float64
}

type candidate struct {
	target       *camphorhinge.Target
	state        *targetState
	est          estimate
	cachedBlocks int
	// total is the expected time to completion.
	total time.Duration
	// discounted is total without the load that may have changed since the reports were taken.
	discounted time.Duration
}

// New returns a Router, or an Error of KindConfig when Targets or Clock is nil.
func New(c Config) (*Router, error) {
	if c.Targets == nil || c.Clock == nil {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: errMissingDependency}
	}
	c = c.withDefaults()
	return &Router{
		cfg: c, startedAt: c.Clock.Now(), rng: rand.New(rand.NewPCG(c.Seed, 1)), index: newIndex(c.IndexPairs),
		rareCache: map[rareKey]rareEntry{},
		states:    map[camphorhinge.TargetName]*targetState{}, history: map[camphorhinge.ServiceName]*outputHistory{},
		slowdowns: map[camphorhinge.ServiceName]*serviceSlowdown{},
	}, nil
}

// ObserveCache applies the cache events of a new announcement. It returns true when events are missing; the caller must
// then request the full list of prefixes (GET /v1/target?cache=full) and pass it to ReplaceCache.
func (r *Router) ObserveCache(t *camphorhinge.Target) (missing bool) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stateOf(t, now)
	r.sweep(now)
	if t.Incarnation < s.incarnation {
		return false
	}
	return !r.index.apply(s, t.Cache)
}

// ReplaceCache replaces the recorded prefixes of a target by its full list. It returns false when the list is older
// than events already applied; the caller must then request it again.
func (r *Router) ReplaceCache(t *camphorhinge.Target) bool {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stateOf(t, now)
	return t.Incarnation < s.incarnation || r.index.replace(s, t.Cache)
}

// Output returns the expected number of output tokens of a request that allows at most limit; a limit of 0 means no
// limit.
func (r *Router) Output(service camphorhinge.ServiceName, limit camphorhinge.Tokens) camphorhinge.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.output(service, limit)
}

func (r *Router) output(service camphorhinge.ServiceName, limit camphorhinge.Tokens) camphorhinge.Tokens {
	expected := r.cfg.Output
	if h := r.history[service]; h != nil && h.n >= minHistoryResults {
		expected = camphorhinge.Tokens(h.mean + 0.5)
	}
	if limit > 0 {
		expected = min(expected, limit)
	}
	return max(1, expected)
}

// Pick implements camphorhinge.Router.
func (r *Router) Pick(req camphorhinge.RouteRequest) (camphorhinge.RouteChoice, bool) {
	live := r.cfg.Targets.Live(req.Service)
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	output := r.output(req.Service, req.Output)
	r.collect(live, &req, now, output)
	if len(r.candidates) == 0 {
		return camphorhinge.RouteChoice{}, false
	}
	r.computeTotals(blocks(req.Prompt))
	best := r.choose(now)
	reason := ReasonZone
	switch {
	case len(r.candidates) == 1:
		reason = ReasonOnly
	case best.cachedBlocks > 0:
		reason = ReasonPrefix
	case best.target.Zone != r.cfg.Zone:
		reason = ReasonSpill
	}
	return camphorhinge.RouteChoice{Target: best.target, Expected: best.total, Reason: reason}, true
}

// PickDecode returns the engine to which the KV cache of a request is moved from its current engine. ok is false when
// the request should stay there or no other engine may take it.
func (r *Router) PickDecode(req camphorhinge.RouteRequest, from *camphorhinge.Target) (camphorhinge.RouteChoice, bool) {
	live := r.cfg.Targets.Live(req.Service)
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	output := r.output(req.Service, req.Output)
	r.collect(live, &req, now, output)
	move := r.cfg.BlockTransferTime * time.Duration(blocks(req.Prompt))
	stay := time.Duration(-1)
	kept := r.candidates[:0]
	for _, c := range r.candidates {
		if c.target.Name == from.Name {
			stay = c.est.decode
			continue
		}
		if c.target.Role == camphorhinge.RolePrefill && from.Role == camphorhinge.RolePrefill {
			continue // It would hand over the stream again.
		}
		// The KV cache is moved along, so the next token only waits for a batch slot and for memory.
		c.total = move + c.est.wait + c.est.decode
		kept = append(kept, c)
	}
	r.candidates = kept
	if len(kept) == 0 {
		return camphorhinge.RouteChoice{}, false
	}
	best := r.choose(now)
	if stay >= 0 && stay <= best.total {
		return camphorhinge.RouteChoice{}, false
	}
	return camphorhinge.RouteChoice{Target: best.target, Expected: best.total, Reason: ReasonDecode}, true
}

// collect sets r.candidates to the eligible targets with their estimates.
func (r *Router) collect(live []*camphorhinge.Target, req *camphorhinge.RouteRequest, now camphorhinge.Instant, output camphorhinge.Tokens) {
	r.candidates, r.slowStarting = r.candidates[:0], r.slowStarting[:0]
	r.pick++
	r.holders = r.index.markHolders(r.holders[:0], req.Prefixes, r.pick)
	if len(live) <= scanLimit {
		for _, t := range live {
			r.consider(t, req, now, output)
		}
	} else {
		r.sample(live, req, now, output)
	}
	if len(r.candidates) == 0 {
		// Without any others, targets in their slow start are used.
		r.candidates = append(r.candidates, r.slowStarting...)
	}
}

// sample considers a random sample of the targets and the known holders of a prefix of the prompt. When the sample has
// fewer than two eligible targets, it considers those of rareTargets instead.
func (r *Router) sample(live []*camphorhinge.Target, req *camphorhinge.RouteRequest, now camphorhinge.Instant, output camphorhinge.Tokens) {
	n := len(live)
	at, step := r.rng.IntN(n), 1+r.rng.IntN(n-1)
	for i := 0; i < min(n, maxSampleDraws) && len(r.candidates) < sampleSize; i++ {
		r.consider(live[at], req, now, output)
		at = (at + step) % n
	}
	if len(r.candidates)+len(r.slowStarting) < 2 {
		r.candidates, r.slowStarting = r.candidates[:0], r.slowStarting[:0]
		for _, name := range r.rareTargets(live, req, now) {
			r.considerByName(live, name, req, now, output)
		}
		return
	}
	for _, s := range r.holders[:min(maxSampledHolders, len(r.holders))] {
		if !slices.ContainsFunc(r.candidates, func(c candidate) bool { return c.state == s }) {
			r.considerByName(live, s.name, req, now, output)
		}
	}
}

// rareKey identifies a list of rareTargets.
type rareKey struct {
	service camphorhinge.ServiceName
	model   camphorhinge.ModelName
	adapter camphorhinge.AdapterName
}

type rareEntry struct {
	at    camphorhinge.Instant
	names []camphorhinge.TargetName
}

// rareTargets returns up to scanLimit names of targets that have the model and adapter of a request. It scans all
// targets, and caches the result for rareTargetsTTL to spare most picks the scan.
func (r *Router) rareTargets(live []*camphorhinge.Target, req *camphorhinge.RouteRequest, now camphorhinge.Instant) []camphorhinge.TargetName {
	key := rareKey{req.Service, req.Model, req.Adapter}
	if old, ok := r.rareCache[key]; ok && now.Sub(old.at) < rareTargetsTTL {
		return old.names
	}
	var names []camphorhinge.TargetName
	for _, t := range live {
		if len(names) < scanLimit && accepting(t, now) && serves(t, req) {
			names = append(names, t.Name)
		}
	}
	if len(r.rareCache) >= maxRareModels {
		clear(r.rareCache)
	}
	r.rareCache[key] = rareEntry{now, names}
	return names
}

func (r *Router) considerByName(live []*camphorhinge.Target, name camphorhinge.TargetName, req *camphorhinge.RouteRequest, now camphorhinge.Instant, output camphorhinge.Tokens) {
	i, ok := slices.BinarySearchFunc(live, name, func(t *camphorhinge.Target, name camphorhinge.TargetName) int {
		return cmp.Compare(t.Name, name)
	})
	if ok {
		r.consider(live[i], req, now, output)
	}
}

// consider adds a target to the candidates if it is eligible for the request. A target in its slow start is added only
// with the probability of its share, and to r.slowStarting otherwise.
func (r *Router) consider(t *camphorhinge.Target, req *camphorhinge.RouteRequest, now camphorhinge.Instant, output camphorhinge.Tokens) {
	if !accepting(t, now) || !serves(t, req) || req.Software != nil && *req.Software != t.Software || slices.Contains(req.Exclude, t.Name) ||
		t.Load.Blocks > 0 && blocks(req.Prompt+output) > t.Load.Blocks {
		return
	}
	s := r.stateOf(t, now)
	if !s.breaker.allows(now) {
		return
	}
	load := s.currentLoad(t.Load, loadTakenAt(t, now), r.nodes())
	c := candidate{target: t, state: s}
	if t.Kind == camphorhinge.KindService {
		c.est = r.cfg.estimatePlain(s, load)
	} else {
		c.cachedBlocks = r.cachedBlocks(s, req.Prefixes)
		c.est = r.cfg.estimateEngine(t, s, load, req.Prompt, output, c.cachedBlocks)
	}
	if share := s.slowStartShare(now); share < 1 && r.rng.Float64() >= share {
		r.slowStarting = append(r.slowStarting, c)
		return
	}
	r.candidates = append(r.candidates, c)
}

// cachedBlocks returns the number of leading blocks of the current pick's prompt that a target has cached.
func (r *Router) cachedBlocks(s *targetState, prefixes []uint64) int {
	switch {
	case s.markedPick == r.pick:
		return s.cachedBlocks
	case len(r.holders) < maxPrefixHolders:
		return 0 // all holders are marked
	}
	return s.searchCachedBlocks(prefixes)
}

func accepting(t *camphorhinge.Target, now camphorhinge.Instant) bool {
	return t.Serving && !t.Leaving && !t.Busy && now.Sub(t.ReportedAt) <= camphorhinge.TargetExpiry
}

func serves(t *camphorhinge.Target, req *camphorhinge.RouteRequest) bool {
	return t.Kind == camphorhinge.KindService ||
		(req.Model == "" || slices.Contains(t.Models, req.Model)) &&
			(req.Adapter == "" || slices.Contains(t.Adapters, req.Adapter))
}

// computeTotals computes the expected completion of each candidate. A prefill engine hands over to the best decode
// engine among the candidates, if that is faster than decoding itself.
func (r *Router) computeTotals(prompt camphorhinge.Blocks) {
	move := r.cfg.BlockTransferTime * time.Duration(prompt)
	handover := time.Duration(-1)
	for _, c := range r.candidates {
		if c.target.Kind != camphorhinge.KindService && c.target.Role != camphorhinge.RolePrefill {
			if d := move + c.est.decode; handover < 0 || d < handover {
				handover = d
			}
		}
	}
	for i := range r.candidates {
		c := &r.candidates[i]
		decode := c.est.decode
		if c.target.Role == camphorhinge.RolePrefill && handover >= 0 {
			decode = min(decode, handover)
		}
		c.total = c.est.firstToken + decode
	}
}

// choose draws two random candidates among the best and returns the better one. Without the random choice all nodes
// would send to the same target until its next load report. Targets in other zones are used only for a clear gain.
//
// To determine the best, the loadDelay of an estimate counts only as far as it exceeds the mean age of the reports,
// since a queue may have grown or shrunk by that much in the meantime. The part of the request itself counts in full,
// so that a cached prefix is not outweighed by the uncertainty of the load.
func (r *Router) choose(now camphorhinge.Instant) candidate {
	age := time.Duration(0)
	for _, c := range r.candidates {
		age += now.Sub(loadTakenAt(c.target, now))
	}
	age /= time.Duration(len(r.candidates))
	const none = time.Duration(math.MaxInt64)
	ownZone, best := none, none
	for i := range r.candidates {
		c := &r.candidates[i]
		c.discounted = c.total - min(c.est.loadDelay, age)
		best = min(best, c.discounted)
		if c.target.Zone == r.cfg.Zone {
			ownZone = min(ownZone, c.discounted)
		}
	}
	local := ownZone != none && ownZone <= closeToBest(best)+r.cfg.ZoneMargin
	if local {
		best = ownZone
	}
	n := 0
	for i, c := range r.candidates {
		if c.discounted <= closeToBest(best) && (!local || c.target.Zone == r.cfg.Zone) {
			r.candidates[n], r.candidates[i] = r.candidates[i], r.candidates[n]
			n++
		}
	}
	a, b := r.candidates[r.rng.IntN(n)], r.candidates[r.rng.IntN(n)]
	if b.total < a.total {
		return b
	}
	return a
}

// closeToBest returns the expected completion up to which candidates count as equal to the best, given the accuracy of
// the estimates.
func closeToBest(best time.Duration) time.Duration { return best + best/16 }

// StartAttempt records that an attempt was sent; done must be called once when it has ended.
func (r *Router) StartAttempt(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest) (done func(camphorhinge.AttemptResult)) {
	return r.startAttempt(choice, req, req.Prompt)
}

// StartDecodeAttempt is StartAttempt for an attempt whose KV cache was moved to the target: the prompt takes up memory
// but needs no prefill.
func (r *Router) StartDecodeAttempt(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest) (done func(camphorhinge.AttemptResult)) {
	return r.startAttempt(choice, req, 0)
}

func (r *Router) startAttempt(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest, prompt camphorhinge.Tokens) func(camphorhinge.AttemptResult) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := choice.Target
	s := r.stateOf(t, now)
	r.pick++
	r.holders = r.index.markHolders(r.holders[:0], req.Prefixes, r.pick)
	load := s.currentLoad(t.Load, loadTakenAt(t, now), r.nodes())
	output := r.output(req.Service, req.Output)
	f := &inFlight{sentAt: now, tokens: output, blocks: blocks(req.Prompt + output)}
	var est estimate
	if t.Kind == camphorhinge.KindService {
		est = r.cfg.estimatePlain(s, load)
	} else {
		cached := r.cachedBlocks(s, req.Prefixes)
		f.tokens += max(0, prompt-camphorhinge.Tokens(cached)*camphorhinge.BlockTokens)
		est = r.cfg.estimateEngine(t, s, load, prompt, output, cached)
	}
	s.startAttempt(f)
	s.breaker.recordSent()
	return func(res camphorhinge.AttemptResult) { r.endAttempt(req, s, f, est, res) }
}

func (r *Router) endAttempt(req camphorhinge.RouteRequest, s *targetState, f *inFlight, est estimate, res camphorhinge.AttemptResult) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.ended {
		return
	}
	s.endAttempt(f, now)
	if s.breaker.recordResult(res.Failed, now) {
		s.slowStartedAt = now
	}
	if res.Failed || res.Class != camphorhinge.Run {
		return
	}
	expected, took := est.firstToken, now.Sub(f.sentAt)
	if est.perToken > 0 {
		// The time between tokens reflects the speed of an engine; the time to the first token also reflects its queue.
		expected, took = est.perToken*time.Duration(res.Output), took-res.FirstByte
	}
	measured := est.perToken == 0 || res.FirstByte > 0 && res.Output >= minMeasuredOutput
	if measured && expected > 0 && took > 0 {
		// The clamp prevents a single outlier from keeping requests off a target for long.
		ratio := min(4, max(0.25, float64(took)/float64(expected)))
		s.results++
		weight := max(minSlowdownWeight, 1/float64(s.results))
		s.slowdown = min(8, max(0.05, s.slowdown+weight*(s.effectiveSlowdown()*ratio-s.slowdown)))
		s.service.ratio += serviceSlowdownWeight * (s.slowdown - s.service.ratio)
	}
	if res.Output > 0 && !res.Moved {
		h := r.history[req.Service]
		if h == nil {
			h = &outputHistory{}
			r.history[req.Service] = h
		}
		h.n++
		h.mean += max(minHistoryWeight, 1/float64(h.n)) * (float64(res.Output) - h.mean)
	}
}

func (r *Router) slowdownOf(service camphorhinge.ServiceName) *serviceSlowdown {
	s := r.slowdowns[service]
	if s == nil {
		s = &serviceSlowdown{ratio: 1}
		r.slowdowns[service] = s
	}
	return s
}

// stateOf returns the state of a target. A new incarnation begins with a slow start and an empty cache.
func (r *Router) stateOf(t *camphorhinge.Target, now camphorhinge.Instant) *targetState {
	s := r.states[t.Name]
	if s == nil {
		s = &targetState{name: t.Name, incarnation: t.Incarnation, slowStartedAt: now, lastSeen: now, slowdown: 1, service: r.slowdownOf(t.Service), prefixes: map[uint64]struct{}{}}
		if now.Sub(r.startedAt) < startupGrace {
			s.slowStartedAt = now.Add(-slowStart)
		}
		r.states[t.Name] = s
	}
	s.lastSeen = now
	if t.Incarnation > s.incarnation {
		r.index.dropTarget(s)
		s.incarnation, s.slowStartedAt, s.cacheSeq = t.Incarnation, now, 0
		s.inFlight, s.corrections = nil, loadCorrection{}
	}
	return s
}

// sweep removes the state of targets without a recent announcement or request, which bounds the memory.
func (r *Router) sweep(now camphorhinge.Instant) {
	if now.Sub(r.sweptAt) < stateRetention/4 {
		return
	}
	r.sweptAt = now
	for name, s := range r.states {
		if now.Sub(s.lastSeen) > stateRetention {
			r.index.dropTarget(s)
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

// loadTakenAt returns when the target's load report was taken.
func loadTakenAt(t *camphorhinge.Target, now camphorhinge.Instant) camphorhinge.Instant {
	return min(now, t.ReportedAt.Add(-time.Duration(t.Load.Age)*time.Millisecond))
}
