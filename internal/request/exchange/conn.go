package exchange

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection that counts sent bytes, limits the size of answer headers and bounds the time without progress.
type conn struct {
	net.Conn
	// giveBack gives the place of the connection back once it is closed.
	giveBack func()
	closing  sync.Once
	br       *bufio.Reader
	address  string
	// requests is the number of requests that were sent, with the current one.
	requests int
	// sentBytes counts the bytes of the current request that the kernel accepted.
	sentBytes atomic.Int64
	// headerBudget is the number of bytes that may still be read before the header of the answer is complete.
	headerBudget int64
	// retired is set when another connection to the target stalled; this one is then not reused.
	retired   atomic.Bool
	idleSince time.Time
	// keepAlive bounds the idle time according to the target's last Keep-Alive header; 0 means no bound.
	keepAlive time.Duration
	// readTimeout and writeTimeout bound the time of one read and one write.
	readTimeout  time.Duration
	writeTimeout time.Duration
	// progressBy is the time by which the part of the answer that is being read must be complete, however many bytes
	// arrive; zero means no bound.
	progressBy time.Time
	// sending is the current request while it is being written beside the reading of its answer, or nil.
	sending *sending
	// probe, if set, is called once when a read has waited for probeDelay. If it fails, the read times out early.
	probe func() error
}

// probeDelay is the wait for an answer after which the target is probed. A target that computes a long prompt answers the
// probe. A paused or unreachable one does not, so that the request can fail before its full read timeout.
const probeDelay = 5 * time.Second

var errHeaderSize = errors.New("answer header exceeds the size limit")

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(c.giveBack)
	return err
}

// reset prepares the counters and timeouts for a new request; headerBudget is in bytes.
func (c *conn) reset(readTimeout, writeTimeout time.Duration, headerBudget int64) {
	c.requests++
	c.sentBytes.Store(0)
	c.readTimeout, c.writeTimeout, c.headerBudget, c.probe = readTimeout, writeTimeout, headerBudget, nil
	c.progressBy, c.sending = time.Time{}, nil
}

// keepAlivePercent is the percentage of a target's announced keep-alive time for which an idle connection is reused.
const keepAlivePercent = 60

// setKeepAlive sets keepAlive from the timeout in a Keep-Alive header, if there is one.
func (c *conn) setKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if n, err := strconv.Atoi(value); ok && err == nil && n >= 0 {
			c.keepAlive = max(time.Duration(n)*time.Second*keepAlivePercent/100, time.Millisecond)
		}
	}
}

// Write implements io.Writer; it fails after writeTimeout without progress.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sentBytes.Add(int64(n))
	return n, err
}

// Read implements io.Reader; it fails after readTimeout without progress, or earlier when the target does not answer a
// probe.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBudget <= 0 {
		return 0, errHeaderSize
	}
	if c.sending != nil {
		if n, done, err := c.readWhileSending(p); done {
			return n, err
		}
	}
	timeout := c.readTimeout
	if c.probe != nil && timeout > probeDelay {
		probe := c.probe
		c.probe = nil
		n, err := c.readWithin(p, probeDelay)
		if !errors.Is(err, os.ErrDeadlineExceeded) || probe() != nil {
			return n, err
		}
		timeout -= probeDelay
	}
	return c.readWithin(p, timeout)
}

func (c *conn) readWithin(p []byte, timeout time.Duration) (int, error) {
	deadline := time.Now().Add(timeout)
	if !c.progressBy.IsZero() && c.progressBy.Before(deadline) {
		deadline = c.progressBy
	}
	if err := c.SetReadDeadline(deadline); err != nil {
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
	// The deadline of the last read must be cleared: if it has passed, the check below would fail too.
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
