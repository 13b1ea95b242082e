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
)

// Kind tells how an attempt failed.
type Kind string

// Kinds of failed attempts.
const (
	// KindConnect marks a target that could not be connected to; no byte was sent.
	KindConnect Kind = "connect"
	// KindRefused marks a target that stated that it did not run the request.
	KindRefused Kind = "refused"
	// KindCut marks a connection that ended before the whole answer.
	KindCut Kind = "cut"
	// KindSilent marks a connection without progress for longer than the limit.
	KindSilent Kind = "silent"
	// KindProtocol marks an answer that breaks the target protocol, such as a wrong attempt id or offset.
	KindProtocol Kind = "protocol"
	// KindStatus marks a target that answered with an error status.
	KindStatus Kind = "status"
	// KindLeft marks an attempt whose caller left.
	KindLeft Kind = "left"
	// KindDeadline marks an attempt whose deadline passed.
	KindDeadline Kind = "deadline"
	// KindBody marks a request whose body could not be read from the caller.
	KindBody Kind = "body"
)

// Error is a failed attempt.
type Error struct {
	Op   string
	Kind Kind
	// Run is the class that holds for this attempt alone.
	Run camphorhinge.RunClass
	// Status is the target's HTTP status, or 0 when there was none.
	Status int
	// Header is what came with an answer that states that the request did not run.
	Header http.Header
	// Body is what came with an error status, up to 64 KiB.
	Body []byte
	// Reset is true when the target reset or closed the connection during the request, as a crash does.
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
	errAttempt   = errors.New("event belongs to another attempt")
	errOffset    = errors.New("event offset is not contiguous")
	errNoEndMark = errors.New("stream ended without an end mark")
	errNoFinish  = errors.New("end mark without a finish reason")
	errFraming   = errors.New("answer has neither a content length nor chunks")
	errTooLong   = errors.New("answer exceeds the size limit")
	errNoStream  = errors.New("answer is not an event stream")
	errClosed    = errors.New("client is closed")
)

func statusError(status int) error { return fmt.Errorf("target answered with status %d", status) }

// newError builds the Error of an exchange that broke after the connection was made.
func newError(ctx context.Context, op string, c *conn, err error) *Error {
	e := &Error{Op: op, Kind: KindCut, Run: camphorhinge.Unknown, Err: err}
	if c.sentBytes.Load() == 0 {
		e.Run = camphorhinge.NotRun
	}
	var ne net.Error
	switch cause := ctx.Err(); {
	case errors.Is(cause, context.DeadlineExceeded):
		e.Kind = KindDeadline
	case cause != nil:
		e.Kind = KindLeft
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &ne) && ne.Timeout():
		e.Kind = KindSilent
	case errors.Is(err, errAttempt), errors.Is(err, errOffset), errors.Is(err, errNoFinish),
		errors.Is(err, errFraming), errors.Is(err, errTooLong), errors.Is(err, errNoStream),
		errors.Is(err, errHeaderSize):
		e.Kind = KindProtocol
	case errors.Is(err, errNoEndMark):
	case connectionClosed(err):
		e.Reset = e.Run != camphorhinge.NotRun
	case !errors.As(err, &ne):
		// net/http reports a malformed header or chunk by untyped errors.
		e.Kind = KindProtocol
	}
	return e
}

// connectionClosed reports whether the target's end of the connection is gone.
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
