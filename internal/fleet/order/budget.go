package order

import (
	"sync"
	"time"

	"example.org/camphorhinge"
)

// Budget limits how many engines load weights at the same time and how many bytes per second they load, because the
// store of weights is rate-limited. It is safe for use by several goroutines.
type Budget struct {
	concurrent int
	rate       int64

	mu      sync.Mutex
	loading int
	// nextStart is the earliest start of the next load under the rate limit.
	nextStart camphorhinge.Instant
}

// NewBudget returns a Budget for at most concurrent loads at a time and bytesPerSecond on average. A limit of 0 or
// less means no limit.
func NewBudget(concurrent int, bytesPerSecond int64) *Budget {
	return &Budget{concurrent: concurrent, rate: bytesPerSecond}
}

// TryAcquire reports whether a load may start now, and counts it if so. The next load waits for the time
// that the bytes of the earlier ones take at the allowed rate. A load of 0 bytes is always allowed and not counted.
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
		transfer := time.Duration(float64(bytes) / float64(b.rate) * float64(time.Second))
		b.nextStart = max(now, b.nextStart).Add(transfer)
	}
	return true
}

// Release ends a load of the given size that TryAcquire allowed.
func (b *Budget) Release(bytes int64) {
	if bytes <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loading--
}
