package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxChunkBytes is the largest number of bytes that are passed on at once.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks bounds the pieces of a direction that wait for their delay.
	maxQueuedChunks = 256
)

// link is one connection with both of its sides.
//
// Invariant: a direction that has dropped bytes stays silent, since what follows them would be a corrupt stream.
type link struct {
	source netip.Addr
	caller net.Conn

	mu     sync.Mutex
	target net.Conn
	cut    bool
	delay  time.Duration
	// toTargetSilent and toCallerSilent are true for a direction that is silent.
	toTargetSilent, toCallerSilent bool
}

// apply puts a rule in force; open tells whether the connection was open before it.
func (l *link) apply(r Rule, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = r.Delay
	toTarget, toCaller := r.Mode.silenced(open)
	l.toTargetSilent, l.toCallerSilent = l.toTargetSilent || toTarget, l.toCallerSilent || toCaller
	if r.Mode == ModeCut && !l.cut {
		l.cut = true
		reset(l.caller)
		if l.target != nil {
			reset(l.target)
		}
	}
}

// setTarget notes the connection to the target; false tells that the link was cut meanwhile.
func (l *link) setTarget(target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	return !l.cut
}

// state returns whether a direction is silent, and the delay of what is read now.
func (l *link) state(silent *bool) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *silent, l.delay
}

type chunk struct {
	data []byte
	due  time.Time
	end  error
}

// copyDirection passes the bytes of one direction on until its end. The end of a silent direction is not passed on.
func (l *link) copyDirection(ctx context.Context, to, from net.Conn, silent *bool) error {
	pieces := make(chan chunk, maxQueuedChunks)
	var g errgroup.Group
	g.Go(func() error {
		defer close(pieces)
		for {
			data := make([]byte, maxChunkBytes)
			n, err := from.Read(data)
			_, delay := l.state(silent)
			pieces <- chunk{data: data[:n], due: time.Now().Add(delay), end: err}
			if err != nil {
				return nil
			}
		}
	})
	broken := false
	for p := range pieces {
		if wait := time.Until(p.due); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		// A connection that fell silent while a piece waited does not deliver it.
		if mute, _ := l.state(silent); mute || broken {
			continue
		}
		if len(p.data) > 0 {
			if _, err := to.Write(p.data); err != nil {
				broken = true
				from.Close()
				continue
			}
		}
		if p.end != nil {
			propagateEnd(to, p.end)
		}
	}
	return g.Wait()
}

// propagateEnd passes the propagateEnd of a direction on, a reset as a reset.
func propagateEnd(to net.Conn, cause error) {
	if t, ok := to.(*net.TCPConn); ok && errors.Is(cause, io.EOF) {
		_ = t.CloseWrite() // It fails when the other side has gone.
		return
	}
	reset(to)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // A failure leaves an ordinary close, which ends the connection as well.
	}
	c.Close()
}
