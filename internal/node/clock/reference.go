package clock

import (
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// samplesPerSource is the number of recent samples of one source that are kept. The one that was delayed least counts, so that a
	// response held up on a full link does not shift the time.
	samplesPerSource = 4
	// sourceExpiry is the age, relative to the newest sample, at which a source no longer counts.
	sourceExpiry = time.Minute
	// settleTime is the time after the first sample for which those of a majority are awaited. Entry nodes hear from each core node that
	// answers within 2.5 s.
	settleTime = 3 * time.Second
)

// Reference estimates true time from the wall clocks of several nodes: a monotonic clock plus the median offset of these clocks, so that
// a minority of clocks that jump has no effect. It is safe for concurrent use.
type Reference struct {
	clock camphorhinge.Clock
	// nodes returns the number of nodes whose clocks are expected.
	nodes func() int

	mu      sync.Mutex
	sources map[string]*source
	// first is when the first sample was recorded.
	first camphorhinge.Instant
	// offset is the median offset; valid once there is a source.
	offset time.Duration
}

// source holds the recent samples of one wall clock.
type source struct {
	// offsets are the wall clock's times less the instants of their receipt, oldest first.
	offsets  []time.Duration
	recorded camphorhinge.Instant
}

// NewReference returns a Reference without samples; nodes returns the number of nodes whose clocks are expected.
func NewReference(clock camphorhinge.Clock, nodes func() int) *Reference {
	return &Reference{clock: clock, nodes: nodes, sources: map[string]*source{}}
}

// Record adds a sample: the wall clock of a source, in milliseconds since the Unix epoch, was read at about the instant at. Delays
// between the reading and at make the sample too low.
func (r *Reference) Record(name string, at camphorhinge.Instant, wall int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sources) == 0 {
		r.first = at
	}
	s := r.sources[name]
	if s == nil {
		s = &source{}
		r.sources[name] = s
	}
	s.recorded = at
	s.offsets = append(s.offsets, time.Duration(wall)*time.Millisecond-time.Duration(at))
	if len(s.offsets) > samplesPerSource {
		s.offsets = slices.Delete(s.offsets, 0, 1)
	}
	all := make([]time.Duration, 0, len(r.sources))
	for other, x := range r.sources {
		if at.Sub(x.recorded) > sourceExpiry {
			delete(r.sources, other)
			continue
		}
		all = append(all, slices.Max(x.offsets))
	}
	slices.Sort(all)
	r.offset = all[(len(all)-1)/2]
}

// Settled reports whether the time is backed by the clocks of a majority, or no more have been heard of for a while.
func (r *Reference) Settled() bool {
	now, nodes := r.clock.Now(), r.nodes()
	r.mu.Lock()
	defer r.mu.Unlock()
	return nodes > 0 && len(r.sources) > nodes/2 || len(r.sources) > 0 && now.Sub(r.first) >= settleTime
}

// At returns the true time at an instant, since the Unix epoch; ok is false while there is no sample.
func (r *Reference) At(t camphorhinge.Instant) (sinceEpoch time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(t) + r.offset, len(r.sources) > 0
}
