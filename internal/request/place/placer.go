package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// forgetAfter is how long a target that is no longer named is remembered.
	forgetAfter = 30 * time.Second
	// sweepEvery is the time between two looks for targets to forget.
	sweepEvery = 5 * time.Second
	// zoneCost is the work, in requests, by which a target in another zone must be less busy to be chosen.
	zoneCost = 0.4
	// plainTime is the assumed time of one request of a plain service, before its answers are measured.
	plainTime = 20 * time.Millisecond
	// plainWeight is the weight of the last answer in the mean time of a plain service.
	plainWeight = 0.05
)

// Config holds what a Placer needs.
type Config struct {
	// Zone is the node's own.
	Zone camphorhinge.Zone
	// Seed decides between equals; it differs between nodes.
	Seed uint64
	// Rates are the speeds of engines; the zero value stands for DefaultRates.
	Rates Rates
	// Whole tells that the Placer places the requests of all nodes, so that it knows all work.
	Whole bool
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	cfg Config

	mu      sync.Mutex
	random  *rand.Rand
	targets map[camphorhinge.TargetName]*state
	seen    map[camphorhinge.TargetName]camphorhinge.Instant
	swept   camphorhinge.Instant
	// plain is the mean time of an answer by plain service.
	plain map[camphorhinge.ServiceName]time.Duration
}

// New returns a Placer that knows nothing yet.
func New(cfg Config) *Placer {
	if cfg.Rates == (Rates{}) {
		cfg.Rates = DefaultRates()
	}
	return &Placer{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)), //nolint:gosec // Choices between equals need no secrecy.
		targets: map[camphorhinge.TargetName]*state{},
		seen:    map[camphorhinge.TargetName]camphorhinge.Instant{},
		plain:   map[camphorhinge.ServiceName]time.Duration{},
	}
}

// of returns the state of a target, a new one when the target started again.
func (p *Placer) of(now camphorhinge.Instant, t *camphorhinge.Target) *state {
	s := p.targets[t.Name]
	if s == nil || s.incarnation != t.Incarnation || s.address != t.Address {
		s = &state{incarnation: t.Incarnation, address: t.Address, pace: 1}
		p.targets[t.Name] = s
	}
	p.seen[t.Name] = now
	if now.Sub(p.swept) >= sweepEvery {
		p.sweep(now)
	}
	return s
}

func (p *Placer) sweep(now camphorhinge.Instant) {
	p.swept = now
	for name, at := range p.seen {
		if now.Sub(at) > forgetAfter && p.targets[name].running == 0 {
			delete(p.seen, name)
			delete(p.targets, name)
		}
	}
}

// candidates returns the live targets that may take a request. Targets that failed lately are left out as long as there
// are others.
func (p *Placer) candidates(now camphorhinge.Instant, live []*camphorhinge.Target, req *Request) []*camphorhinge.Target {
	var open, closed []*camphorhinge.Target
	for _, t := range live {
		if !t.Serving || slices.Contains(req.Exclude, t.Name) {
			continue
		}
		if p.of(now, t).open(now) {
			open = append(open, t)
		} else {
			closed = append(closed, t)
		}
	}
	if len(open) == 0 {
		return closed
	}
	return open
}

// Place chooses where a request goes and notes the work; ok is false when no live target may take it.
func (p *Placer) Place(now camphorhinge.Instant, live []*camphorhinge.Target, req Request) (*Placement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, ok := p.pick(now, live, &req)
	if !ok {
		return nil, false
	}
	return p.adopt(now, best.Plan, &req), true
}

// pick returns the best plan of a request.
func (p *Placer) pick(now camphorhinge.Instant, live []*camphorhinge.Target, req *Request) (option, bool) {
	targets := p.candidates(now, live, req)
	if len(targets) == 0 {
		return option{}, false
	}
	if req.Engine != nil {
		return p.pickEngine(now, live, targets, req)
	}
	return option{Plan: p.pickPlain(now, targets, req)}, true
}

// Adopt notes the work of a plan that was made elsewhere.
func (p *Placer) Adopt(now camphorhinge.Instant, plan Plan, req Request) *Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.adopt(now, plan, &req)
}

// Closed returns the targets that failed lately, as far as this Placer knows.
func (p *Placer) Closed(now camphorhinge.Instant, live []*camphorhinge.Target) []camphorhinge.TargetName {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []camphorhinge.TargetName
	for _, t := range live {
		if s := p.targets[t.Name]; s != nil && s.incarnation == t.Incarnation && now < s.until {
			out = append(out, t.Name)
		}
	}
	return out
}

// pickPlain returns the least busy target, with some preference for the node's own zone.
func (p *Placer) pickPlain(now camphorhinge.Instant, targets []*camphorhinge.Target, req *Request) Plan {
	var best *camphorhinge.Target
	var least float64
	for _, t := range targets {
		s := p.of(now, t)
		busy := (float64(s.running)+p.others(s, now))*s.pace + p.random.Float64()*0.1
		if t.Zone != p.cfg.Zone {
			busy += zoneCost
		}
		busy += 4 * s.failing(now)
		if best == nil || busy < least {
			best, least = t, busy
		}
	}
	mean := p.plain[req.Service]
	if mean == 0 {
		mean = plainTime
	}
	expected := mean
	if best.Slots > 0 && least > float64(best.Slots) {
		expected = time.Duration(float64(mean) * (least + 1) / float64(best.Slots))
	}
	return Plan{Serve: best, Expected: expected, Reason: "least busy"}
}

// others estimates the number of requests of other nodes at a target.
func (p *Placer) others(s *state, now camphorhinge.Instant) float64 {
	if p.cfg.Whole {
		return 0
	}
	return s.others(now)
}
