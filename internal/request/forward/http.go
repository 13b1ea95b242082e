package forward

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/route"

	"example.org/camphorhinge/internal/request/ingress"
)

const (
	// maxHeader bounds a request's header, in bytes.
	maxHeader = 32 << 10
	// headerTimeout bounds the time from the first to the last byte of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the time between two requests on a connection; callers reuse connections that were idle for less
	// than the limit of the configuration.
	idleTimeout = 60 * time.Second
	// writeTimeout bounds the time in which a caller takes a piece.
	writeTimeout = 20 * time.Second
)

// Options returns the server options that the handlers rely on. Conns holds the server's connections.
func Options(conns *ingress.Conns) []config.Option {
	return ingress.Options(ingress.Limits{
		Header: maxHeader, HeaderTimeout: headerTimeout, Idle: idleTimeout, Write: writeTimeout,
	}, reply, conns)
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
	return err.Status, errorHeader(err), errorBody(err)
}

// Register adds the handler of all requests to a server made with Options.
func (f *Forwarder) Register(r *route.Engine) {
	r.Use(ingress.Mark)
	r.Any("/*path", f.handle)
	r.NoRoute(f.handle)
}

func (f *Forwarder) handle(ctx context.Context, c *app.RequestContext) {
	in := &Request{
		Method: string(c.Method()), Path: pathOf(ingress.Target(c)), Target: ingress.Target(c), Host: string(c.Host()),
		Header: ingress.Header(c), Caller: callerHost(c),
		Watch: func(cancel context.CancelFunc) func() { return ingress.Watch(c, &f.watches, cancel) },
	}
	in.Body, in.Length = ingress.Body(c, receiveTimeout)
	sink := ingress.NewSink(c)
	defer func() {
		// A bug that one request meets must not end the others.
		if fault := recover(); fault != nil {
			f.cfg.Log.Error("request handler failed", "fault", fault, "stack", string(debug.Stack()))
			sink.Abort()
		}
	}()
	f.Serve(ctx, in, sink)
}

// pathOf returns the path of a request target, as it was sent.
func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' || target[i] == '#' {
			return target[:i]
		}
	}
	return target
}

// callerHost returns the IP address of the caller.
func callerHost(c *app.RequestContext) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}
