package forward

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// lateQuarantine refuses requests from a number of questions on.
type lateQuarantine struct {
	mu       sync.Mutex
	allowed  int
	segments []camphorhinge.Fingerprint
}

func (q *lateQuarantine) Refused(_ camphorhinge.Fingerprint, segments ...camphorhinge.Fingerprint) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.allowed--
	q.segments = segments
	return 5 * time.Second, q.allowed < 0
}

func (*lateQuarantine) Begin(*camphorhinge.Target, camphorhinge.Fingerprint, camphorhinge.Fingerprint, ...camphorhinge.Fingerprint) func(bool, bool) {
	return func(bool, bool) {}
}

// TestRefusedWhileWaiting guards against a request that is sent although the quarantine began to refuse it while it waited
// for its placement, its prefill or another attempt, and against a promise that it has not run when it has.
func TestRefusedWhileWaiting(t *testing.T) {
	broken := sendAndClose(streamStart(0, 0))
	for _, tc := range []struct {
		name string
		// allowed is the number of questions before the refusal.
		allowed  int
		prefill  bool
		status   int
		requests int
	}{
		{"on arrival", 0, false, http.StatusServiceUnavailable, 0},
		{"after the placement", 1, false, http.StatusServiceUnavailable, 0},
		{"after the prefill", 2, true, http.StatusServiceUnavailable, 2}, // The prefill and the call that frees its cache.
		{"after a run that broke off", 2, false, http.StatusBadGateway, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := []*target{{steps: []step{broken}}, {steps: []step{broken}}}
				if tc.prefill {
					targets = append(targets, &target{steps: []step{sendRaw(fullAnswer(200, "", "handle 7"))}})
				}
				b := newFixture(t, routing.Route{Retry: routing.RetryResume, Stream: true, MaxAttempts: 3}, targets...)
				if tc.prefill {
					b.targets.live[2].Role = camphorhinge.RolePrefill
				}
				q := &lateQuarantine{allowed: tc.allowed}
				b.cfg.Quarantine = q
				out := b.do(t, func(in *Request) { in.Header.Set("Prompt", "4000") })
				require.Equal(t, tc.status, out.status)
				time.Sleep(time.Second)
				synctest.Wait()
				require.Equal(t, tc.requests, b.targets.requestCount())
				require.Len(t, q.segments, 2, "all segments of the prompt but the last, and the request")
			})
		})
	}
}
