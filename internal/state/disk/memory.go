package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// Memory is an in-memory FileSystem for tests. Reads return all written data; only synced data is guaranteed to survive
// Crash.
type Memory struct {
	mu sync.Mutex
	// files is the current content of the folder, durableFiles that of the last SyncDir, and pendingChanges the changes
	// between the two.
	files, durableFiles map[string]*inode
	pendingChanges      []func(map[string]*inode)

	faults     Faults
	operations int
	crashed    bool
	// generation is the number of crashes; it identifies files that were opened before the last one.
	generation int
}

var _ camphorhinge.FileSystem = (*Memory)(nil)

// Faults configures the faults that a Memory injects. Operations are numbered from 1; Create, Write, Truncate, Sync,
// Rename, Remove and SyncDir count.
type Faults struct {
	// CrashAt is the operation at which the system crashes: a write takes partial effect, any other operation none, and
	// the operation and all later calls fail. 0 means never.
	CrashAt int
	// FailAt is the operation that fails once without a crash; a write takes partial effect. After a failed sync the
	// bytes remain readable but never become durable, as with a page cache that marks failed pages clean; a later
	// successful sync stores zeros in their place. 0 means never.
	FailAt int
	// Capacity is the maximum total size of all files, in bytes; 0 means no limit.
	Capacity int64
}

// inode is the content of one file; open files can use it after the file is removed.
type inode struct {
	data []byte
	// durable is the content that is guaranteed to survive a crash.
	durable []byte
	// lostFrom and lostTo bound the bytes whose sync failed: later syncs report success but store zeros in their place.
	lostFrom, lostTo int
}

// NewMemory returns an empty file system.
func NewMemory() *Memory {
	return &Memory{files: map[string]*inode{}, durableFiles: map[string]*inode{}}
}

// SetFaults replaces the faults and restarts the operation count.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults, m.operations = f, 0
}

// Operations returns the number of operations since SetFaults or Crash.
func (m *Memory) Operations() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operations
}

// Crash simulates a crash and a restart: open files become unusable, the faults are cleared and unsynced changes are
// lost. If random is not nil, a random part of them survives: some of the unsynced bytes of each file, of which some
// may be zero, and a prefix of the changes to the folder.
func (m *Memory) Crash(random *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := maps.Clone(m.durableFiles)
	if random != nil {
		for _, change := range m.pendingChanges[:random.IntN(len(m.pendingChanges)+1)] {
			change(kept)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		n := kept[name]
		data := slices.Clone(n.durable)
		if random != nil {
			data = survivors(n, random)
		}
		kept[name] = &inode{data: data, durable: slices.Clone(data)}
	}
	m.files, m.durableFiles, m.pendingChanges = kept, maps.Clone(kept), nil
	m.faults, m.operations, m.crashed = Faults{}, 0, false
	m.generation++
}

// survivors returns the content of a file after a crash: the durable bytes and a random part of the bytes appended since.
// A file that was truncated or rewritten since keeps either its durable or its current content. After a failed sync only
// the durable bytes survive.
func survivors(n *inode, random *rand.Rand) []byte {
	if n.lostTo > n.lostFrom {
		return slices.Clone(n.durable)
	}
	if len(n.data) < len(n.durable) || !slices.Equal(n.data[:len(n.durable)], n.durable) {
		if random.IntN(2) == 0 {
			return slices.Clone(n.data)
		}
		return slices.Clone(n.durable)
	}
	unsynced := slices.Clone(n.data[len(n.durable):])
	unsynced = unsynced[:random.IntN(len(unsynced)+1)]
	if len(unsynced) > 0 && random.IntN(2) == 0 {
		// The new file length became durable before some of the data, which therefore reads as zeros.
		from := random.IntN(len(unsynced))
		clear(unsynced[from : from+random.IntN(len(unsynced)-from)+1])
	}
	return append(slices.Clone(n.durable), unsynced...)
}

// Corrupt flips a bit in one byte of a file, in both the current and the durable content.
func (m *Memory) Corrupt(name string, offset int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.files[name]
	if n == nil || offset < 0 || offset >= len(n.data) {
		return &Error{Op: "corrupt", Kind: KindName, Err: fmt.Errorf("%s has no byte %d", name, offset)}
	}
	n.data[offset] ^= 0x40
	if offset < len(n.durable) {
		n.durable[offset] ^= 0x40
	}
	return nil
}

// beginOperation counts an operation and returns the fault to inject into it, if any. It is called with m.mu held.
func (m *Memory) beginOperation(op string) error {
	if m.crashed {
		return &Error{Op: op, Kind: KindCrashed, Err: errors.New("after the crash")}
	}
	m.operations++
	switch m.operations {
	case m.faults.CrashAt:
		m.crashed = true
		return &Error{Op: op, Kind: KindCrashed, Err: fmt.Errorf("at operation %d", m.operations)}
	case m.faults.FailAt:
		return &Error{Op: op, Kind: KindFault, Err: fmt.Errorf("at operation %d", m.operations)}
	}
	return nil
}

// checkRunning returns an error after a simulated crash. It is called with m.mu held.
func (m *Memory) checkRunning(op string) error {
	if m.crashed {
		return &Error{Op: op, Kind: KindCrashed, Err: errors.New("after the crash")}
	}
	return nil
}

// changeFolder applies a change to the folder and keeps it as pending until the next SyncDir. It is called with m.mu
// held.
func (m *Memory) changeFolder(apply func(map[string]*inode)) {
	apply(m.files)
	m.pendingChanges = append(m.pendingChanges, apply)
}

// Create implements camphorhinge.FileSystem.
func (m *Memory) Create(name string) (camphorhinge.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := checkName("create", name); err != nil {
		return nil, err
	}
	if err := m.beginOperation("create"); err != nil {
		return nil, err
	}
	n := m.files[name]
	if n == nil {
		n = &inode{}
		m.changeFolder(func(files map[string]*inode) { files[name] = n })
	}
	n.resize(0)
	return &memoryFile{m: m, n: n, generation: m.generation}, nil
}

func notExist(op, name string) error {
	return &Error{Op: op, Kind: KindSystem, Err: fmt.Errorf("%s: %w", name, fs.ErrNotExist)}
}

// Open implements camphorhinge.FileSystem.
func (m *Memory) Open(name string) (camphorhinge.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := checkName("open", name); err != nil {
		return nil, err
	}
	if err := m.checkRunning("open"); err != nil {
		return nil, err
	}
	n := m.files[name]
	if n == nil {
		return nil, notExist("open", name)
	}
	return &memoryFile{m: m, n: n, generation: m.generation}, nil
}

// Rename implements camphorhinge.FileSystem.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range []string{from, to} {
		if err := checkName("rename", name); err != nil {
			return err
		}
	}
	if err := m.beginOperation("rename"); err != nil {
		return err
	}
	n := m.files[from]
	if n == nil {
		return notExist("rename", from)
	}
	m.changeFolder(func(files map[string]*inode) {
		delete(files, from)
		files[to] = n
	})
	return nil
}

// Remove implements camphorhinge.FileSystem.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := checkName("remove", name); err != nil {
		return err
	}
	if err := m.beginOperation("remove"); err != nil {
		return err
	}
	if m.files[name] == nil {
		return notExist("remove", name)
	}
	m.changeFolder(func(files map[string]*inode) { delete(files, name) })
	return nil
}

// List implements camphorhinge.FileSystem.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkRunning("list"); err != nil {
		return nil, err
	}
	return slices.Sorted(maps.Keys(m.files)), nil
}

// SyncDir implements camphorhinge.FileSystem.
func (m *Memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginOperation("sync folder"); err != nil {
		return err
	}
	m.durableFiles, m.pendingChanges = maps.Clone(m.files), nil
	return nil
}

// memoryFile is an open file of a Memory.
type memoryFile struct {
	m          *Memory
	n          *inode
	generation int
	closed     bool
}

// checkUsable returns an error if the file is closed or was opened before a crash. It is called with m.mu held.
func (f *memoryFile) checkUsable(op string) error {
	if f.closed {
		return &Error{Op: op, Kind: KindClosed, Err: fs.ErrClosed}
	}
	if f.generation != f.m.generation {
		return &Error{Op: op, Kind: KindCrashed, Err: errors.New("opened before the crash")}
	}
	return f.m.checkRunning(op)
}

// ReadAt implements io.ReaderAt.
func (f *memoryFile) ReadAt(p []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.checkUsable("read"); err != nil {
		return 0, err
	}
	if off < 0 {
		return 0, &Error{Op: "read", Kind: KindSystem, Err: fmt.Errorf("offset %d", off)}
	}
	if off >= int64(len(f.n.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.n.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Write appends to the file.
func (f *memoryFile) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.checkUsable("write"); err != nil {
		return 0, err
	}
	err := f.m.beginOperation("write")
	if err != nil {
		p = p[:len(p)/2]
	}
	if free := f.m.freeBytes(); err == nil && int64(len(p)) > free {
		err = &Error{Op: "write", Kind: KindFull, Err: fmt.Errorf("%d bytes, %d free", len(p), free)}
		p = p[:free]
	}
	f.n.data = append(f.n.data, p...)
	return len(p), err
}

// freeBytes returns the remaining capacity in bytes. It is called with m.mu held.
func (m *Memory) freeBytes() int64 {
	const unlimited = 1 << 60
	if m.faults.Capacity == 0 {
		return unlimited
	}
	used := int64(0)
	for _, n := range m.files {
		used += int64(len(n.data))
	}
	return max(m.faults.Capacity-used, 0)
}

// Close implements io.Closer.
func (f *memoryFile) Close() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.closed {
		return &Error{Op: "close", Kind: KindClosed, Err: fs.ErrClosed}
	}
	f.closed = true
	return nil
}

// Sync implements camphorhinge.File.
func (f *memoryFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.checkUsable("sync"); err != nil {
		return err
	}
	if err := f.m.beginOperation("sync"); err != nil {
		f.n.markLost()
		return err
	}
	f.n.durable = slices.Clone(f.n.data)
	clear(f.n.durable[f.n.lostFrom:f.n.lostTo])
	return nil
}

// markLost marks the bytes that are not durable as lost, after a failed sync.
func (n *inode) markLost() {
	if n.lostTo == n.lostFrom {
		n.lostFrom = min(len(n.durable), len(n.data))
	}
	n.lostTo = len(n.data)
}

// resize truncates the data or extends it with zeros; bytes beyond the new size no longer count as lost.
func (n *inode) resize(size int) {
	data := make([]byte, size)
	copy(data, n.data)
	n.data = data
	n.lostFrom, n.lostTo = min(n.lostFrom, size), min(n.lostTo, size)
}

// Truncate implements camphorhinge.File.
func (f *memoryFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.checkUsable("truncate"); err != nil {
		return err
	}
	if err := f.m.beginOperation("truncate"); err != nil {
		return err
	}
	if size < 0 {
		return &Error{Op: "truncate", Kind: KindSystem, Err: fmt.Errorf("size %d", size)}
	}
	f.n.resize(int(size))
	return nil
}

// Size implements camphorhinge.File.
func (f *memoryFile) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.checkUsable("size"); err != nil {
		return 0, err
	}
	return int64(len(f.n.data)), nil
}
