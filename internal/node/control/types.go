package control

import (
	"context"
	"fmt"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/table"
)

// Outcomes of calls to the leader, as sent on the wire.
const (
	// OutcomeDone marks a call that was carried out.
	OutcomeDone = "done"
	// OutcomeRedirect marks a call to a node that is not the leader; nothing was done.
	OutcomeRedirect = "redirect"
	// OutcomeRefused marks a call that was refused; nothing was done.
	OutcomeRefused = "refused"
	// OutcomeUncertain marks a call that may take effect.
	OutcomeUncertain = "uncertain"
)

// Kind classifies an Error.
type Kind string

const (
	// KindUnavailable marks a call that no leader answered in time; nothing was done.
	KindUnavailable Kind = "unavailable"
	// KindUncertain marks a call that may have taken effect.
	KindUncertain Kind = "uncertain"
	// KindRefused marks a call that the leader refused; nothing was done.
	KindRefused Kind = "refused"
	// KindMalformed marks an answer that can't be decoded.
	KindMalformed Kind = "malformed"
)

// Error is an error of this package. One of KindUncertain matches camphorhinge.ErrUncertain.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("control %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is camphorhinge.ErrUncertain and e leaves the outcome open.
func (e *Error) Is(target error) bool {
	return target == camphorhinge.ErrUncertain && e.Kind == KindUncertain //nolint:errorlint // This is the comparison that errors.Is calls.
}

// Replica is the node's replica of the durable state.
type Replica interface {
	camphorhinge.Proposer
	// Authority returns the current term and whether this replica now holds a valid leader lease.
	Authority() (camphorhinge.Term, bool)
	// Barrier returns once this replica has applied everything committed before the call; only the leader answers.
	Barrier(ctx context.Context) error
	// Leader returns the id of the leading replica, or 0 when none is known.
	Leader() camphorhinge.ReplicaID
}

// Records gives the leader access to the records, for distribution.
type Records interface {
	// Revision returns the latest applied revision.
	Revision() camphorhinge.Revision
	// Since returns the changes after a revision, or all records when full is set or the changes are no longer
	// retained.
	Since(after camphorhinge.Revision, full bool) table.Changes
}

// Orders gives the leader access to the decisions on engines, for distribution.
type Orders interface {
	// Encode returns the decisions and their version, which increases with each change.
	Encode() (engines []byte, version uint64)
	// Revision returns only the version.
	Revision() uint64
}

// Query runs one kind of linearizable read on the leader and returns the encoded result.
type Query func(args []byte) ([]byte, error)
