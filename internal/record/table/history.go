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

func (p historyEntry) toWrite() Write {
	w := Write{Version: p.version, Withdraw: p.withdraw, Revision: p.revision, Time: p.time}
	if !p.withdraw {
		w.Digest = schema.Digest(hex.EncodeToString(p.digest[:]))
	}
	return w
}

// history holds the latest writes of one record, in ascending order of version.
type history []historyEntry

func (h history) find(v camphorhinge.Version) (historyEntry, bool) {
	i, ok := slices.BinarySearchFunc(h, v, func(p historyEntry, v camphorhinge.Version) int {
		return cmp.Compare(p.version, v)
	})
	if !ok {
		return historyEntry{}, false
	}
	return h[i], true
}

func (h history) add(p historyEntry) history {
	if len(h) >= HistoryLimit {
		// Costs a copy per write, but reslicing from the front would keep the dropped entries in memory.
		copy(h, h[len(h)-HistoryLimit+1:])
		h = h[:HistoryLimit-1]
	}
	return append(h, p)
}

func (h history) encode() []byte {
	var b []byte
	for _, p := range h {
		b = binary.AppendUvarint(b, uint64(p.version))
		b = binary.AppendUvarint(b, uint64(p.revision))
		b = binary.AppendVarint(b, p.time)
		if p.withdraw {
			b = append(b, 1)
			continue
		}
		b = append(b, 0)
		b = append(b, p.digest[:]...)
	}
	return b
}

func decodeHistory(b []byte) (history, error) {
	var h history
	truncated := errors.New("truncated history")
	for len(b) > 0 {
		var p historyEntry
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
		p.version, p.revision, p.time, p.withdraw = camphorhinge.Version(version), camphorhinge.Revision(revision), stamp, flag == 1
		if !p.withdraw {
			if len(b) < digestBytes {
				return nil, truncated
			}
			copy(p.digest[:], b)
			b = b[digestBytes:]
		}
		if len(h) > 0 && p.version <= h[len(h)-1].version {
			return nil, fmt.Errorf("version %d is not above its predecessor", p.version)
		}
		h = append(h, p)
	}
	return h, nil
}
