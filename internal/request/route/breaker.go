package route

import (
	"time"

	"example.org/camphorhinge"
)

const (
	// breakerFailures is the number of failures in a row that opens a breaker.
	breakerFailures = 3
	breakerFirst    = time.Second
	breakerLongest  = 30 * time.Second
)

// breaker keeps work from a target that fails. It opens after breakerFailures failures in a row, for a time that
// doubles with each failed trial; then one trial at a time may pass, and a success closes it.
//
// Invariant: wait is 0 exactly while the breaker is closed.
type breaker struct {
	failures int
	wait     time.Duration
	until    camphorhinge.Instant
	trial    bool
}

// allows reports whether an attempt may be sent now.
func (b *breaker) allows(now camphorhinge.Instant) bool {
	return b.wait == 0 || now >= b.until && !b.trial
}

func (b *breaker) sent() { b.trial = b.wait > 0 }

// ended notes a result and reports whether the breaker closed by it.
func (b *breaker) ended(failed bool, now camphorhinge.Instant) (closed bool) {
	b.trial = false
	if !failed {
		closed = b.wait > 0
		*b = breaker{}
		return closed
	}
	b.failures++
	switch {
	case b.wait > 0 && now >= b.until:
		b.wait = min(2*b.wait, breakerLongest)
		b.until = now.Add(b.wait)
	case b.wait == 0 && b.failures >= breakerFailures:
		b.wait = breakerFirst
		b.until = now.Add(b.wait)
	}
	return false
}
