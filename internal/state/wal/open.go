package wal

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/disk"
)

const (
	identityName   = "identity"
	temporaryName  = "temporary"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
)

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

func snapshotName(index camphorhinge.Index) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, uint64(index))
}

// folderContents lists the files of a folder by type; segments and snapshots are sorted by number.
type folderContents struct {
	identity  bool
	temporary bool
	segments  []uint64
	snapshots []uint64
	others    []string
}

func listFolder(fsys camphorhinge.FileSystem) (folderContents, error) {
	names, err := fsys.List()
	if err != nil {
		return folderContents{}, &Error{Op: "list", Kind: KindDisk, Err: err}
	}
	var f folderContents
	for _, name := range names {
		prefix, digits, _ := strings.Cut(name, "-")
		number, err := strconv.ParseUint(digits, 16, 64)
		valid := err == nil && number > 0 && len(digits) == 16
		switch {
		case name == identityName:
			f.identity = true
		case name == temporaryName:
			f.temporary = true
		case valid && prefix+"-" == segmentPrefix:
			f.segments = append(f.segments, number)
		case valid && prefix+"-" == snapshotPrefix:
			f.snapshots = append(f.snapshots, number)
		default:
			f.others = append(f.others, name)
		}
	}
	slices.Sort(f.segments)
	slices.Sort(f.snapshots)
	return f, nil
}

// isUnused reports whether the folder is empty except for files that an interrupted Create may have left.
func (f folderContents) isUnused(fsys camphorhinge.FileSystem) (bool, error) {
	if f.identity || len(f.snapshots) > 0 || len(f.others) > 0 || len(f.segments) > 1 {
		return false, nil
	}
	if len(f.segments) == 0 {
		return true, nil
	}
	file, err := disk.ReadFile(fsys, segmentName(f.segments[0]))
	if err != nil {
		return false, &Error{Op: "read segment", Kind: KindDisk, Err: err}
	}
	header, err := readFrame(file, 0)
	return f.segments[0] == 1 && (err != nil && !syncedPast(file, 0) || err == nil && header.size == len(file)), nil
}

// Create creates and opens a new log in an empty folder. It returns an error of KindExists when the folder contains
// files, including those of a log whose identity is missing. The identity is written last, so that a crash leaves
// either no log or a complete one.
func Create(fsys camphorhinge.FileSystem, id Identity, cfg Config) (*Log, error) {
	if id.Replica == 0 || id.Cluster == "" {
		return nil, misuse("create", "incomplete identity %+v", id)
	}
	f, err := listFolder(fsys)
	if err != nil {
		return nil, err
	}
	if unused, err := f.isUnused(fsys); err != nil {
		return nil, err
	} else if !unused {
		return nil, &Error{Op: "create", Kind: KindExists, Err: errors.New("the folder is not empty")}
	}
	s, err := createSegment(fsys, id, 1, State{})
	if err != nil {
		return nil, &Error{Op: "create", Kind: KindDisk, Err: err}
	}
	s.file.Close()
	file, err := fsys.Create(temporaryName)
	if err == nil {
		if _, err = file.Write(appendFrame(nil, frameIdentity, 0, 0, encodeIdentity(nil, id))); err != nil {
			file.Close()
		} else {
			err = install(fsys, file, identityName)
		}
	}
	if err != nil {
		return nil, &Error{Op: "create", Kind: KindDisk, Err: err}
	}
	return Open(fsys, cfg)
}

// Open opens the log of a folder and truncates a torn write at its end. It returns an error of KindEmpty when there is
// no log, and of KindCorrupt when durable data was altered or is missing.
func Open(fsys camphorhinge.FileSystem, cfg Config) (*Log, error) {
	f, err := listFolder(fsys)
	if err != nil {
		return nil, err
	}
	if !f.identity {
		unused, err := f.isUnused(fsys)
		if err != nil {
			return nil, err
		}
		if unused {
			return nil, &Error{Op: "open", Kind: KindEmpty, Err: errors.New("the folder contains no log")}
		}
		return nil, &Error{Op: "open", Kind: KindCorrupt, Err: errors.New("the folder contains files but no identity")}
	}
	l := &Log{fs: fsys, cfg: cfg.withDefaults(), first: 1}
	if l.id, err = loadIdentity(fsys); err != nil {
		return nil, err
	}
	if n := len(f.snapshots); n > 0 {
		if l.snapshot, _, err = loadSnapshot(fsys, camphorhinge.Index(f.snapshots[n-1])); err != nil {
			return nil, err
		}
	}
	if err := l.load(f.segments); err != nil {
		l.closeFiles()
		return nil, err
	}
	if err := l.removeUnused(f); err != nil {
		l.closeFiles()
		return nil, &Error{Op: "open", Kind: KindDisk, Err: err}
	}
	if err := l.reconcile(); err != nil {
		l.closeFiles()
		return nil, err
	}
	return l, nil
}

func (l *Log) closeFiles() {
	for _, s := range l.segments {
		s.file.Close()
	}
}

func loadIdentity(fsys camphorhinge.FileSystem) (Identity, error) {
	file, err := disk.ReadFile(fsys, identityName)
	if err != nil {
		return Identity{}, &Error{Op: "read identity", Kind: KindDisk, Err: err}
	}
	body, err := decodeSingleFrame(file, frameIdentity)
	if err != nil {
		return Identity{}, &Error{Op: "read identity", Kind: KindCorrupt, Err: err}
	}
	r := bodyReader{b: body}
	id := r.identity()
	if err := r.finish(); err != nil {
		return Identity{}, &Error{Op: "read identity", Kind: KindCorrupt, Err: err}
	}
	return id, nil
}

// load replays the last run of segments with consecutive numbers. Earlier segments are assumed to be left over from a
// compaction that was not synced; if they are not, the check against the snapshot fails.
func (l *Log) load(numbers []uint64) error {
	start := len(numbers) - 1
	for start > 0 && numbers[start-1] == numbers[start]-1 {
		start--
	}
	for i := max(start, 0); i < len(numbers); i++ {
		if err := l.loadSegment(numbers[i], i == len(numbers)-1); err != nil {
			return err
		}
	}
	if len(l.segments) == 0 {
		return &Error{Op: "open", Kind: KindCorrupt, Err: errors.New("the folder contains no segment")}
	}
	// Entries before the first one may be missing only if the snapshot covers them.
	if l.first > l.snapshot.index+1 {
		return &Error{Op: "open", Kind: KindCorrupt, Err: fmt.Errorf("first entry %d does not follow snapshot index %d", l.first, l.snapshot.index)}
	}
	return nil
}

func (l *Log) loadSegment(number uint64, last bool) error {
	name := segmentName(number)
	corrupt := func(offset int, err error) error {
		return &Error{Op: "open " + name, Kind: KindCorrupt, Err: fmt.Errorf("at byte %d: %w", offset, err)}
	}
	file, err := disk.ReadFile(l.fs, name)
	if err != nil {
		return &Error{Op: "open " + name, Kind: KindDisk, Err: err}
	}
	offset := 0
	for offset < len(file) {
		f, err := readFrame(file, offset)
		if err != nil {
			if !last || syncedPast(file, offset) {
				return corrupt(offset, err)
			}
			break
		}
		if (f.kind == frameSegmentHeader) != (offset == 0) {
			return corrupt(offset, fmt.Errorf("unexpected frame of kind %d", f.kind))
		}
		if err := l.replayFrame(number, int64(offset), f); err != nil {
			return corrupt(offset, err)
		}
		offset += f.size
	}
	if offset == 0 {
		// A header is synced before any later write, so this segment was never used, and the previous one is complete.
		if !last || len(l.segments) == 0 {
			return corrupt(0, errors.New("segment has no header"))
		}
		if err := errors.Join(l.fs.Remove(name), l.fs.SyncDir()); err != nil {
			return &Error{Op: "open " + name, Kind: KindDisk, Err: err}
		}
		l.synced = l.endOffset()
		return nil
	}
	if !last {
		opened, err := l.fs.Open(name)
		if err != nil {
			return &Error{Op: "open " + name, Kind: KindDisk, Err: err}
		}
		l.segments = append(l.segments, segment{number: number, file: opened, size: int64(len(file))})
		return nil
	}
	return l.rewriteSegment(number, file[:offset])
}

// rewriteSegment replaces the last segment with a new file of its valid frames and opens it. This truncates a torn
// write and makes data durable that was written but not synced before a restart.
func (l *Log) rewriteSegment(number uint64, frames []byte) error {
	name := segmentName(number)
	fail := func(err error) error { return &Error{Op: "open " + name, Kind: KindDisk, Err: err} }
	file, err := l.fs.Create(temporaryName)
	if err != nil {
		return fail(err)
	}
	if _, err := file.Write(frames); err != nil {
		file.Close()
		return fail(err)
	}
	if err := install(l.fs, file, name); err != nil {
		return fail(err)
	}
	opened, err := l.fs.Open(name)
	if err != nil {
		return fail(err)
	}
	l.segments = append(l.segments, segment{number: number, file: opened, size: int64(len(frames))})
	l.synced = int64(len(frames))
	return nil
}

// replayFrame applies one frame of a segment, at the given offset, to the in-memory state of the log.
func (l *Log) replayFrame(number uint64, offset int64, f frame) error {
	switch f.kind {
	case frameSegmentHeader:
		id, headerNumber, s, err := decodeHeader(f.body)
		if err != nil {
			return err
		}
		if id != l.id || headerNumber != number {
			return fmt.Errorf("header belongs to segment %d of replica %d in cluster %s", headerNumber, id.Replica, id.Cluster)
		}
		l.state = s
	case frameEntry:
		e, err := decodeEntry(f.body)
		if err != nil {
			return err
		}
		if e.Index == 0 || e.Term == 0 {
			return fmt.Errorf("invalid entry: index %d, term %d", e.Index, e.Term)
		}
		if len(l.locations) == 0 && l.first == 1 {
			// Compaction may have removed earlier segments.
			l.first = e.Index
		}
		if e.Index > l.Last()+1 {
			return fmt.Errorf("entry %d does not follow entry %d", e.Index, l.Last())
		}
		l.truncate(e.Index)
		l.locations = append(l.locations, location{segment: number, offset: offset, size: f.size, term: e.Term})
	case frameState:
		r := bodyReader{b: f.body}
		s := r.state()
		if err := r.finish(); err != nil {
			return err
		}
		l.state = s
	case frameReset:
		r := bodyReader{b: f.body}
		m := snapshotMeta{index: camphorhinge.Index(r.uvarint()), term: camphorhinge.Term(r.uvarint())}
		if err := r.finish(); err != nil {
			return err
		}
		l.first, l.locations = m.index+1, nil
	default:
		return fmt.Errorf("unknown frame kind %d", f.kind)
	}
	return nil
}

// removeUnused removes the temporary file, all snapshots but the latest, and segments before the replayed ones.
func (l *Log) removeUnused(f folderContents) error {
	var names []string
	if f.temporary {
		names = append(names, temporaryName)
	}
	for _, index := range f.snapshots[:max(len(f.snapshots)-1, 0)] {
		names = append(names, snapshotName(camphorhinge.Index(index)))
	}
	for _, number := range f.segments {
		if number < l.segments[0].number {
			names = append(names, segmentName(number))
		}
	}
	present, err := l.fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		// The temporary file no longer exists if the last segment was rewritten.
		if !slices.Contains(present, name) {
			continue
		}
		if err := l.fs.Remove(name); err != nil {
			return err
		}
	}
	return l.fs.SyncDir()
}
