package transport

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/state/consensus"
)

// endpoint is a Transport of one replica with its peer port.
type endpoint struct {
	*Transport
	addresses *AddressTable
	// delivered receives each delivered batch; failure is what Deliver and Chunk answer.
	delivered chan []consensus.Message
	failure   error
}

func newEndpoint(t *testing.T, cluster camphorhinge.ClusterID, id camphorhinge.ReplicaID) *endpoint {
	pool, err := peer.NewPool(nil)
	require.NoError(t, err)
	s, err := peer.NewServer("127.0.0.1:0", nil)
	require.NoError(t, err)
	e := &endpoint{delivered: make(chan []consensus.Message, 100), addresses: NewAddressTable(func(camphorhinge.ReplicaID) string { return "" })}
	e.Transport = New(Config{
		Cluster: cluster, Replica: id, Address: s.Address(), Pool: pool, Addresses: e.addresses, Metrics: metrics.NewSet(),
		Deliver: func(_ context.Context, m []consensus.Message) error {
			if e.failure == nil {
				e.delivered <- m
			}
			return e.failure
		},
		Chunk: func(context.Context, *peerpb.ChunkRequest) error { return e.failure },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, peer.Services{Replica: e.Transport}) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return e
}

func run(t *testing.T, e *endpoint) {
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
}

func heartbeats(from, to camphorhinge.ReplicaID, n int) []consensus.Message {
	out := make([]consensus.Message, n)
	for i := range out {
		out[i] = consensus.Message{Type: consensus.MessageHeartbeat, From: from, To: to, Term: 1, Index: camphorhinge.Index(i)}
	}
	return out
}

// Guards against a queue without bound, messages out of order, one call per message, and a call above the peer port's
// largest body.
func TestQueueAndBatches(t *testing.T) {
	const extra = 10
	a := newEndpoint(t, "c", 1)
	a.Send(2, heartbeats(1, 2, queueLength+extra))
	require.Equal(t, uint64(extra), a.dropped.Get(), "the newest are dropped")
	a.Send(3, heartbeats(1, 3, 1))
	require.Equal(t, uint64(extra), a.dropped.Get(), "a full queue does not stand in the way of another replica")
	next := func(to camphorhinge.ReplicaID) *peerpb.StepRequest {
		q := a.queue(to)
		return a.batch(<-q, q)
	}
	req := next(2)
	require.Equal(t, "c", req.GetCluster())
	require.Equal(t, a.cfg.Address, req.GetAddress())
	for i, want := range heartbeats(1, 2, queueLength) {
		got, err := consensus.DecodeMessage(req.GetMessages()[i])
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	require.Len(t, req.GetMessages(), queueLength)

	big := heartbeats(1, 2, 3)
	for i := range big {
		big[i].Type = consensus.MessageAppend
		big[i].Entries = []consensus.Entry{{Index: camphorhinge.Index(i + 1), Term: 1, Data: make([]byte, batchBytes/2)}}
	}
	a.Send(2, big)
	require.Len(t, next(2).GetMessages(), 2)
	require.Len(t, next(2).GetMessages(), 1)

	// No address is known.
	a.step(t.Context(), 2, req)
	require.Equal(t, uint64(extra+queueLength), a.dropped.Get())
}

// Guards against messages that stay in the queue, and against an address that the receiver does not learn. Messages may be
// lost when the machine is slow, so they are sent until one arrives.
func TestDelivery(t *testing.T) {
	a, b := newEndpoint(t, "c", 1), newEndpoint(t, "c", 2)
	a.addresses.Update(2, b.cfg.Address)
	run(t, a)
	want := heartbeats(1, 2, 1)
	for {
		a.Send(2, want)
		select {
		case got := <-b.delivered:
			require.Equal(t, want[0], got[0])
			require.Equal(t, a.cfg.Address, b.addresses.Address(1))
			require.Equal(t, []camphorhinge.ReplicaID{1}, b.addresses.Replicas())
			return
		case <-time.After(stepTimeout):
		}
	}
}

// Guards against messages that another cluster or an earlier identity of this replica was meant to get, and against a
// batch of which only a part is taken.
func TestRefusals(t *testing.T) {
	whole := consensus.AppendMessage(nil, &heartbeats(1, 2, 1)[0])
	broken := errors.New("broken")
	for _, tt := range []struct {
		name     string
		cluster  string
		to       uint64
		messages [][]byte
		failure  error
		kind     Kind
		// heard tells whether the sender's address is learned.
		heard bool
	}{
		{name: "taken", cluster: "c", to: 2, messages: [][]byte{whole}, heard: true},
		{name: "foreign cluster", cluster: "d", to: 2, messages: [][]byte{whole}, kind: KindForeign},
		{name: "no cluster", to: 2, messages: [][]byte{whole}, kind: KindForeign},
		{name: "earlier identity", cluster: "c", to: 9, messages: [][]byte{whole}, kind: KindForeign},
		{name: "malformed", cluster: "c", to: 2, messages: [][]byte{whole, whole[:len(whole)-1]}, kind: KindMalformed, heard: true},
		{name: "not delivered", cluster: "c", to: 2, messages: [][]byte{whole}, failure: broken, heard: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newEndpoint(t, "c", 2)
			b.failure = tt.failure
			_, err := b.Step(t.Context(), &peerpb.StepRequest{Cluster: tt.cluster, To: tt.to, From: 1, Address: "1:1", Messages: tt.messages})
			chunk := &peerpb.ChunkRequest{Cluster: tt.cluster, To: tt.to, From: 1, Address: "1:1"}
			switch {
			case tt.failure != nil:
				require.ErrorIs(t, err, tt.failure)
				_, err = b.Chunk(t.Context(), chunk)
				require.ErrorIs(t, err, tt.failure)
			case tt.kind != "":
				var e *Error
				require.ErrorAs(t, err, &e)
				require.Equal(t, tt.kind, e.Kind)
				if tt.kind == KindForeign {
					_, err = b.Chunk(t.Context(), chunk)
					require.ErrorAs(t, err, &e)
					require.Equal(t, tt.kind, e.Kind)
				}
			default:
				require.NoError(t, err)
				require.Len(t, b.delivered, 1)
			}
			require.Equal(t, tt.heard, b.addresses.Address(1) == "1:1")
			if tt.kind != "" {
				require.Empty(t, b.delivered)
			}
		})
	}
}

// Guards against a part of a snapshot that counts as delivered although the replica did not take it.
func TestChunkNotDelivered(t *testing.T) {
	a, b := newEndpoint(t, "c", 1), newEndpoint(t, "c", 2)
	send := func() error { return a.SendChunk(t.Context(), &peerpb.ChunkRequest{To: 2}) }
	var e *Error
	require.ErrorAs(t, send(), &e, "no address")
	require.Equal(t, KindUnreachable, e.Kind)
	a.addresses.Update(2, b.cfg.Address)
	b.failure = errors.New("broken")
	require.ErrorAs(t, send(), &e)
	require.Equal(t, KindUnreachable, e.Kind)
	b.failure = nil
	require.NoError(t, send())
}

// Guards against a replica that can't be reached because an old address of it is kept: the latest news holds, whether it
// came with a message or by the list of nodes.
func TestAddressTable(t *testing.T) {
	listed := ""
	b := NewAddressTable(func(camphorhinge.ReplicaID) string { return listed })
	for _, step := range []struct {
		what, heard, listed, want string
	}{
		{what: "unknown"},
		{what: "listed", listed: "1:1", want: "1:1"},
		{what: "learned from a message", heard: "1:2", listed: "1:1", want: "1:2"},
		{what: "list follows", listed: "1:2", want: "1:2"},
		{what: "moved, only the list knows", listed: "1:3", want: "1:3"},
		{what: "message from there", heard: "1:3", listed: "1:3", want: "1:3"},
		{what: "moved, the message comes first", heard: "1:4", listed: "1:3", want: "1:4"},
		{what: "not listed any more", want: "1:4"},
	} {
		listed = step.listed
		b.Update(1, step.heard)
		b.Update(0, "9:9")
		require.Equal(t, step.want, b.Address(1), step.what)
	}
}
