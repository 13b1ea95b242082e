package buffer

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Config holds the settings and dependencies of a Pool.
type Config struct {
	// Name tells pools apart in errors and metrics.
	Name string
	// Limit is the greatest number of bytes that are held at a time; 0 means no limit.
	Limit int64
	// Metrics counts refused bytes; nil counts none.
	Metrics *metrics.Set
	// MinRate is the minimum rate at which content that ReadAll reads from an Interrupter must be received, in bytes a second. Slower content
	// is ended if other content needs its memory; 0 ends none.
	MinRate int64
	// OnEnded is called when content was ended, with the bytes that it held; it may be nil and must be quick.
	OnEnded func(owner string, held int64)
	// Collect runs a whole garbage collection; nil stands for runtime.GC.
	Collect func()
}

// Pool divides a number of bytes among owners, such as targets or callers. An owner may hold as much as is free at most, so the bytes
// that one of them takes leave as many for others: of n owners that take what they can get, each gets an (n+1)th, and an (n+1)th
// stays free. The memory of Buffers counts until the garbage collector has reclaimed it: bytes that fit only without it are held after a
// garbage collection. A nil Pool has no limit. It is safe for concurrent use.
type Pool struct {
	cfg                         Config
	refused, collections, ended *metrics.Counter

	mu     sync.Mutex
	held   int64
	owners map[string]int64
	// discarded are the bytes of Buffers that are not held any more and that the garbage collector has not reclaimed.
	discarded discarded
	// collecting is held during a collection for this Pool.
	collecting sync.Mutex
	// intakes is the content that is being received and that may be ended, ending what was ended and still holds memory.
	intakes map[*intake]struct{}
	ending  map[*intake]bool
}

// New returns a Pool of which nothing is held.
func New(cfg Config) *Pool {
	if cfg.Collect == nil {
		cfg.Collect = runtime.GC
	}
	p := &Pool{cfg: cfg, owners: map[string]int64{}, intakes: map[*intake]struct{}{}, ending: map[*intake]bool{}}
	if cfg.Metrics != nil {
		if cfg.MinRate > 0 {
			p.ended = cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_buffer_ended_total{pool=%q}", cfg.Name))
		}
		p.collections = cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_buffer_collections_total{pool=%q}", cfg.Name))
		cfg.Metrics.GetOrCreateGauge(fmt.Sprintf("camphorhinge_buffer_uncollected_bytes{pool=%q}", cfg.Name), func() float64 { return float64(p.Uncollected()) })
		p.refused = cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_buffer_refused_total{pool=%q}", cfg.Name))
		cfg.Metrics.GetOrCreateGauge(fmt.Sprintf("camphorhinge_buffer_bytes{pool=%q}", cfg.Name), func() float64 { return float64(p.Held()) })
	}
	return p
}

// Limit returns the greatest number of bytes that may be held, or 0 if there is no limit.
func (p *Pool) Limit() int64 {
	if p == nil {
		return 0
	}
	return p.cfg.Limit
}

// Held returns the number of bytes that are held.
func (p *Pool) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Fits reports whether an owner may hold n more bytes now, if need be after slow content was ended. It counts a refusal, as the owner
// is told so.
func (p *Pool) Fits(owner string, n int64) bool {
	if p == nil || p.cfg.Limit <= 0 {
		return true
	}
	if p.makeRoom(owner, n, time.Now().Add(roomWait)) {
		return true
	}
	p.countRefusal()
	return false
}

// countRefusal counts bytes that can't be held.
func (p *Pool) countRefusal() {
	if p.refused != nil {
		p.refused.Inc()
	}
}

// fits is Fits for a caller that holds p.mu.
func (p *Pool) fits(owner string, n int64) bool { return p.owners[owner]+n <= p.cfg.Limit-p.held }

// reserve adds n bytes to those of an owner. It returns an Error of KindFull if the owner would hold more than is free.
func (p *Pool) reserve(owner string, n int64) error {
	if p == nil || p.cfg.Limit <= 0 {
		return nil
	}
	var until time.Time
	for {
		taken, completed, err := p.tryReserve(owner, n)
		switch {
		case taken:
			return nil
		case err == nil:
			p.collect(completed)
			continue
		case until.IsZero():
			until = time.Now().Add(roomWait)
		}
		if !p.makeRoom(owner, n, until) {
			p.countRefusal()
			return err
		}
	}
}

// tryReserve is reserve without a wait. It reports false, and the number of completed collections, if there is memory only after a
// garbage collection.
func (p *Pool) tryReserve(owner string, n int64) (taken bool, completed int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fits(owner, n) {
		return false, 0, &Error{Op: "reserve", Kind: KindFull, Err: fmt.Errorf(
			"%s: %d more bytes for %s, which holds %d; %d of %d are held", p.cfg.Name, n, owner, p.owners[owner], p.held, p.cfg.Limit)}
	}
	if p.held+p.discarded.bytes()+n > p.cfg.Limit {
		return false, p.discarded.completed, nil
	}
	p.owners[owner] += n
	p.held += n
	return true, 0, nil
}

// release returns n bytes of an owner.
func (p *Pool) release(owner string, n int64) {
	if p == nil || p.cfg.Limit <= 0 || n == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subtract(owner, n)
}

// subtract is release for a caller that holds p.mu.
func (p *Pool) subtract(owner string, n int64) {
	p.held -= n
	if p.owners[owner] -= n; p.owners[owner] == 0 {
		delete(p.owners, owner)
	}
}
