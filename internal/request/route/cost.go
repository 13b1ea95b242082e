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
	// speed is the learned ratio of real to estimated durations.
	speed    float64
	flights  []*flight
	cacheSeq camphorhinge.Sequence
	prefixes map[uint64]struct{}
	// held is the number of leading blocks held of the prompt of the pick numbered marked.
	held   int
	marked uint64
}

// flight is one attempt of this node; it is kept until a load report is newer than its end.
type flight struct {
	sent, done camphorhinge.Instant
	ended      bool
	tokens     camphorhinge.Tokens
	blocks     camphorhinge.Blocks
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
	keep := t.flights[:0]
	for _, f := range t.flights {
		if f.ended && f.done <= taken {
			continue // the report knows it
		}
		keep = append(keep, f)
		switch {
		case f.sent > taken && !f.ended:
			w.running += nodes
			w.tokens += float64(f.tokens) * nodes
			w.free -= camphorhinge.Blocks(float64(f.blocks) * nodes)
		case f.sent <= taken && f.ended:
			// What was left of it when the report was taken, if it went on evenly.
			w.running--
			w.tokens -= float64(f.tokens) * float64(f.done-taken) / float64(f.done-f.sent)
			w.free += f.blocks
		}
	}
	clear(t.flights[len(keep):])
	t.flights = keep
	w.running, w.tokens = max(0, w.running), max(0, w.tokens)
	return w
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
		load:     seconds((wait + slower*float64(output)) * s.speed),
		ready:    seconds((wait + prefill) * s.speed),
		decode:   seconds(token * float64(output) * s.speed),
		perToken: seconds(token * s.speed),
	}
}

// plain estimates a request on a plain service.
func (c *Config) plain(s *targetState, w work) estimate {
	one := c.ServiceTime.Seconds() * s.speed
	return estimate{ready: seconds(one * (1 + w.running)), load: seconds(one * w.running)}
}

func blocks(t camphorhinge.Tokens) camphorhinge.Blocks {
	return camphorhinge.Blocks((t + camphorhinge.BlockTokens - 1) / camphorhinge.BlockTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
