package site

import (
	"context"
	"sync"
	"time"
)

const (
	// callWork is the processor time of a call at a core node.
	callWork = 100 * time.Microsecond
	// targetWork is the processor time to consider one target for one request.
	targetWork = 900 * time.Nanosecond
)

// processor is the one processor of a node, which does its work in the order in which it comes.
type processor struct {
	// idle is set if work takes no time.
	idle bool

	mu sync.Mutex
	// busyUntil is when the work so far will be done.
	busyUntil time.Time
	// considered is the number of targets that the node has considered in the work so far.
	considered uint64
}

// restart drops the work of a process that has ended.
func (p *processor) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil, p.considered = time.Time{}, 0
}

// work adds work of the given duration and that of the targets considered since the last call, of considered in all, and waits
// until it is done or ctx ends.
func (p *processor) work(ctx context.Context, d time.Duration, considered uint64) error {
	if p.idle {
		return ctx.Err()
	}
	now := time.Now()
	p.mu.Lock()
	if considered > p.considered {
		d += time.Duration(considered-p.considered) * targetWork
		p.considered = considered
	}
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(d)
	until := p.busyUntil
	p.mu.Unlock()
	sleep(ctx, until.Sub(now))
	return ctx.Err()
}
