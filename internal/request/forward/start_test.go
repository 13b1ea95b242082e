package forward

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge/internal/record/routing"
)

// TestWaitsWhileStarting guards callers that meet a node which has just started: one with enough time waits for the
// configuration and for a target, and one without is told when both will be there.
func TestWaitsWhileStarting(t *testing.T) {
	for _, tc := range []struct {
		name string
		// age is the node's age, left the caller's time in milliseconds, after when the node knows the rest.
		age   time.Duration
		left  int
		after time.Duration
		// lacking is what the node lacks.
		lacking func(b *bench) (restore func())
		status  int
		// within bounds the time until the answer, and retry is the least and the largest time to come again.
		within time.Duration
		retry  [2]time.Duration
	}{
		{"configuration comes", 0, 6000, 600 * time.Millisecond, lackConfiguration, 200, 700 * time.Millisecond, [2]time.Duration{}},
		{"targets come", 0, 6000, 600 * time.Millisecond, lackTargets, 200, 700 * time.Millisecond, [2]time.Duration{}},
		{"caller with little time", 0, 1000, 600 * time.Millisecond, lackConfiguration, 503, 0, [2]time.Duration{time.Second, time.Second}},
		{
			"caller with little time, later", 700 * time.Millisecond, 1000, 200 * time.Millisecond, lackConfiguration, 200,
			300 * time.Millisecond,
			[2]time.Duration{},
		},
		{
			"nothing comes", 0, 6000, time.Hour, lackConfiguration, 503, configurationTime + startPoll,
			[2]time.Duration{configurationPause, configurationPause},
		},
		{"long after the start", time.Hour, 6000, time.Minute, lackConfiguration, 503, 0, [2]time.Duration{configurationPause, configurationPause}},
		{"no target long after the start", time.Hour, 6000, time.Minute, lackTargets, 503, 0, [2]time.Duration{targetPause, targetPause}},
		{"caller that names no time", 0, 0, time.Minute, lackConfiguration, 503, 0, [2]time.Duration{time.Second, time.Second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, routing.Route{Retry: routing.RetryIfNotRun}, &target{steps: []step{send(whole(200, "", "fine"))}})
				b.cfg.Started = b.cfg.Clock.Now().Add(-tc.age)
				timer := time.AfterFunc(tc.after, tc.lacking(b))
				defer timer.Stop()
				began := time.Now()
				out := b.ask(t, func(in *Request) { in.Header.Set("Left", strconv.Itoa(tc.left)) })
				require.Equal(t, tc.status, out.status)
				require.LessOrEqual(t, time.Since(began), tc.within)
				if tc.status == http.StatusOK {
					return
				}
				s, err := strconv.ParseFloat(out.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				after := time.Duration(s * float64(time.Second))
				require.GreaterOrEqual(t, after, tc.retry[0])
				require.LessOrEqual(t, after, tc.retry[1])
			})
		})
	}
}

func lackConfiguration(b *bench) func() {
	index := b.index.Load()
	b.index.Store(nil)
	return func() { b.index.Store(index) }
}

func lackTargets(b *bench) func() {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	live := b.world.live
	b.world.live = nil
	return func() {
		b.world.mu.Lock()
		defer b.world.mu.Unlock()
		b.world.live = live
	}
}
