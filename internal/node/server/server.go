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
	"example.org/camphorhinge/internal/node/accept"
	"example.org/camphorhinge/internal/node/clock"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/dial"
	"example.org/camphorhinge/internal/node/discovery"
	"example.org/camphorhinge/internal/node/feed"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/response"
	"example.org/camphorhinge/internal/node/setting"
	"example.org/camphorhinge/internal/node/web"
	"example.org/camphorhinge/internal/observe/decision"
	"example.org/camphorhinge/internal/observe/trace"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/record/table"
	"example.org/camphorhinge/internal/request/admit"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/frontend"
	"example.org/camphorhinge/internal/request/ingress"
	"example.org/camphorhinge/internal/request/quarantine"
	"example.org/camphorhinge/internal/request/route"
)

const (
	// ringSize is the number of decisions of each kind that a node keeps; they take about 0.5 MB.
	ringSize = 1024
	// maxSmallBody bounds request bodies on the target, readiness and metrics ports, in bytes.
	maxSmallBody = registry.MaxAnnouncement
	// controlGrace bounds the wait for running calls on the target, operator and control ports at a stop.
	controlGrace = 2 * time.Second
	// callerDescriptorsPercent is the share of the descriptors of a serve process for callers. A call that is passed on takes a second
	// descriptor, for its target, and the replica and the other ports need the rest.
	callerDescriptorsPercent = 40
	// leaveTimeout bounds the calls that announce a planned stop to other nodes.
	leaveTimeout = time.Second
)

// Kind classifies an Error.
type Kind string

const (
	// KindSetting marks invalid settings.
	KindSetting Kind = "setting"
	// KindStart marks a component that could not be started.
	KindStart Kind = "start"
	// KindState marks a failure of the durable state, after which the process must end.
	KindState Kind = "state"
)

// Error is the error type of this package; Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("server %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Addresses are the listen addresses of a Server, as IP:port.
type Addresses struct {
	Caller, Target, Operator, Peer string
}

// Server is the process of the command serve, and the base of Core.
type Server struct {
	cfg     setting.Serve
	log     *slog.Logger
	clock   camphorhinge.Clock
	metrics *metrics.Set
	ring    *decision.Ring
	traces  *trace.Provider
	closers []io.Closer

	self      *peerpb.Node
	pool      *peer.Pool
	client    *control.Client
	control   *control.Server
	leases    *config.Leases
	lease     *config.Lease
	mirror    *table.Mirror
	renewer   *control.Renewer
	registry  *registry.Registry
	discovery *discovery.Service
	meter     *workload.Meter
	reports   *admit.Reports
	durable   *durableState
	// routes is the replicated routing configuration; only core nodes use it.
	routes *routing.Table
	// responses bounds the memory of responses with the configuration; nil unless this is a core node.
	responses *response.Bound
	// source answers the watches of entry nodes; nil unless this is a core node.
	source *feed.Source
	// seeds returns the peer addresses that the settings currently name.
	seeds func() []string
	// started is when this Server was created.
	started time.Time
	orders  *orders
	// engines is this node's copy of the leader's decisions on engines.
	engines *order.Mirror

	configuration *configuration
	router        *route.Router
	admission     *admit.Admission
	exchange      *exchange.Client
	quarantine    *quarantine.Client
	frontend      *frontend.Frontend

	callerPort, targetPort, operatorPort *web.Server
	peerPort                             *peer.Server
}

// New checks the settings and opens the data folder and all ports. Spans go to the exporters that the settings name
// and, as JSON lines, to extra if it is not nil.
func New(ctx context.Context, cfg setting.Serve, log *slog.Logger, extra io.Writer) (*Server, error) {
	if err := cfg.Check(); err != nil {
		return nil, &Error{Op: "new", Kind: KindSetting, Err: err}
	}
	s := newServer(cfg, log, refuseRouting)
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
	routes := routing.NewTable(decode)
	routes.BoundPrevious(cfg.Memory.VersionBytes)
	return &Server{
		seeds: func() []string { return cfg.Peers },
		cfg:   cfg, log: log, clock: clock.New(), metrics: metrics.NewSet(), ring: decision.New(ringSize),
		routes: routes, started: time.Now(),
	}
}

// refuseRouting is the decoder of nodes that accept no routing configuration; it always fails.
func refuseRouting([]byte) (*routing.Config, error) {
	return nil, &Error{Op: "decode", Kind: KindSetting, Err: errors.New("this node accepts no routing configuration")}
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

// tlsFiles returns the TLS files of the peer port, or nil for plain TCP.
func (s *Server) tlsFiles() *peer.Files {
	if s.cfg.PeerPlain {
		return nil
	}
	return &peer.Files{Cert: s.cfg.PeerCert, Key: s.cfg.PeerKey, CA: s.cfg.PeerCA}
}

// openPeers opens the peer port and creates the clients that depend on it. It runs before the other steps because the
// node sends the port's address to other nodes.
func (s *Server) openPeers() error {
	pool, err := peer.NewPool(s.tlsFiles())
	if err != nil {
		return err
	}
	if s.cfg.PeerSource != "" {
		source, err := netip.ParseAddr(s.cfg.PeerSource)
		if err != nil {
			return err
		}
		pool.SetSource(source)
	}
	s.pool = pool
	pool.CountTraffic(s.metrics)
	s.client = control.NewClient(pool, s.leaderCandidates)
	s.lease = config.NewLease(s.clock, s.cfg.StaleLimit)
	s.leases = config.NewLeases(s.clock, s.cfg.StaleLimit)
	s.mirror = table.NewMirror()
	s.peerPort, err = peer.NewServer(s.cfg.PeerListen, s.tlsFiles())
	if err != nil {
		return err
	}
	s.metrics.NewGauge(peer.TrafficPrefix+"connections", func() float64 { return float64(s.peerPort.Connections()) })
	address := s.cfg.PeerAddress
	if address == "" {
		address = s.peerPort.Address()
	}
	s.self = &peerpb.Node{Name: string(s.cfg.Node), Address: address, Zone: string(s.cfg.Zone)}
	return nil
}

func (s *Server) buildFleet() error {
	s.engines = order.NewMirror()
	s.meter = workload.NewMeter(s.cfg.Node, rand.Uint64(), s.clock) //nolint:gosec // The number only distinguishes starts.
	s.reports = admit.NewReports(s.clock, s.nodeCount)
	s.renewer = control.NewRenewer(control.RenewerConfig{
		Self: s.self, Client: s.client, Mirror: s.mirror, Lease: s.lease, Clock: s.clock, Log: s.log,
		Engines: s.applyEngineDecisions, Decisions: s.ring, Scores: s.mergeScores, WorkloadReport: s.meter.NextReport,
	})
	s.registry = registry.New(registry.Config{
		Clock: s.clock, Cordoned: s.engines.Cordoned, OnAnnouncement: s.onAnnouncement, Metrics: s.metrics,
	})
	s.discovery = discovery.New(discovery.Config{
		Node: s.cfg.Node, Registry: s.registry, Pool: s.pool, Others: s.otherAddresses, Metrics: s.metrics, Resync: s.replaceCache,
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
		Proposer: s.client, Node: s.cfg.Node, Clock: s.clock, Decisions: s.ring, Log: s.log, Metrics: s.metrics,
		Survived: func(ctx context.Context, t *camphorhinge.Target) bool {
			return survived(ctx, s.exchange, s.registry, t)
		},
	})
	claims := claim.New(claim.Config{Proposer: s.client, Node: s.cfg.Node, Metrics: s.metrics, Retention: s.cfg.ClaimRetention})
	s.configuration = &configuration{mirror: s.mirror, lease: s.lease, synced: s.discovery.Warm}
	s.frontend = frontend.New(frontend.Config{
		Router: workload.WrapRouter(s.router, s.meter), Admission: workload.WrapAdmission(s.admission, s.meter),
		Targets: s.registry, Decisions: s.ring, Configuration: s.configuration,
		Exchange: s.exchange, Claims: claims, Quarantine: s.quarantine,
		Bodies: buffer.New(buffer.Config{
			Name: "bodies", Limit: s.cfg.BodyBytes, MinRate: s.cfg.MinBodyRate, OnEnded: logSlowBodies(s.log, "callers"), Metrics: s.metrics,
		}),
		Answers: buffer.New(buffer.Config{Name: "answers", Limit: s.cfg.AnswerBytes, Metrics: s.metrics}),
		Log:     s.log,
		Metrics: s.metrics, Tracer: s.traces.Tracer("frontend"), Prefixes: hashPrefixes,
	})
	return nil
}

func (s *Server) openPorts() error {
	var err error
	conns, limit := ingress.NewConns(), s.cfg.CallerConnections
	if limit == 0 {
		limit = accept.Share(callerDescriptorsPercent)
	}
	s.callerPort, err = web.New(web.Config{
		Address: s.cfg.CallerListen, MaxBody: frontend.MaxBody, Options: s.frontend.Options(conns), Connections: limit, Port: "callers", Conns: conns,
		Headers: buffer.New(buffer.Config{Name: "headers", Limit: s.cfg.HeaderBytes, Metrics: s.metrics}), Metrics: s.metrics, Log: s.log,
	})
	if err != nil {
		return err
	}
	s.frontend.Register(s.callerPort.Hertz.Engine)
	if s.targetPort, err = web.New(web.Config{Address: s.cfg.TargetListen, MaxBody: maxSmallBody}); err != nil {
		return err
	}
	discovery.NewHandler(s.registry, s.targetToken).Register(s.targetPort.Hertz.Engine)
	return s.openOperatorPort()
}

// seed returns the seed of this node's random choices. It is derived from the node's name and differs between nodes, so
// that they do not all choose the same target.
func (s *Server) seed() uint64 { return seedOf(s.cfg.Node) }

func seedOf(node camphorhinge.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // Writes to a hash never fail.
	return h.Sum64()
}

func (s *Server) targetToken() string {
	if s.cfg.TargetToken == "" {
		return ""
	}
	token, err := os.ReadFile(s.cfg.TargetToken)
	if err != nil || len(strings.TrimSpace(string(token))) == 0 {
		return "\x00" // Matches no token: with an unreadable token file, every target is refused.
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
		addresses = append(addresses, s.durable.coreAddresses()...)
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

// otherAddresses returns the peer addresses of all nodes but this one.
func (s *Server) otherAddresses() []string {
	var addresses []string
	for _, n := range s.renewer.Nodes() {
		if n.Name != s.cfg.Node {
			addresses = append(addresses, n.Address)
		}
	}
	return addresses
}

func (s *Server) nodeCount() int { return max(1, len(s.renewer.Nodes())) }

// Addresses returns the addresses that the ports listen on.
func (s *Server) Addresses() Addresses {
	return Addresses{
		Caller: s.callerPort.Address(), Target: s.targetPort.Address(), Operator: s.operatorPort.Address(), Peer: s.peerPort.Address(),
	}
}

func (s *Server) close() {
	for _, c := range s.closers {
		c.Close()
	}
}

// Run serves until ctx ends and then performs a planned stop: readiness fails, leadership is transferred, new
// connections are refused after the stop delay, and running requests complete.
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
	g.Go(func() error { return s.peerPort.Serve(work, s.services()) })
	g.Go(func() error { return s.discovery.Run(work) })
	renewing, stopRenewing := context.WithCancel(work)
	defer stopRenewing()
	renewed := make(chan struct{})
	g.Go(func() error {
		defer close(renewed)
		return s.renewer.Run(renewing)
	})
	g.Go(func() error { return s.targetPort.Serve(work, controlGrace) })
	g.Go(func() error { return s.operatorPort.Serve(work, controlGrace) })
	if s.durable != nil {
		g.Go(func() error { return s.durable.run(work) })
		g.Go(func() error { return s.orders.run(work) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return nil // Another goroutine has failed; its error ends the process.
		}
		s.stop(closeCallers)
		return nil
	})
	g.Go(func() error {
		err := s.callerPort.Serve(callers, s.cfg.StopLimit)
		// A renewal after the release of the lease would make the leader wait for a stopped node before it confirms that a
		// change is in force.
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

// stop fails readiness, transfers leadership and closes the caller port after the stop delay, within which the load
// balancer detects that the node is not ready.
func (s *Server) stop(closeCallers func()) {
	s.log.Info("planned stop begins", "node", s.cfg.Node, "delay", s.cfg.StopDelay)
	s.configuration.stopping.Store(true)
	if s.durable != nil {
		s.durable.transferLeadership()
	}
	s.callerPort.Drain()
	time.Sleep(s.cfg.StopDelay)
	closeCallers()
}

// leave releases the configuration lease, so that the leader does not wait for this node before it confirms that a
// change is in force.
func (s *Server) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.renewer.Leave(ctx); err != nil {
		s.log.Warn("configuration lease not released", "error", err)
	}
}

// finish waits for calls that outlive their requests and closes what New opened, except files.
func (s *Server) finish() {
	late, cancel := context.WithTimeout(context.Background(), controlGrace)
	defer cancel()
	for component, closeComponent := range map[string]func() error{
		"frontend":   s.frontend.Close,
		"quarantine": s.quarantine.Close,
		"exchange":   s.exchange.Close,
		"traces":     func() error { return s.traces.Close(late) },
	} {
		if err := closeComponent(); err != nil {
			s.log.Warn("component not closed", "part", component, "error", err)
		}
	}
	s.pool.Close()
}
