package site

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/feed"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/schedule"
	"example.org/camphorhinge/internal/node/tunnel"
	"example.org/camphorhinge/internal/observe/decision"
	"example.org/camphorhinge/internal/request/access"
	"example.org/camphorhinge/internal/request/budget"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/forward"
	"example.org/camphorhinge/internal/request/place"
	"example.org/camphorhinge/internal/request/quarantine"
)

// connectTimeout bounds connecting to an engine.
const connectTimeout = 400 * time.Millisecond

// entry is one entry node.
type entry struct {
	site  *Site
	index int
	// link is closed while the node is cut off from the core nodes, process while it is frozen.
	link, process gate
	// paths are those to the engines.
	paths paths

	mu      sync.Mutex
	current *process
}

// process is one process of an entry node.
type process struct {
	ctx       context.Context //nolint:containedctx // It ends the requests of a process that is killed.
	stop      context.CancelFunc
	group     *errgroup.Group
	exchange  *exchange.Client
	dialer    *tunnel.Dialer
	crashes   *quarantine.Client
	forwarder *forward.Forwarder
	follower  *feed.Follower
	requests  sync.WaitGroup
}

// entryDialer opens connections from an entry node to engines.
type entryDialer struct{ *entry }

// DialContext opens a connection to the engine at an address.
func (d entryDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	if err := d.process.wait(ctx); err != nil {
		return nil, err
	}
	for _, e := range d.site.allEngines() {
		if e.address == address {
			c, err := d.paths.dial(ctx, address, func() (net.Conn, error) { return e.dial(d.index, false) })
			if err != nil {
				return nil, err
			}
			return frozenConn{c, d.entry}, nil
		}
	}
	return nil, errRefused
}

// frozenConn is a connection that passes nothing to the entry node while that is frozen.
type frozenConn struct {
	net.Conn
	entry *entry
}

// Read implements net.Conn.
func (c frozenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if werr := c.entry.process.wait(c.entry.site.ctx); werr != nil {
		return n, werr
	}
	return n, err
}

func (e *entry) start() {
	ctx, stop := context.WithCancel(e.site.ctx)
	g := &errgroup.Group{}
	p := &process{ctx: ctx, stop: stop, group: g}
	set, clock, log := metrics.NewSet(), e.site.clock, slog.New(slog.DiscardHandler)
	name := camphorhinge.NodeID(fmt.Sprintf("entry-%d", e.index))
	for _, x := range e.site.allEngines() {
		x.forget(e.index)
	}
	feedOf := func(address string) peerpb.Feed {
		return remoteFeed{core: e.site.coreOf(address), from: []*gate{&e.link, &e.process}}
	}
	p.crashes = quarantine.New(quarantine.Config{
		Proposer: proposer{e.site, e}, Node: name, Clock: clock, Decisions: decision.New(16), Log: log, Metrics: set,
		Survived: func(ctx context.Context, t *camphorhinge.Target) bool { return p.exchange.Reachable(ctx, t.Address) },
	})
	crashes := p.crashes
	targets := registry.New(registry.Config{
		Clock: clock, Expiry: 1000 * time.Hour, Exclusive: true, Metrics: set,
		OnAnnouncement: func(t *camphorhinge.Target) { crashes.RecordRestart(t.Name, t.Incarnation) },
	})
	p.follower = feed.NewFollower(feed.FollowerConfig{
		Node: name, Zone: "z", Feed: feedOf, Seeds: e.site.coreNames, Registry: targets, Clock: clock, Log: log,
		OnScores: func(data []byte) { mergeScores(crashes, data) },
	})
	placer := schedule.NewClient(schedule.ClientConfig{
		Node: name, Feed: feedOf, Cores: p.follower.Cores, Shards: p.follower.Shards, Local: place.New(place.Config{Zone: "z", Seed: uint64(e.index), Nodes: p.follower.Entries}),
		Clock: clock, Log: log, Metrics: set,
	})
	p.dialer = tunnel.NewDialer(tunnel.Config{
		Direct: entryDialer{e}, Via: via{e}, Relays: p.follower.Relays, OnChange: func(address string) { p.exchange.Retire(address) },
		Clock: clock, Log: log, Metrics: set,
	})
	p.exchange = exchange.New(exchange.Config{
		Dialer: p.dialer, ConnectTimeout: connectTimeout, Metrics: set, Tracer: noop.NewTracerProvider().Tracer(""), Dialect: protocol{},
		FirstByteTimeout: time.Minute, StallTimeout: time.Minute,
	})
	p.forwarder = forward.New(forward.Config{
		Index: p.follower.Index, Access: access.New(access.Config{Index: p.follower.Index, Clock: clock, Log: log, Metrics: set}), Targets: targets, Placer: placer, Origins: placer, Exchange: p.exchange,
		Budget: budget.New(budget.Config{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second, Start: clock.Now()}),
		Zone:   "z", Quarantine: crashes, Protocol: protocol{}, Nodes: p.follower.Entries, Started: clock.Now(), Clock: clock, Log: log, Metrics: set,
	})
	g.Go(func() error { return p.follower.Run(ctx) })
	g.Go(func() error { return placer.Run(ctx) })
	e.mu.Lock()
	e.current = p
	e.mu.Unlock()
}

// shut ends the current process once its requests have ended.
func (e *entry) shut() error {
	e.mu.Lock()
	p := e.current
	e.current = nil
	e.mu.Unlock()
	p.requests.Wait()
	return p.end()
}

// end ends a process without waiting for its requests.
func (p *process) end() error {
	p.stop()
	p.requests.Wait()
	return errors.Join(p.forwarder.Close(), p.crashes.Close(), p.exchange.Close(), p.dialer.Close(), p.group.Wait())
}

// RestartEntry replaces the process of an entry node. Requests in progress are completed first.
func (s *Site) RestartEntry(i int) error {
	if err := s.entries[i].shut(); err != nil {
		return err
	}
	for _, e := range s.allEngines() {
		e.mu.Lock()
		delete(e.toldAt, i)
		e.mu.Unlock()
	}
	s.entries[i].start()
	return nil
}

// KillEntry ends the process of an entry node in the middle of its requests; StartEntry starts another one.
func (s *Site) KillEntry(i int) error {
	e := s.entries[i]
	e.mu.Lock()
	p := e.current
	e.current = nil
	e.mu.Unlock()
	return p.end()
}

// StartEntry starts a process of an entry node after KillEntry.
func (s *Site) StartEntry(i int) { s.entries[i].start() }

// Request is a request of a caller.
type Request struct {
	Attempt camphorhinge.AttemptID
	// Caller is the caller's address, Body the body, which is the attempt if it is empty.
	Caller, Body string
	Segments     []uint64
	// Output is the number of events of the answer.
	Output  int
	Timeout time.Duration
	// After is the number of events that the caller has, for a stream that it continues, and Resumes the attempt that
	// brought the first one.
	After   int
	Resumes camphorhinge.AttemptID
}

// Answer is what a caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Aborted is set when the connection was closed before the answer was complete.
	Aborted bool
}

// Complete reports whether the answer is a stream with all n events.
func (a Answer) Complete(n int) bool {
	return a.Status == http.StatusOK && !a.Aborted && strings.HasSuffix(a.Body, fmt.Sprintf("data: p%d\n\n", n)) &&
		strings.Count(a.Body, "data: ") == n
}

// sink receives the answer for a caller.
type sink struct {
	answer Answer
	body   strings.Builder
}

// SendComplete implements forward.Sink.
func (s *sink) SendComplete(status int, header http.Header, body []byte) {
	s.answer.Status, s.answer.Header = status, header
	s.body.Write(body)
}

// OnSent implements forward.Sink.
func (s *sink) OnSent(f func()) { f() }

// StartStream implements forward.Sink.
func (s *sink) StartStream(status int, header http.Header) {
	s.answer.Status, s.answer.Header = status, header
}

// Write implements forward.Sink.
func (s *sink) Write(p []byte) (int, error) { return s.body.Write(p) }

// Abort implements forward.Sink.
func (s *sink) Abort() { s.answer.Aborted = true }

// Ready reports whether an entry node runs and has all targets.
func (s *Site) Ready(i int) bool {
	e := s.entries[i]
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current != nil && e.current.follower.Synced() && e.current.follower.Index() != nil
}

// Send sends a request to an entry node and returns the answer; ok is false if no process runs there.
func (s *Site) Send(i int, r Request) (answer Answer, ok bool) {
	e := s.entries[i]
	if e.process.wait(s.ctx) != nil {
		return Answer{}, false
	}
	e.mu.Lock()
	p := e.current
	if p == nil {
		e.mu.Unlock()
		return Answer{}, false
	}
	p.requests.Add(1)
	e.mu.Unlock()
	defer p.requests.Done()
	var segments []string
	for _, hash := range r.Segments {
		segments = append(segments, strconv.FormatUint(hash, 16))
	}
	header := http.Header{
		headerAttempt: {string(r.Attempt)}, headerSegments: {strings.Join(segments, ",")}, headerOutput: {strconv.Itoa(r.Output)},
		headerTimeout: {strconv.FormatInt(r.Timeout.Milliseconds(), 10)},
	}
	if r.After > 0 {
		header.Set(headerAfter, strconv.Itoa(r.After))
		header.Set(headerResumes, string(r.Resumes))
	}
	body := cmp.Or(r.Body, string(r.Attempt))
	out := &sink{}
	p.forwarder.Serve(p.ctx, &forward.Request{
		Method: http.MethodPost, Path: routePrefix + "x", RequestTarget: routePrefix + "x", Host: routeHost, Caller: cmp.Or(r.Caller, "caller"),
		Length: int64(len(body)), Body: strings.NewReader(body),
		Header: header,
	}, out)
	out.answer.Body = out.body.String()
	return out.answer, true
}

func mergeScores(crashes *quarantine.Client, data []byte) {
	var scores []quarantine.Score
	if err := json.Unmarshal(data, &scores); err != nil {
		panic("decode scores: " + err.Error()) // Encoded by encodeScores.
	}
	crashes.MergeScores(scores)
}
