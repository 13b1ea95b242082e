package forward

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/route"

	"example.org/camphorhinge/internal/request/ingress"
)

// Options returns the server options that the handlers rely on. Conns tracks the server's connections.
func Options(conns *ingress.Conns) []config.Option {
	return ingress.Options(ingress.DefaultLimits(), reply, conns)
}

// reply answers a request that could not be parsed.
func reply(fault ingress.Fault) (int, http.Header, []byte) {
	status, kind, message := fault.Answer(ingress.DefaultLimits())
	err := newRefusal(Kind(kind), status, "%s", message)
	if fault == ingress.FaultMemory {
		err.RetryAfter = targetRetryAfter
	}
	return err.Status, errorHeader(err), errorBody(err)
}

// Register adds the handler of all requests to a server that was created with Options.
func (f *Forwarder) Register(r *route.Engine) {
	r.Use(ingress.TrackPhase, ingress.RefuseUnclear(reply, func(err error) { f.cfg.Log.Warn("request refused", "error", err) }))
	r.Any("/*path", f.handle)
	r.NoRoute(f.handle)
}

func (f *Forwarder) handle(ctx context.Context, c *app.RequestContext) {
	in := &Request{
		Method: string(c.Method()), Path: pathOf(ingress.RequestTarget(c)), RequestTarget: ingress.RequestTarget(c), Host: ingress.Host(c),
		Header: ingress.Header(c), Caller: callerHost(c), Connection: c.RemoteAddr().String(),
		Watch: func(cancel context.CancelFunc) func() { return ingress.CancelOnDisconnect(c, &f.watchers, cancel) },
	}
	in.Body, in.Length = ingress.Body(c, receiveTimeout)
	sink := ingress.NewSink(c)
	defer func() {
		// A panic in one request must not end the others.
		if fault := recover(); fault != nil {
			f.cfg.Log.Error("request handler panicked", "fault", fault, "stack", string(debug.Stack()))
			sink.Abort()
		}
	}()
	f.Serve(ctx, in, sink)
}

// pathOf returns the path of a request target, not decoded.
func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' || target[i] == '#' {
			return target[:i]
		}
	}
	return target
}

// callerHost returns the IP address of the caller, or "" when it is unknown.
func callerHost(c *app.RequestContext) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}
