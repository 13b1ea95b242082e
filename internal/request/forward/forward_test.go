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

// TestFailurePoints guards what callers are told at each point of failure: a status that promises that the request has not
// run only where it has not, a request that runs at most once where it must, and an answer that is whole or cut.
func TestFailurePoints(t *testing.T) {
	ok := whole(200, "", "answer")
	full := whole(503, "Not-Run: 1\r\n", "full")
	for _, tc := range []struct {
		fault  string
		repeat routing.RetryPolicy
		first  *target
		second *target
		status int
		run    string
		// sent is the number of requests that reached targets.
		sent int
		body string
	}{
		{"none", routing.RetryIfNotRun, &target{steps: []step{send(ok)}}, nil, 200, "", 1, "answer"},
		{"unreachable", routing.RetryIfNotRun, &target{dead: true}, &target{steps: []step{send(ok)}}, 200, "", 1, "answer"},
		{"refused", routing.RetryIfNotRun, &target{steps: []step{send(full)}}, &target{steps: []step{send(ok)}}, 200, "", 2, "answer"},
		{"all refuse", routing.RetryIfNotRun, &target{steps: []step{send(full)}}, &target{steps: []step{send(full)}}, 503, "not-run", 2, ""},
		{"all unreachable", routing.RetryIdempotent, &target{dead: true}, &target{dead: true}, 503, "not-run", 0, ""},
		{"cut before the answer, once", routing.RetryIfNotRun, &target{steps: []step{cut("")}}, &target{steps: []step{send(ok)}}, 502, "unknown", 1, ""},
		{"cut before the answer, freely", routing.RetryIdempotent, &target{steps: []step{cut("")}}, &target{steps: []step{send(ok)}}, 200, "", 2, "answer"},
		{"cut in the body, once", routing.RetryIfNotRun, &target{steps: []step{cut(ok[:len(ok)-2])}}, &target{steps: []step{send(ok)}}, 502, "unknown", 1, ""},
		{"cut in the body, freely", routing.RetryIdempotent, &target{steps: []step{cut(ok[:len(ok)-2])}}, &target{steps: []step{send(ok)}}, 200, "", 2, "answer"},
		{"cut, then refused", routing.RetryIdempotent, &target{steps: []step{cut("")}}, &target{steps: []step{send(full)}}, 502, "unknown", 2, ""},
		{"no bytes of HTTP", routing.RetryIfNotRun, &target{steps: []step{cut("garbage\r\n\r\n")}}, nil, 502, "unknown", 1, ""},
		{"another request's answer", routing.RetryIfNotRun, &target{steps: []step{cut(strings.Replace(ok, "id-1", "id-2", 1))}}, nil, 502, "unknown", 1, ""},
		{"no length, closed", routing.RetryIfNotRun, &target{steps: []step{cut("HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\n\r\nanswer")}}, nil, 200, "", 1, "answer"},
		{"busy without the word that it did not run", routing.RetryIfNotRun, &target{steps: []step{send(whole(503, "", "x"))}}, nil, 502, "", 1, "x"},
		{"server error, once", routing.RetryIfNotRun, &target{steps: []step{send(whole(500, "", "bad"))}}, &target{steps: []step{send(ok)}}, 500, "", 1, "bad"},
		{"server error, freely", routing.RetryIdempotent, &target{steps: []step{send(whole(500, "", "bad"))}}, &target{steps: []step{send(ok)}}, 200, "", 2, "answer"},
		{"server errors, freely", routing.RetryIdempotent, &target{steps: []step{send(whole(500, "", "bad"))}}, &target{steps: []step{send(whole(500, "", "worse"))}}, 500, "", 2, "worse"},
		{"bad request", routing.RetryIdempotent, &target{steps: []step{send(whole(400, "Not-Run: 1\r\n", "bad"))}}, &target{steps: []step{send(ok)}}, 400, "not-run", 1, ""},
		{"silent, once", routing.RetryIfNotRun, &target{steps: []step{hang}}, &target{steps: []step{send(ok)}}, 504, "unknown", 1, ""},
	} {
		t.Run(tc.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := []*target{tc.first}
				if tc.second != nil {
					targets = append(targets, tc.second)
				}
				b := newBench(t, routing.Route{Retry: tc.repeat}, targets...)
				out := b.ask(t, nil)
				require.Equal(t, tc.status, out.status)
				require.True(t, out.whole)
				require.Equal(t, tc.run, out.header.Get(camphorhinge.HeaderRun))
				require.Equal(t, tc.sent, b.world.count())
				if tc.body != "" {
					require.Equal(t, tc.body, out.body.String())
				}
				if promises(tc.status) {
					require.NotEmpty(t, out.header.Get("Retry-After"))
					require.Empty(t, out.header.Get("Stamp"))
				}
			})
		})
	}
}

// TestStreams guards streams that break off: whole events only, none twice or missing, and an end only after the last one.
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
		repeat  routing.RetryPolicy
		first   step
		second  step
		body    string
		status  int
		aborted bool
		after   string
	}{
		{"none", routing.RetryIfNotRun, send(events(0, 4) + lastChunk), nil, all(4), 200, false, ""},
		{"cut between events, resumed", routing.RetryResume, cut(events(0, 2)), send(events(2, 2) + lastChunk), all(4), 200, false, "2"},
		{"cut within an event, resumed", routing.RetryResume, cut(events(0, 2) + half), send(events(2, 2) + lastChunk), all(4), 200, false, "2"},
		{"cut before the first event, resumed", routing.RetryResume, cut(events(0, 0)), send(events(0, 4) + lastChunk), all(4), 200, false, ""},
		{"cut between events, once", routing.RetryIfNotRun, cut(events(0, 2)), send(events(2, 2) + lastChunk), all(2), 200, true, ""},
		{"cut before the first event, once", routing.RetryIfNotRun, cut(events(0, 0)), send(events(0, 4) + lastChunk), "", 502, false, ""},
		{"resumed by something else", routing.RetryResume, cut(events(0, 2)), send(whole(200, "", "text")), all(2), 200, true, "2"},
	} {
		t.Run(tc.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := []*target{{steps: []step{tc.first}}}
				if tc.second != nil {
					targets = append(targets, &target{steps: []step{tc.second}})
				}
				b := newBench(t, routing.Route{Retry: tc.repeat, Stream: true}, targets...)
				out := b.ask(t, nil)
				require.Equal(t, tc.status, out.status)
				require.Equal(t, tc.aborted, out.aborted)
				if tc.status == 200 {
					require.Equal(t, tc.body, out.body.String())
				}
				if len(targets) > 1 && len(targets[1].seen) > 0 {
					require.Equal(t, tc.after, targets[1].seen[0].Header.Get("After"))
				}
			})
		})
	}
}

// Guards what is passed on: method, path, body and headers unchanged, less those of one connection and those that only the
// system sets.
func TestPassedOnUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &target{steps: []step{send(whole(200, "Load: 1,0,6\r\nEcho: 7\r\n", "answer"))}}
		b := newBench(t, routing.Route{Retry: routing.RetryIfNotRun}, x)
		out := b.ask(t, func(in *Request) { in.Header.Set("Source", "forged"); in.Target = "/a/%41%2f?x=%20" })
		r := x.seen[0]
		require.Equal(t, "POST", r.Method)
		require.Equal(t, "/a/%41%2f?x=%20", r.RequestURI)
		require.Equal(t, "h", r.Host)
		require.Equal(t, "body", x.body[0])
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

// Guards against requests that wait although it is known that they can't be served: each is answered at once, with a word
// on when to come again where that may help.
func TestRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(b *bench, in *Request)
		status int
		retry  bool
	}{
		{"no configuration", func(b *bench, _ *Request) { b.index.Store(nil) }, 503, true},
		{"no route", func(_ *bench, in *Request) { in.Path = "/b/x" }, 404, false},
		{"no target", func(b *bench, _ *Request) { b.world.live = nil }, 503, true},
		{"overload", func(b *bench, _ *Request) { b.place.refusal = 700 * time.Millisecond }, 503, true},
		{"stopping", func(b *bench, _ *Request) { b.Refuse() }, 503, true},
		{"body too large", func(_ *bench, in *Request) { in.Length = defaultBody + 1 }, 413, false},
		{"half a body", func(_ *bench, in *Request) { in.Length = 9 }, 400, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, routing.Route{Retry: routing.RetryIfNotRun}, &target{steps: []step{unreachable}})
				began := time.Now()
				out := b.ask(t, func(in *Request) { tc.change(b, in) })
				require.Equal(t, tc.status, out.status)
				require.Equal(t, tc.retry, out.header.Get("Retry-After") != "")
				require.Equal(t, "not-run", out.header.Get(camphorhinge.HeaderRun))
				require.Zero(t, time.Since(began))
				require.Zero(t, b.world.count())
			})
		})
	}
}

// Guards against an answer later than the route's time-out, and against work that goes on for a caller who left.
func TestTimeoutAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &target{steps: []step{hang}}
		b := newBench(t, routing.Route{Retry: routing.RetryIdempotent, Timeout: time.Second}, x)
		began := time.Now()
		out := b.ask(t, nil)
		require.Equal(t, http.StatusGatewayTimeout, out.status)
		require.Less(t, time.Since(began), time.Second)

		left := b.ask(t, func(in *Request) {
			in.Watch = func(cancel context.CancelFunc) func() {
				timer := time.AfterFunc(300*time.Millisecond, cancel)
				return func() { timer.Stop() }
			}
		})
		require.True(t, left.aborted)
		// The end of the test waits for the targets, whose connections must have been closed.
	})
}

// Guards the hand-over of a prompt's KV cache: the engine that read it is named to the one that runs the request, a cache
// that is not taken is freed, and a target that left meanwhile gets nothing.
func TestSeparatePrefill(t *testing.T) {
	prefill := func(b *bench) {
		b.world.live[0].Role = camphorhinge.RolePrefill
		b.index.Load().Config.Services[0].Engine = &routing.Engine{Slots: 4, CacheCapacity: 1e6}
	}
	ask := func(in *Request) { in.Header.Set("Prompt", "100") }
	stream := events(0, 2) + lastChunk
	for _, tc := range []struct {
		name   string
		reader []step
		server []step
		leaves bool
		status int
		freed  bool
		sent   int
	}{
		{"handed over", []step{send(whole(200, "", "handle 7"))}, []step{send(stream)}, false, 200, false, 2},
		{"reader refuses", []step{send(whole(503, "Not-Run: 1\r\n", ""))}, []step{send(stream)}, false, 200, false, 2},
		{"reader breaks off", []step{cut("")}, []step{send(stream)}, false, 200, false, 2},
		{"cache gone", []step{send(whole(200, "", "handle 7")), send(whole(200, "", ""))}, []step{send(whole(503, "Not-Run: 1\r\n", "")), send(stream)}, false, 200, true, 5},
		{"server left meanwhile", []step{send(whole(200, "", "handle 7")), send(whole(200, "", ""))}, []step{send(stream)}, true, 503, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, server := &target{steps: tc.reader}, &target{steps: tc.server}
				b := newBench(t, routing.Route{Retry: routing.RetryIfNotRun, Stream: true}, reader, server)
				prefill(b)
				if tc.leaves {
					reader.steps = append([]step{func(c net.Conn, r *http.Request) {
						gone := *b.world.live[1]
						gone.Serving = false
						b.world.mu.Lock()
						b.world.live = []*camphorhinge.Target{b.world.live[0], &gone}
						b.world.mu.Unlock()
						tc.reader[0](c, r)
					}}, tc.reader[1:]...)
				}
				out := b.ask(t, ask)
				require.Equal(t, tc.status, out.status)
				synctest.Wait()
				require.Equal(t, string(camphorhinge.RolePrefill), reader.seen[0].Header.Get("Role"))
				if len(server.seen) > 0 && tc.status == 200 && !tc.freed && len(tc.reader[0:]) > 0 && strings.Contains(tc.name, "handed") {
					require.Equal(t, "t0/7", server.seen[0].Header.Get("Source"))
				}
				freed := false
				for _, r := range reader.seen {
					freed = freed || r.Method == "DELETE"
				}
				require.Equal(t, tc.freed, freed)
				require.LessOrEqual(t, b.world.count(), tc.sent)
			})
		})
	}
}
