package replica

import (
	"context"
	"sync"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/wal"
)

const (
	// chunkBytes is the size of a chunk; the last one of a snapshot may be smaller.
	chunkBytes = 256 << 10
	// minLogDivisor applies if the last snapshot is large: a new one is then due to the number of entries only if the size
	// of these entries is at least 1/minLogDivisor of the last snapshot's.
	minLogDivisor = 4
	// snapshotRetryDelay is the delay after a failed transfer, which limits the cost of an unreachable replica.
	snapshotRetryDelay = 300 * time.Millisecond
)

// Chunk is a part of an encoded snapshot. The chunks of a snapshot are sent in order, each after the previous one was
// accepted.
type Chunk struct {
	// From is the leader that sends the snapshot, in its term Term.
	From camphorhinge.ReplicaID
	Term camphorhinge.Term
	// Index is the index of the snapshot; Offset is the position of Data in its encoding, in bytes.
	Index  camphorhinge.Index
	Offset uint64
	Data   []byte
	// Last marks the end of the snapshot.
	Last bool
}

// startSnapshotIfDue starts a snapshot if enough entries were applied since the last one. The state is encoded outside
// the loop.
func (r *Replica) startSnapshotIfDue() error {
	applied := r.machines.applied
	if r.savingSnapshot || !r.snapshotDue() || applied <= r.snapshot.meta.Index {
		return nil
	}
	meta, err := r.core.SnapshotMeta(applied)
	if err != nil {
		return &Error{Op: "snapshot", Kind: KindCorrupt, Err: err}
	}
	encode := r.machines.freeze()
	r.savingSnapshot, r.bytesSinceSnapshot = true, 0
	r.nextSnapshotIndex = applied + camphorhinge.Index(r.cfg.SnapshotEntries)
	r.tasks.Go(func() error {
		state, err := encode()
		if err != nil {
			return err
		}
		s := encodedSnapshot{meta: meta, data: encodeSnapshot(meta, state)}
		r.runInLoop(func(camphorhinge.Instant) { r.saveSnapshot(s) })
		return nil
	})
	return nil
}

// snapshotDue reports whether the log since the last snapshot is large enough for a new one, in bytes or in entries. If
// the last snapshot is large, the number of entries counts only once their size is at least 1/minLogDivisor of its size,
// so that a large state is not encoded for a few small entries.
func (r *Replica) snapshotDue() bool {
	if r.bytesSinceSnapshot >= r.cfg.SnapshotBytes {
		return true
	}
	size := len(r.snapshot.data)
	return r.machines.applied >= r.nextSnapshotIndex &&
		(size < r.cfg.SnapshotBytes || r.bytesSinceSnapshot >= size/minLogDivisor)
}

// saveSnapshot queues an encoded snapshot for storage, unless a newer one from the leader has been installed meanwhile.
func (r *Replica) saveSnapshot(s encodedSnapshot) {
	if s.meta.Index <= r.snapshot.meta.Index {
		r.savingSnapshot = false
		return
	}
	r.writer.jobs.add(write{local: true, snapshot: &s, done: func(ok bool) {
		r.runInLoop(func(camphorhinge.Instant) { r.snapshotSaved(s, ok) })
	}})
}

// snapshotSaved compacts the log after a snapshot was stored; ok is false if there was no space for it.
func (r *Replica) snapshotSaved(s encodedSnapshot, ok bool) {
	r.savingSnapshot = false
	if !ok {
		r.cfg.Log.Warn("no space for a snapshot", "index", s.meta.Index, "bytes", len(s.data))
		return
	}
	if s.meta.Index > r.snapshot.meta.Index {
		r.snapshot = s
	}
	r.core.Compact(s.meta, r.core.KeepBefore(s.meta.Index, keptEntries, r.cfg.KeptBytes))
}

// installSnapshot replaces the state of the machines with a snapshot from the leader.
func (r *Replica) installSnapshot(s consensus.Snapshot) error {
	if err := r.machines.restore(s.Data); err != nil {
		return err
	}
	r.machines.applied = s.Index
	r.snapshot = encodedSnapshot{meta: s.SnapshotMeta, data: encodeSnapshot(s.SnapshotMeta, s.Data)}
	r.nextSnapshotIndex, r.bytesSinceSnapshot = s.Index+camphorhinge.Index(r.cfg.SnapshotEntries), 0
	r.cfg.Log.Info("snapshot installed", "index", s.Index, "bytes", len(s.Data))
	return nil
}

// sendSnapshot sends the latest stored snapshot in the background. If the request can't be met, for example because an
// earlier transfer to that replica still runs, the failure is reported after snapshotRetryDelay; otherwise the Core
// would repeat the request at once.
func (r *Replica) sendSnapshot(ctx context.Context, req consensus.SnapshotRequest) {
	s := r.snapshot
	possible := !r.sendingSnapshot[req.To] && s.meta.Index >= req.Index
	if possible {
		r.sendingSnapshot[req.To] = true
	}
	r.tasks.Go(func() error {
		ok := possible && r.sendChunks(ctx, req, s)
		if !ok {
			sleep(ctx, snapshotRetryDelay)
		}
		r.runInLoop(func(now camphorhinge.Instant) {
			if possible {
				delete(r.sendingSnapshot, req.To)
			}
			r.core.SnapshotSent(now, req, s.meta.Index, ok)
		})
		return nil
	})
}

// sendChunks sends all chunks of s in order and reports whether the receiver has accepted them.
func (r *Replica) sendChunks(ctx context.Context, req consensus.SnapshotRequest, s encodedSnapshot) bool {
	for offset := 0; ; {
		end := min(offset+chunkBytes, len(s.data))
		c := Chunk{
			From: r.id, Term: req.Term, Index: s.meta.Index, Offset: uint64(offset), Data: s.data[offset:end],
			Last: end == len(s.data),
		}
		if err := r.cfg.Transport.SendChunk(ctx, req.To, c); err != nil {
			r.cfg.Log.Warn("snapshot not sent", "to", req.To, "index", s.meta.Index, "offset", offset, "error", err)
			return false
		}
		if c.Last {
			return true
		}
		offset = end
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// assembler assembles the chunks of one snapshot at a time.
type assembler struct {
	mu sync.Mutex
	// head identifies the snapshot being assembled; its Offset and Data are unused.
	head Chunk
	data []byte
}

// add returns the complete data after the last chunk, and nil before. It refuses a chunk that does not continue the
// previous one or that makes the snapshot exceed wal.MaxSnapshotBytes; the sender then starts again.
func (a *assembler) add(c Chunk) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Offset == 0 {
		a.head, a.data = Chunk{From: c.From, Term: c.Term, Index: c.Index}, nil
	}
	if c.From != a.head.From || c.Term != a.head.Term || c.Index != a.head.Index || c.Offset != uint64(len(a.data)) ||
		len(a.data)+len(c.Data) > wal.MaxSnapshotBytes {
		return nil, failure("receive chunk", KindRefused,
			"chunk at offset %d of snapshot %d does not continue at offset %d of snapshot %d",
			c.Offset, c.Index, len(a.data), a.head.Index)
	}
	a.data = append(a.data, c.Data...)
	if !c.Last {
		return nil, nil
	}
	data := a.data
	a.head, a.data = Chunk{}, nil
	return data, nil
}

// ReceiveChunk accepts a chunk of a snapshot from the leader, and queues the snapshot for installation after the last
// one.
func (r *Replica) ReceiveChunk(_ context.Context, c Chunk) error {
	const op = "receive chunk"
	if c.Term < r.view.Load().status.Term {
		return failure(op, KindRefused, "chunk of old term %d", c.Term)
	}
	data, err := r.chunks.add(c)
	if err != nil || data == nil {
		return err
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	if s.Index != c.Index {
		return failure(op, KindCorrupt, "the snapshot is at index %d, but its chunks name index %d", s.Index, c.Index)
	}
	r.runInLoop(func(now camphorhinge.Instant) {
		if err := r.core.InstallSnapshot(now, c.From, c.Term, s); err != nil {
			r.cfg.Log.Warn("refused snapshot", "from", c.From, "index", c.Index, "error", err)
		}
	})
	return nil
}
