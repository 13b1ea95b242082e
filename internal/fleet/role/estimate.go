package role

import (
	"math"
	"time"

	"example.org/camphorhinge"
)

const (
	// SampleInterval is the time between two samples of a History.
	SampleInterval = 5 * time.Second
	// HistoryLength is the number of samples that the policy uses; the caller may drop older ones.
	HistoryLength = 360
	// levelSamples is the number of latest samples whose mean is the level.
	levelSamples = 4
	// slopeSamples is the number of samples over which a slope must persist; a step shows in only one half of them.
	slopeSamples = 12
	// MinHistory is the number of samples below which no role is changed.
	MinHistory = 24
	// noiseSamples is the number of samples from which the noise is estimated.
	noiseSamples = 24
	// slopeDecay is the time constant with which a forecast slope decays.
	slopeDecay = 60 * time.Second
	// maxAnalogs bounds the scenarios that a forecast takes from the history.
	maxAnalogs = 8
	// minAnalogs is the number of such scenarios below which the forecast extrapolates from level and slope.
	minAnalogs = 3
	// analogTolerance is the relative difference of demand up to which two points in time count as similar.
	analogTolerance = 0.06
)

// Sample is the offered load, in tokens per second, over the SampleInterval up to At. Refused requests are part of it.
type Sample struct {
	At     camphorhinge.Instant
	Demand Demand
}

// History lists samples at even intervals, oldest first.
type History []Sample

// Estimate is the estimate of the current demand.
type Estimate struct {
	Level Demand
	// Slope is the change of Level per second; it is 0 unless the history shows a steady trend.
	Slope Demand
	// Error is the standard error of Level.
	Error Demand
	// Share is the fraction of the work that is prefill; Confidence is 1 minus half the width of its 95 % interval.
	Share, Confidence float64
}

// Assess estimates the current demand; an empty history gives a zero Estimate.
func Assess(h History, r Rates) Estimate {
	if len(h) == 0 {
		return Estimate{}
	}
	n := len(h)
	e := Estimate{Level: h.level(n - 1), Error: h.noise()}
	scale := 1 / math.Sqrt(float64(min(n, levelSamples)))
	e.Error.Prompt *= scale
	e.Error.Output *= scale
	if n > slopeSamples {
		now, mid, old := h.level(n-1), h.level(n-1-slopeSamples/2), h.level(n-1-slopeSamples)
		span := SampleInterval.Seconds() * slopeSamples / 2
		e.Slope = Demand{
			Prompt: steadyChange(old.Prompt, mid.Prompt, now.Prompt, 2*e.Error.Prompt) / span,
			Output: steadyChange(old.Output, mid.Output, now.Output, 2*e.Error.Output) / span,
		}
	}
	e.Share = r.Share(e.Level)
	// Propagates the errors of prompt and output to the share.
	p, o := e.Level.Prompt/r.Prefill, e.Level.Output/r.Decode
	if sum := p + o; sum > 0 {
		dp, do := e.Error.Prompt/r.Prefill*o/(sum*sum), e.Error.Output/r.Decode*p/(sum*sum)
		e.Confidence = max(0, 1-1.96*math.Hypot(dp, do))
	}
	return e
}

// steadyChange returns the smaller of two successive changes if they have the same sign and exceed the noise, else 0.
func steadyChange(old, mid, now, noise float64) float64 {
	a, b := mid-old, now-mid
	if a*b <= 0 || min(math.Abs(a), math.Abs(b)) < noise {
		return 0
	}
	return math.Copysign(min(math.Abs(a), math.Abs(b)), a)
}

// level returns the mean of the latest levelSamples samples up to and including index i.
func (h History) level(i int) Demand { return h.mean(max(0, i-levelSamples+1), i+1) }

// mean returns the mean of the samples in [from, to).
func (h History) mean(from, to int) Demand {
	var d Demand
	for _, s := range h[from:to] {
		d.Prompt += s.Demand.Prompt
		d.Output += s.Demand.Output
	}
	n := float64(to - from)
	return Demand{d.Prompt / n, d.Output / n}
}

// noise returns the standard deviation of single samples, estimated from successive differences.
func (h History) noise() Demand {
	from := max(1, len(h)-noiseSamples)
	var sum Demand
	for i := from; i < len(h); i++ {
		p, o := h[i].Demand.Prompt-h[i-1].Demand.Prompt, h[i].Demand.Output-h[i-1].Demand.Output
		sum.Prompt += p * p
		sum.Output += o * o
	}
	n := 2 * float64(max(1, len(h)-from))
	return Demand{math.Sqrt(sum.Prompt / n), math.Sqrt(sum.Output / n)}
}

// Scenario is one possible future demand, with one value for each SampleInterval from now on.
type Scenario []Demand

// Forecast returns scenarios over the horizon, all equally likely. Where the history has points similar to the present,
// it returns what followed them, so an oscillation is expected to swing back and noise to return to its mean. Otherwise
// it extrapolates from the level with a decaying slope, with and without the error of the level, and adds a return to
// the recent mean.
func Forecast(h History, e Estimate, horizon time.Duration) []Scenario {
	steps := int(horizon / SampleInterval)
	if len(h) == 0 || steps == 0 {
		return nil
	}
	for _, band := range []float64{1, 2} {
		if a := analogs(h, e, steps, band); len(a) >= minAnalogs {
			return a
		}
	}
	var out []Scenario
	for _, side := range []float64{-1, 0, 1} {
		c := make(Scenario, steps)
		for i := range c {
			t := SampleInterval.Seconds() * float64(i+1)
			ahead := slopeDecay.Seconds() * (1 - math.Exp(-t/slopeDecay.Seconds()))
			// Prompt and output deviate in opposite directions, which changes the share most.
			c[i] = Demand{
				Prompt: max(0, e.Level.Prompt+e.Slope.Prompt*ahead+side*e.Error.Prompt),
				Output: max(0, e.Level.Output+e.Slope.Output*ahead-side*e.Error.Output),
			}
		}
		out = append(out, c)
	}
	// Until more samples arrive, a return to the recent mean is as likely as a lasting change.
	mean := h.mean(max(0, len(h)-steps), len(h))
	reversion := make(Scenario, steps)
	for i := range reversion {
		reversion[i] = mean
	}
	return append(out, reversion)
}

// analogs returns what followed past points whose level and recent change resemble the present. A band above 1 widens
// the tolerance.
func analogs(h History, e Estimate, steps int, band float64) []Scenario {
	const lag = slopeSamples / 2
	n := len(h)
	if n < lag+steps+levelSamples {
		return nil
	}
	promptBand := band * max(2*e.Error.Prompt, analogTolerance*e.Level.Prompt)
	outputBand := band * max(2*e.Error.Output, analogTolerance*e.Level.Output)
	similar := func(a, b Demand) bool {
		return math.Abs(a.Prompt-b.Prompt) <= promptBand && math.Abs(a.Output-b.Output) <= outputBand
	}
	before := h.level(n - 1 - lag)
	var matches []int
	for i := max(lag+levelSamples, n-HistoryLength); i+steps < n; i++ {
		if similar(h.level(i), e.Level) && similar(h.level(i-lag), before) {
			matches = append(matches, i)
		}
	}
	stride := max(1, (len(matches)+maxAnalogs-1)/maxAnalogs)
	var out []Scenario
	for k := len(matches) - 1; k >= 0; k -= stride {
		c := make(Scenario, steps)
		for j := range c {
			c[j] = h[matches[k]+1+j].Demand
		}
		out = append(out, c)
	}
	return out
}
