package peer

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindTLS marks unusable certificate files.
	KindTLS Kind = "tls"
	// KindListen marks a port that cannot be opened or served.
	KindListen Kind = "listen"
)

// Error is the error type of this package; Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
