package frontend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
)

// Kind classifies failed requests; it is the "type" of the error body.
type Kind string

// Kinds of failed requests.
const (
	// KindInvalid marks a malformed request, or one whose body could not be read.
	KindInvalid Kind = "invalid_request"
	// KindUnauthorized marks a request without a known API key.
	KindUnauthorized Kind = "unauthorized"
	// KindTooLarge marks a header or body over the limit.
	KindTooLarge Kind = "too_large"
	// KindSlowRequest marks a request that was not received in time.
	KindSlowRequest Kind = "slow_request"
	// KindMemory marks a request for whose body or answer there is no memory now.
	KindMemory Kind = "memory"
	// KindUnknownService marks a model or path that no service serves.
	KindUnknownService Kind = "unknown_service"
	// KindLimit marks a request over a limit of its workspace.
	KindLimit Kind = "limit"
	// KindShed marks a request that was shed under load.
	KindShed Kind = "shed"
	// KindDeadline marks a request whose deadline passed, or that is not expected to meet it.
	KindDeadline Kind = "deadline"
	// KindNoTarget marks a request that no target accepted.
	KindNoTarget Kind = "no_target"
	// KindStaleConfiguration marks a node whose configuration is too old to serve requests.
	KindStaleConfiguration Kind = "stale_configuration"
	// KindQuarantined marks a request whose fingerprint is quarantined because it crashed targets.
	KindQuarantined Kind = "quarantined"
	// KindInProgress marks a request whose idempotency key is claimed by one in progress.
	KindInProgress Kind = "in_progress"
	// KindKeyReused marks an idempotency key that was used for a different request.
	KindKeyReused Kind = "idempotency_key_reused"
	// KindClaim marks a request that could not be claimed.
	KindClaim Kind = "claim"
	// KindOutcomeUnknown marks a claimed request whose earlier attempt has an unknown outcome.
	KindOutcomeUnknown Kind = "outcome_unknown"
	// KindTarget marks a request that failed at a target.
	KindTarget Kind = "target"
	// KindCallerLeft marks a request whose caller closed the connection.
	KindCallerLeft Kind = "caller_left"
)

// Error describes a failed request and the answer that its caller gets.
type Error struct {
	Op   string
	Kind Kind
	// Run is the class over all attempts of the request.
	Run camphorhinge.RunClass
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is the time after which the caller may retry, or 0.
	RetryAfter time.Duration
	// Message is sent to the caller; if it is empty, the text of Err is. It is set for failed exchanges, whose causes
	// contain addresses of targets.
	Message string
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s (%s): %v", e.Op, e.Kind, e.Run, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newRefusal returns the Error, of class not-run, of a request that was rejected before any attempt.
func newRefusal(kind Kind, status int, format string, args ...any) *Error {
	return &Error{Op: "admit", Kind: kind, Run: camphorhinge.NotRun, Status: status, Err: fmt.Errorf(format, args...)}
}

// encode returns the JSON body of the error answer.
func (e *Error) encode(id camphorhinge.RequestID) []byte {
	var b struct {
		Error struct {
			Message    string                 `json:"message"`
			Type       Kind                   `json:"type"`
			Run        camphorhinge.RunClass  `json:"run"`
			RetryAfter int64                  `json:"retry_after_ms,omitempty"`
			Request    camphorhinge.RequestID `json:"request_id"`
		} `json:"error"`
	}
	if b.Error.Message = e.Message; e.Message == "" {
		b.Error.Message = e.Err.Error()
	}
	b.Error.Type, b.Error.Run, b.Error.Request = e.Kind, e.Run, id
	b.Error.RetryAfter = e.RetryAfter.Milliseconds()
	out, err := json.Marshal(b)
	if err != nil {
		panic("error body of plain fields can't be encoded: " + err.Error())
	}
	return out
}

// callerError converts the error of the last attempt to the Error for the caller. class is the class over all attempts.
func callerError(err error, class camphorhinge.RunClass) *Error {
	out := &Error{
		Op: "exchange", Kind: KindTarget, Run: class, Status: http.StatusBadGateway, Err: err,
		Message: "the connection to the target failed before the whole answer was received",
	}
	var own *Error
	if errors.As(err, &own) {
		own.Run = class
		return own
	}
	var e *exchange.Error
	if !errors.As(err, &e) {
		return out
	}
	switch e.Kind {
	case exchange.KindDeadline, exchange.KindSilent:
		out.Status, out.Message = http.StatusGatewayTimeout, "the target did not answer in time"
		if e.Kind == exchange.KindDeadline {
			out.Kind, out.Message = KindDeadline, "the deadline passed before the whole answer was received"
		}
	case exchange.KindConnect, exchange.KindRefused:
		out.Status, out.Kind, out.RetryAfter = http.StatusServiceUnavailable, KindNoTarget, defaultRetryAfter
		out.Message = "no target took the request"
		if isRequestFault(e.Status) {
			out.Status, out.Kind, out.RetryAfter = e.Status, KindInvalid, 0
			out.Message = fmt.Sprintf("the target refused the request: %.1024s", e.Body)
		}
	case exchange.KindStatus:
		out.Status = e.Status
		out.Message = fmt.Sprintf("the target answered with status %d: %.1024s", e.Status, e.Body)
	case exchange.KindCallerLeft:
		out.Kind, out.Status = KindCallerLeft, statusCallerLeft
	case exchange.KindMemory:
		out.Kind, out.Message = KindMemory, "this node has no memory for the answer"
	case exchange.KindBody:
		out.Kind, out.Status, out.Message = KindInvalid, http.StatusBadRequest, "the body could not be read"
	}
	return out
}

const (
	// statusCallerLeft is the status of a request whose caller closed the connection; it is never sent.
	statusCallerLeft = 499
	// defaultRetryAfter is the Retry-After of a condition that is expected to pass soon; the view of live targets
	// replaces an expired target within it.
	defaultRetryAfter = time.Second
)
