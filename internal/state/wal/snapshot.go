package wal

import (
	"errors"
	"fmt"

	"example.org/camphorhinge"
)

// SaveSnapshot makes a snapshot of the state up to an index durable, in place of the earlier one. Entries above the
// index stay when the log holds the entry (index, term), and are dropped otherwise: then the snapshot comes from a
// leader whose log differs. A snapshot at or below the present one is passed over.
//
// When the disk is full the error is of KindFull, the earlier snapshot stays and the log goes on.
func (l *Log) SaveSnapshot(index camphorhinge.Index, term camphorhinge.Term, data []byte) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if index <= l.snapshot.index {
		return nil
	}
	if term == 0 || len(data) > MaxSnapshotBytes {
		return misuse("save snapshot", "index %d, term %d, %d bytes", index, term, len(data))
	}
	if held, ok := l.Term(index); ok && held != term && index <= l.state.Commit {
		return misuse("save snapshot", "term %d at committed index %d, the log has term %d", term, index, held)
	}
	file, err := l.fs.Create(temporaryName)
	if err != nil {
		return &Error{Op: "save snapshot", Kind: KindFull, Err: err}
	}
	body := append(appendUvarints(nil, uint64(index), uint64(term)), data...)
	if _, err := file.Write(appendFrame(nil, frameSnapshot, 0, 0, body)); err != nil {
		file.Close()
		// Frees the space for the log; Open removes the file when this fails.
		return &Error{Op: "save snapshot", Kind: KindFull, Err: errors.Join(err, l.fs.Remove(temporaryName))}
	}
	if err := install(l.fs, file, snapshotName(index)); err != nil {
		return l.fail("save snapshot", err)
	}
	old := l.snapshot
	l.snapshot = snapshotMeta{index: index, term: term}
	if err := l.reconcile(); err != nil {
		return err
	}
	if old.index > 0 {
		// An old snapshot that comes back after a crash is removed by Open.
		if err := l.fs.Remove(snapshotName(old.index)); err != nil {
			return l.fail("save snapshot", err)
		}
	}
	return nil
}

// install makes a written temporary file durable under its name.
func install(fsys camphorhinge.FileSystem, file camphorhinge.File, name string) error {
	err := file.Sync()
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = fsys.Rename(temporaryName, name)
	}
	if err == nil {
		err = fsys.SyncDir()
	}
	return err
}

// reconcile starts the log anew after the snapshot when it does not hold the snapshot's last entry. The reset is
// written to the log, since entries that follow it would otherwise look as if they replaced the dropped ones.
func (l *Log) reconcile() error {
	s := l.snapshot
	if s.index == 0 || l.first == s.index+1 {
		return nil
	}
	if held, ok := l.entryTerm(s.index); ok && held == s.term {
		return nil
	}
	body := appendUvarints(nil, uint64(s.index), uint64(s.term))
	if err := l.write("reset", appendFrame(nil, frameReset, l.endOffset(), l.synced, body)); err != nil {
		return err
	}
	l.first, l.locations = s.index+1, nil
	return l.Sync()
}

// entryTerm returns the term of a kept entry.
func (l *Log) entryTerm(index camphorhinge.Index) (camphorhinge.Term, bool) {
	if index < l.first || index > l.Last() {
		return 0, false
	}
	return l.locations[index-l.first].term, true
}

// Snapshot reads the snapshot; its index is 0 and data nil when there is none.
func (l *Log) Snapshot() (index camphorhinge.Index, term camphorhinge.Term, data []byte, err error) {
	if l.snapshot.index == 0 {
		return 0, 0, nil, nil
	}
	m, data, err := loadSnapshot(l.fs, l.snapshot.index)
	return m.index, m.term, data, err
}

func loadSnapshot(fsys camphorhinge.FileSystem, index camphorhinge.Index) (snapshotMeta, []byte, error) {
	name := snapshotName(index)
	file, err := readFile(fsys, name)
	if err != nil {
		return snapshotMeta{}, nil, &Error{Op: "read " + name, Kind: KindDisk, Err: err}
	}
	body, err := decodeSingleFrame(file, frameSnapshot)
	r := bodyReader{b: body}
	m := snapshotMeta{index: camphorhinge.Index(r.uvarint()), term: camphorhinge.Term(r.uvarint())}
	if err == nil {
		err = r.err
	}
	if err == nil && (m.index != index || m.term == 0) {
		err = fmt.Errorf("snapshot of index %d, term %d", m.index, m.term)
	}
	if err != nil {
		return snapshotMeta{}, nil, &Error{Op: "read " + name, Kind: KindCorrupt, Err: err}
	}
	return m, r.b, nil
}
