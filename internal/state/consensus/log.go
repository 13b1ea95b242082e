package consensus

import (
	"slices"

	"example.org/camphorhinge"
)

// memoryLog is the part of the log after the last compacted entry; entries[i] has index prev.Index+1+i.
type memoryLog struct {
	// prev has the index and term of the last compacted entry; its Data is unused.
	prev    Entry
	entries []Entry
}

func (l *memoryLog) first() camphorhinge.Index { return l.prev.Index + 1 }

func (l *memoryLog) last() camphorhinge.Index {
	return l.prev.Index + camphorhinge.Index(len(l.entries))
}

func (l *memoryLog) lastTerm() camphorhinge.Term {
	if len(l.entries) == 0 {
		return l.prev.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at i; ok is false when i is compacted or beyond the end.
func (l *memoryLog) term(i camphorhinge.Index) (t camphorhinge.Term, ok bool) {
	switch {
	case i == l.prev.Index:
		return l.prev.Term, true
	case i < l.prev.Index || i > l.last():
		return 0, false
	}
	return l.entries[i-l.prev.Index-1].Term, true
}

// matches reports whether the entry at i has term t; it returns false if i is compacted or beyond the end.
func (l *memoryLog) matches(i camphorhinge.Index, t camphorhinge.Term) bool {
	have, ok := l.term(i)
	return ok && have == t
}

// slice returns the entries from index from to index to, inclusive. They share memory with the log, which never changes
// entries in place.
func (l *memoryLog) slice(from, to camphorhinge.Index) []Entry {
	if from > to {
		return nil
	}
	lo, hi := from-l.prev.Index-1, to-l.prev.Index
	return l.entries[lo:hi:hi]
}

// truncate drops the entries from index i on. The rest is clipped, so that later appends don't overwrite entries that
// slice has returned.
func (l *memoryLog) truncate(i camphorhinge.Index) {
	l.entries = slices.Clip(l.entries[:i-l.prev.Index-1])
}

func (l *memoryLog) append(es ...Entry) { l.entries = append(l.entries, es...) }

// compact drops the entries up to index i. It does nothing if i is not in the log.
func (l *memoryLog) compact(i camphorhinge.Index) {
	t, ok := l.term(i)
	if !ok {
		return
	}
	l.entries = slices.Clone(l.entries[i-l.prev.Index:])
	l.prev = Entry{Index: i, Term: t}
}

// keepBefore returns the lowest index such that the entries after it, up to index i, are within the given numbers of entries and of bytes
// of data. It is not below that of the last compacted entry.
func (l *memoryLog) keepBefore(i camphorhinge.Index, entries, bytes int) camphorhinge.Index {
	i = min(i, l.last())
	for size, n := 0, 0; i > l.prev.Index && n < entries; n++ {
		size += len(l.entries[i-l.prev.Index-1].Data)
		if size > bytes {
			break
		}
		i--
	}
	return i
}

func (l *memoryLog) reset(i camphorhinge.Index, t camphorhinge.Term) {
	l.prev, l.entries = Entry{Index: i, Term: t}, nil
}

// hint returns index and term of the last entry at or below i whose term is at most t. Above that index this log can't
// match a log with term t at i. The term is 0 if i is compacted.
func (l *memoryLog) hint(i camphorhinge.Index, t camphorhinge.Term) (camphorhinge.Index, camphorhinge.Term) {
	i = min(i, l.last())
	for ; i > l.prev.Index; i-- {
		if have, _ := l.term(i); have <= t {
			return i, have
		}
	}
	if i == l.prev.Index {
		return i, l.prev.Term
	}
	return i, 0
}
