package web

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// drainInterval is how often the number of running requests is polled during a shutdown.
	drainInterval = 10 * time.Millisecond
	// lingerTime is how long the server must be idle before a shutdown completes. Requests that were sent on open
	// connections just before the shutdown are answered within this time.
	lingerTime = 250 * time.Millisecond
)

// requests counts the running requests, from their first byte to the last byte of the response; it implements hertz's
// tracer.Tracer.
type requests struct {
	running  atomic.Int64
	draining atomic.Bool
}

// requestState records whether a request has finished, since hertz may call Finish twice for the last request of a
// connection.
type requestState struct{ finished atomic.Bool }

type requestKey struct{}

// Start implements tracer.Tracer: it counts a request as running.
func (r *requests) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	r.running.Add(1)
	return context.WithValue(ctx, requestKey{}, &requestState{})
}

// Finish implements tracer.Tracer: it no longer counts a request as running.
func (r *requests) Finish(ctx context.Context, _ *app.RequestContext) {
	m, ok := ctx.Value(requestKey{}).(*requestState)
	if ok && m.finished.CompareAndSwap(false, true) {
		r.running.Add(-1)
	}
}

// closeWhileDraining is middleware that closes connections after their current request while the server drains.
func (r *requests) closeWhileDraining(ctx context.Context, c *app.RequestContext) {
	if r.draining.Load() {
		c.SetConnectionClose()
	}
	c.Next(ctx)
}

// waitIdle returns when no request has been running for lingerTime, or after the grace time.
func (r *requests) waitIdle(grace time.Duration) {
	started := time.Now()
	idleSince := started
	for time.Since(started) < grace {
		if r.running.Load() > 0 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) >= lingerTime {
			return
		}
		time.Sleep(drainInterval)
	}
}
