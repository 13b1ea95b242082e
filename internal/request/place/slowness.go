package place

import (
	"math"
	"time"

	"example.org/camphorhinge"
)

const (
	// slownessHalfLife is the time in which a reported slowness approaches the target's usual one by half: it changes many times
	// a second.
	slownessHalfLife = 100 * time.Millisecond
	// usualSlownessWeight is the weight of the last report in a target's usual slowness.
	usualSlownessWeight = 0.1
	// usualSlownessHalfLife is the time in which the usual slowness of a target without reports approaches 1 by half: a target that
	// gets no requests could not show otherwise that it is faster again.
	usualSlownessHalfLife = 15 * time.Second
	// minSlowness and maxSlowness bound a single report.
	minSlowness, maxSlowness = 0.25, 16.0
)

// slowness is what a target has reported of the time that its work takes, relative to the usual time.
type slowness struct {
	// latest is the last report, which came at reportedAt, and usual the moving average of all of them; 0 without any.
	latest, usual float64
	reportedAt    camphorhinge.Instant
}

// record stores a report; 0 stands for none, and one that is older than the last has no effect.
func (s *slowness) record(now camphorhinge.Instant, reported float64) {
	if reported <= 0 || now < s.reportedAt {
		return
	}
	reported = min(max(reported, minSlowness), maxSlowness)
	if s.usual == 0 {
		s.usual = reported
	}
	s.usual = s.usualAt(now)
	s.usual += usualSlownessWeight * (reported - s.usual)
	s.latest, s.reportedAt = reported, now
}

// decay returns the factor that an age leaves of a value.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// usualAt returns the usual slowness, or 1 without a report.
func (s *slowness) usualAt(now camphorhinge.Instant) float64 {
	if s.usual == 0 {
		return 1
	}
	return 1 + (s.usual-1)*decay(now.Sub(s.reportedAt), usualSlownessHalfLife)
}

// at returns the expected slowness, or 1 without a report.
func (s *slowness) at(now camphorhinge.Instant) float64 {
	if s.usual == 0 {
		return 1
	}
	usual := s.usualAt(now)
	return usual + (s.latest-usual)*decay(now.Sub(s.reportedAt), slownessHalfLife)
}

// relative returns the expected slowness relative to the target's usual one, for times that were measured at the target.
func (s *slowness) relative(now camphorhinge.Instant) float64 {
	if s.usual == 0 {
		return 1
	}
	return s.at(now) / s.usualAt(now)
}
