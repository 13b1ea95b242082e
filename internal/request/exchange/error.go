package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/buffer"
)

// Kind classifies a failed attempt.
type Kind string

// Kinds of failed attempts.
const (
	// KindConnect marks a failed connection attempt; no byte was sent.
	KindConnect Kind = "connect"
	// KindRefused marks an answer that states that the target did not run the request.
	KindRefused Kind = "refused"
	// KindCut marks a connection that ended before the answer was complete.
	KindCut Kind = "cut"
	// KindSilent marks a connection without progress for longer than its timeout.
	KindSilent Kind = "silent"
	// KindProtocol marks an answer that breaks the target protocol, such as a wrong attempt id or offset.
	KindProtocol Kind = "protocol"
	// KindStatus marks an answer with an error status.
	KindStatus Kind = "status"
	// KindCallerLeft marks an attempt whose caller disconnected.
	KindCallerLeft Kind = "left"
	// KindDeadline marks an attempt whose deadline passed.
	KindDeadline Kind = "deadline"
	// KindBody marks a request whose body could not be read from the caller.
	KindBody Kind = "body"
	// KindMemory marks an answer for which this process has no memory now.
	KindMemory Kind = "memory"
)

// ErrNoPlace marks an attempt for which this process has no connection left. It says nothing about the target.
var ErrNoPlace = errors.New("too many open connections")

// Error describes a failed attempt.
type Error struct {
	Op   string
	Kind Kind
	// Run is the class of this attempt, regardless of other attempts of the same request.
	Run camphorhinge.RunClass
	// Status is the target's HTTP status, or 0 without an answer.
	Status int
	// Header is the header of an answer of class not-run.
	Header http.Header
	// Body is the body of a refusal or of an answer with an error status, up to 64 KiB.
	Body []byte
	// Reset is true when the target reset or closed the connection after a part of the request was sent, as in a crash.
	Reset bool
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s): %v", e.Op, e.Kind, e.Run, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errAttempt = errors.New("answer belongs to another attempt")
	// errAnonymousRefusal marks a refusal on a reused connection that names no attempt.
	errAnonymousRefusal = errors.New("refusal names no attempt")
	errOffset           = errors.New("event offset is not contiguous")
	errNoEndMark        = errors.New("stream ended without an end mark")
	errNoFinish         = errors.New("end mark without a finish reason")
	errFraming          = errors.New("answer has neither a content length nor chunked encoding")
	errTooLong          = errors.New("answer exceeds the size limit")
	errNoStream         = errors.New("answer is not an event stream")
	errClosed           = errors.New("client is closed")
	// errUnsent marks an answer without framing whose connection ended before the request was sent.
	errUnsent = errors.New("the answer ended before its request was sent")
	// errUnrequested marks a new connection on which something was received before the request.
	errUnrequested = errors.New("the target sent bytes, or closed the connection, before the request")
	// errStatusLine marks an answer that does not begin with HTTP/1.x and a status from 100 to 599.
	errStatusLine = errors.New("status line is not valid")
	// errSwitched marks an answer that changes the protocol of the connection, which no request asks for.
	errSwitched = errors.New("target switches protocols")
	// errInformational marks more informational answers than maxInformational.
	errInformational = errors.New("too many informational answers")
)

func statusError(status int) error { return fmt.Errorf("target answered with status %d", status) }

// newError classifies the failure of an exchange after the connection was made. The end of ctx takes precedence over err;
// the attempt is of class not-run if no byte was sent. A request that is still being written is ended.
func newError(ctx context.Context, op string, c *conn, err error) *Error {
	c.settle()
	e := &Error{Op: op, Kind: KindCut, Run: camphorhinge.Unknown, Err: err}
	if c.sentBytes.Load() == 0 {
		e.Run = camphorhinge.NotRun
	}
	var ne net.Error
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		e.Kind = KindDeadline
	case cause != nil:
		e.Kind = KindCallerLeft
	case buffer.IsFull(err):
		e.Kind = KindMemory
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &ne) && ne.Timeout():
		e.Kind = KindSilent
	case isProtocolFault(err):
		e.Kind = KindProtocol
	case errors.Is(err, errNoEndMark):
	case connectionClosed(err):
		e.Reset = e.Run != camphorhinge.NotRun
	case !errors.As(err, &ne):
		// net/http reports a malformed header or chunk with untyped errors.
		e.Kind = KindProtocol
	}
	return e
}

// isProtocolFault reports whether err is a breach of the target protocol that this package detects.
func isProtocolFault(err error) bool {
	for _, fault := range []error{
		errAttempt, errAnonymousRefusal, errOffset, errNoFinish, errFraming, errTooLong, errNoStream, errHeaderSize, errUnrequested,
		errStatusLine, errSwitched, errInformational,
	} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}

// connectionClosed reports whether err means that the connection was closed or reset.
func connectionClosed(err error) bool {
	for _, end := range []error{
		io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED,
	} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
