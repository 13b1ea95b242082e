package workload

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/role"
	"example.org/camphorhinge/internal/request/admit"
)

// The real admission implements the optional interface that WrapAdmission preserves.
var _ jitterer = (*admit.Admission)(nil)

type testClock struct{ now camphorhinge.Instant }

func (c *testClock) Now() camphorhinge.Instant { return c.now }

// backend is a fake router and admission with fixed answers.
type backend struct {
	none    bool
	refusal *camphorhinge.Refusal
	ended   int
}

func (b *backend) Pick(camphorhinge.RouteRequest) (camphorhinge.RouteChoice, bool) {
	return camphorhinge.RouteChoice{}, !b.none
}

func (b *backend) StartAttempt(camphorhinge.RouteChoice, camphorhinge.RouteRequest) func(camphorhinge.AttemptResult) {
	return func(camphorhinge.AttemptResult) { b.ended++ }
}

func (b *backend) Admit(camphorhinge.AdmitRequest) (func(), *camphorhinge.Refusal) {
	return func() {}, b.refusal
}

func (b *backend) Retry() bool { return true }

func (b *backend) PickDecode(camphorhinge.RouteRequest, *camphorhinge.Target) (camphorhinge.RouteChoice, bool) {
	return camphorhinge.RouteChoice{Reason: "decode"}, true
}

func (b *backend) StartDecodeAttempt(choice camphorhinge.RouteChoice, req camphorhinge.RouteRequest) func(camphorhinge.AttemptResult) {
	return b.StartAttempt(choice, req)
}

// able is a backend that also implements jitterer.
type able struct{ backend }

func (b *able) Jitter() time.Duration { return time.Millisecond }

func take(t *testing.T, m *Meter) report {
	t.Helper()
	var r report
	require.NoError(t, json.Unmarshal(m.NextReport(), &r))
	return r
}

// Guards against a meter that takes served work for demand, counts a repeat or a moved stream as another request, or
// counts calls to plain services.
func TestMeter(t *testing.T) {
	run := camphorhinge.AttemptResult{Class: camphorhinge.Run, Output: 40}
	moved := run
	moved.Moved = true
	failed := camphorhinge.AttemptResult{Class: camphorhinge.Unknown, Failed: true, Output: 3}
	model := camphorhinge.RouteRequest{Service: "s", Model: "m", Prompt: 1000, Output: 200, Deadline: 10 * time.Second}
	tests := []struct {
		name     string
		req      camphorhinge.RouteRequest
		none     bool
		refusal  string
		duration time.Duration
		attempts []camphorhinge.AttemptResult
		want     Amounts
	}{
		{name: "complete", req: model, duration: time.Second, attempts: []camphorhinge.AttemptResult{run}, want: Amounts{
			Requests: 1, Prompt: 1000, AllowedOutput: 200, Output: 40, Completed: 1, InTime: 1, Measured: 1, MeasuredOutput: 40,
		}},
		{name: "late", req: model, duration: 11 * time.Second, attempts: []camphorhinge.AttemptResult{run}, want: Amounts{
			Requests: 1, Prompt: 1000, AllowedOutput: 200, Output: 40, Completed: 1, Measured: 1, MeasuredOutput: 40,
		}},
		{name: "repeated", req: model, attempts: []camphorhinge.AttemptResult{failed, run}, want: Amounts{
			Requests: 1, Prompt: 1000, AllowedOutput: 200, Output: 43, Completed: 1, InTime: 1, Measured: 1, MeasuredOutput: 40,
		}},
		{name: "moved", req: model, attempts: []camphorhinge.AttemptResult{moved, run}, want: Amounts{
			Requests: 1, Prompt: 1000, AllowedOutput: 200, Output: 80, Completed: 1, InTime: 1, Measured: 1, MeasuredOutput: 80,
		}},
		{name: "not streamed", req: model, attempts: []camphorhinge.AttemptResult{{Class: camphorhinge.Run}}, want: Amounts{
			Requests: 1, Prompt: 1000, AllowedOutput: 200, Completed: 1, InTime: 1,
		}},
		{name: "no target", req: model, none: true, want: Amounts{Requests: 1, Prompt: 1000, AllowedOutput: 200, Refused: 1}},
		{name: "shed", req: model, refusal: "shed", want: Amounts{Requests: 1, Prompt: 1000, AllowedOutput: 200, Refused: 1}},
		{name: "over its limit", req: model, refusal: "limit", want: Amounts{
			Requests: 1, Prompt: 1000, AllowedOutput: 200, Limited: 1, LimitedTokens: 1200,
		}},
		{name: "plain", req: camphorhinge.RouteRequest{Service: "p", Prompt: 1, Output: 1}, attempts: []camphorhinge.AttemptResult{run}},
		{name: "plain refused", req: camphorhinge.RouteRequest{Service: "p", Prompt: 1, Output: 1}, refusal: "shed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &testClock{}
			b := &able{backend{none: tt.none}}
			if tt.refusal != "" {
				b.refusal = &camphorhinge.Refusal{Kind: tt.refusal}
			}
			m := NewMeter("n", 1, clock)
			r, a := WrapRouter(b, m), WrapAdmission(b, m)
			if choice, ok := r.Pick(tt.req); ok {
				a.Admit(camphorhinge.AdmitRequest{Service: tt.req.Service, Tokens: tt.req.Prompt + tt.req.Output})
				req := tt.req
				for i, result := range tt.attempts {
					if i > 0 {
						req.Exclude = append(req.Exclude, "failed")
						_, _ = r.Pick(req)
					}
					done := r.StartAttempt(choice, req)
					clock.now = clock.now.Add(tt.duration)
					done(result)
				}
			}
			require.Equal(t, len(tt.attempts), b.ended, "the wrapped router gets each result")
			got := take(t, m)
			if tt.want == (Amounts{}) {
				require.Empty(t, got.Services)
			} else {
				require.Equal(t, map[camphorhinge.ServiceName]Amounts{"s": tt.want}, got.Services)
			}
			require.Empty(t, take(t, m).Services, "reported amounts are not counted again")
		})
	}
}

// Guards against an optional method that wrapping hides or adds, and against moved streams that are not counted.
func TestWrapKeepsAbilities(t *testing.T) {
	m := NewMeter("n", 1, &testClock{})
	r := WrapRouter(&backend{}, m)
	choice, ok := r.PickDecode(camphorhinge.RouteRequest{}, nil)
	require.True(t, ok)
	require.Equal(t, "decode", choice.Reason)
	r.StartDecodeAttempt(choice, camphorhinge.RouteRequest{Service: "s", Model: "m"})(camphorhinge.AttemptResult{Output: 5})
	require.EqualValues(t, 5, take(t, m).Services["s"].Output)
	require.Equal(t, time.Millisecond, WrapAdmission(&able{}, m).(jitterer).Jitter())
	_, ok = WrapAdmission(&backend{}, m).(jitterer)
	require.False(t, ok)
}

// Guards against a report that exceeds its bounds, and against services that are lost or starved because of them.
func TestReportIsBounded(t *testing.T) {
	m := NewMeter("n", 1, &testClock{})
	const services = 3*MaxServices + 1
	large := Amounts{
		maxAmount, maxAmount, maxAmount, maxAmount, maxAmount, maxAmount, maxAmount, maxAmount, maxAmount, maxAmount, maxAmount,
	}
	for i := range services {
		m.count(camphorhinge.ServiceName(fmt.Sprintf("%063d", i)), func(a *Amounts) { *a = large })
	}
	seen := map[camphorhinge.ServiceName]bool{}
	for i := range 4 {
		data := m.NextReport()
		require.LessOrEqual(t, len(data), MaxReport)
		r, err := decode(data)
		require.NoError(t, err)
		require.EqualValues(t, i+1, r.Seq)
		require.Equal(t, min(MaxServices, services-i*MaxServices), len(r.Services))
		for name := range r.Services {
			seen[name] = true
		}
	}
	require.Len(t, seen, services)
}

// lead returns a collector that has led for one sample, so that the next one is the first in its history.
func lead(clock *testClock) *Collector {
	c := NewCollector(clock)
	c.Lead()
	warm := NewMeter("warm", 1, clock)
	_ = c.Add(warm.NextReport())
	clock.now = clock.now.Add(role.SampleInterval)
	return c
}

func encoded(t *testing.T, r report) []byte {
	t.Helper()
	data, err := json.Marshal(r)
	require.NoError(t, err)
	return data
}

// Guards against a report that is counted twice or not at all when it is repeated, late, or of another process start.
func TestEachReportCountsOnce(t *testing.T) {
	type arrival struct {
		node       camphorhinge.NodeID
		start, seq uint64
		counts     bool
	}
	tests := []struct {
		name     string
		arrivals []arrival
	}{
		{"in order", []arrival{{"a", 1, 1, true}, {"a", 1, 2, true}, {"a", 1, 3, true}}},
		{"repeated", []arrival{{"a", 1, 1, true}, {"a", 1, 1, false}, {"a", 1, 2, true}, {"a", 1, 1, false}}},
		{"two nodes", []arrival{{"a", 1, 1, true}, {"b", 1, 1, true}, {"a", 1, 1, false}}},
		{"restarted", []arrival{{"a", 1, 7, true}, {"a", 2, 1, true}, {"a", 1, 7, false}, {"a", 2, 1, false}, {"a", 2, 2, true}}},
		{"late report of an earlier start", []arrival{{"a", 2, 1, true}, {"a", 1, 9, true}, {"a", 2, 2, true}, {"a", 1, 9, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &testClock{}
			c := lead(clock)
			want := 0
			for _, a := range tt.arrivals {
				require.NoError(t, c.Add(encoded(t, report{
					Node: a.node, Start: a.start, Seq: a.seq, Span: 500, Services: map[camphorhinge.ServiceName]Amounts{"s": {Requests: 1}},
				})))
				if a.counts {
					want++
				}
			}
			clock.now = clock.now.Add(role.SampleInterval)
			require.EqualValues(t, want, c.Recent("s").Requests)
		})
	}
}

// Guards against reports that fill the collector's memory or overflow its sums.
func TestAddRejectsInvalidReports(t *testing.T) {
	c := lead(&testClock{})
	many := map[camphorhinge.ServiceName]Amounts{}
	for i := range MaxServices + 1 {
		many[camphorhinge.ServiceName(fmt.Sprint(i))] = Amounts{Requests: 1}
	}
	for name, data := range map[string][]byte{
		"not JSON":          []byte("{"),
		"too long":          []byte(strings.Repeat(" ", MaxReport+1)),
		"no node":           encoded(t, report{Seq: 1}),
		"no number":         encoded(t, report{Node: "a"}),
		"negative":          encoded(t, report{Node: "a", Seq: 1, Services: map[camphorhinge.ServiceName]Amounts{"s": {Requests: -1}}}),
		"huge":              encoded(t, report{Node: "a", Seq: 1, Services: map[camphorhinge.ServiceName]Amounts{"s": {MeasuredOutput: maxAmount + 1}}}),
		"too many services": encoded(t, report{Node: "a", Seq: 1, Services: many}),
	} {
		var e *Error
		require.ErrorAs(t, c.Add(data), &e, name)
		require.Equal(t, KindMalformed, e.Kind, name)
	}
	for i := range 2 * maxNodes {
		require.NoError(t, c.Add(encoded(t, report{Node: camphorhinge.NodeID(fmt.Sprint(i)), Seq: 1})))
	}
	require.Len(t, c.nodes, maxNodes)
}

// Guards against a demand that follows what was served: shed requests are part of it, requests over a limit are not,
// and a missing or late report is neither a drop nor a peak of demand.
func TestHistory(t *testing.T) {
	steady := Amounts{Requests: 50, Prompt: 50_000, AllowedOutput: 10_000, Output: 2000, Completed: 50, Measured: 50, MeasuredOutput: 2000}
	shed := Amounts{Requests: 50, Prompt: 50_000, AllowedOutput: 10_000, Output: 400, Completed: 10, Measured: 10, MeasuredOutput: 400, Refused: 40}
	limited := Amounts{
		Requests: 100, Prompt: 100_000, AllowedOutput: 20_000, Output: 2000, Completed: 50, Measured: 50, MeasuredOutput: 2000, Limited: 50, LimitedTokens: 60_000,
	}
	want := role.Demand{Prompt: 10_000, Output: 400}
	type interval struct {
		amounts Amounts
		span    time.Duration // 0 for no report
	}
	tests := []struct {
		name      string
		intervals []interval
		want      []role.Demand
	}{
		{"steady", []interval{{steady, 5 * time.Second}, {steady, 5 * time.Second}}, []role.Demand{want, want}},
		{"shed", []interval{{steady, 5 * time.Second}, {shed, 5 * time.Second}}, []role.Demand{want, want}},
		{"over a limit", []interval{{limited, 5 * time.Second}}, []role.Demand{want}},
		{"all shed", []interval{{Amounts{Requests: 50, Prompt: 50_000, AllowedOutput: 2000, Refused: 50}, 5 * time.Second}}, []role.Demand{want}},
		{"no report", []interval{{steady, 5 * time.Second}, {}, {steady, 5 * time.Second}}, []role.Demand{want, want, want}},
		{"report without demand", []interval{{steady, 5 * time.Second}, {Amounts{}, 5 * time.Second}}, []role.Demand{want, {}}},
		{"backlog", []interval{{steady, 5 * time.Second}, {}, {steady.scaled(4), 20 * time.Second}}, []role.Demand{want, want, want}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &testClock{}
			c := lead(clock)
			for i, in := range tt.intervals {
				if in.span > 0 {
					require.NoError(t, c.Add(encoded(t, report{
						Node: "a", Start: 1, Seq: uint64(i + 1), Span: in.span.Milliseconds(),
						Services: map[camphorhinge.ServiceName]Amounts{"s": in.amounts},
					})))
				}
				clock.now = clock.now.Add(role.SampleInterval)
			}
			h := c.History("s")
			require.Len(t, h, len(tt.want))
			for i, d := range tt.want {
				require.InDelta(t, d.Prompt, h[i].Demand.Prompt, 1e-6, "sample %d", i)
				require.InDelta(t, d.Output, h[i].Demand.Output, 1e-6, "sample %d", i)
				require.Equal(t, camphorhinge.Instant(i+2)*camphorhinge.Instant(role.SampleInterval), h[i].At)
			}
		})
	}
}

// Guards against a leader that decides from its predecessor's or its own earlier history, and against a history that
// grows without bound.
func TestLeadership(t *testing.T) {
	clock := &testClock{now: 77}
	c := NewCollector(clock)
	data := NewMeter("a", 1, clock).NextReport()
	var e *Error
	require.ErrorAs(t, c.Add(data), &e)
	require.Equal(t, KindFollower, e.Kind)
	_, ok := c.Since()
	require.False(t, ok)
	fill := func(samples int) {
		m := NewMeter("a", uint64(clock.now), clock)
		for range samples {
			clock.now = clock.now.Add(role.SampleInterval)
			m.count("s", func(a *Amounts) { *a = Amounts{Requests: 1, Prompt: 1000, AllowedOutput: 100} })
			require.NoError(t, c.Add(m.NextReport()))
		}
	}
	c.Lead()
	require.Empty(t, c.History("s"))
	fill(2*role.HistoryLength + 9)
	require.Len(t, c.History("s"), role.HistoryLength)
	clock.now = clock.now.Add(10 * role.HistoryLength * role.SampleInterval)
	require.Empty(t, c.History("s"), "no sample is left after a long pause")
	fill(3)
	require.Len(t, c.History("s"), 3)
	c.Follow()
	require.Empty(t, c.History("s"))
	c.Lead()
	at, ok := c.Since()
	require.True(t, ok)
	require.Equal(t, clock.now, at)
	fill(role.MinHistory)
	require.Equal(t, role.ReasonShortHistory, role.Decide(role.Input{
		Now: clock.now, History: c.History("s"), Rates: role.Rates{Prefill: 1, Decode: 1},
		Counts: role.Counts{}, Weights: role.Weights{Goodput: 1},
	}).Reason)
}
