package trial

import (
	"math"
	"math/rand/v2"

	"example.org/camphorhinge/internal/fleet/role"
)

// Length is the length of a trace in seconds.
const Length = 2400

// Trace is the offered load over time, and losses of engines.
type Trace struct {
	Name string
	// Share is the fraction of the work that is prefill, Load the work as a fraction of the fleet's capacity with every
	// engine in the best role.
	Share, Load func(t int) float64
	// Noise is the relative standard deviation of the demand in one second.
	Noise float64
	// Lost is the number of decode engines that fail at second LostAt.
	Lost, LostAt int
}

// Traces returns the traces of the comparison.
func Traces() []Trace {
	const base, shifted, load = 0.40, 0.68, 0.88
	ramp := func(from, to int) func(int) float64 {
		return func(t int) float64 {
			progress := min(1, max(0, float64(t-from)/float64(to-from)))
			return base + (shifted-base)*progress
		}
	}
	flat := func(int) float64 { return load }
	return []Trace{
		{Name: "step", Share: ramp(600, 601), Load: flat, Noise: 0.1},
		{Name: "ramp", Share: ramp(600, 1200), Load: flat, Noise: 0.1},
		{Name: "oscillation", Share: func(t int) float64 {
			return (base+shifted)/2 + (shifted-base)/2*math.Sin(2*math.Pi*float64(t)/90)
		}, Load: flat, Noise: 0.1},
		{Name: "noise", Share: func(int) float64 { return base }, Load: flat, Noise: 0.6},
		{Name: "loss", Share: ramp(600, 1200), Load: func(int) float64 { return load - 0.08 }, Noise: 0.1, Lost: 1, LostAt: 800},
	}
}

// demand returns the offered load of each second, with the noise and without.
func (tr Trace) demand(engines int, r role.Rates, seed uint64) (offered, mean []role.Demand) {
	rng := rand.New(rand.NewPCG(seed, 0))
	// Part of the noise is correlated over several seconds, as with the arrival of one long prompt.
	var slowP, slowO float64
	for t := range Length {
		work := tr.Load(t) * float64(engines)
		share := tr.Share(t)
		m := role.Demand{Prompt: work * share * r.Prefill, Output: work * (1 - share) * r.Decode}
		slowP = 0.9*slowP + 0.3*rng.NormFloat64()
		slowO = 0.9*slowO + 0.3*rng.NormFloat64()
		mean = append(mean, m)
		offered = append(offered, role.Demand{
			Prompt: m.Prompt * max(0, 1+tr.Noise*(0.7*slowP+0.7*rng.NormFloat64())),
			Output: m.Output * max(0, 1+tr.Noise*(0.7*slowO+0.7*rng.NormFloat64())),
		})
	}
	return offered, mean
}
