package shard

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// Index is the number of a shard of a service's engines, from 0.
type Index int

const (
	// maxUndivided is the number of engines up to which a service has one shard: one core node can place for all of them, and
	// the more engines it can choose from, the better its choices.
	maxUndivided = 100
	// minEngines is the number of engines that each shard has on average at least. Smaller ones would differ much in size, and
	// have too few engines in each role.
	minEngines = 40
)

// Count returns the number of shards of a service with the given number of engines, of which each one has a core node. It is at
// least 1.
func Count(engines, cores int) int {
	if engines <= maxUndivided {
		return 1
	}
	return max(min(cores, engines/minEngines), 1)
}

// Of returns the shard, of count ones, of the engine at an address, an IP:port.
func Of(address string, count int) Index {
	// Jump consistent hash (Lamping and Veach).
	key, b, j := xxhash.Sum64String(address), int64(-1), int64(0)
	for j < int64(count) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(1<<31) / float64((key>>33)+1)))
	}
	return Index(max(b, 0))
}

// Home returns the shard of the requests with a key, in proportion to the numbers of engines of the shards. It returns 0 without
// engines.
func Home(key uint64, engines []int) Index {
	var best Index
	least := math.Inf(1)
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	for i, n := range engines {
		if n <= 0 {
			continue
		}
		// Weighted rendezvous hashing.
		binary.LittleEndian.PutUint64(buf[8:], uint64(i))
		uniform := (float64(xxhash.Sum64(buf[:])>>11) + 0.5) / (1 << 53)
		if score := -math.Log(uniform) / float64(n); score < least {
			best, least = Index(i), score
		}
	}
	return best
}

// Core returns the address of the core node that places the requests of a shard: of the given ones, which are sorted, the first
// that is available, beginning with the shard's own. It returns "" if none is.
func Core(shard Index, cores []string, available func(address string) bool) string {
	for i := range cores {
		if address := cores[(int(shard)+i)%len(cores)]; available(address) {
			return address
		}
	}
	return ""
}

// Members returns the targets of a shard, of count ones.
func Members(targets []*camphorhinge.Target, shard Index, count int) []*camphorhinge.Target {
	out := make([]*camphorhinge.Target, 0, len(targets)/count+1)
	for _, t := range targets {
		if Of(t.Address, count) == shard {
			out = append(out, t)
		}
	}
	return out
}
