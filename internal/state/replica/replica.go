package replica

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/wal"
)

const (
	// tickInterval is the time between two ticks of the Core.
	tickInterval = 50 * time.Millisecond
	// defaultSnapshotEntries and defaultSnapshotBytes are the defaults of Config.SnapshotEntries and Config.SnapshotBytes.
	defaultSnapshotEntries = 4096
	defaultSnapshotBytes   = 8 << 20
	// keptEntries is the number of entries kept in memory after a snapshot, so that a replica that lags slightly needs no
	// snapshot. Config.KeptBytes bounds them as well.
	keptEntries = 512
	// defaultKeptBytes is the default of Config.KeptBytes. Below it are 512 configurations of 64 KB, which have some 270 routes.
	defaultKeptBytes = 32 << 20
	// defaultQueuedBytes is the default of Config.QueuedBytes. It is above consensus.Limits.UncommittedBytes, so that a queue of small
	// commands is bounded by their number or by the Core.
	defaultQueuedBytes = 16 << 20
	// maxQueued bounds each of the queued messages, proposals and actions.
	maxQueued = 4096
	// repairedVoters is the number of voters of a group that can lose any one of them.
	repairedVoters = 3
)

// Storage is the durable log of a replica; *wal.Log implements it. Only one goroutine at a time calls its methods, except
// Identity, which must be safe for concurrent use.
type Storage interface {
	Identity() wal.Identity
	State() wal.State
	First() camphorhinge.Index
	Last() camphorhinge.Index
	Entries(lo, hi camphorhinge.Index) ([]wal.Entry, error)
	Snapshot() (index camphorhinge.Index, term camphorhinge.Term, data []byte, err error)
	Append(entries []wal.Entry) error
	SaveState(s wal.State) error
	SaveSnapshot(index camphorhinge.Index, term camphorhinge.Term, data []byte) error
	Compact(index camphorhinge.Index) error
	Sync() error
}

var _ Storage = (*wal.Log)(nil)

// Transport sends messages and snapshots to other replicas.
type Transport interface {
	// Send queues messages without blocking. It may drop, delay or reorder them.
	Send(to camphorhinge.ReplicaID, messages []consensus.Message)
	// SendChunk sends a chunk of a snapshot and returns once the receiver has accepted it.
	SendChunk(ctx context.Context, to camphorhinge.ReplicaID, c Chunk) error
}

// Config holds the dependencies and settings of a Replica.
type Config struct {
	Storage   Storage
	Transport Transport
	// Clock is monotonic and includes suspended time.
	Clock camphorhinge.Clock
	// Wall returns the wall-clock time in milliseconds since the Unix epoch, for the stamps of commands.
	Wall func() int64
	// Machines holds the machine that applies the commands of each kind.
	Machines map[camphorhinge.CommandKind]camphorhinge.Machine
	// Seed seeds the random election timeouts and should differ between replicas.
	Seed uint64
	Log  *slog.Logger
	// Timing and Limits have the defaults of package consensus if they are zero.
	Timing consensus.Timing
	Limits consensus.Limits
	// SnapshotEntries and SnapshotBytes are the size of the log since the last snapshot at which a new one is taken; 0
	// means the default.
	SnapshotEntries int
	SnapshotBytes   int
	// KeptBytes bounds the data of the entries that are kept in memory after a snapshot; a replica that lags further behind gets a
	// snapshot. 0 means the default.
	KeptBytes int
	// QueuedBytes bounds the data of the queued proposals, and that of the entries in queued messages; a single larger one is accepted
	// while none is queued. 0 means the default.
	QueuedBytes int
	// OnLeader and OnFollower, if set, are called alternately by one goroutine, with the term of the leadership that began
	// or ended. They may be called late, so work of a leader checks Authority as well.
	OnLeader   func(camphorhinge.Term)
	OnFollower func(camphorhinge.Term)
}

// Replica is one replica of the durable state. New creates it and Run runs it; other methods may be called
// concurrently.
type Replica struct {
	cfg      Config
	id       camphorhinge.ReplicaID
	core     *consensus.Core
	machines router
	view     atomic.Pointer[view]

	// mu guards inbox, which holds the inputs of the loop; wake has a buffer of one signal.
	mu    sync.Mutex
	inbox inbox
	wake  chan struct{}

	writer *writer
	chunks assembler
	// tasks holds the goroutines of Run, with those that encode or send snapshots.
	tasks *errgroup.Group
	hooks *queue[hook]

	// Only the loop uses the fields below.

	// pendingProposals holds the calls that wait for the entry at an index, pendingReads those that wait for a heartbeat
	// round, and confirmedReads those that wait until their index is applied.
	pendingProposals map[camphorhinge.Index]*call
	pendingReads     map[uint64]*call
	readSeq          uint64
	confirmedReads   []*call
	// sendingSnapshot holds the replicas to which a snapshot is being sent.
	sendingSnapshot map[camphorhinge.ReplicaID]bool
	// lastStamp is the stamp of the latest proposal.
	lastStamp int64
	// leaderTerm is the term for which OnLeader was queued without a later OnFollower, or 0.
	leaderTerm camphorhinge.Term
	// snapshot is the latest stored or installed snapshot, encoded as it is sent to other replicas.
	snapshot encodedSnapshot
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot was started or installed.
	bytesSinceSnapshot int
	// nextSnapshotIndex is the applied index at which the number of entries makes a snapshot due; see snapshotDue.
	nextSnapshotIndex camphorhinge.Index
	savingSnapshot    bool
	// nextHandOver is the time before which leadership is not handed over again because of the disk.
	nextHandOver camphorhinge.Instant
}

// view is a copy of the Core's state for other goroutines.
type view struct {
	status          consensus.Status
	hasLease        bool
	leaseEnd        camphorhinge.Instant
	committedInTerm bool
	applied         camphorhinge.Index
	// transferring is true while this replica hands leadership over.
	transferring bool
}

// New loads the stored state into the machines and returns a Replica, which takes part in the group once Run is called.
// Open opens the log for Config.Storage.
func New(cfg Config) (*Replica, error) {
	const op = "new"
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = defaultSnapshotEntries
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = defaultSnapshotBytes
	}
	if cfg.KeptBytes == 0 {
		cfg.KeptBytes = defaultKeptBytes
	}
	if cfg.QueuedBytes == 0 {
		cfg.QueuedBytes = defaultQueuedBytes
	}
	if cfg.Timing == (consensus.Timing{}) {
		cfg.Timing = consensus.DefaultTiming()
	}
	if cfg.Limits == (consensus.Limits{}) {
		cfg.Limits = consensus.DefaultLimits()
	}
	r := &Replica{
		cfg: cfg, id: cfg.Storage.Identity().Replica, machines: newRouter(cfg.Machines),
		wake: make(chan struct{}, 1), sendingSnapshot: make(map[camphorhinge.ReplicaID]bool),
		pendingProposals: make(map[camphorhinge.Index]*call), pendingReads: make(map[uint64]*call),
		writer: &writer{storage: cfg.Storage, clock: cfg.Clock, log: cfg.Log, jobs: newQueue[write]()}, hooks: newQueue[hook](),
	}
	start := consensus.Config{ID: r.id, Now: cfg.Clock.Now(), Seed: cfg.Seed, Timing: cfg.Timing, Limits: cfg.Limits}
	state := cfg.Storage.State()
	start.HardState = consensus.HardState{Term: state.Term, Vote: state.Vote}
	index, _, data, err := cfg.Storage.Snapshot()
	if err != nil {
		return nil, &Error{Op: op, Kind: KindStorage, Err: err}
	}
	if index > 0 {
		s, err := decodeSnapshot(data)
		if err != nil {
			return nil, err
		}
		if err := r.machines.restore(s.Data); err != nil {
			return nil, err
		}
		r.machines.applied = index
		start.Snapshot, r.snapshot = s.SnapshotMeta, encodedSnapshot{meta: s.SnapshotMeta, data: data}
	}
	if start.Entries, err = loadEntries(cfg.Storage, index); err != nil {
		return nil, &Error{Op: op, Kind: KindStorage, Err: err}
	}
	if r.core, err = consensus.New(start); err != nil {
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: err}
	}
	r.nextSnapshotIndex = index + camphorhinge.Index(cfg.SnapshotEntries)
	r.publish()
	return r, nil
}

// Run runs the replica until ctx ends, in which case it returns nil, or until storage fails or committed state can't be
// decoded.
func (r *Replica) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	r.tasks = g
	r.mu.Lock()
	r.inbox.open = true
	r.mu.Unlock()
	g.Go(func() error { return r.writer.run(ctx, r.wakeLoop) })
	g.Go(func() error { return r.runHooks(ctx) })
	g.Go(func() error {
		defer r.failAllCalls()
		return r.loop(ctx)
	})
	return g.Wait()
}

// wakeLoop makes the loop process its inputs; it does not block.
func (r *Replica) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := r.cfg.Clock.Now()
			r.core.Tick(now)
			r.handOverIfStuck(now)
		case <-r.wake:
		}
		r.processInputs()
		if err := r.processReady(ctx); err != nil {
			return err
		}
	}
}

// handOverIfStuck hands leadership over when the disk of this replica, the leader, is full or does not answer.
func (r *Replica) handOverIfStuck(now camphorhinge.Instant) {
	s := r.core.Status()
	if s.Role != consensus.Leader || !r.writer.stuck(now) || r.core.Transferring() || now < r.nextHandOver {
		return
	}
	r.nextHandOver = now.Add(r.cfg.Timing.ElectionMin)
	to := successor(s)
	if err := r.core.Transfer(now, to); err != nil {
		r.cfg.Log.Warn("disk takes no writes, and leadership can't be handed over", "to", to, "full", r.writer.full.Load(), "error", err)
		return
	}
	r.cfg.Log.Warn("leadership is handed over, since the disk takes no writes", "to", to, "full", r.writer.full.Load())
}

// processInputs passes all queued inputs to the Core.
func (r *Replica) processInputs() {
	r.mu.Lock()
	in := r.inbox
	r.inbox = inbox{open: in.open}
	r.mu.Unlock()
	now := r.cfg.Clock.Now()
	if write := r.writer.syncedWrite.Load(); write > 0 {
		r.core.Synced(now, write)
	}
	for _, m := range in.messages {
		if err := r.core.Step(now, m); err != nil {
			r.cfg.Log.Warn("refused message", "from", m.From, "error", err)
		}
	}
	for _, a := range in.actions {
		if a.call == nil || a.call.tryStart() {
			a.run(now)
		}
	}
	r.proposeAll(now, in.proposals)
}

// processReady performs the work of each Ready until there is no more. It publishes the view before it sends messages
// and ends calls, so that a lease that was given up never appears valid here once other replicas can act on that.
func (r *Replica) processReady(ctx context.Context) error {
	for {
		r.finishReads()
		ready := r.core.Ready()
		r.publish()
		if ready.Empty() {
			r.failLostProposals()
			r.queueLeadershipHooks()
			return r.startSnapshotIfDue()
		}
		if ready.Write > 0 {
			r.writer.jobs.add(newWrite(&ready))
		}
		r.transmit(ready.Messages)
		if ready.Snapshot != nil {
			if err := r.installSnapshot(*ready.Snapshot); err != nil {
				return err
			}
		}
		for _, e := range ready.Committed {
			if err := r.apply(e); err != nil {
				return err
			}
		}
		for _, s := range ready.Reads {
			r.confirmRead(s)
		}
		for _, s := range ready.SendSnapshots {
			r.sendSnapshot(ctx, s)
		}
	}
}

// transmit sends messages in one batch per receiver.
func (r *Replica) transmit(messages []consensus.Message) {
	byReceiver := make(map[camphorhinge.ReplicaID][]consensus.Message)
	var order []camphorhinge.ReplicaID
	for _, m := range messages {
		if byReceiver[m.To] == nil {
			order = append(order, m.To)
		}
		byReceiver[m.To] = append(byReceiver[m.To], m)
	}
	for _, to := range order {
		r.cfg.Transport.Send(to, byReceiver[to])
	}
}

// publish stores a new view of the Core for other goroutines.
func (r *Replica) publish() {
	v := &view{
		status: r.core.Status(), committedInTerm: r.core.CommittedInTerm(), applied: r.machines.applied,
		transferring: r.core.Transferring(),
	}
	v.leaseEnd, v.hasLease = r.core.LeaseEnd()
	r.view.Store(v)
}

// queueLeadershipHooks queues OnFollower if this replica's leadership has ended, and OnLeader once this replica, as a new
// leader, has applied all entries of earlier leaders.
func (r *Replica) queueLeadershipHooks() {
	v := r.view.Load()
	leads := v.status.Role == consensus.Leader
	if r.leaderTerm != 0 && (!leads || v.status.Term != r.leaderTerm) {
		r.cfg.Log.Info("leadership ended", "term", r.leaderTerm)
		r.hooks.add(hook{term: r.leaderTerm})
		r.leaderTerm = 0
	}
	// Once the first entry of this term is committed and applied, all entries of earlier leaders are applied as well.
	if leads && r.leaderTerm == 0 && v.committedInTerm && r.machines.applied >= v.status.Commit {
		r.leaderTerm = v.status.Term
		r.cfg.Log.Info("leadership began", "term", r.leaderTerm)
		r.hooks.add(hook{term: r.leaderTerm, leader: true})
	}
}
