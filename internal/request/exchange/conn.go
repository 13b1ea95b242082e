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
	// sent counts the bytes of the current request that the kernel accepted.
	sent atomic.Int64
	// header bounds the bytes read before the answer's header is complete.
	header int64
	// suspect is set when a sibling fell silent; the connection is then not used again.
	suspect atomic.Bool
	idle    time.Time
	// keep is how long the target keeps the idle connection, as it said last, or 0.
	keep time.Duration
	// limit bounds the time of one read, between that of one write.
	limit   time.Duration
	between time.Duration
	// alive, if set, is asked once when a read has waited for checkAfter; an error ends the read as silent.
	alive func() error
}

// checkAfter is the wait for an answer after which its target is probed. A target that computes a long prompt answers the
// probe; one that is paused, or can't be reached any more, does not, and the request need not wait for the whole limit.
const checkAfter = 5 * time.Second

var errHeader = errors.New("answer header exceeds the size limit")

// begin resets the counters for a new request.
func (c *conn) begin(first, between time.Duration, header int64) {
	c.sent.Store(0)
	c.limit, c.between, c.header, c.alive = first, between, header, nil
}

// keepShare is the part of a target's announced keep-alive time, in percent, for which an idle connection is used.
const keepShare = 60

// keepFor notes how long the target keeps the connection open while it is idle, as it says in whole seconds.
func (c *conn) keepFor(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if n, err := strconv.Atoi(value); ok && err == nil && n >= 0 {
			c.keep = max(time.Duration(n)*time.Second*keepShare/100, time.Millisecond)
		}
	}
}

// Write implements io.Writer; it fails after the between limit without progress.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.between)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Read implements io.Reader; it fails after limit without progress, or sooner when the target does not answer a probe.
func (c *conn) Read(p []byte) (int, error) {
	if c.header <= 0 {
		return 0, errHeader
	}
	limit := c.limit
	if c.alive != nil && limit > checkAfter {
		alive := c.alive
		c.alive = nil
		n, err := c.readWithin(p, checkAfter)
		if !errors.Is(err, os.ErrDeadlineExceeded) || alive() != nil {
			return n, err
		}
		limit -= checkAfter
	}
	return c.readWithin(p, limit)
}

func (c *conn) readWithin(p []byte, limit time.Duration) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.header -= int64(n)
	return n, err
}

// usable reports whether an idle connection is still open and has nothing to read. Bytes that arrive while no request
// is in flight belong to no request, so such a connection must not be used.
func (c *conn) usable() bool {
	if c.suspect.Load() || c.br.Buffered() > 0 {
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
