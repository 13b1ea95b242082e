package place

import (
	"cmp"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// holdingAge bounds the time since the last use of a part that another Placer is told of; older ones have likely yielded.
const holdingAge = 20 * time.Second

// Holding tells that an engine holds shared prompt parts.
type Holding struct {
	Target      camphorhinge.TargetName
	Incarnation camphorhinge.Incarnation
	Parts       []Part
	// Ages are the times since the last use of the parts.
	Ages []time.Duration
}

// Holdings returns the shared parts that this Placer knows engines to hold, sorted by target.
func (p *Placer) Holdings(now camphorhinge.Instant) []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Holding
	for name, s := range p.targets {
		h := Holding{Target: name, Incarnation: s.incarnation}
		for hash, x := range s.cache.parts {
			if age := now.Sub(x.used); !x.own && x.flight == nil && age <= holdingAge {
				h.Parts = append(h.Parts, Part{Hash: hash, Tokens: x.tokens})
				h.Ages = append(h.Ages, age)
			}
		}
		if len(h.Parts) > 0 {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Holding) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// Observe takes an engine's own word on what it holds, for which it was asked at an earlier time. What attempts since then
// are to bring, or have brought, stays.
func (p *Placer) Observe(now, asked camphorhinge.Instant, t *camphorhinge.Target, held []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.of(now, t).cache
	said := make(map[uint64]camphorhinge.Tokens, len(held))
	for _, part := range held {
		said[part.Hash] = part.Tokens
		if x, ok := c.parts[part.Hash]; !ok {
			// It was not used since this node places requests.
			c.learn(part, 0)
		} else if x.flight == nil && x.used < asked {
			c.resize(part.Hash, part.Tokens)
		}
	}
	for hash, x := range c.parts {
		if _, ok := said[hash]; !ok && x.flight == nil && x.used < asked {
			c.resize(hash, 0)
		}
	}
}

// Learn takes over what another Placer knows of the live targets.
func (p *Placer) Learn(now camphorhinge.Instant, live []*camphorhinge.Target, known []Holding) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range known {
		for _, t := range live {
			if t.Name != h.Target || t.Incarnation != h.Incarnation {
				continue
			}
			s := p.of(now, t)
			for i, part := range h.Parts {
				s.cache.learn(part, now.Add(-h.Ages[i]))
			}
		}
	}
}
