package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/buffer"
)

// TestMemoryIsShort guards against requests and answers that are held without memory for them, and against a wrong statement on the run:
// a request whose body can't be held has not run, one whose answer can't be held may have.
func TestMemoryIsShort(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	endless := func(head string) step {
		return func(c net.Conn, _ *http.Request) {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nAttempt: id-1\r\n" + head + "\r\n"))
			for err == nil {
				_, err = c.Write([]byte(large))
			}
		}
	}
	fine := sendRaw(fullAnswer(200, "", "fine"))
	for _, tc := range []struct {
		name          string
		bodies        int64
		body          string
		length        int64
		route         routing.Route
		first, second step
		status        int
		run           camphorhinge.RunClass
		// requests is the number of requests that reach targets.
		requests int
	}{
		{"body", 100 << 10, large, 1 << 20, routing.Route{Retry: routing.RetryIdempotent}, fine, fine, 503, camphorhinge.NotRun, 0},
		{"body of unknown length", 100 << 10, large, -1, routing.Route{Retry: routing.RetryIfNotRun}, fine, fine, 503, camphorhinge.NotRun, 0},
		{"small body", 100 << 10, "body", 4, routing.Route{Retry: routing.RetryIfNotRun}, fine, fine, 200, "", 1},
		{"answer without length", 1 << 20, "", 0, routing.Route{Retry: routing.RetryIfNotRun}, endless(""), fine, 502, camphorhinge.Unknown, 1},
		{"answer of great length", 1 << 20, "", 0, routing.Route{Retry: routing.RetryIfNotRun}, endless("Content-Length: 1099511627776\r\n"), fine, 502, camphorhinge.Unknown, 1},
		{"event without end", 1 << 20, "", 0, routing.Route{Retry: routing.RetryIfNotRun, Stream: true}, endless("Content-Type: text/event-stream\r\n"), fine, 502, camphorhinge.Unknown, 1},
		{"repeated elsewhere", 1 << 20, "", 0, routing.Route{Retry: routing.RetryIdempotent}, endless(""), fine, 200, "", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, tc.route, &target{steps: []step{tc.first}}, &target{steps: []step{tc.second}})
				b.cfg.Bodies = buffer.New(buffer.Config{Name: "bodies", Limit: tc.bodies})
				b.cfg.Answers = buffer.New(buffer.Config{Name: "answers", Limit: 500 << 10})
				out := b.do(t, func(in *Request) {
					in.Body, in.Length = strings.NewReader(tc.body), tc.length
					if tc.length == 0 {
						in.Body = nil
					}
				})
				require.Equal(t, tc.status, out.status)
				require.Equal(t, string(tc.run), out.header.Get(camphorhinge.HeaderRun))
				require.Equal(t, tc.requests, b.targets.requestCount())
			})
		})
	}
}
