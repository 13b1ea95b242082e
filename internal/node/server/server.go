package server

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/order"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/fleet/workload"
	"example.org/camphorhinge/internal/node/clock"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/dial"
	"example.org/camphorhinge/internal/node/discovery"
	"example.org/camphorhinge/internal/node/feed"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/setting"
	"example.org/camphorhinge/internal/node/web"
	"example.org/camphorhinge/internal/observe/decision"
	"example.org/camphorhinge/internal/observe/trace"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/record/table"
	"example.org/camphorhinge/internal/request/admit"
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/frontend"
	"example.org/camphorhinge/internal/request/quarantine"
	"example.org/camphorhinge/internal/request/route"
)

const (
	// ringSize is the number of decisions of each kind that a node keeps, about 0.5 MB.
	ringSize = 1024
	// smallBody bounds the bodies on the target port, in bytes.
	smallBody = registry.MaxAnnouncement
	// controlGrace bounds the wait for calls under way on the target and operator ports at a stop.
	controlGrace = 2 * time.Second
	// leaveTimeout bounds the farewell to the leader at a stop.
	leaveTimeout = time.Second
)

// Kind classifies an Error.
type Kind string

const (
	// KindSetting marks wrong settings.
	KindSetting Kind = "setting"
	// KindStart marks a part that could not be started.
	KindStart Kind = "start"
	// KindState marks a failure of the durable state, after which the process must end.
	KindState Kind = "state"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("server %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Addresses are the IP:port of the four ports.
type Addresses struct {
	Caller, Target, Operator, Peer string
}

// Server is one serve process.
type Server struct {
	cfg     setting.Serve
	log     *slog.Logger
	clock   camphorhinge.Clock
	metrics *metrics.Set
	ring    *decision.Ring
	traces  *trace.Provider
	closers []io.Closer

	self     *peerpb.Node
	pool     *peer.Pool
	client   *control.Client
	control  *control.Server
	leases   *config.Leases
	holder   *config.Holder
	mirror   *table.Mirror
	renewer  *control.Renewer
	registry *registry.Registry
	spreader *discovery.Service
	meter    *workload.Meter
	reports  *admit.Reports
	durable  *durable
	// routes is the routing configuration, in the replicated state of core nodes.
	routes *routing.Table
	// source feeds the entry nodes; nil unless this is a core node.
	source *feed.Source
	// seeds returns the peer addresses of the settings as they are now.
	seeds func() []string
	// started is when the process made this Server.
	started time.Time
	orders  *orders
	// engines is this node's copy of the decisions on engines.
	engines *order.Mirror

	settings   *configuration
	router     *route.Router
	admission  *admit.Admission
	exchange   *exchange.Client
	quarantine *quarantine.Client
	frontend   *frontend.Frontend

	callers, targets, operators *web.Server
	peers                       *peer.Server
}

// New checks the settings, opens the data folder and all ports. Spans are written to extra as JSON lines when it is not
// nil, besides the exporters that the settings name.
func New(ctx context.Context, cfg setting.Serve, log *slog.Logger, extra io.Writer) (*Server, error) {
	if err := cfg.Check(); err != nil {
		return nil, &Error{Op: "new", Kind: KindSetting, Err: err}
	}
	s := newServer(cfg, log, noRouting)
	steps := []func() error{
		func() error { return s.openTraces(ctx, extra) },
		s.openPeers,
		func() error { return s.openDurable(ctx) },
		s.buildFleet,
		s.buildRequests,
		s.openPorts,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			s.close()
			return nil, &Error{Op: "new", Kind: KindStart, Err: err}
		}
	}
	return s, nil
}

func newServer(cfg setting.Serve, log *slog.Logger, decode routing.Decoder) *Server {
	return &Server{
		seeds: func() []string { return cfg.Peers },
		cfg:   cfg, log: log, clock: clock.New(), metrics: metrics.NewSet(), ring: decision.New(ringSize),
		routes: routing.NewTable(decode), started: time.Now(),
	}
}

// noRouting refuses routing configurations on nodes that have none.
func noRouting([]byte) (*routing.Config, error) {
	return nil, &Error{Op: "decode", Kind: KindSetting, Err: errors.New("this node takes no routing configuration")}
}

func (s *Server) openTraces(ctx context.Context, extra io.Writer) error {
	lines := extra
	if s.cfg.TraceFile != "" {
		file, err := os.OpenFile(s.cfg.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		s.closers = append(s.closers, file)
		lines = file
		if extra != nil {
			lines = io.MultiWriter(file, extra)
		}
	}
	var err error
	s.traces, err = trace.New(ctx, trace.Config{
		ServiceName: "camphorhinge/" + string(s.cfg.Node), Collector: s.cfg.TraceCollector, Output: lines,
	})
	return err
}

// files names the TLS files of the peer port; nil stands for no TLS.
func (s *Server) files() *peer.Files {
	if s.cfg.PeerPlain {
		return nil
	}
	return &peer.Files{Cert: s.cfg.PeerCert, Key: s.cfg.PeerKey, CA: s.cfg.PeerCA}
}

// openPeers opens the peer port first, since its address is part of what the node tells the others.
func (s *Server) openPeers() error {
	pool, err := peer.NewPool(s.files())
	if err != nil {
		return err
	}
	if s.cfg.PeerSource != "" {
		source, err := netip.ParseAddr(s.cfg.PeerSource)
		if err != nil {
			return err
		}
		pool.From(source)
	}
	s.pool = pool
	s.client = control.NewClient(pool, s.leaderCandidates)
	s.holder = config.NewHolder(s.clock, s.cfg.StaleLimit)
	s.leases = config.NewLeases(s.clock, s.cfg.StaleLimit)
	s.mirror = table.NewMirror()
	s.peers, err = peer.NewServer(s.cfg.PeerListen, s.files())
	if err != nil {
		return err
	}
	address := s.cfg.PeerAddress
	if address == "" {
		address = s.peers.Address()
	}
	s.self = &peerpb.Node{Name: string(s.cfg.Node), Address: address, Zone: string(s.cfg.Zone)}
	return nil
}

func (s *Server) buildFleet() error {
	s.engines = order.NewMirror()
	s.meter = workload.NewMeter(s.cfg.Node, rand.Uint64(), s.clock) //nolint:gosec // The number only tells starts apart.
	s.reports = admit.NewReports(s.clock, s.nodeCount)
	s.renewer = control.NewRenewer(control.RenewerConfig{
		Self: s.self, Client: s.client, Mirror: s.mirror, Holder: s.holder, Clock: s.clock, Log: s.log,
		Engines: s.learnEngines, Decisions: s.ring, Scores: s.learnScores, WorkloadReport: s.meter.NextReport,
	})
	s.registry = registry.New(registry.Config{
		Clock: s.clock, Cordoned: s.engines.Cordoned, OnAnnouncement: s.observe, Metrics: s.metrics,
	})
	s.spreader = discovery.New(discovery.Config{
		Node: s.cfg.Node, Registry: s.registry, Pool: s.pool, Others: s.others, Metrics: s.metrics, Resync: s.resync,
		Demands: func() []admit.Demand { return s.admission.Demands() }, Reports: s.reports,
	})
	if s.durable == nil {
		return nil
	}
	var err error
	s.orders, err = s.newOrders()
	return err
}

func (s *Server) buildRequests() error {
	var err error
	s.buildControl()
	s.router, err = route.New(route.Config{
		Targets: s.registry, Clock: s.clock, Zone: s.cfg.Zone, Seed: s.seed(), Nodes: s.nodeCount,
	})
	if err != nil {
		return err
	}
	s.admission = admit.New(admit.Config{
		Clock: s.clock, Limits: limits{s.mirror}, Peers: s.reports, Metrics: s.metrics, Seed: s.seed(),
	})
	s.exchange = exchange.New(exchange.Config{Dialer: dial.New(exchange.DefaultConnectTimeout, nil), Metrics: s.metrics, Tracer: s.traces.Tracer("exchange")})
	s.quarantine = quarantine.New(quarantine.Config{
		Proposer: s.client, Node: s.cfg.Node, Clock: s.clock, Decisions: s.ring, Metrics: s.metrics,
	})
	claims := claim.New(claim.Config{Proposer: s.client, Node: s.cfg.Node, Metrics: s.metrics, Retention: s.cfg.ClaimRetention})
	s.settings = &configuration{mirror: s.mirror, holder: s.holder, warm: s.spreader.Warm}
	s.frontend = frontend.New(frontend.Config{
		Router: workload.WrapRouter(s.router, s.meter), Admission: workload.WrapAdmission(s.admission, s.meter),
		Targets: s.registry, Decisions: s.ring, Configuration: s.settings,
		Exchange: s.exchange, Claims: claims, Quarantine: s.quarantine,
		Metrics: s.metrics, Tracer: s.traces.Tracer("frontend"), Prefixes: prefixes,
	})
	return nil
}

func (s *Server) openPorts() error {
	var err error
	s.callers, err = web.New(web.Config{Address: s.cfg.CallerListen, MaxBody: frontend.MaxBody, Options: frontend.Options()})
	if err != nil {
		return err
	}
	s.frontend.Register(s.callers.Hertz.Engine)
	if s.targets, err = web.New(web.Config{Address: s.cfg.TargetListen, MaxBody: smallBody}); err != nil {
		return err
	}
	discovery.NewPort(s.registry, s.targetToken).Register(s.targets.Hertz.Engine)
	return s.openOperatorPort()
}

// seed returns a number that differs between nodes, so that they don't all choose the same target.
func (s *Server) seed() uint64 { return seedOf(s.cfg.Node) }

func seedOf(node camphorhinge.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // Writes to a hash don't fail.
	return h.Sum64()
}

func (s *Server) targetToken() string {
	if s.cfg.TargetToken == "" {
		return ""
	}
	token, err := os.ReadFile(s.cfg.TargetToken)
	if err != nil || len(strings.TrimSpace(string(token))) == 0 {
		return "\x00" // An unreadable token file lets no target in.
	}
	return strings.TrimSpace(string(token))
}

// leaderCandidates returns the peer addresses at which the leader may be found.
func (s *Server) leaderCandidates() []string {
	addresses := append([]string{}, s.seeds()...)
	if s.durable != nil {
		addresses = append(addresses, s.self.GetAddress())
	}
	if s.durable != nil && s.renewer == nil {
		addresses = append(addresses, s.durable.cores()...)
	}
	if s.renewer != nil {
		for _, n := range s.renewer.Nodes() {
			if n.Replica != 0 {
				addresses = append(addresses, n.Address)
			}
		}
	}
	return addresses
}

// others returns the peer addresses of all other nodes.
func (s *Server) others() []string {
	var addresses []string
	for _, n := range s.renewer.Nodes() {
		if n.Name != s.cfg.Node {
			addresses = append(addresses, n.Address)
		}
	}
	return addresses
}

func (s *Server) nodeCount() int { return max(1, len(s.renewer.Nodes())) }

// Addresses returns the addresses of the ports.
func (s *Server) Addresses() Addresses {
	return Addresses{
		Caller: s.callers.Address(), Target: s.targets.Address(), Operator: s.operators.Address(), Peer: s.peers.Address(),
	}
}

func (s *Server) close() {
	for _, c := range s.closers {
		c.Close()
	}
}

// Run serves until ctx ends, and then stops as planned: readiness fails and leadership moves, new connections are refused
// after the stop delay, and requests under way run to their end.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	a := s.Addresses()
	s.log.Info("node serves", "node", s.cfg.Node, "zone", s.cfg.Zone,
		"caller", a.Caller, "target", a.Target, "operator", a.Operator, "peer", a.Peer)

	base, halt := context.WithCancelCause(context.WithoutCancel(ctx))
	defer halt(nil)
	g, work := errgroup.WithContext(base)
	callers, closeCallers := context.WithCancel(work)
	defer closeCallers()
	g.Go(func() error { return s.peers.Serve(work, s.services()) })
	g.Go(func() error { return s.spreader.Run(work) })
	renewing, stopRenewing := context.WithCancel(work)
	defer stopRenewing()
	renewed := make(chan struct{})
	g.Go(func() error {
		defer close(renewed)
		return s.renewer.Run(renewing)
	})
	g.Go(func() error { return s.targets.Serve(work, controlGrace) })
	g.Go(func() error { return s.operators.Serve(work, controlGrace) })
	if s.durable != nil {
		g.Go(func() error { return s.durable.run(work) })
		g.Go(func() error { return s.orders.run(work) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return nil // Another part has failed; its error ends the process.
		}
		s.stop(closeCallers)
		return nil
	})
	g.Go(func() error {
		err := s.callers.Serve(callers, s.cfg.StopLimit)
		// A renewal after the farewell would make acceptances wait for a node that is gone.
		stopRenewing()
		<-renewed
		s.leave(work)
		halt(nil)
		return err
	})
	err := g.Wait()
	s.finish()
	s.log.Info("node stopped", "node", s.cfg.Node, "error", err)
	return err
}

// stop fails readiness, hands leadership over and, after the delay in which the balancer notices, closes the caller port.
func (s *Server) stop(closeCallers func()) {
	s.log.Info("planned stop begins", "node", s.cfg.Node, "delay", s.cfg.StopDelay)
	s.settings.stopping.Store(true)
	if s.durable != nil {
		s.durable.transfer()
	}
	s.callers.Drain()
	time.Sleep(s.cfg.StopDelay)
	closeCallers()
}

// leave gives the configuration lease back, so that no acceptance waits for this node.
func (s *Server) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.renewer.Leave(ctx); err != nil {
		s.log.Warn("configuration lease not given back", "error", err)
	}
}

// finish waits for calls that outlive their requests, and closes what New opened besides files.
func (s *Server) finish() {
	late, cancel := context.WithTimeout(context.Background(), controlGrace)
	defer cancel()
	for what, closePart := range map[string]func() error{
		"frontend":   s.frontend.Close,
		"quarantine": s.quarantine.Close,
		"exchange":   s.exchange.Close,
		"traces":     func() error { return s.traces.Close(late) },
	} {
		if err := closePart(); err != nil {
			s.log.Warn("part not closed", "part", what, "error", err)
		}
	}
	s.pool.Close()
}
