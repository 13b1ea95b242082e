package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/budget"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/place"
)

// protocol is a small Protocol and Dialect for tests.
type protocol struct{}

func (protocol) Ask(h http.Header) Ask {
	a := Ask{Attempt: camphorhinge.AttemptID(h.Get("Attempt")), After: h.Get("After")}
	if ms, err := strconv.Atoi(h.Get("Left")); err == nil {
		a.Left = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(h.Get("Prompt")); err == nil {
		a.Prompt = camphorhinge.Tokens(n)
		a.Parts = []place.Part{{Hash: 1, Tokens: a.Prompt / 2}, {Hash: uint64(n), Tokens: a.Prompt / 2}}
	}
	return a
}

func (protocol) Load(http.Header) (place.Load, bool) { return place.Load{}, false }
func (protocol) Answer(h http.Header)                { h.Del("Load") }
func (protocol) Unstamp(h http.Header)               { h.Del("Stamp") }

func (protocol) Prefilled(t *camphorhinge.Target, body []byte) (string, error) {
	if !strings.HasPrefix(string(body), "handle ") {
		return "", errors.New("no handle")
	}
	return t.Address + "/" + string(body[7:]), nil
}

func (protocol) Free(t *camphorhinge.Target, source string) exchange.Call {
	return exchange.Call{Target: t, Method: "DELETE", Path: "/handle/" + source}
}

func (protocol) Prepare(h http.Header, call *exchange.Call, left time.Duration) {
	for name, value := range map[string]string{
		"Attempt": string(call.Attempt), "Source": call.Source, "After": call.After, "Role": string(call.Role), "Fetch": call.Fetch,
		"Expect": string(call.Target.Name),
	} {
		h.Del(name)
		if value != "" {
			h.Set(name, value)
		}
	}
	h.Set("Left", strconv.FormatInt(left.Milliseconds(), 10))
}

func (protocol) Attempt(h http.Header) camphorhinge.AttemptID {
	return camphorhinge.AttemptID(h.Get("Attempt"))
}

func (protocol) Class(status int, h http.Header) camphorhinge.RunClass {
	if status >= 400 && h.Get("Not-Run") != "" {
		return camphorhinge.NotRun
	}
	return camphorhinge.Run
}

func (protocol) Probe() string  { return "" }
func (protocol) Unframed() bool { return true }

// step is what a target does with its next request.
type step func(c net.Conn, r *http.Request)

// refuse fails the connecting; it marks a step that is never run.
func unreachable(net.Conn, *http.Request) { panic("not reached") }

// target is a fake target: it takes its steps in turn, and the last one again and again.
type target struct {
	steps []step
	// dead fails the connecting.
	dead bool
	// seen are the requests that came.
	seen []*http.Request
	body []string
}

// world is a set of fake targets behind a Dialer.
type world struct {
	mu      sync.Mutex
	targets map[string]*target
	live    []*camphorhinge.Target
	group   errgroup.Group
}

func (w *world) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	w.mu.Lock()
	t := w.targets[address]
	w.mu.Unlock()
	if t == nil || t.dead {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	w.group.Go(func() error {
		defer server.Close()
		br := bufio.NewReader(server)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return nil
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return nil
			}
			w.mu.Lock()
			i := min(len(t.seen), len(t.steps)-1)
			t.seen, t.body = append(t.seen, r), append(t.body, string(body))
			do := t.steps[i]
			w.mu.Unlock()
			do(server, r)
			if r.Close {
				return nil
			}
		}
	})
	return pipeEnd{client}, nil
}

// pipeEnd is one end of a pipe. A deadline can be set after the other end was closed, as on a TCP connection; a pipe refuses
// that, so that a read would fail in place of giving the end of the stream.
type pipeEnd struct{ net.Conn }

// SetReadDeadline implements net.Conn.
func (p pipeEnd) SetReadDeadline(t time.Time) error {
	if err := p.Conn.SetReadDeadline(t); !errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	return nil
}

func (w *world) Live(camphorhinge.ServiceName) []*camphorhinge.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.live
}

// count returns the number of requests that reached targets.
func (w *world) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.targets {
		n += len(t.seen)
	}
	return n
}

// order places requests at the live targets in the order of their names.
type order struct {
	placer  *place.Placer
	refusal time.Duration
}

func (o order) Place(_ context.Context, live []*camphorhinge.Target, req place.Request) (*place.Placement, time.Duration, bool) {
	if o.refusal > 0 {
		return nil, o.refusal, false
	}
	var plan place.Plan
	for _, t := range live {
		skip := !t.Serving
		for _, name := range req.Exclude {
			skip = skip || name == t.Name
		}
		switch {
		case skip:
		case t.Role == camphorhinge.RolePrefill:
			if plan.Prefill == nil && !req.Direct {
				plan.Prefill = t
			}
		case plan.Serve == nil:
			plan.Serve = t
		}
	}
	if plan.Serve == nil {
		return nil, 0, false
	}
	return o.placer.Adopt(1, plan, req), 0, true
}

// sink records an answer.
type sink struct {
	status  int
	header  http.Header
	body    strings.Builder
	headed  bool
	whole   bool
	aborted bool
}

func (s *sink) Whole(status int, header http.Header, body []byte) {
	s.status, s.header, s.whole = status, header, true
	s.body.Write(body)
}

func (s *sink) Head(status int, header http.Header) {
	s.status, s.header, s.headed = status, header, true
}
func (s *sink) Write(p []byte) (int, error) { return s.body.Write(p) }
func (s *sink) Abort()                      { s.aborted = true }

// noQuarantine refuses nothing.
type noQuarantine struct{ until time.Duration }

func (q noQuarantine) Refused(camphorhinge.Fingerprint) (time.Duration, bool) {
	return q.until, q.until > 0
}

func (noQuarantine) Begin(*camphorhinge.Target, camphorhinge.Fingerprint) func(bool, bool) {
	return func(bool, bool) {}
}

// steady is a Clock over the virtual time.
type steady struct{ start time.Time }

func (s steady) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Since(s.start) + time.Hour)
}

// bench is a Forwarder with fake targets.
type bench struct {
	*Forwarder
	world  *world
	client *exchange.Client
	index  atomic.Pointer[routing.Index]
	place  order
}

func newBench(t *testing.T, route routing.Route, targets ...*target) *bench {
	t.Helper()
	w := &world{targets: map[string]*target{}}
	service := routing.Service{Name: "s"}
	for i, x := range targets {
		name := fmt.Sprintf("t%d", i)
		w.targets[name] = x
		w.live = append(w.live, &camphorhinge.Target{Serving: true, Announcement: camphorhinge.Announcement{
			Name: camphorhinge.TargetName(name), Address: name, Service: "s", Incarnation: 1, Kind: camphorhinge.KindService,
		}})
	}
	route.Host, route.Prefix, route.Shares = "h", "/a/", []routing.Share{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 4 * time.Second
	}
	if route.MaxAttempts == 0 {
		route.MaxAttempts = 2
	}
	b := &bench{
		world: w,
		client: exchange.New(exchange.Config{
			Dialer: w, Metrics: metrics.NewSet(), Tracer: noop.NewTracerProvider().Tracer(""), Dialect: protocol{},
			FirstByte: time.Minute, Between: time.Minute,
		}),
		place: order{placer: place.New(place.Config{})},
	}
	b.index.Store(routing.NewIndex(&routing.Config{Version: 1, Routes: []routing.Route{route}, Services: []routing.Service{service}}))
	clock := steady{time.Now()}
	b.Forwarder = New(Config{
		Index: b.index.Load, Targets: w, Placer: &b.place, Exchange: b.client,
		Budget:     budget.New(budget.Config{Allowance: 100, Window: 10 * time.Second}),
		Quarantine: noQuarantine{}, Protocol: protocol{}, Nodes: func() int { return 1 }, Clock: clock,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(),
	})
	t.Cleanup(func() { require.NoError(t, errors.Join(b.Close(), b.client.Close(), w.group.Wait())) })
	return b
}

// ask sends one request and returns the answer.
func (b *bench) ask(t *testing.T, change func(*Request)) *sink {
	t.Helper()
	in := &Request{
		Method: "POST", Path: "/a/x", Target: "/a/x?q=1", Host: "h", Length: 4, Body: strings.NewReader("body"),
		Header: http.Header{"Attempt": {"id-1"}, "Left": {"3000"}, "Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
	}
	if change != nil {
		change(in)
	}
	out := &sink{}
	b.Serve(t.Context(), in, out)
	return out
}

// send writes raw bytes.
func send(text string) step {
	return func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, text) }
}

// cut writes raw bytes and closes.
func cut(text string) step {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		c.Close()
	}
}

// hang never answers.
func hang(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }

// whole is a complete answer.
func whole(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt: id-1\r\nStamp: st\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// events is the start of a stream with some events; their ids go on after from.
func events(from, n int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := from + 1; i <= from+n; i++ {
		b.WriteString(chunk(fmt.Sprintf("id: %d\ndata: p%d\n\n", i, i)))
	}
	return b.String()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"
