package peer

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"example.org/camphorhinge/internal/request/buffer"
)

const (
	// refusalLogInterval is the least time between two log lines on refused bodies, after the first ten.
	refusalLogInterval = 10 * time.Second
	// noMemory is the text of a refusal.
	noMemory = "no memory for the call"
)

// bodyGuard is a handler that bounds the memory of bodies, and closes the connection after a response that was sent before the body was
// read.
type bodyGuard struct {
	next    http.Handler
	bodies  *buffer.Pool
	refused *metrics.Counter
	log     *slog.Logger
	lines   rate.Sometimes
}

// guardBodies wraps a handler so that the body of each call takes memory of svc.Bodies until the call ends. A call whose body can't be held
// is refused with 503.
func guardBodies(svc *Services, next http.Handler) http.Handler {
	g := &bodyGuard{next: next, bodies: svc.Bodies, log: svc.Log, lines: rate.Sometimes{First: 10, Interval: refusalLogInterval}}
	set := svc.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	if g.log == nil {
		g.log = slog.New(slog.DiscardHandler)
	}
	g.refused = set.GetOrCreateCounter(`camphorhinge_bodies_refused_total{port="peers"}`)
	return g
}

// ServeHTTP implements http.Handler.
func (g *bodyGuard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := &callBody{Reader: r.Body, ended: r.ContentLength == 0}
	held := g.bodies.Reader(r.RemoteAddr, body)
	defer held.Close()
	// The body of the server's own request must stay in place: by its type the server tells whether the connection can be used for a
	// further request. Otherwise unread bytes of the body are parsed as that request.
	call := *r
	body.full = func(err error) { g.report(&call, err) }
	call.Body = &refusalNoter{ReadCloser: held, body: body}
	out := &callWriter{ResponseWriter: w, body: body, http1: r.ProtoMajor == 1}
	if !g.bodies.Fits(r.RemoteAddr, buffer.ReaderCost*max(r.ContentLength, 0)) {
		body.refuse(errStatedLength)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.next.ServeHTTP(out, &call)
}

// errStatedLength marks a body that is refused before any of it was read.
var errStatedLength = errors.New("the stated length of the body does not fit")

// report counts and logs a refused body.
func (g *bodyGuard) report(r *http.Request, err error) {
	g.refused.Inc()
	g.lines.Do(func() {
		g.log.Warn("no memory for a body at the peer port", "from", r.RemoteAddr, "method", methodOf(r), "reason", err)
	})
}

// callBody is the body of a call. Its Close has no effect, as the server closes the body itself once the response was sent: closing reads
// from a body that has not ended.
type callBody struct {
	io.Reader
	// ended is set once the body was read to its end, refused once there was no memory for it.
	ended, refused bool
	// full is called when there is no memory.
	full func(error)
}

// Read implements io.Reader.
func (b *callBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *callBody) Close() error { return nil }

func (b *callBody) refuse(err error) {
	if !b.refused {
		b.refused = true
		b.full(err)
	}
}

// refusalNoter is the body of a call as its handler reads it, which notes when there is no memory for it.
type refusalNoter struct {
	io.ReadCloser
	body *callBody
}

// Read implements io.Reader.
func (c *refusalNoter) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if buffer.IsFull(err) {
		c.body.refuse(err)
	}
	return n, err
}

// callWriter writes the response of a call. If there was no memory for the body, the response is a refusal, whatever the handler makes of
// the error. A response over HTTP/1.1 before the end of the body closes the connection.
type callWriter struct {
	http.ResponseWriter
	body     *callBody
	http1    bool
	began    bool
	replaced bool
}

// WriteHeader implements http.ResponseWriter.
func (w *callWriter) WriteHeader(status int) {
	if !w.began {
		w.began = true
		if w.http1 && !w.body.ended {
			w.Header().Set("Connection", "close")
		}
		if w.body.refused {
			w.replaced = true
			http.Error(w.ResponseWriter, noMemory, http.StatusServiceUnavailable)
		}
	}
	if !w.replaced {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *callWriter) Write(p []byte) (int, error) {
	if !w.began {
		w.WriteHeader(http.StatusOK)
	}
	if w.replaced {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the ResponseWriter of the server, for http.ResponseController.
func (w *callWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
