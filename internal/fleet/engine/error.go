package engine

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindNetwork marks a call without an answer.
	KindNetwork Kind = "network"
	// KindAnswer marks an answer that does not follow the control protocol.
	KindAnswer Kind = "answer"
	// KindRefused marks a call that the engine refused.
	KindRefused Kind = "refused"
)

// Error is the type of this package's errors: the failed operation, its kind and the cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("engine %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
