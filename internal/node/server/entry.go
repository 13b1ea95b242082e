package server

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/fleet/usage"
	"example.org/camphorhinge/internal/node/accept"
	"example.org/camphorhinge/internal/node/clock"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/dial"
	"example.org/camphorhinge/internal/node/feed"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/schedule"
	"example.org/camphorhinge/internal/node/setting"
	"example.org/camphorhinge/internal/node/tunnel"
	"example.org/camphorhinge/internal/node/web"
	"example.org/camphorhinge/internal/observe/decision"
	"example.org/camphorhinge/internal/request/access"
	"example.org/camphorhinge/internal/request/budget"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/forward"
	"example.org/camphorhinge/internal/request/ingress"
	"example.org/camphorhinge/internal/request/place"
	"example.org/camphorhinge/internal/request/quarantine"
)

const (
	// entryExpiry is practically infinite: core nodes send only changes of targets, not their heartbeats, and an entry
	// node detects a dead target by its requests.
	entryExpiry = 1000 * time.Hour
	// connectTimeout bounds connecting to a target. It allows for a few round trips between zones, or one lost packet.
	connectTimeout = 400 * time.Millisecond
	// answerTimeout bounds the wait for the first byte of a response and for each further one; the deadlines of requests
	// are shorter.
	answerTimeout = time.Minute
	// silentTimeout is how long sent data or keep-alive probes may stay unacknowledged before a connection to a target
	// fails.
	silentTimeout = 1500 * time.Millisecond
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 8
	// closeInterval is how often idle caller connections are closed during a stop.
	closeInterval = 50 * time.Millisecond
	// stopMargin is the end of the grace time, reserved for the exit of the process. answerMargin is the time before it in which the
	// requests that are still in progress are answered.
	stopMargin   = 300 * time.Millisecond
	answerMargin = 200 * time.Millisecond
)

// EntryConfig holds the settings and dependencies of an entry node.
type EntryConfig struct {
	Settings setting.Entry
	// Protocol defines the wire format of callers' requests, Dialect that of attempts at targets.
	Protocol forward.Protocol
	Dialect  exchange.Dialect
	// ReadyPath is the path of the load balancer's readiness checks.
	ReadyPath string
	// Peers returns the peer addresses of core nodes that the settings currently name.
	Peers func() []string
	Log   *slog.Logger
}

// Entry is an entry node: it forwards the requests of callers to targets.
type Entry struct {
	cfg   EntryConfig
	log   *slog.Logger
	clock camphorhinge.Clock
	// reference is true time according to the core nodes.
	reference *clock.Reference
	metrics   *metrics.Set
	pool      *peer.Pool
	registry  *registry.Registry
	follower  *feed.Follower
	exchange  *exchange.Client
	dialer    *tunnel.Dialer
	crashes   *quarantine.Client
	placer    *schedule.Client
	access    *access.Guard
	forward   *forward.Forwarder
	// meter counts the requests of workspaces; nil when no usage reports are owed.
	meter    *usage.Meter
	stopping atomic.Bool
	conns    *ingress.Conns
	// places bounds the connections of callers and to targets together.
	places *accept.Budget

	callerPort, readyPort, metricsPort *web.Server
}

// NewEntry checks the settings and opens all ports.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	if err := cfg.Settings.Check(); err != nil {
		return nil, &Error{Op: "new", Kind: KindSetting, Err: err}
	}
	e := &Entry{conns: ingress.NewConns(), cfg: cfg, log: cfg.Log, clock: clock.New(), metrics: metrics.NewSet()}
	if err := errors.Join(e.build(), e.openPorts()); err != nil {
		return nil, &Error{Op: "new", Kind: KindStart, Err: err}
	}
	return e, nil
}

func (e *Entry) build() error {
	pool, err := peer.NewPool(nil)
	if err != nil {
		return err
	}
	s := e.cfg.Settings
	e.pool = pool
	pool.CountTraffic(e.metrics)
	pool.BoundAnswers(buffer.New(buffer.Config{Name: "peers", Limit: s.PeerBytes, Metrics: e.metrics}))
	e.registry = registry.New(registry.Config{Clock: e.clock, Expiry: entryExpiry, Exclusive: true, Metrics: e.metrics, OnAnnouncement: e.onAnnouncement})
	feedOf := func(address string) peerpb.Feed { return pool.Get(address).Feed }
	e.buildMeter(feedOf)
	e.follower = feed.NewFollower(feed.FollowerConfig{
		Node: s.Node, Zone: s.Zone, Feed: feedOf, Seeds: e.cfg.Peers, Registry: e.registry, OnScores: e.mergeScores, OnResponse: e.onResponse,
		RevocationBound: s.RevocationBound, Clock: e.clock, Log: e.log,
	})
	direct := dial.NewProbing(connectTimeout, silentTimeout)
	e.dialer = tunnel.NewDialer(tunnel.Config{
		Direct: direct, Via: &tunnel.Client{Dialer: direct}, Relays: e.follower.Relays,
		OnChange: func(address string) { e.exchange.Retire(address) }, Clock: e.clock, Log: e.log, Metrics: e.metrics,
	})
	e.places = accept.NewBudget(accept.BudgetConfig{Limit: s.TotalConnections, Client: "targets", Metrics: e.metrics, Log: e.log})
	e.exchange = newExchange(e.metrics, e.cfg.Dialect, e.dialer, e.places)
	e.places.OnFull(e.exchange.EndOldestIdle)
	e.places.OnFull(e.conns.EndOldestIdle)
	e.crashes = quarantine.New(quarantine.Config{
		Proposer: control.NewClient(pool, e.follower.Cores), Node: s.Node, Clock: e.clock, Decisions: decision.New(ringSize), Log: e.log, Metrics: e.metrics,
		Survived: func(ctx context.Context, t *camphorhinge.Target) bool {
			return survived(ctx, e.exchange, e.registry, t)
		},
	})
	e.placer = schedule.NewClient(schedule.ClientConfig{
		Node: s.Node, Feed: feedOf, Cores: e.follower.Cores, Shards: e.follower.Shards,
		Local: place.New(place.Config{Zone: s.Zone, Seed: seedOf(s.Node), Nodes: e.follower.Entries}), LinkMbps: s.LinkMbps, Clock: e.clock, Log: e.log, Metrics: e.metrics,
	})
	e.access = access.New(access.Config{
		Index: e.follower.Index, Confirmed: e.follower.Confirmed, Bound: s.RevocationBound, Clock: e.clock, Log: e.log, Metrics: e.metrics,
	})
	var meter forward.Usage
	if e.meter != nil {
		meter = e.meter
	}
	e.forward = forward.New(forward.Config{
		Index: e.follower.Index, Access: e.access, Targets: e.registry,
		Placer: e.placer, Origins: e.placer,
		Exchange: e.exchange,
		Budget: budget.New(budget.Config{
			Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Window: s.RetryWindow, Start: e.clock.Now(),
		}),
		Bodies:  buffer.New(buffer.Config{Name: "bodies", Limit: s.BodyBytes, MinRate: s.BodyRate, OnEnded: logSlowBodies(e.log, "callers"), Metrics: e.metrics}),
		Answers: buffer.New(buffer.Config{Name: "answers", Limit: s.AnswerBytes, Metrics: e.metrics}),
		Zone:    s.Zone, Quarantine: e.crashes, Usage: meter, Protocol: e.cfg.Protocol, Nodes: e.follower.Entries, Started: e.clock.Now(), Clock: e.clock, Log: e.log, Metrics: e.metrics,
	})
	return nil
}

// buildMeter creates the meter of usage, if usage reports are owed.
func (e *Entry) buildMeter(feedOf func(string) peerpb.Feed) {
	s := e.cfg.Settings
	e.reference = clock.NewReference(e.clock, func() int { return len(e.follower.Cores()) })
	if s.UsageWindow == 0 {
		return
	}
	e.meter = usage.NewMeter(usage.MeterConfig{
		Node: s.Node, Window: s.UsageWindow, Clock: e.clock, Time: e.reference, Cores: func() []string { return e.follower.Relays() },
		Feed: func(address string) usage.Feed { return feedOf(address) }, Log: e.log, Metrics: e.metrics,
	})
}

// onResponse takes the wall clock of a core node, and the start of its process, from its response to a watch.
func (e *Entry) onResponse(address string, resp *peerpb.WatchResponse) {
	if wall := resp.GetWall(); wall != 0 {
		e.reference.Record(address, e.clock.Now(), wall)
	}
	if e.meter != nil {
		e.meter.Observe(address, resp.GetZone(), resp.GetStart())
	}
}

// newExchange returns the client for calls to targets. Places bounds its connections; nil sets no bound.
func newExchange(set *metrics.Set, dialect exchange.Dialect, dialer exchange.Dialer, places exchange.Places) *exchange.Client {
	return exchange.New(exchange.Config{
		Dialer: dialer, Places: places,
		ConnectTimeout: connectTimeout, FirstByteTimeout: answerTimeout, StallTimeout: answerTimeout, MaxIdle: maxIdlePerTarget,
		Metrics: set, Tracer: noop.NewTracerProvider().Tracer(""), Dialect: dialect,
	})
}

// onAnnouncement passes the incarnation of a target to the crash detection, which thus detects restarts.
func (e *Entry) onAnnouncement(t *camphorhinge.Target) {
	if e.crashes != nil {
		e.crashes.RecordRestart(t.Name, t.Incarnation)
	}
}

func (e *Entry) mergeScores(encoded []byte) { mergeCrashScores(e.crashes, e.log, encoded) }

func (e *Entry) openPorts() error {
	s := e.cfg.Settings
	var err error
	if e.callerPort, err = web.New(web.Config{
		Address: s.CallerListen, MaxBody: maxControlBody, Options: forward.Options(e.conns),
		Connections: s.CallerConnections, Budget: e.places, Port: "callers", Conns: e.conns, Headers: buffer.New(buffer.Config{Name: "headers", Limit: s.HeaderBytes, Metrics: e.metrics}), Metrics: e.metrics, Log: e.log,
	}); err != nil {
		return err
	}
	e.forward.Register(e.callerPort.Hertz.Engine)
	if e.readyPort, err = web.New(web.Config{
		Address: s.ReadyListen, MaxBody: maxSmallBody, Connections: s.OtherConnections, Port: "ready", Metrics: e.metrics, Log: e.log,
	}); err != nil {
		return err
	}
	e.readyPort.Hertz.GET(e.cfg.ReadyPath, func(_ context.Context, c *app.RequestContext) {
		if e.Ready() {
			c.String(http.StatusOK, "ready\n")
			return
		}
		c.String(http.StatusServiceUnavailable, "not ready\n")
	})
	e.metricsPort, err = openMetrics(s.MetricsListen, s.OtherConnections, e.metrics, e.nodeStatus)
	return err
}

// Ready reports whether the node accepts new callers: it has a configuration and at least one target, it has received
// all targets of a core node, it can judge keys if the configuration has workspaces, and it is not stopping.
func (e *Entry) Ready() bool {
	x := e.follower.Index()
	if x == nil || len(x.Config.Workspaces) > 0 && !e.access.Confirmed() {
		return false
	}
	return !e.stopping.Load() && e.follower.Synced() && e.registry.Len() > 0
}

// Run serves until ctx ends and then performs a planned stop: readiness fails, callers that arrive within the stop
// delay are still served, and running requests complete within the grace time.
func (e *Entry) Run(ctx context.Context) error {
	s := e.cfg.Settings
	e.log.Info("entry node serves", "node", s.Node, "zone", s.Zone, "caller", e.callerPort.Address(), "ready", e.readyPort.Address())
	base, halt := context.WithCancel(context.WithoutCancel(ctx))
	defer halt()
	g, work := errgroup.WithContext(base)
	callers, closeCallers := context.WithCancel(work)
	defer closeCallers()
	g.Go(func() error { return e.follower.Run(work) })
	g.Go(func() error { return e.placer.Run(work) })
	if e.meter != nil {
		g.Go(func() error { return e.meter.Run(work) })
	}
	g.Go(func() error { return logTraffic(work, e.log, e.metrics, func() int64 { return 0 }) })
	g.Go(func() error { return e.readyPort.Serve(work, 0) })
	if e.metricsPort != nil {
		g.Go(func() error { return e.metricsPort.Serve(work, 0) })
	}
	g.Go(func() error {
		defer halt()
		return e.callerPort.Serve(callers, s.Grace-s.StopDelay-stopMargin)
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return nil // Another goroutine has failed; its error ends the process.
		}
		e.log.Info("planned stop begins", "node", s.Node, "delay", s.StopDelay, "grace", s.Grace)
		e.stopping.Store(true)
		e.callerPort.Drain()
		time.Sleep(s.StopDelay)
		e.forward.StopAccepting()
		closeCallers()
		ends := time.AfterFunc(s.Grace-s.StopDelay-stopMargin-answerMargin, e.forward.EndRequests)
		defer ends.Stop()
		e.leave()
		e.closeIdle(work)
		return nil
	})
	err := g.Wait()
	e.pool.Close()
	err = errors.Join(err, e.dialer.Close())
	e.log.Info("entry node stopped", "node", s.Node, "error", err)
	return err
}

// closeIdle closes caller connections as soon as they carry no request, until ctx ends. Otherwise callers would
// continue to send requests on them.
func (e *Entry) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for {
		e.conns.CloseIdle()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	e.follower.Leave(ctx)
}
