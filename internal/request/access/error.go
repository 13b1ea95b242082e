package access

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

const (
	// KindMissing marks a request without a key where one is needed.
	KindMissing Kind = "missing_key"
	// KindUnknown marks a request whose key belongs to no workspace.
	KindUnknown Kind = "unknown_key"
	// KindUnconfirmed marks a request whose key can't be judged, since the configuration in force may be out of date.
	KindUnconfirmed Kind = "unconfirmed"
)

// Error is the error type of this package; Op names the operation that failed. It contains no key.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("access %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errMissing     = errors.New("the route needs an API key and the request has none, or several")
	errUnknown     = errors.New("the API key is that of no workspace")
	errUnconfirmed = errors.New("it is not known whether the configuration is still the newest")
)

func newError(kind Kind, err error) *Error { return &Error{Op: "admit", Kind: kind, Err: err} }
