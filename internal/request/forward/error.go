package forward

import (
	"fmt"
	"net/http"
	"time"

	"example.org/camphorhinge"
)

// Kind tells why a request failed; it is the type in the error body.
type Kind string

// Kinds of failed requests.
const (
	// KindNoRoute marks a request that no route matches.
	KindNoRoute Kind = "no_route"
	// KindNoConfiguration marks a node that has no configuration yet.
	KindNoConfiguration Kind = "no_configuration"
	// KindInvalid marks a request that is not valid HTTP or whose body could not be read.
	KindInvalid Kind = "invalid_request"
	// KindSlowRequest marks a request that was not received in time.
	KindSlowRequest Kind = "slow_request"
	// KindTooLarge marks a header or body over the limit.
	KindTooLarge Kind = "too_large"
	// KindNoTarget marks a service without a target that can be reached.
	KindNoTarget Kind = "no_target"
	// KindOverload marks a request that can't be served in time.
	KindOverload Kind = "overload"
	// KindRetryBudget marks a request that would need another attempt, which the retry budget or the route does not allow.
	KindRetryBudget Kind = "retry_budget"
	// KindQuarantined marks a request that crashed several targets.
	KindQuarantined Kind = "quarantined"
	// KindDeadline marks a request whose time is over.
	KindDeadline Kind = "deadline"
	// KindTarget marks an attempt that failed after the request may have run.
	KindTarget Kind = "target"
	// KindCallerLeft marks a caller that left.
	KindCallerLeft Kind = "caller_left"
	// KindStopping marks a request that a planned stop ends.
	KindStopping Kind = "stopping"
)

// Error is a failed request, as its caller is told.
type Error struct {
	Op   string
	Kind Kind
	// Run is the class of the whole request.
	Run camphorhinge.RunClass
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is when the caller may try again, or 0.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("forward %s: %s (%s): %v", e.Op, e.Kind, e.Run, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newRefusal returns an Error of a request that has not run.
func newRefusal(kind Kind, status int, format string, args ...any) *Error {
	return &Error{Op: "accept", Kind: kind, Run: camphorhinge.NotRun, Status: status, Err: fmt.Errorf(format, args...)}
}

// newUnavailable returns an Error of a request that has not run and may come again after a while.
func newUnavailable(kind Kind, after time.Duration, format string, args ...any) *Error {
	e := newRefusal(kind, http.StatusServiceUnavailable, format, args...)
	e.RetryAfter = after
	return e
}
