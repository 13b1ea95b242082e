package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// TestCloseIdle guards against a stopping node that gets further requests on open connections: CloseIdle must close the
// idle connections, but not those with a request in flight.
func TestCloseIdle(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := NewConns()
	release := make(chan struct{})
	limits := Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, WriteTimeout: time.Second}
	reply := func(Fault) (int, http.Header, []byte) { return http.StatusBadRequest, http.Header{}, nil }
	h := server.New(append([]config.Option{server.WithListener(listener)}, Options(limits, reply, conns)...)...)
	h.Use(TrackPhase)
	h.GET("/now", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "now") })
	h.GET("/later", func(_ context.Context, c *app.RequestContext) {
		<-release
		c.String(http.StatusOK, "later")
	})
	var g errgroup.Group
	g.Go(func() error {
		_ = h.Run() // It ends when the test closes the listener.
		return nil
	})
	defer func() {
		require.NoError(t, errors.Join(listener.Close(), g.Wait()))
	}()

	dial := func(path string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		return c, bufio.NewReader(c)
	}
	answer := func(r *bufio.Reader) string {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return string(body)
	}
	idle, idleReader := dial("/now")
	defer idle.Close()
	require.Equal(t, "now", answer(idleReader))
	busy, busyReader := dial("/later")
	defer busy.Close()

	require.Eventually(t, func() bool { return conns.CloseIdle() > 0 }, 5*time.Second, 5*time.Millisecond)
	_, err = idleReader.ReadByte()
	require.Error(t, err)
	close(release)
	require.Equal(t, "later", answer(busyReader))
}
