package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"example.org/camphorhinge"
)

const (
	// evenFraction is the fraction of a limit that is divided evenly, so that a node without previous demand can serve at
	// once. A workspace whose callers all use one node loses up to this fraction, so it is small.
	evenFraction = 0.1
	// demandTimeConstant is the time constant of the exponential average of the demand on this node. The workload changes
	// within minutes; a few seconds follow that without following single bursts.
	demandTimeConstant = 5 * time.Second
	// burstWindow is the time over which unused rate accumulates in a bucket.
	burstWindow = time.Second
	// sweepInterval is the time between two sweeps, and the time without a change of its demand after which a sweep
	// removes a bucket.
	sweepInterval = time.Minute
)

// bucket holds the rate limiters for one limit of a workspace, and the demand on them.
type bucket struct {
	limit Limit
	// requests and tokens are nil where there is no limit.
	requests, tokens *rate.Limiter
	// share is this node's current share of limit.
	share Limit
	// demand is the exponential average of the requested rate, including refused requests, as of decayedAt.
	demand    Limit
	decayedAt camphorhinge.Instant
}

// limiterTime converts an Instant to a time for rate.Limiter.
func limiterTime(t camphorhinge.Instant) time.Time { return time.Unix(0, int64(t)) }

// decayDemand decays the average to the present.
func (b *bucket) decayDemand(now camphorhinge.Instant) {
	factor := math.Exp(-now.Sub(b.decayedAt).Seconds() / demandTimeConstant.Seconds())
	b.demand.Requests *= factor
	b.demand.Tokens *= factor
	b.decayedAt = now
}

// recordDemand adds a request to the average.
func (b *bucket) recordDemand(tokens camphorhinge.Tokens) {
	b.demand.Requests += 1 / demandTimeConstant.Seconds()
	b.demand.Tokens += float64(tokens) / demandTimeConstant.Seconds()
}

// nodeShare returns this node's share of a rate. Each node without a report is assigned an even share, which it takes
// itself when it is partitioned. The rest is divided among this node and the reporting ones: evenFraction of it evenly,
// and the remainder in proportion to demand.
func nodeShare(limit, own, others float64, nodes, reporters int) float64 {
	sharing := float64(reporters + 1)
	limit *= sharing / max(float64(nodes), sharing)
	even := limit / sharing
	if reporters == 0 || own+others <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*limit*(own/(own+others))
}

// enforceLimit takes the request and its tokens from the bucket of its workspace, or returns a Refusal and takes
// nothing.
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
	others, reporters := a.cfg.Peers.Demand(req.Workspace, name)
	nodes := a.cfg.Peers.Nodes()
	// The share is computed before this request is added to the demand, as the other nodes' reports exclude it too.
	// Otherwise each request would raise the node's own demand above its mean, and the shares of a limit with few
	// requests would add up to more than the limit.
	share := Limit{
		Requests: nodeShare(limit.Requests, b.demand.Requests, others.Requests, nodes, reporters),
		Tokens:   nodeShare(limit.Tokens, b.demand.Tokens, others.Tokens, nodes, reporters),
	}
	b.recordDemand(req.Tokens)
	if share != b.share {
		b.requests = setRate(b.requests, now, share.Requests)
		b.tokens = setRate(b.tokens, now, share.Tokens)
		b.share = share
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

// setRate returns the limiter with its rate changed. It creates a full limiter if l is nil, and returns nil for a rate
// of 0, which means no limit.
func setRate(l *rate.Limiter, now camphorhinge.Instant, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := int(max(perSecond*burstWindow.Seconds(), 1))
	if l == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	l.SetLimitAt(limiterTime(now), rate.Limit(perSecond))
	l.SetBurstAt(limiterTime(now), burst)
	return l
}

// timeUntil returns the time until a limiter has n tokens, or until it is full if n is above its burst.
func timeUntil(l *rate.Limiter, at time.Time, n int) time.Duration {
	if l == nil {
		return 0
	}
	missing := float64(min(n, l.Burst())) - l.TokensAt(at)
	if missing <= 0 {
		return 0
	}
	return max(time.Duration(missing/float64(l.Limit())*float64(time.Second)), 1)
}

// consume takes n tokens. If n is above the burst the balance becomes negative, so that a large request is charged in
// full.
func consume(l *rate.Limiter, at time.Time, n int) {
	if l == nil {
		return
	}
	burst := l.Burst()
	l.SetBurstAt(at, max(burst, n))
	l.ReserveN(at, n)
	l.SetBurstAt(at, burst)
}

// limitExceeded builds the Refusal for a limit; unit is "requests" or "tokens".
func limitExceeded(unit string, wait time.Duration) *camphorhinge.Refusal {
	return &camphorhinge.Refusal{
		Kind: "limit", Message: "the workspace exceeds its limit of " + unit + " per second", RetryAfter: wait,
	}
}

// sweep removes buckets whose demand has been neither recorded nor decayed for sweepInterval. By then a bucket is full,
// as a new one is, unless a request far above its burst was charged.
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
