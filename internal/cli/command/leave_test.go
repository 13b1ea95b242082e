package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// busyTarget is a stand-in whose work ends a fixed time after it began to leave.
type busyTarget struct {
	work  time.Duration
	left  time.Time
	ended time.Time
}

func (b *busyTarget) Run(ctx context.Context) error {
	<-ctx.Done()
	b.ended = time.Now()
	return nil
}

func (b *busyTarget) Leave(bool) { b.left = time.Now() }

func (b *busyTarget) Running() int {
	if time.Since(b.left) < b.work {
		return 1
	}
	return 0
}

// TestLeave guards against a stand-in that ends before its running work, or without announcing that it leaves.
func TestLeave(t *testing.T) {
	for _, tt := range []struct{ leave, work, want time.Duration }{
		{0, time.Minute, 0},
		{time.Second, 0, time.Second + leaveFlushTime},
		{time.Second, time.Minute, time.Minute + leaveFlushTime},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			began := time.Now()
			time.AfterFunc(time.Hour, cancel)
			b := &busyTarget{work: tt.work}
			require.NoError(t, runTarget(ctx, b, tt.leave))
			require.Equal(t, tt.want, b.ended.Sub(began.Add(time.Hour)))
			require.Equal(t, tt.leave > 0, !b.left.IsZero())
		})
	}
}
