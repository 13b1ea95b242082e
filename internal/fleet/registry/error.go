package registry

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindMalformed marks an announcement that is not valid.
	KindMalformed Kind = "malformed"
	// KindTooLarge marks an announcement over MaxAnnouncement bytes.
	KindTooLarge Kind = "too large"
	// KindFull marks an announcement of a new target while the registry has MaxTargets targets.
	KindFull Kind = "full"
)

// Error is the type of this package's errors: the failed operation, its kind and the cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("registry %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
