package place

import (
	"cmp"
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// minLimit is the least rate at which a target with a limit is sent requests, in requests a second; only its answers tell
	// when it states the limit no longer.
	minLimit = 0.1
	// limitBurst is the time in which unused requests of a limit add up at a central Placer, and sharedBurst that for the
	// parts of the limit of all nodes.
	limitBurst, sharedBurst = 500 * time.Millisecond, 1500 * time.Millisecond
	// limitPause is the time for which a central Placer that learns of a limit sends the target nothing: another one may have
	// used the limit until now, and the target is in need.
	limitPause = time.Second
	// liftedRetention is how long a Placer passes on that a target no longer states a limit.
	liftedRetention = 10 * time.Second
	// minLimitRetry and maxLimitRetry bound the retry-after time of a request for which all targets have reached their limits.
	minLimitRetry, maxLimitRetry = 100 * time.Millisecond, time.Second
)

// Limit is what a target stated of its limit in an answer.
type Limit struct {
	Target      camphorhinge.TargetName
	Incarnation camphorhinge.Incarnation
	// PerSecond is the number of requests a second that the target takes from all nodes together; 0 when its answer stated no
	// limit.
	PerSecond float64
	// Age is the time since the answer.
	Age time.Duration
}

// limiter holds a target's limit and the requests that may be sent now.
type limiter struct {
	// perSecond is the stated limit, or 0 without one; statedAt is the time of the answer, or 0 when none ever stated one.
	perSecond float64
	statedAt  camphorhinge.Instant
	// tokens is the number of requests that may be sent, as of refilledAt.
	tokens     float64
	refilledAt camphorhinge.Instant
}

// record stores the content of an answer that came at the given time, and reports whether it changed the limit. tokens is the number
// of requests that may be sent at once when the limit is new.
func (l *limiter) record(now, at camphorhinge.Instant, perSecond, tokens float64) bool {
	if at < l.statedAt || perSecond <= 0 && l.statedAt == 0 {
		return false
	}
	changed := l.perSecond != perSecond
	if l.perSecond <= 0 && perSecond > 0 {
		l.tokens, l.refilledAt = tokens, now
	}
	l.perSecond, l.statedAt = perSecond, at
	return changed
}

// refill adds the tokens for the time since the last call, at a rate per second, up to most.
func (l *limiter) refill(now camphorhinge.Instant, rate, most float64) {
	l.tokens = min(l.tokens+max(now.Sub(l.refilledAt), 0).Seconds()*rate, most)
	l.refilledAt = max(l.refilledAt, now)
}

// refillLimit adds the tokens of a target's limit up to now.
func (p *Placer) refillLimit(now camphorhinge.Instant, l *limiter) {
	rate := p.limitRate(l)
	if p.cfg.Central {
		l.refill(now, rate, max(1, rate*limitBurst.Seconds()))
		return
	}
	l.refill(now, rate, rate*sharedBurst.Seconds())
}

// limitRate returns the part of a target's limit that this Placer may use, in requests a second.
func (p *Placer) limitRate(l *limiter) float64 {
	nodes := 1
	if !p.cfg.Central && p.cfg.Nodes != nil {
		nodes = max(p.cfg.Nodes(), 1)
	}
	return max(l.perSecond, minLimit) / float64(nodes)
}

// withinLimit reports whether a target may be sent a request now according to its limit. A node that has a part of the limit
// sends one with the probability that its part allows, so that many nodes with a small part each don't exceed the limit
// by a request each.
func (p *Placer) withinLimit(now camphorhinge.Instant, s *targetState) bool {
	l := &s.limit
	if l.perSecond <= 0 {
		return true
	}
	p.refillLimit(now, l)
	if p.cfg.Central {
		return l.tokens >= 1
	}
	return l.tokens > p.random.Float64()
}

// takeFromLimit counts a request against a target's limit. Another Placer may have decided on it, so that fewer than 0
// tokens are left; the debt is bounded, since this node's part of the limit may be smaller than the requests that it is
// told to send.
func (p *Placer) takeFromLimit(now camphorhinge.Instant, s *targetState) {
	if l := &s.limit; l.perSecond > 0 {
		p.refillLimit(now, l)
		l.tokens = max(l.tokens-1, min(l.tokens, -1))
	}
}

// underLimit returns the targets that may be sent a request now according to their limits.
func (p *Placer) underLimit(now camphorhinge.Instant, targets []candidate) []candidate {
	return slices.DeleteFunc(targets, func(t candidate) bool { return !p.withinLimit(now, t.state) })
}

// setLimit records what a target stated in an answer at the given time.
func (p *Placer) setLimit(now, at camphorhinge.Instant, s *targetState, perSecond float64) bool {
	tokens := 0.0
	if p.cfg.Central {
		tokens = -perSecond * limitPause.Seconds()
	}
	return s.limit.record(now, at, perSecond, tokens)
}

// RecordLimit records the limit that the target stated in an answer, in requests a second from all nodes together; 0 stands
// for an answer that stated none.
func (f *InFlight) RecordLimit(now camphorhinge.Instant, perSecond float64) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	f.placer.setLimit(now, now, f.state, perSecond)
}

// Limits returns what targets stated of their limits, for other Placers, sorted by target.
func (p *Placer) Limits(now camphorhinge.Instant) []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Limit
	for name, s := range p.targets {
		if l := s.limit; l.statedAt > 0 && (l.perSecond > 0 || now.Sub(l.statedAt) < liftedRetention) {
			out = append(out, Limit{Target: name, Incarnation: s.incarnation, PerSecond: l.perSecond, Age: now.Sub(l.statedAt)})
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// MergeLimits records what live targets stated to other nodes, and returns the limits that changed.
func (p *Placer) MergeLimits(now camphorhinge.Instant, live []*camphorhinge.Target, limits []Limit) []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changed []Limit
	for _, l := range limits {
		i := slices.IndexFunc(live, func(t *camphorhinge.Target) bool { return t.Name == l.Target && t.Incarnation == l.Incarnation })
		if i >= 0 && p.setLimit(now, now.Add(-max(l.Age, 0)), p.stateOf(now, live[i]), l.PerSecond) {
			changed = append(changed, l)
		}
	}
	return changed
}

// LimitWait returns the time after which a request that found no target may be repeated because targets have reached their
// limits or want a pause, or 0 if neither is the reason.
func (p *Placer) LimitWait(now camphorhinge.Instant, live []*camphorhinge.Target, req *Request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait, others := time.Duration(0), false
	for _, t := range live {
		s := p.stateOf(now, t)
		if !t.Serving || !req.mayServe(t) || s.notices.leaving(now) {
			continue
		}
		w := s.notices.pausedUntil.Sub(now)
		if w <= 0 && (slices.Contains(req.Exclude, t.Name) || p.withinLimit(now, s)) {
			others = true
			continue
		}
		if w <= 0 {
			w = time.Duration((1 - s.limit.tokens) / p.limitRate(&s.limit) * float64(time.Second))
			w = min(max(w, minLimitRetry), maxLimitRetry)
		}
		if wait == 0 || w < wait {
			wait = w
		}
	}
	if others {
		return min(wait, maxLimitRetry)
	}
	return wait
}
