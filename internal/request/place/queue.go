package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// maxEngineBacklog is the work that an engine gets ahead, as time; it covers the way of a placement to the engine and of the
	// word that a prompt has been read. More would only wait at the engine, in an order that can't be changed any more.
	maxEngineBacklog = 60 * time.Millisecond
	// refuseMargin is the part of a caller's patience that a request needs at least, besides its expected time.
	refuseMargin = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may come again.
	minRetryAfter, maxRetryAfter = time.Second, 2 * time.Second
	// refusalRetention is how long a refused request is remembered, so that it goes first when it comes again.
	refusalRetention = 6 * time.Second
	// minRankShare is the share of its requests from which a rank gives way to more urgent ones. Under a lasting overload the
	// least urgent rank would get nothing otherwise.
	minRankShare = 0.15
	// rateWindow is the time over which placements are counted.
	rateWindow = time.Second
	// maxUnplacedPerRank is the number of requests of a rank without an engine after which a round tries no more of them.
	maxUnplacedPerRank = 6
)

// Queue holds model requests until an engine can begin with them. Requests that can still be on time go first, the most
// urgent rank first and in the order in which they must begin. One that is too large to be on time keeps its place among
// them, so that large requests are not left behind. Each rank gets some of its requests served, however many urgent ones
// come. A request that can't be served before its caller gives up is refused as soon as that is known.
//
// It is not safe for concurrent use.
type Queue struct {
	placer  *Placer
	waiting []*QueuedRequest
	// rates are the measured rates of placements by rank.
	rates map[int]*rankRate
	// refusedUntil tells until when a request that was refusedUntil goes first, by its own part.
	refusedUntil map[uint64]camphorhinge.Instant
	sweptAt      camphorhinge.Instant
}

// QueuedRequest is a request in a Queue.
type QueuedRequest struct {
	Request
	// Live returns the live targets of the request's service.
	Live func() []*camphorhinge.Target
	// OnDecision is called once, with a placement, or with nil and the time after which the caller may come again; 0 for that
	// time tells that there is no target.
	OnDecision func(p *Placement, retry time.Duration)
	arrived    camphorhinge.Instant
	// estimated is set once the request was looked at; alone is then the time that it takes without a wait.
	estimated   bool
	serviceTime time.Duration
	// retried is set for a request that was refused before.
	retried bool
	// late is set once the request can't be on time any more, neverOnTime when it never could.
	late, neverOnTime bool
}

// startOrder returns a time by which requests of one rank are ordered: the sooner one must begin, the earlier it is. So a large
// request goes before small ones that came a little earlier.
func (w *QueuedRequest) startOrder() camphorhinge.Instant { return w.arrived.Add(-w.serviceTime) }

// NewQueue returns an empty Queue that places by p.
func NewQueue(p *Placer) *Queue {
	return &Queue{placer: p, rates: map[int]*rankRate{}, refusedUntil: map[uint64]camphorhinge.Instant{}}
}

// rankRate counts the requests of one rank that came and that were placed over the last rateWindow.
type rankRate struct{ arrivals, placements []camphorhinge.Instant }

// dropExpired drops what is older than rateWindow.
func dropExpired(now camphorhinge.Instant, times []camphorhinge.Instant) []camphorhinge.Instant {
	i := 0
	for i < len(times) && now.Sub(times[i]) > rateWindow {
		i++
	}
	return times[i:]
}

// belowMinShare reports whether a smaller share of the rank's requests was placed than each rank gets.
func (r *rankRate) belowMinShare(now camphorhinge.Instant) bool {
	r.arrivals, r.placements = dropExpired(now, r.arrivals), dropExpired(now, r.placements)
	return float64(len(r.placements)) < minRankShare*float64(len(r.arrivals))
}

// waitFor returns the time in which n more requests are placed at the measured rate.
func (r *rankRate) waitFor(now camphorhinge.Instant, n int) time.Duration {
	r.placements = dropExpired(now, r.placements)
	if n == 0 {
		return 0
	}
	return time.Duration(n) * rateWindow / time.Duration(max(len(r.placements), 1))
}

func (q *Queue) rateOf(rank int) *rankRate {
	r := q.rates[rank]
	if r == nil {
		r = &rankRate{}
		q.rates[rank] = r
	}
	return r
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add takes a request and decides it now if no other waits; else the next Run does.
func (q *Queue) Add(now camphorhinge.Instant, w *QueuedRequest) {
	w.arrived = now
	if n := len(w.Segments); n > 0 {
		w.retried = now < q.refusedUntil[w.Segments[n-1].Hash]
	}
	if now.Sub(q.sweptAt) > refusalRetention {
		q.sweptAt = now
		maps.DeleteFunc(q.refusedUntil, func(_ uint64, until camphorhinge.Instant) bool { return now >= until })
	}
	r := q.rateOf(w.Rank)
	r.arrivals = append(r.arrivals, now)
	if len(q.waiting) == 0 && q.decide(now, w, 0) {
		return
	}
	q.waiting = append(q.waiting, w)
}

// Remove forgets a request whose caller has left.
func (q *Queue) Remove(w *QueuedRequest) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Run decides on the requests for which an engine can begin now, and on those that can't be served any more. It is called
// after each change of an engine's work and from time to time.
func (q *Queue) Run(now camphorhinge.Instant) {
	owed := map[int]bool{}
	for rank, r := range q.rates {
		owed[rank] = r.belowMinShare(now)
	}
	slices.SortStableFunc(q.waiting, func(a, b *QueuedRequest) int {
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
		if a.retried != b.retried && a.Rank == b.Rank {
			if a.retried {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.startOrder(), b.startOrder()))
	})
	// ahead counts the requests of each rank that go first.
	ahead := map[int]int{}
	kept := q.waiting[:0]
	stuck := map[int]int{}
	for _, w := range q.waiting {
		wait := q.rateOf(w.Rank).waitFor(now, ahead[w.Rank])
		// Where several requests of a rank find no engine, the others won't either; they are only looked at for their time.
		if w.estimated && stuck[w.Rank] >= maxUnplacedPerRank {
			if q.refuseIfTooLate(now, w, w.serviceTime+wait, wait) {
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

// refuseIfTooLate refuses w if it can't be served, which takes some time, before its caller gives up. It reports whether it did.
func (q *Queue) refuseIfTooLate(now camphorhinge.Instant, w *QueuedRequest, takes, wait time.Duration) bool {
	if w.Deadline == 0 || now.Add(takes+refuseMargin) <= w.Deadline {
		return false
	}
	if n := len(w.Segments); n > 0 {
		q.refusedUntil[w.Segments[n-1].Hash] = now.Add(refusalRetention)
	}
	w.OnDecision(nil, min(max(wait, minRetryAfter), maxRetryAfter))
	return true
}

// decide reports whether it decided on w.
func (q *Queue) decide(now camphorhinge.Instant, w *QueuedRequest, ahead time.Duration) bool {
	q.placer.mu.Lock()
	defer q.placer.mu.Unlock()
	live := w.Live()
	best, ok := q.placer.bestPlan(now, live, &w.Request)
	if ok && !w.estimated {
		w.estimated = true
		w.serviceTime = best.Expected - best.wait
		w.neverOnTime = w.Due > 0 && now.Add(w.serviceTime) > w.Due
	}
	switch {
	case !ok:
		w.OnDecision(nil, 0)
	case q.refuseIfTooLate(now, w, max(best.Expected, w.serviceTime+ahead), best.wait+ahead):
	case best.wait <= maxEngineBacklog:
		r := q.rateOf(w.Rank)
		r.placements = append(r.placements, now)
		w.OnDecision(q.placer.adopt(now, best.Plan, &w.Request), 0)
	default:
		w.late = !w.neverOnTime && w.Due > 0 && now.Add(best.Expected) > w.Due
		return false
	}
	return true
}
