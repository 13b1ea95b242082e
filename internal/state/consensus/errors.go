package consensus

import (
	"fmt"

	"example.org/camphorhinge"
)

// Kind classifies an Error for callers that handle its causes differently.
type Kind string

// Kinds of errors.
const (
	// KindNotLeader marks a call that only the leader accepts; the error wraps camphorhinge.ErrNotLeader.
	KindNotLeader Kind = "not leader"
	// KindBusy marks a proposal that would exceed Limits.UncommittedBytes.
	KindBusy Kind = "busy"
	// KindTransfer marks a call refused during a leadership transfer.
	KindTransfer Kind = "transfer"
	// KindPending marks a membership change refused while another one is uncommitted.
	KindPending Kind = "pending"
	// KindEarly marks a call refused before the leader has committed an entry of its own term.
	KindEarly Kind = "early"
	// KindBehind marks the promotion of a learner that misses entries, or a transfer to a voter that does not reply.
	KindBehind Kind = "behind"
	// KindQuorum marks a change that would leave no majority of responsive voters.
	KindQuorum Kind = "quorum"
	// KindInvalid marks invalid arguments, such as a change that does not apply to the membership.
	KindInvalid Kind = "invalid"
	// KindMalformed marks input that can't be decoded or violates the protocol.
	KindMalformed Kind = "malformed"
)

// Error is the type of all errors of this package: the operation that failed, the kind and the cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and, if any, the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("consensus: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("consensus: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

func notLeader(op string) error {
	return &Error{Op: op, Kind: KindNotLeader, Err: camphorhinge.ErrNotLeader}
}
