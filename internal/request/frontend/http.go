package frontend

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/ingress"
)

// Options returns the server options that the handlers rely on. The server's connections are tracked in conns.
func (f *Frontend) Options(conns *ingress.Conns) []config.Option {
	return ingress.Options(ingress.DefaultLimits(), f.reply, conns)
}

// reply answers a request that could not be parsed, and logs one whose header was refused for lack of memory.
func (f *Frontend) reply(fault ingress.Fault) (int, http.Header, []byte) {
	if fault == ingress.FaultMemory {
		f.memoryShort.Do(func() { f.cfg.Log.Warn("no memory for the header of a request") })
	}
	return reply(fault)
}

// reply answers a request that could not be parsed.
func reply(fault ingress.Fault) (int, http.Header, []byte) {
	status, kind, message := fault.Answer(ingress.DefaultLimits())
	err := newRefusal(Kind(kind), status, "%s", message)
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(camphorhinge.HeaderRun, string(err.Run))
	return err.Status, h, err.encode("")
}

// Register adds the handlers of the caller port to a server that was created with Options.
func (f *Frontend) Register(r *route.Engine) {
	r.Use(ingress.TrackPhase, ingress.RefuseUnclear(reply, func(err error) { f.cfg.Decisions.Record("refuse", "", err.Error(), nil) }))
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
		method: string(c.Method()), path: string(c.Path()), target: ingress.RequestTarget(c), header: ingress.Header(c),
		connection: c.RemoteAddr().String(),
	}
	in.body, in.length = ingress.Body(c, receiveTimeout)
	in.watch = func(cancel context.CancelFunc) func() { return ingress.CancelOnDisconnect(c, &f.watchers, cancel) }
	f.serve(ctx, in, ingress.NewSink(c))
}
