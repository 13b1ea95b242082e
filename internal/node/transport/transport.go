package transport

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/state/consensus"
)

const (
	// queueLength is the capacity of the message queue of one replica.
	queueLength = 1024
	// batchBytes is the size from which no further message is added to a batch; it is below the maximum body size of the
	// peer port.
	batchBytes = 4 << 20
	// stepTimeout bounds the delivery of one batch. It is less than the shortest election timeout, so that a dead
	// connection is replaced before an election starts.
	stepTimeout = 400 * time.Millisecond
	// chunkTimeout bounds the delivery of one chunk of a snapshot.
	chunkTimeout = 5 * time.Second
)

// Kind classifies an Error.
type Kind string

const (
	// KindMalformed marks a message that cannot be decoded.
	KindMalformed Kind = "malformed"
	// KindForeign marks a message from another cluster or for another replica.
	KindForeign Kind = "foreign"
	// KindUnreachable marks a replica to which a chunk of a snapshot could not be delivered.
	KindUnreachable Kind = "unreachable"
)

// Error is the error type of this package; Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("transport %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config holds the dependencies of a Transport.
type Config struct {
	Cluster camphorhinge.ClusterID
	Replica camphorhinge.ReplicaID
	// Address is this node's own peer address.
	Address   string
	Pool      *peer.Pool
	Addresses *AddressTable
	// Deliver handles messages from other replicas; Chunk handles chunks of snapshots.
	Deliver func(context.Context, []consensus.Message) error
	Chunk   func(context.Context, *peerpb.ChunkRequest) error
	Metrics *metrics.Set
}

// Transport sends messages and snapshots to other replicas, and implements the Replica service, which receives them.
type Transport struct {
	cfg Config

	mu     sync.Mutex
	queues map[camphorhinge.ReplicaID]chan consensus.Message
	group  *errgroup.Group
	ctx    context.Context

	sent, dropped, bytes *metrics.Counter
}

// New returns a Transport; queued messages are sent once Run is called.
func New(cfg Config) *Transport {
	return &Transport{
		cfg: cfg, queues: map[camphorhinge.ReplicaID]chan consensus.Message{},
		sent:    cfg.Metrics.NewCounter(`camphorhinge_replica_messages_total{result="sent"}`),
		dropped: cfg.Metrics.NewCounter(`camphorhinge_replica_messages_total{result="dropped"}`),
		bytes:   cfg.Metrics.NewCounter(`camphorhinge_replica_bytes_total`),
	}
}

// Run sends queued messages until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	t.mu.Lock()
	t.group, t.ctx = g, ctx
	for to, q := range t.queues {
		g.Go(func() error { return t.sendQueue(ctx, to, q) })
	}
	t.mu.Unlock()
	g.Go(func() error {
		<-ctx.Done()
		return nil
	})
	return g.Wait()
}

// Send queues messages for a replica without blocking; messages that do not fit into the queue are dropped.
func (t *Transport) Send(to camphorhinge.ReplicaID, messages []consensus.Message) {
	q := t.queue(to)
	for _, m := range messages {
		select {
		case q <- m:
		default:
			t.dropped.Inc()
		}
	}
}

// queue returns the queue of a replica. It creates the queue when needed, and sends its messages if Run was called.
func (t *Transport) queue(to camphorhinge.ReplicaID) chan consensus.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[to]
	if q == nil {
		q = make(chan consensus.Message, queueLength)
		t.queues[to] = q
		if t.group != nil && t.ctx.Err() == nil {
			t.group.Go(func() error { return t.sendQueue(t.ctx, to, q) })
		}
	}
	return q
}

// sendQueue sends the queued messages of one replica in batches, one call at a time.
func (t *Transport) sendQueue(ctx context.Context, to camphorhinge.ReplicaID, q chan consensus.Message) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-q:
			t.step(ctx, to, t.batch(m, q))
		}
	}
}

// batch encodes the first message and queued ones after it, until the queue is empty or the batch has batchBytes.
func (t *Transport) batch(first consensus.Message, q chan consensus.Message) *peerpb.StepRequest {
	req := &peerpb.StepRequest{Cluster: string(t.cfg.Cluster), From: uint64(t.cfg.Replica), Address: t.cfg.Address}
	size := 0
	for m := first; ; {
		data := consensus.AppendMessage(nil, &m)
		size += len(data)
		req.Messages = append(req.Messages, data)
		if size >= batchBytes {
			return req
		}
		select {
		case m = <-q:
		default:
			return req
		}
	}
}

// step sends one batch to a replica, or drops it when the address is unknown or the call fails.
func (t *Transport) step(ctx context.Context, to camphorhinge.ReplicaID, req *peerpb.StepRequest) {
	address := t.cfg.Addresses.Address(to)
	if address == "" {
		t.dropped.Add(len(req.GetMessages()))
		return
	}
	req.To = uint64(to)
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if _, err := t.cfg.Pool.Get(address).Replica.Step(ctx, req); err != nil {
		t.dropped.Add(len(req.GetMessages()))
		return
	}
	t.sent.Add(len(req.GetMessages()))
	for _, m := range req.GetMessages() {
		t.bytes.Add(len(m))
	}
}

// SendChunk delivers one chunk of a snapshot and returns once the replica has accepted it.
func (t *Transport) SendChunk(ctx context.Context, req *peerpb.ChunkRequest) error {
	to := camphorhinge.ReplicaID(req.GetTo())
	address := t.cfg.Addresses.Address(to)
	if address == "" {
		return &Error{Op: "send chunk", Kind: KindUnreachable, Err: fmt.Errorf("no address of replica %d", to)}
	}
	req.Cluster, req.From, req.Address = string(t.cfg.Cluster), uint64(t.cfg.Replica), t.cfg.Address
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	if _, err := t.cfg.Pool.Get(address).Replica.Chunk(ctx, req); err != nil {
		return &Error{Op: "send chunk", Kind: KindUnreachable, Err: err}
	}
	t.bytes.Add(len(req.GetData()))
	return nil
}

// Step implements peerpb.Replica: it delivers a batch of messages from another replica. If one of them cannot be
// decoded, none is delivered.
func (t *Transport) Step(ctx context.Context, req *peerpb.StepRequest) (*peerpb.StepResponse, error) {
	if err := t.checkRecipient("step", req.GetCluster(), req.GetTo()); err != nil {
		return nil, err
	}
	t.cfg.Addresses.Update(camphorhinge.ReplicaID(req.GetFrom()), req.GetAddress())
	messages := make([]consensus.Message, len(req.GetMessages()))
	for i, data := range req.GetMessages() {
		m, err := consensus.DecodeMessage(data)
		if err != nil {
			return nil, &Error{Op: "step", Kind: KindMalformed, Err: err}
		}
		messages[i] = m
	}
	if err := t.cfg.Deliver(ctx, messages); err != nil {
		return nil, err
	}
	return &peerpb.StepResponse{}, nil
}

// Chunk implements peerpb.Replica: it delivers one chunk of a snapshot.
func (t *Transport) Chunk(ctx context.Context, req *peerpb.ChunkRequest) (*peerpb.ChunkResponse, error) {
	if err := t.checkRecipient("chunk", req.GetCluster(), req.GetTo()); err != nil {
		return nil, err
	}
	t.cfg.Addresses.Update(camphorhinge.ReplicaID(req.GetFrom()), req.GetAddress())
	if err := t.cfg.Chunk(ctx, req); err != nil {
		return nil, err
	}
	return &peerpb.ChunkResponse{}, nil
}

// checkRecipient returns an error for messages to another cluster or another replica ID, such as the earlier ID of a
// replica that lost its disk.
func (t *Transport) checkRecipient(op, cluster string, to uint64) error {
	if cluster != string(t.cfg.Cluster) || camphorhinge.ReplicaID(to) != t.cfg.Replica {
		return &Error{Op: op, Kind: KindForeign, Err: fmt.Errorf("for replica %d of cluster %q", to, cluster)}
	}
	return nil
}
