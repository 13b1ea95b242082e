package engine

import "fmt"

// Kind classes errors.
type Kind string

const (
	// KindNetwork marks a call without an answer.
	KindNetwork Kind = "network"
	// KindAnswer marks an answer that is not of the control protocol.
	KindAnswer Kind = "answer"
	// KindRefused marks a call that the engine refused.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("engine %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
