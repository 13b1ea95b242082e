package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

// proposals returns the same answer to each proposal and counts the calls.
type proposals struct {
	peerpb.Control
	answer *peerpb.ProposeResponse
	calls  int
}

func (s *proposals) Propose(context.Context, *peerpb.ProposeRequest) (*peerpb.ProposeResponse, error) {
	s.calls++
	return s.answer, nil
}

// serve returns the address of a server that passes all calls to h.
func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// refusing returns an address that refuses connections.
func refusing(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// cut closes the connection of a request without an answer.
func cut(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		c.Close()
	}
}

// firstAddress returns the address that a test calls first; leader is the address of the leader.
type firstAddress func(t *testing.T, leader string) string

func handling(h http.HandlerFunc) firstAddress {
	return func(t *testing.T, _ string) string { return serve(t, h) }
}

func answering(outcome string) firstAddress {
	return func(t *testing.T, _ string) string {
		return serve(t, peerpb.NewControlServer(&proposals{answer: &peerpb.ProposeResponse{Outcome: outcome}}))
	}
}

func redirecting(hint func(leader string) string) firstAddress {
	return func(t *testing.T, leader string) string {
		answer := &peerpb.ProposeResponse{Outcome: OutcomeRedirect, Leader: hint(leader)}
		return serve(t, peerpb.NewControlServer(&proposals{answer: answer}))
	}
}

// circlePauses is the number of pauses after which the calls of a test end.
const circlePauses = 5

// redirectingInCircle returns the address of a node that names another one, which names it.
func redirectingInCircle(t *testing.T, _ string) string {
	a, b := &proposals{}, &proposals{}
	first, second := serve(t, peerpb.NewControlServer(a)), serve(t, peerpb.NewControlServer(b))
	a.answer = &peerpb.ProposeResponse{Outcome: OutcomeRedirect, Leader: second}
	b.answer = &peerpb.ProposeResponse{Outcome: OutcomeRedirect, Leader: first}
	return first
}

// Guards against a proposal that is repeated, or reported as without effect, although it may have been committed; and
// against one that fails although nothing was done and another node leads.
func TestClientPropose(t *testing.T) {
	raw := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			_, _ = w.Write([]byte(body))
		}
	}
	for _, tt := range []struct {
		name string
		// first returns the address of the first call; later calls go to leader.
		first firstAddress
		// kind is the kind of the expected error, or empty.
		kind  Kind
		calls int
		// pauses is the number of pauses between the calls. A report that waits is counted as if its event were later.
		pauses int
	}{
		{name: "leader", first: func(_ *testing.T, leader string) string { return leader }, calls: 1},
		{name: "connection refused", first: func(t *testing.T, _ string) string { return refusing(t) }, calls: 1, pauses: 1},
		{name: "redirect with a hint", first: redirecting(func(leader string) string { return leader }), calls: 1},
		{name: "redirect without a hint", first: redirecting(func(string) string { return "" }), calls: 1, pauses: 1},
		{name: "redirects in a circle", first: redirectingInCircle, pauses: circlePauses, kind: KindUnavailable},
		{name: "cut after sending", first: handling(cut), kind: KindUncertain},
		{name: "malformed answer", first: handling(raw("\xff\xff")), kind: KindUncertain},
		{name: "empty answer", first: handling(raw("")), kind: KindUncertain},
		{name: "error answer", first: handling(http.NotFound), kind: KindUncertain},
		{name: "uncertain", first: answering(OutcomeUncertain), kind: KindUncertain},
		{name: "unknown outcome", first: answering("later"), kind: KindUncertain},
		{name: "refused", first: answering(OutcomeRefused), kind: KindRefused},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := &proposals{answer: &peerpb.ProposeResponse{Outcome: OutcomeDone, Result: []byte("r")}}
			leader := serve(t, peerpb.NewControlServer(l))
			addresses := []string{leader, tt.first(t, leader)}
			pool, err := peer.NewPool(nil)
			require.NoError(t, err)
			c := NewClient(pool, func() []string { return addresses })
			pauses := 0
			c.pause = func(ctx context.Context) bool {
				pauses++
				return pauses < circlePauses && pause(ctx)
			}
			result, err := c.Propose(t.Context(), camphorhinge.CommandClaim, []byte("x"))
			require.Equal(t, tt.calls, l.calls)
			require.Equal(t, tt.pauses, pauses)
			if tt.kind == "" {
				require.NoError(t, err)
				require.Equal(t, "r", string(result))
				require.Equal(t, leader, c.Leader())
				return
			}
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, tt.kind, e.Kind)
			require.Equal(t, tt.kind == KindUncertain, errors.Is(err, camphorhinge.ErrUncertain))
		})
	}
}

// Guards against a read that never ends because its context has no deadline and no node answers.
func TestReadWithoutDeadlineEnds(t *testing.T) {
	address := serve(t, http.HandlerFunc(cut))
	synctest.Test(t, func(t *testing.T) {
		pool, err := peer.NewPool(nil)
		require.NoError(t, err)
		start := time.Now()
		_, err = NewClient(pool, func() []string { return []string{address} }).Read(context.Background(), "q", nil)
		require.Error(t, err)
		require.Equal(t, defaultTimeout, time.Since(start))
	})
}
