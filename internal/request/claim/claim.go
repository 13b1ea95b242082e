package claim

import (
	"crypto/sha256"
	"fmt"
	"time"

	"example.org/camphorhinge"
)

// Key identifies a claim.
type Key struct {
	Workspace camphorhinge.WorkspaceName `json:"w"`
	Service   camphorhinge.ServiceName   `json:"s"`
	// Key is the caller's idempotency key.
	Key string `json:"k"`
}

// Digest is the SHA-256 of a request's method, path and body.
type Digest [sha256.Size]byte

// DigestOf hashes a request. Method and path are length-prefixed, so that different requests never hash the same bytes.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d %s %d %s ", len(method), method, len(path), path)
	_, _ = h.Write(body)
	return Digest(h.Sum(nil))
}

// Request asks for a claim.
type Request struct {
	Key    Key
	Digest Digest
	// Deadline is the time left for the request; past it an unresolved claim counts as lost.
	Deadline time.Duration
}

// State is the response to a Request.
type State string

// States of a claim as returned to the requesting node.
const (
	// Granted makes the requesting node the owner of the claim; it may send the request once.
	Granted State = "granted"
	// Stored means that the request was run and its Answer is attached.
	Stored State = "stored"
	// Busy means that the request is in progress.
	Busy State = "busy"
	// Lost means that the outcome of the request is unknown, so that it may have run.
	Lost State = "lost"
	// Differs means that the key was used with a different request.
	Differs State = "differs"
	// Full means that the greatest number of claims is reached and no further one is accepted for now.
	Full State = "full"
)

// BodyLimit is the size of the largest body that is stored with a claim, in bytes.
const BodyLimit = 64 << 10

// Answer is a target's response to a claimed request.
type Answer struct {
	Status int                 `json:"c"`
	Header map[string][]string `json:"h,omitempty"`
	Body   []byte              `json:"b,omitempty"`
	// Omitted is true when the body was not stored, as when it exceeds BodyLimit.
	Omitted bool `json:"o,omitempty"`
}

// Grant is the outcome of a Request.
type Grant struct {
	State State
	Key   Key
	// Token proves the ownership of a granted claim.
	Token string
	// Answer is set when State is Stored.
	Answer *Answer
}

// Kind classifies a failed call.
type Kind string

// Kinds of failed calls.
const (
	// KindNotApplied marks a command that certainly took no effect.
	KindNotApplied Kind = "absent"
	// KindUncertain marks a command that may have taken effect.
	KindUncertain Kind = "uncertain"
	// KindNotOwned marks a command whose token is revoked or does not own the claim, and the release of a resolved claim.
	KindNotOwned Kind = "not-owned"
	// KindCorrupt marks a command, result or snapshot that can't be decoded.
	KindCorrupt Kind = "corrupt"
)

// Error describes a failed call.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("claim %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
