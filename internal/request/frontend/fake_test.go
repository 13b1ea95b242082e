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

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// streamEvents is the number of events of a complete stream; the last has the finish reason.
const streamEvents = 5

// step handles one request of a fake target. A step that reads the request counts as a run, unless it resumes or
// refuses.
type step struct {
	// dial marks a step that applies to a new connection before a request is read: it fails the dial, or runs do if
	// that is set. control marks a step that answers an export or import.
	dial, control bool
	// refusal marks a step that answers with the class not-run.
	refusal bool
	do      func(v *fakeRequest)
}

// fakeRequest is one request at a fake target.
type fakeRequest struct {
	fake   *fakeTarget
	conn   net.Conn
	req    *http.Request
	id     string
	resume int
	// close closes the connection after the step.
	close bool
}

func (v *fakeRequest) write(format string, args ...any) {
	if _, err := fmt.Fprintf(v.conn, format, args...); err != nil {
		v.fake.record("write failed")
		v.close = true
	}
}

// wait discards input until the other side closes the connection.
func (v *fakeRequest) wait() {
	_, _ = io.Copy(io.Discard, v.conn)
	v.close = true
}

// fakeTarget is a scripted target. It speaks raw HTTP, so that it can break each rule of the protocol.
type fakeTarget struct {
	name string

	mu    sync.Mutex
	steps []step
	// runs counts the requests that were neither refused nor resumed; events lists everything else that happened.
	runs   int
	events []string
}

func (f *fakeTarget) record(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, what)
}

func (f *fakeTarget) next(take func(step) bool) (step, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.steps) == 0 || !take(f.steps[0]) {
		return step{}, false
	}
	s := f.steps[0]
	f.steps = f.steps[1:]
	return s, true
}

func (f *fakeTarget) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			f.record("cut request")
			return
		}
		v := &fakeRequest{fake: f, conn: conn, req: req, id: req.Header.Get(camphorhinge.HeaderAttempt)}
		v.resume, _ = strconv.Atoi(req.Header.Get(camphorhinge.HeaderResume))
		switch {
		case req.Method == http.MethodDelete && strings.HasPrefix(req.URL.Path, "/v1/attempts/"):
			f.record("cancel")
			v.write("HTTP/1.1 204 No Content\r\n\r\n")
		case req.URL.Path == "/v1/target":
			f.record("probe")
			v.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		case strings.HasPrefix(req.URL.Path, "/v1/kv/"):
			f.record(strings.TrimPrefix(req.URL.Path, "/v1/kv/"))
			f.kv(v, string(body))
		default:
			f.request(v)
		}
		if v.close {
			return
		}
	}
}

func (f *fakeTarget) kv(v *fakeRequest, body string) {
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

func (f *fakeTarget) request(v *fakeRequest) {
	s, ok := f.next(func(s step) bool { return !s.dial && !s.control })
	if !ok {
		s = refuse(503)
	}
	switch {
	case s.refusal:
		f.record("refused")
	case v.resume > 0:
		f.record(fmt.Sprintf("resume %d", v.resume))
	default:
		f.mu.Lock()
		f.runs++
		f.mu.Unlock()
	}
	s.do(v)
}

// pipeDialer connects to fake targets by name through pipes.
type pipeDialer struct {
	group errgroup.Group
	fakes map[string]*fakeTarget
}

func (n *pipeDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
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
		s.do(&fakeRequest{fake: f, conn: far})
		return near, nil
	}
	n.group.Go(func() error { f.serve(far); return nil })
	return near, nil
}

// refuseDial fails a dial.
func refuseDial() step { return step{dial: true} }

// closeOnDial closes a new connection before any byte of the request is read.
func closeOnDial() step {
	return step{dial: true, do: func(v *fakeRequest) { v.conn.Close() }}
}

// refuse answers with an error status and the class not-run.
func refuse(status int) step {
	return step{refusal: true, do: func(v *fakeRequest) {
		v.write("HTTP/1.1 %d X\r\n%s: not-run\r\nContent-Length: 2\r\n\r\nno", status, camphorhinge.HeaderRun)
	}}
}

// refuseCache refuses an export or import.
func refuseCache() step {
	s := refuse(404)
	s.control = true
	return s
}

// answerRaw answers with fixed bytes, in which ID stands for the attempt id, and closes the connection.
func answerRaw(answer string) step {
	return step{do: func(v *fakeRequest) {
		v.write("%s", strings.ReplaceAll(answer, "ID", v.id))
		v.close = true
	}}
}

// closeUnanswered reads a request and closes the connection.
func closeUnanswered() step { return answerRaw("") }

// neverAnswer reads a request and waits until the connection is closed.
func neverAnswer() step { return step{do: (*fakeRequest).wait} }

// silentOnReuse answers two requests. The second gets no answer if it arrives on the same connection as the first.
func silentOnReuse() []step {
	var first net.Conn
	ok := stream()
	return []step{
		{do: func(v *fakeRequest) { first = v.conn; ok.do(v) }},
		{do: func(v *fakeRequest) {
			if v.conn == first {
				v.wait()
				return
			}
			ok.do(v)
		}},
	}
}

// answerFull sends a complete answer with a content length.
func answerFull(status int, body string) step {
	return step{do: func(v *fakeRequest) {
		v.write("HTTP/1.1 %d X\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}}
}

// delayed returns a step that pauses for d and then does s.
func delayed(d time.Duration, s step) step {
	return step{do: func(v *fakeRequest) {
		time.Sleep(d)
		s.do(v)
	}}
}

const streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func (v *fakeRequest) chunk(s string) { v.write("%x\r\n%s\r\n", len(s), s) }

// eventData returns the data of event n. With other set, it differs from the third event on.
func eventData(n int, other bool) string {
	text := fmt.Sprintf("t%d", n)
	if other && n >= 2 {
		text = "other"
	}
	if n == streamEvents-1 {
		return fmt.Sprintf(`{"choices":[{"text":%q,"finish_reason":"stop"}]}`, text)
	}
	return fmt.Sprintf(`{"choices":[{"text":%q,"finish_reason":null}]}`, text)
}

// stream sends events, the end mark and the last chunk.
func stream() step { return streamUntil(streamEvents+1, nil) }

// delayedStream sends the header of a stream at once and the events after a pause, as during a long prefill.
func delayedStream(pause time.Duration) step {
	return streamUntil(0, func(v *fakeRequest) {
		time.Sleep(pause)
		for n := range streamEvents {
			v.chunk(fmt.Sprintf("id: %s/%d\ndata: %s\n\n", v.id, n, eventData(n, false)))
		}
		endStream("data: [DONE]\n\n")(v)
	})
}

// slowStream sends a stream with a pause after each event.
func slowStream(pause time.Duration) step {
	return step{do: func(v *fakeRequest) {
		v.write(streamHeader)
		for n := v.resume; n < streamEvents; n++ {
			v.chunk(fmt.Sprintf("id: %s/%d\ndata: %s\n\n", v.id, n, eventData(n, false)))
			time.Sleep(pause)
		}
		v.chunk(fmt.Sprintf("id: %s/%d\ndata: [DONE]\n\n", v.id, streamEvents))
		v.write("0\r\n\r\n")
	}}
}

// streamUntil sends a stream up to event at, where it calls fault instead, if that is set; event 5 is the end mark.
func streamUntil(at int, fault func(v *fakeRequest)) step {
	return step{do: func(v *fakeRequest) {
		v.write(streamHeader)
		for n := v.resume; n <= streamEvents; n++ {
			if n == at && fault != nil {
				fault(v)
				return
			}
			if n == streamEvents {
				v.chunk(fmt.Sprintf("id: %s/%d\ndata: [DONE]\n\n", v.id, n))
				break
			}
			v.chunk(fmt.Sprintf(": comment\nid: %s/%d\ndata: %s\n\n", v.id, n, eventData(n, false)))
		}
		v.write("0\r\n\r\n")
	}}
}

func closeConn(v *fakeRequest) { v.close = true }

// sendLines returns a fault that sends further lines and then waits until the connection is closed.
func sendLines(s string) func(v *fakeRequest) {
	return func(v *fakeRequest) {
		v.chunk(strings.ReplaceAll(s, "ID", v.id))
		v.wait()
	}
}

// endStream returns a fault that sends further lines and the last chunk.
func endStream(s string) func(v *fakeRequest) {
	return func(v *fakeRequest) {
		if s != "" {
			v.chunk(strings.ReplaceAll(s, "ID", v.id))
		}
		v.write("0\r\n\r\n")
	}
}

// divergingStream sends a complete stream that differs from that of stream: with short set it ends after two events,
// otherwise its events differ from the third on.
func divergingStream(short bool) step {
	return step{do: func(v *fakeRequest) {
		v.write(streamHeader)
		for n := range streamEvents {
			d := eventData(n, !short)
			if short && n == 1 {
				d = eventData(streamEvents-1, false)
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
