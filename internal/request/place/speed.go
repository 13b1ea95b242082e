package place

import (
	"time"

	"example.org/camphorhinge"
)

const (
	// speedMemory is the number of observations after which an observation has lost most of its weight.
	speedMemory = 300
	// priorWeight is the number of observations that the initial rates count for.
	priorWeight = 24
	// The initial rates enter the estimates at these numbers of prompt tokens and of generated tokens.
	priorShortPrompt, priorLongPrompt = 200, 6000
	priorShortOutput, priorLongOutput = 2, 100
	// maxOutlier bounds an observation relative to the estimate, so that a few slow engines don't hide the speed of the
	// others.
	maxOutlier = 3.0
	// minSizeSpread is the least variance of prompt sizes, relative to the square of their mean, at which the overhead
	// and the time per token can be told apart.
	minSizeSpread = 0.02
	// maxOverheadFactor bounds the overhead relative to the initial one: when nodes are late, their delays must not count
	// as time that every prefill takes.
	maxOverheadFactor = 4.0
	// maxSpeedup and maxSlowing bound the time per token relative to the initial rates.
	maxSpeedup, maxSlowing = 50.0, 10.0
)

// work is a kind of work of engines.
type work int

const (
	// prefillWork is a prefill in the prefill or mixed role, and decodeRolePrefillWork one in the decode role.
	prefillWork work = iota
	decodeRolePrefillWork
	// decodeWork is the generation of tokens after the first event.
	decodeWork
)

// speedKey selects the work that shares a speed.
type speedKey struct {
	service camphorhinge.ServiceName
	work    work
}

// speed estimates the time of one kind of work on a service's engines, by a linear regression over recent work: an
// overhead plus a time per token.
type speed struct {
	// overhead is in milliseconds, perToken in milliseconds per token.
	overhead, perToken float64
	// initialOverhead and initialPerToken come from the configured rates.
	initialOverhead, initialPerToken float64
	// Weighted sums over the observations; x is the number of tokens and y the time in milliseconds.
	n, x, y, xx, xy float64
	// short and long are the sizes at which initial rates enter; observedLong is the number of observations above short.
	short, long  float64
	observedLong int
}

// newSpeed returns an estimate from initial rates, which count like observations at the two sizes.
func newSpeed(perToken float64, overhead time.Duration, short, long float64) *speed {
	s := &speed{initialOverhead: milliseconds(overhead), initialPerToken: perToken, short: short, long: long}
	s.setPrior(perToken, s.initialOverhead)
	return s
}

// setPrior replaces all observations by an estimate.
func (s *speed) setPrior(perToken, overhead float64) {
	s.perToken, s.overhead = perToken, overhead
	s.n, s.x, s.y, s.xx, s.xy = 0, 0, 0, 0, 0
	for _, tokens := range []float64{s.short, s.long} {
		s.add(tokens, s.estimate(tokens), priorWeight/2)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// estimate returns the expected time of work on a number of tokens, in milliseconds.
func (s *speed) estimate(tokens float64) float64 { return s.overhead + s.perToken*tokens }

func (s *speed) add(x, y, weight float64) {
	s.n += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
}

// observe updates the estimate by a measured time.
func (s *speed) observe(tokens float64, took time.Duration) {
	if tokens > s.short {
		s.observedLong++
	}
	const keep = 1 - 1.0/speedMemory
	for _, sum := range []*float64{&s.n, &s.x, &s.y, &s.xx, &s.xy} {
		*sum *= keep
	}
	s.add(tokens, min(max(milliseconds(took), 0), maxOutlier*s.estimate(tokens)), 1)

	meanX, meanY := s.x/s.n, s.y/s.n
	variance, covariance := s.xx/s.n-meanX*meanX, s.xy/s.n-meanX*meanY
	perToken := (meanY - s.initialOverhead) / max(meanX, 1)
	// Without an overhead, the line goes through the mean: else the initial rates at two far sizes would hide for hundreds of
	// observations that all answers of one size take longer.
	if s.initialOverhead > 0 && variance > minSizeSpread*meanX*meanX && covariance > 0 {
		perToken = covariance / variance
	}
	s.perToken = min(max(perToken, s.initialPerToken/maxSpeedup), s.initialPerToken*maxSlowing)
	s.overhead = min(max(meanY-s.perToken*meanX, 0), maxOverheadFactor*s.initialOverhead)
}

// speedOf returns the speed of a kind of work on a service's engines.
func (p *Placer) speedOf(service camphorhinge.ServiceName, w work) *speed {
	key := speedKey{service, w}
	s := p.speeds[key]
	if s == nil {
		switch w {
		case prefillWork:
			s = newSpeed(1/p.cfg.Rates.Prefill, p.cfg.Rates.Step, priorShortPrompt, priorLongPrompt)
		case decodeRolePrefillWork:
			s = newSpeed(1/p.cfg.Rates.Decode, p.cfg.Rates.Step, priorShortPrompt, priorLongPrompt)
		case decodeWork:
			s = newSpeed(milliseconds(p.cfg.Rates.Step), 0, priorShortOutput, priorLongOutput)
		}
		p.speeds[key] = s
	}
	return s
}

// prefillSpeeds returns the prefill speeds of a service's engines in the prefill and in the decode role. Until enough prefills
// in the decode role were measured, its speed is derived from the other one.
func (p *Placer) prefillSpeeds(service camphorhinge.ServiceName) (prefill, decodeRole *speed) {
	prefill, decodeRole = p.speedOf(service, prefillWork), p.speedOf(service, decodeRolePrefillWork)
	if decodeRole.observedLong < priorWeight {
		decodeRole.setPrior(p.cfg.Rates.Prefill/p.cfg.Rates.Decode*prefill.perToken, prefill.overhead)
	}
	return prefill, decodeRole
}

// prefillSpeedOf returns the prefill speed of a target's service in its role.
func (p *Placer) prefillSpeedOf(t *camphorhinge.Target) *speed {
	prefill, decodeRole := p.prefillSpeeds(t.Service)
	if t.Role == camphorhinge.RoleDecode {
		return decodeRole
	}
	return prefill
}

// PrefillTime returns the expected time in which an engine of the prefill role prefills n tokens.
func (p *Placer) PrefillTime(service camphorhinge.ServiceName, n camphorhinge.Tokens) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.speedOf(service, prefillWork).perToken * float64(n) * float64(time.Millisecond))
}

// Speeds are the estimated speeds of a service's engines, for logs: overheads in milliseconds and times in milliseconds
// per token of a prefill in the prefill role, of one in the decode role and of the generation. Full is the number of
// engines without a free slot and Backlogged that of engines with too much prefill ahead, of PrefillEngines and of
// OtherRoles, which are all other engines.
type Speeds struct {
	PrefillOverhead, PrefillPerToken             float64
	DecodeRoleOverhead, DecodeRolePerToken       float64
	DecodeOverhead, DecodePerToken               float64
	Full, Backlogged, PrefillEngines, OtherRoles int
}

// Free returns the number of engines that can start another request.
func (s Speeds) Free() int {
	if s.Full >= s.OtherRoles {
		return 0
	}
	return max(s.PrefillEngines+s.OtherRoles-s.Full-s.Backlogged, 0)
}

// Speeds returns the current estimates for a service, and how many of its live engines have no free slot or memory or
// too much work ahead to be sent more.
func (p *Placer) Speeds(now camphorhinge.Instant, service camphorhinge.ServiceName, live []*camphorhinge.Target) Speeds {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefill, other, decode := p.speedOf(service, prefillWork), p.speedOf(service, decodeRolePrefillWork), p.speedOf(service, decodeWork)
	out := Speeds{
		PrefillOverhead: prefill.overhead, PrefillPerToken: prefill.perToken,
		DecodeRoleOverhead: other.overhead, DecodeRolePerToken: other.perToken,
		DecodeOverhead: decode.overhead, DecodePerToken: decode.perToken,
	}
	for _, t := range live {
		s := p.stateOf(now, t)
		if s.backlog(now) > maxEngineBacklog {
			out.Backlogged++
		}
		if t.Role == camphorhinge.RolePrefill {
			out.PrefillEngines++
			continue
		}
		out.OtherRoles++
		if t.Slots > 0 && float64(s.occupied(now)) >= fullShare*float64(t.Slots) || s.awaited >= t.Slots {
			out.Full++
		}
	}
	return out
}
