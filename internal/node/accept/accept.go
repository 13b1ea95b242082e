package accept

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// roomTimeout bounds the wait for a connection that was ended to make room. Its goroutine only has to be scheduled.
	roomTimeout = 100 * time.Millisecond
	// retryPause is the pause after an error of accepting.
	retryPause = 20 * time.Millisecond
	// logInterval is the least time between two log lines, after the first ten.
	logInterval = 10 * time.Second
)

// Config holds the settings and dependencies of a Listener.
type Config struct {
	// Port names the port in metrics and log lines.
	Port string
	// Limit is the greatest number of open connections; 0 means no limit.
	Limit int
	// MakeRoom ends a connection that can be ended and returns whether there is one; nil ends none.
	MakeRoom func() bool
	// Budget bounds the connections together with those of a client; nil sets no such bound.
	Budget *Budget
	// Metrics and Log may be nil.
	Metrics *metrics.Set
	Log     *slog.Logger
}

// Listener is a net.Listener with a bound on its open connections.
type Listener struct {
	net.Listener
	cfg     Config
	refused *metrics.Counter
	lines   rate.Sometimes
	// freed has an element if a connection was closed since it was read.
	freed chan struct{}

	mu   sync.Mutex
	open int
}

// New returns a Listener over l.
func New(l net.Listener, cfg Config) *Listener {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	out := &Listener{
		Listener: l, cfg: cfg, freed: make(chan struct{}, 1), lines: rate.Sometimes{First: 10, Interval: logInterval},
		refused: cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_connections_refused_total{port=%q}", cfg.Port)),
	}
	cfg.Metrics.GetOrCreateGauge(fmt.Sprintf("camphorhinge_connections{port=%q}", cfg.Port), func() float64 { return float64(out.Open()) })
	return out
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Accept implements net.Listener. A connection over the limit is closed unless another one can be ended for it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err != nil && passes(err):
			l.lines.Do(func() { l.cfg.Log.Warn("connection not accepted", "port", l.cfg.Port, "error", err) })
			l.refused.Inc()
			time.Sleep(retryPause)
			continue
		case err != nil:
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if l.admit() {
			return &conn{TCPConn: tcp, listener: l}, nil
		}
		c.Close()
		l.refused.Inc()
		l.lines.Do(func() {
			l.cfg.Log.Warn("connection refused", "port", l.cfg.Port, "from", c.RemoteAddr().String(), "open", l.cfg.Limit)
		})
	}
}

// passes reports whether later calls of accept may succeed after an error.
func passes(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// admit counts a new connection if the limit allows it, or does so once another one was ended.
func (l *Listener) admit() bool {
	if l.take() {
		return true
	}
	select {
	case <-l.freed:
	default:
	}
	if l.take() {
		return true
	}
	if !l.makeRoom() {
		return false
	}
	if l.take() {
		return true
	}
	timer := time.NewTimer(roomTimeout)
	defer timer.Stop()
	select {
	case <-l.freed:
	case <-timer.C:
	}
	return l.take()
}

// makeRoom ends a connection that can be ended: one of the port if that has as many as it may have, and otherwise any of the Budget.
func (l *Listener) makeRoom() bool {
	if l.cfg.Budget != nil && (l.cfg.Limit <= 0 || l.Open() < l.cfg.Limit) {
		return l.cfg.Budget.endOne()
	}
	return l.cfg.MakeRoom != nil && l.cfg.MakeRoom()
}

func (l *Listener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg.Limit > 0 && l.open >= l.cfg.Limit || !l.cfg.Budget.take() {
		return false
	}
	l.open++
	return true
}

// conn is an accepted connection that is counted until it is closed.
type conn struct {
	*net.TCPConn
	listener *Listener
	once     sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(func() {
		l := c.listener
		l.mu.Lock()
		l.open--
		l.mu.Unlock()
		l.cfg.Budget.Return()
		select {
		case l.freed <- struct{}{}:
		default:
		}
	})
	return err
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.TCPConn }
