package role

import "example.org/camphorhinge"

// Counts is a number of engines per role.
type Counts struct {
	Prefill, Decode, Mixed int
}

// Get returns the number of engines in a role.
func (c Counts) Get(r camphorhinge.Role) int {
	switch r {
	case camphorhinge.RolePrefill:
		return c.Prefill
	case camphorhinge.RoleDecode:
		return c.Decode
	default:
		return c.Mixed
	}
}

// Add returns c with n more engines in a role.
func (c Counts) Add(r camphorhinge.Role, n int) Counts {
	switch r {
	case camphorhinge.RolePrefill:
		c.Prefill += n
	case camphorhinge.RoleDecode:
		c.Decode += n
	default:
		c.Mixed += n
	}
	return c
}

// Demand is the offered load in tokens per second.
type Demand struct {
	Prompt, Output float64
}

// Rates holds the throughput of one engine.
type Rates struct {
	// Prefill and Decode are in tokens per second, of an engine that does nothing else.
	Prefill, Decode float64
	// Mixed is the fraction of these rates that a mixed engine reaches, since prefill and decode interfere.
	Mixed float64
	// Chunked is the fraction of a decode engine's spare time that is usable for chunked prefill.
	Chunked float64
	// OnPrefill is the fraction of a prefill engine's spare time that is usable for decode.
	OnPrefill float64
}

// Levers are the low-cost measures that work without a role change.
type Levers struct {
	// Shift routes more of the scarcer kind of work to mixed engines; without it they split their time evenly.
	Shift bool
	// Chunked runs prefill in chunks on decode engines.
	Chunked bool
	// Moves decodes on prefill engines, by leaving streams there or moving them.
	Moves bool
}

// AllLevers returns Levers with all measures on.
func AllLevers() Levers { return Levers{Shift: true, Chunked: true, Moves: true} }

const (
	// maxScale bounds the result of Scale.
	maxScale = 4.0
	// scaleSteps is the number of bisection steps, for an accuracy of maxScale / 2^12.
	scaleSteps = 12
)

// Scale returns the largest factor, up to maxScale, by which a demand can be multiplied and still be served.
func (r Rates) Scale(c Counts, l Levers, d Demand) float64 {
	return r.search(c, l, d, maxScale)
}

// servedFraction returns the fraction of a demand, from 0 to 1, that is served when the fraction reserve of the
// capacity is kept unused.
func (r Rates) servedFraction(c Counts, l Levers, d Demand, reserve float64) float64 {
	headroom := 1 / (1 - reserve)
	if r.feasible(c, l, Demand{d.Prompt * headroom, d.Output * headroom}) {
		return 1
	}
	return r.search(c, l, d, headroom) / headroom
}

func (r Rates) search(c Counts, l Levers, d Demand, high float64) float64 {
	low := 0.0
	for range scaleSteps {
		mid := (low + high) / 2
		if r.feasible(c, l, Demand{d.Prompt * mid, d.Output * mid}) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

func (r Rates) feasible(c Counts, l Levers, d Demand) bool {
	// All amounts are in units of one engine of the matching role.
	prefill := d.Prompt/r.Prefill - float64(c.Prefill)
	decode := d.Output/r.Decode - float64(c.Decode)
	sparePrefill, spareDecode := max(0, -prefill), max(0, -decode)
	prefill, decode = max(0, prefill), max(0, decode)
	if l.Chunked {
		prefill = max(0, prefill-spareDecode*r.Chunked)
	}
	if l.Moves {
		decode = max(0, decode-sparePrefill*r.OnPrefill)
	}
	mixed := float64(c.Mixed) * r.Mixed
	if !l.Shift {
		return prefill <= mixed/2 && decode <= mixed/2
	}
	return prefill+decode <= mixed
}

// Share returns the fraction of the work, in engine time, that is prefill.
func (r Rates) Share(d Demand) float64 {
	p, o := d.Prompt/r.Prefill, d.Output/r.Decode
	if p+o == 0 {
		return 0
	}
	return p / (p + o)
}
