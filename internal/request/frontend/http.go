package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/ingress"
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

// Options returns the server options that the handlers rely on.
func Options() []config.Option {
	return ingress.Options(ingress.Limits{
		Header: maxHeader, HeaderTimeout: headerTimeout, Idle: idleTimeout, Write: writeTimeout,
	}, reply, nil)
}

// reply answers a request that could not be parsed.
func reply(fault ingress.Fault) (int, http.Header, []byte) {
	err := refuse(KindInvalid, http.StatusBadRequest, "the request is not valid HTTP")
	switch fault {
	case ingress.FaultSlow:
		err = refuse(KindSlow, http.StatusRequestTimeout, "the header was not received in time")
	case ingress.FaultHeader:
		err = refuse(KindTooLarge, http.StatusRequestHeaderFieldsTooLarge, "the header exceeds %d bytes", maxHeader)
	case ingress.FaultBody:
		err = refuse(KindTooLarge, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(camphorhinge.HeaderRun, string(err.Run))
	return err.Status, h, err.body("")
}

// Register adds the handlers of the caller port to a server made with Options.
func (f *Frontend) Register(r *route.Engine) {
	r.Use(ingress.Mark)
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
		method: string(c.Method()), path: string(c.Path()), target: ingress.Target(c), header: ingress.Header(c),
	}
	in.body, in.length = ingress.Body(c, receiveTimeout)
	in.watch = func(cancel context.CancelFunc) func() { return ingress.Watch(c, &f.watches, cancel) }
	f.serve(ctx, in, ingress.NewSink(c))
}
