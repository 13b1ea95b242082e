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
	// maxChunkBytes is the size of the read buffer.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks bounds the chunks of one direction that wait for their delay.
	maxQueuedChunks = 256
)

// link is one relayed connection, with its caller side and its target side.
//
// Invariant: a direction that has dropped bytes stays silent, since later bytes would make a corrupt stream.
type link struct {
	source netip.Addr
	caller net.Conn

	mu     sync.Mutex
	target net.Conn
	cut    bool
	delay  time.Duration
	// toTargetSilent and toCallerSilent mark the directions whose bytes are dropped.
	toTargetSilent, toCallerSilent bool
}

// apply applies a rule; open is true when the connection was open before the rule was set.
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

// setTarget records the connection to the target and reports whether the link is still uncut.
func (l *link) setTarget(target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	return !l.cut
}

// state returns whether a direction is silent, and the delay for bytes that are read now.
func (l *link) state(silent *bool) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *silent, l.delay
}

// chunk is what one read returned, to be written when it is due.
type chunk struct {
	data []byte
	due  time.Time
	err  error // the end of the direction
}

// copy relays the bytes of one direction until its end. The end of a silent direction is not propagated.
func (l *link) copy(ctx context.Context, to, from net.Conn, silent *bool) error {
	chunks := make(chan chunk, maxQueuedChunks)
	var g errgroup.Group
	g.Go(func() error {
		defer close(chunks)
		for {
			data := make([]byte, maxChunkBytes)
			n, err := from.Read(data)
			_, delay := l.state(silent)
			chunks <- chunk{data: data[:n], due: time.Now().Add(delay), err: err}
			if err != nil {
				return nil
			}
		}
	})
	writeFailed := false
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		// A chunk that was still waiting when the direction fell silent is dropped.
		if isSilent, _ := l.state(silent); isSilent || writeFailed {
			continue
		}
		if len(c.data) > 0 {
			if _, err := to.Write(c.data); err != nil {
				writeFailed = true
				from.Close()
				continue
			}
		}
		if c.err != nil {
			propagateEnd(to, c.err)
		}
	}
	return g.Wait()
}

// propagateEnd half-closes the other side at the end of a direction, or resets it after any other error.
func propagateEnd(to net.Conn, cause error) {
	if t, ok := to.(*net.TCPConn); ok && errors.Is(cause, io.EOF) {
		_ = t.CloseWrite() // It fails when the other side is already closed.
		return
	}
	reset(to)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // If this fails, an ordinary close ends the connection as well.
	}
	c.Close()
}
