package role

import "example.org/camphorhinge"

// thresholdGap is the difference between the two shares above which Threshold changes an engine.
const thresholdGap = 0.1

// NoChange is the baseline that never changes a role.
func NoChange(Input) Decision { return Decision{Levers: AllLevers(), Reason: ReasonCost} }

// Threshold is the baseline that changes an engine's role as soon as the prefill share of the current work differs from
// the share of prefill engines by more than a fixed gap.
func Threshold(in Input) Decision {
	d := Decision{Levers: AllLevers(), Reason: ReasonCost}
	engines := in.Counts.Prefill + in.Counts.Decode
	if in.Changing > 0 || engines == 0 || len(in.History) == 0 {
		return d
	}
	have := float64(in.Counts.Prefill) / float64(engines)
	need := in.Rates.Share(in.History.level(len(in.History) - 1))
	switch {
	case need > have+thresholdGap && in.Counts.Decode > in.Floors.Decode:
		d.From, d.To = camphorhinge.RoleDecode, camphorhinge.RolePrefill
	case need < have-thresholdGap && in.Counts.Prefill > in.Floors.Prefill:
		d.From, d.To = camphorhinge.RolePrefill, camphorhinge.RoleDecode
	}
	if d.From != "" {
		d.Reason = ReasonGain
	}
	return d
}
