package disk

import "fmt"

// Kind classes the errors of this package.
type Kind string

const (
	// KindLocked marks a folder that another process holds.
	KindLocked Kind = "locked"
	// KindName marks a file name that is not a plain name within the folder.
	KindName Kind = "name"
	// KindSystem marks an error of the operating system.
	KindSystem Kind = "system"
	// KindClosed marks the use of a closed file or folder.
	KindClosed Kind = "closed"
	// KindFull marks a write beyond the capacity of Memory.
	KindFull Kind = "full"
	// KindFault marks a fault that a test asked of Memory.
	KindFault Kind = "fault"
	// KindCrashed marks the use of Memory after its crash.
	KindCrashed Kind = "crashed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("disk: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
