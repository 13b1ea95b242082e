package place

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// hashUnit returns a hash of a key and a target, scaled to (0, 1).
func hashUnit(key uint64, name camphorhinge.TargetName) float64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	d := xxhash.New()
	_, _ = d.Write(b[:]) // Writes to a hash don't fail.
	_, _ = d.WriteString(string(name))
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}

// homes returns at most n of the targets, in descending order of their rendezvous scores for key. The result is the
// same on all nodes with the same targets, and the loss of a target moves only the keys whose home it was.
func homes(key uint64, targets []*camphorhinge.Target, n int) []*camphorhinge.Target {
	type scored struct {
		target *camphorhinge.Target
		score  float64
	}
	all := make([]scored, len(targets))
	for i, t := range targets {
		all[i] = scored{t, -1 / math.Log(hashUnit(key, t.Name))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	out := make([]*camphorhinge.Target, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.target)
	}
	return out
}
