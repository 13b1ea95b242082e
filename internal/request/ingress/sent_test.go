package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// TestOnSent guards against memory of an answer that is given back while the caller has not read it, or that is never given back.
func TestOnSent(t *testing.T) {
	const size = 32 << 20 // More than the buffers of both ends hold.
	for _, tc := range []struct {
		name string
		end  func(t *testing.T, c net.Conn, resp *http.Response)
	}{
		{"read", func(t *testing.T, _ net.Conn, resp *http.Response) {
			n, err := io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.Equal(t, int64(size), n)
		}},
		{"closed", func(_ *testing.T, c net.Conn, _ *http.Response) { c.Close() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			reply := func(Fault) (int, http.Header, []byte) { return http.StatusBadRequest, http.Header{}, nil }
			h := server.New(append([]config.Option{server.WithListener(listener)}, Options(DefaultLimits(), reply, NewConns())...)...)
			h.Use(TrackPhase)
			var sent atomic.Int32
			h.GET("/", func(_ context.Context, c *app.RequestContext) {
				sink := NewSink(c)
				sink.SendComplete(http.StatusOK, http.Header{}, make([]byte, size))
				sink.OnSent(func() { sent.Add(1) })
			})
			var g errgroup.Group
			g.Go(func() error {
				_ = h.Run() // It ends when the test closes the listener.
				return nil
			})
			defer func() { require.NoError(t, errors.Join(listener.Close(), g.Wait())) }()
			c, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			time.Sleep(200 * time.Millisecond)
			require.Zero(t, sent.Load())
			tc.end(t, c, resp)
			require.Eventually(t, func() bool { return sent.Load() > 0 }, 5*time.Second, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, int32(1), sent.Load())
		})
	}
}
