package buffer

import "runtime"

// discarded counts the bytes of Buffers that are not held any more and that the garbage collector has not reclaimed.
type discarded struct {
	// recent are those since the start of the latest collection for the Pool, and earlier those from before it while it runs.
	recent, earlier int64
	// begun and completed are the numbers of collections for the Pool.
	begun, completed int
}

func (d *discarded) bytes() int64 { return d.recent + d.earlier }

// block is an allocation of a Buffer. Its fields are guarded by the mu of the Pool.
type block struct {
	pool *Pool
	size int64
	// discarded is true once no Buffer holds it any more, and epoch is the number of collections that had begun by then.
	discarded bool
	epoch     int
	// collected is true once the garbage collector has reclaimed the memory, which it may do just before discard.
	collected bool
}

// allocate returns memory of the given capacity, whose bytes the Pool counts until the garbage collector has reclaimed them.
func (p *Pool) allocate(length, size int) ([]byte, *block) {
	data := make([]byte, length, size)
	if p == nil || p.cfg.Limit <= 0 {
		return data, nil
	}
	k := &block{pool: p, size: int64(size)}
	runtime.AddCleanup(&data[:1][0], (*block).reclaimed, k)
	return data, k
}

// reclaimed is called when the garbage collector has found that nothing refers to the memory any more. A collection for the Pool has
// already subtracted what was discarded before it.
func (k *block) reclaimed() {
	p := k.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	k.collected = true
	switch {
	case !k.discarded:
	case k.epoch == p.discarded.begun:
		p.discarded.recent -= k.size
	case k.epoch == p.discarded.begun-1 && p.discarded.completed < p.discarded.begun:
		p.discarded.earlier -= k.size
	}
}

// discard returns the memory of a Buffer of an owner.
func (p *Pool) discard(owner string, k *block) {
	if k == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subtract(owner, k.size)
	if k.collected {
		return
	}
	k.discarded, k.epoch = true, p.discarded.begun
	p.discarded.recent += k.size
}

// Uncollected returns the number of bytes of Buffers that are not held any more and that the garbage collector has not reclaimed.
func (p *Pool) Uncollected() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.discarded.bytes()
}

// collect runs a garbage collection, which reclaims all that was discarded before, unless one has completed since the given number
// of them.
func (p *Pool) collect(completed int) {
	p.collecting.Lock()
	defer p.collecting.Unlock()
	p.mu.Lock()
	if p.discarded.completed != completed {
		p.mu.Unlock()
		return
	}
	p.discarded.begun++
	p.discarded.earlier, p.discarded.recent = p.discarded.recent, 0
	p.mu.Unlock()
	p.cfg.Collect()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discarded.completed++
	p.discarded.earlier = 0
	if p.collections != nil {
		p.collections.Inc()
	}
}
