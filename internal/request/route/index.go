package route

import (
	"slices"
	"sort"

	"example.org/camphorhinge"
)

// index records which targets have the KV cache of a prompt prefix, according to their cache events.
//
// Invariant: a pair is in byPrefix exactly when its prefix is in the prefixes of its target, and pairs counts them.
type index struct {
	limit    int
	pairs    int
	byPrefix map[uint64][]*targetState
	// queue lists pairs, oldest first, for eviction when the index is full. Removed pairs stay in it until it is
	// compacted.
	queue []pair
}

type pair struct {
	prefix uint64
	holder *targetState
}

func newIndex(limit int) *index {
	return &index{limit: limit, byPrefix: map[uint64][]*targetState{}}
}

// apply applies the cache events of a target, and returns false when events are missing. In that case all entries of
// the target are dropped first, since an eviction may be among the missing events, and the events received are added.
func (x *index) apply(t *targetState, r camphorhinge.CacheReport) (complete bool) {
	if r.Seq <= t.cacheSeq {
		return true
	}
	fresh := camphorhinge.Sequence(0)
	last := t.cacheSeq
	for _, ev := range r.Events {
		if ev.Seq > last && ev.Seq <= r.Seq {
			fresh++
			last = ev.Seq
		}
	}
	complete = fresh == r.Seq-t.cacheSeq
	if !complete {
		x.dropTarget(t)
	}
	for _, ev := range r.Events {
		switch {
		case ev.Seq <= t.cacheSeq:
		case ev.Evict:
			x.remove(t, ev.Prefix)
		default:
			x.add(t, ev.Prefix)
		}
	}
	t.cacheSeq = r.Seq
	return complete
}

// replace replaces the entries of a target by its full list. It returns false when newer events were already applied.
func (x *index) replace(t *targetState, r camphorhinge.CacheReport) bool {
	if r.Seq < t.cacheSeq {
		return false
	}
	x.dropTarget(t)
	t.cacheSeq = r.Seq
	for _, ev := range r.Events {
		x.add(t, ev.Prefix)
	}
	return true
}

func (x *index) add(t *targetState, prefix uint64) {
	if _, ok := t.prefixes[prefix]; ok {
		return
	}
	t.prefixes[prefix] = struct{}{}
	x.byPrefix[prefix] = append(x.byPrefix[prefix], t)
	x.pairs++
	x.queue = append(x.queue, pair{prefix, t})
	for x.pairs > x.limit {
		oldest := x.queue[0]
		x.queue = x.queue[1:]
		x.remove(oldest.holder, oldest.prefix)
	}
	if len(x.queue) > 2*x.limit {
		x.queue = slices.DeleteFunc(slices.Clone(x.queue), func(p pair) bool {
			_, ok := p.holder.prefixes[p.prefix]
			return !ok
		})
	}
}

func (x *index) remove(t *targetState, prefix uint64) {
	if _, ok := t.prefixes[prefix]; !ok {
		return
	}
	delete(t.prefixes, prefix)
	x.pairs--
	rest := x.byPrefix[prefix]
	if i := slices.Index(rest, t); i >= 0 {
		rest = slices.Delete(rest, i, i+1)
	}
	if len(rest) == 0 {
		delete(x.byPrefix, prefix)
	} else {
		x.byPrefix[prefix] = rest
	}
}

func (x *index) dropTarget(t *targetState) {
	for prefix := range t.prefixes {
		x.remove(t, prefix)
	}
}

// markHolders sets cachedBlocks of the targets that have a prefix cached, and returns these targets. Prefixes are given
// shortest first; the search starts with the longest one and stops after maxPrefixHolders targets.
func (x *index) markHolders(holders []*targetState, prefixes []uint64, pick uint64) []*targetState {
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, t := range x.byPrefix[prefixes[i]] {
			if t.markedPick == pick {
				continue
			}
			if len(holders) == maxPrefixHolders {
				return holders
			}
			t.markedPick, t.cachedBlocks = pick, i+1
			holders = append(holders, t)
		}
	}
	return holders
}

// searchCachedBlocks returns the number of leading prefixes that a target has cached, for targets beyond the limit of
// markHolders. It assumes that engines evict longer prefixes first; otherwise the result is too low.
func (t *targetState) searchCachedBlocks(prefixes []uint64) int {
	return sort.Search(len(prefixes), func(i int) bool {
		_, ok := t.prefixes[prefixes[i]]
		return !ok
	})
}
