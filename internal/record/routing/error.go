package routing

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindInvalid marks a configuration that breaks a rule.
	KindInvalid Kind = "invalid"
	// KindMalformed marks bytes that can't be decoded.
	KindMalformed Kind = "malformed"
	// KindGap marks a difference from another version than the one that is held.
	KindGap Kind = "gap"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("routing %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
