package site

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/feed"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/schedule"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/quarantine"
)

// callDelay is the time of one way of a call between two nodes.
const callDelay = 2 * time.Millisecond

// gate holds what passes while it is closed; it is open at first.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// wait returns when the gate is open or ctx ends.
func (g *gate) wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return ctx.Err()
		}
		select {
		case <-closed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// command is an entry of the replicated log.
type command struct {
	entry camphorhinge.Entry
	data  []byte
}

// core is one core node. Its log is never lost; the rest starts anew with each process.
type core struct {
	site *Site
	name string
	// link is closed while the node is cut off from the other nodes or frozen.
	link gate
	// paths are those to the engines.
	paths paths
	// processor does the node's work.
	processor processor

	mu        sync.Mutex
	applied   int
	crashes   *quarantine.Machine
	registry  *registry.Registry
	scheduler *schedule.Scheduler
	source    *feed.Source
	stop      context.CancelFunc
}

// start begins a process of the node, with the state of the log up to now.
func (c *core) start(table *routing.Table) {
	ctx, stop := context.WithCancel(c.site.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop, c.applied, c.crashes = stop, 0, quarantine.NewMachine()
	c.processor.restart()
	var source *feed.Source
	c.registry = registry.New(registry.Config{
		Clock: c.site.clock, Expiry: 30 * time.Second, Exclusive: true, Metrics: metrics.NewSet(),
		OnChange: func() { source.WakeWatches() },
	})
	c.scheduler = schedule.New(schedule.Config{
		Targets: c.registry, Configuration: table.Current, Clock: c.site.clock, Seed: uint64(len(c.name)), Log: slog.New(slog.DiscardHandler),
		Self: c.name, Others: func() []string {
			return slices.DeleteFunc(c.site.coreNames(), func(name string) bool { return name == c.name })
		},
		Feed: func(address string) peerpb.Feed {
			return remoteFeed{core: c.site.coreOf(address), from: []*gate{&c.link}}
		},
		Metrics: metrics.NewSet(),
	})
	crashes := c.crashes
	source = feed.NewSource(feed.SourceConfig{
		Zone: "z", Registry: c.registry, Table: table, Cores: c.site.coreNames, Clock: c.site.clock, Scheduler: c.scheduler, Shards: c.scheduler.AllShards,
		Scores: func() []byte { return encodeScores(crashes) },
	})
	c.source = source
	scheduler := c.scheduler
	c.site.group.Go(func() error { return scheduler.Run(ctx) })
}

func encodeScores(m *quarantine.Machine) []byte {
	scores := m.Suspects(time.Now().UnixMilli())
	if len(scores) == 0 {
		return nil
	}
	data, err := json.Marshal(scores)
	if err != nil {
		panic("encode scores: " + err.Error()) // Scores have only fields that can be encoded.
	}
	return data
}

// catchUp applies the commands of the log that the node lacks, and returns the result of the last one.
func (c *core) catchUp(log []command) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []byte
	for ; c.applied < len(log); c.applied++ {
		out = c.crashes.Apply(log[c.applied].entry, log[c.applied].data)
		c.source.WakeWatches()
	}
	return out
}

func (c *core) announce(a camphorhinge.Announcement) {
	c.mu.Lock()
	r := c.registry
	c.mu.Unlock()
	if _, err := r.Announce(a, 0, true); err != nil {
		panic("announce: " + err.Error()) // The registry is never full.
	}
}

// remoteFeed is a core node as another node calls it.
type remoteFeed struct {
	core *core
	// from are the gates that messages of the other node must pass.
	from []*gate
}

var _ peerpb.Feed = remoteFeed{}

// cross waits until a message can pass between the two nodes.
func (r remoteFeed) cross(ctx context.Context) error {
	sleep(ctx, callDelay)
	for _, g := range append(slices.Clone(r.from), &r.core.link) {
		if err := g.wait(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// callRemote makes a call: the request crosses, the node answers, the answer crosses.
func callRemote[Req, Resp any](ctx context.Context, r remoteFeed, req Req, do func(context.Context, Req) (Resp, error)) (Resp, error) {
	resp, err := callOnce(ctx, r, req, do)
	if errors.Is(err, context.DeadlineExceeded) {
		r.core.site.unanswered.Add(1)
	}
	return resp, err
}

func callOnce[Req, Resp any](ctx context.Context, r remoteFeed, req Req, do func(context.Context, Req) (Resp, error)) (Resp, error) {
	var zero Resp
	if err := r.cross(ctx); err != nil {
		return zero, err
	}
	if err := r.core.work(ctx, callWork); err != nil {
		return zero, err
	}
	resp, err := do(ctx, req)
	if err != nil {
		return zero, err
	}
	if err := r.core.work(ctx, 0); err != nil {
		return zero, err
	}
	return resp, r.cross(ctx)
}

// work waits until the node has done its work so far and the given one.
func (c *core) work(ctx context.Context, d time.Duration) error {
	c.mu.Lock()
	scheduler := c.scheduler
	c.mu.Unlock()
	return c.processor.work(ctx, d, scheduler.Considered())
}

func (r remoteFeed) current() (*feed.Source, *schedule.Scheduler) {
	r.core.mu.Lock()
	defer r.core.mu.Unlock()
	return r.core.source, r.core.scheduler
}

// Watch implements peerpb.Feed.
func (r remoteFeed) Watch(ctx context.Context, req *peerpb.WatchRequest) (*peerpb.WatchResponse, error) {
	source, _ := r.current()
	return callRemote(ctx, r, req, source.Watch)
}

// Routing implements peerpb.Feed.
func (r remoteFeed) Routing(ctx context.Context, req *peerpb.RoutingRequest) (*peerpb.RoutingResponse, error) {
	source, _ := r.current()
	return callRemote(ctx, r, req, source.Routing)
}

// Place implements peerpb.Feed.
func (r remoteFeed) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	_, scheduler := r.current()
	resp, err := callRemote(ctx, r, req, scheduler.Place)
	if err == nil {
		r.core.site.recordPlaced(r.core.name, resp)
	}
	return resp, err
}

// Work implements peerpb.Feed.
func (r remoteFeed) Work(ctx context.Context, req *peerpb.WorkRequest) (*peerpb.WorkResponse, error) {
	_, scheduler := r.current()
	return callRemote(ctx, r, req, scheduler.Work)
}

// Record implements peerpb.Feed.
func (r remoteFeed) Record(ctx context.Context, req *peerpb.RecordRequest) (*peerpb.RecordResponse, error) {
	_, scheduler := r.current()
	return callRemote(ctx, r, req, scheduler.Record)
}

// Origin implements peerpb.Feed.
func (r remoteFeed) Origin(ctx context.Context, req *peerpb.OriginRequest) (*peerpb.OriginResponse, error) {
	_, scheduler := r.current()
	return callRemote(ctx, r, req, scheduler.Origin)
}

// Count implements peerpb.Feed.
func (r remoteFeed) Count(ctx context.Context, req *peerpb.CountRequest) (*peerpb.CountResponse, error) {
	source, _ := r.current()
	return callRemote(ctx, r, req, source.Count)
}

// Counted implements peerpb.Feed.
func (r remoteFeed) Counted(ctx context.Context, req *peerpb.CountedRequest) (*peerpb.CountedResponse, error) {
	source, _ := r.current()
	return callRemote(ctx, r, req, source.Counted)
}

// proposer commits the commands of an entry node; it implements camphorhinge.Proposer.
type proposer struct {
	site *Site
	from *entry
}

// Propose implements camphorhinge.Proposer. A leader that is cut off or frozen gives no answer.
func (p proposer) Propose(ctx context.Context, _ camphorhinge.CommandKind, data []byte) ([]byte, error) {
	leader := p.site.leader()
	r := remoteFeed{core: leader, from: []*gate{&p.from.link, &p.from.process}}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := r.cross(ctx); err != nil {
		return nil, errNoLeader
	}
	if err := leader.work(ctx, callWork); err != nil {
		return nil, camphorhinge.ErrUncertain
	}
	out, err := p.site.commit(leader, data)
	if err != nil {
		return nil, err
	}
	if err := r.cross(ctx); err != nil {
		return nil, camphorhinge.ErrUncertain
	}
	return out, nil
}
