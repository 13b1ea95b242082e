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
	// chunkBytes is the size of a part of a snapshot.
	chunkBytes = 256 << 10
	// snapshotPart is the part of a large snapshot's size that the log must reach before the number of entries counts.
	snapshotPart = 4
	// snapshotPause is the wait after a failed sending, so that an unreachable replica costs little.
	snapshotPause = 300 * time.Millisecond
)

// Chunk is a part of an encoded snapshot. The parts of one snapshot are sent in order, each after the one before was taken.
type Chunk struct {
	From   camphorhinge.ReplicaID
	Term   camphorhinge.Term
	Index  camphorhinge.Index
	Offset uint64
	Data   []byte
	// Last marks the end of the snapshot.
	Last bool
}

// compact takes a snapshot when enough was applied since the last one. The state is encoded beside the loop.
func (r *Replica) compact() error {
	applied := r.machines.applied
	if r.saving || !r.enough() || applied <= r.snapshot.meta.Index {
		return nil
	}
	meta, err := r.core.SnapshotMeta(applied)
	if err != nil {
		return &Error{Op: "snapshot", Kind: KindCorrupt, Err: err}
	}
	encode := r.machines.freeze()
	r.saving, r.sinceBytes = true, 0
	r.snapshotDue = applied + camphorhinge.Index(r.cfg.SnapshotEntries)
	r.tasks.Go(func() error {
		state, err := encode()
		if err != nil {
			return err
		}
		s := stored{meta: meta, data: encodeSnapshot(meta, state)}
		r.inform(func(camphorhinge.Instant) { r.save(s) })
		return nil
	})
	return nil
}

// enough reports whether the log since the last snapshot is worth a new one: it has many bytes, or many entries. With a
// large state the entries count only when they are a fair part of it, so that it is not encoded for a few small ones.
func (r *Replica) enough() bool {
	if r.sinceBytes >= r.cfg.SnapshotBytes {
		return true
	}
	size := len(r.snapshot.data)
	return r.machines.applied >= r.snapshotDue && (size < r.cfg.SnapshotBytes || r.sinceBytes >= size/snapshotPart)
}

// save stores an encoded snapshot, unless one from the leader has come first.
func (r *Replica) save(s stored) {
	if s.meta.Index <= r.snapshot.meta.Index {
		r.saving = false
		return
	}
	r.writer.jobs.add(write{own: true, snapshot: &s, done: func(ok bool) {
		r.inform(func(camphorhinge.Instant) { r.saved(s, ok) })
	}})
}

func (r *Replica) saved(s stored, ok bool) {
	r.saving = false
	if !ok {
		r.cfg.Log.Warn("no space for a snapshot", "index", s.meta.Index, "bytes", len(s.data))
		return
	}
	if s.meta.Index > r.snapshot.meta.Index {
		r.snapshot = s
	}
	keep := s.meta.Index - min(s.meta.Index, keptEntries)
	r.core.Compact(s.meta, keep)
}

// install replaces the state of the machines by a snapshot from the leader.
func (r *Replica) install(s consensus.Snapshot) error {
	if err := r.machines.restore(s.Data); err != nil {
		return err
	}
	r.machines.applied = s.Index
	r.snapshot = stored{meta: s.SnapshotMeta, data: encodeSnapshot(s.SnapshotMeta, s.Data)}
	r.snapshotDue, r.sinceBytes = s.Index+camphorhinge.Index(r.cfg.SnapshotEntries), 0
	r.cfg.Log.Info("snapshot installed", "index", s.Index, "bytes", len(s.Data))
	return nil
}

// sendSnapshot sends the latest stored snapshot in the background. A request that can't be met now, since an earlier
// sending to that replica still runs, is answered after a pause; an answer at once would be followed by the next request.
func (r *Replica) sendSnapshot(ctx context.Context, req consensus.SnapshotRequest) {
	s := r.snapshot
	possible := !r.sending[req.To] && s.meta.Index >= req.Index
	if possible {
		r.sending[req.To] = true
	}
	r.tasks.Go(func() error {
		ok := possible && r.sendChunks(ctx, req, s)
		if !ok {
			pause(ctx, snapshotPause)
		}
		r.inform(func(now camphorhinge.Instant) {
			if possible {
				delete(r.sending, req.To)
			}
			r.core.SnapshotSent(now, req, s.meta.Index, ok)
		})
		return nil
	})
}

func (r *Replica) sendChunks(ctx context.Context, req consensus.SnapshotRequest, s stored) bool {
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

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// assembler collects the parts of one snapshot at a time.
type assembler struct {
	mu   sync.Mutex
	head Chunk
	data []byte
}

// add returns the whole data after the last part. A part that doesn't continue the previous one is refused, on which the
// sender starts again.
func (a *assembler) add(c Chunk) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Offset == 0 {
		a.head, a.data = Chunk{From: c.From, Term: c.Term, Index: c.Index}, nil
	}
	if c.From != a.head.From || c.Term != a.head.Term || c.Index != a.head.Index || c.Offset != uint64(len(a.data)) ||
		len(a.data)+len(c.Data) > wal.MaxSnapshotBytes {
		return nil, failure("receive chunk", KindRefused, "part at %d of snapshot %d does not continue at %d of snapshot %d",
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

// ReceiveChunk takes a part of a snapshot from the leader.
func (r *Replica) ReceiveChunk(_ context.Context, c Chunk) error {
	const op = "receive chunk"
	if c.Term < r.view.Load().status.Term {
		return failure(op, KindRefused, "part of the old term %d", c.Term)
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
		return failure(op, KindCorrupt, "snapshot at %d was announced as %d", s.Index, c.Index)
	}
	r.inform(func(now camphorhinge.Instant) {
		if err := r.core.InstallSnapshot(now, c.From, c.Term, s); err != nil {
			r.cfg.Log.Warn("refused snapshot", "from", c.From, "index", c.Index, "error", err)
		}
	})
	return nil
}
