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
	// initialBackoff is how long a target is left alone after it could not be reached; each further failure doubles it, up to
	// longestPause.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// refusalBackoff is how long a target is left alone after it refused a request.
	refusalBackoff = 300 * time.Millisecond
	// failureWeight is the weight of the last attempt in a target's share of failures.
	failureWeight = 0.12
	// failureHalfLife is the time in which the share of failures of an unused target halves.
	failureHalfLife = 3 * time.Second
	// suspectShare is the share of failures from which a target gets only trial requests.
	suspectShare = 0.3
	// trialInterval is the time between two trial requests to a suspect target.
	trialInterval = 500 * time.Millisecond
	// slowdownWeight is the weight of the last first event in a target's pace.
	slowdownWeight = 0.15
	// maxSlowdown and minSlowdown bound a target's pace.
	maxSlowdown, minSlowdown = 8.0, 0.75
	// minPrefillRemaining is the least time that a prompt which is being read is taken to need still.
	minPrefillRemaining = 10 * time.Millisecond
	// cachePercent is the part, in percent, of an engine's memory that is taken to hold prompt parts; running requests hold
	// what they generate besides.
	cachePercent = 97
)

// targetState is what a node knows of one target in one incarnation.
type targetState struct {
	incarnation camphorhinge.Incarnation
	address     string
	// running is the number of attempts under way, reading that of those whose prompt is not read yet, and held their
	// tokens in memory.
	running    int
	prefilling int
	reserved   camphorhinge.Tokens
	// prefillsDone is when all prompts are expected to be read.
	prefillsDone camphorhinge.Instant

	load   Load
	loadAt camphorhinge.Instant
	// ownRunning is the number of own attempts when the load was stated.
	ownRunning int
	hasLoad    bool

	// failures is the number of attempts in a row that did not reach the target.
	failures int
	// backoffUntil is the end of a pause.
	backoffUntil camphorhinge.Instant
	// failureShare is the moving failureShare of failed attempts, as it was at ended.
	failureShare   float64
	failureShareAt camphorhinge.Instant
	lastTrial      camphorhinge.Instant
	// slowdown is the measured time to the first event, in units of the estimated one.
	slowdown float64

	cache cache
}

// otherNodesRequests estimates the number of requests of other nodes at the target.
func (s *targetState) otherNodesRequests(now camphorhinge.Instant) float64 {
	if !s.hasLoad {
		return 0
	}
	n := float64(s.load.Running + s.load.Waiting - s.ownRunning)
	age := max(now.Sub(s.loadAt), 0)
	return max(n, 0) * math.Exp2(-float64(age)/float64(loadHalfLife))
}

// backlog returns the time until the prompts that are waiting now are expected to be read.
func (s *targetState) backlog(now camphorhinge.Instant) time.Duration {
	if s.prefilling == 0 {
		return 0
	}
	return max(s.prefillsDone.Sub(now), time.Duration(s.prefilling)*minPrefillRemaining)
}

// startPrefill notes an attempt whose prompt takes some time to read, and returns when it is expected to be read.
func (s *targetState) startPrefill(now camphorhinge.Instant, read time.Duration) camphorhinge.Instant {
	s.prefillsDone = now.Add(s.backlog(now) + read)
	s.prefilling++
	return s.prefillsDone
}

// finishPrefill notes that a prompt which was expected to be read at due has been read. The prompts behind it follow as much
// sooner or later.
func (s *targetState) finishPrefill(now, due camphorhinge.Instant) {
	s.prefilling--
	s.prefillsDone = s.prefillsDone.Add(now.Sub(due))
}

// cancelPrefill notes that a prompt won't be read any further; read is the time that it takes as a whole.
func (s *targetState) cancelPrefill(now, due camphorhinge.Instant, read time.Duration) {
	s.prefilling--
	s.prefillsDone = s.prefillsDone.Add(-min(max(due.Sub(now), 0), read))
}

// available reports whether the target may get a request now.
func (s *targetState) available(now camphorhinge.Instant) bool {
	if now < s.backoffUntil {
		return false
	}
	return s.currentFailureShare(now) < suspectShare || now.Sub(s.lastTrial) >= trialInterval
}

// currentFailureShare returns the share of failed attempts, which loses its weight with time: a target that gets no requests could not
// show otherwise that it serves again.
func (s *targetState) currentFailureShare(now camphorhinge.Instant) float64 {
	if s.failureShare == 0 {
		return 0
	}
	return s.failureShare * math.Exp2(-float64(now.Sub(s.failureShareAt))/float64(failureHalfLife))
}

// recordOutcome takes the outcome of an attempt.
func (s *targetState) recordOutcome(now camphorhinge.Instant, o Outcome) {
	switch o {
	case Abandoned:
		return
	case Unreachable, TimedOut:
		pause := min(initialBackoff<<min(s.failures, 8), maxBackoff)
		s.failures++
		s.backoffUntil = now.Add(pause)
	case AddressReused:
		s.backoffUntil = now.Add(maxBackoff)
	case Refused:
		// It is full, or changes its role.
		s.backoffUntil = now.Add(refusalBackoff)
	case Served, Errored, Broken:
		s.failures, s.backoffUntil = 0, 0
	}
	s.failureShare, s.failureShareAt = s.currentFailureShare(now), now
	failed := 0.0
	if o != Served && o != Refused {
		failed = 1
	}
	if o != Refused {
		s.failureShare += failureWeight * (failed - s.failureShare)
	}
}

// recordSlowdown takes a measured time to the first event and the estimated one.
func (s *targetState) recordSlowdown(measured, estimated time.Duration) {
	if estimated <= 0 {
		return
	}
	ratio := min(max(float64(measured)/float64(estimated), minSlowdown), maxSlowdown)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
}

// cache holds the prompt parts that an engine is believed to hold, the least recently used ones first out.
type cache struct {
	segments map[uint64]cacheEntry
	tokens   camphorhinge.Tokens
}

type cacheEntry struct {
	tokens   camphorhinge.Tokens
	lastUsed camphorhinge.Instant
	// pending is the attempt that is to bring the part; nil once the engine holds it.
	pending *InFlight
	// private is true for a part that belongs to one request or session alone.
	private bool
}

// memoryBlockTokens is the number of tokens by which engines divide their memory; the rest of a part in its last block may not be
// kept.
const memoryBlockTokens = 16

// complete reports whether the engine holds all of a part but what does not fill a block.
func (x *cacheEntry) complete(p Segment) bool { return x.tokens+memoryBlockTokens > p.Tokens }

// addPending notes that f brings the parts that the engine lacks; the last of the parts is the request's own.
func (c *cache) addPending(now camphorhinge.Instant, f *InFlight, memory camphorhinge.Tokens) {
	if c.segments == nil {
		c.segments = map[uint64]cacheEntry{}
	}
	for i, p := range f.segments {
		by := f
		if old, ok := c.segments[p.Hash]; ok {
			c.tokens -= old.tokens
			if old.pending != nil || old.complete(p) {
				by = old.pending
			}
		}
		c.segments[p.Hash] = cacheEntry{tokens: p.Tokens, lastUsed: now, pending: by, private: i == len(f.segments)-1}
		c.tokens += p.Tokens
	}
	c.evict(memory, len(f.segments))
}

// merge notes that the engine holds a part, as another node says.
func (c *cache) merge(p Segment, used camphorhinge.Instant) {
	if c.segments == nil {
		c.segments = map[uint64]cacheEntry{}
	}
	if old, ok := c.segments[p.Hash]; ok {
		old.lastUsed, old.pending = max(old.lastUsed, used), nil
		c.segments[p.Hash] = old
		return
	}
	c.segments[p.Hash] = cacheEntry{tokens: p.Tokens, lastUsed: used}
	c.tokens += p.Tokens
}

// resize notes how many tokens of a part the engine holds.
func (c *cache) resize(hash uint64, n camphorhinge.Tokens) {
	x := c.segments[hash]
	c.tokens += n - x.tokens
	x.tokens = n
	c.segments[hash] = x
	if n <= 0 {
		delete(c.segments, hash)
	}
}

// evict forgets the parts that were not used for longest until the rest fits into memory; it keeps at least some.
func (c *cache) evict(memory camphorhinge.Tokens, least int) {
	for limit := max(memory, 0) * cachePercent / 100; c.tokens > limit && len(c.segments) > least; {
		var oldest uint64
		first := true
		for hash, x := range c.segments {
			if first || x.lastUsed < c.segments[oldest].lastUsed {
				oldest, first = hash, false
			}
		}
		c.tokens -= c.segments[oldest].tokens
		delete(c.segments, oldest)
	}
}

// markCached notes that the engine holds the parts of f. Those that another flight was to bring and did not are added again.
func (c *cache) markCached(now camphorhinge.Instant, f *InFlight) {
	for i, p := range f.segments {
		x, ok := c.segments[p.Hash]
		if !ok {
			x = cacheEntry{tokens: p.Tokens, lastUsed: now, private: i == len(f.segments)-1}
			c.tokens += p.Tokens
		}
		x.pending = nil
		c.segments[p.Hash] = x
	}
}

// dropPending forgets the parts that f was to bring and did not.
func (c *cache) dropPending(f *InFlight) {
	for _, p := range f.segments {
		if x, ok := c.segments[p.Hash]; ok && x.pending == f {
			c.tokens -= x.tokens
			delete(c.segments, p.Hash)
		}
	}
}

// cachedTokens returns the tokens of the leading parts that the engine holds already.
func (c *cache) cachedTokens(parts []Segment) camphorhinge.Tokens {
	var n camphorhinge.Tokens
	for _, p := range parts {
		x, ok := c.segments[p.Hash]
		if !ok || x.pending != nil {
			break
		}
		if !x.complete(p) {
			n += x.tokens
			break
		}
		n += p.Tokens
	}
	return n
}

// cachedOrPendingTokens returns the tokens of the cachedOrPendingTokens parts that the engine holds, or will hold once it has read what it has to.
func (c *cache) cachedOrPendingTokens(parts []Segment) camphorhinge.Tokens {
	var n camphorhinge.Tokens
	for _, p := range parts {
		x, ok := c.segments[p.Hash]
		if !ok {
			break
		}
		if !x.complete(p) {
			n += x.tokens
			break
		}
		n += p.Tokens
	}
	return n
}
