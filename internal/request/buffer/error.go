package buffer

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

const (
	// KindFull marks bytes for which a Pool has no memory now.
	KindFull Kind = "full"
	// KindSlow marks content that was received below the minimum rate and ended for other content.
	KindSlow Kind = "slow"
)

var errSlow = errors.New("the content was received below the minimum rate, and its memory was needed")

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
func IsFull(err error) bool { return isKind(err, KindFull) }

// IsSlow reports whether an error is due to content that was ended for other content.
func IsSlow(err error) bool { return isKind(err, KindSlow) }

func isKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
