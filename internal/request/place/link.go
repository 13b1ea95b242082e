package place

import (
	"time"

	"example.org/camphorhinge"
)

// linkBacklog returns how long a transfer over an engine's link that is ready after the given time has to wait for the transfers ahead.
// An engine transfers KV caches one after the other.
func (s *targetState) linkBacklog(now camphorhinge.Instant, ready time.Duration) time.Duration {
	return max(s.linkFreeAt.Sub(now)-ready, 0)
}

// reserveLink records a transfer over the link.
func (s *targetState) reserveLink(now camphorhinge.Instant, d time.Duration) {
	s.linkFreeAt = max(s.linkFreeAt, now).Add(d)
}

// transfer is one of shared segments from an engine: the time for which it waits for the links at both ends, and its duration.
type transfer struct {
	engine         *camphorhinge.Target
	wait, transfer time.Duration
}

// bestTransfer returns the transfer of n tokens from one of the engines that is complete first; its engine is nil without engines.
func (p *Placer) bestTransfer(c *planInput, engines []candidate, n camphorhinge.Tokens, to candidate) transfer {
	var best transfer
	own := to.state.linkBacklog(c.now, 0)
	for _, from := range engines {
		if from.Target == to.Target {
			continue
		}
		x := transfer{from.Target, max(own, from.state.linkBacklog(c.now, 0)), transferTime(n, c.req.Engine, from.Target, to.Target)}
		if best.engine == nil || x.wait+x.transfer < best.wait+best.transfer {
			best = x
		}
	}
	return best
}

// reserveTransfers records the transfers of a plan at both ends of each. The caller holds the lock.
func (p *Placer) reserveTransfers(now camphorhinge.Instant, plan *Plan) {
	reserve := func(from, to *camphorhinge.Target, d time.Duration) {
		for _, t := range []*camphorhinge.Target{from, to} {
			p.stateOf(now, t).reserveLink(now, d)
		}
	}
	if plan.Fetch != nil && plan.fetchTime > 0 {
		to := plan.Serve
		if plan.Prefill != nil {
			to = plan.Prefill
		}
		reserve(plan.Fetch, to, plan.fetchTime)
	}
	if plan.Prefill != nil && plan.handoverTime > 0 {
		reserve(plan.Prefill, plan.Serve, plan.handoverTime)
	}
}
