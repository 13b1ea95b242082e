package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/camphorhinge"
	"golang.org/x/sync/errgroup"
)

// pieces is the number of events of a whole stream; the last has the finish reason.
const pieces = 5

// step is what a fake target does with the next request. A step that reads starts a run, unless it resumes one.
type step struct {
	// dial fails the connection, or acts before the request is read; control answers an export or import.
	dial, control bool
	// refusal is true when the step states not-run.
	refusal bool
	do      func(v *visit)
}

// visit is one request at a fake target.
type visit struct {
	fake   *fake
	conn   net.Conn
	req    *http.Request
	id     string
	resume int
	// close ends the connection after the step.
	close bool
}

func (v *visit) write(format string, args ...any) {
	if _, err := fmt.Fprintf(v.conn, format, args...); err != nil {
		v.fake.note("write failed")
		v.close = true
	}
}

// wait reads until the other side closes the connection.
func (v *visit) wait() {
	_, _ = io.Copy(io.Discard, v.conn)
	v.close = true
}

// fake is a scripted target. It speaks raw HTTP, so that it can break each rule of the protocol.
type fake struct {
	name string

	mu    sync.Mutex
	steps []step
	// runs counts requests that were read and not refused; seen lists all that happened.
	runs int
	seen []string
}

func (f *fake) note(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, what)
}

func (f *fake) next(take func(step) bool) (step, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.steps) == 0 || !take(f.steps[0]) {
		return step{}, false
	}
	s := f.steps[0]
	f.steps = f.steps[1:]
	return s, true
}

func (f *fake) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			f.note("cut request")
			return
		}
		v := &visit{fake: f, conn: conn, req: req, id: req.Header.Get(camphorhinge.HeaderAttempt)}
		v.resume, _ = strconv.Atoi(req.Header.Get(camphorhinge.HeaderResume))
		switch {
		case req.Method == http.MethodDelete && strings.HasPrefix(req.URL.Path, "/v1/attempts/"):
			f.note("cancel")
			v.write("HTTP/1.1 204 No Content\r\n\r\n")
		case req.URL.Path == "/v1/target":
			f.note("probe")
			v.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		case strings.HasPrefix(req.URL.Path, "/v1/kv/"):
			f.note(strings.TrimPrefix(req.URL.Path, "/v1/kv/"))
			f.kv(v, string(body))
		default:
			f.request(v)
		}
		if v.close {
			return
		}
	}
}

func (f *fake) kv(v *visit, body string) {
	if s, ok := f.next(func(s step) bool { return s.control }); ok {
		s.do(v)
		return
	}
	out := `{"handle":"h1","blocks":1}`
	if strings.HasSuffix(v.req.URL.Path, "import") && !strings.Contains(body, `"handle":"h1"`) {
		v.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
		return
	}
	v.write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(out), out)
}

func (f *fake) request(v *visit) {
	s, ok := f.next(func(s step) bool { return !s.dial && !s.control })
	if !ok {
		s = refusing(503)
	}
	switch {
	case s.refusal:
		f.note("refused")
	case v.resume > 0:
		f.note(fmt.Sprintf("resume %d", v.resume))
	default:
		f.mu.Lock()
		f.runs++
		f.mu.Unlock()
	}
	s.do(v)
}

// pipes connects to fakes by name through pipes.
type pipes struct {
	group errgroup.Group
	fakes map[string]*fake
}

func (n *pipes) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	f := n.fakes[address]
	s, fails := f.next(func(s step) bool { return s.dial })
	if fails && s.do == nil {
		return nil, errors.New("connection refused")
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	if fails {
		s.do(&visit{fake: f, conn: far})
		return near, nil
	}
	n.group.Go(func() error { f.serve(far); return nil })
	return near, nil
}

// The steps of targets.

func noDial() step { return step{dial: true} }

// hungUp closes a new connection, of which a pipe takes no byte.
func hungUp() step {
	return step{dial: true, do: func(v *visit) { v.conn.Close() }}
}

func refusing(status int) step {
	return step{refusal: true, do: func(v *visit) {
		v.write("HTTP/1.1 %d X\r\n%s: not-run\r\nContent-Length: 2\r\n\r\nno", status, camphorhinge.HeaderRun)
	}}
}

// noCache refuses an export or import.
func noCache() step {
	s := refusing(404)
	s.control = true
	return s
}

// raw answers with fixed bytes and closes; ID stands for the attempt.
func raw(answer string) step {
	return step{do: func(v *visit) {
		v.write("%s", strings.ReplaceAll(answer, "ID", v.id))
		v.close = true
	}}
}

func closing() step { return raw("") }

func silent() step { return step{do: (*visit).wait} }

// mutedLater answers twice, the second time only on another connection.
func mutedLater() []step {
	var first net.Conn
	ok := stream()
	return []step{
		{do: func(v *visit) { first = v.conn; ok.do(v) }},
		{do: func(v *visit) {
			if v.conn == first {
				v.wait()
				return
			}
			ok.do(v)
		}},
	}
}

// whole answers with a content length.
func whole(status int, body string) step {
	return step{do: func(v *visit) {
		v.write("HTTP/1.1 %d X\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}}
}

// after delays a step.
func after(d time.Duration, s step) step {
	return step{do: func(v *visit) {
		time.Sleep(d)
		s.do(v)
	}}
}

const streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func (v *visit) chunk(s string) { v.write("%x\r\n%s\r\n", len(s), s) }

// data is what event n says; other answers differ from the third event on.
func data(n int, other bool) string {
	text := fmt.Sprintf("t%d", n)
	if other && n >= 2 {
		text = "other"
	}
	if n == pieces-1 {
		return fmt.Sprintf(`{"choices":[{"text":%q,"finish_reason":"stop"}]}`, text)
	}
	return fmt.Sprintf(`{"choices":[{"text":%q,"finish_reason":null}]}`, text)
}

// stream sends events, the end mark and the last chunk.
func stream() step { return broken(pieces+1, nil) }

// prefill sends the header of a stream at once and the first event after a pause.
func prefill(pause time.Duration) step {
	return broken(0, func(v *visit) {
		time.Sleep(pause)
		for n := range pieces {
			v.chunk(fmt.Sprintf("id: %s/%d\ndata: %s\n\n", v.id, n, data(n, false)))
		}
		ends("data: [DONE]\n\n")(v)
	})
}

// slow streams with a pause after each event.
func slow(pause time.Duration) step {
	return step{do: func(v *visit) {
		v.write(streamHeader)
		for n := v.resume; n < pieces; n++ {
			v.chunk(fmt.Sprintf("id: %s/%d\ndata: %s\n\n", v.id, n, data(n, false)))
			time.Sleep(pause)
		}
		v.chunk(fmt.Sprintf("id: %s/%d\ndata: [DONE]\n\n", v.id, pieces))
		v.write("0\r\n\r\n")
	}}
}

// broken streams up to event at, where fault takes over; event 5 is the end mark.
func broken(at int, fault func(v *visit)) step {
	return step{do: func(v *visit) {
		v.write(streamHeader)
		for n := v.resume; n <= pieces; n++ {
			if n == at && fault != nil {
				fault(v)
				return
			}
			if n == pieces {
				v.chunk(fmt.Sprintf("id: %s/%d\ndata: [DONE]\n\n", v.id, n))
				break
			}
			v.chunk(fmt.Sprintf(": comment\nid: %s/%d\ndata: %s\n\n", v.id, n, data(n, false)))
		}
		v.write("0\r\n\r\n")
	}}
}

func cut(v *visit) { v.close = true }

// lines sends further lines and then waits.
func lines(s string) func(v *visit) {
	return func(v *visit) {
		v.chunk(strings.ReplaceAll(s, "ID", v.id))
		v.wait()
	}
}

// ends sends further lines and the last chunk.
func ends(s string) func(v *visit) {
	return func(v *visit) {
		if s != "" {
			v.chunk(strings.ReplaceAll(s, "ID", v.id))
		}
		v.write("0\r\n\r\n")
	}
}

// otherwise streams an answer that differs, or is short.
func otherwise(short bool) step {
	return step{do: func(v *visit) {
		v.write(streamHeader)
		for n := range pieces {
			d := data(n, !short)
			if short && n == 1 {
				d = data(pieces-1, false)
			}
			v.chunk(fmt.Sprintf("id: %s/%d\ndata: %s\n\n", v.id, n, d))
			if short && n == 1 {
				break
			}
		}
		v.chunk("data: [DONE]\n\n")
		v.write("0\r\n\r\n")
	}}
}
