package wal

import (
	"errors"
	"fmt"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/disk"
)

// SaveSnapshot durably replaces the snapshot with one that covers the entries up to index. If the log contains the
// entry with this index and term, the entries above it are kept; otherwise the snapshot comes from a leader whose log
// differs, and all entries are dropped. A snapshot at or below the current one is ignored.
//
// If the snapshot file can't be written, for example because the disk is full, the error is of KindFull, the previous
// snapshot is kept and the log remains usable.
func (l *Log) SaveSnapshot(index camphorhinge.Index, term camphorhinge.Term, data []byte) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if index <= l.snapshot.index {
		return l.reconcile() // There may have been no space for it at an earlier call.
	}
	if term == 0 || len(data) > MaxSnapshotBytes {
		return misuse("save snapshot", "invalid snapshot: index %d, term %d, %d bytes", index, term, len(data))
	}
	if logTerm, ok := l.Term(index); ok && logTerm != term && index <= l.state.Commit {
		return misuse("save snapshot", "snapshot has term %d at committed index %d, the log has term %d", term, index, logTerm)
	}
	file, err := l.fs.Create(temporaryName)
	if err != nil {
		return &Error{Op: "save snapshot", Kind: KindFull, Err: err}
	}
	body := append(appendUvarints(nil, uint64(index), uint64(term)), data...)
	if _, err := file.Write(appendFrame(nil, frameSnapshot, 0, 0, body)); err != nil {
		file.Close()
		// Removing the file frees its space for the log; if that fails, the next Open removes it.
		return &Error{Op: "save snapshot", Kind: KindFull, Err: errors.Join(err, l.fs.Remove(temporaryName))}
	}
	if err := install(l.fs, file, snapshotName(index)); err != nil {
		return l.fail("save snapshot", err)
	}
	old := l.snapshot
	l.snapshot = snapshotMeta{index: index, term: term}
	if old.index > 0 {
		// A crash may undo the removal; Open then removes the old snapshot.
		if err := l.fs.Remove(snapshotName(old.index)); err != nil {
			return l.fail("save snapshot", err)
		}
	}
	return l.reconcile()
}

// install syncs and closes the temporary file, renames it to name and makes the rename durable.
func install(fsys camphorhinge.FileSystem, file camphorhinge.File, name string) error {
	err := file.Sync()
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = fsys.Rename(temporaryName, name)
	}
	if err == nil {
		err = fsys.SyncDir()
	}
	return err
}

// reconcile drops all entries and restarts the log after the snapshot, unless the log contains the snapshot's last
// entry. It writes a reset frame; without it, replay would take later entries as replacements of the dropped ones.
func (l *Log) reconcile() error {
	s := l.snapshot
	if s.index == 0 || l.first == s.index+1 {
		return nil
	}
	if term, ok := l.entryTerm(s.index); ok && term == s.term {
		return nil
	}
	body := appendUvarints(nil, uint64(s.index), uint64(s.term))
	if err := l.write("reset", appendFrame(nil, frameReset, l.endOffset(), l.synced, body)); err != nil {
		return err
	}
	l.first, l.locations = s.index+1, nil
	return l.Sync()
}

// entryTerm returns the term of a stored entry; ok is false for any other index.
func (l *Log) entryTerm(index camphorhinge.Index) (camphorhinge.Term, bool) {
	if index < l.first || index > l.Last() {
		return 0, false
	}
	return l.locations[index-l.first].term, true
}

// Snapshot reads the current snapshot; index is 0 and data is nil when there is none.
func (l *Log) Snapshot() (index camphorhinge.Index, term camphorhinge.Term, data []byte, err error) {
	if l.snapshot.index == 0 {
		return 0, 0, nil, nil
	}
	m, data, err := loadSnapshot(l.fs, l.snapshot.index)
	return m.index, m.term, data, err
}

func loadSnapshot(fsys camphorhinge.FileSystem, index camphorhinge.Index) (snapshotMeta, []byte, error) {
	name := snapshotName(index)
	file, err := disk.ReadFile(fsys, name)
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
		err = fmt.Errorf("file contains a snapshot of index %d, term %d", m.index, m.term)
	}
	if err != nil {
		return snapshotMeta{}, nil, &Error{Op: "read " + name, Kind: KindCorrupt, Err: err}
	}
	return m, r.b, nil
}
