package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// TestFailurePoints checks the answer at each point of failure: only a request that has not run gets a status that
// implies so, an at-most-once request runs no second time, and an answer is complete or visibly cut.
func TestFailurePoints(t *testing.T) {
	ok := fullAnswer(200, "", "answer")
	full := fullAnswer(503, "Not-Run: 1\r\n", "full")
	for _, tc := range []struct {
		fault  string
		policy routing.RetryPolicy
		first  *target
		second *target
		status int
		run    string
		// sent is the expected number of requests that reach targets.
		sent int
		body string
	}{
		{"none", routing.RetryIfNotRun, &target{steps: []step{sendRaw(ok)}}, nil, 200, "", 1, "answer"},
		{"unreachable", routing.RetryIfNotRun, &target{refuseDial: true}, &target{steps: []step{sendRaw(ok)}}, 200, "", 1, "answer"},
		{"refused", routing.RetryIfNotRun, &target{steps: []step{sendRaw(full)}}, &target{steps: []step{sendRaw(ok)}}, 200, "", 2, "answer"},
		{"all refuse", routing.RetryIfNotRun, &target{steps: []step{sendRaw(full)}}, &target{steps: []step{sendRaw(full)}}, 503, "not-run", 2, ""},
		{"all unreachable", routing.RetryIdempotent, &target{refuseDial: true}, &target{refuseDial: true}, 503, "not-run", 0, ""},
		{"cut before the answer, at most once", routing.RetryIfNotRun, &target{steps: []step{sendAndClose("")}}, &target{steps: []step{sendRaw(ok)}}, 502, "unknown", 1, ""},
		{"cut before the answer, idempotent", routing.RetryIdempotent, &target{steps: []step{sendAndClose("")}}, &target{steps: []step{sendRaw(ok)}}, 200, "", 2, "answer"},
		{"cut in the body, at most once", routing.RetryIfNotRun, &target{steps: []step{sendAndClose(ok[:len(ok)-2])}}, &target{steps: []step{sendRaw(ok)}}, 502, "unknown", 1, ""},
		{"cut in the body, idempotent", routing.RetryIdempotent, &target{steps: []step{sendAndClose(ok[:len(ok)-2])}}, &target{steps: []step{sendRaw(ok)}}, 200, "", 2, "answer"},
		{"cut, then refused", routing.RetryIdempotent, &target{steps: []step{sendAndClose("")}}, &target{steps: []step{sendRaw(full)}}, 502, "unknown", 2, ""},
		{"not HTTP", routing.RetryIfNotRun, &target{steps: []step{sendAndClose("garbage\r\n\r\n")}}, nil, 502, "unknown", 1, ""},
		{"another request's answer", routing.RetryIfNotRun, &target{steps: []step{sendAndClose(strings.Replace(ok, "id-1", "id-2", 1))}}, nil, 502, "unknown", 1, ""},
		{"no length, closed", routing.RetryIfNotRun, &target{steps: []step{sendAndClose("HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\n\r\nanswer")}}, nil, 200, "", 1, "answer"},
		{"busy without a not-run statement", routing.RetryIfNotRun, &target{steps: []step{sendRaw(fullAnswer(503, "", "x"))}}, nil, 502, "", 1, "x"},
		{"server error, at most once", routing.RetryIfNotRun, &target{steps: []step{sendRaw(fullAnswer(500, "", "bad"))}}, &target{steps: []step{sendRaw(ok)}}, 500, "", 1, "bad"},
		{"server error, idempotent", routing.RetryIdempotent, &target{steps: []step{sendRaw(fullAnswer(500, "", "bad"))}}, &target{steps: []step{sendRaw(ok)}}, 200, "", 2, "answer"},
		{"server errors, idempotent", routing.RetryIdempotent, &target{steps: []step{sendRaw(fullAnswer(500, "", "bad"))}}, &target{steps: []step{sendRaw(fullAnswer(500, "", "worse"))}}, 500, "", 2, "worse"},
		{"bad request", routing.RetryIdempotent, &target{steps: []step{sendRaw(fullAnswer(400, "Not-Run: 1\r\n", "bad"))}}, &target{steps: []step{sendRaw(ok)}}, 400, "not-run", 1, ""},
		{"silent, at most once", routing.RetryIfNotRun, &target{steps: []step{neverAnswer}}, &target{steps: []step{sendRaw(ok)}}, 504, "unknown", 1, ""},
	} {
		t.Run(tc.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := []*target{tc.first}
				if tc.second != nil {
					targets = append(targets, tc.second)
				}
				b := newFixture(t, routing.Route{Retry: tc.policy}, targets...)
				out := b.do(t, nil)
				require.Equal(t, tc.status, out.status)
				require.True(t, out.buffered)
				require.Equal(t, tc.run, out.header.Get(camphorhinge.HeaderRun))
				require.Equal(t, tc.sent, b.targets.requestCount())
				if tc.body != "" {
					require.Equal(t, tc.body, out.body.String())
				}
				if impliesNotRun(tc.status) {
					require.NotEmpty(t, out.header.Get("Retry-After"))
					require.Empty(t, out.header.Get("Stamp"))
				}
			})
		})
	}
}

// TestStreams checks streams that break off: only complete events are forwarded, none is repeated or missing, and the
// end is sent only after the last event.
func TestStreams(t *testing.T) {
	all := func(n int) string {
		var s strings.Builder
		for i := 1; i <= n; i++ {
			s.WriteString("id: " + string(rune('0'+i)) + "\ndata: p" + string(rune('0'+i)) + "\n\n")
		}
		return s.String()
	}
	half := chunk("id: 3\nda")
	for _, tc := range []struct {
		fault   string
		policy  routing.RetryPolicy
		first   step
		second  step
		body    string
		status  int
		aborted bool
		// resumeAfter is the event id after which the second target is asked to resume.
		resumeAfter string
	}{
		{"none", routing.RetryIfNotRun, sendRaw(streamStart(0, 4) + lastChunk), nil, all(4), 200, false, ""},
		{"cut between events, resumed", routing.RetryResume, sendAndClose(streamStart(0, 2)), sendRaw(streamStart(2, 2) + lastChunk), all(4), 200, false, "2"},
		{"cut within an event, resumed", routing.RetryResume, sendAndClose(streamStart(0, 2) + half), sendRaw(streamStart(2, 2) + lastChunk), all(4), 200, false, "2"},
		{"cut before the first event, resumed", routing.RetryResume, sendAndClose(streamStart(0, 0)), sendRaw(streamStart(0, 4) + lastChunk), all(4), 200, false, ""},
		{"cut between events, at most once", routing.RetryIfNotRun, sendAndClose(streamStart(0, 2)), sendRaw(streamStart(2, 2) + lastChunk), all(2), 200, true, ""},
		{"cut before the first event, at most once", routing.RetryIfNotRun, sendAndClose(streamStart(0, 0)), sendRaw(streamStart(0, 4) + lastChunk), "", 502, false, ""},
		{"resumed by an answer that is not a stream", routing.RetryResume, sendAndClose(streamStart(0, 2)), sendRaw(fullAnswer(200, "", "text")), all(2), 200, true, "2"},
	} {
		t.Run(tc.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := []*target{{steps: []step{tc.first}}}
				if tc.second != nil {
					targets = append(targets, &target{steps: []step{tc.second}})
				}
				b := newFixture(t, routing.Route{Retry: tc.policy, Stream: true}, targets...)
				out := b.do(t, nil)
				require.Equal(t, tc.status, out.status)
				require.Equal(t, tc.aborted, out.aborted)
				if tc.status == 200 {
					require.Equal(t, tc.body, out.body.String())
				}
				if len(targets) > 1 && len(targets[1].requests) > 0 {
					require.Equal(t, tc.resumeAfter, targets[1].requests[0].Header.Get("After"))
				}
			})
		})
	}
}

// TestForwardedUnchanged checks that method, path, body and headers are forwarded unchanged, except for hop-by-hop
// headers and headers that only the system sets.
func TestForwardedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &target{steps: []step{sendRaw(fullAnswer(200, "Load: 1,0,6\r\nEcho: 7\r\n", "answer"))}}
		b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun}, x)
		out := b.do(t, func(in *Request) { in.Header.Set("Source", "forged"); in.RequestTarget = "/a/%41%2f?x=%20" })
		r := x.requests[0]
		require.Equal(t, "POST", r.Method)
		require.Equal(t, "/a/%41%2f?x=%20", r.RequestURI)
		require.Equal(t, "h", r.Host)
		require.Equal(t, "body", x.bodies[0])
		require.Equal(t, "kept", r.Header.Get("Other"))
		require.Equal(t, "t0", r.Header.Get("Expect"))
		require.Empty(t, r.Header.Get("X-Hop"))
		require.Empty(t, r.Header.Get("Source"))
		require.Equal(t, "3000", r.Header.Get("Left"))
		require.Equal(t, "st", out.header.Get("Stamp"))
		require.Equal(t, "7", out.header.Get("Echo"))
		require.Empty(t, out.header.Get("Load"))
	})
}

// TestRefusedAtOnce guards against requests that wait although they can't be served. Each is answered at once, with a
// Retry-After where a retry may succeed.
func TestRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(b *fixture, in *Request)
		status int
		retry  bool
	}{
		{"no configuration", func(b *fixture, _ *Request) { b.index.Store(nil) }, 503, true},
		{"no route", func(_ *fixture, in *Request) { in.Path = "/b/x" }, 404, false},
		{"no target", func(b *fixture, _ *Request) { b.targets.live = nil }, 503, true},
		{"overload", func(b *fixture, _ *Request) { b.place.refusal = 700 * time.Millisecond }, 503, true},
		{"stopping", func(b *fixture, _ *Request) { b.StopAccepting() }, 503, true},
		{"body too large", func(_ *fixture, in *Request) { in.Length = defaultMaxBody + 1 }, 413, false},
		{"half a body", func(_ *fixture, in *Request) { in.Length = 9 }, 400, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun}, &target{steps: []step{mustNotRun}})
				began := time.Now()
				out := b.do(t, func(in *Request) { tc.change(b, in) })
				require.Equal(t, tc.status, out.status)
				require.Equal(t, tc.retry, out.header.Get("Retry-After") != "")
				require.Equal(t, "not-run", out.header.Get(camphorhinge.HeaderRun))
				require.Zero(t, time.Since(began))
				require.Zero(t, b.targets.requestCount())
			})
		})
	}
}

// TestTimeoutAndDisconnect guards against an answer after the route's time-out, and against work that continues after
// the caller closed its connection.
func TestTimeoutAndDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &target{steps: []step{neverAnswer}}
		b := newFixture(t, routing.Route{Retry: routing.RetryIdempotent, Timeout: time.Second}, x)
		began := time.Now()
		out := b.do(t, nil)
		require.Equal(t, http.StatusGatewayTimeout, out.status)
		require.Less(t, time.Since(began), time.Second)

		disconnected := b.do(t, func(in *Request) {
			in.Watch = func(cancel context.CancelFunc) func() {
				timer := time.AfterFunc(300*time.Millisecond, cancel)
				return func() { timer.Stop() }
			}
		})
		require.True(t, disconnected.aborted)
		// The cleanup waits for the fake targets, which end only once their connections are closed.
	})
}

// TestSeparatePrefill checks the transfer of a prompt's KV cache: the serving engine gets the source of the cache, an
// unused cache is freed, and a target that left during the prefill gets no request.
func TestSeparatePrefill(t *testing.T) {
	makePrefillEngine := func(b *fixture) {
		b.targets.live[0].Role = camphorhinge.RolePrefill
		b.index.Load().Config.Services[0].Engine = &routing.Engine{Slots: 4, CacheCapacity: 1e6}
	}
	setPrompt := func(in *Request) { in.Header.Set("Prompt", "100") }
	stream := streamStart(0, 2) + lastChunk
	for _, tc := range []struct {
		name    string
		prefill []step
		serve   []step
		// leaves is true when the serving engine leaves during the prefill.
		leaves bool
		status int
		// freed is true when the prefill engine is expected to be asked to free the cache.
		freed bool
		// sent bounds the number of requests that reach targets.
		sent int
	}{
		{"handed over", []step{sendRaw(fullAnswer(200, "", "handle 7"))}, []step{sendRaw(stream)}, false, 200, false, 2},
		{"prefill engine refuses", []step{sendRaw(fullAnswer(503, "Not-Run: 1\r\n", ""))}, []step{sendRaw(stream)}, false, 200, false, 2},
		{"prefill engine breaks off", []step{sendAndClose("")}, []step{sendRaw(stream)}, false, 200, false, 2},
		{"cache unavailable", []step{sendRaw(fullAnswer(200, "", "handle 7")), sendRaw(fullAnswer(200, "", ""))}, []step{sendRaw(fullAnswer(503, "Not-Run: 1\r\n", "")), sendRaw(stream)}, false, 200, true, 5},
		{"serving engine leaves during the prefill", []step{sendRaw(fullAnswer(200, "", "handle 7")), sendRaw(fullAnswer(200, "", ""))}, []step{sendRaw(stream)}, true, 503, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				prefillEngine, servingEngine := &target{steps: tc.prefill}, &target{steps: tc.serve}
				b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun, Stream: true}, prefillEngine, servingEngine)
				makePrefillEngine(b)
				if tc.leaves {
					prefillEngine.steps = append([]step{func(c net.Conn, r *http.Request) {
						leaving := *b.targets.live[1]
						leaving.Serving = false
						b.targets.mu.Lock()
						b.targets.live = []*camphorhinge.Target{b.targets.live[0], &leaving}
						b.targets.mu.Unlock()
						tc.prefill[0](c, r)
					}}, tc.prefill[1:]...)
				}
				out := b.do(t, setPrompt)
				require.Equal(t, tc.status, out.status)
				synctest.Wait()
				require.Equal(t, string(camphorhinge.RolePrefill), prefillEngine.requests[0].Header.Get("Role"))
				if len(servingEngine.requests) > 0 && tc.status == 200 && !tc.freed && len(tc.prefill[0:]) > 0 && strings.Contains(tc.name, "handed") {
					require.Equal(t, "t0/7", servingEngine.requests[0].Header.Get("Source"))
				}
				freed := false
				for _, r := range prefillEngine.requests {
					freed = freed || r.Method == "DELETE"
				}
				require.Equal(t, tc.freed, freed)
				require.LessOrEqual(t, b.targets.requestCount(), tc.sent)
			})
		})
	}
}
