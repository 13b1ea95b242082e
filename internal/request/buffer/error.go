package buffer

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

// KindFull marks bytes for which a Pool has no memory now.
const KindFull Kind = "full"

// Error is the error type of this package; Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("buffer %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsFull reports whether an error is due to a Pool without memory.
func IsFull(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindFull
}
