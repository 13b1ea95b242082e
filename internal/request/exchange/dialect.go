package exchange

import (
	"net/http"
	"strconv"
	"time"

	"example.org/camphorhinge"
)

// Dialect translates between calls and answers and the headers that the targets of a deployment use.
type Dialect interface {
	// Prepare sets the headers of an attempt; remaining is the time until its deadline, or 0 without one.
	Prepare(h http.Header, call *Call, remaining time.Duration)
	// Attempt returns the attempt that an answer belongs to, or "" when the answer does not name it.
	Attempt(h http.Header) camphorhinge.AttemptID
	// Class returns the run class that an answer states for its request.
	Class(status int, h http.Header) camphorhinge.RunClass
	// ProbePath returns the path at which a target reports its state, or "" when targets must not be probed.
	ProbePath() string
	// CloseDelimited reports whether the end of the connection may delimit an answer. Such an answer is complete when the
	// connection was closed, not when it was reset.
	CloseDelimited() bool
}

// native is the project's own Dialect.
type native struct{}

var _ Dialect = native{}

// Prepare implements Dialect.
func (native) Prepare(h http.Header, call *Call, remaining time.Duration) {
	h.Set(camphorhinge.HeaderAttempt, string(call.Attempt))
	h.Set(camphorhinge.HeaderPriority, strconv.Itoa(int(call.Priority)))
	if remaining > 0 {
		h.Set(camphorhinge.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	if call.Resume > 0 {
		h.Set(camphorhinge.HeaderResume, strconv.Itoa(call.Resume))
	}
}

// Attempt implements Dialect.
func (native) Attempt(h http.Header) camphorhinge.AttemptID {
	return camphorhinge.AttemptID(h.Get(camphorhinge.HeaderAttempt))
}

// Class implements Dialect. It returns Run unless an error status comes with another class.
func (native) Class(status int, h http.Header) camphorhinge.RunClass {
	class := camphorhinge.RunClass(h.Get(camphorhinge.HeaderRun))
	if status >= http.StatusBadRequest && (class == camphorhinge.Unknown || class == camphorhinge.NotRun) {
		return class
	}
	return camphorhinge.Run
}

// ProbePath implements Dialect.
func (native) ProbePath() string { return "/v1/target" }

// CloseDelimited implements Dialect.
func (native) CloseDelimited() bool { return false }
