package schedule

import (
	"log/slog"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// failuresAllowed is the number of failures in a row from which a core node is avoided. It is then probed each
	// probeEvery, and asked again once it answers a probe.
	failuresAllowed = 3
	probeEvery      = 500 * time.Millisecond
	// maxEvents bounds the events that wait for a core node.
	maxEvents = 2048
	// presentEvery is the time between two calls to the preferred core node when nothing else is to be told.
	presentEvery = time.Second
)

// link is what an entry node keeps for one core node.
type link struct {
	log *slog.Logger
	// session rises when events for the core node are dropped, so that it forgets the placements whose end it can't learn.
	session uint32
	// events wait for the core node.
	events []event
	// called is when it was called last.
	called camphorhinge.Instant
	// failed counts failures in a row.
	failed int
	// avoid is when a core node that failed is probed next; 0 when it may be asked.
	avoid camphorhinge.Instant
	// teach is set when it did not know this node and is to be told what engines hold.
	teach bool
}

// event is what happened to a placement, to be told with its age.
type event struct {
	*peerpb.PlaceEvent
	at camphorhinge.Instant
	// session is that of the placement.
	session uint32
}

// heard notes an answer.
func (l *link) heard(resp *peerpb.PlaceResponse) {
	if l.avoid != 0 {
		l.log.Info("core node may place requests again", "session", l.session)
	}
	l.failed, l.avoid = 0, 0
	if resp.GetUnknown() {
		l.teach = true
	}
}

// missed notes a call without an answer. The events that it took along are told again: to be told twice changes nothing.
func (l *link) missed(now camphorhinge.Instant, events []event, err error) {
	l.failed++
	l.queue(events...)
	if l.failed < failuresAllowed {
		return
	}
	if l.avoid == 0 {
		l.log.Warn("core node does not place requests", "failures", l.failed, "error", err)
		l.drop()
	}
	l.avoid = now.Add(probeEvery)
}

// queue adds events to those that wait. Events of earlier sessions are not needed any more.
func (l *link) queue(events ...event) {
	if len(l.events)+len(events) > maxEvents {
		l.log.Warn("events for core node dropped", "events", len(l.events)+len(events), "session", l.session)
		l.drop()
	}
	for _, e := range events {
		if e.session == l.session {
			l.events = append(l.events, e)
		}
	}
}

// drop begins a new session without the events that wait.
func (l *link) drop() {
	l.session++
	l.events = nil
}

// take returns the events that wait.
func (l *link) take(now camphorhinge.Instant) []event {
	out := l.events
	l.events, l.called = nil, now
	return out
}

// due reports whether the core node is to be called now without a request; preferred tells that it is the one to ask.
func (l *link) due(now camphorhinge.Instant, preferred bool) bool {
	if l.avoid != 0 {
		return now >= l.avoid
	}
	return len(l.events) > 0 || l.teach || preferred && now.Sub(l.called) >= presentEvery
}
