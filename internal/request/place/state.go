package place

import (
	"math"
	"time"

	"example.org/camphorhinge"
)

const (
	// loadHalfLife is the time in which a target's word on its load loses half of its weight; requests last some hundred
	// milliseconds.
	loadHalfLife = 300 * time.Millisecond
	// firstPause is how long a target is left alone after it could not be reached; each further failure doubles it, up to
	// longestPause.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// refusedPause is how long a target is left alone after it refused a request.
	refusedPause = 300 * time.Millisecond
	// failureWeight is the weight of the last attempt in a target's share of failures.
	failureWeight = 0.12
	// failureHalfLife is the time in which the share of failures of an unused target halves.
	failureHalfLife = 3 * time.Second
	// suspectShare is the share of failures from which a target gets only trial requests.
	suspectShare = 0.3
	// trialEvery is the time between two trial requests to a suspect target.
	trialEvery = 500 * time.Millisecond
	// paceWeight is the weight of the last first event in a target's pace.
	paceWeight = 0.15
	// slowestPace and fastestPace bound a target's pace.
	slowestPace, fastestPace = 8.0, 0.75
	// leastRead is the least time that a prompt which is being read is taken to need still.
	leastRead = 10 * time.Millisecond
	// cacheShare is the part, in percent, of an engine's memory that is taken to hold prompt parts; running requests hold
	// what they generate besides.
	cacheShare = 97
)

// state is what a node knows of one target in one incarnation.
type state struct {
	incarnation camphorhinge.Incarnation
	address     string
	// running is the number of attempts under way, reading that of those whose prompt is not read yet, and held their
	// tokens in memory.
	running int
	reading int
	held    camphorhinge.Tokens
	// free is when all prompts are expected to be read.
	free camphorhinge.Instant

	load   Load
	loadAt camphorhinge.Instant
	// mine is the number of own attempts when the load was stated.
	mine    int
	hasLoad bool

	// failures is the number of attempts in a row that did not reach the target.
	failures int
	// until is the end of a pause.
	until camphorhinge.Instant
	// share is the moving share of failed attempts, as it was at ended.
	share float64
	ended camphorhinge.Instant
	trial camphorhinge.Instant
	// pace is the measured time to the first event, in units of the estimated one.
	pace float64

	cache cache
}

// others estimates the number of requests of other nodes at the target.
func (s *state) others(now camphorhinge.Instant) float64 {
	if !s.hasLoad {
		return 0
	}
	n := float64(s.load.Running + s.load.Waiting - s.mine)
	age := max(now.Sub(s.loadAt), 0)
	return max(n, 0) * math.Exp2(-float64(age)/float64(loadHalfLife))
}

// backlog returns the time until the prompts that are waiting now are expected to be read.
func (s *state) backlog(now camphorhinge.Instant) time.Duration {
	if s.reading == 0 {
		return 0
	}
	return max(s.free.Sub(now), time.Duration(s.reading)*leastRead)
}

// begin notes an attempt whose prompt takes some time to read, and returns when it is expected to be read.
func (s *state) begin(now camphorhinge.Instant, read time.Duration) camphorhinge.Instant {
	s.free = now.Add(s.backlog(now) + read)
	s.reading++
	return s.free
}

// finish notes that a prompt which was expected to be read at due has been read. The prompts behind it follow as much
// sooner or later.
func (s *state) finish(now, due camphorhinge.Instant) {
	s.reading--
	s.free = s.free.Add(now.Sub(due))
}

// cancel notes that a prompt won't be read any further; read is the time that it takes as a whole.
func (s *state) cancel(now, due camphorhinge.Instant, read time.Duration) {
	s.reading--
	s.free = s.free.Add(-min(max(due.Sub(now), 0), read))
}

// open reports whether the target may get a request now.
func (s *state) open(now camphorhinge.Instant) bool {
	if now < s.until {
		return false
	}
	return s.failing(now) < suspectShare || now.Sub(s.trial) >= trialEvery
}

// failing returns the share of failed attempts, which loses its weight with time: a target that gets no requests could not
// show otherwise that it serves again.
func (s *state) failing(now camphorhinge.Instant) float64 {
	if s.share == 0 {
		return 0
	}
	return s.share * math.Exp2(-float64(now.Sub(s.ended))/float64(failureHalfLife))
}

// end takes the outcome of an attempt.
func (s *state) end(now camphorhinge.Instant, o Outcome) {
	switch o {
	case Abandoned:
		return
	case Unreachable, Silent:
		pause := min(firstPause<<min(s.failures, 8), longestPause)
		s.failures++
		s.until = now.Add(pause)
	case Foreign:
		s.until = now.Add(longestPause)
	case Refused:
		// It is full, or changes its role.
		s.until = now.Add(refusedPause)
	case Served, Errored, Broken:
		s.failures, s.until = 0, 0
	}
	s.share, s.ended = s.failing(now), now
	failed := 0.0
	if o != Served && o != Refused {
		failed = 1
	}
	if o != Refused {
		s.share += failureWeight * (failed - s.share)
	}
}

// measure takes a measured time to the first event and the estimated one.
func (s *state) measure(measured, estimated time.Duration) {
	if estimated <= 0 {
		return
	}
	ratio := min(max(float64(measured)/float64(estimated), fastestPace), slowestPace)
	s.pace += paceWeight * (ratio - s.pace)
}

// cache holds the prompt parts that an engine is believed to hold, the least recently used ones first out.
type cache struct {
	parts  map[uint64]cached
	tokens camphorhinge.Tokens
}

type cached struct {
	tokens camphorhinge.Tokens
	used   camphorhinge.Instant
	// flight is the attempt that is to bring the part; nil once the engine holds it.
	flight *Flight
	// own is true for a part that belongs to one request or session alone.
	own bool
}

// memoryBlock is the number of tokens by which engines divide their memory; the rest of a part in its last block may not be
// kept.
const memoryBlock = 16

// whole reports whether the engine holds all of a part but what does not fill a block.
func (x *cached) whole(p Part) bool { return x.tokens+memoryBlock > p.Tokens }

// add notes that f brings the parts that the engine lacks; the last of the parts is the request's own.
func (c *cache) add(now camphorhinge.Instant, f *Flight, memory camphorhinge.Tokens) {
	if c.parts == nil {
		c.parts = map[uint64]cached{}
	}
	for i, p := range f.parts {
		by := f
		if old, ok := c.parts[p.Hash]; ok {
			c.tokens -= old.tokens
			if old.flight != nil || old.whole(p) {
				by = old.flight
			}
		}
		c.parts[p.Hash] = cached{tokens: p.Tokens, used: now, flight: by, own: i == len(f.parts)-1}
		c.tokens += p.Tokens
	}
	c.yield(memory, len(f.parts))
}

// learn notes that the engine holds a part, as another node says.
func (c *cache) learn(p Part, used camphorhinge.Instant) {
	if c.parts == nil {
		c.parts = map[uint64]cached{}
	}
	if old, ok := c.parts[p.Hash]; ok {
		old.used, old.flight = max(old.used, used), nil
		c.parts[p.Hash] = old
		return
	}
	c.parts[p.Hash] = cached{tokens: p.Tokens, used: used}
	c.tokens += p.Tokens
}

// resize notes how many tokens of a part the engine holds.
func (c *cache) resize(hash uint64, n camphorhinge.Tokens) {
	x := c.parts[hash]
	c.tokens += n - x.tokens
	x.tokens = n
	c.parts[hash] = x
	if n <= 0 {
		delete(c.parts, hash)
	}
}

// yield forgets the parts that were not used for longest until the rest fits into memory; it keeps at least some.
func (c *cache) yield(memory camphorhinge.Tokens, least int) {
	for limit := max(memory, 0) * cacheShare / 100; c.tokens > limit && len(c.parts) > least; {
		var oldest uint64
		first := true
		for hash, x := range c.parts {
			if first || x.used < c.parts[oldest].used {
				oldest, first = hash, false
			}
		}
		c.tokens -= c.parts[oldest].tokens
		delete(c.parts, oldest)
	}
}

// read notes that the engine holds the parts of f. Those that another flight was to bring and did not are added again.
func (c *cache) read(now camphorhinge.Instant, f *Flight) {
	for i, p := range f.parts {
		x, ok := c.parts[p.Hash]
		if !ok {
			x = cached{tokens: p.Tokens, used: now, own: i == len(f.parts)-1}
			c.tokens += p.Tokens
		}
		x.flight = nil
		c.parts[p.Hash] = x
	}
}

// drop forgets the parts that f was to bring and did not.
func (c *cache) drop(f *Flight) {
	for _, p := range f.parts {
		if x, ok := c.parts[p.Hash]; ok && x.flight == f {
			c.tokens -= x.tokens
			delete(c.parts, p.Hash)
		}
	}
}

// ready returns the tokens of the leading parts that the engine holds already.
func (c *cache) ready(parts []Part) camphorhinge.Tokens {
	var n camphorhinge.Tokens
	for _, p := range parts {
		x, ok := c.parts[p.Hash]
		if !ok || x.flight != nil {
			break
		}
		if !x.whole(p) {
			n += x.tokens
			break
		}
		n += p.Tokens
	}
	return n
}

// leading returns the tokens of the leading parts that the engine holds, or will hold once it has read what it has to.
func (c *cache) leading(parts []Part) camphorhinge.Tokens {
	var n camphorhinge.Tokens
	for _, p := range parts {
		x, ok := c.parts[p.Hash]
		if !ok {
			break
		}
		if !x.whole(p) {
			n += x.tokens
			break
		}
		n += p.Tokens
	}
	return n
}
