package order

import (
	"cmp"
	"math"
	"slices"

	"example.org/camphorhinge"
)

// Service is the input of Plan for one service: parts of its record and of the role policy's latest decision.
type Service struct {
	Name     camphorhinge.ServiceName
	Models   []camphorhinge.ModelName
	Adapters []camphorhinge.AdapterName
	// Floors are the least numbers of engines per role that must keep serving during a change.
	Floors map[camphorhinge.Role]int
	// Unfenced allows orders to engines that have no protection against late orders.
	Unfenced bool
	// Change is the role policy's decision, nil for none.
	Change *RoleChange
	// Settling reports whether an engine matched its decision so recently that some nodes may not send it work yet.
	// It counts as unavailable, so that the next engine is taken out of service only once all nodes use this one. Nil
	// means never.
	Settling func(camphorhinge.TargetName) bool
	// MaxUnavailable is how many engines may be out of service at the same time; values below 1 count as 1.
	MaxUnavailable int
	// ModelBytes and AdapterBytes are the sizes of weights; a model or adapter without an entry counts as 0 bytes.
	ModelBytes   map[camphorhinge.ModelName]int64
	AdapterBytes map[camphorhinge.AdapterName]int64
	// Goodput is the goodput that one engine adds to this service, in tokens per second.
	Goodput float64
}

// RoleChange requests that one engine changes its role.
type RoleChange struct {
	// ID numbers the role policy's decisions of one service, from 1. The controller carries each out once.
	ID       uint64
	From, To camphorhinge.Role
}

// Decision is the next decision for one engine.
type Decision struct {
	Engine   camphorhinge.TargetName
	Service  camphorhinge.ServiceName
	Desired  Desired
	Draining bool
	Reason   string
}

// Job is an engine whose observed state differs from its decision.
type Job struct {
	Target *camphorhinge.Target
	// Bytes is the size of the weights to load. Goodput is what the engine adds once it serves, in tokens per second.
	Bytes   int64
	Goodput float64
}

// goodputPerByte returns the goodput gained per byte loaded; it is infinite for a job without a load.
func (j Job) goodputPerByte() float64 {
	if j.Bytes == 0 {
		return math.Inf(1)
	}
	return j.Goodput / float64(j.Bytes)
}

// compare sorts jobs by goodput per byte, highest first, and then by the engine's name.
func (j Job) compare(o Job) int {
	return cmp.Or(cmp.Compare(o.goodputPerByte(), j.goodputPerByte()), cmp.Compare(j.Target.Name, o.Target.Name))
}

// Refusal is an engine that needs an order but must not get one.
type Refusal struct {
	Engine camphorhinge.TargetName
	Reason string
}

// Reasons of decisions and refusals.
const (
	ReasonAdopt    = "serves the service's models as announced"
	ReasonModels   = "models of the record"
	ReasonRole     = "role policy"
	ReasonDiffers  = "observed state differs from the decision"
	ReasonMatched  = "observed state equals the decision"
	ReasonUnfenced = "the engine has no protection against late orders and the record does not say unfenced"
)

// PlanResult is the result of Plan. Jobs are in the order in which they should start.
type PlanResult struct {
	Decisions []Decision
	Jobs      []Job
	Refused   []Refusal
}

// Plan returns the next decisions for one service's live engines. Role and models of an engine are one decision, and
// an engine with an open order gets no other decision, so that they can't conflict. A serving engine is taken out of
// service only while the floor of its role holds without it and fewer than MaxUnavailable engines are out.
func Plan(s Service, live []*camphorhinge.Target, entry func(camphorhinge.TargetName) (Entry, bool)) PlanResult {
	p := planner{service: s, serving: map[camphorhinge.Role]int{}}
	for _, t := range live {
		if t.Kind != camphorhinge.KindEngine || t.Service != s.Name || t.Leaving {
			continue
		}
		e, ok := entry(t.Name)
		p.engines = append(p.engines, candidate{target: t, entry: e, hasEntry: ok && e.Service == s.Name})
	}
	slices.SortFunc(p.engines, func(a, b candidate) int { return cmp.Compare(a.target.Name, b.target.Name) })
	for i := range p.engines {
		p.planEngine(&p.engines[i])
	}
	p.changeModels()
	p.changeRole()
	slices.SortStableFunc(p.result.Jobs, Job.compare)
	return p.result
}

type candidate struct {
	target *camphorhinge.Target
	entry  Entry
	// hasEntry is true if entry is set and belongs to the service.
	hasEntry bool
	// changeable is true for a serving engine that may be chosen for a change.
	changeable bool
}

type planner struct {
	service     Service
	engines     []candidate
	serving     map[camphorhinge.Role]int
	unavailable int
	result      PlanResult
}

// planEngine decides on one engine by itself: adopt it, bring it back to its decision, or count it as serving.
func (p *planner) planEngine(g *candidate) {
	t := g.target
	observed := Observed(&t.Announcement)
	mayOrder := p.service.Unfenced || Protected(&t.Announcement)
	switch {
	case g.hasEntry && g.entry.Open != nil:
		// The open order must be resolved before anything new is decided.
		p.unavailable++
		p.addJob(g, g.entry.Open.Desired)
	case !mayOrder && !t.Busy:
		p.addDecision(g, observed, false, ReasonAdopt)
		if !observed.Equal(p.desiredFor(observed.Role)) {
			p.result.Refused = append(p.result.Refused, Refusal{Engine: t.Name, Reason: ReasonUnfenced})
		}
		p.serving[observed.Role]++
	case t.Busy:
		p.unavailable++ // it is planned again once it is idle
	case !g.hasEntry && p.adoptable(observed):
		p.addDecision(g, observed, false, ReasonAdopt)
		g.entry.Desired, g.changeable = observed, true
		p.serving[observed.Role]++
	case g.hasEntry && g.entry.Desired.Equal(observed):
		p.addDecision(g, observed, false, ReasonMatched)
		if p.service.Settling != nil && p.service.Settling(t.Name) {
			p.unavailable++
			return
		}
		g.changeable = true
		p.serving[observed.Role]++
	default:
		// It gets no work at present, so that bringing it to the record's models costs no capacity.
		role := observed.Role
		if g.hasEntry && g.entry.Draining {
			p.unavailable++ // it was taken out, and its order failed or is not recorded yet
		}
		if g.hasEntry {
			role = g.entry.Desired.Role
		}
		want := p.desiredFor(role)
		p.addDecision(g, want, true, ReasonDiffers)
		p.addJob(g, want)
	}
}

// desiredFor returns the state that the record wants for an engine in a role. An empty role stands for mixed.
func (p *planner) desiredFor(role camphorhinge.Role) Desired {
	if role == "" {
		role = camphorhinge.RoleMixed
	}
	return Desired{Role: role, Models: p.service.Models, Adapters: p.service.Adapters}.normalized()
}

// adoptable reports whether an engine serves a model of the record in a valid role.
func (p *planner) adoptable(d Desired) bool {
	if d.Role != camphorhinge.RoleMixed && d.Role != camphorhinge.RolePrefill && d.Role != camphorhinge.RoleDecode {
		return false
	}
	return slices.ContainsFunc(d.Models, func(m camphorhinge.ModelName) bool { return slices.Contains(p.service.Models, m) })
}

// changeModels takes serving engines out of service whose models or adapters are not those of the record.
func (p *planner) changeModels() {
	for i := range p.engines {
		g := &p.engines[i]
		if want := p.desiredFor(g.entry.Desired.Role); g.changeable && !want.Equal(g.entry.Desired) && p.mayTakeOut(want.Role) {
			p.takeOut(g, want, ReasonModels)
		}
	}
}

// changeRole takes the engine with the fewest requests out of service for the role policy's decision, but only while
// no other engine of the service is out.
func (p *planner) changeRole() {
	c := p.service.Change
	if c == nil || c.From == c.To || p.unavailable > 0 || !p.mayTakeOut(c.From) {
		return
	}
	var best *candidate
	for i := range p.engines {
		g := &p.engines[i]
		if g.changeable && g.entry.Desired.Role == c.From && (best == nil || requestCount(g) < requestCount(best)) {
			best = g
		}
	}
	if best != nil {
		p.takeOut(best, p.desiredFor(c.To), ReasonRole)
	}
}

func requestCount(g *candidate) int { return g.target.Load.Running + g.target.Load.Waiting }

// mayTakeOut reports whether one more serving engine of a role may be taken out of service. The last serving engine
// is taken out only when the service has no other engine, since its requests would be refused meanwhile.
func (p *planner) mayTakeOut(role camphorhinge.Role) bool {
	total := 0
	for _, n := range p.serving {
		total += n
	}
	return p.unavailable < max(1, p.service.MaxUnavailable) && p.serving[role] > p.service.Floors[role] && (total > 1 || len(p.engines) == 1)
}

func (p *planner) takeOut(g *candidate, want Desired, reason string) {
	g.changeable = false
	p.unavailable++
	p.serving[g.entry.Desired.Role]--
	p.result.Decisions = slices.DeleteFunc(p.result.Decisions, func(d Decision) bool { return d.Engine == g.target.Name })
	p.addDecision(g, want, true, reason)
	p.addJob(g, want)
}

// addDecision adds a decision unless it equals the one in the Table.
func (p *planner) addDecision(g *candidate, want Desired, draining bool, reason string) {
	if g.hasEntry && g.entry.Desired.Equal(want) && g.entry.Draining == draining {
		return
	}
	p.result.Decisions = append(p.result.Decisions, Decision{
		Engine: g.target.Name, Service: p.service.Name, Desired: want, Draining: draining, Reason: reason,
	})
}

func (p *planner) addJob(g *candidate, want Desired) {
	j := Job{Target: g.target, Goodput: p.service.Goodput}
	for _, m := range want.Models {
		if !slices.Contains(g.target.Models, m) {
			j.Bytes += p.service.ModelBytes[m]
		}
	}
	for _, a := range want.Adapters {
		if !slices.Contains(g.target.Adapters, a) {
			j.Bytes += p.service.AdapterBytes[a]
		}
	}
	p.result.Jobs = append(p.result.Jobs, j)
}

// Protected reports whether an engine lets a new leader void the orders of a deposed one: it checks the fencing
// token, or accepts two-step or conditional orders.
func Protected(a *camphorhinge.Announcement) bool {
	return a.Fencing == camphorhinge.FencingChecked || a.Orders == camphorhinge.OrdersTwoStep ||
		a.Orders == camphorhinge.OrdersConditional
}
