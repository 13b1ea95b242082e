package route

import (
	"time"

	"example.org/camphorhinge"
)

// targetState is a node's own bookkeeping of one target.
type targetState struct {
	name        camphorhinge.TargetName
	incarnation camphorhinge.Incarnation
	// slowStartedAt is the beginning of the slow start.
	slowStartedAt camphorhinge.Instant
	lastSeen      camphorhinge.Instant
	breaker       breaker
	// slowdown is the learned ratio of real to estimated durations, and measured the number of results in it.
	slowdown float64
	results  int
	// service is what was learned from all targets of the service.
	service     *serviceSlowdown
	inFlight    []*inFlight
	corrections loadCorrection
	cacheSeq    camphorhinge.Sequence
	prefixes    map[uint64]struct{}
	// cachedBlocks is the number of leading blocks cachedBlocks of the prompt of the pick numbered marked.
	cachedBlocks int
	markedPick   uint64
}

// serviceSlowdown is the learned ratio of real to estimated durations over all targets of a service.
type serviceSlowdown struct{ ratio float64 }

// effectiveSlowdown is the ratio to reckon with. A target of which little is known is taken to be as fast as its service's others, when
// those are faster than estimated: otherwise the first target that turns out faster would get all requests, and the others
// would never be measured. When the others are slower, the target keeps the estimate until it is measured itself.
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

// loadCorrection correct the load report that was taken at a time. They are kept up to date with each attempt that begins or ends:
// a busy target has thousands of flights between two reports, too many to look at for each request.
type loadCorrection struct {
	reportedAt camphorhinge.Instant
	// running, tokens and blocks are those of attempts that began after the report and still run.
	running int
	tokens  camphorhinge.Tokens
	blocks  camphorhinge.Blocks
	// ended, left and freed are those of attempts that the report has as running and that ended since.
	ended       int
	endedTokens float64
	freedBlocks camphorhinge.Blocks
}

// count adds a flight, or with a sign of -1 takes it away.
func (s *loadCorrection) count(f *inFlight, sign int) {
	switch {
	case f.sentAt > s.reportedAt && !f.ended:
		s.running += sign
		s.tokens += f.tokens * camphorhinge.Tokens(sign)
		s.blocks += f.blocks * camphorhinge.Blocks(sign)
	case f.sentAt <= s.reportedAt && f.ended && f.endedAt > s.reportedAt:
		// What was left of it when the report was taken, if it went on evenly.
		s.ended += sign
		s.endedTokens += float64(f.tokens) * float64(f.endedAt-s.reportedAt) / float64(f.endedAt-f.sentAt) * float64(sign)
		s.freedBlocks += f.blocks * camphorhinge.Blocks(sign)
	}
}

// loadEstimate is the estimated load of a target now.
type loadEstimate struct {
	running float64
	tokens  float64
	free    camphorhinge.Blocks
}

// currentLoad corrects the lagged report by what this node sent and saw end since the report was taken. What it sent counts
// for all nodes, since the others see the same report and choose alike.
func (t *targetState) currentLoad(load camphorhinge.Load, taken camphorhinge.Instant, nodes float64) loadEstimate {
	w := loadEstimate{running: float64(load.Running + load.Waiting), tokens: float64(load.Tokens), free: load.FreeBlocks}
	if taken != t.corrections.reportedAt {
		t.recount(taken)
	}
	w.running += float64(t.corrections.running)*nodes - float64(t.corrections.ended)
	w.tokens += float64(t.corrections.tokens)*nodes - t.corrections.endedTokens
	w.free += t.corrections.freedBlocks - camphorhinge.Blocks(float64(t.corrections.blocks)*nodes)
	w.running, w.tokens = max(0, w.running), max(0, w.tokens)
	return w
}

// recount drops the flights that a report taken at the given time knows to have ended, and sums up the others.
func (t *targetState) recount(taken camphorhinge.Instant) {
	t.corrections = loadCorrection{reportedAt: taken}
	keep := t.inFlight[:0]
	for _, f := range t.inFlight {
		if f.ended && f.endedAt <= taken {
			continue
		}
		keep = append(keep, f)
		t.corrections.count(f, 1)
	}
	clear(t.inFlight[len(keep):])
	t.inFlight = keep
}

// startAttempt notes a flight of the present incarnation.
func (t *targetState) startAttempt(f *inFlight) {
	f.incarnation = t.incarnation
	t.inFlight = append(t.inFlight, f)
	t.corrections.count(f, 1)
}

// endAttempt notes the endAttempt of a flight, which may be one of an earlier incarnation.
func (t *targetState) endAttempt(f *inFlight, now camphorhinge.Instant) {
	known := f.incarnation == t.incarnation
	if known {
		t.corrections.count(f, -1)
	}
	f.ended, f.endedAt = true, now
	if known {
		t.corrections.count(f, 1)
	}
}

// slowStartShare is the part of its full work that a target may get, by its slow start.
func (t *targetState) slowStartShare(now camphorhinge.Instant) float64 {
	return min(1, max(slowStartFloor, float64(now.Sub(t.slowStartedAt))/float64(slowStart)))
}

// estimate is the expected course of one request on one target.
type estimate struct {
	// ready is the time to the first token, decode the rest.
	ready, decode time.Duration
	perToken      time.Duration
	// wait is the part of ready before the prefill: for a place in the batch and for memory.
	wait time.Duration
	// load is the part of ready and decode that stems from other requests.
	load time.Duration
}

// estimateEngine estimates a request on an estimateEngine that holds the first held blocks of its prompt.
func (c *Config) estimateEngine(t *camphorhinge.Target, s *targetState, w loadEstimate, prompt, output camphorhinge.Tokens, held int) estimate {
	prefill := float64(max(1, prompt-camphorhinge.Tokens(held)*camphorhinge.BlockTokens)) / c.PrefillRate
	token := c.TokenTime.Seconds()
	switch t.Role {
	case camphorhinge.RoleDecode:
		prefill *= c.OffRoleFactor
	case camphorhinge.RolePrefill:
		token *= c.OffRoleFactor
	}
	wait := w.tokens / c.DrainRate
	if short := blocks(prompt+output) - w.free; t.Load.Blocks > 0 && short > 0 {
		// Memory comes free as other sequences end, block by block.
		wait += float64(short) * float64(camphorhinge.BlockTokens) / c.DrainRate
	}
	slower := token * c.BatchSlope * w.running
	token += slower
	return estimate{
		load:     seconds((wait + slower*float64(output)) * s.effectiveSlowdown()),
		wait:     seconds(wait * s.effectiveSlowdown()),
		ready:    seconds((wait + prefill) * s.effectiveSlowdown()),
		decode:   seconds(token * float64(output) * s.effectiveSlowdown()),
		perToken: seconds(token * s.effectiveSlowdown()),
	}
}

// estimatePlain estimates a request on a estimatePlain service.
func (c *Config) estimatePlain(s *targetState, w loadEstimate) estimate {
	one := c.ServiceTime.Seconds() * s.effectiveSlowdown()
	return estimate{ready: seconds(one * (1 + w.running)), load: seconds(one * w.running)}
}

func blocks(t camphorhinge.Tokens) camphorhinge.Blocks {
	return camphorhinge.Blocks((t + camphorhinge.BlockTokens - 1) / camphorhinge.BlockTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
