package server

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/setting"
	"example.org/camphorhinge/internal/node/web"
	"example.org/camphorhinge/internal/record/table"
)

// Guards against a caller port that closes before the load balancer has had time to detect that the node is not ready.
func TestReadinessFailsBeforeThePortCloses(t *testing.T) {
	callers, err := web.New(web.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleClock{time.Now()}
		lease := config.NewLease(clock, 0)
		lease.Extend(clock.Now(), time.Hour)
		s := &Server{
			cfg: setting.Serve{StopDelay: 3 * time.Second}, log: slog.New(slog.DiscardHandler), callerPort: callers,
			configuration: &configuration{mirror: table.NewMirror(), lease: lease, synced: func() bool { return true }},
		}
		require.True(t, s.configuration.Ready())
		start, closed := time.Now(), time.Duration(0)
		var g errgroup.Group
		g.Go(func() error {
			s.stop(func() { closed = time.Since(start) })
			return nil
		})
		synctest.Wait()
		require.False(t, s.configuration.Ready(), "not ready at once")
		require.True(t, s.configuration.MayServe(), "requests that still arrive are served")
		require.NoError(t, g.Wait())
		require.Equal(t, 3*time.Second, closed)
	})
}

// otherNode is the peer port of another node, which leads. It records when the node under test releases its lease.
type otherNode struct {
	peerpb.Control
	peerpb.Spread
	cluster string
	leaving func()
	// renewed receives after a renewal.
	renewed chan struct{}

	mu    sync.Mutex
	calls []string
}

func (o *otherNode) record(call string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.calls) == 0 || o.calls[len(o.calls)-1] != call {
		o.calls = append(o.calls, call)
	}
}

func (o *otherNode) Renew(_ context.Context, req *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	if req.GetLeaving() {
		o.leaving()
		o.record("leave")
		return &peerpb.RenewResponse{Outcome: control.OutcomeDone}, nil
	}
	o.record("renew")
	select {
	case o.renewed <- struct{}{}:
	default:
	}
	time.Sleep(10 * time.Millisecond) // A leader delays renewals, too.
	return &peerpb.RenewResponse{Outcome: control.OutcomeDone, Term: 1, Full: true, Revision: 1, Lease: 2000}, nil
}

func (o *otherNode) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return &peerpb.StatusResponse{Cluster: o.cluster}, nil
}

func (o *otherNode) Announce(context.Context, *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	return &peerpb.AnnounceResponse{}, nil
}

func (o *otherNode) Known(context.Context, *peerpb.KnownRequest) (*peerpb.AnnounceRequest, error) {
	return &peerpb.AnnounceRequest{}, nil
}

func (o *otherNode) serve(t *testing.T) string {
	s, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, peer.Services{Replica: noReplica{}, Control: o, Spread: o}) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return s.Address()
}

func settings(t *testing.T, peers ...string) setting.Serve {
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("0123456789abcdef"), 0o600))
	const port = "127.0.0.1:0"
	return setting.Serve{
		Node: "n", Zone: "z", CallerListen: port, TargetListen: port, OperatorListen: port, PeerListen: port, PeerPlain: true,
		Peers: peers, OperatorToken: token, StopLimit: time.Minute, StaleLimit: config.StaleLimit,
		ClaimRetention: time.Hour, WeightLoads: 1, WeightRate: 1,
	}
}

// Guards against a lease that is released while the node still accepts requests, or renewed after that.
func TestLeaseIsReleasedLast(t *testing.T) {
	var s *Server
	var dialErr error
	other := &otherNode{renewed: make(chan struct{}, 1), leaving: func() {
		c, err := net.Dial("tcp", s.Addresses().Caller)
		if err == nil {
			c.Close()
		}
		dialErr = err
	}}
	s, err := New(t.Context(), settings(t, other.serve(t)), slog.New(slog.DiscardHandler), nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	<-other.renewed
	cancel()
	require.NoError(t, g.Wait())
	require.Error(t, dialErr, "the caller port is closed when the lease is released")
	require.Equal(t, []string{"renew", "leave"}, other.calls)
}

// Guards against a new replica that starts its own cluster or waits for a node without a replica, and against a replica
// with a log that waits for other nodes: if all nodes restarted, they would wait for each other.
func TestDiscover(t *testing.T) {
	entry, voter := &otherNode{}, &otherNode{cluster: "c"}
	cfg := settings(t, entry.serve(t), voter.serve(t))
	cfg.Join, cfg.Data = true, t.TempDir()
	open := func(ctx context.Context) (camphorhinge.ClusterID, camphorhinge.ReplicaID, error) {
		s, err := New(ctx, cfg, slog.New(slog.DiscardHandler), nil)
		if err != nil {
			return "", 0, err
		}
		defer s.close()
		return s.durable.cluster, s.durable.id, nil
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := open(canceled)
	require.ErrorIs(t, err, context.Canceled, "a stop ends the search")

	cluster, id, err := open(t.Context())
	require.NoError(t, err)
	require.Equal(t, camphorhinge.ClusterID("c"), cluster)

	cfg.Peers = []string{"127.0.0.1:1"}
	cluster, again, err := open(canceled)
	require.NoError(t, err, "a folder with a log needs no response")
	require.Equal(t, camphorhinge.ClusterID("c"), cluster)
	require.Equal(t, id, again)

	cfg.Data = t.TempDir()
	cfg.Peers = []string{entry.serve(t), voter.serve(t)}
	_, other, err := open(t.Context())
	require.NoError(t, err)
	require.NotEqual(t, id, other, "an empty folder gets a new identity")
}
