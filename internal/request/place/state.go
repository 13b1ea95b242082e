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
	// failureWeight is the weight of the last attempt in a target's share of failures.
	failureWeight = 0.12
	// suspectShare is the share of failures from which a target gets only trial requests.
	suspectShare = 0.3
	// trialEvery is the time between two trial requests to a suspect target.
	trialEvery = 500 * time.Millisecond
	// paceWeight is the weight of the last first event in a target's pace.
	paceWeight = 0.15
	// slowestPace and fastestPace bound a target's pace.
	slowestPace, fastestPace = 8.0, 0.5
	// cacheShare is the part of an engine's memory, in percent, that is taken to hold cached parts; running requests hold
	// the rest.
	cacheShare = 70
)

// state is what a node knows of one target in one incarnation.
type state struct {
	incarnation camphorhinge.Incarnation
	address     string
	// running is the number of own attempts under way, unread the prompt tokens that they have still to read, and held
	// their tokens in memory.
	running int
	unread  camphorhinge.Tokens
	held    camphorhinge.Tokens

	load   Load
	loadAt camphorhinge.Instant
	// mine is the number of own attempts when the load was stated.
	mine    int
	hasLoad bool

	// failures is the number of attempts in a row that did not reach the target.
	failures int
	// until is the end of a pause.
	until camphorhinge.Instant
	// share is the moving share of failed attempts.
	share float64
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

// open reports whether the target may get a request now.
func (s *state) open(now camphorhinge.Instant) bool {
	if now < s.until {
		return false
	}
	return s.share < suspectShare || now.Sub(s.trial) >= trialEvery
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
	case Served, Errored, Broken, Refused:
		s.failures, s.until = 0, 0
	}
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
}

// add notes that the engine holds parts now.
func (c *cache) add(now camphorhinge.Instant, parts []Part, memory camphorhinge.Tokens) {
	if c.parts == nil {
		c.parts = map[uint64]cached{}
	}
	for _, p := range parts {
		if old, ok := c.parts[p.Hash]; ok {
			c.tokens -= old.tokens
		}
		c.parts[p.Hash] = cached{tokens: p.Tokens, used: now}
		c.tokens += p.Tokens
	}
	for limit := memory * cacheShare / 100; c.tokens > limit && len(c.parts) > len(parts); {
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

// leading returns the tokens of the leading parts that the engine holds.
func (c *cache) leading(parts []Part) camphorhinge.Tokens {
	var n camphorhinge.Tokens
	for _, p := range parts {
		if _, ok := c.parts[p.Hash]; !ok {
			break
		}
		n += p.Tokens
	}
	return n
}
