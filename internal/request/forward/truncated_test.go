package forward

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// crashCounter counts the attempts that ended in a crash.
type crashCounter struct {
	noQuarantine
	crashes int
}

func (q *crashCounter) Begin(*camphorhinge.Target, camphorhinge.Fingerprint, ...camphorhinge.Fingerprint) func(bool, bool) {
	return func(crashed, _ bool) {
		if crashed {
			q.crashes++
		}
	}
}

// TestStreamEndsInsideEvent guards against a stream that is passed on as complete although its target broke it off inside
// or before an event: an answer with neither a length nor chunks ends with its connection, also when the target crashes.
func TestStreamEndsInsideEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Type: text/event-stream\r\n"
	for _, tc := range []struct {
		name  string
		text  string
		retry routing.RetryPolicy
		// aborted is set when the caller's connection must be closed; body is what the caller gets.
		aborted bool
		body    string
		crashes int
	}{
		{"after the last event", head + "\r\nid: 1\ndata: p1\n\n", routing.RetryIfNotRun, false, "id: 1\ndata: p1\n\n", 0},
		{"after a comment", head + "\r\nid: 1\ndata: p1\n\n: bye\n", routing.RetryIfNotRun, false, "id: 1\ndata: p1\n\n: bye\n", 0},
		{"before the first event", head + "\r\n", routing.RetryResume, false, "id: 2\ndata: p2\n\n", 1},
		{"inside a line", head + "\r\nid: 1\ndata: p1\n\nid: 2\nda", routing.RetryIfNotRun, true, "id: 1\ndata: p1\n\n", 1},
		{"before the empty line", head + "\r\nid: 1\ndata: p1\n\nid: 2\ndata: p2\n", routing.RetryIfNotRun, true, "id: 1\ndata: p1\n\n", 1},
		{
			"inside a line, resumable", head + "\r\nid: 1\ndata: p1\n\nid: 2\nda", routing.RetryResume, false,
			"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n", 1,
		},
		{
			"inside an event of a stream in chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: p1\n\nid: 2\nda") + lastChunk,
			routing.RetryIfNotRun, true, "id: 1\ndata: p1\n\n", 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, routing.Route{Retry: tc.retry, Stream: true},
					&target{steps: []step{sendAndClose(tc.text)}},
					&target{steps: []step{sendAndClose(head + "\r\nid: 2\ndata: p2\n\n")}})
				q := &crashCounter{}
				b.cfg.Quarantine = q
				out := b.do(t, nil)
				require.Equal(t, http.StatusOK, out.status)
				require.Equal(t, tc.aborted, out.aborted)
				require.Equal(t, tc.body, out.body.String())
				require.Equal(t, tc.crashes, q.crashes)
			})
		})
	}
}
