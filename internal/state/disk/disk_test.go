package disk_test

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/disk"
)

func createFile(t *testing.T, fsys camphorhinge.FileSystem, name, text string) camphorhinge.File {
	t.Helper()
	f, err := fsys.Create(name)
	require.NoError(t, err)
	n, err := io.WriteString(f, text)
	require.NoError(t, err)
	require.Equal(t, len(text), n)
	return f
}

func readFile(t *testing.T, fsys camphorhinge.FileSystem, name string) string {
	t.Helper()
	f, err := fsys.Open(name)
	require.NoError(t, err)
	defer f.Close()
	size, err := f.Size()
	require.NoError(t, err)
	b, err := io.ReadAll(io.NewSectionReader(f, 0, size))
	require.NoError(t, err)
	return string(b)
}

func errorKind(t *testing.T, err error) disk.Kind {
	t.Helper()
	var diskErr *disk.Error
	require.ErrorAs(t, err, &diskErr)
	return diskErr.Kind
}

// Guards against tests that pass with Memory although Folder behaves differently.
func TestContract(t *testing.T) {
	folder, err := disk.Open(t.TempDir() + "/data")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, folder.Close()) })
	for name, fsys := range map[string]camphorhinge.FileSystem{"folder": folder, "memory": disk.NewMemory()} {
		t.Run(name, func(t *testing.T) {
			names, err := fsys.List()
			require.NoError(t, err)
			require.Empty(t, names)
			_, err = fsys.Open("none")
			require.ErrorIs(t, err, fs.ErrNotExist)
			require.ErrorIs(t, fsys.Remove("none"), fs.ErrNotExist)
			require.ErrorIs(t, fsys.Rename("none", "other"), fs.ErrNotExist)
			for _, bad := range []string{"", ".", "..", "a/b", "lock"} {
				_, err = fsys.Create(bad)
				require.Equal(t, disk.KindName, errorKind(t, err), bad)
				_, err = fsys.Open(bad)
				require.Equal(t, disk.KindName, errorKind(t, err), bad)
				require.Equal(t, disk.KindName, errorKind(t, fsys.Remove(bad)), bad)
				require.Equal(t, disk.KindName, errorKind(t, fsys.Rename("x", bad)), bad)
			}

			f := createFile(t, fsys, "b", "hello")
			require.NoError(t, f.Sync())
			p := make([]byte, 4)
			n, err := f.ReadAt(p, 3)
			require.Equal(t, 2, n)
			require.Equal(t, io.EOF, err)
			n, err = f.ReadAt(p, 9)
			require.Zero(t, n)
			require.Equal(t, io.EOF, err)
			require.NoError(t, f.Truncate(3))
			_, err = io.WriteString(f, "p!")
			require.NoError(t, err)
			require.Equal(t, "help!", readFile(t, fsys, "b"))
			require.NoError(t, f.Close())
			_, err = f.Write([]byte("x"))
			require.Equal(t, disk.KindClosed, errorKind(t, err))
			require.Equal(t, disk.KindClosed, errorKind(t, f.Sync()))

			f, err = fsys.Open("b")
			require.NoError(t, err)
			_, err = io.WriteString(f, "!")
			require.NoError(t, err)
			require.Equal(t, "help!!", readFile(t, fsys, "b"), "writes to an opened file append")
			require.NoError(t, f.Close())

			require.NoError(t, createFile(t, fsys, "a", "old").Close())
			require.NoError(t, fsys.Rename("b", "a"))
			require.Equal(t, "help!!", readFile(t, fsys, "a"))
			require.NoError(t, createFile(t, fsys, "c", "x").Close())
			names, err = fsys.List()
			require.NoError(t, err)
			require.Equal(t, []string{"a", "c"}, names)
			require.NoError(t, createFile(t, fsys, "a", "").Close())
			require.Empty(t, readFile(t, fsys, "a"), "Create truncates an existing file")
			require.NoError(t, fsys.Remove("a"))
			require.NoError(t, fsys.SyncDir())
			names, err = fsys.List()
			require.NoError(t, err)
			require.Equal(t, []string{"c"}, names)
		})
	}
}

// Guards against two processes that write to the same data folder.
func TestLock(t *testing.T) {
	path := t.TempDir()
	first, err := disk.Open(path)
	require.NoError(t, err)
	_, err = disk.Open(path)
	require.Equal(t, disk.KindLocked, errorKind(t, err))
	require.NoError(t, first.Close())
	second, err := disk.Open(path)
	require.NoError(t, err)
	require.NoError(t, second.Close())
}

// Guards against a Memory that loses less in a crash than a real file system; each case gives the files after the
// crash.
func TestCrash(t *testing.T) {
	cases := []struct {
		name string
		do   func(*testing.T, *disk.Memory)
		want map[string]string
	}{
		{"unsynced folder", func(t *testing.T, m *disk.Memory) { require.NoError(t, createFile(t, m, "new", "x").Sync()) }, map[string]string{"old": "abc"}},
		{"unsynced bytes", func(t *testing.T, m *disk.Memory) {
			createFile(t, m, "new", "x")
			require.NoError(t, m.SyncDir())
		}, map[string]string{"old": "abc", "new": ""}},
		{"unsynced rename", func(t *testing.T, m *disk.Memory) { require.NoError(t, m.Rename("old", "new")) }, map[string]string{"old": "abc"}},
		{"synced rename", func(t *testing.T, m *disk.Memory) {
			require.NoError(t, m.Rename("old", "new"))
			require.NoError(t, m.SyncDir())
		}, map[string]string{"new": "abc"}},
		{"unsynced removal", func(t *testing.T, m *disk.Memory) { require.NoError(t, m.Remove("old")) }, map[string]string{"old": "abc"}},
		{"unsynced truncation", func(t *testing.T, m *disk.Memory) {
			f, err := m.Open("old")
			require.NoError(t, err)
			require.NoError(t, f.Truncate(1))
		}, map[string]string{"old": "abc"}},
		{"failed sync, then a successful one", func(t *testing.T, m *disk.Memory) {
			f, err := m.Open("old")
			require.NoError(t, err)
			_, err = io.WriteString(f, "def")
			require.NoError(t, err)
			m.SetFaults(disk.Faults{FailAt: 1})
			require.Equal(t, disk.KindFault, errorKind(t, f.Sync()))
			_, err = io.WriteString(f, "g")
			require.NoError(t, err)
			require.NoError(t, f.Sync())
		}, map[string]string{"old": "abc\x00\x00\x00g"}},
		{"failed sync, then new content", func(t *testing.T, m *disk.Memory) {
			f, err := m.Open("old")
			require.NoError(t, err)
			_, err = io.WriteString(f, "def")
			require.NoError(t, err)
			m.SetFaults(disk.Faults{FailAt: 1})
			require.Equal(t, disk.KindFault, errorKind(t, f.Sync()))
			require.NoError(t, createFile(t, m, "old", "ghi").Sync())
		}, map[string]string{"old": "ghi"}},
		{"crash at a write", func(t *testing.T, m *disk.Memory) {
			f, err := m.Open("old")
			require.NoError(t, err)
			m.SetFaults(disk.Faults{CrashAt: 2})
			_, err = io.WriteString(f, "de")
			require.NoError(t, err)
			require.Equal(t, disk.KindCrashed, errorKind(t, f.Sync()))
			_, err = m.List()
			require.Equal(t, disk.KindCrashed, errorKind(t, err))
		}, map[string]string{"old": "abc"}},
		{"full disk", func(t *testing.T, m *disk.Memory) {
			m.SetFaults(disk.Faults{Capacity: 5})
			f, err := m.Open("old")
			require.NoError(t, err)
			n, err := io.WriteString(f, "defg")
			require.Equal(t, disk.KindFull, errorKind(t, err))
			require.Equal(t, 2, n)
			require.NoError(t, f.Sync())
		}, map[string]string{"old": "abcde"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := disk.NewMemory()
			require.NoError(t, createFile(t, m, "old", "abc").Sync())
			require.NoError(t, m.SyncDir())
			before, err := m.Open("old")
			require.NoError(t, err)
			c.do(t, m)
			m.Crash(nil)
			_, err = before.Size()
			require.Equal(t, disk.KindCrashed, errorKind(t, err))
			got := map[string]string{}
			names, err := m.List()
			require.NoError(t, err)
			for _, name := range names {
				got[name] = readFile(t, m, name)
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against a random crash that loses synced bytes, leaves bytes that were never written, or never leaves a torn
// write.
func TestRandomCrash(t *testing.T) {
	const seed = 7
	torn, zeroed := 0, 0
	for i := range uint64(200) {
		m := disk.NewMemory()
		f := createFile(t, m, "f", "synced")
		require.NoError(t, f.Sync())
		require.NoError(t, m.SyncDir())
		_, err := io.WriteString(f, "unsynced")
		require.NoError(t, err)
		m.Crash(rand.New(rand.NewPCG(seed, i)))
		left := readFile(t, m, "f")
		require.True(t, strings.HasPrefix(left, "synced"), "seed %d, run %d", seed, i)
		rest := left[len("synced"):]
		require.LessOrEqual(t, len(rest), len("unsynced"))
		for j := range rest {
			require.True(t, rest[j] == 0 || rest[j] == "unsynced"[j], "seed %d, run %d", seed, i)
		}
		if strings.Contains(rest, "\x00") {
			zeroed++
		} else if rest != "" && rest != "unsynced" {
			torn++
		}
	}
	require.Positive(t, torn)
	require.Positive(t, zeroed)
	require.Error(t, disk.NewMemory().Corrupt("none", 0))
}
