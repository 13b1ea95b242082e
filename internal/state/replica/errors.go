package replica

import (
	"context"
	"errors"
	"fmt"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindNotLeader marks a call that only the leader answers; the error wraps camphorhinge.ErrNotLeader.
	KindNotLeader Kind = "not leader"
	// KindUncertain marks a proposal whose outcome is open; the error wraps camphorhinge.ErrUncertain.
	KindUncertain Kind = "uncertain"
	// KindRefused marks a call that had no effect.
	KindRefused Kind = "refused"
	// KindStopped marks a call to a replica that doesn't run.
	KindStopped Kind = "stopped"
	// KindCanceled marks a call that was given up before it had an effect.
	KindCanceled Kind = "canceled"
	// KindStorage marks a failed write or sync, after which the replica must not be used.
	KindStorage Kind = "storage"
	// KindCorrupt marks stored or received state that can't be decoded.
	KindCorrupt Kind = "corrupt"
	// KindUnrepaired marks a group that does not have three voters with all of the log.
	KindUnrepaired Kind = "unrepaired"
	// KindStart marks a data folder that doesn't fit the way of starting.
	KindStart Kind = "start"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
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
	return &Error{Op: op, Kind: KindStopped, Err: errors.New("the replica does not run")}
}

func canceled(ctx context.Context, op string) error {
	return &Error{Op: op, Kind: KindCanceled, Err: context.Cause(ctx)}
}

// wrapRefusal wraps an error of the Core, which had no effect.
func wrapRefusal(op string, err error) error {
	var e *consensus.Error
	if errors.As(err, &e) && e.Kind == consensus.KindNotLeader {
		return &Error{Op: op, Kind: KindNotLeader, Err: err}
	}
	return &Error{Op: op, Kind: KindRefused, Err: err}
}
