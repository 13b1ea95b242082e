package exchange

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// smallBody is the size up to which a body is written before the answer is read, in bytes. The kernel takes it at once, so that no
	// answer waits for it.
	smallBody = 16 << 10
	// maxTrailing bounds the connections on which the rest of a body is sent after its answer is complete, because the memory of these
	// bodies is not counted any more.
	maxTrailing = 4
	// sentGrace is the wait for a write that has sent its bytes to return.
	sentGrace = time.Second
)

// sending is the writing of one request, which may go on while its answer is read.
type sending struct {
	conn *conn
	// done is closed at the end, after err was set.
	done chan struct{}
	err  error

	// mu orders the end before or after the begin of a read without a deadline.
	mu sync.Mutex
	// waiting is set while a read without a deadline is in progress.
	waiting bool
	ended   bool
}

// overlaps reports whether a call's body is written while the answer is read. Bodies that are read from a caller are not, since their
// reader must not be used after the call.
func overlaps(call *Call) bool {
	_, held := call.Body.(*bytes.Reader)
	return held && call.Length > smallBody
}

// finish records the result of the writing, and ends a read without a deadline.
func (s *sending) finish(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.ended = err, true
	close(s.done)
	if s.waiting {
		// The read fails with a timeout and is repeated with a deadline. On a closed connection it fails anyway.
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginRead prepares a read without a deadline. It returns false if the request has been written.
func (s *sending) beginRead() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false, nil
	}
	s.waiting = true
	return true, s.conn.SetReadDeadline(time.Time{})
}

// endRead ends a read without a deadline, and returns whether the request has been written.
func (s *sending) endRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	return s.ended
}

// failed returns the error of the writing, or nil if there is none so far.
func (s *sending) failed() error {
	select {
	case <-s.done:
		return s.err
	default:
		return nil
	}
}

// complete reports whether the target's machine has received the whole request. It is called after the end of the answer.
func (s *sending) complete() bool {
	if undelivered(s.conn.Conn) > 0 {
		return false
	}
	// The target can answer the last byte before the write of it returns here.
	timer := time.NewTimer(sentGrace)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
		return false
	}
	return s.err == nil && undelivered(s.conn.Conn) == 0
}

// settle ends the writing of a request after a failure, so that the number of sent bytes is final.
func (c *conn) settle() {
	if c.sending != nil {
		_ = c.Close()
		<-c.sending.done
	}
}

// readWhileSending reads without a deadline while the request is being written, since the time-outs of an answer begin at the end of its
// request. It returns done = false if the request has been written and nothing was read.
func (c *conn) readWhileSending(p []byte) (n int, done bool, err error) {
	s := c.sending
	reading, err := s.beginRead()
	if reading {
		if err == nil {
			n, err = c.Conn.Read(p)
		}
		c.headerBudget -= int64(n)
		if ended := s.endRead(); n > 0 || !ended || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, true, err
		}
	}
	c.sending = nil
	if s.err != nil && c.sentBytes.Load() == 0 {
		return 0, true, s.err
	}
	if by := time.Now().Add(c.readTimeout); !c.progressBy.IsZero() && c.progressBy.Before(by) {
		c.progressBy = by
	}
	return 0, false, nil
}

// Undelivered is implemented by connections that hide their socket; see undelivered.
type Undelivered interface {
	// Undelivered returns the number of sent bytes that the other machine has not acknowledged.
	Undelivered() int
}

// undelivered returns the number of sent bytes that the other machine has not acknowledged, or 0 if that is not known. A target that has
// read its whole request acknowledges it at the latest with the end of its answer.
func undelivered(nc net.Conn) int {
	if u, ok := nc.(Undelivered); ok {
		return u.Undelivered()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if cerr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); cerr != nil || err != nil {
		return 0
	}
	return n
}
