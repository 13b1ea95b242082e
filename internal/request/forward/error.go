package forward

import (
	"fmt"
	"net/http"
	"time"

	"example.org/camphorhinge"
)

// Kind classifies failed requests; it is the "type" of the error body.
type Kind string

// Kinds of failed requests.
const (
	// KindNoRoute marks a request that matches no route.
	KindNoRoute Kind = "no_route"
	// KindNoConfiguration marks a node that has no configuration yet.
	KindNoConfiguration Kind = "no_configuration"
	// KindUnauthorized marks a request without a known API key where one is needed.
	KindUnauthorized Kind = "unauthorized"
	// KindUnconfirmed marks a request whose API key can't be judged, since the configuration may be out of date.
	KindUnconfirmed Kind = "unconfirmed"
	// KindInvalid marks a request that is not valid HTTP, whose body could not be read, or that a target refused with
	// status 400.
	KindInvalid Kind = "invalid_request"
	// KindSlowRequest marks a request that was not received in time.
	KindSlowRequest Kind = "slow_request"
	// KindTooLarge marks a header or body over the limit.
	KindTooLarge Kind = "too_large"
	// KindNoTarget marks a request that no target ran: none was reachable, or every attempt ended before the request
	// ran.
	KindNoTarget Kind = "no_target"
	// KindNoOrigin marks a continued stream of which is not known where it began, or which no target can go on with.
	KindNoOrigin Kind = "no_origin"
	// KindOverload marks a request that can't be served in time.
	KindOverload Kind = "overload"
	// KindRetryBudget marks a request whose next attempt was denied by the retry budget.
	KindRetryBudget Kind = "retry_budget"
	// KindQuarantined marks a request that crashed several targets.
	KindQuarantined Kind = "quarantined"
	// KindDeadline marks a request whose deadline passed.
	KindDeadline Kind = "deadline"
	// KindTarget marks a request that failed after it may have run at a target.
	KindTarget Kind = "target"
	// KindCallerLeft marks a request whose caller closed the connection.
	KindCallerLeft Kind = "caller_left"
	// KindMemory marks a request whose body this node has no memory for.
	KindMemory Kind = "memory"
	// KindStopping marks a request that arrived during a planned stop of the node.
	KindStopping Kind = "stopping"
)

// Error describes a failed request. Its Kind, Run, Status and RetryAfter are sent to the caller, Err is only logged.
type Error struct {
	Op   string
	Kind Kind
	// Run is the class of the whole request.
	Run camphorhinge.RunClass
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is the time after which the caller may retry, or 0.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("forward %s: %s (%s): %v", e.Op, e.Kind, e.Run, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newRefusal returns the Error, without a RetryAfter, of a request that this node rejects and that has not run.
func newRefusal(kind Kind, status int, format string, args ...any) *Error {
	return &Error{Op: "accept", Kind: kind, Run: camphorhinge.NotRun, Status: status, Err: fmt.Errorf(format, args...)}
}

// newUnavailable returns the Error, with status 503, of a request that has not run and may be retried after the given
// time.
func newUnavailable(kind Kind, after time.Duration, format string, args ...any) *Error {
	e := newRefusal(kind, http.StatusServiceUnavailable, format, args...)
	e.RetryAfter = after
	return e
}
