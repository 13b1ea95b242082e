package engine

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// cache is an LRU cache of prompt prefixes, one block each. Its events are reported only after lag, and each is dropped
// with the probability lossRate.
type cache struct {
	limit    int
	lossRate float64
	lag      time.Duration
	rng      *rand.Rand

	lru     *list.List
	entries map[uint64]*list.Element
	seq     camphorhinge.Sequence
	events  []pendingEvent
	sentSeq camphorhinge.Sequence
}

type pendingEvent struct {
	at      time.Time
	dropped bool
	event   camphorhinge.CacheEvent
}

func newCache(c Config, rng *rand.Rand) *cache {
	return &cache{
		limit: c.CacheBlocks, lossRate: c.CacheLoss, lag: c.CacheLag, rng: rng,
		lru: list.New(), entries: map[uint64]*list.Element{},
	}
}

// match returns how many leading hashes are cached and marks them as used, the shortest prefix last, so that longer
// prefixes are evicted first.
func (c *cache) match(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.entries[hashes[n]] != nil {
		n++
	}
	for _, h := range slices.Backward(hashes[:n]) {
		c.lru.MoveToFront(c.entries[h])
	}
	return n
}

// store adds prefixes and evicts the least recently used ones above the limit.
func (c *cache) store(hashes []uint64, now time.Time) {
	for _, h := range slices.Backward(hashes) {
		if e, ok := c.entries[h]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.entries[h] = c.lru.PushFront(h)
		c.addEvent(h, false, now)
	}
	for c.lru.Len() > c.limit {
		last := c.lru.Back()
		h, _ := c.lru.Remove(last).(uint64)
		delete(c.entries, h)
		c.addEvent(h, true, now)
	}
}

func (c *cache) addEvent(h uint64, evict bool, now time.Time) {
	c.seq++
	c.events = append(c.events, pendingEvent{
		at: now, dropped: c.rng.Float64() < c.lossRate,
		event: camphorhinge.CacheEvent{Seq: c.seq, Prefix: h, Blocks: 1, Evict: evict},
	})
}

// takeReport removes the events that are at least lag old and returns those that are not dropped.
func (c *cache) takeReport(now time.Time) camphorhinge.CacheReport {
	var out []camphorhinge.CacheEvent
	n := 0
	for _, pending := range c.events {
		if now.Sub(pending.at) < c.lag {
			break
		}
		n++
		c.sentSeq = pending.event.Seq
		if !pending.dropped {
			out = append(out, pending.event)
		}
	}
	c.events = append(c.events[:0], c.events[n:]...)
	return camphorhinge.CacheReport{Seq: c.sentSeq, Events: out}
}

// fullReport returns all cached prefixes as events with the newest sequence, for a node that has missed events.
func (c *cache) fullReport() camphorhinge.CacheReport {
	r := camphorhinge.CacheReport{Seq: c.seq}
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		h, _ := e.Value.(uint64)
		r.Events = append(r.Events, camphorhinge.CacheEvent{Seq: c.seq, Prefix: h, Blocks: 1})
	}
	return r
}
