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

// Rates describes what one engine does.
type Rates struct {
	// Prefill and Decode are the tokens per second of an engine that does nothing else.
	Prefill, Decode float64
	// Mixed is the part of that which a mixed engine reaches, since prefill and decode disturb each other.
	Mixed float64
	// Chunked is the part that a decode engine's spare time yields for prefill in chunks.
	Chunked float64
	// OnPrefill is the part that a prefill engine's spare time yields for decode.
	OnPrefill float64
}

// Levers are the low-cost measures that need no role change.
type Levers struct {
	// Shift routes more of the scarce kind of work to mixed engines; without it they do equal parts of both.
	Shift bool
	// Chunked runs prefill in chunks on decode engines.
	Chunked bool
	// Moves keeps or moves decode on prefill engines.
	Moves bool
}

// AllLevers has all measures on.
func AllLevers() Levers { return Levers{Shift: true, Chunked: true, Moves: true} }

const (
	// maxScale bounds the result of Scale.
	maxScale = 4.0
	// scaleSteps gives Scale an accuracy of maxScale / 2^12.
	scaleSteps = 12
)

// Scale returns the greatest factor, up to 4, by which a demand can be multiplied and still be served.
func (r Rates) Scale(c Counts, l Levers, d Demand) float64 {
	return r.search(c, l, d, maxScale)
}

// servedFraction returns the servedFraction of a demand, from 0 to 1, that is served with all but the slack of the capacity.
func (r Rates) servedFraction(c Counts, l Levers, d Demand, slack float64) float64 {
	most := 1 / (1 - slack)
	if r.feasible(c, l, Demand{d.Prompt * most, d.Output * most}) {
		return 1
	}
	return r.search(c, l, d, most) / most
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
	// All amounts are in whole engines of the matching role.
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

// Share returns the part of the work, in engine time, that is prefill.
func (r Rates) Share(d Demand) float64 {
	p, o := d.Prompt/r.Prefill, d.Output/r.Decode
	if p+o == 0 {
		return 0
	}
	return p / (p + o)
}
