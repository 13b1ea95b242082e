package balance

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/shard"
)

const (
	// planInterval is the time between two plans.
	planInterval = 250 * time.Millisecond
	// orderTimeout bounds one call to an engine.
	orderTimeout = time.Second
	// backoff is how long an engine gets no order after one that failed.
	backoff = 10 * time.Second
	// changePause is how long a service gets no change after one under load, so that its effect is measured first.
	changePause = 4 * time.Second
	// changeTimeout bounds the time until an announcement shows a change that was accepted.
	changeTimeout = 15 * time.Second
	// settleTime is how long a service's set of engines must not have grown before a plan.
	settleTime = 1500 * time.Millisecond
	// newTime is how long after its first announcement an engine counts as new.
	newTime = 2 * time.Second
)

// State is an engine's state as it answers to Read.
type State struct {
	Role camphorhinge.Role
	// Accepted is the number of orders that the engine accepted since its start.
	Accepted uint64
	// Busy is true while the engine carries out an order.
	Busy bool
}

// Order asks an engine to change its role.
type Order struct {
	Role camphorhinge.Role
	// Holder is the node that sends the order, Fence its fencing token.
	Holder camphorhinge.NodeID
	Fence  camphorhinge.Term
	// Accepted is the number of orders that the engine must have accepted before for this one to take effect.
	Accepted uint64
}

// Engines sends calls to engines.
type Engines interface {
	// Read returns an engine's state.
	Read(ctx context.Context, t *camphorhinge.Target) (State, error)
	// Order sends an order, without a retry. After an *Error of KindRefused the order has no effect; after any other
	// error it may have.
	Order(ctx context.Context, t *camphorhinge.Target, o Order) error
}

// Authority reports whether this process leads; *replica.Replica implements it.
type Authority interface {
	// Authority returns the term of the leader's lease; valid is false when no lease is held now.
	Authority() (term camphorhinge.Term, valid bool)
}

// Config holds the dependencies and settings of a Balancer.
type Config struct {
	Node      camphorhinge.NodeID
	Authority Authority
	Targets   camphorhinge.Targets
	// Services returns the services with engines.
	Services func() []camphorhinge.ServiceName
	// Load returns the measured load of a service.
	Load func(ctx context.Context, service camphorhinge.ServiceName) Load
	// Shards returns the number of shards of a service; nil stands for one.
	Shards  func(service camphorhinge.ServiceName) int
	Engines Engines
	Clock   camphorhinge.Clock
	// HandoverDelay is how long a new leader waits before its first order, so that two leaders don't send orders in
	// turn.
	HandoverDelay time.Duration
	Log           *slog.Logger
	Metrics       *metrics.Set
}

// Balancer orders role changes while this process leads.
type Balancer struct {
	cfg  Config
	term camphorhinge.Term
	// leaderSince is when this process was first found to lead in the present term.
	leaderSince camphorhinge.Instant
	// engines has the state of the engines that got orders, by name.
	engines map[camphorhinge.TargetName]*engineState
	// engineCounts and grownAt record the size of each service's set of engines at the last step, and when it last
	// grew.
	engineCounts map[camphorhinge.ServiceName]int
	grownAt      map[camphorhinge.ServiceName]camphorhinge.Instant
	// started records when engines were first seen, by service; zero for those that were there at the first step.
	started map[camphorhinge.ServiceName]map[camphorhinge.TargetName]start
	// pausedUntil is when a service may change again.
	pausedUntil map[camphorhinge.ServiceName]camphorhinge.Instant

	orders, failures *metrics.Counter
}

// start is when an engine was first seen in its incarnation.
type start struct {
	incarnation camphorhinge.Incarnation
	at          camphorhinge.Instant
}

// engineState is the Balancer's state of an engine in one incarnation.
type engineState struct {
	incarnation camphorhinge.Incarnation
	accepted    uint64
	// uncertain is set while the outcome of an order is unknown; the engine's state is read before the next one.
	uncertain   bool
	orderedRole camphorhinge.Role
	// until is the end of a change under way, or of a backoff.
	until    camphorhinge.Instant
	changing bool
}

// New returns a Balancer that is not running yet; Run starts it.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg: cfg, engines: map[camphorhinge.TargetName]*engineState{}, engineCounts: map[camphorhinge.ServiceName]int{},
		grownAt:     map[camphorhinge.ServiceName]camphorhinge.Instant{},
		pausedUntil: map[camphorhinge.ServiceName]camphorhinge.Instant{},
		started:     map[camphorhinge.ServiceName]map[camphorhinge.TargetName]start{},
		orders:      cfg.Metrics.NewCounter(`camphorhinge_role_orders_total{result="accepted"}`),
		failures:    cfg.Metrics.NewCounter(`camphorhinge_role_orders_total{result="failed"}`),
	}
}

// Run plans and sends orders until ctx ends. Without the lease it does nothing.
func (b *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.step(ctx)
		}
	}
}

// mayOrder reports whether this process may send orders now.
func (b *Balancer) mayOrder(now camphorhinge.Instant) bool {
	term, ok := b.cfg.Authority.Authority()
	if !ok {
		b.term = 0
		return false
	}
	if term != b.term {
		b.term, b.leaderSince = term, now
		clear(b.engines)
		clear(b.started)
	}
	return now.Sub(b.leaderSince) >= b.cfg.HandoverDelay
}

func (b *Balancer) step(ctx context.Context) {
	now := b.cfg.Clock.Now()
	if !b.mayOrder(now) {
		return
	}
	for _, service := range b.cfg.Services() {
		live := b.cfg.Targets.Live(service)
		if len(live) > b.engineCounts[service] {
			b.grownAt[service] = now
		}
		b.engineCounts[service] = len(live)
		anyNew := b.recordStarts(now, service, live)
		onlyNew := now.Sub(b.grownAt[service]) < settleTime || now < b.pausedUntil[service]
		if anyNew || !onlyNew {
			b.balance(ctx, now, service, live, onlyNew)
		}
	}
}

// recordStarts records when engines were first seen. It reports whether some are new.
func (b *Balancer) recordStarts(now camphorhinge.Instant, service camphorhinge.ServiceName, live []*camphorhinge.Target) bool {
	before, known := b.started[service]
	after, anyNew := make(map[camphorhinge.TargetName]start, len(live)), false
	for _, t := range live {
		s, ok := before[t.Name]
		if !ok || s.incarnation != t.Incarnation {
			s = start{incarnation: t.Incarnation}
			if known {
				s.at = now
			}
		}
		after[t.Name] = s
		anyNew = anyNew || s.isNew(now)
	}
	b.started[service] = after
	return anyNew
}

func (s start) isNew(now camphorhinge.Instant) bool { return s.at != 0 && now.Sub(s.at) < newTime }

// balance plans and orders the next changes of one service, or only those of new engines.
func (b *Balancer) balance(ctx context.Context, now camphorhinge.Instant, service camphorhinge.ServiceName, live []*camphorhinge.Target, onlyNew bool) {
	var engines []Engine
	for _, t := range live {
		k := b.engines[t.Name]
		if k != nil && k.incarnation != t.Incarnation {
			delete(b.engines, t.Name)
			k = nil
		}
		e := Engine{Target: t, New: b.started[service][t.Name].isNew(now)}
		if k != nil {
			if k.changing && (t.Role == k.orderedRole || now >= k.until) {
				k.changing, k.until = false, now
			}
			if e.Changing = k.changing; k.changing {
				future := *t
				future.Role = k.orderedRole
				e.Target = &future
			}
			e.InBackoff = now < k.until
		}
		engines = append(engines, e)
	}
	load := b.cfg.Load(ctx, service)
	changes := b.plan(service, engines, load, true)
	if len(changes) == 0 && !onlyNew {
		if changes = b.plan(service, engines, load, false); len(changes) > 0 && load.Running >= 0 {
			b.pausedUntil[service] = now.Add(changePause)
		}
	}
	var g errgroup.Group
	for _, c := range changes {
		k := b.engines[c.Engine.Name]
		if k == nil {
			k = &engineState{incarnation: c.Engine.Incarnation}
			b.engines[c.Engine.Name] = k
		}
		g.Go(func() error {
			b.change(ctx, now, c, k, load)
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
}

// plan returns the changes of all shards of a service. Each shard needs engines in both roles for its part of the requests, as
// another core node places them. With onlyNew, it returns those of new engines.
func (b *Balancer) plan(service camphorhinge.ServiceName, engines []Engine, load Load, onlyNew bool) []Change {
	count := 1
	if b.cfg.Shards != nil {
		count = max(b.cfg.Shards(service), 1)
	}
	shards := make([][]Engine, count)
	for _, e := range engines {
		i := shard.Of(e.Address, count)
		shards[i] = append(shards[i], e)
	}
	plan := Plan
	if onlyNew {
		plan = PlanNew
	}
	var out []Change
	for _, s := range shards {
		out = append(out, plan(s, load.part(float64(len(s))/float64(len(engines))))...)
	}
	return out
}

// change orders one change. If the outcome of the engine's last order is unknown, it first reads the engine's state.
func (b *Balancer) change(ctx context.Context, now camphorhinge.Instant, c Change, k *engineState, load Load) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if k.uncertain {
		state, err := b.cfg.Engines.Read(ctx, c.Engine)
		if err != nil || state.Busy {
			k.until = now.Add(backoff)
			return
		}
		k.accepted, k.uncertain = state.Accepted, false
		if state.Role == c.To {
			return
		}
	}
	term, ok := b.cfg.Authority.Authority()
	if !ok || term != b.term {
		return
	}
	err := b.cfg.Engines.Order(ctx, c.Engine, Order{Role: c.To, Holder: b.cfg.Node, Fence: term, Accepted: k.accepted})
	b.cfg.Log.Info("role ordered", "target", c.Engine.Name, "from", c.Engine.Role, "to", c.To, "fence", term,
		"accepted", k.accepted, "load", load, "error", err)
	if err == nil {
		b.orders.Inc()
		k.accepted++
		k.orderedRole, k.changing, k.until = c.To, true, now.Add(changeTimeout)
		return
	}
	b.failures.Inc()
	k.until, k.uncertain = now.Add(backoff), true
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindRefused {
		k.orderedRole, k.changing, k.until = c.To, true, now.Add(changeTimeout)
	}
}
