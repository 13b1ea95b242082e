package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// stateRetention is how long the state of a target is kept after its last use.
	stateRetention = 30 * time.Second
	// sweepInterval is the time between two removals of expired target states.
	sweepInterval = 5 * time.Second
)

// Config holds the settings of a Placer.
type Config struct {
	// Zone is the node's own zone.
	Zone camphorhinge.Zone
	// Seed seeds the random choice between equal targets; it differs between nodes.
	Seed uint64
	// Rates are the speeds of engines; the zero value stands for DefaultRates.
	Rates Rates
	// Central is set when the Placer places the requests of all nodes, so that its record of the work is complete.
	Central bool
	// Nodes returns the number of nodes that share the limits of targets, unless the Placer is central; nil means 1.
	Nodes func() int
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	cfg Config

	mu      sync.Mutex
	random  *rand.Rand
	targets map[camphorhinge.TargetName]*targetState
	sweptAt camphorhinge.Instant
	// began is when the first target was considered, after a start or after a time in which states expire, and usedAt when the last
	// one was.
	began, usedAt camphorhinge.Instant
	// plainLatency is the moving average of the latency of each plain service, at an idle target of usual slowness.
	plainLatency map[camphorhinge.ServiceName]time.Duration
	// speeds are the measured speeds of engines.
	speeds map[speedKey]*speed
	// demands are the work of each service's requests.
	demands map[camphorhinge.ServiceName]*demand
	// considered is the number of targets that were considered for requests so far.
	considered uint64
}

// New returns a Placer without any recorded work, load or cache contents.
func New(cfg Config) *Placer {
	if cfg.Rates == (Rates{}) {
		cfg.Rates = DefaultRates()
	}
	return &Placer{
		cfg:          cfg,
		random:       rand.New(rand.NewPCG(cfg.Seed, 0)), //nolint:gosec // Choices between equals need no secrecy.
		targets:      map[camphorhinge.TargetName]*targetState{},
		plainLatency: map[camphorhinge.ServiceName]time.Duration{},
		speeds:       map[speedKey]*speed{},
		demands:      map[camphorhinge.ServiceName]*demand{},
	}
}

// stateOf returns the state of a target. It starts with an empty state when the target is new or has another
// incarnation or address.
func (p *Placer) stateOf(now camphorhinge.Instant, t *camphorhinge.Target) *targetState {
	if p.began == 0 || now.Sub(p.usedAt) > stateRetention/2 {
		p.began = now
	}
	p.usedAt = now
	s := p.targets[t.Name]
	if s == nil || s.incarnation != t.Incarnation || s.address != t.Address {
		s = &targetState{incarnation: t.Incarnation, address: t.Address, slowdown: 1, firstSeen: now, firstRole: t.Role}
		p.targets[t.Name] = s
	}
	s.usedAt = now
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweep(now)
	}
	return s
}

func (p *Placer) sweep(now camphorhinge.Instant) {
	p.sweptAt = now
	for name, s := range p.targets {
		if now.Sub(s.usedAt) > stateRetention && s.running == 0 && !s.notices.closed(now) {
			delete(p.targets, name)
		}
	}
}

// candidate is a live target that is considered for a request, with its state.
type candidate struct {
	*camphorhinge.Target
	state *targetState
}

// candidates returns the live targets that may receive a request or prefill its prompt. Targets that want none of this node
// are left out; those that failed recently, are spared after a pause or have just started are, too, unless no others could serve it.
func (p *Placer) candidates(now camphorhinge.Instant, live []*camphorhinge.Target, req *Request) []candidate {
	ready := make([]candidate, 0, len(live))
	var unready, spared []candidate
	servers := 0
	for _, t := range live {
		prefills := req.Engine != nil && t.Role == camphorhinge.RolePrefill
		if !t.Serving || slices.Contains(req.Exclude, t.Name) || !prefills && !req.mayServe(t) {
			continue
		}
		s := p.stateOf(now, t)
		if s.notices.closed(now) {
			continue
		}
		if !s.available(now) {
			unready = append(unready, candidate{t, s})
			continue
		}
		if p.spares(now, s) || p.settles(now, t, s, req) {
			spared = append(spared, candidate{t, s})
			continue
		}
		ready = append(ready, candidate{t, s})
		if !prefills {
			servers++
		}
	}
	if servers == 0 {
		ready = append(ready, spared...)
	}
	switch {
	case len(ready) == 0:
		return unready
	case servers == 0 && req.Software != nil:
		return append(ready, unready...)
	}
	return ready
}

// settles reports whether an engine has started so recently that it may be given another role, and refuse requests until it has that.
// Those that are first considered soon after this Placer began may have run for long.
func (p *Placer) settles(now camphorhinge.Instant, t *camphorhinge.Target, s *targetState, req *Request) bool {
	return req.Settle > 0 && t.Role == s.firstRole && now.Sub(s.firstSeen) < req.Settle && s.firstSeen.Sub(p.began) > req.Settle
}

// spares reports whether a request should go to another target because this one has just ended a pause.
func (p *Placer) spares(now camphorhinge.Instant, s *targetState) bool {
	resumed := s.notices.resumed(now)
	return resumed < 1 && p.random.Float64() >= resumed
}

// Place chooses a plan for a request and records its work; ok is false when no live target may take it.
func (p *Placer) Place(now camphorhinge.Instant, live []*camphorhinge.Target, req Request) (*Placement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, ok := p.bestPlan(now, live, &req)
	if !ok {
		return nil, false
	}
	return p.adopt(now, best.Plan, &req), true
}

// Considered returns the number of targets that were considered for requests so far, each time one was. The processor time
// of placements is in proportion to it.
func (p *Placer) Considered() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.considered
}

// bestPlan returns the plan with the least cost; ok is false when no live target may take the request.
func (p *Placer) bestPlan(now camphorhinge.Instant, live []*camphorhinge.Target, req *Request) (scoredPlan, bool) {
	p.considered += uint64(len(live))
	targets := p.candidates(now, live, req)
	if len(targets) == 0 {
		return scoredPlan{}, false
	}
	if req.Engine != nil {
		return p.bestEnginePlan(now, live, targets, req)
	}
	if targets = p.underLimit(now, targets); len(targets) == 0 {
		return scoredPlan{}, false
	}
	return scoredPlan{Plan: p.bestPlainPlan(now, targets, req)}, true
}

// Adopt records the work of a plan that another Placer made.
func (p *Placer) Adopt(now camphorhinge.Instant, plan Plan, req Request) *Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.adopt(now, plan, &req)
}

// InBackoff returns the live targets that are in backoff after failures or refusals recorded by this Placer, that want no
// requests of this node, or that are spared after a pause while others may serve.
func (p *Placer) InBackoff(now camphorhinge.Instant, live []*camphorhinge.Target) []camphorhinge.TargetName {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out, spared []camphorhinge.TargetName
	others := false
	for _, t := range live {
		s := p.targets[t.Name]
		switch known := s != nil && s.incarnation == t.Incarnation; {
		case known && (now < s.backoffUntil || s.notices.closed(now)):
			out = append(out, t.Name)
		case known && p.spares(now, s):
			spared = append(spared, t.Name)
		case t.Serving && t.Role != camphorhinge.RolePrefill:
			others = true
		}
	}
	if others {
		out = append(out, spared...)
	}
	return out
}

// otherNodesRequests estimates the number of requests of other nodes at a target; 0 for a central Placer.
func (p *Placer) otherNodesRequests(s *targetState, now camphorhinge.Instant) float64 {
	if p.cfg.Central {
		return 0
	}
	return s.otherNodesRequests(now)
}
