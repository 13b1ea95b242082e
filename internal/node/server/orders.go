package server

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/engine"
	"example.org/camphorhinge/internal/fleet/order"
	"example.org/camphorhinge/internal/fleet/role"
	"example.org/camphorhinge/internal/fleet/rolecontrol"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/record/schema"
)

const (
	// drainMargin is the least age of a hold before a load report counts as empty: a request that was routed just before may
	// still be connecting, which the exchange bounds to 1.5 s.
	drainMargin = 2 * time.Second
	// recentChanges is how long role changes are remembered for the policy.
	recentChanges = 30 * time.Minute
	// recentSpan is the time that workload.Collector.Recent covers.
	recentSpan = time.Minute
)

// orders runs the controller and the role policy on the leader. It implements order.Drains, rolecontrol.Source and
// rolecontrol.Planner.
type orders struct {
	server     *Server
	durable    *durable
	controller *order.Controller
	steerer    *rolecontrol.Controller

	mu sync.Mutex
	// held tells since when all nodes enforce the hold on an engine.
	held    map[camphorhinge.TargetName]hold
	changes map[camphorhinge.ServiceName]*order.RoleChange
	lastID  uint64
	recent  map[camphorhinge.ServiceName][]role.Change
}

// hold is a hold that is in force on all nodes. A drain that was given up leaves its hold behind, so the book's entry must
// still be the same when it counts.
type hold struct {
	since camphorhinge.Instant
	// entry is the revision of the engine's entry in the book.
	entry uint64
}

func (s *Server) newOrders() (*orders, error) {
	engines, err := engine.New(engine.Config{})
	if err != nil {
		return nil, err
	}
	o := &orders{
		server: s, durable: s.durable,
		held:    map[camphorhinge.TargetName]hold{},
		changes: map[camphorhinge.ServiceName]*order.RoleChange{},
		recent:  map[camphorhinge.ServiceName][]role.Change{},
	}
	o.controller = order.New(order.Config{
		Authority: s.durable.replica, Proposer: s.durable.replica, Targets: s.registry, Engines: engines, Drains: o,
		Clock: s.clock, Table: s.durable.book, Services: o.planned,
		Budget: order.NewBudget(s.cfg.WeightLoads, s.cfg.WeightRate), Decisions: s.ring, DrainTimeout: schema.MaxDeadline,
	})
	o.steerer = rolecontrol.New(rolecontrol.Config{Source: o, Planner: o, Clock: s.clock, Decisions: s.ring, Metrics: s.metrics})
	return o, nil
}

func (o *orders) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := o.controller.Run(ctx); ctx.Err() == nil {
			return err
		}
		return nil
	})
	g.Go(func() error { return o.steerer.Run(ctx) })
	return g.Wait()
}

// Drained implements order.Drains: each node holds new work back, and a load report taken after that says that nothing
// runs on the target.
func (o *orders) Drained(name camphorhinge.TargetName) bool {
	now := o.server.clock.Now()
	entry, ok := o.durable.book.Entry(name)
	if !ok || !entry.Draining {
		return false
	}
	inForce := o.durable.leases.InForce(config.Position{Holds: entry.Revision})
	o.mu.Lock()
	defer o.mu.Unlock()
	h, held := o.held[name]
	if held && h.entry != entry.Revision {
		delete(o.held, name)
		held = false
	}
	if !held && inForce {
		o.held[name] = hold{since: now, entry: entry.Revision}
	}
	if !held || now.Sub(h.since) < drainMargin {
		return false
	}
	t := o.server.target(entry.Service, name)
	if t == nil {
		return false
	}
	taken := t.ReportedAt.Add(-time.Duration(t.Load.Age) * time.Millisecond)
	if taken < h.since.Add(drainMargin) || t.Load.Running > 0 || t.Load.Waiting > 0 {
		return false
	}
	delete(o.held, name)
	return true
}

// target returns a live target of a service by name, or nil.
func (s *Server) target(service camphorhinge.ServiceName, name camphorhinge.TargetName) *camphorhinge.Target {
	for _, t := range s.registry.Live(service) {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// planned returns what planning needs of the model services in force.
func (o *orders) planned() []order.Service {
	view := o.durable.records.View()
	var out []order.Service
	for _, svc := range view.Services() {
		if svc.Type != schema.TypeModel {
			continue
		}
		p := order.Service{
			Name: svc.Name, Models: svc.Models, Unfenced: svc.Unfenced, MaxUnavailable: 1,
			Floors: map[camphorhinge.Role]int{
				camphorhinge.RolePrefill: svc.Floors.Prefill, camphorhinge.RoleDecode: svc.Floors.Decode,
				camphorhinge.RoleMixed: svc.Floors.Mixed,
			},
			ModelBytes: map[camphorhinge.ModelName]int64{}, AdapterBytes: map[camphorhinge.AdapterName]int64{},
			Change: o.change(svc.Name), Goodput: o.goodput(svc.Name),
		}
		for _, name := range svc.Models {
			m := view.Model(name)
			if m == nil {
				continue
			}
			p.ModelBytes[name] = m.Weights.Bytes
			for _, adapter := range m.Adapters {
				if a := view.Adapter(adapter); a != nil {
					p.Adapters = append(p.Adapters, adapter)
					p.AdapterBytes[adapter] = a.Weights.Bytes
				}
			}
		}
		out = append(out, p)
	}
	return out
}

// goodput returns what one engine of a service lately added, in tokens per second.
func (o *orders) goodput(service camphorhinge.ServiceName) float64 {
	engines := max(1, len(o.server.registry.Live(service)))
	return float64(o.durable.mix.Recent(service).Output) / recentSpan.Seconds() / float64(engines)
}

func (o *orders) change(service camphorhinge.ServiceName) *order.RoleChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changes[service]
}

// Leads implements rolecontrol.Source.
func (o *orders) Leads() bool {
	_, ok := o.durable.replica.Authority()
	return ok
}

// Services implements rolecontrol.Source.
func (o *orders) Services() []*schema.Service { return o.durable.records.View().Services() }

// Engines implements rolecontrol.Source.
func (o *orders) Engines(svc *schema.Service) []rolecontrol.Engine {
	var out []rolecontrol.Engine
	live := map[camphorhinge.TargetName]bool{}
	for _, t := range o.server.registry.Live(svc.Name) {
		if t.Kind != camphorhinge.KindEngine || t.Leaving {
			continue
		}
		live[t.Name] = true
		serving := !o.durable.book.Cordoned(t)
		out = append(out, rolecontrol.Engine{
			Name: t.Name, Role: t.Role, Serving: serving, Changing: !serving,
			Changeable: rolecontrol.Changeable(&t.Announcement, svc.Unfenced),
		})
	}
	for _, e := range o.durable.book.Entries() {
		if e.Service == svc.Name && e.Open != nil && !live[e.Engine] {
			out = append(out, rolecontrol.Engine{Name: e.Engine, Role: e.Desired.Role, Changing: true, Changeable: true})
		}
	}
	return out
}

// Recent implements rolecontrol.Source.
func (o *orders) Recent(service camphorhinge.ServiceName) []role.Change {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]role.Change{}, o.recent[service]...)
}

// History implements rolecontrol.Source.
func (o *orders) History(service camphorhinge.ServiceName) role.History {
	return o.durable.mix.History(service)
}

// Change implements rolecontrol.Planner: the controller's next plan chooses the engine and commits the decision.
func (o *orders) Change(_ context.Context, service camphorhinge.ServiceName, from, to camphorhinge.Role) error {
	now := o.server.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	o.changes[service] = &order.RoleChange{ID: o.lastID, From: from, To: to}
	kept := o.recent[service][:0]
	for _, c := range o.recent[service] {
		if now.Sub(c.At) < recentChanges {
			kept = append(kept, c)
		}
	}
	o.recent[service] = append(kept, role.Change{At: now, From: from, To: to})
	return nil
}
