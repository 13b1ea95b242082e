package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// TestLimitInAnswers guards against a stated limit that is missed: it comes in answers of any kind, also in refusals.
func TestLimitInAnswers(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"answer", fullAnswer(200, "Limit: 2\r\n", "fine")},
		{"server error", fullAnswer(500, "Limit: 2\r\n", "bad")},
		{"refusal", fullAnswer(503, "Limit: 2\r\nNot-Run: 1\r\n", "")},
		{"stream", "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nLimit: 2\r\nContent-Type: text/event-stream\r\n\r\ndata: p1\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun, Stream: true}, &target{steps: []step{sendAndClose(tc.text)}})
				b.do(t, nil)
				time.Sleep(time.Second)
				limits := b.place.placer.Limits(b.cfg.Clock.Now())
				require.Len(t, limits, 1)
				require.Equal(t, camphorhinge.TargetName("t0"), limits[0].Target)
				require.InDelta(t, 2, limits[0].PerSecond, 0)
			})
		})
	}
}
