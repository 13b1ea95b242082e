package ingress

import (
	"errors"
	"time"

	"example.org/camphorhinge/internal/request/buffer"
)

const (
	// smallHeader is the size up to which a header takes no memory of the pool of headers, in bytes, so that ordinary callers are served
	// when large headers have taken all of it. Hertz's first buffer of a connection has this size.
	smallHeader = 4 << 10
	// headerCost is the memory that a byte of an incomplete header takes: hertz copies the header each time that it has grown. Measured:
	// 128 KB for a header of 15 KB.
	headerCost = 8
	// slowHeader is the age from which an incomplete header is ended for others when there is no memory.
	slowHeader = 500 * time.Millisecond
)

// errHeaderMemory marks a header for which there is no memory.
var errHeaderMemory = errors.New("no memory for the header now")

// Bound makes incomplete headers take memory of a pool. It must be called before connections are added.
func (c *Conns) Bound(headers *buffer.Pool) { c.headers = headers }

// holdHeader takes memory for a header of n bytes. Without it, the slowest connection with a large header is ended, and this header
// is refused.
func (g *guardedConn) holdHeader(n int) error {
	if g.conns == nil || g.conns.headers == nil || n <= smallHeader || n <= g.Len() {
		return nil
	}
	if g.lease == nil {
		g.lease = g.conns.headers.Lease(g.RemoteAddr().String())
	}
	if err := g.lease.Grow(int64(n) * headerCost); err != nil {
		g.headerRefused = true
		g.conns.endSlowHeader()
		return errHeaderMemory
	}
	g.headerHeld.Store(int64(n))
	return nil
}

// freeHeader gives back the memory of a header.
func (g *guardedConn) freeHeader() {
	g.headerSince.Store(0)
	g.headerHeld.Store(0)
	if g.lease != nil {
		g.lease.Free()
	}
}

// endSlowHeader closes the connection that holds most for an incomplete header which has not been completed within slowHeader.
func (c *Conns) endSlowHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var most *guardedConn
	var held int64
	before := time.Now().Add(-slowHeader).UnixNano()
	for g := range c.open {
		since, n := g.headerSince.Load(), g.headerHeld.Load()
		if since != 0 && since < before && n > held {
			most, held = g, n
		}
	}
	if most != nil {
		most.netConn.Close()
	}
}
