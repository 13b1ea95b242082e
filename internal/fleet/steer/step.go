package steer

import (
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/order"
	"example.org/camphorhinge/internal/fleet/role"
	"example.org/camphorhinge/internal/record/schema"
)

// Reasons of a Plan besides those of package role.
const (
	// ReasonFloor marks a change towards a floor.
	ReasonFloor = "a floor is not met"
	// ReasonNoEngine marks a service without serving engines.
	ReasonNoEngine = "no engine serves"
)

// spare is the factor by which the demand may exceed what is expected during a change towards a floor, which is not
// urgent.
const spare = 1.25

// Engine is one live engine of a service as the lease holder sees it.
type Engine struct {
	Name camphorhinge.TargetName
	Role camphorhinge.Role
	// Serving is true while the engine may get work.
	Serving bool
	// Changing is true from the decision to change the engine until it serves again, and while an engine that returned is
	// brought to its decided state. It is not Serving then.
	Changing bool
	// Changeable is true when the engine takes orders, as by Changeable.
	Changeable bool
}

// Changeable reports whether an engine may be sent orders: it is protected against late ones, or the service's record
// says unfenced.
func Changeable(a *camphorhinge.Announcement, unfenced bool) bool {
	return unfenced || order.Protected(a)
}

// Input is all that a Step depends on.
type Input struct {
	Service *schema.Service
	Now     camphorhinge.Instant
	// Wall is the time of day for quiet windows.
	Wall    time.Time
	Engines []Engine
	History role.History
	// Recent are the service's role changes of the last half hour, oldest first.
	Recent []role.Change
	Rates  role.Rates
	// Away is how long an engine is gone for a role change, with its draining.
	Away time.Duration
}

// Plan is what a Step wants.
type Plan struct {
	Service camphorhinge.ServiceName
	// From and To are the roles of the one engine to change; From is empty for no change.
	From, To camphorhinge.Role
	// Counts are the serving engines, Wanted the same after the change.
	Counts, Wanted role.Counts
	// Changing are the engines that change, Fixed those that serve and take no orders.
	Changing, Fixed int
	// Missing are the engines below the floors.
	Missing role.Counts
	// Levers are the low-cost measures that the demand asks for.
	Levers     role.Levers
	Estimate   role.Estimate
	Samples    int
	Gain, Cost float64
	Reason     string
}

// Step decides on one service.
func Step(in Input) Plan {
	p := Plan{
		Service: in.Service.Name, Samples: len(in.History), Estimate: role.Assess(in.History, in.Rates),
		Levers: role.AllLevers(),
	}
	var free role.Counts
	for _, e := range in.Engines {
		switch {
		case e.Changing:
			p.Changing++
		case !e.Serving:
		case e.Changeable:
			p.Counts, free = p.Counts.Add(e.Role, 1), free.Add(e.Role, 1)
		default:
			p.Counts = p.Counts.Add(e.Role, 1)
			p.Fixed++
		}
	}
	p.Wanted = p.Counts
	if p.Counts == (role.Counts{}) {
		p.Reason = ReasonNoEngine
		return p
	}
	floors := role.Counts(in.Service.Floors)
	for _, r := range roles() {
		p.Missing = p.Missing.Add(r, max(0, floors.Get(r)-p.Counts.Get(r)))
	}
	quiet := in.quiet()
	if from, to, ok := in.towardsFloor(&p, free, quiet); ok {
		return p.change(from, to, ReasonFloor)
	}
	ri := role.Input{
		Now: in.Now, History: in.History, Counts: p.Counts, Changing: p.Changing, Recent: in.Recent,
		Floors: floors, Rates: in.Rates, Away: in.Away,
		Weights: role.Weights{Goodput: in.Service.Objective.Goodput, Changes: in.Service.Objective.Changes},
	}
	for _, r := range roles() {
		// An engine that can't change is kept as by a floor.
		ri.Floors = ri.Floors.Add(r, max(0, p.Counts.Get(r)-free.Get(r)-floors.Get(r)))
	}
	if quiet {
		// The service's windows have time zones of their own; what matters here is that one of them is met.
		ri.Quiet = []role.Window{{From: 0, To: 24 * time.Hour}}
	}
	d := role.Decide(ri)
	p.Levers, p.Gain, p.Cost = d.Levers, d.Gain, d.Cost
	return p.change(d.From, d.To, d.Reason)
}

func roles() [3]camphorhinge.Role {
	return [3]camphorhinge.Role{camphorhinge.RolePrefill, camphorhinge.RoleDecode, camphorhinge.RoleMixed}
}

func (p *Plan) change(from, to camphorhinge.Role, reason string) Plan {
	p.From, p.To, p.Reason = from, to, reason
	if from != "" {
		p.Wanted = p.Counts.Add(from, -1).Add(to, 1)
	}
	return *p
}

// quiet reports whether a change that begins now would fall in quiet hours at any time until it is over.
func (in *Input) quiet() bool {
	for ahead := time.Duration(0); ahead < in.Away; ahead += time.Minute {
		if in.Service.QuietAt(in.Wall.Add(ahead)) {
			return true
		}
	}
	return in.Service.QuietAt(in.Wall.Add(in.Away))
}

// towardsFloor returns the change of one engine to a role that is below its floor, if one may be made now.
func (in *Input) towardsFloor(p *Plan, free role.Counts, quiet bool) (from, to camphorhinge.Role, ok bool) {
	if p.Missing == (role.Counts{}) || p.Changing > 0 || quiet || len(in.History) < role.LeastHistory {
		return "", "", false
	}
	floors := role.Counts(in.Service.Floors)
	lack, above := 0, 0
	for _, r := range roles() {
		if n := p.Missing.Get(r); n > lack {
			to, lack = r, n
		}
		// The roles come in reverse here, so equal numbers go to the later one.
		if n := p.Counts.Get(r) - floors.Get(r); n > 0 && n >= above && free.Get(r) > 0 {
			from, above = r, n
		}
	}
	if from == "" || !in.room(p.Counts.Add(from, -1), &p.Estimate) || !in.room(p.Counts.Add(from, -1).Add(to, 1), &p.Estimate) {
		return "", "", false
	}
	return from, to, true
}

// room reports whether engines serve the demand that is expected while one of them changes, and more.
func (in *Input) room(c role.Counts, e *role.Estimate) bool {
	ahead := in.Away.Seconds()
	d := role.Demand{
		Prompt: e.Level.Prompt + max(0, e.Slope.Prompt)*ahead + 2*e.Error.Prompt,
		Output: e.Level.Output + max(0, e.Slope.Output)*ahead + 2*e.Error.Output,
	}
	return in.Rates.Scale(c, role.AllLevers(), d) >= spare
}
