package wire

import (
	"net"
	"sync"
)

// Listener is a TCP listener that tracks its open connections, to inject network and process faults.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	down  bool
	conns map[*conn]struct{}
}

// Listen opens a listener on an IP:port; with port 0 the kernel chooses one.
func Listen(addr string) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, conns: map[*conn]struct{}{}}, nil
}

// Accept returns the next connection. While the listener is down, new connections are reset at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, owner: l}
		l.mu.Lock()
		if l.down {
			l.mu.Unlock()
			reset(inner)
			continue
		}
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// Down resets all open connections and, until Up, each new one.
func (l *Listener) Down() {
	l.mu.Lock()
	l.down = true
	open := l.openConns()
	l.mu.Unlock()
	for _, c := range open {
		reset(c.Conn)
	}
}

// Up accepts connections again after Down.
func (l *Listener) Up() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

// SilenceConnections makes all open connections discard what is written to them from now on; new connections work.
func (l *Listener) SilenceConnections() {
	l.mu.Lock()
	open := l.openConns()
	l.mu.Unlock()
	for _, c := range open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (l *Listener) openConns() []*conn {
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

type conn struct {
	net.Conn
	owner *Listener

	mu     sync.Mutex
	silent bool
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// reset closes a connection with a TCP reset, as the kernel does for those of a killed process.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// If this fails, an ordinary close ends the connection as well.
		_ = t.SetLinger(0)
	}
	c.Close()
}
