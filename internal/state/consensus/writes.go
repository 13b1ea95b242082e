package consensus

import (
	"slices"

	"example.org/camphorhinge"
)

// writeState tracks which writes were handed out and which are synced.
type writeState struct {
	// dirty is true when the next Ready has something to write; hardDirty when that includes the hard state.
	dirty          bool
	hardStateDirty bool
	// lastWrite numbers the latest handed out write; synced the latest confirmed one.
	lastWrite   uint64
	syncedWrite uint64
	// hardStateWrite numbers the write, possibly a future one, that holds the current hard state.
	hardStateWrite uint64
	// writtenIndex is the last entry handed out; durable is the last synced one.
	writtenIndex camphorhinge.Index
	durableIndex camphorhinge.Index
	pending      []pendingWrite
}

// pendingWrite is a handed out write after which the log ends at last.
type pendingWrite struct {
	write uint64
	last  camphorhinge.Index
}

// deferredMessage may leave once write is synced.
type deferredMessage struct {
	write   uint64
	message Message
}

func (w *writeState) markHardStateDirty() {
	w.dirty, w.hardStateDirty = true, true
	w.hardStateWrite = w.lastWrite + 1
}

// coveringWrite numbers the write after which all present state is durable.
func (w *writeState) coveringWrite() uint64 {
	if w.dirty {
		return w.lastWrite + 1
	}
	return w.lastWrite
}

func (w *writeState) begin(last camphorhinge.Index) uint64 {
	w.dirty = false
	w.lastWrite++
	w.pending = append(w.pending, pendingWrite{write: w.lastWrite, last: last})
	return w.lastWrite
}

func (w *writeState) confirm(write uint64) {
	w.syncedWrite = max(w.syncedWrite, min(write, w.lastWrite))
	for len(w.pending) > 0 && w.pending[0].write <= w.syncedWrite {
		w.durableIndex = w.pending[0].last
		w.pending = w.pending[1:]
	}
}

// truncate notes that entries from i on are no longer part of the log, although they may be stored.
func (w *writeState) truncate(i camphorhinge.Index) {
	w.writtenIndex, w.durableIndex = min(w.writtenIndex, i-1), min(w.durableIndex, i-1)
	for k := range w.pending {
		w.pending[k].last = min(w.pending[k].last, i-1)
	}
}

// reset notes that the log is replaced by a snapshot at i, which the next write holds.
func (w *writeState) reset(i camphorhinge.Index) {
	w.truncate(1)
	w.writtenIndex = i
	w.dirty = true
}

// withSender fills in the sender, and the current term unless the message names another one.
func (c *Core) withSender(m Message) Message {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	return m
}

// send queues a message that reveals no unsynced state.
func (c *Core) send(m Message) { c.outbox = append(c.outbox, c.withSender(m)) }

// sendAfterTerm queues a message that reveals the term and the vote.
func (c *Core) sendAfterTerm(m Message) { c.sendAfterWrite(c.writes.hardStateWrite, m) }

// sendAfterAll queues a message that reveals the log, the term and the vote.
func (c *Core) sendAfterAll(m Message) { c.sendAfterWrite(c.writes.coveringWrite(), m) }

// sendAfterWrite queues a message that may leave once write is synced. One to this replica itself always waits for Synced.
func (c *Core) sendAfterWrite(write uint64, m Message) {
	m = c.withSender(m)
	if write <= c.writes.syncedWrite && m.To != c.id {
		c.outbox = append(c.outbox, m)
		return
	}
	// The held messages are sorted by write. One that needs an earlier write than its predecessors goes before them.
	at := len(c.deferred)
	for at > 0 && c.deferred[at-1].write > write {
		at--
	}
	c.deferred = slices.Insert(c.deferred, at, deferredMessage{write: write, message: m})
}
