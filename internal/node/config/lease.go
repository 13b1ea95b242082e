package config

import (
	"sync/atomic"
	"time"

	"example.org/camphorhinge"
)

// State classifies a node's configuration by the age of its lease.
type State string

const (
	// StateEmpty marks a node that has no configuration yet; it serves nothing.
	StateEmpty State = "empty"
	// StateFresh marks a node with a valid lease.
	StateFresh State = "fresh"
	// StateStale marks a node whose lease ended at most the stale limit ago; it serves but is not ready.
	StateStale State = "stale"
	// StateExpired marks a node whose lease ended the stale limit or longer ago; it refuses new requests.
	StateExpired State = "expired"
)

// Lease is a node's configuration lease; it decides whether the node may serve by its configuration. It is safe for
// concurrent use.
type Lease struct {
	clock camphorhinge.Clock
	// staleLimit is how long the node may serve after its lease has ended.
	staleLimit time.Duration
	// ends is the Instant at which the lease ends; 0 while the node has no configuration.
	ends atomic.Int64
}

// NewLease returns a Lease that was never granted. staleLimit is how long the node may serve after its lease has ended.
func NewLease(clock camphorhinge.Clock, staleLimit time.Duration) *Lease {
	return &Lease{clock: clock, staleLimit: staleLimit}
}

// Extend extends the lease to the given length, counted from the time at which the renewal was sent. The caller must
// have put the changes of the response in force before. A response that arrives after that of a later renewal does not
// shorten the lease.
func (l *Lease) Extend(sent camphorhinge.Instant, length time.Duration) {
	ends := int64(sent.Add(length))
	for {
		old := l.ends.Load()
		if ends <= old || l.ends.CompareAndSwap(old, ends) {
			return
		}
	}
}

// State returns the current state of the configuration.
func (l *Lease) State() State {
	ends := camphorhinge.Instant(l.ends.Load())
	if ends == 0 {
		return StateEmpty
	}
	switch age := l.clock.Now().Sub(ends); {
	case age < 0:
		return StateFresh
	case age < l.staleLimit:
		return StateStale
	default:
		return StateExpired
	}
}

// MayServe reports whether the node may accept new requests.
func (l *Lease) MayServe() bool {
	s := l.State()
	return s == StateFresh || s == StateStale
}

// Ready reports whether the balancer should route callers to this node.
func (l *Lease) Ready() bool { return l.State() == StateFresh }

// Age returns the time since the lease ended, or 0 if it is valid or was never granted.
func (l *Lease) Age() time.Duration {
	ends := camphorhinge.Instant(l.ends.Load())
	if ends == 0 {
		return 0
	}
	return max(0, l.clock.Now().Sub(ends))
}
