package duty

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindNotHeld marks a call that was not sent, since this process does not hold the duties.
	KindNotHeld Kind = "not held"
	// KindLimited marks a call above the limit of calls, which was not sent or which the provider has not accepted.
	KindLimited Kind = "limited"
	// KindUnreachable marks a call that was not sent, since the provider could not be connected to.
	KindUnreachable Kind = "unreachable"
	// KindUncertain marks a call without an answer, or with a server error; the provider may carry it out, also later.
	KindUncertain Kind = "uncertain"
	// KindConflict marks a call that the provider has refused: it has seen a higher token, or has no targets to give.
	KindConflict Kind = "conflict"
	// KindRefused marks a call that the provider has refused for another reason, and would refuse again.
	KindRefused Kind = "refused"
)

// Error is the error type of this package and of implementations of calls to the provider.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("duty %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
