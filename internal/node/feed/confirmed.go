package feed

import (
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// confirmShare divides the bound of revocations into the times for which a watch of a source waits. Two waits may pass before a
	// confirmation is replaced, as it counts from the time at which its watch was sent, and the permission that is left must last for 0.6
	// of the bound after all core nodes are lost.
	confirmShare = 10
	// minConfirmWait bounds the number of watches for a very short bound.
	minConfirmWait = 100 * time.Millisecond
	// maxConfirmedAge is the age from which on a confirmation is not recorded. It is far above each bound, and the conversion of its
	// milliseconds does not overflow.
	maxConfirmedAge = time.Hour
)

// encodeConfirmed returns the field confirmed of a response to a watch that arrived at a time, given the time at which the configuration
// was last confirmed, or 0. A confirmation since the arrival counts as one at the arrival.
func encodeConfirmed(arrived, at camphorhinge.Instant) uint64 {
	if at == 0 {
		return 0
	}
	age := max(arrived.Sub(at), 0)
	return uint64((age+time.Millisecond-1)/time.Millisecond) + 1
}

// Confirmed returns the latest time for which it is known that the configuration in force was the newest, or 0 if there is none.
func (f *Follower) Confirmed() camphorhinge.Instant { return camphorhinge.Instant(f.confirmed.Load()) }

// recordConfirmed records what the response to a watch that was sent at a time says of its version, if this node has that version in
// force. The sending of the watch is the only event at the core node's clock of which this node knows that it was not later.
func (f *Follower) recordConfirmed(sent camphorhinge.Instant, resp *peerpb.WatchResponse) {
	ms := resp.GetConfirmed()
	if ms == 0 || ms > uint64(maxConfirmedAge/time.Millisecond) || f.version() < camphorhinge.Version(resp.GetVersion()) {
		return
	}
	at := int64(sent.Add(-time.Duration(ms-1) * time.Millisecond))
	for {
		known := f.confirmed.Load()
		if at <= known || f.confirmed.CompareAndSwap(known, at) {
			return
		}
	}
}

// confirmWait returns the longest time for which the watch of a source may wait, so that the confirmation stays recent where keys depend
// on it. For every second watch it is 0 while the confirmation is old, as after this process was frozen. The caller holds f.mu.
func (f *Follower) confirmWait(c *watchedCore) time.Duration {
	x := f.index.Load()
	if f.cfg.RevocationBound <= 0 || x == nil || len(x.Config.Workspaces) == 0 {
		return watchWait
	}
	old := f.cfg.Clock.Now().Sub(f.Confirmed()) > f.cfg.RevocationBound/2
	if c.urgent = old && !c.urgent; c.urgent {
		return 0
	}
	return min(max(f.cfg.RevocationBound/confirmShare, minConfirmWait), watchWait)
}
