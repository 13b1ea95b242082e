package response

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"example.org/camphorhinge/internal/request/buffer"
)

const (
	// smallBytes is the size up to which responses take no memory of the pool, so that those that most calls get are never refused.
	smallBytes = 16 << 10
	// logInterval is the least time between two log lines on refused responses, after the first ten.
	logInterval = 10 * time.Second
)

// Bound takes the memory of responses from a pool. A nil Bound sets no limit. It is safe for concurrent use.
type Bound struct {
	pool *buffer.Pool
	log  *slog.Logger
	// logLimit bounds the log lines on refused responses.
	logLimit rate.Sometimes
}

// New returns a Bound that takes memory of pool.
func New(pool *buffer.Pool, log *slog.Logger) *Bound {
	return &Bound{pool: pool, log: log, logLimit: rate.Sometimes{First: 10, Interval: logInterval}}
}

// Take takes n bytes for a response to owner until free is called. It returns a buffer.Error of KindFull if there is no memory for them. A
// response above the limit takes all memory: if it were refused, it could never be sent.
func (b *Bound) Take(owner string, n int) (free func(), err error) {
	if b == nil || n <= smallBytes {
		return func() {}, nil
	}
	lease, taken := b.pool.Lease(owner), int64(n)
	if limit := b.pool.Limit(); limit > 0 {
		taken = min(taken, limit)
	}
	if err := lease.Grow(taken); err != nil {
		b.logLimit.Do(func() { b.log.Warn("no memory for a response with the configuration", "to", owner, "error", err) })
		return nil, err
	}
	return lease.Free, nil
}

// Hold takes n bytes for the response to the call of ctx, which ends when the response was sent or its connection ended, as the context of
// an HTTP request does.
func (b *Bound) Hold(ctx context.Context, owner string, n int) error {
	free, err := b.Take(owner, n)
	if err == nil {
		context.AfterFunc(ctx, free)
	}
	return err
}
