package order

import (
	"sync"
	"time"

	"example.org/camphorhinge"
)

// Budget bounds the loads of weights, because the store of weights is rate-limited. It is safe for use by several
// goroutines.
type Budget struct {
	concurrent int
	rate       int64

	mu        sync.Mutex
	loading   int
	nextStart camphorhinge.Instant
}

// NewBudget allows so many loads at a time, and so many bytes per second on average; a bound of 0 or less is none.
func NewBudget(concurrent int, bytesPerSecond int64) *Budget {
	return &Budget{concurrent: concurrent, rate: bytesPerSecond}
}

// TryAcquire reports whether a load may start now, and takes its share. A load of 0 bytes needs none. The next load waits
// until the bytes of the earlier ones have passed at the allowed rate.
func (b *Budget) TryAcquire(now camphorhinge.Instant, bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.concurrent > 0 && b.loading >= b.concurrent || b.rate > 0 && now < b.nextStart {
		return false
	}
	b.loading++
	if b.rate > 0 {
		took := time.Duration(float64(bytes) / float64(b.rate) * float64(time.Second))
		b.nextStart = max(now, b.nextStart).Add(took)
	}
	return true
}

// Release returns the share of a load that has ended.
func (b *Budget) Release(bytes int64) {
	if bytes <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loading--
}
