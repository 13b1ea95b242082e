package place

import (
	"cmp"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// maxCacheEntryAge bounds the time since the last use of a segment in CacheContents; older ones are likely evicted.
const maxCacheEntryAge = 20 * time.Second

// CachedSegments lists the shared prompt segments in the KV cache of an engine.
type CachedSegments struct {
	Target      camphorhinge.TargetName
	Incarnation camphorhinge.Incarnation
	Segments    []Segment
	// Ages are the times since the last use of the segments, in the same order.
	Ages []time.Duration
}

// CacheContents returns the shared segments that this Placer has recorded as cached, sorted by target.
func (p *Placer) CacheContents(now camphorhinge.Instant) []CachedSegments {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []CachedSegments
	for name, s := range p.targets {
		cs := CachedSegments{Target: name, Incarnation: s.incarnation}
		for hash, x := range s.cache.segments {
			if age := now.Sub(x.lastUsed); !x.private && x.pending == nil && age <= maxCacheEntryAge {
				cs.Segments = append(cs.Segments, Segment{Hash: hash, Tokens: x.tokens})
				cs.Ages = append(cs.Ages, age)
			}
		}
		if len(cs.Segments) > 0 {
			out = append(out, cs)
		}
	}
	slices.SortFunc(out, func(a, b CachedSegments) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// ObserveCache updates the recorded cache of an engine from its own report, which was requested at requestedAt. Entries
// that are pending or were used since then are kept.
func (p *Placer) ObserveCache(now, requestedAt camphorhinge.Instant, t *camphorhinge.Target, segments []Segment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.stateOf(now, t).cache
	reported := make(map[uint64]camphorhinge.Tokens, len(segments))
	for _, seg := range segments {
		reported[seg.Hash] = seg.Tokens
		if x, ok := c.segments[seg.Hash]; !ok {
			// The last use is unknown: it was before this node began to place requests.
			c.merge(seg, 0)
		} else if x.pending == nil && x.lastUsed < requestedAt {
			c.resize(seg.Hash, seg.Tokens)
		}
	}
	for hash, x := range c.segments {
		if _, ok := reported[hash]; !ok && x.pending == nil && x.lastUsed < requestedAt {
			c.resize(hash, 0)
		}
	}
}

// MergeCaches adds the cache contents recorded by another Placer, for live targets of the same incarnation.
func (p *Placer) MergeCaches(now camphorhinge.Instant, live []*camphorhinge.Target, contents []CachedSegments) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cs := range contents {
		for _, t := range live {
			if t.Name != cs.Target || t.Incarnation != cs.Incarnation {
				continue
			}
			s := p.stateOf(now, t)
			for i, seg := range cs.Segments {
				s.cache.merge(seg, now.Add(-cs.Ages[i]))
			}
		}
	}
}
