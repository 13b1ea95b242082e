package exchange

import (
	"net/http"
	"strconv"
	"time"

	"example.org/camphorhinge"
)

// Dialect is how the targets of a deployment spell what an attempt says and what an answer states. It only translates.
type Dialect interface {
	// Prepare sets the headers of an attempt; left is the time left for it, or 0 without a deadline.
	Prepare(h http.Header, call *Call, left time.Duration)
	// Attempt returns the attempt that an answer belongs to, or "" when it does not say.
	Attempt(h http.Header) camphorhinge.AttemptID
	// Class returns what an answer states about the run of its request.
	Class(status int, h http.Header) camphorhinge.RunClass
	// ProbePath is the path at which a target tells its state, or "" when it must not be asked.
	ProbePath() string
	// CloseDelimited reports whether an answer may end with its connection. Such an answer is whole when the connection was
	// closed, not when it was reset.
	CloseDelimited() bool
}

// native is the project's own Dialect.
type native struct{}

var _ Dialect = native{}

// Prepare implements Dialect.
func (native) Prepare(h http.Header, call *Call, left time.Duration) {
	h.Set(camphorhinge.HeaderAttempt, string(call.Attempt))
	h.Set(camphorhinge.HeaderPriority, strconv.Itoa(int(call.Priority)))
	if left > 0 {
		h.Set(camphorhinge.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if call.Resume > 0 {
		h.Set(camphorhinge.HeaderResume, strconv.Itoa(call.Resume))
	}
}

// Attempt implements Dialect.
func (native) Attempt(h http.Header) camphorhinge.AttemptID {
	return camphorhinge.AttemptID(h.Get(camphorhinge.HeaderAttempt))
}

// Class implements Dialect: Run, unless an error status comes with another class.
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
