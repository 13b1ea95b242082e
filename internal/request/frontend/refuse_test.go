package frontend

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
)

// gate is a scripted Admission and Quarantine that records how attempts ended.
type gate struct {
	openAdmission
	refusal     *camphorhinge.Refusal
	quarantined time.Duration
	released    int
	ends        []string
}

func (g *gate) Admit(camphorhinge.AdmitRequest) (func(), *camphorhinge.Refusal) {
	if g.refusal != nil {
		return nil, g.refusal
	}
	return func() { g.released++ }, nil
}

func (g *gate) Refused(camphorhinge.Fingerprint, ...camphorhinge.Fingerprint) (time.Duration, bool) {
	return g.quarantined, g.quarantined > 0
}

func (g *gate) Begin(*camphorhinge.Target, camphorhinge.Fingerprint, camphorhinge.Fingerprint, ...camphorhinge.Fingerprint) func(crashed, succeeded bool) {
	return func(crashed, succeeded bool) {
		switch {
		case crashed:
			g.ends = append(g.ends, "crashed")
		case succeeded:
			g.ends = append(g.ends, "succeeded")
		default:
			g.ends = append(g.ends, "failed")
		}
	}
}

// TestGate checks the class, status and Retry-After of requests that are refused before any target gets them, and what
// is reported to admission and quarantine for those that are admitted.
func TestGate(t *testing.T) {
	for _, tc := range []struct {
		name   string
		gate   gate
		body   string
		header map[string]string
		steps  []step
		status int
		kind   string
		retry  string
		ends   []string
	}{
		{name: "limit", gate: gate{refusal: &camphorhinge.Refusal{Kind: "limit", Message: "m", RetryAfter: 1200 * time.Millisecond}}, body: bufferedRequest, status: 429, kind: "limit", retry: "2"},
		{name: "shed", gate: gate{refusal: &camphorhinge.Refusal{Kind: "shed", Message: "m", RetryAfter: time.Second}}, body: bufferedRequest, status: 503, kind: "shed", retry: "1"},
		{name: "deadline", gate: gate{refusal: &camphorhinge.Refusal{Kind: "deadline", Message: "m"}}, body: bufferedRequest, status: 503, kind: "deadline"},
		{name: "quarantined", gate: gate{quarantined: time.Minute}, body: bufferedRequest, status: 422, kind: "quarantined", retry: "60"},
		{name: "bad priority", body: bufferedRequest, header: map[string]string{camphorhinge.HeaderPriority: "10"}, status: 400, kind: "invalid_request"},
		{name: "bad deadline", body: bufferedRequest, header: map[string]string{camphorhinge.HeaderDeadline: "-1"}, status: 400, kind: "invalid_request"},
		{name: "answer", body: bufferedRequest, steps: []step{answerFull(200, "ok")}, status: 200, ends: []string{"succeeded"}},
		{name: "error status", body: bufferedRequest, steps: []step{answerFull(500, "oops")}, status: 500, ends: []string{"failed"}},
		{name: "crash, then refusal", gate: gate{openAdmission: openAdmission{budget: 1}}, body: bufferedRequest, steps: []step{closeUnanswered(), refuse(503)}, status: 503, retry: "1", ends: []string{"crashed", "failed"}},
		{name: "crash in a stream, resumed", body: streamRequest, steps: []step{streamUntil(2, closeConn), stream()}, status: 200, ends: []string{"crashed", "succeeded"}},
		{name: "silence", body: bufferedRequest, steps: []step{neverAnswer()}, status: 504, ends: []string{"failed"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeTarget{name: "a", steps: tc.steps}
				net := &pipeDialer{fakes: map[string]*fakeTarget{"a": a}}
				view := &fixedTargets{targets: []*camphorhinge.Target{{
					Announcement: camphorhinge.Announcement{Name: "a", Address: "a"}, Serving: true,
				}}}
				tracer := noop.NewTracerProvider().Tracer("")
				x := exchange.New(exchange.Config{Dialer: net, Metrics: metrics.NewSet(), Tracer: tracer})
				f := New(Config{
					Router: view, Targets: view, Admission: &tc.gate, Quarantine: &tc.gate, Decisions: noDecisions{},
					Configuration: &fixedConfiguration{}, Exchange: x, Metrics: metrics.NewSet(), Tracer: tracer,
				})
				defer func() { require.NoError(t, errors.Join(f.Close(), x.Close(), net.group.Wait())) }()
				in := faultCase{body: tc.body}.request()
				for k, v := range tc.header {
					in.header.Set(k, v)
				}
				out := &recorder{header: http.Header{}}
				f.serve(t.Context(), in, out)
				require.Equal(t, tc.status, out.status, out.body.String())
				require.Contains(t, out.body.String(), tc.kind)
				require.Equal(t, tc.retry, out.header.Get("Retry-After"))
				require.Equal(t, tc.ends, tc.gate.ends)
				if tc.kind != "" {
					require.Equal(t, string(camphorhinge.NotRun), out.class())
					require.Zero(t, a.runs)
				} else {
					require.Equal(t, 1, tc.gate.released)
				}
			})
		})
	}
}
