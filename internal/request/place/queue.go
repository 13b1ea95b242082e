package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// maxEngineBacklog is the backlog up to which an engine is sent further requests. It covers the latency of sending
	// a placement to the engine and of the report that a prefill is complete. Anything above it would only wait at the
	// engine, where requests can't be reordered any more.
	maxEngineBacklog = 60 * time.Millisecond
	// refuseMargin is the time that must remain until a caller's deadline in addition to the request's expected time.
	refuseMargin = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry-after time of a refusal.
	minRetryAfter, maxRetryAfter = time.Second, 2 * time.Second
	// refusalRetention is how long a refused request is remembered, so that it goes first within its rank on a retry.
	refusalRetention = 6 * time.Second
	// minRankShare is the share of a rank's arrivals that must be placed; a rank below it precedes other ranks. Without
	// it, the least urgent rank would starve under a sustained overload.
	minRankShare = 0.15
	// rateWindow is the time over which arrivals and placements are counted.
	rateWindow = time.Second
	// maxUnplacedPerRank bounds the requests of a rank that a single Run tries to place in vain.
	maxUnplacedPerRank = 6
	// maxReconsidered bounds the targets that a single Run considers for requests which it has tried to place before, so that
	// the processor time of a Run does not grow with the number of waiting requests times that of targets.
	maxReconsidered = 1200
)

// Queue holds model requests until an engine can start them. Requests that can still meet their due time go first, by
// rank and then by the time at which they must start. A request too large to ever meet its due time keeps its position
// among them, so that large requests don't starve. Each rank gets a minimum share of its requests placed, whatever the
// load of more urgent ranks. Within a rank, workspaces that wait at the same time get equal shares of the engines' time. A request
// that can't be served before its caller's deadline is refused as soon as that is determined.
//
// It is not safe for concurrent use.
type Queue struct {
	placer  *Placer
	waiting []*QueuedRequest
	// rates are the arrivals and placements by rank.
	rates map[int]*rankRate
	// runs is the number of calls of Run.
	runs uint64
	// refusedUntil is the time until which a retry of a refused request goes first, by the hash of its private segment.
	refusedUntil map[uint64]camphorhinge.Instant
	sweptAt      camphorhinge.Instant
	shares       shares
	refusals     Refusals
}

// Refusals counts the refused requests.
type Refusals struct {
	// AboveShare counts those of workspaces that had more than others that waited, InVain all other ones.
	AboveShare, InVain uint64
}

// Refusals returns the refused requests so far.
func (q *Queue) Refusals() Refusals { return q.refusals }

// QueuedRequest is a request in a Queue.
type QueuedRequest struct {
	Request
	// Live returns the live targets of the request's service.
	Live func() []*camphorhinge.Target
	// OnDecision is called once, with a placement, or with nil and the time after which the caller may retry; 0 means
	// that there is no target. It must not call the Placer, whose lock may be held.
	OnDecision func(p *Placement, retry time.Duration)
	arrived    camphorhinge.Instant
	// tried is the Run that last tried to place the request, or 0, and considered the number of targets at the last try. retry is
	// set if the current Run may try again.
	tried      uint64
	considered int
	retry      bool
	// estimated is set once serviceTime, the expected time without the wait, has been estimated.
	estimated   bool
	serviceTime time.Duration
	// retried is set for a request that was refused recently, and for a stream that is continued: its caller has waited for
	// longer than those of new requests, and only some targets may serve it.
	retried bool
	// neverOnTime is set when the request could not meet its due time even without a wait. late is set while any other
	// request is not expected to meet its due time.
	late, neverOnTime bool
	// account is that of the workspace, work the expected engine time in milliseconds, and lead the engine time by which the workspace
	// is ahead of others once the requests before this one are placed; 0 unless several workspaces wait.
	account    *account
	work, lead float64
	// starved is set while several workspaces wait and the share of this one's requests that are placed is too small.
	starved bool
}

// startOrder returns the time by which requests of a rank are ordered: arrival minus service time, so that a large
// request goes before small ones that arrived a little earlier.
func (w *QueuedRequest) startOrder() camphorhinge.Instant { return w.arrived.Add(-w.serviceTime) }

// NewQueue returns an empty Queue that places its requests with p.
func NewQueue(p *Placer) *Queue {
	return &Queue{placer: p, rates: map[int]*rankRate{}, refusedUntil: map[uint64]camphorhinge.Instant{}, shares: shares{}}
}

// rankRate holds the times of the arrivals and placements of one rank within the last rateWindow.
type rankRate struct{ arrivals, placements []camphorhinge.Instant }

// dropExpired drops the times that are older than rateWindow; times are in ascending order.
func dropExpired(now camphorhinge.Instant, times []camphorhinge.Instant) []camphorhinge.Instant {
	i := 0
	for i < len(times) && now.Sub(times[i]) > rateWindow {
		i++
	}
	return times[i:]
}

// belowMinShare reports whether fewer than minRankShare of the rank's arrivals within rateWindow were placed.
func (r *rankRate) belowMinShare(now camphorhinge.Instant) bool {
	r.arrivals, r.placements = dropExpired(now, r.arrivals), dropExpired(now, r.placements)
	return float64(len(r.placements)) < minRankShare*float64(len(r.arrivals))
}

// waitFor returns the expected time to place n more requests at the measured rate.
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

// Oldest returns how long the request that waits longest has waited, or 0 if none waits.
func (q *Queue) Oldest(now camphorhinge.Instant) time.Duration {
	var oldest time.Duration
	for _, w := range q.waiting {
		oldest = max(oldest, now.Sub(w.arrived))
	}
	return oldest
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add enqueues a request; it is decided at once if no other request waits, else by a later Run.
func (q *Queue) Add(now camphorhinge.Instant, w *QueuedRequest) {
	n := len(w.Segments)
	again := n > 0 && now < q.refusedUntil[w.Segments[n-1].Hash]
	w.arrived, w.retried = now, w.Software != nil || again
	if now.Sub(q.sweptAt) > refusalRetention {
		q.sweptAt = now
		maps.DeleteFunc(q.refusedUntil, func(_ uint64, until camphorhinge.Instant) bool { return now >= until })
	}
	w.account = q.shares.account(now, &w.Request)
	w.account.arrive(again)
	// A workspace above its share that repeats its requests must not move its whole rank before others.
	if r := q.rateOf(w.Rank); !again || !w.account.aboveShare() {
		r.arrivals = append(r.arrivals, now)
	}
	if w.Engine != nil {
		q.placer.mu.Lock()
		q.placer.recordDemand(now, &w.Request)
		_, shared := w.shared()
		w.work = q.placer.engineTime(&w.Request, w.Prompt-shared)
		q.placer.mu.Unlock()
	}
	if len(q.waiting) == 0 && q.decide(now, w, 0) {
		return
	}
	w.account.startWaiting()
	q.waiting = append(q.waiting, w)
}

// Remove drops a request whose caller has disconnected.
func (q *Queue) Remove(w *QueuedRequest) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		w.account.stopWaiting()
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Run places the requests that an engine can start now, and refuses those that can't be served in time any more. It
// must be called after each change of an engine's work, and periodically.
func (q *Queue) Run(now camphorhinge.Instant) {
	below := map[int]bool{}
	for rank, r := range q.rates {
		below[rank] = r.belowMinShare(now)
	}
	for _, w := range q.waiting {
		w.lead, w.starved = 0, false
	}
	q.sort(below)
	shared := q.planShares(now)
	if shared {
		q.sort(below)
	}
	q.runs++
	q.chooseRetries(shared)
	// ahead counts the requests of each rank that precede in the queue.
	ahead := map[int]int{}
	kept := q.waiting[:0]
	unplaced := map[int]int{}
	for _, w := range q.waiting {
		wait := q.rateOf(w.Rank).waitFor(now, ahead[w.Rank])
		above := w.account.aboveShare()
		if above {
			wait = max(wait, w.account.wait(float64(len(q.rateOf(w.Rank).placements))/rateWindow.Seconds()))
		}
		// When several requests of a rank found no engine, the others won't either; only their deadlines are checked.
		// One that was tried while all engines were full has no estimate yet.
		if w.tried > 0 && unplaced[w.Rank] >= maxUnplacedPerRank || w.estimated && w.tried > 0 && !w.retry {
			if q.refuseIfTooLate(now, w, w.serviceTime+wait, wait) {
				w.account.stopWaiting()
				continue
			}
		} else if above && q.refuseIfTooLate(now, w, wait, wait) {
			w.account.stopWaiting()
			continue
		} else if w.tried = q.runs; q.decide(now, w, wait) {
			w.account.stopWaiting()
			continue
		} else {
			unplaced[w.Rank]++
		}
		kept = append(kept, w)
		ahead[w.Rank]++
		w.account.ahead++
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// sort orders the waiting requests; below tells which ranks are below their least share.
func (q *Queue) sort(below map[int]bool) {
	slices.SortStableFunc(q.waiting, func(a, b *QueuedRequest) int {
		if a.starved != b.starved {
			if a.starved {
				return -1
			}
			return 1
		}
		if a.Rank != b.Rank && below[a.Rank] != below[b.Rank] {
			if below[a.Rank] {
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
		if a.Rank == b.Rank && a.lead != b.lead {
			return cmp.Compare(a.lead, b.lead)
		}
		if a.retried != b.retried && a.Rank == b.Rank {
			if a.retried {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.startOrder(), b.startOrder()))
	})
}

// planShares sets the leads of the waiting requests in their present order, and reports whether any differ.
func (q *Queue) planShares(now camphorhinge.Instant) (differ bool) {
	for _, w := range q.waiting {
		a := w.account
		w.starved = a.total.group.contended() && a.total.starved()
		differ = differ || w.starved
		a.use(now)
		a.ahead, a.planned = 0, 0
		a.group.update(now)
		a.group.observe(now)
		a.total.group.update(now)
	}
	for _, w := range q.waiting {
		a := w.account
		if !a.group.contended() {
			continue
		}
		// Most requests are not tried again before their due time has passed.
		w.late = w.late || !w.neverOnTime && w.Due > 0 && now.Add(w.serviceTime) > w.Due
		if !a.starved() {
			w.lead = a.lead
		}
		w.lead += a.planned
		a.planned += w.work
		differ = true
	}
	return differ
}

// chooseRetries marks the requests that the current Run may try to place again: those that were tried longest ago, and among
// them the first ones in the queue. While workspaces share engines, half of them are the first ones of the queue, whenever they were
// tried: else new requests of a workspace that has had more would take the engines that become free.
func (q *Queue) chooseRetries(shared bool) {
	var tried []*QueuedRequest
	targets := 1
	for _, w := range q.waiting {
		if w.retry = false; w.tried > 0 {
			tried = append(tried, w)
			targets = max(targets, w.considered)
		}
	}
	n := min(len(tried), max(maxReconsidered/targets, 1))
	if shared {
		first := (n + 1) / 2
		for _, w := range tried[:first] {
			w.retry = true
		}
		tried, n = tried[first:], n-first
	}
	slices.SortStableFunc(tried, func(a, b *QueuedRequest) int { return cmp.Compare(a.tried, b.tried) })
	for _, w := range tried[:n] {
		w.retry = true
	}
}

// refuseIfTooLate refuses w if its caller's deadline does not leave the given duration and refuseMargin, and reports
// whether it did. The retry-after time is the wait, within its bounds.
func (q *Queue) refuseIfTooLate(now camphorhinge.Instant, w *QueuedRequest, duration, wait time.Duration) bool {
	if w.Deadline == 0 || now.Add(duration+refuseMargin) <= w.Deadline {
		return false
	}
	if n := len(w.Segments); n > 0 {
		q.refusedUntil[w.Segments[n-1].Hash] = now.Add(refusalRetention)
	}
	retry := min(max(wait, minRetryAfter), maxRetryAfter)
	if !w.account.aboveShare() {
		q.refusals.InVain++
	} else {
		q.refusals.AboveShare++
		// Callers of the workspace that all came back within the usual time would be refused again.
		retry = min(time.Duration(float64(retry)*w.account.excess()), maxShareRetryAfter)
	}
	w.OnDecision(nil, retry)
	return true
}

// decide places or refuses w if that is possible now, and reports whether it did. ahead is the expected wait behind
// other requests of the rank.
func (q *Queue) decide(now camphorhinge.Instant, w *QueuedRequest, ahead time.Duration) bool {
	q.placer.mu.Lock()
	defer q.placer.mu.Unlock()
	live := w.Live()
	w.considered = len(live)
	best, ok := q.placer.bestPlan(now, live, &w.Request)
	if ok && !best.full && !w.estimated {
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
		q.placer.recordPlanDemand(now, best.Plan, &w.Request)
		w.account.place(q.placer.engineTime(&w.Request, best.Uncached))
		w.OnDecision(q.placer.adopt(now, best.Plan, &w.Request), 0)
	default:
		w.late = !w.neverOnTime && w.Due > 0 && now.Add(best.Expected) > w.Due
		return false
	}
	return true
}
