package frontend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/exchange"
	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
)

// recorder is a caller that keeps what it gets.
type recorder struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	aborted bool
	// leave is called once leaveAfter pieces arrived.
	leaveAfter int
	leave      func()
}

func (r *recorder) Whole(status int, header http.Header, body []byte) {
	r.Head(status, header)
	r.body.Write(body)
}

func (r *recorder) Head(status int, header http.Header) { r.status, r.header = status, header }

func (r *recorder) Write(p []byte) (int, error) {
	if r.leaveAfter--; r.leaveAfter == 0 && r.leave != nil {
		r.leave()
	}
	return r.body.Write(p)
}

func (r *recorder) Abort() { r.aborted = true }

// class is what the caller is told: by the header, or by the error event of a stream.
func (r *recorder) class() string {
	if _, event, ok := strings.Cut(r.body.String(), "event: error\n"); ok {
		for _, c := range []camphorhinge.RunClass{camphorhinge.NotRun, camphorhinge.Run, camphorhinge.Unknown} {
			if strings.Contains(event, fmt.Sprintf(`"run":%q`, c)) {
				return string(c)
			}
		}
		return "none"
	}
	return r.header.Get(camphorhinge.HeaderRun)
}

// ledger is a Proposer with a claim machine; failing proposals are of uncertain outcome and have no effect.
type ledger struct {
	machine *claim.Machine
	zero    time.Time
	failing bool
}

func (l *ledger) Propose(_ context.Context, _ camphorhinge.CommandKind, cmd []byte) ([]byte, error) {
	if l.failing {
		return nil, camphorhinge.ErrUncertain
	}
	return l.machine.Apply(camphorhinge.Entry{Stamp: time.Since(l.zero).Milliseconds()}, cmd), nil
}

// The requests of callers.
const (
	askWhole  = `{"model":"m","prompt":"x"}`
	askStream = `{"model":"m","prompt":"x","stream":true,"max_tokens":100}`
	askSeeded = `{"model":"m","prompt":"x","stream":true,"seed":1,"temperature":0}`
)

// answered is the stream that a caller must get in full, or not at all up to the end mark.
func answered() string {
	var b strings.Builder
	for n := range pieces {
		fmt.Fprintf(&b, "id: req/%d\ndata: %s\n\n", n, data(n, false))
	}
	return b.String() + "data: [DONE]\n\n"
}

type row struct {
	// fault names what goes wrong, point where on the path.
	fault, point string
	// body is a model request; call is the method of a call to a plain service, with key and the content "pay".
	body, call, key string
	// large makes the plain call's body one of 300 KiB without a content length.
	large  bool
	a, b   []step
	budget int
	// drain marks target a as not serving after this time; the caller leaves after leave pieces, or at the time gone.
	drain   time.Duration
	leave   int
	gone    time.Duration
	unclear bool
	// The promise: status, class and the number of runs on all targets, and the answer, of which "stream" is the whole
	// stream and "cut" a true prefix of it with an error event.
	status int
	class  string
	runs   int
	answer string
	// seen lists what must have happened on a and b besides runs.
	seen string
	// again is the status and class of the same request sent a second time.
	again string
}

func rows() []row {
	ok, done := []step{whole(200, "ok")}, []step{stream()}
	gone := broken(2, cut)
	return []row{
		{fault: "connection refused", point: "connect", body: askStream, a: []step{noDial()}, b: done, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "all connections refused", point: "connect", body: askStream, a: []step{noDial()}, b: []step{noDial()}, status: 503, class: "not-run", answer: "no_target"},
		{fault: "refusal", point: "target", body: askWhole, a: []step{refusing(503)}, b: ok, status: 200, class: "run", runs: 1, answer: "ok"},
		{fault: "refusal by all", point: "target", body: askWhole, a: []step{refusing(503)}, b: []step{refusing(404)}, status: 503, class: "not-run", answer: "no_target"},
		{fault: "refusal of the body", point: "target", body: askWhole, a: []step{refusing(400)}, b: ok, status: 400, class: "not-run", answer: "invalid_request"},
		{fault: "close after the request", point: "header", body: askWhole, budget: 1, a: []step{closing()}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},
		{fault: "close after the request, no budget", point: "header", body: askWhole, a: []step{closing()}, b: ok, status: 502, class: "unknown", runs: 1, answer: "target"},
		{fault: "then refusal", point: "header", body: askWhole, budget: 1, a: []step{closing()}, b: []step{refusing(503)}, status: 503, class: "unknown", runs: 1},
		{fault: "silence", point: "header", body: askWhole, budget: 1, a: []step{silent()}, b: ok, status: 200, class: "run", runs: 2, answer: "ok", seen: "a: probe cancel"},
		{fault: "silence on the idle connections of all targets", point: "header", body: askStream, budget: 1, a: []step{refusing(503), silent()}, b: mutedLater(), status: 200, class: "run", runs: 3, answer: "stream", again: "200 run"},
		{fault: "answer after the abandon", point: "header", body: askWhole, budget: 1, a: []step{after(50*time.Second, whole(200, "late"))}, b: ok, status: 200, class: "run", runs: 2, answer: "ok", seen: "a: failed"},
		{fault: "malformed header", point: "header", body: askWhole, budget: 1, a: []step{raw("nonsense\r\n\r\n")}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},
		{fault: "endless header", point: "header", body: askWhole, budget: 1, a: []step{raw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX: " + strings.Repeat("x", 70<<10) + "\r\n\r\nbad")}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},
		{fault: "header of another attempt", point: "header", body: askWhole, budget: 1, a: []step{raw("HTTP/1.1 200 OK\r\nCamphorhinge-Attempt: zz\r\nContent-Length: 3\r\n\r\nbad")}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},
		{fault: "short content", point: "body", body: askWhole, budget: 1, a: []step{raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbad")}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},
		{fault: "missing last chunk", point: "body", body: askWhole, budget: 1, a: []step{raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n")}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},
		{fault: "no framing", point: "body", body: askWhole, budget: 1, a: []step{raw("HTTP/1.1 200 OK\r\n\r\nbad")}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},
		{fault: "error status", point: "header", body: askWhole, budget: 1, a: []step{whole(500, "oops")}, b: ok, status: 500, class: "run", runs: 1, answer: "oops"},
		{fault: "error status of unknown outcome", point: "header", body: askWhole, budget: 1, a: []step{raw("HTTP/1.1 503 X\r\nCamphorhinge-Run: unknown\r\nContent-Length: 0\r\n\r\n")}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},

		{fault: "cut", point: "before the first piece", body: askStream, budget: 1, a: []step{broken(0, cut)}, b: done, status: 200, class: "run", runs: 2, answer: "stream"},
		{fault: "error status", point: "before the first piece", body: askStream, budget: 1, a: []step{whole(500, "oops")}, b: done, status: 500, class: "run", runs: 1, answer: "oops"},
		{fault: "no event stream", point: "before the first piece", body: askStream, budget: 1, a: []step{whole(200, "text")}, b: done, status: 200, class: "run", runs: 2, answer: "stream"},
		{fault: "long prefill", point: "before the first piece", body: askStream, a: []step{prefill(15 * time.Second)}, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "endless prefill", point: "before the first piece", body: askStream, budget: 1, a: []step{prefill(25 * time.Second)}, b: done, status: 200, class: "run", runs: 2, answer: "stream"},
		{fault: "cut", point: "after 2 pieces", body: askStream, a: []step{gone, stream()}, status: 200, class: "run", runs: 1, answer: "stream", seen: "a: resume 2"},
		{fault: "cut twice", point: "after 2 and 4 pieces", body: askStream, a: []step{gone, broken(4, cut), stream()}, status: 200, class: "run", runs: 1, answer: "stream", seen: "a: resume 2 resume 4"},
		{fault: "silence", point: "after 2 pieces", body: askStream, a: []step{broken(2, (*visit).wait), stream()}, status: 200, class: "run", runs: 1, answer: "stream", seen: "a: probe resume 2"},
		{fault: "event of another attempt", point: "after 2 pieces", body: askStream, a: []step{broken(2, lines("id: zz/2\ndata: {}\n\n")), stream()}, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "event without id", point: "after 2 pieces", body: askStream, a: []step{broken(2, lines("data: {}\n\n")), stream()}, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "repeated offset", point: "after 2 pieces", body: askStream, a: []step{broken(2, lines("id: ID/1\ndata: {}\n\n")), stream()}, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "skipped offset", point: "after 2 pieces", body: askStream, a: []step{broken(2, lines("id: ID/3\ndata: {}\n\n")), stream()}, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "endless event", point: "after 2 pieces", body: askStream, a: []step{broken(2, lines("data: "+strings.Repeat("x", 2<<20))), stream()}, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "early end mark", point: "after 2 pieces", body: askStream, a: []step{broken(2, ends("data: [DONE]\n\n")), stream()}, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "end without mark", point: "after the last piece", body: askStream, a: []step{broken(5, ends("")), stream()}, status: 200, class: "run", runs: 1, answer: "stream", seen: "a: resume 5"},
		{fault: "event after the end mark", point: "after the last piece", body: askStream, a: []step{broken(5, lines("data: [DONE]\n\nid: ID/6\ndata: {}\n\n"))}, status: 200, class: "run", runs: 1, answer: "stream"},
		{fault: "cut, attempt lost", point: "after 2 pieces", body: askStream, budget: 1, a: []step{gone, refusing(404), noCache()}, b: done, status: 200, class: "unknown", runs: 1, answer: "cut"},
		{fault: "cut, engine gone", point: "after 2 pieces", body: askStream, budget: 1, a: []step{gone, noDial()}, b: done, status: 200, class: "unknown", runs: 1, answer: "cut"},
		{fault: "cut, attempt lost, deterministic", point: "after 2 pieces", body: askSeeded, budget: 1, a: []step{gone, refusing(404), noCache()}, b: done, status: 200, class: "run", runs: 2, answer: "stream"},
		{fault: "second run cut as well", point: "after 2 pieces", body: askSeeded, budget: 1, a: []step{gone, noDial()}, b: []step{broken(1, cut), stream()}, status: 200, class: "run", runs: 2, answer: "stream", seen: "b: resume 1"},
		{fault: "cut, no budget, deterministic", point: "after 2 pieces", body: askSeeded, a: []step{gone, noDial()}, b: done, status: 200, class: "unknown", runs: 1, answer: "cut"},
		{fault: "second run differs", point: "after 3 pieces", body: askSeeded, budget: 1, a: []step{broken(3, cut), noDial()}, b: []step{otherwise(false)}, status: 200, class: "unknown", runs: 2, answer: "cut"},
		{fault: "second run is shorter", point: "after 3 pieces", body: askSeeded, budget: 1, a: []step{broken(3, cut), noDial()}, b: []step{otherwise(true)}, status: 200, class: "unknown", runs: 2, answer: "cut"},
		{fault: "cut, cache moved", point: "after 2 pieces", body: askStream, a: []step{gone, refusing(503)}, b: done, status: 200, class: "run", runs: 1, answer: "stream", seen: "a: export; b: import resume 2"},
		{fault: "drained", point: "mid-stream", body: askStream, drain: 500 * time.Millisecond, a: []step{slow(300 * time.Millisecond)}, b: done, status: 200, class: "run", runs: 1, answer: "stream", seen: "a: export cancel; b: import resume 3"},
		{fault: "drained, export refused", point: "mid-stream", body: askStream, drain: 500 * time.Millisecond, a: []step{slow(300 * time.Millisecond), noCache()}, status: 200, class: "run", runs: 1, answer: "stream", seen: "a: export"},
		{fault: "caller leaves", point: "after 2 pieces", body: askStream, leave: 2, a: []step{slow(time.Second)}, runs: 1, status: 200, class: "run", seen: "a: cancel"},
		{fault: "caller leaves", point: "before the answer", body: askWhole, gone: time.Second, a: []step{silent()}, runs: 1, seen: "a: cancel"},
		{fault: "long run", point: "header", body: askWhole, a: []step{after(40*time.Second, whole(200, "ok"))}, status: 200, class: "run", runs: 1, answer: "ok"},
		{fault: "deadline", point: "mid-stream", body: askStream, a: []step{broken(2, func(v *visit) {
			for range 30 {
				v.chunk(": busy\n\n")
				time.Sleep(4 * time.Second)
			}
		})}, status: 200, class: "unknown", runs: 1, answer: "cut", seen: "a: cancel"},

		{fault: "connection refused", point: "connect", call: "POST", a: []step{noDial()}, b: ok, status: 200, class: "run", runs: 1, answer: "ok"},
		{fault: "close before the first byte", point: "write", call: "POST", a: []step{hungUp()}, b: ok, status: 200, class: "run", runs: 1, answer: "ok"},
		{fault: "close before the first byte by all", point: "write", call: "POST", a: []step{hungUp()}, b: []step{hungUp()}, status: 502, class: "not-run"},
		{fault: "close after the request", point: "header", call: "POST", budget: 9, a: []step{closing()}, b: ok, status: 502, class: "unknown", runs: 1},
		{fault: "silence", point: "header", call: "POST", budget: 9, a: []step{silent()}, b: ok, status: 504, class: "unknown", runs: 1},
		{fault: "short content", point: "body", call: "POST", budget: 9, a: []step{raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbad")}, b: ok, status: 502, class: "unknown", runs: 1},
		{fault: "cut in a long answer", point: "body", call: "GET", budget: 9, a: []step{raw("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat("x", 300<<10))}, b: ok, status: 200, class: "run", runs: 1, answer: "aborted"},
		{fault: "error status", point: "header", call: "POST", a: []step{whole(500, "oops")}, b: ok, status: 500, class: "run", runs: 1, answer: "oops"},
		{fault: "close after the request", point: "header", call: "GET", budget: 1, a: []step{closing()}, b: ok, status: 200, class: "run", runs: 2, answer: "ok"},
		{fault: "close after the request, no budget", point: "header", call: "GET", a: []step{closing()}, b: ok, status: 502, class: "unknown", runs: 1},
		{fault: "close after a long body", point: "header", call: "PUT", large: true, budget: 9, a: []step{closing()}, b: ok, status: 502, class: "unknown", runs: 1},
		{fault: "refusal of a long body", point: "target", call: "PUT", large: true, a: []step{refusing(503)}, b: ok, status: 503, class: "not-run"},
		{fault: "none", point: "resend", call: "POST", key: "k", a: []step{whole(201, "paid")}, status: 201, class: "run", runs: 1, answer: "paid", again: "201 run"},
		{fault: "answer beyond 64 KiB", point: "resend", call: "POST", key: "k", a: []step{whole(201, strings.Repeat("x", 65<<10))}, status: 201, class: "run", runs: 1, again: "201 run"},
		{fault: "close after the request", point: "resend", call: "POST", key: "k", budget: 9, a: []step{closing()}, b: ok, status: 502, class: "unknown", runs: 1, again: "409 unknown"},
		{fault: "caller leaves", point: "resend", call: "POST", key: "k", gone: time.Second, a: []step{after(3*time.Second, whole(201, "paid"))}, status: 201, class: "run", runs: 1, answer: "paid", again: "201 run"},
		{fault: "refusal by all, then none", point: "resend", call: "POST", key: "k", a: []step{refusing(503), whole(201, "paid")}, b: []step{noDial()}, status: 503, class: "not-run", runs: 1, again: "201 run"},
		{fault: "claim uncertain", point: "claim", call: "POST", key: "k", unclear: true, a: ok, status: 503, class: "unknown", again: "503 unknown"},
	}
}

// TestContract guards what callers are promised at each point of failure: a class that holds, an answer that is whole or
// has no end, at most one run where a second is not allowed.
func TestContract(t *testing.T) {
	for _, tc := range rows() {
		t.Run(strings.Join([]string{tc.call, tc.point, tc.fault}, "/"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, tc) })
		})
	}
}

func check(t *testing.T, tc row) {
	a, b := &fake{name: "a", steps: tc.a}, &fake{name: "b", steps: tc.b}
	net := &pipes{fakes: map[string]*fake{"a": a, "b": b}}
	view := &fleet{}
	for _, f := range []*fake{a, b} {
		view.targets = append(view.targets, &camphorhinge.Target{
			Announcement: camphorhinge.Announcement{Name: camphorhinge.TargetName(f.name), Address: f.name}, Serving: true,
		})
	}
	tracer, zero := noop.NewTracerProvider().Tracer(""), time.Now()
	x := exchange.New(exchange.Config{Dialer: net, Metrics: metrics.NewSet(), Tracer: tracer})
	log := &ledger{machine: claim.NewMachine(), zero: zero, failing: tc.unclear}
	ids := 0
	f := New(Config{
		Router: view, Targets: view, Admission: &open{budget: tc.budget}, Decisions: quiet{}, Configuration: &fixed{},
		Exchange: x, Metrics: metrics.NewSet(), Tracer: tracer,
		Claims: claim.New(claim.Config{Proposer: log, Node: "n1", Metrics: metrics.NewSet()}),
		NewID: func() string {
			if ids++; ids == 1 {
				return "req"
			}
			return fmt.Sprintf("id-%d", ids)
		},
	})
	shut := func() error { return errors.Join(f.Close(), x.Close(), net.group.Wait()) }
	defer func() { _ = shut() }()
	if tc.drain > 0 {
		net.group.Go(func() error {
			time.Sleep(tc.drain)
			view.drain("a")
			return nil
		})
	}
	send := func() *recorder {
		out, in := &recorder{leaveAfter: tc.leave, header: http.Header{}}, tc.request()
		in.watch = func(cancel context.CancelFunc) func() {
			out.leave = cancel
			if tc.gone == 0 {
				return func() {}
			}
			timer := time.AfterFunc(tc.gone, cancel)
			return func() { timer.Stop() }
		}
		f.serve(t.Context(), in, out)
		return out
	}
	out := send()
	require.Equal(t, tc.status, out.status, out.body.String())
	require.Equal(t, tc.class, out.class(), out.body.String())
	tc.checkAnswer(t, out)
	if tc.again != "" {
		second := send()
		require.Equal(t, tc.again, fmt.Sprint(second.status, " ", second.class()))
	}
	time.Sleep(2 * time.Minute)
	require.NoError(t, shut())
	require.Equal(t, tc.runs, a.runs+b.runs, "runs")
	if tc.class == string(camphorhinge.NotRun) && tc.again == "" {
		require.Zero(t, a.runs+b.runs)
	}
	for _, part := range strings.Split(tc.seen, "; ") {
		name, want, _ := strings.Cut(part, ": ")
		seen := map[string]*fake{"a": a, "b": b, "": b}[name].seen
		for _, e := range strings.Fields(want) {
			i := slices.Index(strings.Fields(strings.Join(seen, " ")), e)
			require.GreaterOrEqual(t, i, 0, "%s of %q on %s", e, seen, name)
		}
	}
}

func (tc row) request() *inbound {
	in := &inbound{method: "POST", path: "/v1/completions", header: http.Header{"Authorization": {"Bearer key"}}}
	body := tc.body
	if tc.call != "" {
		in.method, in.path, body = tc.call, "/pedidos/1", "pay"
	}
	if tc.key != "" {
		in.header.Set(camphorhinge.HeaderIdempotencyKey, tc.key)
	}
	in.target, in.length = in.path, int64(len(body))
	if tc.large {
		body, in.length = strings.Repeat("x", 300<<10), -1
	}
	in.body = io.NopCloser(strings.NewReader(body))
	return in
}

func (tc row) checkAnswer(t *testing.T, out *recorder) {
	got := out.body.String()
	require.NotContains(t, got, "pipe", "causes with addresses of targets stay inside")
	require.Equal(t, tc.answer == "aborted", out.aborted)
	switch tc.answer {
	case "stream":
		require.Equal(t, answered(), got)
	case "cut":
		sent, event, ok := strings.Cut(got, "event: error\n")
		require.True(t, ok)
		require.NotEmpty(t, sent)
		require.True(t, strings.HasPrefix(answered(), sent), got)
		require.NotContains(t, event, "[DONE]")
	case "aborted":
	default:
		require.Contains(t, got, tc.answer)
		require.NotContains(t, got, "bad")
	}
}
