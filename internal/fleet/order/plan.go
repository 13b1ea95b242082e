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

// Decision is the state that one engine should have next, and the reason.
type Decision struct {
	Engine   camphorhinge.TargetName
	Service  camphorhinge.ServiceName
	Desired  Desired
	Draining bool
	Reason   string
}

// Job is an engine that needs a change: its state differs from its decision, or its open order must be resolved.
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
func (p *planner) planEngine(c *candidate) {
	t := c.target
	observed := Observed(&t.Announcement)
	mayOrder := p.service.Unfenced || Protected(&t.Announcement)
	switch {
	case c.hasEntry && c.entry.Open != nil:
		// The open order must be resolved before anything new is decided.
		p.unavailable++
		p.addJob(c, c.entry.Open.Desired)
	case !mayOrder && !t.Busy:
		// The engine must get no order, so its state is adopted whatever it is.
		p.addDecision(c, observed, false, ReasonAdopt)
		if !observed.Equal(p.desiredFor(observed.Role)) {
			p.result.Refused = append(p.result.Refused, Refusal{Engine: t.Name, Reason: ReasonUnfenced})
		}
		p.serving[observed.Role]++
	case t.Busy:
		p.unavailable++ // it is planned again once it is idle
	case !c.hasEntry && p.adoptable(observed):
		p.addDecision(c, observed, false, ReasonAdopt)
		c.entry.Desired, c.changeable = observed, true
		p.serving[observed.Role]++
	case c.hasEntry && c.entry.Desired.Equal(observed):
		p.addDecision(c, observed, false, ReasonMatched)
		if p.service.Settling != nil && p.service.Settling(t.Name) {
			p.unavailable++
			return
		}
		c.changeable = true
		p.serving[observed.Role]++
	default:
		// It gets no work at present, so bringing it to the record's models costs no capacity.
		role := observed.Role
		if c.hasEntry && c.entry.Draining {
			p.unavailable++ // it was taken out of service, and its order failed or is not committed yet
		}
		if c.hasEntry {
			role = c.entry.Desired.Role
		}
		want := p.desiredFor(role)
		p.addDecision(c, want, true, ReasonDiffers)
		p.addJob(c, want)
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
		c := &p.engines[i]
		if want := p.desiredFor(c.entry.Desired.Role); c.changeable && !want.Equal(c.entry.Desired) && p.mayTakeOut(want.Role) {
			p.takeOut(c, want, ReasonModels)
		}
	}
}

// changeRole takes the engine with the fewest requests out of service for the role policy's decision, but only while
// no other engine of the service is out.
func (p *planner) changeRole() {
	roleChange := p.service.Change
	if roleChange == nil || roleChange.From == roleChange.To || p.unavailable > 0 || !p.mayTakeOut(roleChange.From) {
		return
	}
	var best *candidate
	for i := range p.engines {
		c := &p.engines[i]
		if c.changeable && c.entry.Desired.Role == roleChange.From && (best == nil || requestCount(c) < requestCount(best)) {
			best = c
		}
	}
	if best != nil {
		p.takeOut(best, p.desiredFor(roleChange.To), ReasonRole)
	}
}

func requestCount(c *candidate) int { return c.target.Load.Running + c.target.Load.Waiting }

// mayTakeOut reports whether one more serving engine of a role may be taken out of service. While the service has other
// engines, its last serving engine stays until another one serves, since without it all requests would be refused.
func (p *planner) mayTakeOut(role camphorhinge.Role) bool {
	total := 0
	for _, n := range p.serving {
		total += n
	}
	return p.unavailable < max(1, p.service.MaxUnavailable) && p.serving[role] > p.service.Floors[role] && (total > 1 || len(p.engines) == 1)
}

// takeOut replaces the decision for a serving engine by one that cordons it, and adds the job to change it.
func (p *planner) takeOut(c *candidate, want Desired, reason string) {
	c.changeable = false
	p.unavailable++
	p.serving[c.entry.Desired.Role]--
	p.result.Decisions = slices.DeleteFunc(p.result.Decisions, func(d Decision) bool { return d.Engine == c.target.Name })
	p.addDecision(c, want, true, reason)
	p.addJob(c, want)
}

// addDecision adds a decision unless it equals the one in the Table.
func (p *planner) addDecision(c *candidate, want Desired, draining bool, reason string) {
	if c.hasEntry && c.entry.Desired.Equal(want) && c.entry.Draining == draining {
		return
	}
	p.result.Decisions = append(p.result.Decisions, Decision{
		Engine: c.target.Name, Service: p.service.Name, Desired: want, Draining: draining, Reason: reason,
	})
}

func (p *planner) addJob(c *candidate, want Desired) {
	j := Job{Target: c.target, Goodput: p.service.Goodput}
	for _, m := range want.Models {
		if !slices.Contains(c.target.Models, m) {
			j.Bytes += p.service.ModelBytes[m]
		}
	}
	for _, a := range want.Adapters {
		if !slices.Contains(c.target.Adapters, a) {
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
