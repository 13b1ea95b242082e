package route

import (
	"slices"
	"sort"

	"example.org/camphorhinge"
)

// index tells which targets hold the KV cache of a prompt prefix, by their cache events.
//
// Invariant: a pair is in byPrefix exactly when it is in the prefixes of its target, and pairs counts them.
type index struct {
	limit    int
	pairs    int
	byPrefix map[uint64][]*targetState
	// queue lists pairs, oldest first, to drop the oldest when the index is full; pairs that are gone stay in it until
	// it is compacted.
	queue []pair
}

type pair struct {
	prefix uint64
	holder *targetState
}

func newIndex(limit int) *index {
	return &index{limit: limit, byPrefix: map[uint64][]*targetState{}}
}

// apply takes a report of a target. It returns false when events are missing; then the target's part is dropped first,
// since an eviction may be among them, and the events that did arrive are kept.
func (x *index) apply(t *targetState, r camphorhinge.CacheReport) (whole bool) {
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
	whole = fresh == r.Seq-t.cacheSeq
	if !whole {
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
	return whole
}

// replace takes the full list of a target's prefixes. It returns false when newer events were applied already.
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

// markHolders notes on the targets that hold a prefix how many leading blocks they hold; prefixes are shortest first. It goes
// from the longest prefix and stops after maxHolders targets, and returns those targets.
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

// searchCachedBlocks returns how many leading prefixes a target holds, for targets beyond those that mark could note. It relies on
// engines dropping the longer prefix first; where one does not, the result is too low.
func (t *targetState) searchCachedBlocks(prefixes []uint64) int {
	return sort.Search(len(prefixes), func(i int) bool {
		_, ok := t.prefixes[prefixes[i]]
		return !ok
	})
}
