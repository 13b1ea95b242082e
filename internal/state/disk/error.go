package disk

import (
	"fmt"

	"example.org/camphorhinge"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindLocked marks a folder that is locked by another process or another Folder.
	KindLocked Kind = "locked"
	// KindName marks a file name that is not a plain name within the folder.
	KindName Kind = "name"
	// KindSystem marks an operating system error that has no kind of its own.
	KindSystem Kind = "system"
	// KindClosed marks the use of a closed file.
	KindClosed Kind = "closed"
	// KindFull marks a write that exceeds the free space or the disk quota.
	KindFull Kind = "full"
	// KindFault marks an operation of Memory that fails because of Faults.FailAt.
	KindFault Kind = "fault"
	// KindCrashed marks the use of Memory after a simulated crash, or of a file opened before it.
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

// Is reports whether target is camphorhinge.ErrNoSpace and the error is of KindFull.
func (e *Error) Is(target error) bool { return target == camphorhinge.ErrNoSpace && e.Kind == KindFull }
