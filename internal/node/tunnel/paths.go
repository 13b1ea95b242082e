package tunnel

import (
	"time"

	"example.org/camphorhinge"
)

const (
	// probeInterval is the least time between two probes of a lost direct path.
	probeInterval = 500 * time.Millisecond
	// deadTime is how long no relay is asked for a target that relays could not reach either.
	deadTime = time.Second
	// maxPaths bounds the addresses whose state is kept; the state of one that is not used for pathRetention is removed.
	maxPaths      = 16_384
	pathRetention = time.Minute
)

// route is the order in which the ways to a target are tried.
type route int

const (
	// directFirst tries the direct path, then relays.
	directFirst route = iota
	// relayFirst tries relays, then the direct path.
	relayFirst
	// directOnly tries the direct path.
	directOnly
)

// path is what is known of the direct path to an address.
type path struct {
	// lost is set when the direct path failed while a relay reached the target.
	lost bool
	// probedAt is the time of the last probe, usedAt that of the last use, relayedAt that of the last connection through a relay.
	probedAt, usedAt, relayedAt camphorhinge.Instant
	// deadUntil is until when no relay is asked.
	deadUntil camphorhinge.Instant
}

// paths decides which way to take to a target, from the outcomes of earlier ones. It is not safe for concurrent use.
type paths struct{ byAddress map[string]*path }

func newPaths() *paths { return &paths{byAddress: make(map[string]*path)} }

// get returns the path to an address.
func (s *paths) get(now camphorhinge.Instant, address string) *path {
	p := s.byAddress[address]
	if p == nil {
		if len(s.byAddress) >= maxPaths {
			s.removeUnused(now)
		}
		p = &path{}
		s.byAddress[address] = p
	}
	p.usedAt = now
	return p
}

func (s *paths) removeUnused(now camphorhinge.Instant) {
	for address, p := range s.byAddress {
		if now.Sub(p.usedAt) > pathRetention {
			delete(s.byAddress, address)
		}
	}
	if len(s.byAddress) >= maxPaths {
		clear(s.byAddress)
	}
}

// choose returns the route to an address, and whether the direct path is to be probed beside it.
func (s *paths) choose(now camphorhinge.Instant, address string) (r route, probe bool) {
	p := s.get(now, address)
	switch {
	case now < p.deadUntil:
		return directOnly, false
	case !p.lost:
		return directFirst, false
	}
	return relayFirst, s.dueProbe(now, p)
}

// dueProbe reports whether a path may be probed now, and records the probe.
func (s *paths) dueProbe(now camphorhinge.Instant, p *path) bool {
	if p.probedAt > 0 && now.Sub(p.probedAt) < probeInterval {
		return false
	}
	p.probedAt = now
	return true
}

// recordDirect records that the direct path works. It reports whether that is a change.
func (s *paths) recordDirect(now camphorhinge.Instant, address string) bool {
	p := s.get(now, address)
	changed := p.lost
	p.lost, p.deadUntil = false, 0
	return changed
}

// recordRelayed records that a relay reached a target.
func (s *paths) recordRelayed(now camphorhinge.Instant, address string) {
	p := s.get(now, address)
	p.relayedAt, p.deadUntil = now, 0
}

// relayedLately reports whether a relay reached a target within the last directTimeout, during which an attempt of the direct
// path may have been in progress.
func (s *paths) relayedLately(now camphorhinge.Instant, address string) bool {
	p := s.get(now, address)
	return p.relayedAt > 0 && now.Sub(p.relayedAt) <= directTimeout
}

// recordLost records that the direct path to a target fails. It reports whether that is a change.
func (s *paths) recordLost(now camphorhinge.Instant, address string) bool {
	p := s.get(now, address)
	if p.lost {
		return false
	}
	p.lost, p.probedAt, p.deadUntil = true, now, 0
	return true
}

// recordDead records that neither the direct path nor relays reach a target.
func (s *paths) recordDead(now camphorhinge.Instant, address string) {
	p := s.get(now, address)
	p.lost, p.deadUntil = false, now.Add(deadTime)
}

// others returns up to most addresses besides the given one whose paths count as sound and may be probed now: when one path
// is lost, others may be, too.
func (s *paths) others(now camphorhinge.Instant, address string, most int) []string {
	var out []string
	for other, p := range s.byAddress {
		if other == address || p.lost || now < p.deadUntil || now.Sub(p.usedAt) > pathRetention || !s.dueProbe(now, p) {
			continue
		}
		if out = append(out, other); len(out) >= most {
			break
		}
	}
	return out
}
