package config

import (
	"sync/atomic"
	"time"

	"example.org/camphorhinge"
)

// State is how current a node's configuration is.
type State string

const (
	// StateEmpty marks a node that has no configuration yet; it serves nothing.
	StateEmpty State = "empty"
	// StateFresh marks a node with a valid lease.
	StateFresh State = "fresh"
	// StateStale marks a node whose lease ended at most the stale limit ago; it serves but is not ready.
	StateStale State = "stale"
	// StateExpired marks a node that refuses new requests.
	StateExpired State = "expired"
)

// Lease tells a node whether it may serve by its configuration.
type Lease struct {
	clock camphorhinge.Clock
	stale time.Duration
	// ends is the Instant at which the lease ends; 0 while the node has no configuration.
	ends atomic.Int64
}

// NewLease returns a Holder without a lease. Stale is the time for which the node serves after its lease ended.
func NewLease(clock camphorhinge.Clock, stale time.Duration) *Lease {
	return &Lease{clock: clock, stale: stale}
}

// Extend notes a granted lease, counted from the moment the renewal was sent. The caller has put the answered changes
// in force before. An answer that arrives after a later one does not shorten the lease.
func (h *Lease) Extend(sent camphorhinge.Instant, lease time.Duration) {
	ends := int64(sent.Add(lease))
	for {
		old := h.ends.Load()
		if ends <= old || h.ends.CompareAndSwap(old, ends) {
			return
		}
	}
}

// State returns how current the configuration is now.
func (h *Lease) State() State {
	ends := camphorhinge.Instant(h.ends.Load())
	if ends == 0 {
		return StateEmpty
	}
	switch late := h.clock.Now().Sub(ends); {
	case late < 0:
		return StateFresh
	case late < h.stale:
		return StateStale
	default:
		return StateExpired
	}
}

// MayServe reports whether the node may take a new request.
func (h *Lease) MayServe() bool {
	s := h.State()
	return s == StateFresh || s == StateStale
}

// Ready reports whether the balancer should send callers to this node.
func (h *Lease) Ready() bool { return h.State() == StateFresh }

// Age returns the time since the lease ended, or 0 while it is valid or was never granted.
func (h *Lease) Age() time.Duration {
	ends := camphorhinge.Instant(h.ends.Load())
	if ends == 0 {
		return 0
	}
	return max(0, h.clock.Now().Sub(ends))
}
