package forward

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/place"
)

// meters holds the request metrics by service and outcome.
type meters struct{ set *metrics.Set }

func newMeters(set *metrics.Set) *meters { return &meters{set: set} }

// record counts a finished request; first is the time to the first event, or 0 without one.
func (m *meters) record(service camphorhinge.ServiceName, outcome string, took, first time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("camphorhinge_forward_requests_total{service=%q,outcome=%q}", service, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("camphorhinge_forward_seconds{service=%q}", service)).Update(took.Seconds())
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("camphorhinge_forward_first_event_seconds{service=%q}", service)).Update(first.Seconds())
	}
}

// recordContinued counts a stream that a caller continues.
func (m *meters) recordContinued(service camphorhinge.ServiceName, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("camphorhinge_streams_continued_total{service=%q,outcome=%q}", service, outcome)).Inc()
}

// segmentHashes returns the hashes of a prompt's segments in hexadecimal, in order.
func segmentHashes(segments []place.Segment) string {
	var b strings.Builder
	for i, s := range segments {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(s.Hash, 16))
	}
	return b.String()
}

// recordOutcome logs the outcome of a request and updates the metrics.
func (f *Forwarder) recordOutcome(j *job, err *Error) {
	now := f.cfg.Clock.Now()
	took := now.Sub(j.began)
	var first time.Duration
	if j.firstEventAt > 0 {
		first = j.firstEventAt.Sub(j.began)
	}
	outcome := "served"
	if err != nil {
		outcome = string(err.Kind)
	}
	service := camphorhinge.ServiceName("")
	if j.service != nil {
		service = j.service.Name
	}
	f.meters.record(service, outcome, took, first)
	status := j.status
	if err != nil && !j.headerSent {
		status = err.Status
	}
	attrs := []any{
		"request", j.info.Attempt, "outcome", outcome, "status", status, "took_ms", took.Milliseconds(),
		"first_ms", first.Milliseconds(), "arrivals", j.arrivals,
	}
	if j.route != nil {
		attrs = append(attrs, "route", j.route.Name, "service", service, "config", j.version)
	}
	if w := j.workspace(); w != "" {
		attrs = append(attrs, "workspace", w)
	}
	if t := j.plan.Serve; t != nil {
		attrs = append(attrs, "queued_ms", j.placedAt.Sub(j.began).Milliseconds(), "target", t.Name, "software", t.Software, "plan", j.plan.Reason, "expected_ms", j.plan.Expected.Milliseconds(),
			"prompt", j.info.Prompt, "unread", j.plan.Uncached)
	}
	if t := j.plan.Prefill; t != nil {
		attrs = append(attrs, "prefill", t.Name, "prefill_ms", j.prefillTime.Milliseconds())
	}
	if t := j.plan.Fetch; t != nil {
		attrs = append(attrs, "fetch", t.Name)
	}
	if j.route != nil && j.continues() {
		attrs = append(attrs, "resumes", j.info.Resumes, "after", j.info.LastEventID)
		if j.origin != nil {
			attrs = append(attrs, "origin", j.origin.Software)
		}
	}
	if j.headerSent {
		attrs = append(attrs, "events", j.events, "last_event", j.lastEventID)
	}
	if j.unframed {
		attrs = append(attrs, "unframed", true)
	}
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
		attrs = append(attrs, "fingerprint", j.fingerprint, "parts", j.fingerprintParts(), "segments", segmentHashes(j.info.Segments), "run", err.Run, "retry_after_ms", err.RetryAfter.Milliseconds(), "error", err.Err)
	}
	f.cfg.Log.Log(nil, level, "request ended", attrs...) //nolint:staticcheck // No context carries anything for the log.
}
