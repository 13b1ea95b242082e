package admit

import (
	"math"
	"time"

	"example.org/camphorhinge"
	"golang.org/x/time/rate"
)

const (
	// evenPart is the part of a limit that is shared evenly, so that a node without demand so far can serve at once.
	evenPart = 0.2
	// demandFor is the time constant in which the demand on this node is averaged. The mix of requests swings within
	// minutes; a few seconds follow that without following single bursts.
	demandFor = 5 * time.Second
	// burst is the time for which unused rate is saved up.
	burst = time.Second
	// sweepEvery is the time between two removals of unused buckets, and how long a bucket stays unused until then.
	sweepEvery = time.Minute
)

// bucket holds the token buckets of a workspace at one priority, and the demand on them.
type bucket struct {
	// requests and tokens are nil where there is no limit.
	requests, tokens *rate.Limiter
	share            Limit
	// demand is the exponentially averaged rate that callers asked for, admitted or not.
	demand Limit
	last   camphorhinge.Instant
}

// moment maps an Instant to the times that rate.Limiter takes.
func moment(t camphorhinge.Instant) time.Time { return time.Unix(0, int64(t)) }

// ask adds a request to the demand.
func (b *bucket) ask(now camphorhinge.Instant, tokens camphorhinge.Tokens) {
	fade := math.Exp(-now.Sub(b.last).Seconds() / demandFor.Seconds())
	b.demand.Requests = b.demand.Requests*fade + 1/demandFor.Seconds()
	b.demand.Tokens = b.demand.Tokens*fade + float64(tokens)/demandFor.Seconds()
	b.last = now
}

// share returns this node's part of a rate: an even part, and the rest by demand.
func share(limit, own, others float64, nodes int, known bool) float64 {
	even := limit / float64(max(nodes, 1))
	if !known || own+others <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*limit*own/(own+others)
}

// take takes a request from the buckets of its workspace.
func (a *Admission) take(now camphorhinge.Instant, req camphorhinge.AdmitRequest) *camphorhinge.Refusal {
	limit := a.cfg.Limits.Limit(req.Workspace, req.Priority)
	a.sweep(now)
	k := key{req.Workspace, req.Priority}
	if limit == (Limit{}) {
		delete(a.buckets, k)
		return nil
	}
	b := a.buckets[k]
	if b == nil {
		b = &bucket{last: now}
		a.buckets[k] = b
	}
	b.ask(now, req.Tokens)
	others, known := a.cfg.Peers.Demand(req.Workspace, req.Priority)
	nodes := a.cfg.Peers.Nodes()
	part := Limit{
		Requests: share(limit.Requests, b.demand.Requests, others.Requests, nodes, known),
		Tokens:   share(limit.Tokens, b.demand.Tokens, others.Tokens, nodes, known),
	}
	if part != b.share {
		b.requests = adjust(b.requests, now, part.Requests)
		b.tokens = adjust(b.tokens, now, part.Tokens)
		b.share = part
	}
	at, tokens := moment(now), int(req.Tokens)
	if wait := lack(b.requests, at, 1); wait > 0 {
		return over("requests", wait)
	}
	if wait := lack(b.tokens, at, tokens); wait > 0 {
		return over("tokens", wait)
	}
	spend(b.requests, at, 1)
	spend(b.tokens, at, tokens)
	return nil
}

// adjust changes the rate of a limiter. A limiter that gets its first rate starts full.
func adjust(l *rate.Limiter, now camphorhinge.Instant, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	size := int(max(perSecond*burst.Seconds(), 1))
	if l == nil {
		return rate.NewLimiter(rate.Limit(perSecond), size)
	}
	l.SetLimitAt(moment(now), rate.Limit(perSecond))
	l.SetBurstAt(moment(now), size)
	return l
}

// lack returns the time until a limiter has n tokens, or is full if n is above its burst.
func lack(l *rate.Limiter, at time.Time, n int) time.Duration {
	if l == nil {
		return 0
	}
	short := float64(min(n, l.Burst())) - l.TokensAt(at)
	if short <= 0 {
		return 0
	}
	return max(time.Duration(short/float64(l.Limit())*float64(time.Second)), 1)
}

// spend takes n tokens. Above the burst it leaves the limiter in debt, so that a large request costs what it takes.
func spend(l *rate.Limiter, at time.Time, n int) {
	if l == nil {
		return
	}
	size := l.Burst()
	l.SetBurstAt(at, max(size, n))
	l.ReserveN(at, n)
	l.SetBurstAt(at, size)
}

func over(what string, wait time.Duration) *camphorhinge.Refusal {
	return &camphorhinge.Refusal{
		Kind: "limit", Message: "the workspace exceeds its limit of " + what + " per second", RetryAfter: wait,
	}
}

// sweep removes buckets that were not used for a while; a full one that is made anew is equal.
func (a *Admission) sweep(now camphorhinge.Instant) {
	if now.Sub(a.swept) < sweepEvery {
		return
	}
	a.swept = now
	for k, b := range a.buckets {
		if now.Sub(b.last) >= sweepEvery {
			delete(a.buckets, k)
		}
	}
}

// Demand is the demand on this node for one workspace and priority, for the other nodes.
type Demand struct {
	Workspace camphorhinge.WorkspaceName `json:"w"`
	Priority  camphorhinge.Priority      `json:"p"`
	Requests  float64                    `json:"r"`
	Tokens    float64                    `json:"t"`
}

// Demands returns the demand on this node, for the other nodes' Peers.
func (a *Admission) Demands() []Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	out := make([]Demand, 0, len(a.buckets))
	for k, b := range a.buckets {
		fade := math.Exp(-now.Sub(b.last).Seconds() / demandFor.Seconds())
		out = append(out, Demand{k.workspace, k.priority, b.demand.Requests * fade, b.demand.Tokens * fade})
	}
	return out
}
