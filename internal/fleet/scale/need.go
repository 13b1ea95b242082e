package scale

import (
	"math"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/balance"
)

const (
	// peakWindow is the time whose highest load counts, so that the number of engines follows neither waves of about 11 s nor kinds of
	// requests that take turns. An engine that is missing makes callers late, while one that is not needed costs little.
	peakWindow = 30 * time.Second
	// cacheFillTime is the time after the first request in which many prompts are prefilled in full, as the caches are empty, and
	// fillWindow the time for which the load of that time counts.
	cacheFillTime = 10 * time.Second
	fillWindow    = 6 * time.Second
	// prefillUtilization and decodeUtilization are the shares of the engines that the load may keep busy. Prompts wait for each other at an
	// engine, so that prefill needs more room than decode, which runs in batches.
	prefillUtilization = 0.5
	decodeUtilization  = 0.6
	// burstFactor is the growth of one kind of request that the engines must carry until those ordered then have booted, and
	// burstUtilization the share of the engines that such a burst may keep busy.
	burstFactor      = 1.9
	burstUtilization = 0.7
	// minEngines is the least number of engines of a service: two that decode, so that one may fail, and one that prefills.
	minEngines = 3
	// needDeadband is the share by which the need must change before the planned number follows.
	needDeadband = 0.04
)

// Need is the number of engines that a load needs.
type Need struct {
	// Base carries the load, Burst also a burst of one kind of request.
	Base, Burst int
}

// needOf returns the need of a load. Which kinds of requests make up the load is not known; one that is all of the larger of both parts
// is the worst case.
func needOf(load balance.Load, slots int) Need {
	decode := load.DecodeEngines(slots)
	base := load.Prefilling/prefillUtilization + decode/decodeUtilization
	burst := (load.Prefilling + decode + (burstFactor-1)*max(load.Prefilling, decode)) / burstUtilization
	n := Need{Base: max(int(math.Ceil(base)), minEngines)}
	n.Burst = max(int(math.Ceil(burst)), n.Base)
	return n
}

// peaks holds the load of the last peakWindow.
type peaks struct{ samples []sample }

type sample struct {
	at   camphorhinge.Instant
	load balance.Load
}

// add records a load and returns the highest of each figure. Kinds of requests that alternate need the engines of both, since engines
// don't change their role that often.
func (p *peaks) add(now camphorhinge.Instant, load balance.Load) balance.Load {
	kept := p.samples[:0]
	for _, s := range p.samples {
		if age := now.Sub(s.at); age <= fillWindow || age <= peakWindow && s.load.Age >= cacheFillTime {
			kept = append(kept, s)
		}
	}
	p.samples = append(kept, sample{now, load})
	out := load
	for _, s := range p.samples {
		out.Running = max(out.Running, s.load.Running)
		out.Prefilling = max(out.Prefilling, s.load.Prefilling)
		out.Transferring = max(out.Transferring, s.load.Transferring)
	}
	return out
}

// follow returns the planned need after a new one was found: the planned one unless they differ by more than needDeadband. A higher need
// is exceeded a little, so that a load that grows slowly leads to few orders.
func (n Need) follow(found Need) Need {
	return Need{Base: followOne(n.Base, found.Base), Burst: followOne(n.Burst, found.Burst)}
}

func followOne(planned, found int) int {
	switch {
	case planned == 0:
		return found
	case found > planned:
		return int(math.Ceil(float64(found) * (1 + needDeadband/2)))
	case float64(found) < float64(planned)*(1-needDeadband):
		return found
	}
	return planned
}
