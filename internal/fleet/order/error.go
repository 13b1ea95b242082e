package order

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

const (
	// KindDeposed marks work that ended because the lease is lost or another term began.
	KindDeposed Kind = "deposed"
	// KindRefused marks a command that the Table refused, or an engine that must get no order.
	KindRefused Kind = "refused"
	// KindLost marks an engine that is no longer live or has restarted.
	KindLost Kind = "lost"
	// KindTimeout marks a wait that reached its bound.
	KindTimeout Kind = "timeout"
	// KindCorrupt marks an encoded state or result of a command that can't be decoded.
	KindCorrupt Kind = "corrupt"
	// KindProposal marks a command that could not be committed.
	KindProposal Kind = "proposal"
)

// Error is the type of this package's errors: the failed operation, its kind and the cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("order %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errLeaseLost    = errors.New("the lease is not held in this term")
	errNotLive      = errors.New("the engine is not live")
	errRestarted    = errors.New("the engine restarted")
	errIdleTimeout  = errors.New("the engine did not become idle in time")
	errDrainTimeout = errors.New("the engine did not drain in time")
)

func isKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
