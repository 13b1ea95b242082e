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

// endpoint is the Transport of one replica, served on a peer port.
type endpoint struct {
	*Transport
	addresses *AddressTable
	// delivered receives each delivered batch; Deliver and Chunk return failure.
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

// Guards against an unbounded queue, messages out of order, one call per message, and calls above the maximum body size
// of the peer port.
func TestQueueAndBatches(t *testing.T) {
	const extra = 10
	a := newEndpoint(t, "c", 1)
	a.Send(2, heartbeats(1, 2, queueLength+extra))
	require.Equal(t, uint64(extra), a.dropped.Get(), "the newest are dropped")
	a.Send(3, heartbeats(1, 3, 1))
	require.Equal(t, uint64(extra), a.dropped.Get(), "a full queue does not affect another replica")
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

	// The replica has no known address.
	a.step(t.Context(), 2, req)
	require.Equal(t, uint64(extra+queueLength), a.dropped.Get())
}

// Guards against messages that stay in the queue, and against a receiver that does not record the sender's address. On
// a slow machine messages may be lost, so they are sent until one arrives.
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

// Guards against accepting messages for another cluster or an earlier ID of this replica, and against delivering only
// some of the messages of a batch.
func TestRefusals(t *testing.T) {
	complete := consensus.AppendMessage(nil, &heartbeats(1, 2, 1)[0])
	broken := errors.New("broken")
	for _, tt := range []struct {
		name     string
		cluster  string
		to       uint64
		messages [][]byte
		failure  error
		kind     Kind
		// recorded is whether the sender's address is recorded.
		recorded bool
	}{
		{name: "accepted", cluster: "c", to: 2, messages: [][]byte{complete}, recorded: true},
		{name: "foreign cluster", cluster: "d", to: 2, messages: [][]byte{complete}, kind: KindForeign},
		{name: "no cluster", to: 2, messages: [][]byte{complete}, kind: KindForeign},
		{name: "earlier identity", cluster: "c", to: 9, messages: [][]byte{complete}, kind: KindForeign},
		{name: "malformed", cluster: "c", to: 2, messages: [][]byte{complete, complete[:len(complete)-1]}, kind: KindMalformed, recorded: true},
		{name: "not delivered", cluster: "c", to: 2, messages: [][]byte{complete}, failure: broken, recorded: true},
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
			require.Equal(t, tt.recorded, b.addresses.Address(1) == "1:1")
			if tt.kind != "" {
				require.Empty(t, b.delivered)
			}
		})
	}
}

// Guards against a chunk of a snapshot that counts as delivered although the replica did not accept it.
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

// Guards against a replica that is unreachable because its old address is kept: the most recent address is used,
// whether it came from a message or from the list of nodes.
func TestAddressTable(t *testing.T) {
	listed := ""
	b := NewAddressTable(func(camphorhinge.ReplicaID) string { return listed })
	for _, step := range []struct {
		what, sent, listed, want string
	}{
		{what: "unknown"},
		{what: "listed", listed: "1:1", want: "1:1"},
		{what: "received in a message", sent: "1:2", listed: "1:1", want: "1:2"},
		{what: "list is updated", listed: "1:2", want: "1:2"},
		{what: "moved, only the list is updated", listed: "1:3", want: "1:3"},
		{what: "message from the new address", sent: "1:3", listed: "1:3", want: "1:3"},
		{what: "moved, the message comes first", sent: "1:4", listed: "1:3", want: "1:4"},
		{what: "no longer listed", want: "1:4"},
	} {
		listed = step.listed
		b.Update(1, step.sent)
		b.Update(0, "9:9")
		require.Equal(t, step.want, b.Address(1), step.what)
	}
}
