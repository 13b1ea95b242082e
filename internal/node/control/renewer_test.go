package control

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/observe/decision"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
)

type fixedClock struct{}

func (fixedClock) Now() camphorhinge.Instant { return 1 }

// leader gives scripted answers to renewals and keeps the reports that came with them.
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
func newRenewer(t *testing.T, l *leader, report func() []byte) *Renewer {
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
		Mirror: table.NewMirror(), Lease: config.NewLease(fixedClock{}, time.Second), Clock: fixedClock{},
		Engines: func([]byte) error { return nil }, Scores: func([]byte) {}, Decisions: decision.New(1), Log: slog.New(slog.DiscardHandler),
		WorkloadReport: report,
	})
}

// Guards against a workload report that is lost with a failed renewal, or with the answer of a deposed leader.
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
	reports := 0
	r := newRenewer(t, l, func() []byte {
		reports++
		return []byte(strconv.Itoa(reports))
	})
	require.NoError(t, r.renew(t.Context(), false))
	require.Error(t, r.renew(t.Context(), false), "no answer")
	require.Error(t, r.renew(t.Context(), false), "redirected, then answered by a deposed leader")
	require.NoError(t, r.renew(t.Context(), false))
	require.NoError(t, r.renew(t.Context(), false))
	require.Equal(t, []string{"1", "2", "2", "2", "2", "3"}, l.reports)
}

// Guards against a configuration that goes back, a lease for changes that are not in force, and a lease that starts
// only when the answer arrives.
func TestRenewerAccept(t *testing.T) {
	change := func(rev camphorhinge.Revision) []byte {
		data, err := json.Marshal(table.Change{Key: schema.Key{Kind: schema.KindWorkspace, Name: "w"}, Write: table.Write{Revision: rev, Version: camphorhinge.Version(rev), Withdraw: true}})
		require.NoError(t, err)
		return data
	}
	full := func(term uint64, rev camphorhinge.Revision) *peerpb.RenewResponse {
		return &peerpb.RenewResponse{Term: term, Full: true, Revision: uint64(rev), Changes: [][]byte{change(rev)}, Engines: []byte("e"), Holds: 4}
	}
	next := func(term uint64, rev camphorhinge.Revision) *peerpb.RenewResponse {
		return &peerpb.RenewResponse{Term: term, Revision: uint64(rev), Changes: [][]byte{change(rev)}, Holds: 4}
	}
	for _, tt := range []struct {
		name    string
		answers []*peerpb.RenewResponse
		// failed is the index of the rejected answer, or -1, and kind the kind of its error; the others are accepted.
		failed int
		kind   Kind
		// These are the expected values of the next request.
		revision, holds, term uint64
		full                  bool
		// engines counts the decisions applied, leases the lease renewals.
		engines, leases int
	}{
		{name: "first", answers: []*peerpb.RenewResponse{full(2, 5)}, failed: -1, revision: 5, holds: 4, term: 2, engines: 1, leases: 1},
		{
			name: "deposed leader after its successor", answers: []*peerpb.RenewResponse{full(3, 5), full(2, 6)}, failed: 1, kind: KindRefused,
			revision: 5, holds: 4, term: 3, engines: 1, leases: 1,
		},
		{
			name: "gap, then all records", answers: []*peerpb.RenewResponse{full(2, 5), next(2, 7)}, failed: 1, kind: KindMalformed,
			revision: 5, holds: 4, term: 2, full: true, engines: 1, leases: 1,
		},
		{
			name: "repaired gap", answers: []*peerpb.RenewResponse{full(2, 5), next(2, 7), full(2, 7)}, failed: 1, kind: KindMalformed,
			revision: 7, holds: 4, term: 2, engines: 2, leases: 2,
		},
		{name: "next change", answers: []*peerpb.RenewResponse{full(2, 5), next(2, 6)}, failed: -1, revision: 6, holds: 4, term: 2, engines: 1, leases: 2},
		{
			name: "engine decisions that can't be decoded", failed: 0, kind: KindMalformed, revision: 5,
			answers: []*peerpb.RenewResponse{{Term: 2, Full: true, Revision: 5, Changes: [][]byte{change(5)}, Engines: []byte("bad"), Holds: 4}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, engines := bubbleClock{time.Now()}, 0
				lease := config.NewLease(clock, 0)
				r := NewRenewer(RenewerConfig{
					Mirror: table.NewMirror(), Lease: lease, Clock: clock, Scores: func([]byte) {}, Decisions: decision.New(1), Self: &peerpb.Node{},
					Engines: func(e []byte) error {
						if string(e) == "bad" {
							return errLost
						}
						engines++
						return nil
					},
				})
				leases := 0
				for i, resp := range tt.answers {
					resp.Lease = uint64(config.LeaseTime.Milliseconds())
					sent := clock.Now()
					time.Sleep(500 * time.Millisecond)
					err := r.accept(sent, resp)
					if i == tt.failed {
						var e *Error
						require.ErrorAs(t, err, &e)
						require.Equal(t, tt.kind, e.Kind)
						continue
					}
					require.NoError(t, err)
					leases++
					// A lease of 2 s that was requested 500 ms ago ends in 1.5 s.
					time.Sleep(1500*time.Millisecond - 1)
					require.Equal(t, config.StateFresh, lease.State())
					time.Sleep(1 * time.Nanosecond)
					require.Equal(t, config.StateExpired, lease.State())
				}
				require.Equal(t, tt.engines, engines)
				require.Equal(t, tt.leases, leases)
				require.Equal(t, tt.leases > 0, lease.State() != config.StateEmpty)
				req := r.request(false)
				require.Equal(t, tt.revision, req.GetRevision())
				require.Equal(t, tt.holds, req.GetHolds())
				require.Equal(t, tt.term, req.GetTerm())
				require.Equal(t, tt.full, req.GetFull())
			})
		})
	}
}

// Guards against a node that drops its list of nodes when the leader leaves out an unchanged one, or keeps an outdated
// list.
func TestNodeListIsKept(t *testing.T) {
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
