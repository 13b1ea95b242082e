package web_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge/internal/node/web"
)

// Guards against a planned stop that interrupts a running request or one that was sent on an open connection.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	s, err := web.New(web.Config{Address: "127.0.0.1:0", MaxBody: 1 << 10})
	require.NoError(t, err)
	started, release := make(chan struct{}), make(chan struct{})
	s.Hertz.GET("/slow", func(_ context.Context, c *app.RequestContext) {
		close(started)
		<-release
		c.String(http.StatusOK, "complete response")
	})
	s.Hertz.GET("/fast", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "fast") })
	ctx, stop := context.WithCancel(context.Background())
	var server, client errgroup.Group
	server.Go(func() error { return s.Serve(ctx, time.Minute) })

	idle, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer idle.Close()
	reader := bufio.NewReader(idle)
	get := func() *http.Response {
		_, err := fmt.Fprint(idle, "GET /fast HTTP/1.1\r\nHost: node\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "fast", string(body))
		return resp
	}
	require.False(t, get().Close)

	client.Go(func() error {
		resp, err := http.Get("http://" + s.Address() + "/slow")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err == nil && string(body) != "complete response" {
			err = fmt.Errorf("response %q", body)
		}
		return err
	})
	<-started
	stop()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.Address())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond, "new connections are refused")
	require.True(t, get().Close, "an open connection is answered once more and closed")
	close(release)
	require.NoError(t, client.Wait())
	require.NoError(t, server.Wait())
}

// Guards against a server that cannot be stopped before its first request, or whose port stays open after the stop.
func TestStopBeforeTheFirstRequest(t *testing.T) {
	for range 20 {
		s, err := web.New(web.Config{Address: "127.0.0.1:0", MaxBody: 1 << 10})
		require.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error { return s.Serve(ctx, 0) })
		stop()
		require.NoError(t, g.Wait())
		_, err = net.DialTimeout("tcp", s.Address(), time.Second)
		require.Error(t, err)
	}
}
