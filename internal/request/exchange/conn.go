package exchange

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection that counts its bytes and bounds the time without progress.
type conn struct {
	net.Conn
	br      *bufio.Reader
	address string
	// sentBytes counts the bytes of the current request that the kernel accepted.
	sentBytes atomic.Int64
	// headerBudget bounds the bytes read before the answer's headerBudget is complete.
	headerBudget int64
	// retired is set when a sibling fell silent; the connection is then not used again.
	retired   atomic.Bool
	idleSince time.Time
	// keepAlive is how long the target keeps the idle connection, as it said last, or 0.
	keepAlive time.Duration
	// readTimeout bounds the time of one read, between that of one write.
	readTimeout  time.Duration
	writeTimeout time.Duration
	// probe, if set, is asked once when a read has waited for checkAfter; an error ends the read as silent.
	probe func() error
}

// probeDelay is the wait for an answer after which its target is probed. A target that computes a long prompt answers the
// probe; one that is paused, or can't be reached any more, does not, and the request need not wait for the whole limit.
const probeDelay = 5 * time.Second

var errHeaderSize = errors.New("answer header exceeds the size limit")

// reset resets the counters for a new request.
func (c *conn) reset(first, between time.Duration, header int64) {
	c.sentBytes.Store(0)
	c.readTimeout, c.writeTimeout, c.headerBudget, c.probe = first, between, header, nil
}

// keepAlivePercent is the part of a target's announced keep-alive time, in percent, for which an idle connection is used.
const keepAlivePercent = 60

// setKeepAlive notes how long the target keeps the connection open while it is idle, as it says in whole seconds.
func (c *conn) setKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if n, err := strconv.Atoi(value); ok && err == nil && n >= 0 {
			c.keepAlive = max(time.Duration(n)*time.Second*keepAlivePercent/100, time.Millisecond)
		}
	}
}

// Write implements io.Writer; it fails after the between limit without progress.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sentBytes.Add(int64(n))
	return n, err
}

// Read implements io.Reader; it fails after limit without progress, or sooner when the target does not answer a probe.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBudget <= 0 {
		return 0, errHeaderSize
	}
	limit := c.readTimeout
	if c.probe != nil && limit > probeDelay {
		alive := c.probe
		c.probe = nil
		n, err := c.readWithin(p, probeDelay)
		if !errors.Is(err, os.ErrDeadlineExceeded) || alive() != nil {
			return n, err
		}
		limit -= probeDelay
	}
	return c.readWithin(p, limit)
}

func (c *conn) readWithin(p []byte, limit time.Duration) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.headerBudget -= int64(n)
	return n, err
}

// usable reports whether an idle connection is still open and has nothing to read. Bytes that arrive while no request
// is in flight belong to no request, so such a connection must not be used.
func (c *conn) usable() bool {
	if c.retired.Load() || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	// The deadline of the last read has often passed; it would fail the look as well.
	if err != nil || c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		usable = !readable(fd)
		return true
	})
	return err == nil && usable
}

// readable reports whether a socket has bytes to read or was closed by the other side.
func readable(fd uintptr) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return !errors.Is(err, unix.EAGAIN)
}
