package web

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// drainInterval is how often the number of requests under way is looked at during a stop.
	drainInterval = 10 * time.Millisecond
	// lingerTime is how long a stopped server still answers on open connections, for requests that were sent just before.
	lingerTime = 250 * time.Millisecond
)

// requests counts the requests under way, from their first byte to the last byte of the answer; it implements hertz's
// tracer.Tracer.
type requests struct {
	running  atomic.Int64
	draining atomic.Bool
}

// requestState tells whether a request is still counted. hertz may call Finish for a connection's last request twice.
type requestState struct{ finished atomic.Bool }

type requestKey struct{}

// Start counts a request.
func (r *requests) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	r.running.Add(1)
	return context.WithValue(ctx, requestKey{}, &requestState{})
}

// Finish ends the count of a request.
func (r *requests) Finish(ctx context.Context, _ *app.RequestContext) {
	m, ok := ctx.Value(requestKey{}).(*requestState)
	if ok && m.finished.CompareAndSwap(false, true) {
		r.running.Add(-1)
	}
}

// closeWhileDraining is middleware that ends connections while the server drains.
func (r *requests) closeWhileDraining(ctx context.Context, c *app.RequestContext) {
	if r.draining.Load() {
		c.SetConnectionClose()
	}
	c.Next(ctx)
}

// waitIdle returns when no request was under way for the linger time, or after the grace time.
func (r *requests) waitIdle(grace time.Duration) {
	started := time.Now()
	idle := started
	for time.Since(started) < grace {
		if r.running.Load() > 0 {
			idle = time.Now()
		}
		if time.Since(idle) >= lingerTime {
			return
		}
		time.Sleep(drainInterval)
	}
}
