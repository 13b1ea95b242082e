package site

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Loss is what happens to the connections between a node and engines when the paths between them are cut.
type Loss string

// Kinds of losses. New connections hang with Silent, and are refused otherwise.
const (
	// Silent makes open connections hang; they fail with a time-out after silentTime.
	Silent Loss = "silent"
	// Reset resets open connections.
	Reset Loss = "reset"
	// Refused leaves open connections alone.
	Refused Loss = "refused"
)

// silentTime is how long a connection hangs before it fails, as with TCP_USER_TIMEOUT.
const silentTime = 1500 * time.Millisecond

// paths are the paths between a node and the engines.
type paths struct {
	site *Site

	mu   sync.Mutex
	loss Loss
	// engines are the addresses to which the paths are cut.
	engines []string
	// healed is closed when the cut ends.
	healed chan struct{}
	conns  map[*pathConn]struct{}
}

// cut cuts the paths to engines until heal.
func (p *paths) cut(loss Loss, engines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loss, p.engines, p.healed = loss, engines, make(chan struct{})
	for c := range p.conns {
		if slices.Contains(engines, c.address) {
			c.lose(loss, p.healed)
		}
	}
}

func (p *paths) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
	p.healed = nil
}

// dial connects to an engine at an address by open.
func (p *paths) dial(ctx context.Context, address string, open func() (net.Conn, error)) (net.Conn, error) {
	for {
		p.mu.Lock()
		healed := p.healed
		if healed == nil || !slices.Contains(p.engines, address) {
			break
		}
		loss := p.loss
		p.mu.Unlock()
		if loss != Silent {
			return nil, errRefused
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	defer p.mu.Unlock()
	inner, err := open()
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: inner, address: address, paths: p, ended: make(chan struct{})}
	if p.conns == nil {
		p.conns = map[*pathConn]struct{}{}
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// pathConn is a connection to an engine whose path may be cut.
type pathConn struct {
	net.Conn
	address string
	paths   *paths
	link    gate

	once  sync.Once
	ended chan struct{}
	err   error
}

func (c *pathConn) lose(loss Loss, healed <-chan struct{}) {
	switch loss {
	case Reset:
		c.end(syscall.ECONNRESET)
	case Silent:
		c.link.close()
		c.paths.site.group.Go(func() error {
			select {
			case <-healed:
				c.link.open()
			case <-c.ended:
			case <-time.After(silentTime):
				c.end(syscall.ETIMEDOUT)
			}
			return nil
		})
	}
}

func (c *pathConn) end(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.ended)
		c.Conn.Close()
		c.link.open()
	})
}

// wait returns when the path is open, or the error with which the connection has ended.
func (c *pathConn) wait() error {
	if err := c.link.wait(context.Background()); err != nil {
		return err
	}
	select {
	case <-c.ended:
		return c.err
	default:
		return nil
	}
}

// Read implements net.Conn.
func (c *pathConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if lost := c.wait(); lost != nil {
		return 0, lost
	}
	return n, err
}

// Write implements net.Conn.
func (c *pathConn) Write(p []byte) (int, error) {
	if lost := c.wait(); lost != nil {
		return 0, lost
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.end(net.ErrClosed)
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	delete(c.paths.conns, c)
	return nil
}

// CutPaths cuts the paths between an entry node and the given engines, by their indexes, until HealPaths.
func (s *Site) CutPaths(entry int, loss Loss, engines ...int) {
	s.entries[entry].paths.cut(loss, s.addressesOf(engines))
}

// HealPaths ends CutPaths.
func (s *Site) HealPaths(entry int) { s.entries[entry].paths.heal() }

func (s *Site) addressesOf(engines []int) []string {
	all := s.allEngines()
	var out []string
	for _, i := range engines {
		out = append(out, all[i].address)
	}
	return out
}
