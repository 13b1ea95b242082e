package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/balance"
	"example.org/camphorhinge/internal/fleet/duty"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/fleet/scale"
	"example.org/camphorhinge/internal/fleet/usage"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/dial"
	"example.org/camphorhinge/internal/node/discovery"
	"example.org/camphorhinge/internal/node/feed"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/response"
	"example.org/camphorhinge/internal/node/schedule"
	"example.org/camphorhinge/internal/node/setting"
	"example.org/camphorhinge/internal/node/tunnel"
	"example.org/camphorhinge/internal/node/web"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/origin"
	"example.org/camphorhinge/internal/request/place"
	"example.org/camphorhinge/internal/state/replica"
)

const (
	// coreExpiry is how long a core node considers a target live after its last heartbeat. Entry nodes rely on the outcome
	// of requests instead, so that a lost heartbeat removes no target there.
	coreExpiry = 30 * time.Second
	// applyPause is the time before a configuration of uncertain outcome is proposed again.
	applyPause = 50 * time.Millisecond
	// workTimeout bounds a call for the measured work of engines.
	workTimeout = 200 * time.Millisecond
	// workIdle is the time since its latest request after which a core node does not count as placing requests.
	workIdle = time.Second
	// largeDocument is the size in bytes above which configurations are checked and proposed one at a time: each takes several times its
	// size meanwhile.
	largeDocument = 256 << 10
	// formationTimeout bounds the wait for the full number of voters before the first configuration is accepted.
	formationTimeout = 5 * time.Second
	// leaveConfirmTimeout bounds the wait for other core nodes to record a leave; the target then asks another node.
	leaveConfirmTimeout = 600 * time.Millisecond
	// contactInterval is the time between two checks of the contact with the leader.
	contactInterval = 100 * time.Millisecond
	// relayGrace bounds the wait for requests on connections through this node at a stop.
	relayGrace = 4 * time.Second
	// maxControlBody bounds request bodies on the control and caller ports of platform nodes, in bytes; it fits a
	// configuration of several thousand routes.
	maxControlBody = 8 << 20
)

// Names of linearizable reads.
const (
	// queryRouting reads the routing configuration.
	queryRouting = "routing"
	// queryVersions reads the software versions of a service.
	queryVersions = "versions"
	// queryNewest reads the newest version of the routing configuration.
	queryNewest = "newest"
)

// CoreConfig holds the settings and dependencies of a core node.
type CoreConfig struct {
	Settings setting.Core
	// Decode parses the operator's routing configuration.
	Decode routing.Decoder
	// Peers returns the peer addresses of core nodes that the settings currently name.
	Peers func() []string
	// ParseNotice reads what a target states in an answer about further requests, as forward.Protocol does.
	ParseNotice func(status int, h http.Header) (place.Notice, error)
	// Dialect encodes calls to targets; Engines creates the client that sends orders to engines.
	Dialect exchange.Dialect
	Engines func(*exchange.Client) Engines
	// Provider creates the client for calls to the provider at an address; it is needed only if the settings ask for calls.
	Provider func(address string, holder *duty.Holder) Provider
	// Register adds the handlers of the control port.
	Register func(*web.Server, Control)
	Log      *slog.Logger
}

// Provider makes the calls to the provider of targets.
type Provider interface {
	scale.Provider
	usage.Provider
}

// Engines sends the control calls to engines: orders, and the listing of their KV caches.
type Engines interface {
	balance.Engines
	schedule.Caches
}

// Control is the API behind the control port of a core node, which targets and the operator call.
type Control interface {
	// Announce handles an announcement that came from the target itself. It reports whether the configuration has the
	// announced service; without it the announcement is ignored.
	// A leaving target's announcement is held by as many other core nodes as may be lost, or the error says otherwise.
	Announce(ctx context.Context, a camphorhinge.Announcement) (configured bool, err error)
	// Leave records that a target has left for good. Incarnation 0 stands for the registered incarnation. The record is held by as many
	// other core nodes as may be lost, or the error says otherwise.
	Leave(ctx context.Context, name camphorhinge.TargetName, incarnation camphorhinge.Incarnation) error
	// Apply checks a routing configuration and commits it. An invalid one has the outcome routing.OutcomeInvalid. After an error it is
	// unknown whether the configuration takes effect.
	Apply(ctx context.Context, document []byte) (routing.Result, error)
	// Document returns the latest committed routing configuration as the operator wrote it, or nil if there is none. The
	// read is linearizable; it fails if this node cannot reach the leader, or has no memory for the response to owner. After a success,
	// free must be called once the response was sent.
	Document(ctx context.Context, owner string) (document []byte, free func(), err error)
}

// Core is a core node: it holds a replica of the durable state, accepts announcements of targets and configurations of
// the operator, and distributes both to the entry nodes.
type Core struct {
	*Server
	settings  setting.Core
	scheduler *schedule.Scheduler
	confirmer *feed.Confirmer
	exchange  *exchange.Client
	relay     *tunnel.Relay
	// messages bounds the bytes of messages between nodes that are held.
	messages *buffer.Pool
	// decode checks a configuration before it is proposed.
	decode routing.Decoder
	// large is a semaphore of one for configurations above largeDocument, which are checked and proposed one at a time.
	large chan struct{}
	// memoryShort bounds the log lines on bodies at the control port that were refused for lack of memory.
	memoryShort rate.Sometimes
	// notices holds what targets stated in answers that this node passed on.
	notices     place.Notices
	parseNotice func(status int, h http.Header) (place.Notice, error)
	balancer    *balance.Balancer
	// scaler is nil unless the number of engines is ordered.
	scaler   *scale.Controller
	versions *origin.Keeper
	// reporter makes the usage reports; nil when none are owed.
	reporter *usage.Reporter
	// journal keeps usage counts on disk; nil when no reports are owed.
	journal     *usage.Journal
	controlPort *web.Server
	metricsPort *web.Server
}

var _ Control = (*Core)(nil)

// memoryLogInterval is the least time between two log lines on lack of memory, after the first ten.
const memoryLogInterval = 10 * time.Second

// NewCore checks the settings and opens the data folder and all ports.
func NewCore(ctx context.Context, cfg CoreConfig) (*Core, error) {
	if err := cfg.Settings.Check(); err != nil {
		return nil, &Error{Op: "new", Kind: KindSetting, Err: err}
	}
	c := &Core{
		Server: newServer(cfg.Settings.Serve(), cfg.Log, cfg.Decode), settings: cfg.Settings, decode: cfg.Decode, large: make(chan struct{}, 1),
		memoryShort: rate.Sometimes{First: 10, Interval: memoryLogInterval},
	}
	c.seeds = cfg.Peers
	steps := []func() error{
		func() error { return c.openTraces(ctx, nil) },
		c.openPeers,
		func() error {
			c.peerPort.Bound(c.settings.PeerConnections, c.metrics, c.log)
			c.messages = buffer.New(buffer.Config{Name: "peers", Limit: c.settings.PeerBytes, Metrics: c.metrics})
			c.pool.BoundAnswers(c.messages)
			c.responses = response.New(buffer.New(buffer.Config{Name: "responses", Limit: c.settings.ResponseBytes, Metrics: c.metrics}), c.log)
			return nil
		},
		func() error { return c.openDurable(ctx) },
		func() error { return c.buildCore(cfg) },
		func() error { return c.openControl(cfg.Register) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			c.close()
			return nil, &Error{Op: "new", Kind: KindStart, Err: err}
		}
	}
	return c, nil
}

func (c *Core) buildCore(cfg CoreConfig) error {
	c.registry = registry.New(registry.Config{
		Clock: c.clock, Expiry: coreExpiry, Exclusive: true, OnChange: c.notifyWatches, Metrics: c.metrics,
	})
	c.discovery = discovery.New(discovery.Config{
		Node: c.cfg.Node, Registry: c.registry, Pool: c.pool, Others: c.otherCoreAddresses, Metrics: c.metrics,
		PassOnLeaves: true,
	})
	c.parseNotice = cfg.ParseNotice
	direct := dial.NewProbing(connectTimeout, silentTimeout)
	c.exchange = newExchange(c.metrics, cfg.Dialect, direct, nil)
	c.relay = tunnel.NewRelay(tunnel.RelayConfig{
		Dialer: direct, Known: func(address string) bool { return c.registry.AtAddress(address) != nil },
		Notices: c.noticesAt, Silent: silentTimeout, Bytes: c.settings.RelayBytes, Connections: c.settings.RelayConnections, Clock: c.clock, Log: c.log, Metrics: c.metrics,
	})
	engines := cfg.Engines(c.exchange)
	c.scheduler = schedule.New(schedule.Config{
		Targets: c.registry, Configuration: c.routes.Current, Caches: engines, Clock: c.clock, Seed: c.seed(), Log: c.log,
		Self: c.self.GetAddress(), Others: c.otherCoreAddresses, Feed: func(address string) peerpb.Feed { return c.pool.Get(address).Feed }, Versions: c.versionsInService,
		Metrics: c.metrics,
	})
	// The reads have a client of their own: they give up early, after which a client takes the leader for lost.
	reader := control.NewClient(c.pool, c.leaderCandidates)
	c.confirmer = feed.NewConfirmer(feed.ConfirmerConfig{
		Newest:  func(ctx context.Context) (camphorhinge.Version, error) { return newestVersion(ctx, reader) },
		Applied: c.appliedVersion, Clock: c.clock, Log: c.log,
	})
	if c.settings.RevocationBound > 0 {
		c.metrics.NewGauge("camphorhinge_confirmed_age_seconds", c.confirmer.Age)
	}
	collector := c.buildDuties(cfg)
	c.source = feed.NewSource(feed.SourceConfig{
		Zone: c.cfg.Zone, Registry: c.registry, Table: c.routes, Cores: c.durable.coreAddresses, Scores: c.durable.scores, Clock: c.clock,
		Scheduler: c.scheduler, Shards: c.scheduler.AllShards, Confirmed: c.confirmer.At, Responses: c.responses, Usage: collector, Wall: wallClock,
	})
	c.versions = origin.NewKeeper(origin.KeeperConfig{
		Machine: c.durable.versions, Proposer: c.client, Targets: c.registry, Services: c.serviceNames,
		Leads: func() bool {
			_, leads := c.durable.replica.Authority()
			return leads
		},
		Clock: c.clock, Log: c.log,
	})
	c.buildControl()
	c.balancer = balance.New(balance.Config{
		Node: c.cfg.Node, Authority: c.durable.replica, Targets: c.registry, Services: c.engineServices,
		Load: c.balanceLoad, Shards: func(service camphorhinge.ServiceName) int { return len(c.scheduler.Shards(service)) },
		Engines: engines, Clock: c.clock, HandoverDelay: c.settings.Handover, Log: c.log, Metrics: c.metrics,
	})

	return nil
}

// engineLoad returns the load of a service's engines as measured by the core nodes that place its requests.
func (c *Core) engineLoad(ctx context.Context, service camphorhinge.ServiceName) balance.Load {
	req := &peerpb.WorkRequest{Service: string(service)}
	addresses := c.otherCoreAddresses()
	answers := make([]*peerpb.WorkResponse, len(addresses)+1)
	answers[len(addresses)], _ = c.scheduler.Work(ctx, req) // Returns no error.
	callCtx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	var g errgroup.Group
	for i, address := range addresses {
		g.Go(func() error {
			resp, err := c.pool.Get(address).Feed.Work(callCtx, req)
			if err != nil {
				c.log.Debug("measured work not received", "core", address, "error", err)
			}
			answers[i] = resp
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
	return sumWork(answers)
}

// sumWork returns the sum of the work that core nodes have measured and that place requests now. If none does, it is that of the one
// with the most work.
func sumWork(answers []*peerpb.WorkResponse) balance.Load {
	sum, most := balance.Load{Running: -1}, balance.Load{Running: -1}
	for _, w := range answers {
		if !w.GetMeasured() {
			continue
		}
		one := balance.Load{
			Running: w.GetGenerating(), Prefilling: w.GetPrefilling(), Transferring: w.GetTransferring(),
			Age: time.Duration(w.GetAge()) * time.Millisecond,
		}
		if one.Running+one.Prefilling > most.Running+most.Prefilling {
			most = one
		}
		if time.Duration(w.GetIdle())*time.Millisecond > workIdle {
			continue
		}
		sum.Running = max(sum.Running, 0) + one.Running
		sum.Prefilling += one.Prefilling
		sum.Transferring += one.Transferring
		sum.Age = max(sum.Age, one.Age)
	}
	if sum.Running < 0 {
		return most
	}
	return sum
}

// serviceNames returns the names of the configured services.
func (c *Core) serviceNames() []camphorhinge.ServiceName {
	current := c.routes.Current()
	if current == nil {
		return nil
	}
	var out []camphorhinge.ServiceName
	for i := range current.Services {
		out = append(out, current.Services[i].Name)
	}
	return out
}

// versionsInService returns the software versions of a service that are or recently were in service. The read is
// linearizable; it fails if this node cannot reach the leader.
func (c *Core) versionsInService(ctx context.Context, service camphorhinge.ServiceName) ([]camphorhinge.SoftwareVersion, error) {
	data, err := c.client.Read(ctx, queryVersions, []byte(service))
	if err != nil {
		return nil, err
	}
	var out []camphorhinge.SoftwareVersion
	err = json.Unmarshal(data, &out)
	return out, err
}

// versionsQuery handles the linearizable read of the software versions of the service that args names.
func (s *Server) versionsQuery(args []byte) ([]byte, error) {
	return json.Marshal(s.durable.versions.Versions(camphorhinge.ServiceName(args)))
}

// engineServices returns the names of the configured services that run engines.
func (c *Core) engineServices() []camphorhinge.ServiceName {
	current := c.routes.Current()
	if current == nil {
		return nil
	}
	var out []camphorhinge.ServiceName
	for i := range current.Services {
		if current.Services[i].Engine != nil {
			out = append(out, current.Services[i].Name)
		}
	}
	return out
}

// notifyWatches wakes the waiting watches of entry nodes.
func (c *Core) notifyWatches() { c.source.WakeWatches() }

// coreAddresses returns the peer addresses of all listed nodes with a replica.
func (d *durableState) coreAddresses() []string {
	var out []string
	for _, n := range d.members.Nodes() {
		if n.Replica != 0 {
			out = append(out, n.Address)
		}
	}
	return out
}

func (c *Core) otherCoreAddresses() []string {
	var out []string
	for _, address := range c.durable.coreAddresses() {
		if address != c.self.GetAddress() {
			out = append(out, address)
		}
	}
	return out
}

func (c *Core) openControl(register func(*web.Server, Control)) error {
	var err error
	bodies := buffer.New(buffer.Config{
		Name: "control", Limit: c.settings.ControlBytes, MinRate: c.settings.BodyRate, OnEnded: logSlowBodies(c.log, "control"), Metrics: c.metrics,
	})
	if c.controlPort, err = web.New(web.Config{
		Address: c.settings.ControlListen, MaxBody: maxControlBody, Bodies: bodies, Connections: c.settings.ControlConnections, Port: "control",
		Headers: buffer.New(buffer.Config{Name: "headers", Limit: c.settings.HeaderBytes, Metrics: c.metrics}),
		Metrics: c.metrics, Log: c.log, OnRefused: c.logMemoryShort,
	}); err != nil {
		return err
	}
	register(c.controlPort, c)
	c.metricsPort, err = openMetrics(c.settings.MetricsListen, c.settings.OtherConnections, c.metrics, c.nodeStatus)
	return err
}

// logMemoryShort logs that a body at the control port was refused.
func (c *Core) logMemoryShort(owner, reason string) {
	c.memoryShort.Do(func() { c.log.Warn("no memory for a body at the control port", "from", owner, "reason", reason) })
}

// logSlowBodies returns a function that logs, within bounds, that a body at a port was ended for another one.
func logSlowBodies(log *slog.Logger, port string) func(owner string, held int64) {
	bound := rate.Sometimes{First: 10, Interval: memoryLogInterval}
	return func(owner string, held int64) {
		bound.Do(func() {
			log.Warn("body below the minimum rate ended, since its memory was needed", "port", port, "from", owner, "held", held)
		})
	}
}

// Run serves until ctx ends and then performs a planned stop: leadership is transferred, and running calls complete.
func (c *Core) Run(ctx context.Context) error {
	defer c.close()
	c.log.Info("core node serves", "node", c.cfg.Node, "zone", c.cfg.Zone, "control", c.controlPort.Address(), "peer", c.peerPort.Address())
	base, halt := context.WithCancel(context.WithoutCancel(ctx))
	defer halt()
	g, work := errgroup.WithContext(base)
	controlCtx, closeControl := context.WithCancel(work)
	defer closeControl()
	services := c.services()
	services.Tunnels, services.Bodies, services.Metrics, services.Log = c.relay, c.messages, c.metrics, c.log
	g.Go(func() error { return c.peerPort.Serve(work, services) })
	g.Go(func() error { return c.discovery.RunWithoutPolls(work) })
	g.Go(func() error { return c.scheduler.Run(work) })
	g.Go(func() error { return logTraffic(work, c.log, c.metrics, c.peerPort.Connections) })
	g.Go(func() error { return c.balancer.Run(work) })
	if c.scaler != nil {
		g.Go(func() error { return c.scaler.Run(work) })
	}
	g.Go(func() error { return c.versions.Run(work) })
	if c.journal != nil {
		g.Go(func() error { return c.journal.Run(work) })
	}
	if c.reporter != nil {
		g.Go(func() error { return c.reporter.Run(work) })
	}
	g.Go(func() error { return c.runRelief(work) })
	g.Go(func() error { return c.runContact(work) })
	if c.settings.RevocationBound > 0 {
		g.Go(func() error { return c.confirmer.Run(work) })
	}
	g.Go(func() error { return c.durable.run(work) })
	g.Go(func() error {
		defer halt()
		return c.controlPort.Serve(controlCtx, controlGrace)
	})
	if c.metricsPort != nil {
		g.Go(func() error { return c.metricsPort.Serve(work, 0) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return nil // Another goroutine has failed; its error ends the process.
		}
		c.log.Info("planned stop begins", "node", c.cfg.Node)
		c.durable.transferLeadership()
		c.drainRelay()
		closeControl()
		return nil
	})
	err := g.Wait()
	c.pool.Close()
	c.log.Info("core node stopped", "node", c.cfg.Node, "error", err)
	return err
}

// runContact tells entry nodes whether this node is in contact with the leader, until ctx ends.
func (c *Core) runContact(ctx context.Context) error {
	ticker := time.NewTicker(contactInterval)
	defer ticker.Stop()
	for isolated := false; ; {
		if now := c.durable.replica.Isolated(); now != isolated {
			isolated = now
			c.log.Info("contact with the leader changed", "isolated", isolated)
			c.source.SetIsolated(isolated)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// relayedTarget is a target that other nodes are connected to through this node; it implements tunnel.Notices.
type relayedTarget struct {
	core   *Core
	target *camphorhinge.Target
}

func (c *Core) noticesAt(address string) tunnel.Notices {
	if t := c.registry.AtAddress(address); t != nil {
		return relayedTarget{c, t}
	}
	return nil
}

// Closed implements tunnel.Notices.
func (r relayedTarget) Closed() bool { return r.core.notices.Closed(r.core.clock.Now(), r.target) }

// Record implements tunnel.Notices.
func (r relayedTarget) Record(status int, h http.Header) bool {
	notice, err := r.core.parseNotice(status, h)
	if err != nil {
		// The node that sent the request warns of it.
		r.core.log.Debug("statement of target not valid", "target", r.target.Name, "error", err)
	}
	closed := r.core.notices.Record(r.core.clock.Now(), r.target, notice)
	if closed > 0 {
		r.core.log.Info("target wants no requests", "target", r.target.Name, "service", r.target.Service, "leaving", notice.Leaving,
			"closed_ms", closed.Milliseconds())
	}
	return closed > 0
}

// drainRelay waits until no connection through this node carries a request.
func (c *Core) drainRelay() {
	ctx, cancel := context.WithTimeout(context.Background(), relayGrace)
	defer cancel()
	c.relay.Drain(ctx)
}

// Announce implements Control.
func (c *Core) Announce(ctx context.Context, a camphorhinge.Announcement) (bool, error) {
	current := c.routes.Current()
	if current == nil || current.Service(a.Service) == nil {
		return false, nil
	}
	changed, err := c.registry.Announce(a, 0, true)
	c.versions.Observe(origin.Origin{Service: a.Service, Software: a.Software})
	if err != nil || !a.Leaving {
		return true, err
	}
	if changed {
		c.log.Info("target leaves", "target", a.Name, "service", a.Service, "incarnation", a.Incarnation, "seq", a.Seq)
	}
	return true, c.confirmLeave(ctx, a.Name)
}

// Leave implements Control. It fails for a target that is not known here while this node has not received the targets that the others have.
func (c *Core) Leave(ctx context.Context, name camphorhinge.TargetName, incarnation camphorhinge.Incarnation) error {
	if c.registry.MarkLeft(name, incarnation) {
		c.log.Info("target left", "target", name, "incarnation", incarnation)
	}
	if _, known := c.registry.Recorded(name); !known && c.discovery.Warm() {
		return nil
	}
	return c.confirmLeave(ctx, name)
}

// confirmLeave returns nil once the record of a leaving target outlives the loss of as many core nodes as the group of voters does.
func (c *Core) confirmLeave(ctx context.Context, name camphorhinge.TargetName) error {
	ctx, cancel := context.WithTimeout(ctx, leaveConfirmTimeout)
	defer cancel()
	err := c.discovery.Confirm(ctx, name, c.durable.voters/2)
	if err != nil {
		c.log.Warn("leave of target not confirmed", "target", name, "error", err)
	}
	return err
}

// errForming is returned while the group has fewer voters than configured.
var errForming = errors.New("the group of voters is still forming")

// mayAccept reports whether a configuration may be accepted. The first one waits for all voters, at most for
// formationTimeout: with fewer voters, a failure that the settings tolerate could lose it.
func (c *Core) mayAccept() bool {
	if _, version := c.routes.Document(); version > 0 {
		return true
	}
	return len(c.durable.replica.Membership().Voters()) >= c.durable.voters || time.Since(c.started) > formationTimeout
}

// Apply implements Control. It repeats a proposal that failed or whose response was lost until ctx ends; applying the
// same document twice has the same result.
func (c *Core) Apply(ctx context.Context, document []byte) (routing.Result, error) {
	var r routing.Result
	if len(document) > replica.MaxCommandBytes {
		return c.refuse(fmt.Sprintf("the configuration has %d bytes, the limit is %d", len(document), replica.MaxCommandBytes)), nil
	}
	if len(document) > largeDocument {
		select {
		case c.large <- struct{}{}:
			defer func() { <-c.large }()
		case <-ctx.Done():
			return r, fmt.Errorf("other configurations are being committed: %w", context.Cause(ctx))
		}
	}
	if _, err := c.decode(document); err != nil {
		return c.refuse(err.Error()), nil
	}
	if !c.mayAccept() {
		return r, errForming
	}
	for {
		data, err := c.client.Propose(ctx, camphorhinge.CommandRouting, document)
		if err == nil {
			err = json.Unmarshal(data, &r)
			c.log.Info("configuration committed", "outcome", r.Outcome, "version", r.Version, "message", r.Message, "error", err)
			return r, err
		}
		c.log.Warn("configuration not committed yet", "error", err)
		select {
		case <-ctx.Done():
			return r, err
		case <-time.After(applyPause):
		}
	}
}

// refuse logs an invalid configuration and returns its result.
func (c *Core) refuse(message string) routing.Result {
	c.log.Info("configuration is invalid", "message", message)
	return routing.Result{Outcome: routing.OutcomeInvalid, Message: message}
}

// Document implements Control. If this node has applied the newest version, the response shares the memory of its replica.
func (c *Core) Document(ctx context.Context, owner string) (document []byte, free func(), err error) {
	if newest, err := newestVersion(ctx, c.client); err == nil {
		var version camphorhinge.Version
		if document, version = c.routes.Document(); version < newest {
			document = nil
		}
	}
	if document == nil {
		if document, err = c.client.Read(ctx, queryRouting, nil); err != nil {
			return nil, nil, err
		}
	}
	free, err = c.responses.Take(owner, len(document))
	return document, free, err
}

// newestVersion returns the newest committed version of the routing configuration. The read is linearizable; it fails if this node
// cannot reach the leader.
func newestVersion(ctx context.Context, client *control.Client) (camphorhinge.Version, error) {
	data, err := client.Read(ctx, queryNewest, nil)
	if err != nil {
		return 0, err
	}
	var v camphorhinge.Version
	err = json.Unmarshal(data, &v)
	return v, err
}

// appliedVersion returns the version of the routing configuration that this node has applied.
func (c *Core) appliedVersion() camphorhinge.Version {
	_, version := c.routes.Document()
	return version
}

// newestQuery handles the linearizable read of the newest version of the routing configuration.
func (s *Server) newestQuery([]byte) ([]byte, error) {
	_, version := s.routes.Document()
	return json.Marshal(version)
}

// routingQuery handles the linearizable read of the routing configuration.
func (s *Server) routingQuery([]byte) ([]byte, error) {
	document, _ := s.routes.Document()
	return document, nil
}
