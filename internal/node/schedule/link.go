package schedule

import (
	"log/slog"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// failureThreshold is the number of failures in a row from which a core node is avoided. It is then probed each
	// probeEvery, and asked again once it answers a probe.
	failureThreshold = 3
	probeInterval    = 500 * time.Millisecond
	// maxEvents bounds the events that wait for a core node.
	maxEvents = 2048
	// keepAliveInterval is the time between two calls to the preferred core node when nothing else is to be told.
	keepAliveInterval = time.Second
)

// link is what an entry node keeps for one core node.
type link struct {
	log *slog.Logger
	// session rises when events for the core node are dropped, so that it forgets the placements whose end it can't learn.
	session uint32
	// events wait for the core node.
	events []event
	// lastCall is when it was lastCall last.
	lastCall camphorhinge.Instant
	// failures counts failures in a row.
	failures int
	// probeAt is when a core node that failed is probed next; 0 when it may be asked.
	probeAt camphorhinge.Instant
	// sendCaches is set when it did not know this node and is to be told what engines hold.
	sendCaches bool
}

// event is what happened to a placement, to be told with its age.
type event struct {
	*peerpb.PlaceEvent
	at camphorhinge.Instant
	// session is that of the placement.
	session uint32
}

// recordResponse notes an answer.
func (l *link) recordResponse(resp *peerpb.PlaceResponse) {
	if l.probeAt != 0 {
		l.log.Info("core node may place requests again", "session", l.session)
	}
	l.failures, l.probeAt = 0, 0
	if resp.GetUnknown() {
		l.sendCaches = true
	}
}

// recordFailure notes a call without an answer. The events that it took along are told again: to be told twice changes nothing.
func (l *link) recordFailure(now camphorhinge.Instant, events []event, err error) {
	l.failures++
	l.queue(events...)
	if l.failures < failureThreshold {
		return
	}
	if l.probeAt == 0 {
		l.log.Warn("core node does not place requests", "failures", l.failures, "error", err)
		l.resetSession()
	}
	l.probeAt = now.Add(probeInterval)
}

// queue adds events to those that wait. Events of earlier sessions are not needed any more.
func (l *link) queue(events ...event) {
	if len(l.events)+len(events) > maxEvents {
		l.log.Warn("events for core node dropped", "events", len(l.events)+len(events), "session", l.session)
		l.resetSession()
	}
	for _, e := range events {
		if e.session == l.session {
			l.events = append(l.events, e)
		}
	}
}

// resetSession begins a new session without the events that wait.
func (l *link) resetSession() {
	l.session++
	l.events = nil
}

// takeEvents returns the events that wait.
func (l *link) takeEvents(now camphorhinge.Instant) []event {
	out := l.events
	l.events, l.lastCall = nil, now
	return out
}

// callDue reports whether the core node is to be called now without a request; preferred tells that it is the one to ask.
func (l *link) callDue(now camphorhinge.Instant, preferred bool) bool {
	if l.probeAt != 0 {
		return now >= l.probeAt
	}
	return len(l.events) > 0 || l.sendCaches || preferred && now.Sub(l.lastCall) >= keepAliveInterval
}
