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
}

func (l *leader) Renew(_ context.Context, req *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	l.reports = append(l.reports, string(req.GetMix()))
	answer := l.answers[0]
	l.answers = l.answers[1:]
	return answer()
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
	s, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, peer.Services{Control: l}) })
	defer func() {
		cancel()
		require.NoError(t, g.Wait())
	}()
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	taken := 0
	r := NewRenewer(RenewerConfig{
		Self: &peerpb.Node{Name: "a"}, Client: NewClient(pool, func() []string { return []string{s.Address()} }),
		Mirror: table.NewMirror(), Holder: config.NewHolder(fixedClock{}, time.Second), Clock: fixedClock{},
		Engines: func([]byte) error { return nil }, Scores: func([]byte) {}, Log: slog.New(slog.DiscardHandler),
		Mix: func() []byte {
			taken++
			return []byte(strconv.Itoa(taken))
		},
	})
	require.NoError(t, r.renew(t.Context(), false))
	require.Error(t, r.renew(t.Context(), false), "no answer")
	require.Error(t, r.renew(t.Context(), false), "redirected, then answered by a deposed leader")
	require.NoError(t, r.renew(t.Context(), false))
	require.NoError(t, r.renew(t.Context(), false))
	require.Equal(t, []string{"1", "2", "2", "2", "2", "3"}, l.reports)
}
