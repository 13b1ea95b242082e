package tunnel

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindRelay marks a relay that can't be reached, or that gives no proper answer.
	KindRelay Kind = "relay"
	// KindBusy marks a relay that takes no further connection now.
	KindBusy Kind = "busy"
	// KindUnknown marks a target that the relay does not know.
	KindUnknown Kind = "unknown"
	// KindUnwanted marks a target that wants no requests of the relay.
	KindUnwanted Kind = "unwanted"
	// KindRefused marks a target that refuses connections from the relay.
	KindRefused Kind = "refused"
	// KindSilent marks a target that the relay can't reach.
	KindSilent Kind = "silent"
	// KindClosed marks a Dialer that is closed.
	KindClosed Kind = "closed"
)

// Error is the error of a failed connection through a relay, with its cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("tunnel %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// kindOf returns the kind of an Error, or "" for other errors.
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
