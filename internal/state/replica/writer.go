package replica

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/wal"
)

// write is a job of the writer: the writes of a Ready, or a snapshot of this replica's machines.
type write struct {
	// number is Ready.Write; it is 0 for a snapshot of this replica's machines.
	number    uint64
	hardState *consensus.HardState
	snapshot  *encodedSnapshot
	entries   []consensus.Entry
	// local marks a snapshot of this replica's machines, which only shortens the log. done is called with true once it is
	// durable, or with false if there was no space for it.
	local bool
	done  func(ok bool)
}

// newWrite returns the write job of a Ready.
func newWrite(r *consensus.Ready) write {
	w := write{number: r.Write, hardState: r.HardState, entries: r.Entries}
	if r.Snapshot != nil {
		w.snapshot = &encodedSnapshot{
			meta: r.Snapshot.SnapshotMeta,
			data: encodeSnapshot(r.Snapshot.SnapshotMeta, r.Snapshot.Data),
		}
	}
	return w
}

// queue passes values to one goroutine. It is unbounded, since its producers are bounded by other means.
type queue[T any] struct {
	mu    sync.Mutex
	items []T
	wake  chan struct{}
}

func newQueue[T any]() *queue[T] { return &queue[T]{wake: make(chan struct{}, 1)} }

func (q *queue[T]) add(x T) {
	q.mu.Lock()
	q.items = append(q.items, x)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// drain removes and returns all queued values.
func (q *queue[T]) drain() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

const (
	// fullPause is the pause between two attempts to write to a full disk.
	fullPause = 100 * time.Millisecond
	// stuckTime is how long a write may take before a leader hands leadership over. It is longer than those of a slow disk.
	stuckTime = 500 * time.Millisecond
)

// writer owns the storage. Writes that are queued during a sync share the next one. While the disk has no space, it repeats the write.
type writer struct {
	storage Storage
	clock   camphorhinge.Clock
	log     *slog.Logger
	jobs    *queue[write]
	// syncedWrite is the number of the last synced write.
	syncedWrite atomic.Uint64
	// busySince is when the writes under way began, or 0 if there are none. full is set while the disk has no space for them.
	busySince atomic.Int64
	full      atomic.Bool
}

// stuck reports whether the writes under way have taken longer than stuckTime.
func (w *writer) stuck(now camphorhinge.Instant) bool {
	since := camphorhinge.Instant(w.busySince.Load())
	return since != 0 && now.Sub(since) > stuckTime
}

// run processes the jobs until ctx ends or a write fails. It calls signal after each batch.
func (w *writer) run(ctx context.Context, signal func()) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.jobs.wake:
		}
		w.busySince.Store(int64(max(w.clock.Now(), 1)))
		if err := w.writeAll(ctx, w.jobs.drain()); err != nil {
			return &Error{Op: "write", Kind: KindStorage, Err: err}
		}
		w.busySince.Store(0)
		signal()
	}
}

// writeAll performs jobs in order and then, if the write of a Ready is among them, syncs once. Local snapshots need no
// sync, since SaveSnapshot makes them durable. It returns early without an error if ctx ends.
func (w *writer) writeAll(ctx context.Context, jobs []write) error {
	var last uint64
	for _, j := range jobs {
		var err error
		if j.local {
			err = w.saveLocalSnapshot(j)
		} else {
			last, err = j.number, w.writeWhenSpace(ctx, j)
		}
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	if last == 0 {
		return nil
	}
	if err := w.storage.Sync(); err != nil {
		return err
	}
	w.syncedWrite.Store(last)
	return nil
}

// writeWhenSpace performs a job, and repeats it while the disk has no space, until ctx ends.
func (w *writer) writeWhenSpace(ctx context.Context, j write) error {
	for {
		err := w.writeOne(j)
		if !mayRepeat(err) {
			if w.full.Swap(false) && err == nil {
				w.log.Info("disk has space again")
			}
			return err
		}
		if !w.full.Swap(true) {
			w.log.Warn("disk is full, the replica waits for space", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(fullPause):
		}
	}
}

// mayRepeat reports whether a write failed for lack of space and left the log usable. After a sync that failed for lack of space it is
// not.
func mayRepeat(err error) bool {
	var e *wal.Error
	return errors.Is(err, camphorhinge.ErrNoSpace) && errors.As(err, &e) && e.Kind == wal.KindFull
}

func (w *writer) writeOne(j write) error {
	if j.hardState != nil {
		if err := w.storage.SaveState(wal.State{Term: j.hardState.Term, Vote: j.hardState.Vote}); err != nil {
			return err
		}
	}
	if s := j.snapshot; s != nil {
		if err := w.storage.SaveSnapshot(s.meta.Index, s.meta.Term, s.data); err != nil {
			return err
		}
		if err := w.storage.Compact(s.meta.Index); err != nil {
			return err
		}
	}
	return w.storage.Append(walEntries(j.entries))
}

// saveLocalSnapshot stores a snapshot of this replica's machines and shortens the log. If there is no space for it, the
// log stays as it is.
func (w *writer) saveLocalSnapshot(j write) error {
	err := w.storage.SaveSnapshot(j.snapshot.meta.Index, j.snapshot.meta.Term, j.snapshot.data)
	var e *wal.Error
	if errors.As(err, &e) && e.Kind == wal.KindFull {
		j.done(false)
		return nil
	}
	if err != nil {
		return err
	}
	if err := w.storage.Compact(j.snapshot.meta.Index); err != nil {
		return err
	}
	j.done(true)
	return nil
}

// hook is a pending call of OnLeader or, if leader is false, of OnFollower.
type hook struct {
	term   camphorhinge.Term
	leader bool
}

// runHooks calls the hooks in order. It runs outside the loop, so that hooks may propose and read.
func (r *Replica) runHooks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.hooks.wake:
		}
		for _, h := range r.hooks.drain() {
			switch {
			case h.leader && r.cfg.OnLeader != nil:
				r.cfg.OnLeader(h.term)
			case !h.leader && r.cfg.OnFollower != nil:
				r.cfg.OnFollower(h.term)
			}
		}
	}
}
