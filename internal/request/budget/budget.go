package budget

import (
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// buckets is the number of parts of the window that are counted apart.
	buckets = 50
	// allowancePercent is the part of the fixed allowance, in percent, that all nodes together use. The rest covers the time
	// in which nodes disagree on how many they are.
	allowancePercent = 70
)

// Config holds the bound: in each window, a service gets at most Ratio times its requests plus Allowance extra attempts.
type Config struct {
	Ratio     float64
	Allowance float64
	Window    time.Duration
	// Start is when the node started. What it spent before is not known, so its part of the allowance builds up over the
	// first window.
	Start camphorhinge.Instant
}

// Budget is one node's part of the bound. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu       sync.Mutex
	services map[camphorhinge.ServiceName]*slidingWindow
}

// slidingWindow counts requests and extra attempts of one service by time; slot i holds the counts of part number numbers[i].
type slidingWindow struct {
	requests, extra [buckets + 1]int
	numbers         [buckets + 1]int64
}

// New returns a Budget of which nothing is spent.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, services: map[camphorhinge.ServiceName]*slidingWindow{}}
}

func (b *Budget) bucketNumber(now camphorhinge.Instant) int64 {
	return int64(now) / (int64(b.cfg.Window) / buckets)
}

func (b *Budget) bucket(service camphorhinge.ServiceName, part int64) (*slidingWindow, int) {
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{}
		b.services[service] = w
	}
	i := int(part % (buckets + 1))
	if w.numbers[i] != part {
		w.numbers[i], w.requests[i], w.extra[i] = part, 0, 0
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

// TryAcquire takes one extra attempt from the budget, if there is one; nodes is the number of nodes that share the bound.
func (b *Budget) TryAcquire(now camphorhinge.Instant, service camphorhinge.ServiceName, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.bucketNumber(now)
	w, i := b.bucket(service, part)
	requests, extra := 0, 0
	for j, number := range w.numbers {
		if number <= part-buckets-1 || number > part {
			continue
		}
		extra += w.extra[j]
		// The oldest part is only partly within the window; it counts against the node and not for it.
		if number > part-buckets {
			requests += w.requests[j]
		}
	}
	up := min(1, float64(now.Sub(b.cfg.Start))/float64(b.cfg.Window))
	limit := b.cfg.Ratio*float64(requests) + b.cfg.Allowance*allowancePercent/100*up/float64(max(nodes, 1))
	if float64(extra+1) > limit {
		return false
	}
	w.extra[i]++
	return true
}
