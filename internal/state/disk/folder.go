package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"example.org/camphorhinge"
)

// lockName is the name of the lock file, which List omits.
const lockName = "lock"

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Folder is a FileSystem on a folder of the operating system's file system. It holds the folder's lock until Close.
type Folder struct {
	path string
	lock *os.File
}

var _ camphorhinge.FileSystem = (*Folder)(nil)

// Open creates the folder if it does not exist and acquires its lock. It returns an error of KindLocked when another
// process, or another Folder of this process, holds the lock.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, &Error{Op: "open folder", Kind: KindSystem, Err: err}
	}
	// Makes the folder's own directory entry durable.
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return nil, &Error{Op: "open folder", Kind: KindSystem, Err: err}
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, &Error{Op: "open folder", Kind: KindSystem, Err: err}
	}
	for {
		err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if !errors.Is(err, unix.EINTR) {
			break
		}
	}
	if err != nil {
		lock.Close()
		kind := KindSystem
		if errors.Is(err, unix.EWOULDBLOCK) {
			kind = KindLocked
		}
		return nil, &Error{Op: "lock folder " + path, Kind: kind, Err: err}
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock. Open files remain usable.
func (f *Folder) Close() error {
	if err := f.lock.Close(); err != nil {
		return &Error{Op: "close folder", Kind: KindSystem, Err: err}
	}
	return nil
}

// checkName rejects names outside the folder and the name of the lock file.
func checkName(op, name string) error {
	if name == "" || name == "." || name == ".." || name == lockName || strings.ContainsAny(name, "/\\\x00") {
		return &Error{Op: op, Kind: KindName, Err: fmt.Errorf("invalid file name %q", name)}
	}
	return nil
}

func (f *Folder) open(op, name string, flag int) (camphorhinge.File, error) {
	if err := checkName(op, name); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(f.path, name), flag, fileMode)
	if err != nil {
		return nil, systemError(op, err)
	}
	return systemFile{file}, nil
}

// Create implements camphorhinge.FileSystem.
func (f *Folder) Create(name string) (camphorhinge.File, error) {
	return f.open("create", name, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// Open implements camphorhinge.FileSystem.
func (f *Folder) Open(name string) (camphorhinge.File, error) {
	return f.open("open", name, os.O_RDWR|os.O_APPEND)
}

// Rename implements camphorhinge.FileSystem.
func (f *Folder) Rename(from, to string) error {
	for _, name := range []string{from, to} {
		if err := checkName("rename", name); err != nil {
			return err
		}
	}
	if err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to)); err != nil {
		return &Error{Op: "rename", Kind: KindSystem, Err: err}
	}
	return nil
}

// Remove implements camphorhinge.FileSystem.
func (f *Folder) Remove(name string) error {
	if err := checkName("remove", name); err != nil {
		return err
	}
	if err := os.Remove(filepath.Join(f.path, name)); err != nil {
		return &Error{Op: "remove", Kind: KindSystem, Err: err}
	}
	return nil
}

// List implements camphorhinge.FileSystem. It omits the lock file and everything that is not a regular file.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, &Error{Op: "list", Kind: KindSystem, Err: err}
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir implements camphorhinge.FileSystem.
func (f *Folder) SyncDir() error {
	if err := syncFolder(f.path); err != nil {
		return &Error{Op: "sync folder", Kind: KindSystem, Err: err}
	}
	return nil
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// systemFile is an operating system file opened for appending.
type systemFile struct{ file *os.File }

func systemError(op string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrClosed):
		return &Error{Op: op, Kind: KindClosed, Err: err}
	case errors.Is(err, unix.ENOSPC), errors.Is(err, unix.EDQUOT):
		return &Error{Op: op, Kind: KindFull, Err: err}
	}
	return &Error{Op: op, Kind: KindSystem, Err: err}
}

// ReadAt implements io.ReaderAt.
func (f systemFile) ReadAt(p []byte, off int64) (int, error) {
	n, err := f.file.ReadAt(p, off)
	if errors.Is(err, io.EOF) {
		// Callers may compare the error with == io.EOF, as the contract of io.ReaderAt allows.
		return n, io.EOF
	}
	return n, systemError("read", err)
}

// Write appends to the file.
func (f systemFile) Write(p []byte) (int, error) {
	n, err := f.file.Write(p)
	return n, systemError("write", err)
}

// Close implements io.Closer.
func (f systemFile) Close() error { return systemError("close", f.file.Close()) }

// Sync implements camphorhinge.File.
func (f systemFile) Sync() error { return systemError("sync", f.file.Sync()) }

// Truncate implements camphorhinge.File.
func (f systemFile) Truncate(size int64) error { return systemError("truncate", f.file.Truncate(size)) }

// Size implements camphorhinge.File.
func (f systemFile) Size() (int64, error) {
	info, err := f.file.Stat()
	if err != nil {
		return 0, systemError("size", err)
	}
	return info.Size(), nil
}

// ReadFile returns the contents of a file.
func ReadFile(fsys camphorhinge.FileSystem, name string) ([]byte, error) {
	file, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(file, 0, size), b); err != nil {
		return nil, err
	}
	return b, nil
}
