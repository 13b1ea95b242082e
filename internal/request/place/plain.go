package place

import (
	"time"

	"example.org/camphorhinge"
)

const (
	// otherZoneCost is the number of requests by which a plain service's target in another zone must be less busy to be
	// chosen.
	otherZoneCost = 0.4
	// failureCost is the number of requests for which the failure share of a target counts.
	failureCost = 4
	// plainJitter is the most by which two equal targets seem to differ, in requests.
	plainJitter = 0.1
	// defaultPlainLatency is the assumed latency of a plain service before the first measurement.
	defaultPlainLatency = 20 * time.Millisecond
	// plainLatencyWeight is the weight of the last answer in the moving average of a plain service's latency.
	plainLatencyWeight = 0.05
)

// plainSlots returns the number of requests that a target runs at once, as announced or else as reported, and 1 if neither tells.
func plainSlots(t candidate) float64 {
	if t.Slots > 0 {
		return float64(t.Slots)
	}
	return float64(max(t.state.load.Slots, 1))
}

// plainTime returns the expected time of a further request to a plain service's target, relative to the time at an idle
// target of usual slowness: requests wait only while all slots are taken.
func (p *Placer) plainTime(now camphorhinge.Instant, t candidate) float64 {
	ahead, slots := float64(t.state.running)+p.otherNodesRequests(t.state, now), plainSlots(t)
	return t.state.slowness.at(now) * (1 + max(ahead+1-slots, 0)/slots)
}

// bestPlainPlan returns a plan with the target of the least expected completion, with some preference for the node's own zone.
//
// The choice takes each request ahead to delay a further one, also while slots are free: other nodes decide at the same time by
// reports as late as this node's, and would all choose the fastest target until its slots are taken.
func (p *Placer) bestPlainPlan(now camphorhinge.Instant, targets []candidate, req *Request) Plan {
	var best candidate
	var least float64
	for _, t := range targets {
		s := t.state
		ahead := float64(s.running) + p.otherNodesRequests(s, now) + p.random.Float64()*plainJitter + failureCost*s.currentFailureShare(now)
		if t.Zone != p.cfg.Zone {
			ahead += otherZoneCost
		}
		if cost := (ahead/plainSlots(t) + 1) * s.slowness.at(now); best.Target == nil || cost < least {
			best, least = t, cost
		}
	}
	mean := p.plainLatencyOf(req.Service)
	reason := "least expected completion"
	return Plan{Serve: best.Target, Expected: time.Duration(float64(mean) * p.plainTime(now, best)), Reason: reason}
}

// plainLatencyOf returns the mean latency of a plain service at an idle target of usual slowness.
func (p *Placer) plainLatencyOf(service camphorhinge.ServiceName) time.Duration {
	if mean := p.plainLatency[service]; mean > 0 {
		return mean
	}
	return defaultPlainLatency
}

// recordPlainLatency records the latency of a request whose time was expected to be the given multiple of that at an idle target.
func (p *Placer) recordPlainLatency(service camphorhinge.ServiceName, took time.Duration, multiple float64) {
	mean := p.plainLatencyOf(service)
	p.plainLatency[service] = mean + time.Duration(plainLatencyWeight*(float64(took)/multiple-float64(mean)))
}
