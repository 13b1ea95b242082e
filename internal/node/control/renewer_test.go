package control

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/table"
)

type fixedClock struct{}

func (fixedClock) Now() camphorhinge.Instant { return 1 }

// leader answers renewals by a script and keeps the reports that came with them.
type leader struct {
	peerpb.Control
	answers []func() (*peerpb.RenewResponse, error)
	reports []string
	lists   []uint64
}

func (l *leader) Renew(_ context.Context, req *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	l.reports = append(l.reports, string(req.GetMix()))
	l.lists = append(l.lists, req.GetList())
	answer := l.answers[0]
	l.answers = l.answers[1:]
	return answer()
}

// newRenewer returns a Renewer whose only leader is l.
func newRenewer(t *testing.T, l *leader, mix func() []byte) *Renewer {
	t.Helper()
	s, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, peer.Services{Control: l}) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	return NewRenewer(RenewerConfig{
		Self: &peerpb.Node{Name: "a"}, Client: NewClient(pool, func() []string { return []string{s.Address()} }),
		Mirror: table.NewMirror(), Holder: config.NewHolder(fixedClock{}, time.Second), Clock: fixedClock{},
		Changed: func() {}, Scores: func([]byte) {}, Log: slog.New(slog.DiscardHandler),
		Mix: mix,
	})
}

// Guards against a report on the token mix that is lost with a failed renewal, or after the answer of a deposed leader.
func TestReportIsRepeatedUntilAnswered(t *testing.T) {
	answered := func(term uint64) func() (*peerpb.RenewResponse, error) {
		return func() (*peerpb.RenewResponse, error) {
			return &peerpb.RenewResponse{Outcome: OutcomeDone, Term: term, Full: true}, nil
		}
	}
	l := &leader{answers: []func() (*peerpb.RenewResponse, error){
		answered(2),
		func() (*peerpb.RenewResponse, error) { return nil, errors.New("lost") },
		func() (*peerpb.RenewResponse, error) { return &peerpb.RenewResponse{Outcome: OutcomeRedirect}, nil },
		answered(1),
		answered(3),
		answered(3),
	}}
	taken := 0
	r := newRenewer(t, l, func() []byte {
		taken++
		return []byte(strconv.Itoa(taken))
	})
	require.NoError(t, r.renew(t.Context(), false))
	require.Error(t, r.renew(t.Context(), false), "no answer")
	require.Error(t, r.renew(t.Context(), false), "redirected, then answered by a deposed leader")
	require.NoError(t, r.renew(t.Context(), false))
	require.NoError(t, r.renew(t.Context(), false))
	require.Equal(t, []string{"1", "2", "2", "2", "2", "3"}, l.reports)
}

// Guards against a node that loses the other nodes when the leader leaves an unchanged list out, or keeps an old list.
func TestListOfNodesIsKept(t *testing.T) {
	answered := func(list uint64, names ...string) func() (*peerpb.RenewResponse, error) {
		return func() (*peerpb.RenewResponse, error) {
			resp := &peerpb.RenewResponse{Outcome: OutcomeDone, Full: true, List: list}
			for _, n := range names {
				resp.Nodes = append(resp.Nodes, &peerpb.Node{Name: n})
			}
			return resp, nil
		}
	}
	l := &leader{answers: []func() (*peerpb.RenewResponse, error){
		answered(7, "a", "b"), answered(7), answered(9, "a"), answered(0, "a", "c"), answered(0, "c"), answered(9, "a"),
	}}
	r := newRenewer(t, l, nil)
	for _, want := range [][]string{{"a", "b"}, {"a", "b"}, {"a"}, {"a", "c"}, {"c"}, {"a"}} {
		require.NoError(t, r.renew(t.Context(), false))
		var names []string
		for _, n := range r.Nodes() {
			names = append(names, string(n.Name))
		}
		require.Equal(t, want, names)
	}
	require.Equal(t, []uint64{0, 7, 7, 9, 0, 0}, l.lists)
}
