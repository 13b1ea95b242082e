package consensus

import (
	"slices"

	"example.org/camphorhinge"
)

// writeState tracks which writes were handed out and which are synced.
type writeState struct {
	// dirty is true when the next Ready has something to write; hardDirty when that includes the hard state.
	dirty     bool
	hardDirty bool
	// last numbers the latest handed out write; synced the latest confirmed one.
	last   uint64
	synced uint64
	// term numbers the write, possibly a future one, that holds the current hard state.
	term uint64
	// written is the last entry handed out; durable is the last synced one.
	written camphorhinge.Index
	durable camphorhinge.Index
	pending []pendingWrite
}

// pendingWrite is a handed out write after which the log ends at last.
type pendingWrite struct {
	write uint64
	last  camphorhinge.Index
}

// heldMessage may leave once write is synced.
type heldMessage struct {
	write   uint64
	message Message
}

func (w *writeState) hardChanged() {
	w.dirty, w.hardDirty = true, true
	w.term = w.last + 1
}

// current numbers the write after which all present state is durable.
func (w *writeState) current() uint64 {
	if w.dirty {
		return w.last + 1
	}
	return w.last
}

func (w *writeState) begin(last camphorhinge.Index) uint64 {
	w.dirty = false
	w.last++
	w.pending = append(w.pending, pendingWrite{write: w.last, last: last})
	return w.last
}

func (w *writeState) confirm(write uint64) {
	w.synced = max(w.synced, min(write, w.last))
	for len(w.pending) > 0 && w.pending[0].write <= w.synced {
		w.durable = w.pending[0].last
		w.pending = w.pending[1:]
	}
}

// truncate notes that entries from i on are no longer part of the log, although they may be stored.
func (w *writeState) truncate(i camphorhinge.Index) {
	w.written, w.durable = min(w.written, i-1), min(w.durable, i-1)
	for k := range w.pending {
		w.pending[k].last = min(w.pending[k].last, i-1)
	}
}

// reset notes that the log is replaced by a snapshot at i, which the next write holds.
func (w *writeState) reset(i camphorhinge.Index) {
	w.truncate(1)
	w.written = i
	w.dirty = true
}

// stamped fills in the sender, and the current term unless the message names another one.
func (c *Core) stamped(m Message) Message {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	return m
}

// send queues a message that reveals no unsynced state.
func (c *Core) send(m Message) { c.outbox = append(c.outbox, c.stamped(m)) }

// sendAfterTerm queues a message that reveals the term and the vote.
func (c *Core) sendAfterTerm(m Message) { c.hold(c.writes.term, m) }

// sendAfterAll queues a message that reveals the log, the term and the vote.
func (c *Core) sendAfterAll(m Message) { c.hold(c.writes.current(), m) }

// hold queues a message that may leave once write is synced. One to this replica itself always waits for Synced.
func (c *Core) hold(write uint64, m Message) {
	m = c.stamped(m)
	if write <= c.writes.synced && m.To != c.id {
		c.outbox = append(c.outbox, m)
		return
	}
	// The held messages are sorted by write. One that needs an earlier write than its predecessors goes before them.
	at := len(c.held)
	for at > 0 && c.held[at-1].write > write {
		at--
	}
	c.held = slices.Insert(c.held, at, heldMessage{write: write, message: m})
}
