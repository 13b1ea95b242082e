package engine

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// serve answers every request with handle until the test ends; it returns the listener's address.
func serve(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: handle}
	var g errgroup.Group
	g.Go(func() error { return s.Serve(l) })
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		require.ErrorIs(t, g.Wait(), http.ErrServerClosed)
	})
	return l.Addr().String()
}

// TestOutcomes guards against counting an order as done or refused for an answer that does not follow the protocol,
// and against an order that is sent twice.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		body    string
		cut     bool
		prepare bool
		want    Outcome
		reason  string
	}{
		{name: "done", status: 200, body: `{"state":"done","incarnation":3,"revision":8}`, want: Done},
		{name: "changing", status: 200, body: `{"state":"changing","incarnation":3,"revision":8}`, want: Changing},
		{name: "refused", status: 409, body: `{"state":"refused","error":"fence","incarnation":3,"revision":8}`, want: Refused, reason: "fence"},
		{name: "conflict with another state", status: 409, body: `{"state":"done"}`, want: Unknown},
		{name: "refused with status 200", status: 200, body: `{"state":"refused"}`, want: Unknown},
		{name: "server error", status: 500, body: `{"state":"done"}`, want: Unknown},
		{name: "no JSON", status: 200, body: `done`, want: Unknown},
		{name: "unknown state", status: 200, body: `{"state":"later"}`, want: Unknown},
		{name: "connection cut", cut: true, want: Unknown},
		{name: "prepared", status: 200, body: `{"state":"done","nonce":"n"}`, prepare: true, want: Done},
		{name: "prepared without a nonce", status: 200, body: `{"state":"done"}`, prepare: true, want: Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int32
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				if tt.cut {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			})
			c, err := New(Config{})
			require.NoError(t, err)
			defer c.Close()
			got := c.Order(context.Background(), address, Order{Fence: 1, Seq: 1})
			if tt.prepare {
				got = c.Prepare(context.Background(), address, 1, 1)
				calls.Add(-1)
			}
			require.Equal(t, tt.want, got.Outcome, "%v", got.Err)
			require.Equal(t, tt.reason, got.Reason)
			require.EqualValues(t, 1, calls.Load())
		})
	}
}

// TestSilentAndUnreachable guards against a client that waits without limit for an engine that does not answer, or
// takes the order to an unreachable engine as refused.
func TestSilentAndUnreachable(t *testing.T) {
	release := make(chan struct{})
	silent := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	c, err := New(Config{ReadTimeout: 20 * time.Millisecond, OrderTimeout: 20 * time.Millisecond})
	require.NoError(t, err)
	defer c.Close()
	for _, address := range []string{silent, closed} {
		require.Equal(t, Unknown, c.Order(context.Background(), address, Order{}).Outcome)
		require.Equal(t, Unknown, c.Prepare(context.Background(), address, 1, 1).Outcome)
		_, err = c.Read(context.Background(), address)
		var e *Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, KindNetwork, e.Kind)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, c.Order(ended, closed, Order{}).Err, context.Canceled)
}
