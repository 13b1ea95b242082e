package route

import (
	"time"

	"example.org/camphorhinge"
)

// targetState is a node's own bookkeeping of one target.
type targetState struct {
	name        camphorhinge.TargetName
	incarnation camphorhinge.Incarnation
	// since is the beginning of the slow start.
	since   camphorhinge.Instant
	seen    camphorhinge.Instant
	breaker breaker
	// speed is the learned ratio of real to estimated durations, and measured the number of results in it.
	speed    float64
	measured int
	// service is what was learned from all targets of the service.
	service  *serviceSpeed
	flights  []*flight
	sums     sums
	cacheSeq camphorhinge.Sequence
	prefixes map[uint64]struct{}
	// held is the number of leading blocks held of the prompt of the pick numbered marked.
	held   int
	marked uint64
}

// serviceSpeed is the learned ratio of real to estimated durations over all targets of a service.
type serviceSpeed struct{ ratio float64 }

// rate is the ratio to reckon with. A target of which little is known is taken to be as fast as its service's others, when
// those are faster than estimated: otherwise the first target that turns out faster would get all requests, and the others
// would never be measured. When the others are slower, the target keeps the estimate until it is measured itself.
func (t *targetState) rate() float64 {
	n := float64(min(t.measured, speedCertain))
	return (n*t.speed + speedPrior*min(1, t.service.ratio)) / (n + speedPrior)
}

// flight is one attempt of this node; it is kept until a load report is newer than its end.
type flight struct {
	incarnation camphorhinge.Incarnation
	sent, done  camphorhinge.Instant
	ended       bool
	tokens      camphorhinge.Tokens
	blocks      camphorhinge.Blocks
}

// sums correct the load report that was taken at a time. They are kept up to date with each attempt that begins or ends:
// a busy target has thousands of flights between two reports, too many to look at for each request.
type sums struct {
	taken camphorhinge.Instant
	// running, tokens and blocks are those of attempts that began after the report and still run.
	running int
	tokens  camphorhinge.Tokens
	blocks  camphorhinge.Blocks
	// ended, left and freed are those of attempts that the report has as running and that ended since.
	ended int
	left  float64
	freed camphorhinge.Blocks
}

// count adds a flight, or with a sign of -1 takes it away.
func (s *sums) count(f *flight, sign int) {
	switch {
	case f.sent > s.taken && !f.ended:
		s.running += sign
		s.tokens += f.tokens * camphorhinge.Tokens(sign)
		s.blocks += f.blocks * camphorhinge.Blocks(sign)
	case f.sent <= s.taken && f.ended && f.done > s.taken:
		// What was left of it when the report was taken, if it went on evenly.
		s.ended += sign
		s.left += float64(f.tokens) * float64(f.done-s.taken) / float64(f.done-f.sent) * float64(sign)
		s.freed += f.blocks * camphorhinge.Blocks(sign)
	}
}

// work is the estimated load of a target now.
type work struct {
	running float64
	tokens  float64
	free    camphorhinge.Blocks
}

// work corrects the lagged report by what this node sent and saw end since the report was taken. What it sent counts
// for all nodes, since the others see the same report and choose alike.
func (t *targetState) work(load camphorhinge.Load, taken camphorhinge.Instant, nodes float64) work {
	w := work{running: float64(load.Running + load.Waiting), tokens: float64(load.Tokens), free: load.FreeBlocks}
	if taken != t.sums.taken {
		t.recount(taken)
	}
	w.running += float64(t.sums.running)*nodes - float64(t.sums.ended)
	w.tokens += float64(t.sums.tokens)*nodes - t.sums.left
	w.free += t.sums.freed - camphorhinge.Blocks(float64(t.sums.blocks)*nodes)
	w.running, w.tokens = max(0, w.running), max(0, w.tokens)
	return w
}

// recount drops the flights that a report taken at the given time knows to have ended, and sums up the others.
func (t *targetState) recount(taken camphorhinge.Instant) {
	t.sums = sums{taken: taken}
	keep := t.flights[:0]
	for _, f := range t.flights {
		if f.ended && f.done <= taken {
			continue
		}
		keep = append(keep, f)
		t.sums.count(f, 1)
	}
	clear(t.flights[len(keep):])
	t.flights = keep
}

// begin notes a flight of the present incarnation.
func (t *targetState) begin(f *flight) {
	f.incarnation = t.incarnation
	t.flights = append(t.flights, f)
	t.sums.count(f, 1)
}

// end notes the end of a flight, which may be one of an earlier incarnation.
func (t *targetState) end(f *flight, now camphorhinge.Instant) {
	known := f.incarnation == t.incarnation
	if known {
		t.sums.count(f, -1)
	}
	f.ended, f.done = true, now
	if known {
		t.sums.count(f, 1)
	}
}

// share is the part of its full work that a target may get, by its slow start.
func (t *targetState) share(now camphorhinge.Instant) float64 {
	return min(1, max(slowStartFloor, float64(now.Sub(t.since))/float64(slowStart)))
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

// engine estimates a request on an engine that holds the first held blocks of its prompt.
func (c *Config) engine(t *camphorhinge.Target, s *targetState, w work, prompt, output camphorhinge.Tokens, held int) estimate {
	prefill := float64(max(1, prompt-camphorhinge.Tokens(held)*camphorhinge.BlockTokens)) / c.PrefillRate
	token := c.TokenTime.Seconds()
	switch t.Role {
	case camphorhinge.RoleDecode:
		prefill *= c.OffRole
	case camphorhinge.RolePrefill:
		token *= c.OffRole
	}
	wait := w.tokens / c.DrainRate
	if short := blocks(prompt+output) - w.free; t.Load.Blocks > 0 && short > 0 {
		// Memory comes free as other sequences end, block by block.
		wait += float64(short) * float64(camphorhinge.BlockTokens) / c.DrainRate
	}
	slower := token * c.BatchSlope * w.running
	token += slower
	return estimate{
		load:     seconds((wait + slower*float64(output)) * s.rate()),
		wait:     seconds(wait * s.rate()),
		ready:    seconds((wait + prefill) * s.rate()),
		decode:   seconds(token * float64(output) * s.rate()),
		perToken: seconds(token * s.rate()),
	}
}

// plain estimates a request on a plain service.
func (c *Config) plain(s *targetState, w work) estimate {
	one := c.ServiceTime.Seconds() * s.rate()
	return estimate{ready: seconds(one * (1 + w.running)), load: seconds(one * w.running)}
}

func blocks(t camphorhinge.Tokens) camphorhinge.Blocks {
	return camphorhinge.Blocks((t + camphorhinge.BlockTokens - 1) / camphorhinge.BlockTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
