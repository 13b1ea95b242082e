package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

// slow blocks calls with the command "slow" until released.
type slow struct {
	echo
	released chan struct{}
}

func (s slow) Propose(ctx context.Context, req *peerpb.ProposeRequest) (*peerpb.ProposeResponse, error) {
	if string(req.GetCommand()) == "slow" {
		<-s.released
	}
	return s.echo.Propose(ctx, req)
}

// TestSlowPeerKeepsConnection guards against a slow peer that has to serve ever more connections: calls that time out while
// others on the connection are answered must not open another one.
func TestSlowPeerKeepsConnection(t *testing.T) {
	s, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	w := slow{released: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, peer.Services{Replica: w, Control: w, Spread: w}) })
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	require.NoError(t, call(t, pool, s.Address()))
	control := pool.Get(s.Address()).Control
	var before int64
	for round := range 6 {
		callCtx, end := context.WithTimeout(ctx, 600*time.Millisecond)
		var answered errgroup.Group
		answered.Go(func() error {
			for callCtx.Err() == nil {
				if err := call(t, pool, s.Address()); err != nil {
					return err
				}
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		})
		_, err := control.Propose(callCtx, &peerpb.ProposeRequest{Command: []byte("slow")})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		end()
		require.NoError(t, answered.Wait())
		if round == 0 {
			before = s.Connections()
		}
	}
	require.LessOrEqual(t, s.Connections(), before)
	close(w.released)
	cancel()
	require.NoError(t, g.Wait())
}
