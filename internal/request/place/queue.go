package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// queueAhead is the work that an engine gets ahead, as time; it covers the way of a placement to the engine and of the
	// word that a prompt has been read. More would only wait at the engine, in an order that can't be changed any more.
	queueAhead = 60 * time.Millisecond
	// refuseMargin is the part of a caller's patience that a request needs at least, besides its expected time.
	refuseMargin = 50 * time.Millisecond
	// leastRetry and mostRetry bound the time after which a refused caller may come again.
	leastRetry, mostRetry = time.Second, 2 * time.Second
	// returnTime is how long a refused request is remembered, so that it goes first when it comes again.
	returnTime = 6 * time.Second
	// leastShare is the share of its requests from which a rank gives way to more urgent ones. Under a lasting overload the
	// least urgent rank would get nothing otherwise.
	leastShare = 0.15
	// rateWindow is the time over which placements are counted.
	rateWindow = time.Second
	// stuckLimit is the number of requests of a rank without an engine after which a round tries no more of them.
	stuckLimit = 6
)

// Queue holds model requests until an engine can begin with them. Requests that can still be on time go first, the most
// urgent rank first and in the order in which they must begin. One that is too large to be on time keeps its place among
// them, so that large requests are not left behind. Each rank gets some of its requests served, however many urgent ones
// come. A request that can't be served before its caller gives up is refused as soon as that is known.
//
// It is not safe for concurrent use.
type Queue struct {
	placer  *Placer
	waiting []*Waiting
	// rates are the measured rates of placements by rank.
	rates map[int]*rate
	// refused tells until when a request that was refused goes first, by its own part.
	refused map[uint64]camphorhinge.Instant
	swept   camphorhinge.Instant
}

// Waiting is a request in a Queue.
type Waiting struct {
	Request
	// Live returns the live targets of the request's service.
	Live func() []*camphorhinge.Target
	// Decided is called once, with a placement, or with nil and the time after which the caller may come again; 0 for that
	// time tells that there is no target.
	Decided func(p *Placement, retry time.Duration)
	arrived camphorhinge.Instant
	// seen is set once the request was looked at; alone is then the time that it takes without a wait.
	seen  bool
	alone time.Duration
	// returned is set for a request that was refused before.
	returned bool
	// late is set once the request can't be on time any more, hopeless when it never could.
	late, hopeless bool
}

// latest returns a time by which requests of one rank are ordered: the sooner one must begin, the earlier it is. So a large
// request goes before small ones that came a little earlier.
func (w *Waiting) latest() camphorhinge.Instant { return w.arrived.Add(-w.alone) }

// NewQueue returns an empty Queue that places by p.
func NewQueue(p *Placer) *Queue {
	return &Queue{placer: p, rates: map[int]*rate{}, refused: map[uint64]camphorhinge.Instant{}}
}

// rate counts the requests of one rank that came and that were placed over the last rateWindow.
type rate struct{ came, placed []camphorhinge.Instant }

// recent drops what is older than rateWindow.
func recent(now camphorhinge.Instant, times []camphorhinge.Instant) []camphorhinge.Instant {
	i := 0
	for i < len(times) && now.Sub(times[i]) > rateWindow {
		i++
	}
	return times[i:]
}

// owed reports whether a smaller share of the rank's requests was placed than each rank gets.
func (r *rate) owed(now camphorhinge.Instant) bool {
	r.came, r.placed = recent(now, r.came), recent(now, r.placed)
	return float64(len(r.placed)) < leastShare*float64(len(r.came))
}

// wait returns the time in which n more requests are placed at the measured rate.
func (r *rate) wait(now camphorhinge.Instant, n int) time.Duration {
	r.placed = recent(now, r.placed)
	if n == 0 {
		return 0
	}
	return time.Duration(n) * rateWindow / time.Duration(max(len(r.placed), 1))
}

func (q *Queue) rate(rank int) *rate {
	r := q.rates[rank]
	if r == nil {
		r = &rate{}
		q.rates[rank] = r
	}
	return r
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add takes a request and decides it now if no other waits; else the next Run does.
func (q *Queue) Add(now camphorhinge.Instant, w *Waiting) {
	w.arrived = now
	if n := len(w.Parts); n > 0 {
		w.returned = now < q.refused[w.Parts[n-1].Hash]
	}
	if now.Sub(q.swept) > returnTime {
		q.swept = now
		maps.DeleteFunc(q.refused, func(_ uint64, until camphorhinge.Instant) bool { return now >= until })
	}
	r := q.rate(w.Rank)
	r.came = append(r.came, now)
	if len(q.waiting) == 0 && q.decide(now, w, 0) {
		return
	}
	q.waiting = append(q.waiting, w)
}

// Remove forgets a request whose caller has left.
func (q *Queue) Remove(w *Waiting) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Run decides on the requests for which an engine can begin now, and on those that can't be served any more. It is called
// after each change of an engine's work and from time to time.
func (q *Queue) Run(now camphorhinge.Instant) {
	owed := map[int]bool{}
	for rank, r := range q.rates {
		owed[rank] = r.owed(now)
	}
	slices.SortStableFunc(q.waiting, func(a, b *Waiting) int {
		if a.Rank != b.Rank && owed[a.Rank] != owed[b.Rank] {
			if owed[a.Rank] {
				return -1
			}
			return 1
		}
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		if a.returned != b.returned && a.Rank == b.Rank {
			if a.returned {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.latest(), b.latest()))
	})
	// ahead counts the requests of each rank that go first.
	ahead := map[int]int{}
	kept := q.waiting[:0]
	stuck := map[int]int{}
	for _, w := range q.waiting {
		wait := q.rate(w.Rank).wait(now, ahead[w.Rank])
		// Where several requests of a rank find no engine, the others won't either; they are only looked at for their time.
		if w.seen && stuck[w.Rank] >= stuckLimit {
			if q.expired(now, w, w.alone+wait, wait) {
				continue
			}
		} else if q.decide(now, w, wait) {
			continue
		} else {
			stuck[w.Rank]++
		}
		kept = append(kept, w)
		ahead[w.Rank]++
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// expired refuses w if it can't be served, which takes some time, before its caller gives up. It reports whether it did.
func (q *Queue) expired(now camphorhinge.Instant, w *Waiting, takes, wait time.Duration) bool {
	if w.Until == 0 || now.Add(takes+refuseMargin) <= w.Until {
		return false
	}
	if n := len(w.Parts); n > 0 {
		q.refused[w.Parts[n-1].Hash] = now.Add(returnTime)
	}
	w.Decided(nil, min(max(wait, leastRetry), mostRetry))
	return true
}

// decide reports whether it decided on w.
func (q *Queue) decide(now camphorhinge.Instant, w *Waiting, ahead time.Duration) bool {
	q.placer.mu.Lock()
	defer q.placer.mu.Unlock()
	live := w.Live()
	best, ok := q.placer.pick(now, live, &w.Request)
	if ok && !w.seen {
		w.seen = true
		w.alone = best.Expected - best.wait
		w.hopeless = w.Due > 0 && now.Add(w.alone) > w.Due
	}
	switch {
	case !ok:
		w.Decided(nil, 0)
	case q.expired(now, w, max(best.Expected, w.alone+ahead), best.wait+ahead):
	case best.wait <= queueAhead:
		r := q.rate(w.Rank)
		r.placed = append(r.placed, now)
		w.Decided(q.placer.adopt(now, best.Plan, &w.Request), 0)
	default:
		w.late = !w.hopeless && w.Due > 0 && now.Add(best.Expected) > w.Due
		return false
	}
	return true
}
