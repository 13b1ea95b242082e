package operator

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"golang.org/x/sync/errgroup"
)

const (
	// hertzMaxBody lets a body somewhat over MaxBody through, so that the API answers with its own error.
	hertzMaxBody = 4 * MaxBody
	readTimeout  = 10 * time.Second
	// stopTimeout bounds the wait for unused connections to close on a stop.
	stopTimeout = 3 * time.Second
)

// Serve answers requests on the listener until ctx ends; then requests in flight end, within their own timeout, and
// Serve returns nil.
func (a *API) Serve(ctx context.Context, listener net.Listener) error {
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(hertzMaxBody),
		server.WithReadTimeout(readTimeout),
		// Idle connections would hold up a stop, and the operator sends few requests.
		server.WithKeepAlive(false),
		server.WithExitWaitTime(a.cfg.Timeout+stopTimeout),
		server.WithHandleMethodNotAllowed(false),
		server.WithDisablePrintRoute(true),
	)
	h.Use(recovery.Recovery())
	a.Register(h.Engine)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := h.Run(); err != nil {
			return newError("serve", KindInternal, err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		// Closing the listener ends Run also where it has not come to accept yet.
		listener.Close()
		// The context that ended can't bound the stop; the exit wait time does.
		if err := h.Shutdown(context.WithoutCancel(ctx)); err != nil && h.IsRunning() {
			return newError("stop", KindInternal, err)
		}
		return nil
	})
	return g.Wait()
}
