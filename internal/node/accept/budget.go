package accept

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

// BudgetConfig holds the settings and dependencies of a Budget.
type BudgetConfig struct {
	// Limit is the greatest number of open connections; 0 means no limit.
	Limit int
	// Client names the client that takes places by Take. It stands for a port in metrics and log lines.
	Client string
	// Metrics and Log may be nil.
	Metrics *metrics.Set
	Log     *slog.Logger
}

// Budget bounds the connections of a Listener and of a client together, as both take descriptors of one process. A nil Budget has no limit.
// It is safe for concurrent use.
type Budget struct {
	cfg     BudgetConfig
	refused *metrics.Counter
	lines   rate.Sometimes
	// onFull holds the functions of OnFull.
	onFull []func() bool

	mu   sync.Mutex
	open int
	// freed is closed and replaced when a place is given back.
	freed chan struct{}
}

// NewBudget returns a Budget with all places free.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Budget{
		cfg: cfg, freed: make(chan struct{}), lines: rate.Sometimes{First: 10, Interval: logInterval},
		refused: cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_connections_refused_total{port=%q}", cfg.Client)),
	}
}

// OnFull adds a function that ends a connection which can be ended, and reports whether there is one. The functions are called in the order
// in which they were added. It must be called before the Budget is used.
func (b *Budget) OnFull(f func() bool) { b.onFull = append(b.onFull, f) }

// Take takes a place for a connection of the client, and makes room if there is none. It returns false if that fails.
func (b *Budget) Take() bool {
	if b.take() {
		return true
	}
	// Another caller may take the place of the connection that was ended.
	for range 2 {
		if !b.endOne() {
			break
		}
		if b.await() {
			return true
		}
	}
	b.refused.Inc()
	b.lines.Do(func() { b.cfg.Log.Warn("connection refused", "port", b.cfg.Client, "open", b.cfg.Limit) })
	return false
}

// await waits until a place is free, for at most roomTimeout, and takes it.
func (b *Budget) await() bool {
	timer := time.NewTimer(roomTimeout)
	defer timer.Stop()
	for {
		freed := b.nextFreed()
		if b.take() {
			return true
		}
		select {
		case <-freed:
		case <-timer.C:
			return false
		}
	}
}

// Return gives a place back.
func (b *Budget) Return() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	close(b.freed)
	b.freed = make(chan struct{})
}

// take takes a place if one is free.
func (b *Budget) take() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.Limit > 0 && b.open >= b.cfg.Limit {
		return false
	}
	b.open++
	return true
}

// endOne ends a connection that can be ended, and reports whether there is one.
func (b *Budget) endOne() bool {
	for _, f := range b.onFull {
		if f() {
			return true
		}
	}
	return false
}

func (b *Budget) nextFreed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}
