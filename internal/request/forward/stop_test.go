package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// TestRequestsAnsweredAtStop guards against requests that are cut without an answer when the grace time of a planned stop ends
// before their own time: each gets the answer that it would get at its deadline.
func TestRequestsAnsweredAtStop(t *testing.T) {
	for _, tc := range []struct {
		name  string
		retry routing.RetryPolicy
		steps []step
		// status and run are those of the answer; a status of 0 stands for a stream that is broken off.
		status int
		run    camphorhinge.RunClass
	}{
		{"may not be repeated", routing.RetryIfNotRun, []step{neverAnswer}, http.StatusGatewayTimeout, camphorhinge.Unknown},
		{"may be repeated", routing.RetryIdempotent, []step{neverAnswer}, http.StatusGatewayTimeout, camphorhinge.Unknown},
		{"stream", routing.RetryResume, []step{sendRaw(streamStart(0, 2)), neverAnswer}, 0, ""},
		{"waits for a target", routing.RetryIfNotRun, nil, http.StatusServiceUnavailable, camphorhinge.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var targets []*target
				if tc.steps != nil {
					targets = []*target{{steps: tc.steps}}
				}
				b := newFixture(t, routing.Route{Retry: tc.retry, Stream: tc.retry == routing.RetryResume, Timeout: 8 * time.Second}, targets...)
				time.AfterFunc(100*time.Millisecond, func() {
					b.StopAccepting()
					b.EndRequests()
				})
				began := time.Now()
				out := b.do(t, nil)
				require.Less(t, time.Since(began), 200*time.Millisecond)
				require.Equal(t, tc.status == 0, out.aborted)
				if tc.status != 0 {
					require.Equal(t, tc.status, out.status)
					require.Equal(t, string(tc.run), out.header.Get(camphorhinge.HeaderRun))
				}
			})
		})
	}
}
