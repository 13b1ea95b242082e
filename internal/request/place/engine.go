package place

import (
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// Rates are the speeds of an engine that the estimates start from; each target's measured pace corrects them.
type Rates struct {
	// Prefill is the number of prompt tokens per millisecond that an engine reads in the prefill or mixed role, Decode in
	// the decode role, where it reads between the tokens of other requests.
	Prefill, Decode float64
	// Step is the time of one step of a batch, which the first event takes at least.
	Step time.Duration
	// Setup is the time that a KV transfer takes besides its bytes.
	Setup time.Duration
}

// DefaultRates returns the speeds that the users state for their engines: 49.6 tokens per millisecond in pieces of 1,024
// tokens and steps of 5.2 ms; half of that speed and a quarter of that size in the decode role.
func DefaultRates() Rates {
	return Rates{Prefill: 40, Decode: 16, Step: 8 * time.Millisecond, Setup: 8 * time.Millisecond}
}

const (
	// separatePrefillPenalty is the time by which a plan with a separate prefill must be faster than one without.
	separatePrefillPenalty = 20 * time.Millisecond
	// evictionCostShare is the part of the time to read shared parts that counts against an engine which does not hold them yet,
	// since they push out parts of others there.
	evictionCostShare = 0.25
	// homeMissPercent is the part of the shared parts, in percent, that a home is taken to lack as long as this node has not sent
	// them there.
	homeMissPercent = 50
	// otherNodeRequestTime is the time that a request of another node at a target is taken to make a new one wait.
	otherNodeRequestTime = 20 * time.Millisecond
	// maxCostJitter bounds the random part of a cost, which keeps nodes that know the same from choosing the same target.
	maxCostJitter = 10 * time.Millisecond
	// runningRequestCost is the time by which each running request makes the next one slower.
	runningRequestCost = 2 * time.Millisecond
	// fullShare is the share of slots or memory from which an engine counts as full, and fullWait the wait that is assumed
	// when all are.
	fullShare = 0.75
	fullWait  = 150 * time.Millisecond
	// crossZoneCostPerKiB is the time by which a target in another zone must be faster, for each 1,024 bytes of the request: bytes
	// between zones are paid for.
	crossZoneCostPerKiB = 2 * time.Millisecond
	// crowdedShare is the share of slots or memory up to which an engine counts as not crowded, crowdCost the cost of a full one.
	crowdedShare   = 0.7
	fullEngineCost = 2 * time.Second
)

// planInput is what one choice goes by.
type planInput struct {
	now camphorhinge.Instant
	req *Request
	// shared are the parts that other requests have as well, size their tokens.
	shared       []Segment
	sharedTokens camphorhinge.Tokens
	// home is the engine to which the first requests with these parts go, from all nodes that don't know of each other's
	// work; nil without shared parts.
	home *camphorhinge.Target
	// holders are the engines that are known to hold the shared parts.
	holders []*camphorhinge.Target
	// receivers are the best engines to take a KV cache, by the zone that it comes from.
	receivers map[camphorhinge.Zone]receiver
}

// receiver is an engine that takes a KV cache, with the time of the move and the cost of the choice.
type receiver struct {
	target   *camphorhinge.Target
	transfer time.Duration
	cost     time.Duration
}

// scoredPlan is a plan with its cost, which is its expected time with what it displaces, and the time until its first engine
// begins.
type scoredPlan struct {
	Plan
	cost, wait time.Duration
}

// bestEnginePlan returns the plan with the least cost.
func (p *Placer) bestEnginePlan(now camphorhinge.Instant, live, targets []*camphorhinge.Target, req *Request) (scoredPlan, bool) {
	readers, servers := splitByRole(targets)
	if len(servers) == 0 {
		return scoredPlan{}, false
	}
	if roomy := p.withCapacity(now, servers, req); len(roomy) > 0 {
		servers = roomy
	} else if p.cfg.Central {
		return scoredPlan{wait: fullWait, Plan: Plan{Serve: servers[0], Expected: fullWait}}, true
	}
	c := &planInput{now: now, req: req, receivers: map[camphorhinge.Zone]receiver{}}
	c.shared, c.sharedTokens = req.shared()
	p.findHolders(c, live, targets)

	best := scoredPlan{cost: -1}
	better := func(o scoredPlan) {
		o.cost += time.Duration(p.random.Int64N(int64(maxCostJitter)))
		if best.cost < 0 || o.cost < best.cost {
			best = o
		}
	}
	for _, t := range servers {
		o := p.directPlan(c, t)
		if len(readers) > 0 && t.Role == camphorhinge.RoleDecode {
			// The prompt is read between the tokens of all requests that run there.
			o.cost += p.prefillTime(t, float64(o.Uncached))
		}
		better(o)
	}
	if !req.Direct {
		for _, t := range readers {
			better(p.separatePlan(c, t, servers))
		}
	}
	return best, true
}

// splitByRole divides engines into those that only read prompts and those that run requests.
func splitByRole(targets []*camphorhinge.Target) (readers, servers []*camphorhinge.Target) {
	for _, t := range targets {
		if t.Role == camphorhinge.RolePrefill {
			readers = append(readers, t)
		} else {
			servers = append(servers, t)
		}
	}
	return readers, servers
}

// withCapacity returns the engines that have slots and memory left for a request. An engine whose memory runs out stops requests in
// the middle and reads their prompts again, which takes the time of many others.
func (p *Placer) withCapacity(now camphorhinge.Instant, servers []*camphorhinge.Target, req *Request) []*camphorhinge.Target {
	var out []*camphorhinge.Target
	for _, t := range servers {
		s := p.stateOf(now, t)
		slots := t.Slots == 0 || float64(s.running) < fullShare*float64(t.Slots)
		memory := req.Engine.Memory == 0 || s.running == 0 ||
			float64(s.reserved+req.Prompt+req.Output) < fullShare*float64(req.Engine.Memory)
		if slots && memory {
			out = append(out, t)
		}
	}
	return out
}

// findHolders finds the engines that hold the shared parts of a request. Engines that leave still hand their parts over.
func (p *Placer) findHolders(c *planInput, live, targets []*camphorhinge.Target) {
	if len(c.shared) == 0 {
		return
	}
	if !p.cfg.Central {
		c.home = homes(c.shared[len(c.shared)-1].Hash, targets, 1)[0]
	}
	for _, t := range live {
		if p.stateOf(c.now, t).cache.cachedTokens(c.shared) == c.sharedTokens {
			c.holders = append(c.holders, t)
		}
	}
}

// crossZoneCost returns the cost of sending the request to a target in another zone.
func (c *planInput) crossZoneCost(t *camphorhinge.Target) time.Duration {
	if t.Zone == c.req.Zone {
		return 0
	}
	return time.Duration(c.req.Bytes) * crossZoneCostPerKiB / 1024
}

// prefillEstimate is the estimate of one engine that reads a prompt.
type prefillEstimate struct {
	fetch             *camphorhinge.Target
	uncached          camphorhinge.Tokens
	wait, total, cost time.Duration
}

// estimatePrefill estimates the reading of the prompt at a target, which fetches the shared parts that it lacks from a holder.
func (p *Placer) estimatePrefill(c *planInput, t *camphorhinge.Target) prefillEstimate {
	s := p.stateOf(c.now, t)
	held := s.cache.cachedOrPendingTokens(c.shared)
	if t == c.home {
		held = c.sharedTokens // Other nodes send the parts there as well.
	}
	missing := c.sharedTokens - held
	var r prefillEstimate
	var move time.Duration
	unknown := camphorhinge.Tokens(0)
	if missing > 0 {
		switch r.fetch = nearest(c.holders, t); {
		case r.fetch == nil && c.home == nil:
			unknown = missing
		case r.fetch == nil:
			// The home may not hold the parts yet.
			r.fetch, unknown = c.home, missing*homeMissPercent/100
		}
		if r.fetch != nil {
			move = transferTime(missing, c.req.Engine, r.fetch, t) + p.cfg.Rates.Setup
		}
	}
	r.uncached = max(c.req.Prompt-c.sharedTokens, 1) + unknown
	r.wait = s.backlog(c.now) + time.Duration(p.otherNodesRequests(s, c.now)*float64(otherNodeRequestTime))
	// The transfer runs while the requests before this one are read.
	r.total = max(r.wait, move) + p.prefillTime(t, float64(r.uncached)) + p.cfg.Rates.Step
	r.cost = r.total + time.Duration(4*s.currentFailureShare(c.now)*float64(r.total)) + p.prefillTime(t, evictionCostShare*float64(missing))
	return r
}

// prefillTime returns the time in which a target reads some tokens.
func (p *Placer) prefillTime(t *camphorhinge.Target, n float64) time.Duration {
	return time.Duration(n / p.prefillRate(t) * p.targets[t.Name].slowdown * float64(time.Millisecond))
}

// nearest returns one of the targets, if possible in the zone of t, or nil.
func nearest(targets []*camphorhinge.Target, t *camphorhinge.Target) *camphorhinge.Target {
	var best *camphorhinge.Target
	for _, x := range targets {
		if best == nil || x.Zone == t.Zone && best.Zone != t.Zone {
			best = x
		}
	}
	return best
}

// prefillRate returns the tokens per millisecond that a target reads.
func (p *Placer) prefillRate(t *camphorhinge.Target) float64 {
	if t.Role == camphorhinge.RoleDecode {
		return p.cfg.Rates.Decode
	}
	return p.cfg.Rates.Prefill
}

// directPlan returns the plan in which one engine reads the prompt and generates.
func (p *Placer) directPlan(c *planInput, t *camphorhinge.Target) scoredPlan {
	r := p.estimatePrefill(c, t)
	return scoredPlan{
		Plan{Serve: t, Fetch: r.fetch, Expected: r.total, Uncached: r.uncached, Reason: reason("direct", r.fetch)},
		r.cost + p.crowdingCost(c, t) + c.crossZoneCost(t), r.wait,
	}
}

func reason(plan string, fetch *camphorhinge.Target) string {
	if fetch != nil {
		return plan + " with fetched parts"
	}
	return plan
}

// separatePlan returns the plan in which an engine of the prefill role reads the prompt.
func (p *Placer) separatePlan(c *planInput, reader *camphorhinge.Target, servers []*camphorhinge.Target) scoredPlan {
	r := p.estimatePrefill(c, reader)
	to := p.bestReceiver(c, reader, servers)
	server := to.target
	move := to.transfer + p.stateOf(c.now, server).backlog(c.now.Add(r.total))
	took := r.total + move + p.cfg.Rates.Step
	return scoredPlan{
		Plan{Prefill: reader, Serve: server, Fetch: r.fetch, Expected: took, Uncached: r.uncached, Reason: reason("separate prefill", r.fetch)},
		r.cost + move + p.cfg.Rates.Step + separatePrefillPenalty + p.crowdingCost(c, server) + c.crossZoneCost(reader) + c.crossZoneCost(server), r.wait,
	}
}

// bestReceiver returns the engine that takes a KV cache from reader. It is the same for all readers of a zone.
func (p *Placer) bestReceiver(c *planInput, reader *camphorhinge.Target, servers []*camphorhinge.Target) receiver {
	if r, ok := c.receivers[reader.Zone]; ok {
		return r
	}
	var best receiver
	for _, t := range servers {
		s := p.stateOf(c.now, t)
		took := transferTime(c.req.Prompt, c.req.Engine, reader, t)
		busy := s.backlog(c.now) + time.Duration((float64(s.running)+p.otherNodesRequests(s, c.now))*float64(runningRequestCost))
		cost := 2*took + busy + p.crowdingCost(c, t) + c.crossZoneCost(t)
		if best.target == nil || cost < best.cost {
			best = receiver{t, took + p.cfg.Rates.Setup, cost}
		}
	}
	c.receivers[reader.Zone] = best
	return best
}

// transferTime returns the time to move the KV cache of some tokens over an idle link. A move between zones takes twice as long.
func transferTime(n camphorhinge.Tokens, e *routing.Engine, from, to *camphorhinge.Target) time.Duration {
	if e.Link <= 0 {
		return 0
	}
	bits := float64(n) * float64(e.TokenBytes) * 8
	took := time.Duration(bits / (e.Link * 1e6) * float64(time.Second))
	if from.Zone != to.Zone {
		took *= 2
	}
	return took
}

// crowdingCost returns the cost of an engine whose slots or memory are nearly taken, as far as this node knows.
func (p *Placer) crowdingCost(c *planInput, t *camphorhinge.Target) time.Duration {
	s := p.stateOf(c.now, t)
	full := 0.0
	if t.Slots > 0 {
		full = (float64(s.running) + p.otherNodesRequests(s, c.now)) / float64(t.Slots)
	}
	if c.req.Engine.Memory > 0 {
		full = max(full, float64(s.reserved+c.req.Prompt)/float64(c.req.Engine.Memory))
	}
	if full <= crowdedShare {
		return 0
	}
	return time.Duration((full - crowdedShare) * float64(fullEngineCost))
}
