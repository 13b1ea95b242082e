package registry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// digestGroups is the number of groups of Digests.
const digestGroups = 64

// Digests holds one digest for each group of targets, which are divided by a hash of their names. Two registries have
// the same digest of a group if the fields that routing depends on agree for all targets in it.
type Digests [digestGroups]uint64

// group returns the group of a target.
func group(name camphorhinge.TargetName) uint64 {
	return xxhash.Sum64String(string(name)) % digestGroups
}

// routingDigest returns the digest of the fields of a target that routing depends on. Load and cache are not among them.
func routingDigest(t *camphorhinge.Target) uint64 {
	d := xxhash.New()
	text := func(s string) {
		_, _ = d.WriteString(s) // Writes to a hash don't fail.
		_, _ = d.Write([]byte{0})
	}
	number := func(n uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:])
	}
	flag := func(set bool) {
		if set {
			number(1)
			return
		}
		number(0)
	}
	for _, s := range []string{
		string(t.Name), string(t.Service), t.Address, string(t.Zone), t.Kind, string(t.Role), string(t.Fencing), string(t.Orders),
		string(t.Software),
	} {
		text(s)
	}
	number(uint64(t.Incarnation))
	number(uint64(t.Slots))
	number(t.Revision)
	for _, f := range []bool{t.Leaving, t.Left, t.Busy, t.Spot} {
		flag(f)
	}
	number(uint64(len(t.Models)))
	for _, m := range t.Models {
		text(string(m))
	}
	number(uint64(len(t.Adapters)))
	for _, a := range t.Adapters {
		text(string(a))
	}
	return d.Sum64()
}

// Digests returns the digests of all recorded targets that own their address.
func (r *Registry) Digests() Digests {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Digests
	for name, e := range r.targets {
		if !e.displaced {
			out[group(name)] += routingDigest(e.target)
		}
	}
	return out
}

// DifferentFrom returns the targets of the groups whose digests differ from those given, and the number of the last
// change. Digests of another length match no group.
func (r *Registry) DifferentFrom(digests []uint64) ([]Aged, uint64) {
	all, last := r.Changes(0)
	if len(digests) != digestGroups {
		return all, last
	}
	own := r.Digests()
	out := all[:0]
	for _, a := range all {
		if g := group(a.Announcement.Name); own[g] != digests[g] {
			out = append(out, a)
		}
	}
	return out, last
}
