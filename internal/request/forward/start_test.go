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

// TestWaitsWhileStarting checks requests to a node that has just started: one with enough time waits for the
// configuration and for a target, another is refused with a Retry-After that covers the startup.
func TestWaitsWhileStarting(t *testing.T) {
	for _, tc := range []struct {
		name string
		// age is the time since the node's start.
		age time.Duration
		// timeout is the caller's timeout in milliseconds.
		timeout int
		// delay is the time until restore is called.
		delay time.Duration
		// remove removes the configuration or the targets from the node.
		remove func(b *fixture) (restore func())
		status int
		// within bounds the time until the answer, and retry is the range of the Retry-After.
		within time.Duration
		retry  [2]time.Duration
	}{
		{"configuration comes", 0, 6000, 600 * time.Millisecond, removeConfiguration, 200, 700 * time.Millisecond, [2]time.Duration{}},
		{"targets come", 0, 6000, 600 * time.Millisecond, removeTargets, 200, 700 * time.Millisecond, [2]time.Duration{}},
		{"caller with a short timeout", 0, 1000, 600 * time.Millisecond, removeConfiguration, 503, 0, [2]time.Duration{time.Second, time.Second}},
		{
			"caller with a short timeout, later", 700 * time.Millisecond, 1000, 200 * time.Millisecond, removeConfiguration, 200,
			300 * time.Millisecond,
			[2]time.Duration{},
		},
		{
			"nothing comes", 0, 6000, time.Hour, removeConfiguration, 503, configurationStartup + startupPollInterval,
			[2]time.Duration{configurationRetryAfter, configurationRetryAfter},
		},
		{"long after the start", time.Hour, 6000, time.Minute, removeConfiguration, 503, 0, [2]time.Duration{configurationRetryAfter, configurationRetryAfter}},
		{"no target long after the start", time.Hour, 6000, time.Minute, removeTargets, 503, 0, [2]time.Duration{targetRetryAfter, targetRetryAfter}},
		{"caller without a timeout", 0, 0, time.Minute, removeConfiguration, 503, 0, [2]time.Duration{time.Second, time.Second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun}, &target{steps: []step{sendRaw(fullAnswer(200, "", "fine"))}})
				b.cfg.Started = b.cfg.Clock.Now().Add(-tc.age)
				timer := time.AfterFunc(tc.delay, tc.remove(b))
				defer timer.Stop()
				began := time.Now()
				out := b.do(t, func(in *Request) { in.Header.Set("Left", strconv.Itoa(tc.timeout)) })
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

func removeConfiguration(b *fixture) func() {
	index := b.index.Load()
	b.index.Store(nil)
	return func() { b.index.Store(index) }
}

func removeTargets(b *fixture) func() {
	b.targets.mu.Lock()
	defer b.targets.mu.Unlock()
	live := b.targets.live
	b.targets.live = nil
	return func() {
		b.targets.mu.Lock()
		defer b.targets.mu.Unlock()
		b.targets.live = live
	}
}
