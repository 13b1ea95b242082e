package replica

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/wal"
)

// commandHeaderBytes is the size of the kind and the stamp, the leader's wall-clock time in milliseconds, before a
// command in a log entry.
const commandHeaderBytes = 1 + 8

// encodeCommand encodes the data of a log entry: kind, stamp and payload.
func encodeCommand(kind camphorhinge.CommandKind, stamp int64, payload []byte) []byte {
	b := make([]byte, 0, commandHeaderBytes+len(payload))
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint64(b, uint64(stamp))
	return append(b, payload...)
}

// router applies commands to the machine of their kind.
type router struct {
	machines map[camphorhinge.CommandKind]camphorhinge.Machine
	kinds    []camphorhinge.CommandKind
	applied  camphorhinge.Index
	// lastStamp is the stamp of the last command; it never decreases, even if a leader's wall clock is behind.
	lastStamp int64
}

func newRouter(m map[camphorhinge.CommandKind]camphorhinge.Machine) router {
	return router{machines: m, kinds: slices.Sorted(maps.Keys(m))}
}

// apply applies one committed entry and returns the result of its command, or nil for entries without a command.
func (m *router) apply(e consensus.Entry) ([]byte, error) {
	m.applied = e.Index
	if e.Kind != consensus.EntryCommand {
		return nil, nil
	}
	if len(e.Data) < commandHeaderBytes {
		return nil, failure("apply", KindCorrupt, "entry %d has only %d bytes", e.Index, len(e.Data))
	}
	kind := camphorhinge.CommandKind(e.Data[0])
	machine := m.machines[kind]
	if machine == nil {
		// Skipping the command would make the state diverge from that of other replicas.
		return nil, failure("apply", KindCorrupt, "entry %d has unknown command kind %d", e.Index, kind)
	}
	m.lastStamp = max(m.lastStamp, int64(binary.BigEndian.Uint64(e.Data[1:])))
	entry := camphorhinge.Entry{Index: e.Index, Term: e.Term, Stamp: m.lastStamp}
	return machine.Apply(entry, e.Data[commandHeaderBytes:]), nil
}

// freezer is implemented by machines with a large state. Freeze returns a function that encodes the state as of the
// call of Freeze and may run concurrently with later calls. Without it, encoding would delay heartbeats.
type freezer interface {
	Freeze() (encode func() ([]byte, error))
}

// freeze returns a function that encodes the stamp and the state of all machines as of now.
func (m *router) freeze() func() ([]byte, error) {
	stamp := m.lastStamp
	encoders := make([]func() ([]byte, error), len(m.kinds))
	for i, kind := range m.kinds {
		if f, ok := m.machines[kind].(freezer); ok {
			encoders[i] = f.Freeze()
			continue
		}
		state, err := m.machines[kind].Snapshot()
		encoders[i] = func() ([]byte, error) { return state, err }
	}
	return func() ([]byte, error) {
		b := binary.BigEndian.AppendUint64(nil, uint64(stamp))
		for i, kind := range m.kinds {
			state, err := encoders[i]()
			if err != nil {
				return nil, &Error{Op: "snapshot", Kind: KindCorrupt, Err: err}
			}
			b = append(b, byte(kind))
			b = binary.AppendUvarint(b, uint64(len(state)))
			b = append(b, state...)
		}
		return b, nil
	}
}

// restore replaces the state of all machines. A machine whose kind is missing in the snapshot, because an earlier version
// took it, is restored from nil, which stands for the initial state.
func (m *router) restore(b []byte) error {
	const op = "restore"
	malformed := &Error{Op: op, Kind: KindCorrupt, Err: errors.New("malformed snapshot")}
	if len(b) < 8 {
		return malformed
	}
	stamp := int64(binary.BigEndian.Uint64(b))
	b = b[8:]
	states := make(map[camphorhinge.CommandKind][]byte)
	for len(b) > 0 {
		kind := camphorhinge.CommandKind(b[0])
		size, n := binary.Uvarint(b[1:])
		if n <= 0 || size > uint64(len(b)-1-n) {
			return malformed
		}
		if m.machines[kind] == nil {
			return failure(op, KindCorrupt, "the snapshot contains unknown command kind %d", kind)
		}
		states[kind] = b[1+n : 1+n+int(size)]
		b = b[1+n+int(size):]
	}
	for _, kind := range m.kinds {
		if err := m.machines[kind].Restore(states[kind]); err != nil {
			return &Error{Op: op, Kind: KindCorrupt, Err: err}
		}
	}
	m.lastStamp = stamp
	return nil
}

// encodedSnapshot is a snapshot in the encoding for storage and other replicas.
type encodedSnapshot struct {
	meta consensus.SnapshotMeta
	data []byte
}

// encodeSnapshot encodes meta, with its length, and the state of the machines.
func encodeSnapshot(meta consensus.SnapshotMeta, state []byte) []byte {
	head := consensus.AppendSnapshotMeta(nil, meta)
	b := make([]byte, 0, binary.MaxVarintLen64+len(head)+len(state))
	b = binary.AppendUvarint(b, uint64(len(head)))
	b = append(b, head...)
	return append(b, state...)
}

// decodeSnapshot reverses encodeSnapshot. The returned data share memory with b.
func decodeSnapshot(b []byte) (consensus.Snapshot, error) {
	const op = "decode snapshot"
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return consensus.Snapshot{}, failure(op, KindCorrupt, "truncated")
	}
	meta, err := consensus.DecodeSnapshotMeta(b[n : n+int(size)])
	if err != nil {
		return consensus.Snapshot{}, &Error{Op: op, Kind: KindCorrupt, Err: err}
	}
	return consensus.Snapshot{SnapshotMeta: meta, Data: b[n+int(size):]}, nil
}

// loadEntries returns the stored entries after the snapshot at index.
func loadEntries(s Storage, index camphorhinge.Index) ([]consensus.Entry, error) {
	lo, hi := max(index+1, s.First()), s.Last()+1
	if lo >= hi {
		return nil, nil
	}
	found, err := s.Entries(lo, hi)
	if err != nil {
		return nil, err
	}
	out := make([]consensus.Entry, len(found))
	for i, e := range found {
		out[i] = consensus.Entry{Index: e.Index, Term: e.Term, Kind: consensus.EntryKind(e.Kind), Data: e.Data}
	}
	return out, nil
}

// walEntries converts entries to those of the log on disk.
func walEntries(es []consensus.Entry) []wal.Entry {
	out := make([]wal.Entry, len(es))
	for i, e := range es {
		out[i] = wal.Entry{Index: e.Index, Term: e.Term, Kind: byte(e.Kind), Data: e.Data}
	}
	return out
}
