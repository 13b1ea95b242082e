package site

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"example.org/camphorhinge/internal/node/tunnel"
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

// lose ends all connections, as when their node ends.
func (p *paths) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.end(io.EOF)
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

// CutCorePaths cuts the paths between a core node and the given engines until HealCorePaths.
func (s *Site) CutCorePaths(core int, loss Loss, engines ...int) {
	s.cores[core].paths.cut(loss, s.addressesOf(engines))
}

// HealCorePaths ends CutCorePaths.
func (s *Site) HealCorePaths(core int) { s.cores[core].paths.heal() }

// via connects an entry node to engines through core nodes; it implements tunnel.Via.
type via struct{ *entry }

// DialVia implements tunnel.Via.
func (v via) DialVia(ctx context.Context, relay, address string) (net.Conn, error) {
	c := v.site.coreOf(relay)
	links := []*gate{&v.process, &v.link, &c.link}
	for _, g := range links {
		if err := g.wait(ctx); err != nil {
			return nil, &tunnel.Error{Op: "connect", Kind: tunnel.KindRelay, Err: err}
		}
	}
	time.Sleep(2 * callDelay)
	for _, e := range v.site.allEngines() {
		if e.address != address {
			continue
		}
		conn, err := c.paths.dial(ctx, address, func() (net.Conn, error) { return e.dial(v.index, true) })
		if err != nil {
			return nil, &tunnel.Error{Op: "connect", Kind: tunnel.KindRefused, Err: err}
		}
		return relayedConn{conn, v.site.ctx, links}, nil
	}
	return nil, &tunnel.Error{Op: "connect", Kind: tunnel.KindUnknown, Err: errRefused}
}

// relayedConn is a connection through a core node, which passes nothing while one of its links is closed.
type relayedConn struct {
	net.Conn
	ctx   context.Context //nolint:containedctx // It ends the simulation.
	links []*gate
}

// Read implements net.Conn.
func (c relayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, g := range c.links {
		if werr := g.wait(c.ctx); werr != nil {
			return n, werr
		}
	}
	return n, err
}

func (s *Site) addressesOf(engines []int) []string {
	all := s.allEngines()
	var out []string
	for _, i := range engines {
		out = append(out, all[i].address)
	}
	return out
}
