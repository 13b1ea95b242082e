package role

import (
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// Horizon is the length of the forecast that the policy uses.
	Horizon = 3 * time.Minute
	// ChangeCost is the cost of one role change, in seconds of full goodput, at equal weights.
	ChangeCost = 2.0
	// slack is the fraction of the estimated capacity that the policy keeps in reserve, since queues need some.
	slack = 0.05
	// leverSlack is the reserve for low-cost measures, which are worth taking early.
	leverSlack = 0.2
	// reversalWindow is the time within which the opposite change counts as a reversal, and for which it raises the cost.
	reversalWindow = 15 * time.Minute
	// sufficientFraction is the served fraction from which no further measure is needed.
	sufficientFraction = 0.999
)

// Weights are the operator's weights for goodput and for the number of role changes.
type Weights struct {
	Goodput, Changes float64
}

// Window is a time range of the day, as times since midnight; From > To spans midnight.
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

// Input holds everything that a decision depends on.
type Input struct {
	Now camphorhinge.Instant
	// Day is the time since midnight in the service's time zone.
	Day     time.Duration
	History History
	// Counts are the serving engines; Changing, which counts those that change their role, is not included.
	Counts   Counts
	Changing int
	// Recent lists the service's latest role changes, oldest first; the last half hour is enough.
	Recent  []Change
	Floors  Counts
	Quiet   []Window
	Weights Weights
	Rates   Rates
	// Absence is how long an engine does not serve during a role change, including the drain.
	Absence time.Duration
}

// Change is a past role change.
type Change struct {
	At       camphorhinge.Instant
	From, To camphorhinge.Role
}

// Decision is the outcome of a policy.
type Decision struct {
	// From and To are the roles of the engine to change; From is empty for no change.
	From, To camphorhinge.Role
	Levers   Levers
	// Gain and Cost are weighted, in seconds of full goodput over the horizon.
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

// Decide is the policy: it decides from the forecast of the demand.
func Decide(in Input) Decision {
	e := Assess(in.History, in.Rates)
	return DecideFor(in, Forecast(in.History, e, Horizon))
}

// DecideFor decides for the given scenarios of the demand, all equally likely.
func DecideFor(in Input, scenarios []Scenario) Decision {
	if len(scenarios) == 0 {
		return Decision{Levers: AllLevers(), Reason: ReasonNoDemand}
	}
	levers, reason := chooseLevers(in, scenarios)
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
	baseline := in.goodput(in.Counts, in.Counts, scenarios)
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
			gain := in.goodput(during, during.Add(to, 1), scenarios) - baseline
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
func chooseLevers(in Input, scenarios []Scenario) (Levers, string) {
	steps := []Levers{{}, {Shift: true}, {Shift: true, Chunked: true}}
	for i, l := range steps {
		if in.meanServedFraction(l, scenarios, leverSlack) < sufficientFraction {
			continue
		}
		if i == 0 {
			return l, ReasonEnough
		}
		return l, ReasonLevers
	}
	if in.meanServedFraction(AllLevers(), scenarios, slack) >= sufficientFraction {
		return AllLevers(), ReasonLevers
	}
	return AllLevers(), ""
}

// meanServedFraction returns the mean served fraction over all scenarios with the current engines, of whose capacity
// the fraction reserve is kept unused.
func (in *Input) meanServedFraction(l Levers, scenarios []Scenario, reserve float64) float64 {
	sum, n := 0.0, 0
	for _, c := range scenarios {
		for _, d := range c {
			sum += in.Rates.servedFraction(in.Counts, l, d, reserve)
			n++
		}
	}
	return sum / float64(n)
}

// reversalPenalty returns the factor by which recently reversed changes raise the cost: each reversal shows that a
// forecast was wrong, and doubles the cost for reversalWindow.
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

// goodput returns the served fraction, averaged over the scenarios and summed over their time in seconds, with the
// engine counts during for the time of a change and after from then on.
func (in *Input) goodput(during, after Counts, scenarios []Scenario) float64 {
	absentSteps := int((in.Absence + SampleInterval - 1) / SampleInterval)
	sum := 0.0
	for _, c := range scenarios {
		for i, d := range c {
			counts := after
			if i < absentSteps {
				counts = during
			}
			sum += in.Rates.servedFraction(counts, AllLevers(), d, slack)
		}
	}
	return sum * SampleInterval.Seconds() / float64(len(scenarios))
}
