package rolecontrol

import (
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/order"
	"example.org/camphorhinge/internal/fleet/role"
	"example.org/camphorhinge/internal/record/schema"
)

// Reasons of a Plan, in addition to those of package role.
const (
	// ReasonFloor marks a change towards a floor.
	ReasonFloor = "a floor is not met"
	// ReasonNoEngine marks a service without serving engines.
	ReasonNoEngine = "no engine serves"
)

// floorHeadroom is the factor by which the capacity must exceed the expected demand for a change towards a floor, which
// is not urgent.
const floorHeadroom = 1.25

// Engine is the lease holder's view of one live engine of a service.
type Engine struct {
	Name camphorhinge.TargetName
	Role camphorhinge.Role
	// Serving is true while the engine may get work.
	Serving bool
	// Changing is true from the decision to change the engine until it serves again, and while an engine that returned
	// is brought to its decided state. Serving is false then.
	Changing bool
	// Changeable is true when the engine may be sent orders; see the function Changeable.
	Changeable bool
}

// Changeable reports whether an engine may be sent orders: it is protected against late orders, or the service's record
// says unfenced.
func Changeable(a *camphorhinge.Announcement, unfenced bool) bool {
	return unfenced || order.Protected(a)
}

// Input holds everything that a Plan depends on.
type Input struct {
	Service *schema.Service
	Now     camphorhinge.Instant
	// Wall is the wall-clock time, for quiet hours.
	Wall    time.Time
	Engines []Engine
	History role.History
	// Recent lists the service's role changes of the last half hour, oldest first.
	Recent []role.Change
	Rates  role.Rates
	// Absence is how long an engine does not serve during a role change, including the drain.
	Absence time.Duration
}

// Plan is the decision for one service.
type Plan struct {
	Service camphorhinge.ServiceName
	// From and To are the roles of the one engine to change; From is empty for no change.
	From, To camphorhinge.Role
	// Counts are the serving engines now, Wanted those after the change.
	Counts, Wanted role.Counts
	// Changing counts the engines under change, Fixed the serving ones that take no orders.
	Changing, Fixed int
	// Missing is the shortfall of each role below its floor.
	Missing role.Counts
	// Levers are the low-cost measures that the demand calls for.
	Levers     role.Levers
	Estimate   role.Estimate
	Samples    int
	Gain, Cost float64
	Reason     string
}

// MakePlan decides for one service.
func MakePlan(in Input) Plan {
	p := Plan{
		Service: in.Service.Name, Samples: len(in.History), Estimate: role.Assess(in.History, in.Rates),
		Levers: role.AllLevers(),
	}
	var changeable role.Counts
	for _, e := range in.Engines {
		switch {
		case e.Changing:
			p.Changing++
		case !e.Serving:
		case e.Changeable:
			p.Counts, changeable = p.Counts.Add(e.Role, 1), changeable.Add(e.Role, 1)
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
	if from, to, ok := in.floorChange(&p, changeable, quiet); ok {
		return p.change(from, to, ReasonFloor)
	}
	ri := role.Input{
		Now: in.Now, History: in.History, Counts: p.Counts, Changing: p.Changing, Recent: in.Recent,
		Floors: floors, Rates: in.Rates, Absence: in.Absence,
		Weights: role.Weights{Goodput: in.Service.Objective.Goodput, Changes: in.Service.Objective.Changes},
	}
	for _, r := range roles() {
		// Engines that can't change raise the floor of their role.
		ri.Floors = ri.Floors.Add(r, max(0, p.Counts.Get(r)-changeable.Get(r)-floors.Get(r)))
	}
	if quiet {
		// The service's quiet windows have time zones of their own; role.Decide only needs to know that one of them
		// applies.
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

// quiet reports whether a change that starts now would overlap quiet hours.
func (in *Input) quiet() bool {
	for ahead := time.Duration(0); ahead < in.Absence; ahead += time.Minute {
		if in.Service.QuietAt(in.Wall.Add(ahead)) {
			return true
		}
	}
	return in.Service.QuietAt(in.Wall.Add(in.Absence))
}

// floorChange returns a change of one engine to a role below its floor, if one may be made now.
func (in *Input) floorChange(p *Plan, changeable role.Counts, quiet bool) (from, to camphorhinge.Role, ok bool) {
	if p.Missing == (role.Counts{}) || p.Changing > 0 || quiet || len(in.History) < role.MinHistory {
		return "", "", false
	}
	floors := role.Counts(in.Service.Floors)
	shortfall, surplus := 0, 0
	for _, r := range roles() {
		if n := p.Missing.Get(r); n > shortfall {
			to, shortfall = r, n
		}
		// The comparison is >=, so that a tie goes to the later role.
		if n := p.Counts.Get(r) - floors.Get(r); n > 0 && n >= surplus && changeable.Get(r) > 0 {
			from, surplus = r, n
		}
	}
	if from == "" || !in.hasHeadroom(p.Counts.Add(from, -1), &p.Estimate) || !in.hasHeadroom(p.Counts.Add(from, -1).Add(to, 1), &p.Estimate) {
		return "", "", false
	}
	return from, to, true
}

// hasHeadroom reports whether engines serve floorHeadroom times the demand expected at the end of a change, plus two
// standard errors.
func (in *Input) hasHeadroom(c role.Counts, e *role.Estimate) bool {
	ahead := in.Absence.Seconds()
	d := role.Demand{
		Prompt: e.Level.Prompt + max(0, e.Slope.Prompt)*ahead + 2*e.Error.Prompt,
		Output: e.Level.Output + max(0, e.Slope.Output)*ahead + 2*e.Error.Output,
	}
	return in.Rates.Scale(c, role.AllLevers(), d) >= floorHeadroom
}
