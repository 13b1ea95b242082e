package wal

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"example.org/camphorhinge"
)

const (
	// DefaultSegmentBytes is the default size at which a new segment is started, in bytes.
	DefaultSegmentBytes = 4 << 20
	// DefaultMaxBytes is the default limit on the total size of all segments, in bytes.
	DefaultMaxBytes = 64 << 20
	// MaxEntryBytes is the maximum size of Entry.Data, in bytes.
	MaxEntryBytes = 8 << 20
	// MaxSnapshotBytes is the maximum size of a snapshot's data, in bytes; the length field of a frame has 32 bits.
	MaxSnapshotBytes = 1 << 30
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindEmpty marks a folder without a log.
	KindEmpty Kind = "empty"
	// KindExists marks the creation of a log in a folder that is already in use.
	KindExists Kind = "exists"
	// KindCorrupt marks durable data that was altered or is missing; the replica must not use this folder any more.
	KindCorrupt Kind = "corrupt"
	// KindDisk marks a failed file system operation.
	KindDisk Kind = "disk"
	// KindFull marks an append that would exceed Config.MaxBytes, a write for which the disk had no space, or a snapshot that could
	// not be written. The log remains usable, and the call may be repeated. The error wraps camphorhinge.ErrNoSpace if the disk had
	// no space.
	KindFull Kind = "full"
	// KindCompacted marks entries that have been removed by compaction.
	KindCompacted Kind = "compacted"
	// KindMisuse marks a call that would violate an invariant of the log, which is unchanged.
	KindMisuse Kind = "misuse"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("wal: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func misuse(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindMisuse, Err: fmt.Errorf(format, args...)}
}

// Identity identifies the replica and the cluster to which a folder belongs.
type Identity struct {
	Replica camphorhinge.ReplicaID
	Cluster camphorhinge.ClusterID
}

// State is the hard state of a replica.
type State struct {
	Term camphorhinge.Term
	// Vote is the replica that received this replica's vote in Term, or 0 for none.
	Vote   camphorhinge.ReplicaID
	Commit camphorhinge.Index
}

// Entry is one log entry; Kind and Data are opaque to the log.
type Entry struct {
	Index camphorhinge.Index
	Term  camphorhinge.Term
	Kind  byte
	Data  []byte
}

// Config sets the size limits of a log; 0 means the default.
type Config struct {
	// SegmentBytes is the size at which a new segment is started, in bytes.
	SegmentBytes int64
	// MaxBytes is the maximum total size of all segments, in bytes.
	MaxBytes int64
}

func (c Config) withDefaults() Config {
	if c.SegmentBytes == 0 {
		c.SegmentBytes = DefaultSegmentBytes
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	return c
}

// segment is an open segment file; frames are appended to the last one.
type segment struct {
	number uint64
	file   camphorhinge.File
	size   int64
}

// location is the position of an entry's frame on disk, together with the entry's term.
type location struct {
	segment uint64
	offset  int64
	size    int
	term    camphorhinge.Term
}

// Log is the open log of one replica.
type Log struct {
	fs       camphorhinge.FileSystem
	cfg      Config
	id       Identity
	state    State
	snapshot snapshotMeta
	// first is the index of locations[0], or of the next entry when there is none.
	first     camphorhinge.Index
	locations []location
	segments  []segment
	// synced is the durable length of the last segment.
	synced int64
	// writeErr is set after a failed write or by Close, and is returned by all later writes.
	writeErr error
}

// snapshotMeta identifies the last log entry that a snapshot covers; index 0 means that there is no snapshot.
type snapshotMeta struct {
	index camphorhinge.Index
	term  camphorhinge.Term
}

// Identity returns the identity stored in the folder.
func (l *Log) Identity() Identity { return l.id }

// State returns the latest hard state, which may not be durable yet.
func (l *Log) State() State { return l.state }

// First returns the index of the first stored entry, or Last plus one when there is none.
func (l *Log) First() camphorhinge.Index { return l.first }

// Last returns the index of the last entry, or of the snapshot when no entry follows it.
func (l *Log) Last() camphorhinge.Index { return l.first + camphorhinge.Index(len(l.locations)) - 1 }

// Size returns the total size of all segments, in bytes.
func (l *Log) Size() int64 {
	size := int64(0)
	for _, s := range l.segments {
		size += s.size
	}
	return size
}

// Term returns the term of a stored entry or of the last entry that the snapshot covers; ok is false for any other
// index.
func (l *Log) Term(index camphorhinge.Index) (term camphorhinge.Term, ok bool) {
	if term, ok := l.entryTerm(index); ok {
		return term, true
	}
	if index == l.snapshot.index && index > 0 {
		return l.snapshot.term, true
	}
	return 0, false
}

// fail records a write error, which makes the log reject all further writes.
func (l *Log) fail(op string, err error) error {
	l.writeErr = &Error{Op: op, Kind: KindDisk, Err: err}
	return l.writeErr
}

// Append writes contiguous entries, which replace all existing entries from the index of the first one on. That index
// must be above the commit index and the snapshot, and at most Last plus one. After an error of KindFull because the disk had no space,
// the log ends before that index.
func (l *Log) Append(entries []Entry) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if len(entries) == 0 {
		return nil
	}
	from := entries[0].Index
	if from <= l.snapshot.index || from <= l.state.Commit || from > l.Last()+1 {
		return misuse("append", "entry %d is out of range: last entry %d, commit index %d, snapshot index %d",
			from, l.Last(), l.state.Commit, l.snapshot.index)
	}
	total := int64(0)
	for i, e := range entries {
		if e.Index != from+camphorhinge.Index(i) || e.Term == 0 || len(e.Data) > MaxEntryBytes {
			return misuse("append", "invalid entry: index %d at position %d of a batch from %d, term %d, %d bytes", e.Index, i, from, e.Term, len(e.Data))
		}
		total += entryOverhead + int64(len(e.Data))
	}
	if size := l.Size(); size+total > l.cfg.MaxBytes {
		return &Error{Op: "append", Kind: KindFull, Err: fmt.Errorf("segments of %d bytes and an append of %d bytes exceed the limit of %d", size, total, l.cfg.MaxBytes)}
	}
	err := l.appendFrames(entries)
	if errors.Is(err, camphorhinge.ErrNoSpace) {
		// A part of the frames may be stored, in earlier segments; those of the repeated call replace them.
		l.truncate(from)
	}
	return err
}

// appendFrames writes the frames of entries, which replace the existing ones from the index of the first one on.
func (l *Log) appendFrames(entries []Entry) error {
	l.truncate(entries[0].Index)
	var buf, body []byte
	for _, e := range entries {
		if l.endOffset()+int64(len(buf)) >= l.cfg.SegmentBytes {
			if err := l.write("append", buf); err != nil {
				return err
			}
			buf = buf[:0]
			if err := l.rotate(); err != nil {
				return err
			}
		}
		offset := l.endOffset() + int64(len(buf))
		body = appendEntry(body[:0], e)
		start := len(buf)
		buf = appendFrame(buf, frameEntry, offset, l.synced, body)
		l.locations = append(l.locations, location{segment: l.lastSegment().number, offset: offset, size: len(buf) - start, term: e.Term})
	}
	return l.write("append", buf)
}

// truncate removes the entries from an index on from the in-memory index; their frames remain in the segments.
func (l *Log) truncate(from camphorhinge.Index) {
	if from <= l.first {
		l.first, l.locations = from, nil
		return
	}
	if from <= l.Last() {
		l.locations = l.locations[:from-l.first]
	}
}

// SaveState writes the hard state. Neither its term nor its commit index may decrease, and the vote of a term may not
// change once it is set.
func (l *Log) SaveState(s State) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if s == l.state {
		return nil
	}
	if s.Term < l.state.Term || s.Commit < l.state.Commit {
		return misuse("save state", "term or commit index decreases: %+v after %+v", s, l.state)
	}
	if s.Term == l.state.Term && l.state.Vote != 0 && s.Vote != l.state.Vote {
		return misuse("save state", "second vote in term %d: for replica %d after replica %d", s.Term, s.Vote, l.state.Vote)
	}
	if err := l.write("save state", appendFrame(nil, frameState, l.endOffset(), l.synced, appendState(nil, s))); err != nil {
		return err
	}
	l.state = s
	return nil
}

// Sync makes all written data durable.
func (l *Log) Sync() error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if l.synced == l.endOffset() {
		return nil
	}
	if err := l.lastSegment().file.Sync(); err != nil {
		return l.fail("sync", err)
	}
	l.synced = l.endOffset()
	return nil
}

func (l *Log) lastSegment() *segment { return &l.segments[len(l.segments)-1] }

func (l *Log) endOffset() int64 { return l.lastSegment().size }

func (l *Log) write(op string, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	s := l.lastSegment()
	_, err := s.file.Write(b)
	if err == nil {
		s.size += int64(len(b))
		return nil
	}
	if errors.Is(err, camphorhinge.ErrNoSpace) {
		// Removes the part that was written, since the next frame must follow the last complete one.
		truncateErr := s.file.Truncate(s.size)
		if truncateErr == nil {
			return &Error{Op: op, Kind: KindFull, Err: err}
		}
		err = errors.Join(err, truncateErr)
	}
	return l.fail(op, err)
}

// rotate starts a new segment. It syncs the previous one first, so that only the newest segment can have a torn end.
func (l *Log) rotate() error {
	if err := l.Sync(); err != nil {
		return err
	}
	number := l.lastSegment().number + 1
	s, err := createSegment(l.fs, l.id, number, l.state)
	if errors.Is(err, camphorhinge.ErrNoSpace) {
		return &Error{Op: "start segment", Kind: KindFull, Err: err}
	}
	if err != nil {
		return l.fail("start segment", err)
	}
	l.segments = append(l.segments, s)
	l.synced = s.size
	return nil
}

// createSegment creates a segment and makes it durable together with its header.
func createSegment(fsys camphorhinge.FileSystem, id Identity, number uint64, s State) (segment, error) {
	file, err := fsys.Create(segmentName(number))
	if err != nil {
		return segment{}, err
	}
	header := appendFrame(nil, frameSegmentHeader, 0, 0, encodeHeader(id, number, s))
	if _, err = file.Write(header); err != nil {
		file.Close()
		// A segment without a header is no part of the log, and the next attempt creates it anew.
		return segment{}, errors.Join(err, fsys.Remove(segmentName(number)))
	}
	if err = file.Sync(); err == nil {
		err = fsys.SyncDir()
	}
	if err != nil {
		file.Close()
		return segment{}, err
	}
	return segment{number: number, file: file, size: int64(len(header))}, nil
}

// Entries returns the entries in the range [lo, hi). It returns an error of KindCompacted when some of them have been
// removed by compaction.
func (l *Log) Entries(lo, hi camphorhinge.Index) ([]Entry, error) {
	if lo >= hi {
		return nil, nil
	}
	if lo < l.first {
		return nil, &Error{Op: "entries", Kind: KindCompacted, Err: fmt.Errorf("entry %d is below the first entry %d", lo, l.first)}
	}
	if hi > l.Last()+1 {
		return nil, misuse("entries", "range end %d is beyond the last entry %d", hi, l.Last())
	}
	out := make([]Entry, 0, hi-lo)
	for _, loc := range l.locations[lo-l.first : hi-l.first] {
		e, err := l.read(loc)
		if err == nil && e.Index != lo+camphorhinge.Index(len(out)) {
			err = &Error{Op: "entries", Kind: KindCorrupt, Err: fmt.Errorf("found entry %d in place of entry %d", e.Index, lo+camphorhinge.Index(len(out)))}
		}
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func (l *Log) read(loc location) (Entry, error) {
	i, ok := slices.BinarySearchFunc(l.segments, loc.segment, func(s segment, n uint64) int { return cmp.Compare(s.number, n) })
	if !ok {
		return Entry{}, &Error{Op: "entries", Kind: KindCorrupt, Err: fmt.Errorf("segment %d is missing", loc.segment)}
	}
	buf := make([]byte, loc.size)
	if _, err := l.segments[i].file.ReadAt(buf, loc.offset); err != nil {
		return Entry{}, &Error{Op: "entries", Kind: KindDisk, Err: err}
	}
	f, err := decodeFrame(buf, loc.offset)
	var e Entry
	if err == nil {
		e, err = decodeEntry(f.body)
	}
	if err != nil {
		return Entry{}, &Error{Op: "entries", Kind: KindCorrupt, Err: err}
	}
	return e, nil
}

// Compact removes the segments that contain only entries at or below index, which must be covered by the snapshot.
// Entries below index in other segments stay readable.
func (l *Log) Compact(index camphorhinge.Index) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if index > l.snapshot.index {
		return misuse("compact", "index %d is above the snapshot index %d", index, l.snapshot.index)
	}
	firstKept := l.lastSegment().number
	if next := index + 1; next >= l.first && next <= l.Last() {
		firstKept = l.locations[next-l.first].segment
	} else if next < l.first {
		return nil
	}
	drop := 0
	for drop < len(l.segments) && l.segments[drop].number < firstKept {
		drop++
	}
	if drop == 0 {
		return nil
	}
	removed := 0
	for removed < len(l.locations) && l.locations[removed].segment < firstKept {
		removed++
	}
	l.first += camphorhinge.Index(removed)
	l.locations = slices.Clone(l.locations[removed:])
	// The hard state of the removed segments is not lost: rotate wrote it to the header of the next segment and synced it.
	var errs []error
	for _, s := range l.segments[:drop] {
		s.file.Close()
		errs = append(errs, l.fs.Remove(segmentName(s.number)))
	}
	l.segments = slices.Clone(l.segments[drop:])
	if err := errors.Join(append(errs, l.fs.SyncDir())...); err != nil {
		return l.fail("compact", err)
	}
	return nil
}

// Close closes the files without syncing them. Later writes fail. State, First, Last, Term and Size may still be
// called; Size then counts only the last segment.
func (l *Log) Close() error {
	var errs []error
	for _, s := range l.segments {
		errs = append(errs, s.file.Close())
	}
	// Size and the index methods remain usable after Close, so the last segment stays listed.
	l.segments = l.segments[len(l.segments)-1:]
	if l.writeErr == nil {
		l.writeErr = misuse("write", "the log is closed")
	}
	if err := errors.Join(errs...); err != nil {
		return &Error{Op: "close", Kind: KindDisk, Err: err}
	}
	return nil
}
