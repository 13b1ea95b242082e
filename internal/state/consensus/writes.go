package consensus

import (
	"slices"

	"example.org/camphorhinge"
)

// writeState tracks which writes were passed to the driver and which are synced.
type writeState struct {
	// dirty is true if the next Ready contains a write; hardStateDirty if that includes the hard state.
	dirty          bool
	hardStateDirty bool
	// lastWrite is the number of the latest write passed to the driver, syncedWrite that of the latest synced one.
	lastWrite   uint64
	syncedWrite uint64
	// hardStateWrite is the number of the write, possibly a future one, that contains the current hard state.
	hardStateWrite uint64
	// writtenIndex is the last entry passed to the driver; durableIndex is the last synced one.
	writtenIndex camphorhinge.Index
	durableIndex camphorhinge.Index
	pending      []pendingWrite
}

// pendingWrite is an unsynced write, after which the log ends at index last.
type pendingWrite struct {
	write uint64
	last  camphorhinge.Index
}

// deferredMessage is a message to be sent once write is synced.
type deferredMessage struct {
	write   uint64
	message Message
}

func (w *writeState) markHardStateDirty() {
	w.dirty, w.hardStateDirty = true, true
	w.hardStateWrite = w.lastWrite + 1
}

// coveringWrite returns the number of the write after which all current state is durable.
func (w *writeState) coveringWrite() uint64 {
	if w.dirty {
		return w.lastWrite + 1
	}
	return w.lastWrite
}

// begin adds a pending write after which the log ends at last, and returns its number.
func (w *writeState) begin(last camphorhinge.Index) uint64 {
	w.dirty = false
	w.lastWrite++
	w.pending = append(w.pending, pendingWrite{write: w.lastWrite, last: last})
	return w.lastWrite
}

// confirm marks the writes up to number write as synced.
func (w *writeState) confirm(write uint64) {
	w.syncedWrite = max(w.syncedWrite, min(write, w.lastWrite))
	for len(w.pending) > 0 && w.pending[0].write <= w.syncedWrite {
		w.durableIndex = w.pending[0].last
		w.pending = w.pending[1:]
	}
}

// truncate limits all recorded indexes to below i, since entries from i on may be stored but have left the log.
func (w *writeState) truncate(i camphorhinge.Index) {
	w.writtenIndex, w.durableIndex = min(w.writtenIndex, i-1), min(w.durableIndex, i-1)
	for k := range w.pending {
		w.pending[k].last = min(w.pending[k].last, i-1)
	}
}

// reset records that a snapshot at index i, part of the next write, replaces the log.
func (w *writeState) reset(i camphorhinge.Index) {
	w.truncate(1)
	w.writtenIndex = i
	w.dirty = true
}

// withSender returns m with this replica as the sender, and with the current term if m has none.
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

// sendAfterWrite queues a message to be sent once write is synced. A message to this replica itself always waits for
// Synced.
func (c *Core) sendAfterWrite(write uint64, m Message) {
	m = c.withSender(m)
	if write <= c.writes.syncedWrite && m.To != c.id {
		c.outbox = append(c.outbox, m)
		return
	}
	// Deferred messages are sorted by write and, for equal writes, by the order of their insertion.
	at := len(c.deferred)
	for at > 0 && c.deferred[at-1].write > write {
		at--
	}
	c.deferred = slices.Insert(c.deferred, at, deferredMessage{write: write, message: m})
}
