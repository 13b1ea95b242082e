package place

import (
	"cmp"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// maxCacheEntryAge bounds the time since the last use of a part that another Placer is told of; older ones have likely yielded.
const maxCacheEntryAge = 20 * time.Second

// CachedSegments tells that an engine holds shared prompt parts.
type CachedSegments struct {
	Target      camphorhinge.TargetName
	Incarnation camphorhinge.Incarnation
	Segments    []Segment
	// Ages are the times since the last use of the parts.
	Ages []time.Duration
}

// CacheContents returns the shared parts that this Placer knows engines to hold, sorted by target.
func (p *Placer) CacheContents(now camphorhinge.Instant) []CachedSegments {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []CachedSegments
	for name, s := range p.targets {
		h := CachedSegments{Target: name, Incarnation: s.incarnation}
		for hash, x := range s.cache.segments {
			if age := now.Sub(x.lastUsed); !x.private && x.pending == nil && age <= maxCacheEntryAge {
				h.Segments = append(h.Segments, Segment{Hash: hash, Tokens: x.tokens})
				h.Ages = append(h.Ages, age)
			}
		}
		if len(h.Segments) > 0 {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b CachedSegments) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// ObserveCache takes an engine's own word on what it holds, for which it was asked at an earlier time. What attempts since then
// are to bring, or have brought, stays.
func (p *Placer) ObserveCache(now, asked camphorhinge.Instant, t *camphorhinge.Target, held []Segment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.stateOf(now, t).cache
	said := make(map[uint64]camphorhinge.Tokens, len(held))
	for _, part := range held {
		said[part.Hash] = part.Tokens
		if x, ok := c.segments[part.Hash]; !ok {
			// It was not used since this node places requests.
			c.merge(part, 0)
		} else if x.pending == nil && x.lastUsed < asked {
			c.resize(part.Hash, part.Tokens)
		}
	}
	for hash, x := range c.segments {
		if _, ok := said[hash]; !ok && x.pending == nil && x.lastUsed < asked {
			c.resize(hash, 0)
		}
	}
}

// MergeCaches takes over what another Placer knows of the live targets.
func (p *Placer) MergeCaches(now camphorhinge.Instant, live []*camphorhinge.Target, known []CachedSegments) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range known {
		for _, t := range live {
			if t.Name != h.Target || t.Incarnation != h.Incarnation {
				continue
			}
			s := p.stateOf(now, t)
			for i, part := range h.Segments {
				s.cache.merge(part, now.Add(-h.Ages[i]))
			}
		}
	}
}
