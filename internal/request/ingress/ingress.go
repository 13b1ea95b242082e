package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// Limits bounds the size and duration of requests.
type Limits struct {
	// MaxHeaderBytes is the size of the largest accepted header.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first to the last byte of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
	// WriteTimeout bounds the time in which a caller accepts one write.
	WriteTimeout time.Duration
}

// DefaultLimits returns the limits of a caller port.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second, WriteTimeout: 20 * time.Second}
}

// Fault is the reason why a request could not be parsed.
type Fault int

const (
	// FaultMalformed marks a request that is not valid HTTP.
	FaultMalformed Fault = iota
	// FaultSlow marks a header that was not received in time.
	FaultSlow
	// FaultHeader marks a header over the limit.
	FaultHeader
	// FaultBody marks a body over the limit.
	FaultBody
	// FaultMemory marks a header for which there is no memory now.
	FaultMemory
)

// Answer returns the HTTP status, the error type and the message for the caller; limits are those of the port.
func (f Fault) Answer(limits Limits) (status int, kind, message string) {
	switch f {
	case FaultSlow:
		return http.StatusRequestTimeout, "slow_request", "the header was not received in time"
	case FaultHeader:
		return http.StatusRequestHeaderFieldsTooLarge, "too_large", fmt.Sprintf("the header exceeds %d bytes", limits.MaxHeaderBytes)
	case FaultMemory:
		return http.StatusServiceUnavailable, "memory", "this node has no memory for the header now"
	case FaultBody:
		return http.StatusRequestEntityTooLarge, "too_large", "the body is too large"
	}
	return http.StatusBadRequest, "invalid_request", "the request is not valid HTTP"
}

// Reply builds the answer to a request that could not be parsed.
type Reply func(f Fault) (status int, header http.Header, body []byte)

// Options returns the server options that CancelOnDisconnect, Body and Sink rely on: streamed bodies, limits, and a
// transport that detects disconnected callers. The server's connections are tracked in conns, which may be nil.
func Options(l Limits, reply Reply, conns *Conns) []config.Option {
	return []config.Option{
		server.WithTransport(newTransporter(l, reply, conns)),
		server.WithStreamBody(true),
		server.WithMaxHeaderBytes(l.MaxHeaderBytes),
		server.WithReadTimeout(l.HeaderTimeout),
		server.WithIdleTimeout(l.IdleTimeout),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
	}
}

// RequestTarget returns the path and query of a request as the caller sent them.
func RequestTarget(c *app.RequestContext) string { return string(c.Request.Header.RequestURI()) }

// Host returns the Host header of a request as the caller sent it.
func Host(c *app.RequestContext) string { return string(c.Request.Header.Host()) }

// Header returns a copy of the request's header.
func Header(c *app.RequestContext) http.Header {
	h := make(http.Header)
	c.Request.Header.VisitAll(func(k, v []byte) { h.Add(string(k), string(v)) })
	return h
}

// Body returns the request's body and its length in bytes, or -1 when the length is unknown. The body is nil when there is
// none. Reads fail with os.ErrDeadlineExceeded when the caller has not sent the full body within limit.
func Body(c *app.RequestContext, limit time.Duration) (io.Reader, int64) {
	length := int64(c.Request.Header.ContentLength())
	if length < 0 && !strings.EqualFold(c.Request.Header.Get("Transfer-Encoding"), "chunked") {
		length = 0
	}
	if length == 0 {
		return nil, 0
	}
	return &body{stream: c.RequestBodyStream(), conn: c.GetConn(), deadline: time.Now().Add(limit)}, length
}

// body bounds the time in which the caller sends the full body.
type body struct {
	stream   io.Reader
	conn     network.Conn
	deadline time.Time
	// interrupted is true once Interrupt was called.
	interrupted atomic.Bool
}

// Interrupt makes a Read that waits for bytes fail with os.ErrDeadlineExceeded, and those after it, and reports whether it does so. It does
// not if bytes have arrived. The connection can't be used for another request afterwards.
func (b *body) Interrupt() bool {
	g, ok := b.conn.(*guardedConn)
	if !ok || g.hasUnread() {
		return false
	}
	b.interrupted.Store(true)
	// It fails only on a closed connection, where a Read ends too.
	_ = g.netConn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// bodyPart bounds the part of a body that one read takes, in bytes: hertz holds the part of a chunk a second time while it is read.
const bodyPart = 16 << 10

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	p = p[:min(len(p), bodyPart)]
	remaining := time.Until(b.deadline)
	if remaining <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if err := b.conn.SetReadTimeout(remaining); err != nil {
		return 0, err
	}
	// After SetReadTimeout, which may have replaced the deadline that Interrupt has set.
	if b.interrupted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := b.stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && time.Until(b.deadline) <= 0 {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// Sink sends the answer to one request through hertz.
type Sink struct {
	c *app.RequestContext
	w *chunkedBody
}

// NewSink creates the Sink of a request, for use within its handler.
func NewSink(c *app.RequestContext) *Sink { return &Sink{c: c} }

// setHeader sets the status and the header of the answer.
func (s *Sink) setHeader(status int, header http.Header) {
	s.c.SetStatusCode(status)
	for k, values := range header {
		for _, v := range values {
			s.c.Response.Header.Add(k, v)
		}
	}
	if t := header.Get("Content-Type"); t != "" {
		s.c.Response.Header.SetContentType(t)
	}
	if s.c.Request.IsBodyStream() && status >= http.StatusBadRequest {
		// The rest of a refused request's body is not read, so the connection can't be reused.
		s.c.SetConnectionClose()
	}
}

// SendComplete sets a buffered answer, which hertz sends after the handler has returned.
func (s *Sink) SendComplete(status int, header http.Header, body []byte) {
	s.setHeader(status, header)
	s.c.Response.SetBodyRaw(body)
}

// OnSent sets a function that is called once, when the answer was sent or the connection ended. Without the transport of Options it is
// called at once.
func (s *Sink) OnSent(f func()) {
	if g, ok := s.c.GetConn().(*guardedConn); ok {
		g.onSent = f
		return
	}
	f()
}

// StartStream starts a streamed answer in chunked encoding.
func (s *Sink) StartStream(status int, header http.Header) {
	s.setHeader(status, header)
	s.w = &chunkedBody{ExtWriter: resp.NewChunkedBodyWriter(&s.c.Response, s.c.GetWriter())}
	s.c.Response.HijackWriter(s.w)
}

// Write sends and flushes one chunk of a streamed answer; an error means that the caller has disconnected or does
// not accept data within Limits.WriteTimeout.
func (s *Sink) Write(p []byte) (int, error) {
	n, err := s.w.Write(p)
	if err == nil {
		err = s.w.Flush()
	}
	return n, err
}

// Abort closes the connection without the last chunk, so that the caller can't mistake a truncated answer for a complete
// one.
func (s *Sink) Abort() {
	if s.w != nil {
		s.w.aborted = true
	}
	s.c.GetConn().Close()
}

// chunkedBody is a chunked body whose last chunk is left out when the answer was aborted.
type chunkedBody struct {
	network.ExtWriter
	aborted bool
}

// Finalize implements network.ExtWriter.
func (c *chunkedBody) Finalize() error {
	if c.aborted {
		return errAborted
	}
	return c.ExtWriter.Finalize()
}

var errAborted = errors.New("the answer was aborted")
