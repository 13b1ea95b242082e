package schedule

import (
	"log/slog"
	"slices"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// failureThreshold is the number of consecutive failures after which a core node is avoided. It is then probed
	// every probeInterval, and used again once it answers a probe.
	failureThreshold = 3
	probeInterval    = 500 * time.Millisecond
	// maxEvents bounds the events queued for a core node.
	maxEvents = 2048
	// deferTime is how long an event waits for another call if the core node reckons with it: that a request which generates at
	// one engine after a separate prefill has begun or ended there.
	deferTime = 200 * time.Millisecond
	// keepAliveInterval is the time between two calls to the preferred core node when nothing is queued.
	keepAliveInterval = time.Second
)

// link is an entry node's state for one core node.
type link struct {
	log *slog.Logger
	// session increases when events for the core node are dropped, so that it discards the placements whose end events
	// are lost.
	session uint32
	// events is the queue for the core node.
	events []event
	// lastCall is the time of the latest call.
	lastCall camphorhinge.Instant
	// failures counts consecutive failures.
	failures int
	// probeAt is the time of the next probe of a core node that failed; 0 when it is not avoided.
	probeAt camphorhinge.Instant
	// open is the number of placements of the core node that have not ended. It needs calls to keep their record.
	open int
	// sendCaches is set when the core node had no state of this node; the next flush then sends the known cache
	// contents.
	sendCaches bool
}

// event is an event of a placement and the time at which it happened; it is sent with its age.
type event struct {
	*peerpb.PlaceEvent
	at camphorhinge.Instant
	// session is the session to which the placement belongs.
	session uint32
	// deferrable is set if the event may wait up to deferTime for a call that is made anyway.
	deferrable bool
}

// recordResponse records a successful call.
func (l *link) recordResponse(resp *peerpb.PlaceResponse) {
	if l.probeAt != 0 {
		l.log.Info("core node may place requests again", "session", l.session)
	}
	l.failures, l.probeAt = 0, 0
	if resp.GetUnknown() {
		l.sendCaches = true
	}
}

// recordFailure records a call without an answer. Its events are queued again; a core node ignores repeated events.
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

// queue appends events to the queue. Events of earlier sessions are dropped, since the core node has discarded their
// placements.
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

// resetSession starts a new session and drops the queued events.
func (l *link) resetSession() {
	l.session++
	l.events = nil
}

// takeEvents removes and returns the queued events.
func (l *link) takeEvents(now camphorhinge.Instant) []event {
	out := l.events
	l.events, l.lastCall = nil, now
	return out
}

// callDue reports whether to call the core node now without a placement request; preferred marks the one that places
// the requests of undivided services. Each call takes processor time there, whatever it carries.
func (l *link) callDue(now camphorhinge.Instant, preferred bool) bool {
	if l.probeAt != 0 {
		return now >= l.probeAt
	}
	return l.sendCaches || (preferred || l.open > 0) && now.Sub(l.lastCall) >= keepAliveInterval ||
		slices.ContainsFunc(l.events, func(e event) bool { return !e.deferrable || now.Sub(e.at) >= deferTime })
}
