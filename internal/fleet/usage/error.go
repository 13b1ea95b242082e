package usage

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindSnapshot marks a snapshot that cannot be decoded.
	KindSnapshot Kind = "snapshot"
	// KindDisk marks a journal that cannot be read.
	KindDisk Kind = "disk"
	// KindUncommitted marks a command of which is not known that it has been committed.
	KindUncommitted Kind = "uncommitted"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("usage %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
