package role

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

var rates = Rates{Prefill: 12_000, Decode: 1_500, Mixed: 0.8, Chunked: 0.5, OnPrefill: 0.3}

// load returns a demand that keeps the given number of engines busy, with the given share of prefill.
func load(engines, share float64) Demand {
	return Demand{engines * share * rates.Prefill, engines * (1 - share) * rates.Decode}
}

func history(n int, at func(i int) Demand) History {
	var h History
	for i := range n {
		h = append(h, Sample{At: camphorhinge.Instant(i) * camphorhinge.Instant(SampleInterval), Demand: at(i)})
	}
	return h
}

// Guards against a capacity that ignores a role or a measure, or that adds engines which don't exist.
func TestScale(t *testing.T) {
	tests := []struct {
		name   string
		counts Counts
		levers Levers
		demand Demand
		want   float64
	}{
		{"matching roles", Counts{Prefill: 4, Decode: 6}, Levers{}, load(10, 0.4), 1},
		{"too few prefill engines", Counts{Prefill: 2, Decode: 8}, Levers{}, load(10, 0.4), 0.5},
		{"prefill in chunks", Counts{Prefill: 2, Decode: 8}, Levers{Chunked: true}, load(10, 0.4), 6.0 / 7},
		{"decode on prefill engines", Counts{Prefill: 8, Decode: 2}, Levers{Moves: true}, load(10, 0.4), 4.4 / 7.2},
		{"mixed engines share evenly", Counts{Mixed: 10}, Levers{}, load(10, 0.25), 4 / 7.5},
		{"mixed engines follow the workload", Counts{Mixed: 10}, Levers{Shift: true}, load(10, 0.25), 0.8},
		{"no engines", Counts{}, AllLevers(), load(10, 0.4), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.InDelta(t, tt.want, rates.Scale(tt.counts, tt.levers, tt.demand), 0.002)
		})
	}
}

// Guards against an estimate that takes noise or a step for a slope, or is as confident on noisy samples as on steady
// ones.
func TestAssess(t *testing.T) {
	const seed = 4
	rng := rand.New(rand.NewPCG(seed, 0))
	noisy := func(i int) Demand {
		d := load(10, 0.4)
		return Demand{d.Prompt * (1 + 0.3*rng.NormFloat64()), d.Output * (1 + 0.3*rng.NormFloat64())}
	}
	step := func(i int) Demand {
		if i < 45 {
			return load(10, 0.4)
		}
		return load(10, 0.6)
	}
	tests := []struct {
		name          string
		at            func(i int) Demand
		share, slope  float64 // slope in engines of prefill per minute
		minConfidence float64
		maxConfidence float64
	}{
		{"steady", func(int) Demand { return load(10, 0.4) }, 0.4, 0, 1, 1},
		{"ramp", func(i int) Demand { return load(10, 0.2+0.005*float64(i)) }, 0.4925, 0.6, 0.9, 1},
		{"step", step, 0.6, 0, 0.8, 1},
		{"noise", noisy, 0.4, 0, 0.7, 0.97},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := Assess(history(60, tt.at), rates)
			require.InDelta(t, tt.share, e.Share, 0.1, "seed %d", seed)
			require.InDelta(t, tt.slope, e.Slope.Prompt/rates.Prefill*60, 0.01, "seed %d", seed)
			require.GreaterOrEqual(t, e.Confidence, tt.minConfidence, "seed %d", seed)
			require.LessOrEqual(t, e.Confidence, tt.maxConfidence, "seed %d", seed)
		})
	}
	require.Zero(t, Assess(nil, rates))
}

// Guards against a forecast that takes one swing of an oscillation for a lasting change, or a new level for one seen
// before.
func TestForecast(t *testing.T) {
	swing := func(i int) Demand { return load(10, 0.5+0.2*math.Sin(2*math.Pi*float64(i)/18)) }
	h := history(200, swing)
	top := h[:18*9+5]
	scenarios := Forecast(top, Assess(top, rates), Horizon)
	require.NotEmpty(t, scenarios)
	for _, c := range scenarios {
		require.Len(t, c, int(Horizon/SampleInterval))
		for i, d := range c {
			require.InDelta(t, rates.Share(swing(len(top)+i)), rates.Share(d), 0.05, "sample %d", i)
		}
	}
	fresh := append(history(200, swing), history(6, func(int) Demand { return load(10, 0.9) })...)
	scenarios = Forecast(fresh, Assess(fresh, rates), Horizon)
	for _, c := range scenarios[:3] {
		require.Greater(t, rates.Share(c[len(c)-1]), 0.8)
	}
	require.InDelta(t, 0.57, rates.Share(scenarios[3][0]), 0.05, "the last scenario returns to the recent mean")
}

// Guards against a change that violates a floor, falls in quiet hours, overlaps another one, or costs more than it
// gains; and against a missing change where one pays off.
func TestDecide(t *testing.T) {
	const none = camphorhinge.Role("")
	prefill, decode := camphorhinge.RolePrefill, camphorhinge.RoleDecode
	base := func() Input {
		return Input{
			Now: camphorhinge.Instant(time.Hour), Day: 12 * time.Hour,
			History: history(60, func(int) Demand { return load(17, 0.7) }),
			Counts:  Counts{Prefill: 6, Decode: 12}, Floors: Counts{Prefill: 1, Decode: 1},
			Weights: Weights{Goodput: 1, Changes: 1}, Rates: rates, Absence: 25 * time.Second,
		}
	}
	tests := []struct {
		name     string
		set      func(in *Input)
		from, to camphorhinge.Role
		reason   string
	}{
		{"gain", func(*Input) {}, decode, prefill, ReasonGain},
		{"the other way", func(in *Input) { in.Counts = Counts{Prefill: 17, Decode: 1} }, prefill, decode, ReasonGain},
		{"floor", func(in *Input) { in.Floors.Decode = 12 }, none, none, ReasonCost},
		{"quiet hours", func(in *Input) { in.Quiet = []Window{{From: 11 * time.Hour, To: 13 * time.Hour}} }, none, none, ReasonQuiet},
		{"quiet hours over midnight", func(in *Input) {
			in.Day = time.Hour
			in.Quiet = []Window{{From: 23 * time.Hour, To: 2 * time.Hour}}
		}, none, none, ReasonQuiet},
		{"another engine changes", func(in *Input) { in.Changing = 1 }, none, none, ReasonChanging},
		{"changes weigh more", func(in *Input) { in.Weights.Changes = 20 }, none, none, ReasonCost},
		{"several reversals", func(in *Input) {
			for i := range 6 {
				c := Change{At: in.Now.Add(time.Duration(i-10) * time.Minute), From: prefill, To: decode}
				if i%2 == 1 {
					c.From, c.To = decode, prefill
				}
				in.Recent = append(in.Recent, c)
			}
		}, none, none, ReasonCost},
		{"reversals long ago", func(in *Input) {
			for i := range 6 {
				c := Change{At: in.Now.Add(time.Duration(i-30) * time.Minute), From: prefill, To: decode}
				if i%2 == 1 {
					c.From, c.To = decode, prefill
				}
				in.Recent = append(in.Recent, c)
			}
		}, decode, prefill, ReasonGain},
		{"change takes longer than the horizon", func(in *Input) { in.Absence = 10 * time.Minute }, none, none, ReasonCost},
		{"low-cost measures are enough", func(in *Input) {
			in.History = history(60, func(int) Demand { return load(11, 0.6) })
		}, none, none, ReasonLevers},
		{"enough", func(in *Input) { in.History = history(60, func(int) Demand { return load(5, 0.4) }) }, none, none, ReasonEnough},
		{"short history", func(in *Input) { in.History = in.History[:MinHistory-1] }, none, none, ReasonShortHistory},
		{"no history", func(in *Input) { in.History = nil }, none, none, ReasonNoDemand},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := base()
			tt.set(&in)
			d := Decide(in)
			require.Equal(t, tt.reason, d.Reason)
			require.Equal(t, tt.from, d.From)
			require.Equal(t, tt.to, d.To)
			require.Equal(t, d, Decide(in), "equal inputs give equal decisions")
		})
	}
}
