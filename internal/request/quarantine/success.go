package quarantine

import "example.org/camphorhinge"

// maxSuccesses bounds the segments in each of the two maps of successes, some 50 bytes each.
const maxSuccesses = 8192

// lastSuccess is the time of the last success with a segment, and whether it has been reported.
type lastSuccess struct {
	at       camphorhinge.Instant
	reported bool
}

// successes holds the last success with each segment, at least for the latest maxSuccesses segments. The zero value is
// empty.
type successes struct {
	// When current is full, it replaces previous.
	current, previous map[camphorhinge.Fingerprint]lastSuccess
}

// last returns the last success with a segment; ok is false if none is known.
func (s *successes) last(seg camphorhinge.Fingerprint) (x lastSuccess, ok bool) {
	if x, ok = s.current[seg]; !ok {
		x, ok = s.previous[seg]
	}
	return x, ok
}

// put records the last success with a segment.
func (s *successes) put(seg camphorhinge.Fingerprint, x lastSuccess) {
	if s.current == nil {
		s.current = make(map[camphorhinge.Fingerprint]lastSuccess)
	}
	if _, known := s.current[seg]; !known && len(s.current) >= maxSuccesses {
		s.current, s.previous = make(map[camphorhinge.Fingerprint]lastSuccess), s.current
	}
	s.current[seg] = x
}
