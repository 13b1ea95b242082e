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
	// drainMargin is how long a cordon must be in force before a load report may count as empty: a request that was routed
	// just before may still be connecting, which the exchange bounds to 1.5 s.
	drainMargin = 2 * time.Second
	// recentChangeWindow is how long role changes are kept for the role policy.
	recentChangeWindow = 30 * time.Minute
	// recentWindow is the period that workload.Collector.Recent covers.
	recentWindow = time.Minute
)

// orders runs the order controller and the role controller on the leader. It implements order.Drains,
// rolecontrol.Source and rolecontrol.Planner.
type orders struct {
	server         *Server
	durable        *durableState
	controller     *order.Controller
	roleController *rolecontrol.Controller

	mu sync.Mutex
	// cordoned holds the cordons that all nodes enforce, by engine.
	cordoned map[camphorhinge.TargetName]cordon
	// roleChanges holds the latest wanted role change of each service.
	roleChanges map[camphorhinge.ServiceName]*order.RoleChange
	// lastID is the ID of the latest role change.
	lastID uint64
	// recentChanges holds the latest role changes of each service. A new one drops those older than recentChangeWindow.
	recentChanges map[camphorhinge.ServiceName][]role.Change
}

// cordon is a cordon that is in force on all nodes. An abandoned drain leaves its cordon in orders.cordoned, so a
// cordon is valid only while the revision of the engine's table entry is unchanged.
type cordon struct {
	since camphorhinge.Instant
	// revision is the revision of the engine's entry in the order table.
	revision uint64
}

func (s *Server) newOrders() (*orders, error) {
	engines, err := engine.New(engine.Config{})
	if err != nil {
		return nil, err
	}
	o := &orders{
		server: s, durable: s.durable,
		cordoned:      map[camphorhinge.TargetName]cordon{},
		roleChanges:   map[camphorhinge.ServiceName]*order.RoleChange{},
		recentChanges: map[camphorhinge.ServiceName][]role.Change{},
	}
	o.controller = order.New(order.Config{
		Authority: s.durable.replica, Proposer: s.durable.replica, Targets: s.registry, Engines: engines, Drains: o,
		Clock: s.clock, Table: s.durable.orderTable, Services: o.modelServices,
		Budget: order.NewBudget(s.cfg.WeightLoads, s.cfg.WeightRate), Decisions: s.ring, DrainTimeout: schema.MaxDeadline,
	})
	o.roleController = rolecontrol.New(rolecontrol.Config{Source: o, Planner: o, Clock: s.clock, Decisions: s.ring, Metrics: s.metrics})
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
	g.Go(func() error { return o.roleController.Run(ctx) })
	return g.Wait()
}

// Drained implements order.Drains. A target is drained when all nodes have enforced its cordon for drainMargin and a
// load report taken after that shows no running or waiting request.
func (o *orders) Drained(name camphorhinge.TargetName) bool {
	now := o.server.clock.Now()
	entry, ok := o.durable.orderTable.Entry(name)
	if !ok || !entry.Draining {
		return false
	}
	inForce := o.durable.leases.InForce(config.Position{OrdersRevision: entry.Revision})
	o.mu.Lock()
	defer o.mu.Unlock()
	c, cordoned := o.cordoned[name]
	if cordoned && c.revision != entry.Revision {
		delete(o.cordoned, name)
		cordoned = false
	}
	if !cordoned && inForce {
		o.cordoned[name] = cordon{since: now, revision: entry.Revision}
	}
	if !cordoned || now.Sub(c.since) < drainMargin {
		return false
	}
	t := o.server.target(entry.Service, name)
	if t == nil {
		return false
	}
	measured := t.ReportedAt.Add(-time.Duration(t.Load.Age) * time.Millisecond)
	if measured < c.since.Add(drainMargin) || t.Load.Running > 0 || t.Load.Waiting > 0 {
		return false
	}
	delete(o.cordoned, name)
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

// modelServices returns the order controller's input for each model service in force.
func (o *orders) modelServices() []order.Service {
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
			Change: o.roleChange(svc.Name), Goodput: o.goodput(svc.Name),
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

// goodput returns the recent output of a service per live engine, in tokens per second.
func (o *orders) goodput(service camphorhinge.ServiceName) float64 {
	engines := max(1, len(o.server.registry.Live(service)))
	return float64(o.durable.workload.Recent(service).Output) / recentWindow.Seconds() / float64(engines)
}

func (o *orders) roleChange(service camphorhinge.ServiceName) *order.RoleChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.roleChanges[service]
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
		serving := !o.durable.orderTable.Cordoned(t)
		out = append(out, rolecontrol.Engine{
			Name: t.Name, Role: t.Role, Serving: serving, Changing: !serving,
			Changeable: rolecontrol.Changeable(&t.Announcement, svc.Unfenced),
		})
	}
	for _, e := range o.durable.orderTable.Entries() {
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
	return append([]role.Change{}, o.recentChanges[service]...)
}

// History implements rolecontrol.Source.
func (o *orders) History(service camphorhinge.ServiceName) role.History {
	return o.durable.workload.History(service)
}

// Change implements rolecontrol.Planner. It only records the wanted change: the order controller's next plan chooses
// the engine and commits the decision.
func (o *orders) Change(_ context.Context, service camphorhinge.ServiceName, from, to camphorhinge.Role) error {
	now := o.server.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	o.roleChanges[service] = &order.RoleChange{ID: o.lastID, From: from, To: to}
	kept := o.recentChanges[service][:0]
	for _, c := range o.recentChanges[service] {
		if now.Sub(c.At) < recentChangeWindow {
			kept = append(kept, c)
		}
	}
	o.recentChanges[service] = append(kept, role.Change{At: now, From: from, To: to})
	return nil
}
