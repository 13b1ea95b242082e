package control

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

// pausedNode answers proposals as the leader. When entered is set, it never answers, like a paused process.
type pausedNode struct {
	peerpb.Control
	entered chan struct{}
}

func (n *pausedNode) Propose(ctx context.Context, _ *peerpb.ProposeRequest) (*peerpb.ProposeResponse, error) {
	if n.entered != nil {
		n.entered <- struct{}{}
		<-ctx.Done()
	}
	return &peerpb.ProposeResponse{Outcome: OutcomeDone, Result: []byte("done")}, nil
}

func (n *pausedNode) Read(ctx context.Context, _ *peerpb.ReadRequest) (*peerpb.ReadResponse, error) {
	if n.entered != nil {
		<-ctx.Done()
	}
	return &peerpb.ReadResponse{Outcome: OutcomeRefused}, nil
}

// serveControl serves svc on a peer port until the test ends.
func serveControl(t *testing.T, svc peerpb.Control) string {
	s, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, peer.Services{Control: svc}) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return s.Address()
}

// Guards against a command that waits for a paused leader until its deadline although another node leads, and against
// one that is sent to the paused node again because other nodes still name it as the leader.
func TestPausedLeader(t *testing.T) {
	for _, kind := range []camphorhinge.CommandKind{camphorhinge.CommandRecord, camphorhinge.CommandClaim} {
		paused := &pausedNode{entered: make(chan struct{}, 1)}
		old, successor := serveControl(t, paused), serveControl(t, &pausedNode{})
		pool, err := peer.NewPool(nil)
		require.NoError(t, err)
		c := NewClient(pool, func() []string { return []string{old, successor} })
		c.recordLeader(old)
		var g errgroup.Group
		g.Go(func() error {
			_, err := c.Propose(context.Background(), kind, nil)
			require.ErrorIs(t, err, camphorhinge.ErrUncertain)
			return nil
		})
		<-paused.entered
		c.recordLeader(successor)
		require.NoError(t, g.Wait())

		c.recordLeader(old)
		result, err := c.Propose(t.Context(), kind, nil)
		require.NoError(t, err)
		require.Equal(t, "done", string(result))
		require.Empty(t, paused.entered, "the paused node got the command")
		require.Equal(t, successor, c.Leader())
	}
}
