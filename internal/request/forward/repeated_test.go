package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// TestRepeatedRefusal guards against a refusal that a target writes once more on a kept connection and that is taken for the answer
// to the next request: that one would be reported as not run, or sent to another target, while the first one runs it.
func TestRepeatedRefusal(t *testing.T) {
	const attempt = "Attempt: id-1\r\n"
	full := fullAnswer(503, "Not-Run: 1\r\n", "full")
	for _, tc := range []struct {
		name   string
		policy routing.RetryPolicy
		// refusal is repeated before the answer to each further request on a connection.
		refusal string
		stream  bool
	}{
		{"at most once", routing.RetryIfNotRun, full, false},
		{"at most once, no id", routing.RetryIfNotRun, strings.Replace(full, attempt, "", 1), false},
		{"stream", routing.RetryIfNotRun, full, true},
		{"stream, no id", routing.RetryIfNotRun, strings.Replace(full, attempt, "", 1), true},
		{"idempotent", routing.RetryIdempotent, full, false},
		{"idempotent, no id", routing.RetryIdempotent, strings.Replace(full, attempt, "", 1), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				seen := map[net.Conn]bool{}
				serve := func(c net.Conn, r *http.Request) {
					answer := tc.refusal
					if id := r.Header.Get("Attempt"); id != "id-1" {
						answer = strings.Replace(fullAnswer(200, "", "answer"), "id-1", id, 1)
						if seen[c] {
							answer = tc.refusal + answer
						}
					}
					seen[c] = true
					_, _ = io.WriteString(c, answer)
				}
				b := newFixture(t, routing.Route{Retry: tc.policy, Stream: tc.stream}, &target{steps: []step{serve}})
				require.Equal(t, 503, b.do(t, nil).status)
				out := b.do(t, func(r *Request) { r.Header.Set("Attempt", "id-2") })
				require.Equal(t, 502, out.status)
				require.Equal(t, string(camphorhinge.Unknown), out.header.Get(camphorhinge.HeaderRun))
				require.Equal(t, 2, b.targets.requestCount(), "the refused request, and the next one")
			})
		})
	}
}

// TestHeadBrokenOff guards against a target that stops in the head of its answer and closes, so that the caller gets an empty or
// short body that looks complete.
func TestHeadBrokenOff(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"status line", "HTTP/1.1 200 OK"},
		{"after the status line", "HTTP/1.1 200 OK\r\n"},
		{"inside a field", "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Le"},
		{"after a field", "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\n"},
		{"after the length", "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Length: 6\r\n"},
		{"inside the empty line", "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\n\r"},
		{"stream", "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Type: text/event-stream\r\n"},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun, Stream: stream}, &target{steps: []step{sendAndClose(tc.text)}})
					out := b.do(t, nil)
					require.Equal(t, 502, out.status)
					require.False(t, out.headerSent)
					require.Empty(t, out.header.Get("Stamp"))
				})
			})
		}
	}
}

// TestStreamContinuedByError guards against the text or the head of an error in the middle of a stream that another target began.
func TestStreamContinuedByError(t *testing.T) {
	for _, tc := range []struct {
		name string
		next step
	}{
		{"server error", sendRaw(fullAnswer(500, "", "no room"))},
		{"bad request", sendRaw(fullAnswer(400, "", "no such model"))},
		{"refusal", sendRaw(fullAnswer(503, "Not-Run: 1\r\n", "full"))},
		{"error without a length", sendAndClose("HTTP/1.1 500 X\r\nAttempt: id-1\r\nStamp: st\r\n\r\nno room")},
		{"error as a stream", sendAndClose("HTTP/1.1 500 X\r\nAttempt: id-1\r\nStamp: st\r\nContent-Type: text/event-stream\r\n\r\ndata: no room\n\n")},
		{"head broken off", sendAndClose("HTTP/1.1 500 X\r\nAttempt: id-1\r\n")},
		{"no answer in the protocol", sendAndClose("no room\r\n\r\n")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, routing.Route{Retry: routing.RetryResume, Stream: true},
					&target{steps: []step{sendAndClose(streamStart(0, 2)), tc.next}}, &target{steps: []step{tc.next}})
				out := b.do(t, nil)
				require.Equal(t, 200, out.status)
				require.True(t, out.aborted)
				require.Equal(t, "id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n", out.body.String())
			})
		})
	}
}
