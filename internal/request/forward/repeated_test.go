package forward

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/origin"
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

// TestLateRefusalOfSameAttempt guards against a target's first answer to an attempt that comes once more after the attempt was sent to it
// again: the request would be reported as not run, or sent to another target, while the target runs it.
func TestLateRefusalOfSameAttempt(t *testing.T) {
	refusal := func(header string) step { return sendRaw(fullAnswer(503, header+"Not-Run: 1\r\n", "full")) }
	for _, tc := range []struct {
		name  string
		route routing.Route
		// first is the step of the serving target's first request, answer that of each later one.
		first, answer step
		// prefill is true when an engine prefills the prompt first, and continued when the caller continues a stream.
		prefill, continued bool
	}{
		{"after a pause", routing.Route{Retry: routing.RetryIfNotRun}, refusal("Pause: 1s\r\n"), sendRaw(fullAnswer(200, "", "answer")), false, false},
		{
			"after a cache was not available",
			routing.Route{Retry: routing.RetryIfNotRun, Stream: true},
			refusal(""),
			sendRaw(streamStart(0, 1) + lastChunk), true, false,
		},
		{
			"while its version is awaited",
			routing.Route{Retry: routing.RetryResume, Stream: true},
			refusal(""),
			sendRaw(streamStart(2, 1) + lastChunk), false, true,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs, late := 0, map[net.Conn]bool{}
				first := true
				serving := &target{steps: []step{func(c net.Conn, r *http.Request) {
					if first {
						first, late[c] = false, true
						tc.first(c, r)
						return
					}
					runs++
					if late[c] {
						tc.first(c, r)
					}
					tc.answer(c, r)
				}}}
				prefilling := &target{steps: []step{sendRaw(fullAnswer(200, "", "handle 7"))}}
				targets := []*target{serving}
				if tc.prefill {
					targets = []*target{prefilling, serving}
				}
				b := newFixture(t, tc.route, targets...)
				for _, x := range b.targets.live {
					x.Software = "v1"
				}
				if tc.prefill {
					b.targets.live[0].Role = camphorhinge.RolePrefill
					b.index.Load().Config.Services[0].Engine = &routing.Engine{Slots: 4, CacheCapacity: 1e6}
				}
				b.origins.known = map[origin.Key]origin.Origin{origin.KeyOf("id-0"): {Service: "s", Software: "v1"}}
				out := b.do(t, func(in *Request) {
					if tc.prefill {
						in.Header.Set("Prompt", "100")
					}
					if tc.continued {
						in.Header.Set("After", "2")
						in.Header.Set("Resumes", "id-0")
					}
				})
				require.Equal(t, 200, out.status)
				require.Equal(t, 1, runs)
			})
		})
	}
}

// TestLatePrefillAnswerOfSameAttempt guards against the name of a KV cache that was freed, from an earlier answer to a separate prefill,
// being taken for that of the repeated prefill.
func TestLatePrefillAnswerOfSameAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefills, last := 0, map[net.Conn]string{}
		prefilling := &target{steps: []step{func(c net.Conn, r *http.Request) {
			if r.Method == http.MethodDelete {
				_, _ = io.WriteString(c, strings.Replace(fullAnswer(200, "", ""), "Attempt: id-1\r\n", "", 1))
				return
			}
			prefills++
			answer := last[c]
			last[c] = fullAnswer(200, "", "handle "+strconv.Itoa(prefills))
			_, _ = io.WriteString(c, answer+last[c])
		}}}
		serving := &target{steps: []step{sendRaw(fullAnswer(503, "Not-Run: 1\r\n", "")), sendRaw(streamStart(0, 1) + lastChunk)}}
		b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun, Stream: true}, prefilling, serving)
		b.targets.live[0].Role = camphorhinge.RolePrefill
		b.index.Load().Config.Services[0].Engine = &routing.Engine{Slots: 4, CacheCapacity: 1e6}
		out := b.do(t, func(in *Request) { in.Header.Set("Prompt", "100") })
		require.Equal(t, 200, out.status)
		require.Len(t, serving.requests, 2)
		require.Equal(t, "t0/1", serving.requests[0].Header.Get("Source"))
		require.Equal(t, "t0/2", serving.requests[1].Header.Get("Source"))
	})
}
