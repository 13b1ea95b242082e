package route

import (
	"time"

	"example.org/camphorhinge"
)

const (
	// breakerFailures is the number of consecutive failures that opens a breaker.
	breakerFailures = 3
	minBreakerOpen  = time.Second
	maxBreakerOpen  = 30 * time.Second
)

// breaker is a circuit breaker of one target. It opens after breakerFailures consecutive failures, for a time that
// doubles with each failed trial. After that time it admits one trial at a time, and a success closes it.
//
// Invariant: openFor is 0 exactly while the breaker is closed.
type breaker struct {
	failures      int
	openFor       time.Duration
	openUntil     camphorhinge.Instant
	trialInFlight bool
}

// allows reports whether an attempt may be sent now.
func (b *breaker) allows(now camphorhinge.Instant) bool {
	return b.openFor == 0 || now >= b.openUntil && !b.trialInFlight
}

// recordSent records that an attempt was sent; unless the breaker is closed, that attempt is the trial.
func (b *breaker) recordSent() { b.trialInFlight = b.openFor > 0 }

// recordResult records the result of an attempt and reports whether it closed the breaker. A failure while
// attempts are not allowed, of an attempt sent earlier, does not extend the open time.
func (b *breaker) recordResult(failed bool, now camphorhinge.Instant) (closed bool) {
	b.trialInFlight = false
	if !failed {
		closed = b.openFor > 0
		*b = breaker{}
		return closed
	}
	b.failures++
	switch {
	case b.openFor > 0 && now >= b.openUntil:
		b.openFor = min(2*b.openFor, maxBreakerOpen)
		b.openUntil = now.Add(b.openFor)
	case b.openFor == 0 && b.failures >= breakerFailures:
		b.openFor = minBreakerOpen
		b.openUntil = now.Add(b.openFor)
	}
	return false
}
