package balance

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindNetwork marks a call without an answer; the engine may have accepted the order.
	KindNetwork Kind = "network"
	// KindRefused marks an order that the engine did not accept.
	KindRefused Kind = "refused"
	// KindAnswer marks an answer that can't be decoded.
	KindAnswer Kind = "answer"
)

// Error is the error type of this package and of the implementations of Engines.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("balance %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
