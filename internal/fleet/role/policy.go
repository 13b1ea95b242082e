package role

import (
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// Horizon is how far the policy looks ahead.
	Horizon = 3 * time.Minute
	// ChangeCost is the cost of one role change, in seconds of full goodput, at equal weights.
	ChangeCost = 2.0
	// slack is the part of the estimated capacity that the policy does not plan with, since queues need some.
	slack = 0.05
	// leverSlack is the same for low-cost measures, which are worth taking early.
	leverSlack = 0.2
	// reversalWindow is how long a change counts that was soon taken back.
	reversalWindow = 15 * time.Minute
	// sufficientFraction is the served part from which no measure is needed.
	sufficientFraction = 0.999
)

// Weights are the operator's weights of goodput and of the number of role changes.
type Weights struct {
	Goodput, Changes float64
}

// Window is a part of the day, as times since midnight; From > To spans midnight.
type Window struct {
	From, To time.Duration
}

// Contains reports whether a time of day lies in the window.
func (w Window) Contains(t time.Duration) bool {
	if w.From <= w.To {
		return t >= w.From && t < w.To
	}
	return t >= w.From || t < w.To
}

// Input is all that a decision depends on.
type Input struct {
	Now camphorhinge.Instant
	// Day is the time since midnight in the service's time zone.
	Day     time.Duration
	History History
	// Counts are the engines that serve; those that change are not among them.
	Counts   Counts
	Changing int
	// Recent are the service's latest role changes, oldest first; those of the last half hour are enough.
	Recent  []Change
	Floors  Counts
	Quiet   []Window
	Weights Weights
	Rates   Rates
	// Absence is how long an engine is gone for a role change, with its draining.
	Absence time.Duration
}

// Change is a role change of the past.
type Change struct {
	At       camphorhinge.Instant
	From, To camphorhinge.Role
}

// Decision is what to do now.
type Decision struct {
	// From and To are the roles of the engine to change; From is empty for no change.
	From, To camphorhinge.Role
	Levers   Levers
	// Gain is in seconds of full goodput over the horizon, Cost in the same unit; both are weighted.
	Gain, Cost float64
	Reason     string
}

// Reasons of a Decision.
const (
	ReasonEnough       = "capacity is enough"
	ReasonLevers       = "low-cost measures are enough"
	ReasonQuiet        = "quiet hours"
	ReasonChanging     = "another engine is changing"
	ReasonCost         = "gain does not exceed the cost"
	ReasonGain         = "gain exceeds the cost"
	ReasonShortHistory = "history is too short"
	ReasonNoDemand     = "no demand is known"
)

// Decide is the policy.
func Decide(in Input) Decision {
	e := Assess(in.History, in.Rates)
	return DecideFor(in, Forecast(in.History, e, Horizon))
}

// DecideFor decides by given courses of the demand, all equally likely.
func DecideFor(in Input, courses []Scenario) Decision {
	if len(courses) == 0 {
		return Decision{Levers: AllLevers(), Reason: ReasonNoDemand}
	}
	levers, reason := chooseLevers(in, courses)
	d := Decision{Levers: levers, Reason: reason}
	if reason != "" {
		return d
	}
	switch {
	case len(in.History) < MinHistory:
		d.Reason = ReasonShortHistory
		return d
	case in.Changing > 0:
		d.Reason = ReasonChanging
		return d
	case slices.ContainsFunc(in.Quiet, func(w Window) bool { return w.Contains(in.Day) }):
		d.Reason = ReasonQuiet
		return d
	}
	stay := in.goodput(in.Counts, in.Counts, courses)
	roles := []camphorhinge.Role{camphorhinge.RolePrefill, camphorhinge.RoleDecode, camphorhinge.RoleMixed}
	best := 0.0
	for _, from := range roles {
		if in.Counts.Get(from) <= in.Floors.Get(from) {
			continue
		}
		for _, to := range roles {
			if to == from {
				continue
			}
			during := in.Counts.Add(from, -1)
			gain := in.goodput(during, during.Add(to, 1), courses) - stay
			if gain > best {
				best = gain
				d.From, d.To = from, to
			}
		}
	}
	d.Gain, d.Cost = best*in.Weights.Goodput, ChangeCost*in.Weights.Changes*in.reversalPenalty()
	d.Reason = ReasonGain
	if d.Gain <= d.Cost {
		d.From, d.To, d.Reason = "", "", ReasonCost
	}
	return d
}

// chooseLevers returns the fewest measures that serve the near future, and a reason when no role change is needed.
func chooseLevers(in Input, courses []Scenario) (Levers, string) {
	steps := []Levers{{}, {Shift: true}, {Shift: true, Chunked: true}}
	for i, l := range steps {
		if in.meanServedFraction(l, courses, leverSlack) < sufficientFraction {
			continue
		}
		if i == 0 {
			return l, ReasonEnough
		}
		return l, ReasonLevers
	}
	if in.meanServedFraction(AllLevers(), courses, slack) >= sufficientFraction {
		return AllLevers(), ReasonLevers
	}
	return AllLevers(), ""
}

// meanServedFraction is the mean meanServedFraction part over all courses with the present engines.
func (in *Input) meanServedFraction(l Levers, courses []Scenario, slack float64) float64 {
	sum, n := 0.0, 0
	for _, c := range courses {
		for _, d := range c {
			sum += in.Rates.servedFraction(in.Counts, l, d, slack)
			n++
		}
	}
	return sum / float64(n)
}

// reversalPenalty is the factor by which changes cost more after the policy took some back: each time shows that its forecast
// was wrong, and doubles the cost for regretTime.
func (in *Input) reversalPenalty() float64 {
	factor := 1.0
	for i := 1; i < len(in.Recent); i++ {
		a, b := in.Recent[i-1], in.Recent[i]
		if in.Now.Sub(b.At) < reversalWindow && b.At.Sub(a.At) < reversalWindow && (a.From == b.To || a.To == b.From) {
			factor *= 2
		}
	}
	return factor
}

// goodput is the mean over the courses of the served part, in seconds, with the engines during for the time of a change
// and after from then on.
func (in *Input) goodput(during, after Counts, courses []Scenario) float64 {
	away := int((in.Absence + SampleInterval - 1) / SampleInterval)
	sum := 0.0
	for _, c := range courses {
		for i, d := range c {
			counts := after
			if i < away {
				counts = during
			}
			sum += in.Rates.servedFraction(counts, AllLevers(), d, slack)
		}
	}
	return sum * SampleInterval.Seconds() / float64(len(courses))
}
