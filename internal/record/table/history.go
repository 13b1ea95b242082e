package table

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
)

// HistoryLimit is the number of writes kept per record for the detection of resends.
const HistoryLimit = 4096

// digestBytes is the size of a SHA-256 digest in the encoded history.
const digestBytes = 32

// historyEntry is a compact form of Write, because up to 4,096 versions of each of several hundred records are kept in
// memory.
type historyEntry struct {
	version  camphorhinge.Version
	revision camphorhinge.Revision
	time     int64
	withdraw bool
	digest   [digestBytes]byte
}

func (e historyEntry) toWrite() Write {
	w := Write{Version: e.version, Withdraw: e.withdraw, Revision: e.revision, Time: e.time}
	if !e.withdraw {
		w.Digest = schema.Digest(hex.EncodeToString(e.digest[:]))
	}
	return w
}

// history holds the latest writes of one record, in ascending order of version.
type history []historyEntry

func (h history) find(v camphorhinge.Version) (historyEntry, bool) {
	i, ok := slices.BinarySearchFunc(h, v, func(e historyEntry, v camphorhinge.Version) int {
		return cmp.Compare(e.version, v)
	})
	if !ok {
		return historyEntry{}, false
	}
	return h[i], true
}

func (h history) add(e historyEntry) history {
	if len(h) >= HistoryLimit {
		// Costs a copy per write, but reslicing from the front would keep the dropped entries in memory.
		copy(h, h[len(h)-HistoryLimit+1:])
		h = h[:HistoryLimit-1]
	}
	return append(h, e)
}

func (h history) encode() []byte {
	var b []byte
	for _, e := range h {
		b = binary.AppendUvarint(b, uint64(e.version))
		b = binary.AppendUvarint(b, uint64(e.revision))
		b = binary.AppendVarint(b, e.time)
		if e.withdraw {
			b = append(b, 1)
			continue
		}
		b = append(b, 0)
		b = append(b, e.digest[:]...)
	}
	return b
}

func decodeHistory(b []byte) (history, error) {
	var h history
	truncated := errors.New("truncated history")
	for len(b) > 0 {
		var e historyEntry
		version, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, truncated
		}
		b = b[n:]
		revision, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, truncated
		}
		b = b[n:]
		stamp, n := binary.Varint(b)
		if n <= 0 || len(b) == n {
			return nil, truncated
		}
		flag := b[n]
		b = b[n+1:]
		e.version, e.revision, e.time, e.withdraw = camphorhinge.Version(version), camphorhinge.Revision(revision), stamp, flag == 1
		if !e.withdraw {
			if len(b) < digestBytes {
				return nil, truncated
			}
			copy(e.digest[:], b)
			b = b[digestBytes:]
		}
		if len(h) > 0 && e.version <= h[len(h)-1].version {
			return nil, fmt.Errorf("version %d is not above its predecessor", e.version)
		}
		h = append(h, e)
	}
	return h, nil
}
