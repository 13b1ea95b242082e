package trial

import (
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/role"
)

// Customer is a service with its engines and the operator's settings.
type Customer struct {
	Name    string
	Counts  role.Counts
	Floors  role.Counts
	Weights role.Weights
}

// Customers returns the services to compare.
func Customers() []Customer {
	return []Customer{
		{
			Name: "asesor-lm", Counts: role.Counts{Prefill: 6, Decode: 9, Mixed: 3},
			Floors: role.Counts{Prefill: 2, Decode: 2}, Weights: role.Weights{Goodput: 4, Changes: 1},
		},
		{
			Name: "asistente", Counts: role.Counts{Prefill: 3, Decode: 5, Mixed: 1},
			Floors: role.Counts{Prefill: 1, Decode: 1}, Weights: role.Weights{Goodput: 1, Changes: 4},
		},
	}
}

const (
	// absenceSeconds is how long an engine does not serve during a role change: 10 s to drain and 15 s to change.
	absenceSeconds = 25
	// deadline is the longest time in seconds that a request may wait.
	deadline = 15.0
)

// assumedRates returns the rates that the policies use.
func assumedRates() role.Rates {
	return role.Rates{Prefill: 12_000, Decode: 1_500, Mixed: 0.8, Chunked: 0.5, OnPrefill: 0.3}
}

// actualRates returns the rates of the model. They differ from the assumed ones, as an operator's estimates do.
func actualRates() role.Rates {
	return role.Rates{Prefill: 11_500, Decode: 1_550, Mixed: 0.75, Chunked: 0.45, OnPrefill: 0.3}
}

// Policy decides every SampleInterval; future is the true demand, which only the oracle may use.
type Policy struct {
	Name   string
	Decide func(in role.Input, future []role.Demand) role.Decision
}

// Policies returns the policy and its baselines.
func Policies() []Policy {
	withoutFuture := func(f func(role.Input) role.Decision) func(role.Input, []role.Demand) role.Decision {
		return func(in role.Input, _ []role.Demand) role.Decision { return f(in) }
	}
	return []Policy{
		{"no change", withoutFuture(role.NoChange)},
		{"threshold", withoutFuture(role.Threshold)},
		{"policy", withoutFuture(role.Decide)},
		{"oracle", oracle},
	}
}

// oracle decides from the true demand of the next five minutes.
func oracle(in role.Input, future []role.Demand) role.Decision {
	const step = int(role.SampleInterval / time.Second)
	var c role.Scenario
	for t := step - 1; t < min(300, len(future)); t += step {
		c = append(c, future[t])
	}
	if len(c) == 0 {
		return role.NoChange(in)
	}
	in.Recent = nil
	d := role.DecideFor(in, []role.Scenario{c})
	d.Levers = role.AllLevers()
	return d
}

// Result is the outcome of one run.
type Result struct {
	// Goodput is the fraction of the offered requests that is served in time; Series has one value for each minute.
	Goodput float64
	Changes int
	Series  []float64
}

// Simulate runs one policy on one trace. Requests that would wait longer than the deadline are shed on arrival, so that
// admitted ones are served in time.
func Simulate(c Customer, tr Trace, p Policy, seed uint64) Result {
	const step = int(role.SampleInterval / time.Second)
	engines := c.Counts.Prefill + c.Counts.Decode + c.Counts.Mixed
	offered, mean := tr.demand(engines, assumedRates(), seed)
	rates := actualRates()
	counts, levers := c.Counts, role.AllLevers()
	var (
		res      Result
		history  role.History
		recent   []role.Change
		sum      role.Demand
		newRole  camphorhinge.Role
		returnAt = -1
		backlog  float64 // in seconds of offered requests
		served   float64
		inMinute float64
	)
	for t := range Length {
		if t == returnAt {
			counts, returnAt = counts.Add(newRole, 1), -1
		}
		if tr.Lost > 0 && t == tr.LostAt {
			counts.Decode = max(0, counts.Decode-tr.Lost)
		}
		d := offered[t]
		capacity := rates.Scale(counts, levers, d) // requests served, as a multiple of those offered
		acceptable := max(0, capacity*(deadline+1)-backlog)
		accepted := min(1, acceptable)
		backlog = max(0, backlog+accepted-capacity)
		served += accepted
		inMinute += accepted
		if t%60 == 59 {
			res.Series = append(res.Series, inMinute/60)
			inMinute = 0
		}
		sum.Prompt += d.Prompt / float64(step)
		sum.Output += d.Output / float64(step)
		if t%step != step-1 {
			continue
		}
		history = append(history, role.Sample{At: camphorhinge.Instant(t) * camphorhinge.Instant(time.Second), Demand: sum})
		sum = role.Demand{}
		if len(history) > role.HistoryLength {
			history = history[1:]
		}
		in := role.Input{
			History: history, Counts: counts, Floors: c.Floors, Weights: c.Weights, Rates: assumedRates(),
			Now: camphorhinge.Instant(t) * camphorhinge.Instant(time.Second), Recent: recent,
			Absence: absenceSeconds * time.Second, Day: 12 * time.Hour,
		}
		if returnAt >= 0 {
			in.Changing = 1
		}
		dec := p.Decide(in, mean[t+1:])
		levers = dec.Levers
		if dec.From != "" && returnAt < 0 {
			counts = counts.Add(dec.From, -1)
			newRole, returnAt = dec.To, t+absenceSeconds
			res.Changes++
			recent = append(recent, role.Change{At: in.Now, From: dec.From, To: dec.To})
		}
	}
	res.Goodput = served / Length
	return res
}
