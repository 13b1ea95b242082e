package budget

import (
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// buckets is the number of buckets into which the window is divided.
	buckets = 50
	// allowancePercent is the part of the fixed allowance that all nodes together use. The rest is a reserve for times
	// in which nodes disagree on their number.
	allowancePercent = 70
)

// Config holds the bound: in each window, a service gets at most Ratio times its requests plus Allowance extra
// attempts.
type Config struct {
	Ratio     float64
	Allowance float64
	Window    time.Duration
	// Start is when the node started. Its spending before a restart is not recorded, so its part of the allowance ramps
	// up over the first window.
	Start camphorhinge.Instant
}

// Budget enforces one node's part of the bound. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu       sync.Mutex
	services map[camphorhinge.ServiceName]*slidingWindow
}

// slidingWindow is a ring of buckets with the requests and extra attempts of one service; entry i holds the counts of
// bucket number numbers[i].
type slidingWindow struct {
	requests, extra [buckets + 1]int
	numbers         [buckets + 1]int64
}

// New returns an unspent Budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, services: map[camphorhinge.ServiceName]*slidingWindow{}}
}

func (b *Budget) bucketNumber(now camphorhinge.Instant) int64 {
	return int64(now) / (int64(b.cfg.Window) / buckets)
}

func (b *Budget) bucket(service camphorhinge.ServiceName, number int64) (*slidingWindow, int) {
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{}
		b.services[service] = w
	}
	i := int(number % (buckets + 1))
	if w.numbers[i] != number {
		w.numbers[i], w.requests[i], w.extra[i] = number, 0, 0
	}
	return w, i
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now camphorhinge.Instant, service camphorhinge.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.bucket(service, b.bucketNumber(now))
	w.requests[i]++
}

// TryAcquire takes one extra attempt from the budget and reports whether one was left; nodes is the number of nodes
// that share the bound.
func (b *Budget) TryAcquire(now camphorhinge.Instant, service camphorhinge.ServiceName, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucketNumber(now)
	w, i := b.bucket(service, current)
	requests, extra := 0, 0
	for j, number := range w.numbers {
		if number <= current-buckets-1 || number > current {
			continue
		}
		extra += w.extra[j]
		// The oldest bucket is only partly within the window. Its extra attempts count in full and its requests not at
		// all, so that the bound holds.
		if number > current-buckets {
			requests += w.requests[j]
		}
	}
	rampUp := min(1, float64(now.Sub(b.cfg.Start))/float64(b.cfg.Window))
	limit := b.cfg.Ratio*float64(requests) + b.cfg.Allowance*allowancePercent/100*rampUp/float64(max(nodes, 1))
	if float64(extra+1) > limit {
		return false
	}
	w.extra[i]++
	return true
}
