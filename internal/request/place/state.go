package place

import (
	"math"
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// loadHalfLife is the time in which a target's reported load loses half of its weight; requests take some hundred
	// milliseconds.
	loadHalfLife = 300 * time.Millisecond
	// initialBackoff is the backoff after a target was unreachable or timed out; each further failure doubles it, up to
	// maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// refusalBackoff is the backoff after a target refused a request.
	refusalBackoff = 300 * time.Millisecond
	// failureWeight is the weight of the last attempt in a target's failure share.
	failureWeight = 0.12
	// failureHalfLife is the time in which the failure share of an unused target halves.
	failureHalfLife = 3 * time.Second
	// suspectShare is the failure share from which a target gets only trial requests.
	suspectShare = 0.3
	// trialInterval is the time between two trial requests to a suspect target.
	trialInterval = 500 * time.Millisecond
	// slowdownWeight is the weight of the last prefill in a target's slowdown.
	slowdownWeight = 0.15
	// maxSlowdown and minSlowdown bound a single measurement of a target's slowdown.
	maxSlowdown, minSlowdown = 8.0, 0.75
	// decodeMargin is the factor by which the expected time of a generation is raised.
	decodeMargin = 1.5
	// reportDelay is the usual time until a node reports that a prefill is complete, and endReportDelay that until it reports the
	// end of an attempt.
	reportDelay, endReportDelay = 40 * time.Millisecond, 250 * time.Millisecond
	// arrivalDelay is the usual time until an engine receives a request after a separate prefill.
	arrivalDelay = 100 * time.Millisecond
	// minPrefillRemaining is the remaining time assumed for each prefill whose report is overdue.
	minPrefillRemaining = 10 * time.Millisecond
	// cachePercent is the percentage of an engine's memory that is assumed to hold prompt segments; running requests
	// also hold their generated tokens.
	cachePercent = 97
)

// targetState is the recorded state of one target in one incarnation.
type targetState struct {
	incarnation camphorhinge.Incarnation
	address     string
	usedAt      camphorhinge.Instant
	// firstSeen is when the target was first considered, and firstRole its role then.
	firstSeen camphorhinge.Instant
	firstRole camphorhinge.Role
	// running is the number of attempts in flight, reserved the number of tokens that they occupy in memory, and
	// prefilling the number of attempts whose prefill at this target is incomplete.
	running    int
	prefilling int
	// awaited is the number of attempts in flight that another engine still prefills.
	awaited int
	// ends holds when the attempts in flight are expected to end.
	ends     timeline
	reserved camphorhinge.Tokens
	// inUse counts the attempts in flight that use a segment, which the engine holds once.
	inUse map[uint64]int
	// prefillDues holds when each incomplete prefill is expected to be complete.
	prefillDues timeline
	// prefillsDone is when all prefills are expected to be complete.
	prefillsDone camphorhinge.Instant

	// linkFreeAt is when the transfers of KV caches from and to the engine are expected to be complete.
	linkFreeAt camphorhinge.Instant

	load   Load
	loadAt camphorhinge.Instant
	// ownRunning is the number of attempts of this node when the load was reported.
	ownRunning int
	hasLoad    bool
	slowness   slowness

	// failures is the number of consecutive attempts that found the target unreachable or timed out.
	failures int
	// backoffUntil is the end of the current backoff.
	backoffUntil camphorhinge.Instant
	// failureShare is the moving average of the share of failed attempts, as of failureShareAt.
	failureShare   float64
	failureShareAt camphorhinge.Instant
	lastTrial      camphorhinge.Instant
	// tookAt is when the latest of the attempts that the target took was sent.
	tookAt camphorhinge.Instant
	// lastPrefillDone is when the latest prefill was complete.
	lastPrefillDone camphorhinge.Instant
	// slowdown is the moving average of the time of a prefill, relative to the service's engines in that role.
	slowdown float64

	cache cache
	// cachedShared is the number of shared tokens of the request that is being placed which the engine has cached.
	cachedShared camphorhinge.Tokens

	limit   limiter
	notices notices
}

// otherNodesRequests estimates the number of requests of other nodes at the target, from the decayed reported load.
func (s *targetState) otherNodesRequests(now camphorhinge.Instant) float64 {
	if !s.hasLoad {
		return 0
	}
	n := float64(s.load.Running + s.load.Waiting - s.ownRunning)
	age := max(now.Sub(s.loadAt), 0)
	return max(n, 0) * math.Exp2(-float64(age)/float64(loadHalfLife))
}

// occupied returns the number of attempts that take a slot of the target now. One whose end is due is taken to have ended
// until its report is overdue as well.
func (s *targetState) occupied(now camphorhinge.Instant) int {
	due := s.ends.countAfter(now.Add(-endReportDelay)) - s.ends.countAfter(now)
	return max(s.running-s.awaited-due, 0)
}

// memoryFor returns the memory that a request takes in addition to the attempts in flight, in tokens: segments that these use are held
// already.
func (s *targetState) memoryFor(req *Request) camphorhinge.Tokens {
	n := req.Prompt + req.Output
	for _, seg := range req.Segments {
		if s.inUse[seg.Hash] > 0 {
			n -= seg.Tokens
		}
	}
	return max(n, 0)
}

// reserve counts the memory of an attempt, and returns the part that only this attempt takes.
func (s *targetState) reserve(req *Request) (own camphorhinge.Tokens) {
	s.reserved += s.memoryFor(req)
	own = req.Prompt + req.Output
	if s.inUse == nil {
		s.inUse = map[uint64]int{}
	}
	for _, seg := range req.Segments {
		s.inUse[seg.Hash]++
		own -= seg.Tokens
	}
	return own
}

// release gives back what reserve has counted for an attempt with the given segments.
func (s *targetState) release(own camphorhinge.Tokens, segments []Segment) {
	s.reserved -= own
	for _, seg := range segments {
		if s.inUse[seg.Hash]--; s.inUse[seg.Hash] <= 0 {
			delete(s.inUse, seg.Hash)
			s.reserved -= seg.Tokens
		}
	}
}

// slotLeft reports whether the engine is expected to have a slot for a request that it receives after a separate prefill: attempts
// that still wait for theirs take one by then, unless they have ended.
func (s *targetState) slotLeft(now camphorhinge.Instant, slots int) bool {
	return s.awaited < slots && s.ends.countAfter(now.Add(arrivalDelay)) < slots
}

// timeline holds expected times, in ascending order.
type timeline []camphorhinge.Instant

func (l *timeline) add(at camphorhinge.Instant) {
	i, _ := slices.BinarySearch(*l, at)
	*l = slices.Insert(*l, i, at)
}

// remove removes one entry for the time; it has no effect if there is none.
func (l *timeline) remove(at camphorhinge.Instant) {
	if i, ok := slices.BinarySearch(*l, at); ok {
		*l = slices.Delete(*l, i, i+1)
	}
}

// countAfter returns the number of entries after the given time.
func (l timeline) countAfter(now camphorhinge.Instant) int {
	i, _ := slices.BinarySearch(l, now)
	return len(l) - i
}

// backlog returns the time until all incomplete prefills are expected to be complete. One that is due is taken to be
// complete until its report is overdue as well.
func (s *targetState) backlog(now camphorhinge.Instant) time.Duration {
	if s.prefilling == 0 {
		return 0
	}
	overdue := s.prefilling - s.prefillDues.countAfter(now.Add(-reportDelay))
	return max(s.prefillsDone.Sub(now), time.Duration(overdue)*minPrefillRemaining, 0)
}

// startPrefill records a prefill of the given duration and returns when it is expected to be complete.
func (s *targetState) startPrefill(now camphorhinge.Instant, duration time.Duration) camphorhinge.Instant {
	s.prefillsDone = now.Add(s.backlog(now) + duration)
	s.prefilling++
	s.prefillDues.add(s.prefillsDone)
	return s.prefillsDone
}

// finishPrefill records that the prefill expected at due is complete, and shifts the expected end of those behind it by
// the difference.
func (s *targetState) finishPrefill(now, due camphorhinge.Instant) {
	s.prefilling--
	s.prefillDues.remove(due)
	s.prefillsDone = s.prefillsDone.Add(now.Sub(due))
}

// cancelPrefill records that a prefill was cancelled, and removes the rest of its duration from the backlog.
func (s *targetState) cancelPrefill(now, due camphorhinge.Instant, duration time.Duration) {
	s.prefilling--
	s.prefillDues.remove(due)
	s.prefillsDone = s.prefillsDone.Add(-min(max(due.Sub(now), 0), duration))
}

// available reports whether the target may get a request now, possibly as a trial.
func (s *targetState) available(now camphorhinge.Instant) bool {
	if now < s.backoffUntil {
		return false
	}
	return s.currentFailureShare(now) < suspectShare || now.Sub(s.lastTrial) >= trialInterval
}

// currentFailureShare returns the failure share, which decays with time: a target that gets no requests could not show
// otherwise that it has recovered.
func (s *targetState) currentFailureShare(now camphorhinge.Instant) float64 {
	if s.failureShare == 0 {
		return 0
	}
	return s.failureShare * math.Exp2(-float64(now.Sub(s.failureShareAt))/float64(failureHalfLife))
}

// recordOutcome updates the backoff and the failure share by the outcome of an attempt.
func (s *targetState) recordOutcome(now camphorhinge.Instant, o Outcome) {
	switch o {
	case Abandoned:
		return
	case Unreachable, TimedOut:
		backoff := min(initialBackoff<<min(s.failures, 8), maxBackoff)
		s.failures++
		s.backoffUntil = now.Add(backoff)
	case AddressReused:
		s.backoffUntil = now.Add(maxBackoff)
	case Refused:
		// The target is full or changes its role.
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

// recordSlowdown updates the slowdown by the measured time of a prefill and the estimate for the service's engines.
func (s *targetState) recordSlowdown(measured, estimated time.Duration) {
	if estimated <= 0 {
		return
	}
	ratio := min(max(float64(measured)/float64(estimated), minSlowdown), maxSlowdown)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
}

// cache is the estimated content of an engine's KV cache; the least recently used segments are evicted first.
type cache struct {
	segments map[uint64]cacheEntry
	tokens   camphorhinge.Tokens
}

type cacheEntry struct {
	tokens   camphorhinge.Tokens
	lastUsed camphorhinge.Instant
	// pending is the attempt whose prefill will cache the segment; nil once the engine has it.
	pending *InFlight
	// private is true for a segment that belongs to a single request or session.
	private bool
}

// memoryBlockTokens is the block size of engine memory in tokens; the partial last block of a segment may not be kept.
const memoryBlockTokens = 16

// complete reports whether the whole segment is cached, except possibly for its partial last block.
func (x *cacheEntry) complete(seg Segment) bool { return x.tokens+memoryBlockTokens > seg.Tokens }

// addPending records that f will cache the segments that are missing or incomplete; the last segment is private.
func (c *cache) addPending(now camphorhinge.Instant, f *InFlight, memory camphorhinge.Tokens) {
	if c.segments == nil {
		c.segments = map[uint64]cacheEntry{}
	}
	for i, seg := range f.segments {
		pending := f
		if old, ok := c.segments[seg.Hash]; ok {
			c.tokens -= old.tokens
			if old.pending != nil || old.complete(seg) {
				pending = old.pending
			}
		}
		c.segments[seg.Hash] = cacheEntry{tokens: seg.Tokens, lastUsed: now, pending: pending, private: i == len(f.segments)-1}
		c.tokens += seg.Tokens
	}
	c.evict(memory, len(f.segments))
}

// merge records a segment that was reported by the engine or another node as cached.
func (c *cache) merge(seg Segment, lastUsed camphorhinge.Instant) {
	if c.segments == nil {
		c.segments = map[uint64]cacheEntry{}
	}
	if old, ok := c.segments[seg.Hash]; ok {
		old.lastUsed, old.pending = max(old.lastUsed, lastUsed), nil
		c.segments[seg.Hash] = old
		return
	}
	c.segments[seg.Hash] = cacheEntry{tokens: seg.Tokens, lastUsed: lastUsed}
	c.tokens += seg.Tokens
}

// resize sets how many tokens of a segment the engine has cached, and removes the segment at 0.
func (c *cache) resize(hash uint64, n camphorhinge.Tokens) {
	x := c.segments[hash]
	c.tokens += n - x.tokens
	x.tokens = n
	c.segments[hash] = x
	if n <= 0 {
		delete(c.segments, hash)
	}
}

// evict removes the least recently used segments until the rest fits into memory, but keeps at least minSegments.
func (c *cache) evict(memory camphorhinge.Tokens, minSegments int) {
	for limit := max(memory, 0) * cachePercent / 100; c.tokens > limit && len(c.segments) > minSegments; {
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

// markCached records that the segments of f are cached. Those that were evicted or dropped in the meantime are added
// again.
func (c *cache) markCached(now camphorhinge.Instant, f *InFlight) {
	for i, seg := range f.segments {
		x, ok := c.segments[seg.Hash]
		if !ok {
			x = cacheEntry{tokens: seg.Tokens, lastUsed: now, private: i == len(f.segments)-1}
			c.tokens += seg.Tokens
		}
		x.pending = nil
		c.segments[seg.Hash] = x
	}
}

// dropPending removes the segments that were pending on f, which ended before its prefill was complete.
func (c *cache) dropPending(f *InFlight) {
	for _, seg := range f.segments {
		if x, ok := c.segments[seg.Hash]; ok && x.pending == f {
			c.tokens -= x.tokens
			delete(c.segments, seg.Hash)
		}
	}
}

// cachedTokens returns the number of cached tokens in the leading segments; it stops at a pending or incomplete one.
func (c *cache) cachedTokens(segments []Segment) camphorhinge.Tokens {
	var n camphorhinge.Tokens
	for _, seg := range segments {
		x, ok := c.segments[seg.Hash]
		if !ok || x.pending != nil {
			break
		}
		if !x.complete(seg) {
			n += x.tokens
			break
		}
		n += seg.Tokens
	}
	return n
}

// cachedOrPendingTokens is cachedTokens with segments counted as cached that the engine prefills now. Segments that it
// is to receive from another engine are not: a request that it starts meanwhile prefills them again.
func (c *cache) cachedOrPendingTokens(segments []Segment) camphorhinge.Tokens {
	var n camphorhinge.Tokens
	for _, seg := range segments {
		x, ok := c.segments[seg.Hash]
		if !ok || x.pending != nil && !x.pending.prefilling {
			break
		}
		if !x.complete(seg) {
			n += x.tokens
			break
		}
		n += seg.Tokens
	}
	return n
}
