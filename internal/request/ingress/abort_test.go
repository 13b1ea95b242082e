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

// TestAbortedStream guards against an aborted stream that reaches its caller framed as complete.
func TestAbortedStream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	reply := func(Fault) (int, http.Header, []byte) { return http.StatusBadRequest, http.Header{}, nil }
	h := server.New(append([]config.Option{server.WithListener(listener)}, Options(DefaultLimits(), reply, NewConns())...)...)
	h.Use(TrackPhase)
	for path, events := range map[string]int{"/0": 0, "/1": 1, "/5": 5} {
		h.GET(path, func(_ context.Context, c *app.RequestContext) {
			sink := NewSink(c)
			sink.StartStream(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
			for range events {
				if _, err := sink.Write([]byte("data: p\n\n")); err != nil {
					return // The caller's check fails without the event.
				}
			}
			sink.Abort()
		})
	}
	var g errgroup.Group
	g.Go(func() error {
		_ = h.Run() // It ends when the test closes the listener.
		return nil
	})
	defer func() { require.NoError(t, errors.Join(listener.Close(), g.Wait())) }()
	for path, events := range map[string]int{"/0": 0, "/1": 1, "/5": 5} {
		body, err := get(t, listener.Addr().String(), path)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, path)
		require.Len(t, body, events*len("data: p\n\n"))
	}
}

// get sends a request on a new connection and returns what it gets of the body.
func get(t *testing.T, address, path string) ([]byte, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}
