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
	// homeCount is the number of homes of a prompt part in each role.
	homeCount = 2
	// moveCost is the time by which a plan that moves a KV cache must be faster than one that does not.
	moveCost = 30 * time.Millisecond
	// missCost is the part of the time to read a shared part that counts against a plan, beside that time itself, since the
	// read pushes out parts of others.
	missCost = 0.5
	// busyUnread is the share of other nodes' requests at a target that are taken to be reading their prompt.
	busyUnread = 0.3
)

// pickEngine returns the plan with the least expected time to the first event.
func (p *Placer) pickEngine(now camphorhinge.Instant, targets []*camphorhinge.Target, req *Request) (Plan, bool) {
	var readers, servers []*camphorhinge.Target
	for _, t := range targets {
		if t.Role == camphorhinge.RolePrefill {
			readers = append(readers, t)
		} else {
			servers = append(servers, t)
		}
	}
	if len(servers) == 0 {
		return Plan{}, false
	}
	best, ok := p.direct(now, servers, req)
	if !req.Direct && len(readers) > 0 {
		if plan, found := p.separate(now, readers, servers, req); found && (!ok || plan.cost < best.cost) {
			best, ok = plan, true
		}
	}
	return best.Plan, ok
}

// option is a plan with its cost, which is its expected time with what it displaces.
type option struct {
	Plan
	cost time.Duration
}

// key returns the hash by which the homes of a request are found.
func key(req *Request) (uint64, bool) {
	shared, _ := req.shared()
	if len(shared) == 0 {
		return 0, false
	}
	return shared[len(shared)-1].Hash, true
}

// nearest returns the engines that may hold the shared parts of a request; those that hold none if there are no homes.
func nearest(req *Request, targets []*camphorhinge.Target) []*camphorhinge.Target {
	k, ok := key(req)
	if !ok {
		return targets
	}
	return homes(k, targets, homeCount)
}

// read estimates the reading of the prompt at a target: the tokens, and the time until they are read.
func (p *Placer) read(
	now camphorhinge.Instant, t *camphorhinge.Target, req *Request, home bool,
) (unread, missed camphorhinge.Tokens, took time.Duration) {
	s := p.of(now, t)
	shared, size := req.shared()
	held := s.cache.leading(shared)
	if home {
		held = size // Other nodes send the part there as well.
	}
	missed = size - held
	unread = max(req.Prompt-held, 1)
	waiting := float64(s.unread) + s.others(now)*busyUnread*p.unread[req.Service]
	took = time.Duration((waiting+float64(unread))/p.rate(t)*s.pace*float64(time.Millisecond)) + p.cfg.Rates.Step
	return unread, missed, took
}

// rate returns the tokens per millisecond that a target reads.
func (p *Placer) rate(t *camphorhinge.Target) float64 {
	if t.Role == camphorhinge.RoleDecode {
		return p.cfg.Rates.Decode
	}
	return p.cfg.Rates.Prefill
}

// penalty returns the cost of missed tokens and of failures, beside the expected time.
func (p *Placer) penalty(now camphorhinge.Instant, t *camphorhinge.Target, missed camphorhinge.Tokens, took time.Duration) time.Duration {
	cost := time.Duration(missCost * float64(missed) / p.rate(t) * float64(time.Millisecond))
	return cost + time.Duration(4*p.of(now, t).share*float64(took))
}

// direct returns the best plan in which one engine reads the prompt and generates.
func (p *Placer) direct(now camphorhinge.Instant, servers []*camphorhinge.Target, req *Request) (option, bool) {
	var best option
	found := false
	for i, t := range nearest(req, servers) {
		unread, missed, took := p.read(now, t, req, i == 0)
		cost := took + p.penalty(now, t, missed, took) + p.crowd(now, t, req)
		if !found || cost < best.cost {
			found = true
			best = option{Plan{Serve: t, Expected: took, Unread: unread, Reason: reason("direct", i)}, cost}
		}
	}
	return best, found
}

func reason(plan string, home int) string {
	if home == 0 {
		return plan + " at home"
	}
	return plan + " beside a busy home"
}

// separate returns the best plan in which an engine of the prefill role reads the prompt.
func (p *Placer) separate(now camphorhinge.Instant, readers, servers []*camphorhinge.Target, req *Request) (option, bool) {
	var best option
	found := false
	for i, reader := range nearest(req, readers) {
		unread, missed, took := p.read(now, reader, req, i == 0)
		server, move := p.receiver(now, reader, servers, req)
		if server == nil {
			continue
		}
		took += move + p.cfg.Rates.Step
		cost := took + p.penalty(now, reader, missed, took) + moveCost + p.crowd(now, server, req)
		if !found || cost < best.cost {
			found = true
			best = option{Plan{Prefill: reader, Serve: server, Expected: took, Unread: unread, Reason: reason("separate prefill", i)}, cost}
		}
	}
	return best, found
}

// receiver returns the engine that takes a KV cache from reader, and the time of the move.
func (p *Placer) receiver(
	now camphorhinge.Instant, reader *camphorhinge.Target, servers []*camphorhinge.Target, req *Request,
) (*camphorhinge.Target, time.Duration) {
	var best *camphorhinge.Target
	var least, move time.Duration
	for _, t := range servers {
		s := p.of(now, t)
		took := moveTime(req, req.Engine, reader, t)
		busy := float64(s.unread)/p.rate(t) + (float64(s.running)+s.others(now))*float64(p.cfg.Rates.Step/time.Millisecond)
		cost := 2*took + time.Duration(busy*s.pace*float64(time.Millisecond)) + p.crowd(now, t, req)
		if best == nil || cost < least {
			best, least, move = t, cost, took+p.cfg.Rates.Setup
		}
	}
	return best, move
}

// moveTime returns the time to move the KV cache of a prompt over an idle link. A move between zones takes twice as long.
func moveTime(req *Request, e *routing.Engine, from, to *camphorhinge.Target) time.Duration {
	if e.Link <= 0 {
		return 0
	}
	bits := float64(req.Prompt) * float64(e.TokenBytes) * 8
	took := time.Duration(bits / (e.Link * 1e6) * float64(time.Second))
	if from.Zone != to.Zone {
		took *= 2
	}
	return took
}

// crowd returns the cost of an engine whose slots or memory are nearly taken, by this node's share of the requests.
func (p *Placer) crowd(now camphorhinge.Instant, t *camphorhinge.Target, req *Request) time.Duration {
	s := p.of(now, t)
	full := 0.0
	if t.Slots > 0 {
		full = (float64(s.running) + s.others(now)) / float64(t.Slots)
	}
	if req.Engine.Memory > 0 {
		full = max(full, float64(s.held+req.Prompt)/float64(req.Engine.Memory))
	}
	const calm = 0.7
	if full <= calm {
		return 0
	}
	return time.Duration((full - calm) * float64(2*time.Second))
}
