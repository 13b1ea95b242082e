package routing

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindInvalid marks a configuration that fails validation.
	KindInvalid Kind = "invalid"
	// KindMalformed marks bytes that can't be decoded.
	KindMalformed Kind = "malformed"
	// KindGap marks a delta whose base is not the current version.
	KindGap Kind = "gap"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("routing %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
