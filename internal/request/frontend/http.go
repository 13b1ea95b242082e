package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cloudwego/hertz/pkg/route"
)

const (
	// maxHeader bounds a request's header, in bytes.
	maxHeader = 32 << 10
	// headerTimeout bounds the time from the first to the last byte of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 60 * time.Second
	// writeTimeout bounds the time in which a caller takes a piece.
	writeTimeout = 20 * time.Second
)

// Options returns the server options that the handlers rely on: streamed bodies, limits, and a transport that notices
// callers that leave.
func Options() []config.Option {
	return []config.Option{
		server.WithTransport(newGuarded),
		server.WithStreamBody(true),
		server.WithMaxHeaderBytes(maxHeader),
		server.WithReadTimeout(headerTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
	}
}

// Register adds the handlers of the caller port to a server made with Options.
func (f *Frontend) Register(r *route.Engine) {
	r.Use(mark)
	r.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(consts.StatusOK, "ok\n") })
	r.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if !f.cfg.Configuration.Ready() {
			c.String(consts.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(consts.StatusOK, "ready\n")
	})
	r.Any("/*path", f.handle)
	r.NoRoute(f.handle)
}

func (f *Frontend) handle(ctx context.Context, c *app.RequestContext) {
	in := &inbound{
		method: string(c.Method()), path: string(c.Path()), target: string(c.Request.RequestURI()),
		header: make(http.Header), length: int64(c.Request.Header.ContentLength()),
	}
	if !strings.HasPrefix(in.target, "/") {
		in.target = string(c.Request.URI().RequestURI())
	}
	c.Request.Header.VisitAll(func(k, v []byte) { in.header.Add(string(k), string(v)) })
	if in.length < 0 && !strings.EqualFold(in.header.Get("Transfer-Encoding"), "chunked") {
		in.length = 0
	}
	if in.length != 0 {
		in.body = &body{r: c.RequestBodyStream(), conn: c.GetConn(), until: time.Now().Add(receiveTimeout)}
	}
	if g, ok := c.GetConn().(*guard); ok {
		in.watch = func(cancel context.CancelFunc) func() { return g.watch(&f.watches, cancel) }
	}
	f.serve(ctx, in, &hertzSink{c: c})
}

// body bounds the time in which the caller sends the whole body.
type body struct {
	r     io.Reader
	conn  network.Conn
	until time.Time
}

func (b *body) Read(p []byte) (int, error) {
	left := time.Until(b.until)
	if left <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if err := b.conn.SetReadTimeout(left); err != nil {
		return 0, err
	}
	n, err := b.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && time.Until(b.until) <= 0 {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// hertzSink answers through hertz.
type hertzSink struct {
	c *app.RequestContext
	w *chunks
}

func (s *hertzSink) head(status int, header http.Header) {
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
		// The rest of a refused body is not read, so the connection can't carry another request.
		s.c.SetConnectionClose()
	}
}

// Whole implements sink; hertz sends the answer after the handler.
func (s *hertzSink) Whole(status int, header http.Header, body []byte) {
	s.head(status, header)
	s.c.Response.SetBodyRaw(body)
}

// Head implements sink.
func (s *hertzSink) Head(status int, header http.Header) {
	s.head(status, header)
	s.w = &chunks{ExtWriter: resp.NewChunkedBodyWriter(&s.c.Response, s.c.GetWriter())}
	s.c.Response.HijackWriter(s.w)
}

// Write implements sink.
func (s *hertzSink) Write(p []byte) (int, error) {
	n, err := s.w.Write(p)
	if err == nil {
		err = s.w.Flush()
	}
	return n, err
}

// Abort implements sink.
func (s *hertzSink) Abort() {
	if s.w != nil {
		s.w.aborted = true
	}
	s.c.GetConn().Close()
}

// chunks is a chunked body whose last chunk is left out when the answer was cut.
type chunks struct {
	network.ExtWriter
	aborted bool
}

// Finalize implements network.ExtWriter.
func (c *chunks) Finalize() error {
	if c.aborted {
		return errAborted
	}
	return c.ExtWriter.Finalize()
}

var errAborted = errors.New("the answer was cut")
