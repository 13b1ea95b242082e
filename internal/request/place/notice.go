package place

import (
	"maps"
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// MaxPause bounds the pause that a target may ask for, so that a faulty one does not remove itself for hours.
	MaxPause = 5 * time.Minute
	// noticeGrace is the time after a notice in which requests that were placed before it are still sent.
	noticeGrace = 300 * time.Millisecond
	// resumeTime is the time after a pause in which a target gets back its share of the requests. All nodes' pauses may end
	// together, and each node would find the target idle.
	resumeTime = 2 * time.Second
	// leavingRetention is how long it is known of a target that it leaves; its process ends within seconds to minutes.
	leavingRetention = 10 * time.Minute
)

// Notice is what a target stated in an answer about further requests of the node that got it.
type Notice struct {
	// Leaving is set if the target leaves.
	Leaving bool
	// Pause is the time for which the target wants no request of the node, or 0.
	Pause time.Duration
}

// notices holds what a target in one incarnation has stated.
type notices struct {
	// leavingSince is the time of the first answer which stated that the target leaves, or 0.
	leavingSince camphorhinge.Instant
	// pausedSince and pausedUntil are begin and end of the latest pause.
	pausedSince, pausedUntil camphorhinge.Instant
}

// record stores the content of an answer. If it is the first that closes the target, record returns for how long, otherwise 0.
func (n *notices) record(now camphorhinge.Instant, x Notice) time.Duration {
	wasClosed := n.closed(now)
	if x.Leaving && n.leavingSince == 0 {
		n.leavingSince = now
	}
	if until := now.Add(min(x.Pause, MaxPause)); x.Pause > 0 && until > n.pausedUntil {
		if now >= n.pausedUntil {
			n.pausedSince = now
		}
		n.pausedUntil = until
	}
	switch {
	case wasClosed:
		return 0
	case n.leaving(now):
		return leavingRetention
	}
	return max(n.pausedUntil.Sub(now), 0)
}

// closed reports whether the target must not be chosen now.
func (n *notices) closed(now camphorhinge.Instant) bool {
	return n.leaving(now) || now < n.pausedUntil
}

// resumed returns the share of the requests for which the target may be preferred to others again after a pause, from 0 to 1.
func (n *notices) resumed(now camphorhinge.Instant) float64 {
	if n.pausedUntil == 0 {
		return 1
	}
	return min(max(now.Sub(n.pausedUntil).Seconds()/resumeTime.Seconds(), 0), 1)
}

// leaving reports whether the target has stated that it leaves.
func (n *notices) leaving(now camphorhinge.Instant) bool {
	return n.leavingSince > 0 && now.Sub(n.leavingSince) < leavingRetention
}

// barred reports whether a request that was placed before must not be sent any more.
func (n *notices) barred(now camphorhinge.Instant) bool {
	return n.leaving(now) && now.Sub(n.leavingSince) >= noticeGrace || now < n.pausedUntil && now.Sub(n.pausedSince) >= noticeGrace
}

// Notices holds what targets stated to one node that only passes on requests which others have placed. It is safe for concurrent
// use; the zero value is empty.
type Notices struct {
	mu       sync.Mutex
	byTarget map[camphorhinge.TargetName]*targetNotices
}

// targetNotices are those of a target in one incarnation.
type targetNotices struct {
	notices
	incarnation camphorhinge.Incarnation
}

// Record records what a target stated in an answer. If the node must send it no request from now on, it returns for how long,
// otherwise 0.
func (s *Notices) Record(now camphorhinge.Instant, t *camphorhinge.Target, n Notice) time.Duration {
	if n == (Notice{}) {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byTarget, func(_ camphorhinge.TargetName, x *targetNotices) bool { return !x.closed(now) })
	if s.byTarget == nil {
		s.byTarget = make(map[camphorhinge.TargetName]*targetNotices)
	}
	x := s.byTarget[t.Name]
	if x == nil || x.incarnation != t.Incarnation {
		x = &targetNotices{incarnation: t.Incarnation}
		s.byTarget[t.Name] = x
	}
	return x.record(now, n)
}

// Closed reports whether the node must send a target no request now.
func (s *Notices) Closed(now camphorhinge.Instant, t *camphorhinge.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.byTarget[t.Name]
	return x != nil && x.incarnation == t.Incarnation && x.closed(now)
}

// RecordNotice records what the target stated in an answer. If the node must not choose the target from now on, it returns for
// how long, otherwise 0.
func (f *InFlight) RecordNotice(now camphorhinge.Instant, n Notice) time.Duration {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	return f.state.notices.record(now, n)
}

// Barred reports whether the attempt must not be sent because of what the target has stated since it was placed.
func (f *InFlight) Barred(now camphorhinge.Instant) bool {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	return f.state.notices.barred(now)
}

// minPaused is the number of targets that must have asked for a pause before it is taken for one of all targets.
const minPaused = 2

// PauseLeft returns the time until the first of the targets that may serve a request ends its pause, or 0 if they don't all want
// one. Certain is set if all have asked for a pause. Otherwise several have, and none of the others has taken an attempt that was sent
// since: a refused caller that came back at once would be refused again.
func (p *Placer) PauseLeft(now camphorhinge.Instant, live []*camphorhinge.Target, req *Request) (left time.Duration, certain bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var paused, others int
	var began, tookAt camphorhinge.Instant
	for _, t := range live {
		s := p.stateOf(now, t)
		if !t.Serving || t.Role == camphorhinge.RolePrefill || !req.mayServe(t) || s.notices.leaving(now) {
			continue
		}
		x := s.notices.pausedUntil.Sub(now)
		if x <= 0 {
			others++
			tookAt = max(tookAt, s.tookAt)
			continue
		}
		if paused == 0 || x < left {
			left = x
		}
		if paused == 0 || s.notices.pausedSince < began {
			began = s.notices.pausedSince
		}
		paused++
	}
	switch {
	case others == 0:
		return left, paused > 0
	case paused < minPaused || tookAt > began:
		return 0, false
	}
	return left, false
}
