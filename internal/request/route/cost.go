package route

import (
	"time"

	"example.org/camphorhinge"
)

// targetState is a node's own state of one target.
type targetState struct {
	name        camphorhinge.TargetName
	incarnation camphorhinge.Incarnation
	// slowStartedAt is when the slow start began.
	slowStartedAt camphorhinge.Instant
	lastSeen      camphorhinge.Instant
	breaker       breaker
	// slowdown is the measured ratio of actual to estimated durations, results the number of measurements in it.
	slowdown float64
	results  int
	// service is the slowdown measured over all targets of the service.
	service     *serviceSlowdown
	inFlight    []*inFlight
	corrections loadCorrection
	cacheSeq    camphorhinge.Sequence
	prefixes    map[uint64]struct{}
	// cachedBlocks is the number of leading prompt blocks that the target has cached. It was set during the pick with
	// the number markedPick and is valid only for that one.
	cachedBlocks int
	markedPick   uint64
}

// serviceSlowdown is the measured ratio of actual to estimated durations over all targets of a service.
type serviceSlowdown struct{ ratio float64 }

// effectiveSlowdown returns the ratio by which estimates are scaled. A target with few results is assumed to be as fast
// as the others of its service when those are faster than estimated: otherwise the first target found to be faster
// would get all requests, and the others would never be measured. When the others are slower, the target keeps the
// initial estimate until it is measured itself.
func (t *targetState) effectiveSlowdown() float64 {
	n := float64(min(t.results, maxOwnResults))
	return (n*t.slowdown + priorResults*min(1, t.service.ratio)) / (n + priorResults)
}

// inFlight is one attempt of this node; it is kept until a load report is newer than its end.
type inFlight struct {
	incarnation     camphorhinge.Incarnation
	sentAt, endedAt camphorhinge.Instant
	ended           bool
	tokens          camphorhinge.Tokens
	blocks          camphorhinge.Blocks
}

// loadCorrection is the change of a target's load since the report taken at takenAt. It is updated whenever an
// attempt starts or ends: a busy target has thousands of attempts between two reports, too many to sum up for each
// request.
type loadCorrection struct {
	takenAt camphorhinge.Instant
	// running, tokens and blocks are those of attempts that started after the report and are still running.
	running int
	tokens  camphorhinge.Tokens
	blocks  camphorhinge.Blocks
	// ended, endedTokens and freedBlocks are those of attempts that the report counts as running and that have ended
	// since.
	ended       int
	endedTokens float64
	freedBlocks camphorhinge.Blocks
}

// count adds an attempt, or subtracts it with a sign of -1.
func (c *loadCorrection) count(f *inFlight, sign int) {
	switch {
	case f.sentAt > c.takenAt && !f.ended:
		c.running += sign
		c.tokens += f.tokens * camphorhinge.Tokens(sign)
		c.blocks += f.blocks * camphorhinge.Blocks(sign)
	case f.sentAt <= c.takenAt && f.ended && f.endedAt > c.takenAt:
		// The tokens that remained when the report was taken, assuming constant progress.
		c.ended += sign
		c.endedTokens += float64(f.tokens) * float64(f.endedAt-c.takenAt) / float64(f.endedAt-f.sentAt) * float64(sign)
		c.freedBlocks += f.blocks * camphorhinge.Blocks(sign)
	}
}

// loadEstimate is the estimated current load of a target.
type loadEstimate struct {
	running float64
	tokens  float64
	free    camphorhinge.Blocks
}

// currentLoad corrects a lagged report by the attempts that this node started or saw end since the report was taken.
// Started attempts are multiplied by the number of nodes, since the others see the same report and choose alike.
func (t *targetState) currentLoad(load camphorhinge.Load, takenAt camphorhinge.Instant, nodes float64) loadEstimate {
	est := loadEstimate{running: float64(load.Running + load.Waiting), tokens: float64(load.Tokens), free: load.FreeBlocks}
	if takenAt != t.corrections.takenAt {
		t.recount(takenAt)
	}
	est.running += float64(t.corrections.running)*nodes - float64(t.corrections.ended)
	est.tokens += float64(t.corrections.tokens)*nodes - t.corrections.endedTokens
	est.free += t.corrections.freedBlocks - camphorhinge.Blocks(float64(t.corrections.blocks)*nodes)
	est.running, est.tokens = max(0, est.running), max(0, est.tokens)
	return est
}

// recount drops the attempts that ended before the report taken at takenAt, and sums up the others.
func (t *targetState) recount(takenAt camphorhinge.Instant) {
	t.corrections = loadCorrection{takenAt: takenAt}
	keep := t.inFlight[:0]
	for _, f := range t.inFlight {
		if f.ended && f.endedAt <= takenAt {
			continue
		}
		keep = append(keep, f)
		t.corrections.count(f, 1)
	}
	clear(t.inFlight[len(keep):])
	t.inFlight = keep
}

// startAttempt records an attempt on the current incarnation.
func (t *targetState) startAttempt(f *inFlight) {
	f.incarnation = t.incarnation
	t.inFlight = append(t.inFlight, f)
	t.corrections.count(f, 1)
}

// endAttempt records the end of an attempt, which may have run on an earlier incarnation.
func (t *targetState) endAttempt(f *inFlight, now camphorhinge.Instant) {
	current := f.incarnation == t.incarnation
	if current {
		t.corrections.count(f, -1)
	}
	f.ended, f.endedAt = true, now
	if current {
		t.corrections.count(f, 1)
	}
}

// slowStartShare returns the share of its full work that a target may get at this point of its slow start.
func (t *targetState) slowStartShare(now camphorhinge.Instant) float64 {
	return min(1, max(slowStartFloor, float64(now.Sub(t.slowStartedAt))/float64(slowStart)))
}

// estimate is the expected timing of one request on one target.
type estimate struct {
	// firstToken is the time to the first token, decode the time from then to completion. For a plain service,
	// firstToken is the time to completion.
	firstToken, decode time.Duration
	// perToken is the time per output token, 0 for a plain service.
	perToken time.Duration
	// wait is the part of firstToken before the prefill: for a batch slot and for memory.
	wait time.Duration
	// loadDelay is the part of firstToken and decode that is caused by other requests.
	loadDelay time.Duration
}

// estimateEngine estimates a request on an engine that has the given number of leading prompt blocks cached.
func (c *Config) estimateEngine(t *camphorhinge.Target, s *targetState, load loadEstimate, prompt, output camphorhinge.Tokens, cached int) estimate {
	prefill := float64(max(1, prompt-camphorhinge.Tokens(cached)*camphorhinge.BlockTokens)) / c.PrefillRate
	token := c.TokenTime.Seconds()
	switch t.Role {
	case camphorhinge.RoleDecode:
		prefill *= c.OffRoleFactor
	case camphorhinge.RolePrefill:
		token *= c.OffRoleFactor
	}
	wait := load.tokens / c.DrainRate
	if missing := blocks(prompt+output) - load.free; t.Load.Blocks > 0 && missing > 0 {
		// Memory is freed block by block as other sequences end.
		wait += float64(missing) * float64(camphorhinge.BlockTokens) / c.DrainRate
	}
	batching := token * c.BatchSlope * load.running // the time that the other sequences add to each token
	token += batching
	return estimate{
		loadDelay:  seconds((wait + batching*float64(output)) * s.effectiveSlowdown()),
		wait:       seconds(wait * s.effectiveSlowdown()),
		firstToken: seconds((wait + prefill) * s.effectiveSlowdown()),
		decode:     seconds(token * float64(output) * s.effectiveSlowdown()),
		perToken:   seconds(token * s.effectiveSlowdown()),
	}
}

// estimatePlain estimates a request on a target of a plain service.
func (c *Config) estimatePlain(s *targetState, load loadEstimate) estimate {
	single := c.ServiceTime.Seconds() * s.effectiveSlowdown()
	return estimate{firstToken: seconds(single * (1 + load.running)), loadDelay: seconds(single * load.running)}
}

func blocks(t camphorhinge.Tokens) camphorhinge.Blocks {
	return camphorhinge.Blocks((t + camphorhinge.BlockTokens - 1) / camphorhinge.BlockTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
