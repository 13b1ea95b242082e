package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"example.org/camphorhinge"
)

const (
	// evenFraction is the part of a limit that is shared evenly, so that a node without demand so far can serve at once. It is
	// also the most that a workspace loses whose callers all use one node, so it is small.
	evenFraction = 0.1
	// demandTimeConstant is the time constant in which the demand on this node is averaged. The mix of requests swings within
	// minutes; a few seconds follow that without following single bursts.
	demandTimeConstant = 5 * time.Second
	// burstWindow is the time for which unused rate is saved up.
	burstWindow = time.Second
	// sweepInterval is the time between two removals of unused buckets, and how long a bucket stays unused until then.
	sweepInterval = time.Minute
)

// bucket holds the token buckets of one limit of a workspace, and the demand on them.
type bucket struct {
	limit Limit
	// requests and tokens are nil where there is no limit.
	requests, tokens *rate.Limiter
	share            Limit
	// demand is the exponentially averaged rate that callers asked for, admitted or not.
	demand    Limit
	decayedAt camphorhinge.Instant
}

// limiterTime maps an Instant to the times that rate.Limiter takes.
func limiterTime(t camphorhinge.Instant) time.Time { return time.Unix(0, int64(t)) }

// decayDemand brings the demand to the present.
func (b *bucket) decayDemand(now camphorhinge.Instant) {
	part := math.Exp(-now.Sub(b.decayedAt).Seconds() / demandTimeConstant.Seconds())
	b.demand.Requests *= part
	b.demand.Tokens *= part
	b.decayedAt = now
}

// recordDemand adds a request to the demand.
func (b *bucket) recordDemand(tokens camphorhinge.Tokens) {
	b.demand.Requests += 1 / demandTimeConstant.Seconds()
	b.demand.Tokens += float64(tokens) / demandTimeConstant.Seconds()
}

// nodeShare returns this node's part of a rate. Nodes that were not heard of keep an equal nodeShare, as they would take if they
// are cut off. Of the rest, which the others nodeShare as well, it is an even part and a part by demand.
func nodeShare(limit, own, others float64, nodes, heard int) float64 {
	sharing := float64(heard + 1)
	limit *= sharing / max(float64(nodes), sharing)
	even := limit / sharing
	if heard == 0 || own+others <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*limit*(own/(own+others))
}

// enforceLimit takes a request from the buckets of its workspace.
func (a *Admission) enforceLimit(now camphorhinge.Instant, req camphorhinge.AdmitRequest) *camphorhinge.Refusal {
	name, limit := a.cfg.Limits.Limit(req.Workspace, req.Priority)
	a.sweep(now)
	k := key{req.Workspace, name}
	if limit == (Limit{}) {
		delete(a.buckets, k)
		return nil
	}
	b := a.buckets[k]
	if b == nil {
		b = &bucket{decayedAt: now}
		a.buckets[k] = b
	}
	b.limit = limit
	b.decayDemand(now)
	others, heard := a.cfg.Peers.Demand(req.Workspace, name)
	nodes := a.cfg.Peers.Nodes()
	// The demand without this request is what the other nodes hear of. With it, a node would see itself above its mean
	// at each request, and the shares of a limit with few requests would exceed the limit.
	part := Limit{
		Requests: nodeShare(limit.Requests, b.demand.Requests, others.Requests, nodes, heard),
		Tokens:   nodeShare(limit.Tokens, b.demand.Tokens, others.Tokens, nodes, heard),
	}
	b.recordDemand(req.Tokens)
	if part != b.share {
		b.requests = setRate(b.requests, now, part.Requests)
		b.tokens = setRate(b.tokens, now, part.Tokens)
		b.share = part
	}
	at, tokens := limiterTime(now), int(req.Tokens)
	if wait := timeUntil(b.requests, at, 1); wait > 0 {
		return limitExceeded("requests", wait)
	}
	if wait := timeUntil(b.tokens, at, tokens); wait > 0 {
		return limitExceeded("tokens", wait)
	}
	consume(b.requests, at, 1)
	consume(b.tokens, at, tokens)
	return nil
}

// setRate changes the rate of a limiter. A limiter that gets its first rate starts full.
func setRate(l *rate.Limiter, now camphorhinge.Instant, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	size := int(max(perSecond*burstWindow.Seconds(), 1))
	if l == nil {
		return rate.NewLimiter(rate.Limit(perSecond), size)
	}
	l.SetLimitAt(limiterTime(now), rate.Limit(perSecond))
	l.SetBurstAt(limiterTime(now), size)
	return l
}

// timeUntil returns the time until a limiter has n tokens, or is full if n is above its burst.
func timeUntil(l *rate.Limiter, at time.Time, n int) time.Duration {
	if l == nil {
		return 0
	}
	short := float64(min(n, l.Burst())) - l.TokensAt(at)
	if short <= 0 {
		return 0
	}
	return max(time.Duration(short/float64(l.Limit())*float64(time.Second)), 1)
}

// consume takes n tokens. Above the burst it leaves the limiter in debt, so that a large request costs what it takes.
func consume(l *rate.Limiter, at time.Time, n int) {
	if l == nil {
		return
	}
	size := l.Burst()
	l.SetBurstAt(at, max(size, n))
	l.ReserveN(at, n)
	l.SetBurstAt(at, size)
}

func limitExceeded(what string, wait time.Duration) *camphorhinge.Refusal {
	return &camphorhinge.Refusal{
		Kind: "limit", Message: "the workspace exceeds its limit of " + what + " per second", RetryAfter: wait,
	}
}

// sweep removes buckets that were not used for a while; a full one that is made anew is equal.
func (a *Admission) sweep(now camphorhinge.Instant) {
	if now.Sub(a.lastSweep) < sweepInterval {
		return
	}
	a.lastSweep = now
	for k, b := range a.buckets {
		if now.Sub(b.decayedAt) >= sweepInterval {
			delete(a.buckets, k)
		}
	}
}
