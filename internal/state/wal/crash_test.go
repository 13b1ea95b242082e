package wal_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/disk"
	"example.org/camphorhinge/internal/state/wal"
)

// version is the expected content of the log after one written frame, ignoring compaction.
type version struct {
	state   wal.State
	base    camphorhinge.Index
	entries []wal.Entry
}

// model runs a random workload on a log and records which contents a crash may leave.
type model struct {
	random   *rand.Rand
	versions []version
	// oldest is the position in versions of the oldest one that a crash may leave.
	oldest    int
	snapshots map[camphorhinge.Index]wal.Entry
	// savedSnapshot is the index of the last snapshot that SaveSnapshot saved successfully.
	savedSnapshot camphorhinge.Index
}

func newModel(seed uint64) *model {
	return &model{random: rand.New(rand.NewPCG(seed, 1)), versions: []version{{}}, snapshots: map[camphorhinge.Index]wal.Entry{}}
}

func (s *model) latest() version { return s.versions[len(s.versions)-1] }

func (s *model) last() camphorhinge.Index {
	return s.latest().base + camphorhinge.Index(len(s.latest().entries))
}

// step performs one random operation; it returns only errors that the file system caused.
func (s *model) step(l *wal.Log) error {
	now := s.latest()
	switch n := s.random.IntN(10); {
	case n < 4:
		low := max(now.state.Commit, s.savedSnapshot, now.base)
		from := s.last() + 1
		if back := s.random.IntN(4); back == 0 && from > low+1 {
			from = low + 1 + camphorhinge.Index(s.random.IntN(int(from-low)))
		}
		var batch []wal.Entry
		kept := slices.Clone(now.entries[:from-1-now.base])
		for i := range camphorhinge.Index(s.random.IntN(5) + 1) {
			data := bytes.Repeat([]byte{byte('a' + s.random.IntN(26))}, s.random.IntN(60))
			batch = append(batch, wal.Entry{Index: from + i, Term: max(now.state.Term, 1), Kind: 2, Data: data})
			s.versions = append(s.versions, version{now.state, now.base, append(slices.Clone(kept), batch...)})
		}
		return l.Append(batch)
	case n < 6:
		next := now.state
		if s.random.IntN(3) == 0 {
			next.Term++
			next.Vote = camphorhinge.ReplicaID(s.random.IntN(3))
		}
		next.Commit = max(next.Commit, now.base)
		next.Commit += camphorhinge.Index(s.random.IntN(int(max(s.last(), next.Commit)-next.Commit) + 1))
		s.versions = append(s.versions, version{next, now.base, now.entries})
		return l.SaveState(next)
	case n < 8:
		err := l.Sync()
		if err == nil {
			s.oldest = len(s.versions) - 1
		}
		return err
	case n == 8:
		return s.snapshot(l)
	}
	return l.Compact(s.savedSnapshot)
}

// snapshot saves a snapshot of the replica's own state, or one from a leader whose log is longer or differs.
func (s *model) snapshot(l *wal.Log) error {
	now := s.latest()
	snap := wal.Entry{Index: now.state.Commit}
	if snap.Index > now.base {
		snap.Term = now.entries[snap.Index-now.base-1].Term
	}
	if s.random.IntN(4) == 0 {
		snap = wal.Entry{Index: now.state.Commit + camphorhinge.Index(s.random.IntN(6)) + 1, Term: now.state.Term + 50}
		now.base, now.entries = snap.Index, nil
	}
	if snap.Index <= s.savedSnapshot || snap.Term == 0 {
		return nil
	}
	snap.Data = fmt.Appendf(nil, "state %d/%d", snap.Index, snap.Term)
	s.snapshots[snap.Index] = snap
	s.versions = append(s.versions, now)
	err := l.SaveSnapshot(snap.Index, snap.Term, snap.Data)
	if err == nil {
		s.savedSnapshot = snap.Index
	}
	return err
}

// check requires that the log has one of the contents that a crash may leave, and continues the model from it.
func (s *model) check(t *testing.T, l *wal.Log, message string) {
	t.Helper()
	got := readContent(t, l)
	require.GreaterOrEqual(t, got.snapshot, s.savedSnapshot, message)
	snap := s.snapshots[got.snapshot]
	require.Equal(t, string(snap.Data), got.data, message)
	for i := len(s.versions) - 1; i >= s.oldest; i-- {
		v := s.versions[i]
		var rest []wal.Entry
		if v.base >= snap.Index {
			rest = v.entries
		} else if covered := int(snap.Index - v.base); covered <= len(v.entries) && v.entries[covered-1].Term == snap.Term {
			rest = v.entries[covered:]
		}
		if v.base > snap.Index || v.state != got.state || formatEntries(rest) != got.entries {
			continue
		}
		s.versions, s.oldest, s.savedSnapshot = []version{{v.state, snap.Index, rest}}, 0, snap.Index
		return
	}
	require.Fail(t, "content was never written, or was lost", "%s: %+v", message, got)
}

// run opens or creates the log and performs up to steps operations; it returns the first error.
func (s *model) run(t *testing.T, m *disk.Memory, steps int) error {
	t.Helper()
	l, err := wal.Open(m, smallSegments)
	if errorKind(err) == wal.KindEmpty && len(s.versions) == 1 {
		l, err = wal.Create(m, identity, smallSegments)
	}
	if err != nil {
		return err
	}
	for range steps {
		if err := s.step(l); err != nil {
			require.NotEqual(t, wal.KindMisuse, errorKind(err), "%v", err)
			require.NotEqual(t, wal.KindCorrupt, errorKind(err), "%v", err)
			return err
		}
	}
	return l.Close()
}

// Guards against the loss of synced entries, votes and snapshots, and against content that was never written, when the
// system crashes at any operation and again while the log is opened.
func TestCrashAtEachOperation(t *testing.T) {
	const steps = 60
	for seed := range uint64(12) {
		reference := disk.NewMemory()
		require.NoError(t, newModel(seed).run(t, reference, steps))
		for operation := 1; operation <= reference.Operations(); operation++ {
			message := fmt.Sprintf("seed %d, crash at operation %d", seed, operation)
			m, s := disk.NewMemory(), newModel(seed)
			chance := rand.New(rand.NewPCG(seed, uint64(operation)))
			m.SetFaults(disk.Faults{CrashAt: operation})
			require.Error(t, s.run(t, m, steps), message)
			m.Crash(chance)
			m.SetFaults(disk.Faults{CrashAt: 1 + chance.IntN(9)})
			if l, err := wal.Open(m, smallSegments); err == nil {
				s.check(t, l, message)
			} else {
				require.NotEqual(t, wal.KindCorrupt, errorKind(err), "%s: %v", message, err)
			}
			m.Crash(chance)
			l, err := wal.Open(m, smallSegments)
			if errorKind(err) == wal.KindEmpty {
				require.Len(t, s.versions, 1, message)
				require.NoError(t, s.run(t, m, steps), message)
				continue
			}
			require.NoError(t, err, message)
			s.check(t, l, message)
			require.NoError(t, s.run(t, m, 5), message)
			require.NoError(t, l.Close(), message)
		}
	}
}

// Guards against a log that accepts writes after a failed operation, and against a restart that treats the bytes of a
// failed sync as durable.
func TestFailureAtEachOperation(t *testing.T) {
	const steps = 60
	for seed := range uint64(12) {
		reference := disk.NewMemory()
		require.NoError(t, newModel(seed).run(t, reference, steps))
		for operation := 1; operation <= reference.Operations(); operation++ {
			message := fmt.Sprintf("seed %d, failure at operation %d", seed, operation)
			m, s := disk.NewMemory(), newModel(seed)
			m.SetFaults(disk.Faults{FailAt: operation})
			require.Error(t, s.run(t, m, steps), message)
			l, err := wal.Open(m, smallSegments)
			if errorKind(err) == wal.KindEmpty {
				require.Len(t, s.versions, 1, message)
				continue
			}
			require.NoError(t, err, message)
			s.check(t, l, message)
			before := readContent(t, l)
			m.Crash(nil)
			l, err = wal.Open(m, smallSegments)
			require.NoError(t, err, message)
			require.Equal(t, before, readContent(t, l), message)
		}
	}
}
