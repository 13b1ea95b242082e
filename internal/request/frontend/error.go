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

// Kind tells why a request failed; it is the type in the error body.
type Kind string

// Kinds of failed requests.
const (
	KindInvalid            Kind = "invalid_request"
	KindUnauthorized       Kind = "unauthorized"
	KindTooLarge           Kind = "too_large"
	KindSlowRequest        Kind = "slow_request"
	KindUnknownService     Kind = "unknown_service"
	KindLimit              Kind = "limit"
	KindShed               Kind = "shed"
	KindDeadline           Kind = "deadline"
	KindNoTarget           Kind = "no_target"
	KindStaleConfiguration Kind = "stale_configuration"
	KindQuarantined        Kind = "quarantined"
	KindInProgress         Kind = "in_progress"
	KindKeyReused          Kind = "idempotency_key_reused"
	KindClaim              Kind = "claim"
	KindOutcomeUnknown     Kind = "outcome_unknown"
	KindTarget             Kind = "target"
	KindCallerLeft         Kind = "caller_left"
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
	// Message is for the caller; it is empty where Err may be shown. Causes of failed exchanges hold addresses of targets.
	Message string
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s (%s): %v", e.Op, e.Kind, e.Run, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newRefusal returns an Error of class not-run.
func newRefusal(kind Kind, status int, format string, args ...any) *Error {
	return &Error{Op: "admit", Kind: kind, Run: camphorhinge.NotRun, Status: status, Err: fmt.Errorf(format, args...)}
}

// encode encodes the error for the caller.
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

// callerError turns the last attempt's error into the caller's. class is the class over all attempts.
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
	case exchange.KindLeft:
		out.Kind, out.Status = KindCallerLeft, statusCallerLeft
	case exchange.KindBody:
		out.Kind, out.Status, out.Message = KindInvalid, http.StatusBadRequest, "the body could not be read"
	}
	return out
}

const (
	// statusCallerLeft is written to the metrics only; no caller is there to read it.
	statusCallerLeft = 499
	// defaultRetryAfter is the time in which an expired target is replaced by another in the view of live targets.
	defaultRetryAfter = time.Second
)
