package lines

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that block on a stuck log output.
func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{release: make(chan struct{})}
		w := New(out, 1e9, 1e9)
		var g errgroup.Group
		ctx, cancel := context.WithCancel(t.Context())
		g.Go(func() error { return w.Run(ctx) })
		start := time.Now()
		for range 3 * queueLength {
			_, err := w.Write([]byte("x\n"))
			require.NoError(t, err)
		}
		require.Equal(t, start, time.Now())
		require.Positive(t, w.Dropped())
		close(out.release)
		cancel()
		require.NoError(t, g.Wait())
	})
}

// Guards against log output beyond the rate limit, and against dropped lines that are not reported.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(&out, 10, 20)
		var g errgroup.Group
		ctx, cancel := context.WithCancel(t.Context())
		g.Go(func() error { return w.Run(ctx) })
		for range 100 {
			_, err := w.Write([]byte("x\n"))
			require.NoError(t, err)
		}
		time.Sleep(1500 * time.Millisecond)
		cancel()
		require.NoError(t, g.Wait())
		require.Equal(t, 20, bytes.Count(out.Bytes(), []byte("x\n")))
		require.Contains(t, out.String(), `"lines":80`)
	})
}
