package engine

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// cache holds prompt prefixes, one block each, and drops the least recently used one when it is full.
// Its events leave late, and a share of them never.
type cache struct {
	limit int
	loss  float64
	lag   time.Duration
	rng   *rand.Rand

	order  *list.List
	held   map[uint64]*list.Element
	seq    camphorhinge.Sequence
	events []pendingEvent
	sent   camphorhinge.Sequence
}

type pendingEvent struct {
	at    time.Time
	lost  bool
	event camphorhinge.CacheEvent
}

func newCache(c Config, rng *rand.Rand) *cache {
	return &cache{
		limit: c.CacheBlocks, loss: c.CacheLoss, lag: c.CacheLag, rng: rng,
		order: list.New(), held: map[uint64]*list.Element{},
	}
}

// match returns how many leading hashes are held, and marks them as used, the shortest prefix as the last one, so that
// longer prefixes are dropped first.
func (c *cache) match(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.held[hashes[n]] != nil {
		n++
	}
	for _, h := range slices.Backward(hashes[:n]) {
		c.order.MoveToFront(c.held[h])
	}
	return n
}

func (c *cache) store(hashes []uint64, now time.Time) {
	for _, h := range slices.Backward(hashes) {
		if e, ok := c.held[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.held[h] = c.order.PushFront(h)
		c.note(h, false, now)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		h, _ := c.order.Remove(last).(uint64)
		delete(c.held, h)
		c.note(h, true, now)
	}
}

func (c *cache) note(h uint64, evict bool, now time.Time) {
	c.seq++
	c.events = append(c.events, pendingEvent{
		at: now, lost: c.rng.Float64() < c.loss,
		event: camphorhinge.CacheEvent{Seq: c.seq, Prefix: h, Blocks: 1, Evict: evict},
	})
}

// report takes the events that are old enough to be sent.
func (c *cache) report(now time.Time) camphorhinge.CacheReport {
	var out []camphorhinge.CacheEvent
	n := 0
	for _, p := range c.events {
		if now.Sub(p.at) < c.lag {
			break
		}
		n++
		c.sent = p.event.Seq
		if !p.lost {
			out = append(out, p.event)
		}
	}
	c.events = append(c.events[:0], c.events[n:]...)
	return camphorhinge.CacheReport{Seq: c.sent, Events: out}
}

// full lists all held prefixes as events with the newest sequence, for a node that lost count.
func (c *cache) full() camphorhinge.CacheReport {
	r := camphorhinge.CacheReport{Seq: c.seq}
	for e := c.order.Back(); e != nil; e = e.Prev() {
		h, _ := e.Value.(uint64)
		r.Events = append(r.Events, camphorhinge.CacheEvent{Seq: c.seq, Prefix: h, Blocks: 1})
	}
	return r
}
