package place

import (
	"slices"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// Rates are the initial estimates of an engine's speed. Measured prefills replace them, and each target's slowdown
// corrects them further.
type Rates struct {
	// Prefill is the prefill rate in prompt tokens per millisecond in the prefill or mixed role. Decode is the prefill
	// rate in the decode role, where prefill is interleaved with the decode steps of other requests.
	Prefill, Decode float64
	// Step is the least time to the first event.
	Step time.Duration
	// Setup is the fixed overhead of a KV transfer, in addition to the time for its bytes.
	Setup time.Duration
}

// DefaultRates returns the default speeds. They are slower than those that the users state for their engines: 49.6
// tokens per millisecond in chunks of 1,024 tokens and steps of 5.2 ms, or in the decode role half of that speed in
// chunks of a quarter of that size.
func DefaultRates() Rates {
	return Rates{Prefill: 40, Decode: 16, Step: 8 * time.Millisecond, Setup: 8 * time.Millisecond}
}

const (
	// separatePrefillPenalty is the time by which a plan with a separate prefill must beat one without.
	separatePrefillPenalty = 20 * time.Millisecond
	// evictionCostShare is the fraction of the prefill time of the shared segments missing from an engine's cache that
	// is added to its cost, since caching them there evicts segments of other requests.
	evictionCostShare = 0.25
	// homeMissPercent is the percentage of the missing shared segments that their home is assumed not to have cached
	// either, while this node has no record of an engine that has them all.
	homeMissPercent = 50
	// otherNodeRequestTime is the time by which each request of another node at a target is assumed to delay a new one.
	otherNodeRequestTime = 20 * time.Millisecond
	// maxCostJitter bounds the random part of a cost, which keeps nodes with the same state from choosing the same
	// target.
	maxCostJitter = 10 * time.Millisecond
	// interferenceCost is the share of a prefill's time that counts for each request which the prefill delays on an
	// engine of the decode role.
	interferenceCost = 0.2
	// runningRequestCost is the time by which each running request of an engine delays one that it receives after a
	// separate prefill.
	runningRequestCost = 2 * time.Millisecond
	// fullShare is the share of slots or memory from which an engine counts as full. fullWait is the assumed wait when
	// all engines are full; it exceeds maxEngineBacklog, so that a Queue keeps the request.
	fullShare = 0.75
	fullWait  = 150 * time.Millisecond
	// crossZoneCostPerKiB is the time by which a target in another zone must be faster, for each KiB of the request:
	// traffic between zones is charged.
	crossZoneCostPerKiB = 2 * time.Millisecond
	// loneVersionCost is the time by which an engine that is the only one of its software version to generate must be faster to
	// begin a stream that may have to be continued: no other one could.
	loneVersionCost = 300 * time.Millisecond
	// leavingSilence is the time without an announcement after which an engine that leaves counts as ended. Engines announce themselves
	// each second.
	leavingSilence = 1500 * time.Millisecond
	// leaveMargin is the time that must be left to a leaving engine in addition to the transfer of a KV cache from it: the engine
	// that fetches has to get the request first.
	leaveMargin = 200 * time.Millisecond
	// refillCostShare is the share of the time of a repeated prefill that counts in addition to it, when it is weighed against the
	// transfer of the KV cache from another engine: it keeps an engine busy that others could use.
	refillCostShare = 0.5
	// crowdedShare is the share of slots or memory above which an engine counts as crowded. Its cost rises by
	// crowdingCostPerShare times the share above it, which is 600 ms for an engine in full use.
	crowdedShare         = 0.7
	crowdingCostPerShare = 2 * time.Second
)

// planInput is the request and the derived state from which its plans are scored.
type planInput struct {
	now camphorhinge.Instant
	req *Request
	// shared are the segments that other requests may have as well, sharedTokens their total size.
	shared       []Segment
	sharedTokens camphorhinge.Tokens
	// home is the engine to which all nodes without a record of each other's work send the first requests with these
	// segments; nil without shared segments or when this Placer places the requests of all nodes.
	home *camphorhinge.Target
	// holders are the engines that have all shared segments cached, as far as recorded, and leavingHolders those of them that leave.
	holders, leavingHolders []candidate
	// versions is the number of engines that generate, by software version.
	versions map[camphorhinge.SoftwareVersion]int
	// prefill and decodeRole are the speeds of prefills in the prefill and in the decode role.
	prefill, decodeRole *speed
	// receivers are the best engines to receive a KV cache, by the zone of the prefill engine.
	receivers map[camphorhinge.Zone]receiver
}

// speedOf returns the prefill speed of an engine in its role.
func (c *planInput) speedOf(t *camphorhinge.Target) *speed {
	if t.Role == camphorhinge.RoleDecode {
		return c.decodeRole
	}
	return c.prefill
}

// tokenTime returns the time in which an engine prefills one token, corrected by its measured slowdown and by its present slowness.
func (c *planInput) tokenTime(t candidate) float64 {
	return c.speedOf(t.Target).perToken * t.state.slowdown * t.state.slowness.relative(c.now) * float64(time.Millisecond)
}

// prefillTime returns the time in which an engine prefills n tokens, without the overhead.
func (c *planInput) prefillTime(t candidate, n float64) time.Duration {
	return time.Duration(n * c.tokenTime(t))
}

// prefillOverhead returns the time of a prefill that does not depend on its size.
func (c *planInput) prefillOverhead(t *camphorhinge.Target) time.Duration {
	return time.Duration(c.speedOf(t).overhead * float64(time.Millisecond))
}

// server is an engine that may run the request.
type server struct {
	candidate
	// occupied is the number of attempts that take a slot.
	occupied int
	// memory is the memory that the request takes there.
	memory camphorhinge.Tokens
	// cost is the cost of choosing the engine, whichever engine does the prefill.
	cost time.Duration
}

// receiver is an engine that receives a KV cache, with the transfer time, which includes Rates.Setup, and the cost of
// choosing it.
type receiver struct {
	*server
	transfer time.Duration
	cost     time.Duration
}

// scoredPlan is a plan with its cost, which is the expected time plus penalties such as that for evictions, and with
// the wait until its first engine starts.
type scoredPlan struct {
	Plan
	cost, wait time.Duration
	source     source
	// full is set when no engine has capacity; the plan then has no estimate.
	full bool
}

// bestEnginePlan returns the plan with the least cost; the result is false when none of the targets can run the
// request. The targets are those of live that may receive it. When none has capacity, a central Placer returns a plan
// with a wait of fullWait, while another one ignores the capacity, but not the limits that targets state.
func (p *Placer) bestEnginePlan(now camphorhinge.Instant, live []*camphorhinge.Target, targets []candidate, req *Request) (scoredPlan, bool) {
	prefillers, generating := splitByRole(targets)
	if len(generating) == 0 {
		return scoredPlan{}, false
	}
	full := scoredPlan{wait: fullWait, full: true, Plan: Plan{Serve: generating[0].Target, Expected: fullWait}}
	c := &planInput{now: now, req: req, versions: countVersions(generating), receivers: map[camphorhinge.Zone]receiver{}}
	prefillers, generating = p.underLimit(now, prefillers), p.underLimit(now, generating)
	if len(generating) == 0 {
		return full, p.cfg.Central
	}
	servers, free := p.servers(c, generating)
	if !free && p.cfg.Central {
		return full, true
	}
	c.prefill, c.decodeRole = p.prefillSpeeds(generating[0].Service)
	c.shared, c.sharedTokens = req.shared()
	p.findHolders(c, live, targets)

	best := scoredPlan{cost: -1}
	consider := func(o scoredPlan) {
		o.cost += time.Duration(p.random.Int64N(int64(maxCostJitter)))
		if best.cost < 0 || o.cost < best.cost {
			best = o
		}
	}
	for i := range servers {
		t := &servers[i]
		o := p.directPlan(c, t)
		if len(prefillers) > 0 && t.Role == camphorhinge.RoleDecode {
			// The prefill is interleaved with the decode steps of all requests that run there, and delays each of them.
			o.cost += time.Duration((1 + interferenceCost*float64(t.occupied)) * float64(c.prefillTime(t.candidate, float64(o.Uncached))))
		}
		consider(o)
	}
	if !req.Direct {
		for _, t := range prefillers {
			consider(p.separatePlan(c, t, servers))
		}
	}
	best.Reason = c.reason(best, targets, servers)
	return best, true
}

// splitByRole divides engines into those that only prefill and those that run requests.
func splitByRole(targets []candidate) (prefillers, servers []candidate) {
	for _, t := range targets {
		if t.Role == camphorhinge.RolePrefill {
			prefillers = append(prefillers, t)
		} else {
			servers = append(servers, t)
		}
	}
	return prefillers, servers
}

// servers returns the engines that have slots and memory left for a request, or all if none has; free is false then. An engine
// that runs out of memory preempts requests and prefills their prompts again, which delays many others.
func (p *Placer) servers(c *planInput, generating []candidate) (out []server, free bool) {
	all := make([]server, 0, len(generating))
	for _, t := range generating {
		s, x := t.state, server{candidate: t}
		x.occupied, x.memory = s.occupied(c.now), s.memoryFor(c.req)
		x.cost = p.crowdingCost(c, &x) + c.crossZoneCost(t.Target) + c.loneCost(t.Target)
		all = append(all, x)
		slots := t.Slots == 0 || float64(x.occupied) < fullShare*float64(t.Slots) && s.slotLeft(c.now, t.Slots)
		memory := c.req.Engine.CacheCapacity == 0 || s.running == 0 ||
			float64(s.reserved+x.memory) < fullShare*float64(c.req.Engine.CacheCapacity)
		if slots && memory {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return all, false
	}
	return out, true
}

// findHolders determines the home and the holders of the shared segments. Holders may be any live engines: those that leave still serve
// fetches for a time, but may end at any moment, and a fetch from an engine that has ended costs a prefill of the whole prompt.
func (p *Placer) findHolders(c *planInput, live []*camphorhinge.Target, targets []candidate) {
	if len(c.shared) == 0 {
		for _, t := range targets {
			t.state.cachedShared = 0
		}
		return
	}
	if !p.cfg.Central {
		engines := make([]*camphorhinge.Target, 0, len(targets))
		for _, t := range targets {
			engines = append(engines, t.Target)
		}
		c.home = homes(c.shared[len(c.shared)-1].Hash, engines, 1)[0]
	}
	for _, t := range live {
		s := p.stateOf(c.now, t)
		s.cachedShared = s.cache.cachedTokens(c.shared)
		switch {
		case s.cachedShared != c.sharedTokens:
		case t.Leaving || s.notices.leaving(c.now):
			c.leavingHolders = append(c.leavingHolders, candidate{t, s})
		default:
			c.holders = append(c.holders, candidate{t, s})
		}
	}
}

// crossZoneCost returns the cost of sending the request to a target in another zone, or 0 for its own zone.
func (c *planInput) crossZoneCost(t *camphorhinge.Target) time.Duration {
	if t.Zone == c.req.Zone {
		return 0
	}
	return time.Duration(c.req.Bytes) * crossZoneCostPerKiB / 1024
}

// source is where the shared part of a prompt comes from.
type source int

const (
	// sourceNone stands for a prompt without a shared part, sourceCache for an engine that has all of it cached.
	sourceNone source = iota
	sourceCache
	// sourceFetch is another engine that has it cached.
	sourceFetch
	// sourcePrefill stands for a part that is prefilled though others have it, and sourceNew for one that none has.
	sourcePrefill
	sourceNew
)

func (s source) String() string {
	return [...]string{"no shared part", "shared part cached", "shared part fetched", "shared part prefilled again", "shared part not cached"}[s]
}

// prefillEstimate is the estimated prefill of a prompt at one engine.
type prefillEstimate struct {
	// fetch is the engine from which missing shared segments are fetched, or nil.
	fetch  *camphorhinge.Target
	source source
	// uncached is the number of prompt tokens to prefill.
	uncached camphorhinge.Tokens
	// wait is the time for the requests ahead, total the time to the first event, and cost is total plus penalties for
	// recent failures and for evictions.
	wait, total, cost time.Duration
	// transfer is the duration of the fetch.
	transfer time.Duration
}

// estimatePrefill weighs the ways in which a target can prefill a prompt: shared segments missing from its cache are fetched from a
// holder, or prefilled, whichever is complete first.
func (p *Placer) estimatePrefill(c *planInput, t candidate) prefillEstimate {
	s := t.state
	cached := s.cache.cachedOrPendingTokens(c.shared)
	if t.Target == c.home {
		cached = c.sharedTokens // Assumed, because other nodes send the segments there as well.
	}
	missing, private, tokenTime := c.sharedTokens-cached, max(c.req.Prompt-c.sharedTokens, 1), c.tokenTime(t)
	r := prefillEstimate{
		uncached: private, source: sourceCache,
		wait: s.backlog(c.now) + time.Duration(p.otherNodesRequests(s, c.now)*float64(otherNodeRequestTime)),
	}
	r.total = r.wait + time.Duration(float64(private)*tokenTime)
	switch {
	case c.sharedTokens == 0:
		r.source = sourceNone
	case missing > 0:
		p.weighMissing(c, t, missing, tokenTime, &r)
	}
	r.total += c.prefillOverhead(t.Target)
	r.cost = r.total + time.Duration(failureCost*s.currentFailureShare(c.now)*float64(r.total)) +
		time.Duration(evictionCostShare*float64(missing)*tokenTime)
	return r
}

// weighMissing decides whether the shared segments missing from a target's cache are fetched or prefilled there, and corrects an estimate
// that is without them.
func (p *Placer) weighMissing(c *planInput, t candidate, missing camphorhinge.Tokens, tokenTime float64, r *prefillEstimate) {
	refill := time.Duration(float64(missing) * tokenTime)
	again := r.total + refill
	from := p.fetchFrom(c, t, missing)
	extra := camphorhinge.Tokens(0)
	if from.engine == nil && c.home != nil {
		// The home may not have cached the segments yet.
		from.engine, extra = c.home, missing*homeMissPercent/100
		from.transfer = transferTime(missing, c.req.Engine, c.home, t.Target)
	}
	// The transfer runs while the prompts ahead are prefilled.
	fetched := max(r.wait, from.wait+from.transfer+p.cfg.Rates.Setup) + time.Duration(float64(r.uncached+extra)*tokenTime)
	switch {
	case from.engine != nil && fetched <= again+time.Duration(refillCostShare*float64(refill)):
		r.fetch, r.transfer, r.source, r.total = from.engine, from.transfer, sourceFetch, fetched
		r.uncached += extra
	case from.engine != nil || len(c.holders)+len(c.leavingHolders) > 0:
		r.source, r.total = sourcePrefill, again
		r.uncached += missing
	default:
		r.source, r.total = sourceNew, again
		r.uncached += missing
	}
}

// fetchFrom returns the transfer by which a target fetches missing shared segments; its engine is nil without any. An engine that leaves is
// used only if no other has them, while it announces itself, and if its time suffices.
func (p *Placer) fetchFrom(c *planInput, t candidate, missing camphorhinge.Tokens) transfer {
	if len(c.holders) > 0 {
		return p.bestTransfer(c, c.holders, missing, t)
	}
	var out []candidate
	for _, from := range c.leavingHolders {
		silent := c.now.Sub(from.ReportedAt)
		left := time.Duration(from.LeavesIn)*time.Millisecond - silent
		needed := transferTime(missing, c.req.Engine, from.Target, t.Target) + p.cfg.Rates.Setup + leaveMargin
		if silent <= leavingSilence && (from.LeavesIn <= 0 || left >= needed) {
			out = append(out, from)
		}
	}
	return p.bestTransfer(c, out, missing, t)
}

// directPlan returns the plan in which one engine both prefills and decodes.
func (p *Placer) directPlan(c *planInput, t *server) scoredPlan {
	r := p.estimatePrefill(c, t.candidate)
	return scoredPlan{
		Plan: Plan{
			Serve: t.Target, Fetch: r.fetch, Expected: r.total, Uncached: r.uncached, Reason: "direct", fetchTime: r.transfer,
		},
		source: r.source,
		cost:   r.cost + c.req.Upload + t.cost, wait: r.wait,
	}
}

// reason describes a chosen plan: its kind, where the shared part of the prompt comes from, and why not from the cache of the engine that
// does the prefill.
func (c *planInput) reason(best scoredPlan, targets []candidate, servers []server) string {
	out := best.Reason + ", " + best.source.String()
	if best.source != sourceFetch && best.source != sourcePrefill {
		return out
	}
	eligible, free := false, false
	for _, h := range c.holders {
		eligible = eligible || slices.ContainsFunc(targets, func(t candidate) bool { return t.Target == h.Target })
		free = free || h.Role == camphorhinge.RolePrefill && !c.req.Direct || slices.ContainsFunc(servers, func(t server) bool { return t.Target == h.Target })
	}
	switch {
	case len(c.holders) == 0 && len(c.leavingHolders) > 0:
		return out + ", holder leaves"
	case len(c.holders) == 0:
		return out
	case !eligible:
		return out + ", holder not available"
	case !free:
		return out + ", holder full"
	}
	return out + ", holder busy"
}

// separatePlan returns the plan in which an engine of the prefill role computes the KV cache for another engine.
func (p *Placer) separatePlan(c *planInput, prefiller candidate, servers []server) scoredPlan {
	r := p.estimatePrefill(c, prefiller)
	to := p.bestReceiver(c, prefiller.Target, servers)
	// The server starts the request between the chunks of its own prefills, without waiting for their end.
	linkWait := max(to.state.linkBacklog(c.now, r.total), prefiller.state.linkBacklog(c.now, r.total))
	handover := linkWait + to.transfer + c.prefillOverhead(to.Target)
	expected := r.total + handover
	return scoredPlan{
		Plan: Plan{
			Prefill: prefiller.Target, Serve: to.Target, Fetch: r.fetch, Expected: expected, Uncached: r.uncached,
			Reason: "separate prefill", fetchTime: r.transfer, handoverTime: to.transfer - p.cfg.Rates.Setup,
		},
		source: r.source,
		cost:   r.cost + 2*c.req.Upload + handover + separatePrefillPenalty + c.crossZoneCost(prefiller.Target) + to.server.cost,
		wait:   max(r.wait, linkWait),
	}
}

// bestReceiver returns the engine to which prefiller hands over the KV cache. The choice depends on the zone of
// prefiller only, so it is made once per zone.
func (p *Placer) bestReceiver(c *planInput, prefiller *camphorhinge.Target, servers []server) receiver {
	if r, ok := c.receivers[prefiller.Zone]; ok {
		return r
	}
	var best receiver
	for i := range servers {
		t := &servers[i]
		transfer := transferTime(c.req.Prompt-t.state.cachedShared, c.req.Engine, prefiller, t.Target)
		busy := t.state.backlog(c.now) + time.Duration((float64(t.occupied)+p.otherNodesRequests(t.state, c.now))*float64(runningRequestCost))
		cost := 2*transfer + busy + t.state.linkBacklog(c.now, 0) + t.cost
		if best.server == nil || cost < best.cost {
			best = receiver{t, transfer + p.cfg.Rates.Setup, cost}
		}
	}
	c.receivers[prefiller.Zone] = best
	return best
}

// countVersions returns the number of engines by software version.
func countVersions(servers []candidate) map[camphorhinge.SoftwareVersion]int {
	out := map[camphorhinge.SoftwareVersion]int{}
	for _, t := range servers {
		out[t.Software]++
	}
	return out
}

// loneCost returns loneVersionCost for an engine that no other one could continue the stream after, while there are engines of
// another version, and otherwise 0.
func (c *planInput) loneCost(t *camphorhinge.Target) time.Duration {
	if c.req.Resumable && c.req.Software == nil && len(c.versions) > 1 && c.versions[t.Software] == 1 {
		return loneVersionCost
	}
	return 0
}

// transferTime returns the time to transfer the KV cache of n tokens over an idle link. A transfer between zones takes
// twice as long.
func transferTime(n camphorhinge.Tokens, e *routing.Engine, from, to *camphorhinge.Target) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	bits := float64(n) * float64(e.TokenBytes) * 8
	took := time.Duration(bits / (e.LinkMbps * 1e6) * float64(time.Second))
	if from.Zone != to.Zone {
		took *= 2
	}
	return took
}

// crowdingCost returns the cost of an engine whose slots or memory are nearly exhausted, by this node's estimate.
func (p *Placer) crowdingCost(c *planInput, t *server) time.Duration {
	s := t.state
	used := 0.0
	if t.Slots > 0 {
		used = (float64(t.occupied) + p.otherNodesRequests(s, c.now)) / float64(t.Slots)
	}
	if c.req.Engine.CacheCapacity > 0 {
		used = max(used, float64(s.reserved+t.memory-c.req.Output)/float64(c.req.Engine.CacheCapacity))
	}
	if used <= crowdedShare {
		return 0
	}
	return time.Duration((used - crowdedShare) * float64(crowdingCostPerShare))
}
