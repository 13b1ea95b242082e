package replica

import (
	"context"
	"errors"
	"fmt"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
)

// Kind classifies an Error by its cause and by whether the call may have had an effect.
type Kind string

// Kinds of errors.
const (
	// KindNotLeader marks a call that only the leader accepts; it had no effect. The error wraps
	// camphorhinge.ErrNotLeader.
	KindNotLeader Kind = "not leader"
	// KindUncertain marks a call that may or may not take effect; the error wraps camphorhinge.ErrUncertain.
	KindUncertain Kind = "uncertain"
	// KindRefused marks a call that had no effect.
	KindRefused Kind = "refused"
	// KindStopped marks a call to a replica that is not running.
	KindStopped Kind = "stopped"
	// KindCanceled marks a call whose context ended before it had an effect.
	KindCanceled Kind = "canceled"
	// KindStorage marks a failed read, write or sync, after which the replica must not be used.
	KindStorage Kind = "storage"
	// KindCorrupt marks stored or received state that can't be decoded.
	KindCorrupt Kind = "corrupt"
	// KindUnrepaired marks a group that can't lose any one of its voters yet; see CheckRepaired.
	KindUnrepaired Kind = "unrepaired"
	// KindStart marks a data folder that can't be used with the given Start.
	KindStart Kind = "start"
)

// Error is the type of the errors of this package: the operation that failed, the kind and the cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("replica: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

func notLeader(op string) error {
	return &Error{Op: op, Kind: KindNotLeader, Err: camphorhinge.ErrNotLeader}
}

func uncertain(op, reason string) error {
	return &Error{Op: op, Kind: KindUncertain, Err: fmt.Errorf("%s: %w", reason, camphorhinge.ErrUncertain)}
}

func stopped(op string) error {
	return &Error{Op: op, Kind: KindStopped, Err: errors.New("the replica is not running")}
}

func canceled(ctx context.Context, op string) error {
	return &Error{Op: op, Kind: KindCanceled, Err: context.Cause(ctx)}
}

// wrapRefusal wraps an error that the Core returned for a call; such a call has no effect.
func wrapRefusal(op string, err error) error {
	var e *consensus.Error
	if errors.As(err, &e) && e.Kind == consensus.KindNotLeader {
		return &Error{Op: op, Kind: KindNotLeader, Err: err}
	}
	return &Error{Op: op, Kind: KindRefused, Err: err}
}
