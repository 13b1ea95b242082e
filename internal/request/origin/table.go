package origin

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// Key identifies a stream; it is a hash of the attempt that brought its first event.
type Key uint64

// KeyOf returns the Key of the stream whose first event an attempt brings.
func KeyOf(attempt camphorhinge.AttemptID) Key { return Key(xxhash.Sum64String(string(attempt))) }

// Origin is where a stream began.
type Origin struct {
	Service  camphorhinge.ServiceName
	Software camphorhinge.SoftwareVersion
}

// Record is the origin of one stream.
type Record struct {
	Key Key
	Origin
	// Try numbers the targets to which a node has sent the attempt, from 1. Only the last one can have brought an event. It is
	// 0 for a stream that was continued.
	Try uint8
	// Until is the time up to which the record is kept.
	Until camphorhinge.Instant
}

// entry is a Record in a Table.
type entry struct {
	until  camphorhinge.Instant
	origin uint32
	try    uint8
}

// Table holds the origins of streams. It is safe for concurrent use.
type Table struct {
	limit int

	mu      sync.Mutex
	entries map[Key]entry
	// origins are the distinct origins, to which entries refer by index.
	origins []Origin
	indices map[Origin]uint32
}

// New returns an empty Table for at most limit streams.
func New(limit int) *Table {
	return &Table{limit: limit, entries: map[Key]entry{}, indices: map[Origin]uint32{}}
}

// Add adds records. A record of a later try replaces one of an earlier try, any other only extends the time for which the
// existing one is kept. It returns the number of records that were dropped because the Table is full.
func (t *Table) Add(now camphorhinge.Instant, records ...Record) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if r.Until <= now {
			continue
		}
		old, ok := t.entries[r.Key]
		if ok && now < old.until {
			old.until = max(old.until, r.Until)
			if r.Try > old.try {
				old.try, old.origin = r.Try, t.index(r.Origin)
			}
			t.entries[r.Key] = old
			continue
		}
		if !ok && len(t.entries) >= t.limit {
			dropped++
			continue
		}
		t.entries[r.Key] = entry{until: r.Until, origin: t.index(r.Origin), try: r.Try}
	}
	return dropped
}

// index returns the index of an origin; the caller holds the lock.
func (t *Table) index(o Origin) uint32 {
	i, ok := t.indices[o]
	if !ok {
		i = uint32(min(len(t.origins), math.MaxUint32))
		t.origins, t.indices[o] = append(t.origins, o), i
	}
	return i
}

// Find returns the origin of a stream; ok is false when it is not known.
func (t *Table) Find(now camphorhinge.Instant, key Key) (o Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok || now >= e.until {
		return Origin{}, false
	}
	return t.origins[e.origin], true
}

// Sweep removes the records whose time has passed, and returns the number of those left.
func (t *Table) Sweep(now camphorhinge.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.entries {
		if now >= e.until {
			delete(t.entries, key)
		}
	}
	if len(t.entries) == 0 {
		// The number of origins that were ever seen has no other bound.
		t.origins, t.indices = nil, map[Origin]uint32{}
	}
	return len(t.entries)
}

// All returns all records, in no order.
func (t *Table) All(now camphorhinge.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.entries))
	for key, e := range t.entries {
		if now < e.until {
			out = append(out, Record{Key: key, Origin: t.origins[e.origin], Try: e.try, Until: e.until})
		}
	}
	return out
}

// History holds when a node last saw each software version of each service. It is safe for concurrent use.
type History struct {
	start camphorhinge.Instant

	mu   sync.Mutex
	seen map[Origin]camphorhinge.Instant
}

// historyRetention is how long a version is remembered after it was last seen.
const historyRetention = 10 * time.Minute

// NewHistory returns a History that begins now.
func NewHistory(now camphorhinge.Instant) *History {
	return &History{start: now, seen: map[Origin]camphorhinge.Instant{}}
}

// Observe records that a version is in service.
func (h *History) Observe(now camphorhinge.Instant, o Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[o] = max(h.seen[o], now)
}

// Versions returns the software versions of a service that were seen within the given time, in no order; whole is false when
// the History does not reach back so far.
func (h *History) Versions(now camphorhinge.Instant, service camphorhinge.ServiceName, within time.Duration) (versions []camphorhinge.SoftwareVersion, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for o, at := range h.seen {
		switch {
		case now.Sub(at) > historyRetention:
			delete(h.seen, o)
		case o.Service == service && now.Sub(at) <= within:
			versions = append(versions, o.Software)
		}
	}
	return versions, now.Sub(h.start) >= within && within < historyRetention
}
