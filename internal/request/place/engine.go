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
	// separateCost is the time by which a plan with a separate prefill must be faster than one without.
	separateCost = 20 * time.Millisecond
	// displaceCost is the part of the time to read shared parts that counts against an engine which does not hold them yet,
	// since they push out parts of others there.
	displaceCost = 0.25
	// homeDoubt is the part of the shared parts, in percent, that a home is taken to lack as long as this node has not sent
	// them there.
	homeDoubt = 50
	// otherTime is the time that a request of another node at a target is taken to make a new one wait.
	otherTime = 20 * time.Millisecond
	// jitter bounds the random part of a cost, which keeps nodes that know the same from choosing the same target.
	jitter = 10 * time.Millisecond
	// runningCost is the time by which each running request makes the next one slower.
	runningCost = 2 * time.Millisecond
	// fullShare is the share of slots or memory from which an engine counts as full, and fullWait the wait that is assumed
	// when all are.
	fullShare = 0.75
	fullWait  = 150 * time.Millisecond
	// crossCost is the time by which a target in another zone must be faster, for each 1,024 bytes of the request: bytes
	// between zones are paid for.
	crossCost = 2 * time.Millisecond
	// calmShare is the share of slots or memory up to which an engine counts as not crowded, crowdCost the cost of a full one.
	calmShare = 0.7
	crowdCost = 2 * time.Second
)

// scene is what one choice goes by.
type scene struct {
	now camphorhinge.Instant
	req *Request
	// shared are the parts that other requests have as well, size their tokens.
	shared []Part
	size   camphorhinge.Tokens
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
	target *camphorhinge.Target
	move   time.Duration
	cost   time.Duration
}

// option is a plan with its cost, which is its expected time with what it displaces, and the time until its first engine
// begins.
type option struct {
	Plan
	cost, wait time.Duration
}

// pickEngine returns the plan with the least cost.
func (p *Placer) pickEngine(now camphorhinge.Instant, live, targets []*camphorhinge.Target, req *Request) (option, bool) {
	readers, servers := byRole(targets)
	if len(servers) == 0 {
		return option{}, false
	}
	if roomy := p.roomy(now, servers, req); len(roomy) > 0 {
		servers = roomy
	} else if p.cfg.Whole {
		return option{wait: fullWait, Plan: Plan{Serve: servers[0], Expected: fullWait}}, true
	}
	c := &scene{now: now, req: req, receivers: map[camphorhinge.Zone]receiver{}}
	c.shared, c.size = req.shared()
	p.findHolders(c, live, targets)

	best := option{cost: -1}
	better := func(o option) {
		o.cost += time.Duration(p.random.Int64N(int64(jitter)))
		if best.cost < 0 || o.cost < best.cost {
			best = o
		}
	}
	for _, t := range servers {
		o := p.direct(c, t)
		if len(readers) > 0 && t.Role == camphorhinge.RoleDecode {
			// The prompt is read between the tokens of all requests that run there.
			o.cost += p.toRead(t, float64(o.Unread))
		}
		better(o)
	}
	if !req.Direct {
		for _, t := range readers {
			better(p.separate(c, t, servers))
		}
	}
	return best, true
}

// byRole divides engines into those that only read prompts and those that run requests.
func byRole(targets []*camphorhinge.Target) (readers, servers []*camphorhinge.Target) {
	for _, t := range targets {
		if t.Role == camphorhinge.RolePrefill {
			readers = append(readers, t)
		} else {
			servers = append(servers, t)
		}
	}
	return readers, servers
}

// roomy returns the engines that have slots and memory left for a request. An engine whose memory runs out stops requests in
// the middle and reads their prompts again, which takes the time of many others.
func (p *Placer) roomy(now camphorhinge.Instant, servers []*camphorhinge.Target, req *Request) []*camphorhinge.Target {
	var out []*camphorhinge.Target
	for _, t := range servers {
		s := p.of(now, t)
		slots := t.Slots == 0 || float64(s.running) < fullShare*float64(t.Slots)
		memory := req.Engine.CacheCapacity == 0 || s.running == 0 ||
			float64(s.held+req.Prompt+req.Output) < fullShare*float64(req.Engine.CacheCapacity)
		if slots && memory {
			out = append(out, t)
		}
	}
	return out
}

// findHolders finds the engines that hold the shared parts of a request. Engines that leave still hand their parts over.
func (p *Placer) findHolders(c *scene, live, targets []*camphorhinge.Target) {
	if len(c.shared) == 0 {
		return
	}
	if !p.cfg.Whole {
		c.home = homes(c.shared[len(c.shared)-1].Hash, targets, 1)[0]
	}
	for _, t := range live {
		if p.of(c.now, t).cache.ready(c.shared) == c.size {
			c.holders = append(c.holders, t)
		}
	}
}

// cross returns the cost of sending the request to a target in another zone.
func (c *scene) cross(t *camphorhinge.Target) time.Duration {
	if t.Zone == c.req.Zone {
		return 0
	}
	return time.Duration(c.req.Bytes) * crossCost / 1024
}

// reading is the estimate of one engine that reads a prompt.
type reading struct {
	fetch            *camphorhinge.Target
	unread           camphorhinge.Tokens
	wait, took, cost time.Duration
}

// read estimates the reading of the prompt at a target, which fetches the shared parts that it lacks from a holder.
func (p *Placer) read(c *scene, t *camphorhinge.Target) reading {
	s := p.of(c.now, t)
	held := s.cache.leading(c.shared)
	if t == c.home {
		held = c.size // Other nodes send the parts there as well.
	}
	missing := c.size - held
	var r reading
	var move time.Duration
	unknown := camphorhinge.Tokens(0)
	if missing > 0 {
		switch r.fetch = nearest(c.holders, t); {
		case r.fetch == nil && c.home == nil:
			unknown = missing
		case r.fetch == nil:
			// The home may not hold the parts yet.
			r.fetch, unknown = c.home, missing*homeDoubt/100
		}
		if r.fetch != nil {
			move = moveTime(missing, c.req.Engine, r.fetch, t) + p.cfg.Rates.Setup
		}
	}
	r.unread = max(c.req.Prompt-c.size, 1) + unknown
	r.wait = s.backlog(c.now) + time.Duration(p.others(s, c.now)*float64(otherTime))
	// The transfer runs while the requests before this one are read.
	r.took = max(r.wait, move) + p.toRead(t, float64(r.unread)) + p.cfg.Rates.Step
	r.cost = r.took + time.Duration(4*s.failing(c.now)*float64(r.took)) + p.toRead(t, displaceCost*float64(missing))
	return r
}

// toRead returns the time in which a target reads some tokens.
func (p *Placer) toRead(t *camphorhinge.Target, n float64) time.Duration {
	return time.Duration(n / p.rate(t) * p.targets[t.Name].pace * float64(time.Millisecond))
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

// rate returns the tokens per millisecond that a target reads.
func (p *Placer) rate(t *camphorhinge.Target) float64 {
	if t.Role == camphorhinge.RoleDecode {
		return p.cfg.Rates.Decode
	}
	return p.cfg.Rates.Prefill
}

// direct returns the plan in which one engine reads the prompt and generates.
func (p *Placer) direct(c *scene, t *camphorhinge.Target) option {
	r := p.read(c, t)
	return option{
		Plan{Serve: t, Fetch: r.fetch, Expected: r.took, Unread: r.unread, Reason: reason("direct", r.fetch)},
		r.cost + p.crowd(c, t) + c.cross(t), r.wait,
	}
}

func reason(plan string, fetch *camphorhinge.Target) string {
	if fetch != nil {
		return plan + " with fetched parts"
	}
	return plan
}

// separate returns the plan in which an engine of the prefill role reads the prompt.
func (p *Placer) separate(c *scene, reader *camphorhinge.Target, servers []*camphorhinge.Target) option {
	r := p.read(c, reader)
	to := p.receiver(c, reader, servers)
	server := to.target
	move := to.move + p.of(c.now, server).backlog(c.now.Add(r.took))
	took := r.took + move + p.cfg.Rates.Step
	return option{
		Plan{Prefill: reader, Serve: server, Fetch: r.fetch, Expected: took, Unread: r.unread, Reason: reason("separate prefill", r.fetch)},
		r.cost + move + p.cfg.Rates.Step + separateCost + p.crowd(c, server) + c.cross(reader) + c.cross(server), r.wait,
	}
}

// receiver returns the engine that takes a KV cache from reader. It is the same for all readers of a zone.
func (p *Placer) receiver(c *scene, reader *camphorhinge.Target, servers []*camphorhinge.Target) receiver {
	if r, ok := c.receivers[reader.Zone]; ok {
		return r
	}
	var best receiver
	for _, t := range servers {
		s := p.of(c.now, t)
		took := moveTime(c.req.Prompt, c.req.Engine, reader, t)
		busy := s.backlog(c.now) + time.Duration((float64(s.running)+p.others(s, c.now))*float64(runningCost))
		cost := 2*took + busy + p.crowd(c, t) + c.cross(t)
		if best.target == nil || cost < best.cost {
			best = receiver{t, took + p.cfg.Rates.Setup, cost}
		}
	}
	c.receivers[reader.Zone] = best
	return best
}

// moveTime returns the time to move the KV cache of some tokens over an idle link. A move between zones takes twice as long.
func moveTime(n camphorhinge.Tokens, e *routing.Engine, from, to *camphorhinge.Target) time.Duration {
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

// crowd returns the cost of an engine whose slots or memory are nearly taken, as far as this node knows.
func (p *Placer) crowd(c *scene, t *camphorhinge.Target) time.Duration {
	s := p.of(c.now, t)
	full := 0.0
	if t.Slots > 0 {
		full = (float64(s.running) + p.others(s, c.now)) / float64(t.Slots)
	}
	if c.req.Engine.CacheCapacity > 0 {
		full = max(full, float64(s.held+c.req.Prompt)/float64(c.req.Engine.CacheCapacity))
	}
	if full <= calmShare {
		return 0
	}
	return time.Duration((full - calmShare) * float64(crowdCost))
}
