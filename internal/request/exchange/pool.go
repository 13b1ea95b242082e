package exchange

import (
	"sync"
	"time"
)

// pool holds the connections of a Client by target address. The idle ones of an address are ordered by their last use,
// and the newest is reused first; all contains them and those in use. max bounds the idle ones of each address.
type pool struct {
	mu          sync.Mutex
	idle        map[string][]*conn
	all         map[string]map[*conn]struct{}
	max         int
	idleTimeout time.Duration
	closed      bool
}

func newPool(maxIdle int, idleTimeout time.Duration) *pool {
	return &pool{
		idle: make(map[string][]*conn),
		all:  make(map[string]map[*conn]struct{}),
		max:  maxIdle, idleTimeout: idleTimeout,
	}
}

// acquire returns a usable idle connection, or nil.
func (p *pool) acquire(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[address]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.setIdle(address, list[:len(list)-1])
		if time.Since(c.idleSince) < p.idleTimeout && (c.keepAlive == 0 || time.Since(c.idleSince) < c.keepAlive) && c.usable() {
			return c
		}
		p.discard(c)
	}
}

// add registers a new connection that is in use. It returns false when the pool is closed.
func (p *pool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	set := p.all[c.address]
	if set == nil {
		set = make(map[*conn]struct{})
		p.all[c.address] = set
	}
	set[c] = struct{}{}
	return true
}

// release makes a connection idle. It closes a connection that must not be reused or that exceeds max, and the oldest
// idle one of its address if that has expired.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) > 0 && time.Since(list[0].idleSince) >= p.idleTimeout {
		p.discard(list[0])
		list = append([]*conn(nil), list[1:]...)
	}
	if p.closed || c.retired.Load() || c.br.Buffered() > 0 || len(list) >= p.max {
		p.discard(c)
		p.setIdle(c.address, list)
		return
	}
	c.idleSince = time.Now()
	p.setIdle(c.address, append(list, c))
}

// remove closes a connection that is in use and removes it from the pool.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(c)
}

// retire closes the idle connections to an address and marks those in use, which complete their exchange but are not
// reused. It returns the number of both.
func (p *pool) retire(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.all[address])
	for _, c := range p.idle[address] {
		p.discard(c)
	}
	delete(p.idle, address)
	for c := range p.all[address] {
		c.retired.Store(true)
	}
	return n
}

// endOldestIdle closes the connection that has been idle for the longest time, and reports whether there is one.
func (p *pool) endOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.idleSince.Before(oldest.idleSince) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.address, p.idle[oldest.address][1:])
	p.discard(oldest)
	return true
}

// closeAll closes all connections, including those in use.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, set := range p.all {
		for c := range set {
			_ = c.Close()
		}
	}
	clear(p.all)
	clear(p.idle)
}

// discard closes a connection and removes it from all, but not from idle. The caller must hold mu.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	delete(p.all[c.address], c)
	if len(p.all[c.address]) == 0 {
		delete(p.all, c.address)
	}
}

// setIdle replaces the idle connections to an address. The caller must hold mu.
func (p *pool) setIdle(address string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}
