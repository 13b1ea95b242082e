package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// TestNoticeInAnswers guards against a statement that is missed: it comes in answers of any kind, also in refusals, and one that
// is not valid must not end the request.
func TestNoticeInAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		closed     bool
	}{
		{"answer", fullAnswer(200, "Leaving: 1\r\n", "fine"), true},
		{"server error", fullAnswer(500, "Leaving: 1\r\n", "bad"), true},
		{"refusal", fullAnswer(503, "Leaving: 1\r\nNot-Run: 1\r\n", ""), true},
		{"pause", fullAnswer(503, "Pause: 10s\r\nNot-Run: 1\r\n", ""), true},
		{"pause without a statement on the run", fullAnswer(503, "Pause: 10s\r\n", ""), true},
		{"stream", "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n\r\ndata: p1\n\n", true},
		{"not valid", fullAnswer(200, "Pause: soon\r\n", "fine"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun, Stream: true}, &target{steps: []step{sendAndClose(tc.text)}})
				b.do(t, nil)
				time.Sleep(time.Second)
				closed := b.place.placer.InBackoff(b.cfg.Clock.Now(), b.cfg.Targets.Live("s"))
				if !tc.closed {
					require.Empty(t, closed)
					return
				}
				require.Equal(t, []camphorhinge.TargetName{"t0"}, closed)
			})
		})
	}
}
