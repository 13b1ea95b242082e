package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// busiestWindow returns the highest number of the times within 4 s.
func busiestWindow(at []camphorhinge.Instant) int {
	most := 0
	for i := range at {
		n := 0
		for _, x := range at[:i+1] {
			if at[i].Sub(x) < 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestLimitOfPlainService guards against the target of a plain service that gets a limit's worth of requests from each of
// many nodes, which place their requests without each other.
func TestLimitOfPlainService(t *testing.T) {
	for _, nodes := range []int{1, 7, 300} {
		const limit, step = 2.5, 20 * time.Millisecond
		var placers []*Placer
		for i := range nodes {
			placers = append(placers, New(Config{Zone: "z", Seed: uint64(i), Nodes: func() int { return nodes }}))
		}
		live := plainTargets("a", "b")
		now := camphorhinge.Instant(time.Hour)
		var limited []camphorhinge.Instant
		total := 0
		for i := range 3000 {
			now = now.Add(step)
			p, ok := placers[i%nodes].Place(now, live, Request{Service: "s"})
			require.True(t, ok, "the other target has no limit")
			if p.Serve.Name == "a" {
				p.ServeAttempt.RecordLimit(now, limit)
				limited = append(limited, now)
			}
			p.ServeAttempt.End(now, Served)
			total++
		}
		told := limited[min(len(limited), nodes):]
		require.LessOrEqual(t, float64(busiestWindow(told)), 1.5*limit*4+5, "%d nodes", nodes)
		require.Greater(t, len(limited), nodes/2)
	}
}

// TestLimitsReached guards against requests that wait or are sent although each target has reached its limit.
func TestLimitsReached(t *testing.T) {
	p := New(Config{Zone: "z"})
	live := plainTargets("a")
	now := camphorhinge.Instant(time.Hour)
	req := Request{Service: "s"}
	placed, ok := p.Place(now, live, req)
	require.True(t, ok)
	require.Zero(t, p.LimitWait(now, live, &req))
	placed.ServeAttempt.RecordLimit(now, 2)
	placed.ServeAttempt.End(now, Served)
	_, ok = p.Place(now, live, req)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, p.LimitWait(now, live, &req))
	placed.ServeAttempt.RecordLimit(now, 0)
	_, ok = p.Place(now, live, req)
	require.True(t, ok, "the target states no limit any more")
}

// TestCentralLimit guards against an engine that gets more than its limit from the node that places all requests, also when
// that node has just learned of the limit from others, and against a limit that an older statement brings back.
func TestCentralLimit(t *testing.T) {
	p := New(Config{Central: true})
	live := []*camphorhinge.Target{{Serving: true, Announcement: camphorhinge.Announcement{
		Name: "e", Address: "e", Service: "s", Incarnation: 3, Kind: camphorhinge.KindEngine, Role: camphorhinge.RoleDecode, Slots: 64,
	}}}
	req := Request{Service: "s", Engine: &routing.Engine{}, Prompt: 100, Output: 10}
	begin := camphorhinge.Instant(time.Hour)
	const limit = 3
	require.Empty(t, p.MergeLimits(begin, live, []Limit{{Target: "e", Incarnation: 2, PerSecond: 1}}), "an earlier process")
	require.Len(t, p.MergeLimits(begin, live, []Limit{{Target: "e", Incarnation: 3, PerSecond: limit, Age: time.Second}}), 1)
	var sent []camphorhinge.Instant
	for now := begin; now < begin.Add(20*time.Second); now = now.Add(5 * time.Millisecond) {
		p.mu.Lock()
		plan, ok := p.bestPlan(now, live, &req)
		require.True(t, ok)
		if !plan.full {
			p.adopt(now, plan.Plan, &req).ServeAttempt.end(now, Served)
			sent = append(sent, now)
		}
		p.mu.Unlock()
	}
	require.GreaterOrEqual(t, sent[0].Sub(begin), limitPause)
	require.InDelta(t, limit*19, len(sent), 3)
	require.LessOrEqual(t, float64(busiestWindow(sent)), 4*limit+2.0)

	now := begin.Add(20 * time.Second)
	require.Equal(t, []Limit{{Target: "e", Incarnation: 3, PerSecond: limit, Age: 21 * time.Second}}, p.Limits(now))
	require.Len(t, p.MergeLimits(now, live, []Limit{{Target: "e", Incarnation: 3, Age: time.Second}}), 1)
	require.Empty(t, p.MergeLimits(now, live, []Limit{{Target: "e", Incarnation: 3, PerSecond: limit, Age: 2 * time.Second}}), "an older statement")
	require.Zero(t, p.Limits(now)[0].PerSecond)
	require.Empty(t, p.Limits(now.Add(time.Minute)))
}
