package claim

import (
	"crypto/sha256"
	"fmt"
	"time"

	"example.org/camphorhinge"
)

// Key names a claim.
type Key struct {
	Workspace camphorhinge.WorkspaceName `json:"w"`
	Service   camphorhinge.ServiceName   `json:"s"`
	// Key is the caller's idempotency key.
	Key string `json:"k"`
}

// Digest is the SHA-256 of a request's method, path and body.
type Digest [sha256.Size]byte

// DigestOf returns the Digest of a request.
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

// State is the answer to a Request.
type State string

// States of a claim as a caller sees it.
const (
	// Granted gives the claim to the asking node: it may send the request, once.
	Granted State = "granted"
	// Stored states that the request was run; the Answer is attached.
	Stored State = "stored"
	// Busy states that the request is in progress.
	Busy State = "busy"
	// Lost states that the outcome of the request is unknown.
	Lost State = "lost"
	// Differs states that the key was used for another request.
	Differs State = "differs"
	// Full states that no further claim is accepted for now.
	Full State = "full"
)

// BodyLimit is the greatest body that is stored with a claim, in bytes.
const BodyLimit = 64 << 10

// Answer is what a target answered to a claimed request.
type Answer struct {
	Status int                 `json:"c"`
	Header map[string][]string `json:"h,omitempty"`
	Body   []byte              `json:"b,omitempty"`
	// Omitted is true when the body exceeded BodyLimit and was not kept.
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

// Kind tells how a call failed.
type Kind string

// Kinds of failed calls.
const (
	// KindAbsent marks a claim that is known to have no effect.
	KindAbsent Kind = "absent"
	// KindUncertain marks a claim whose effect is not known.
	KindUncertain Kind = "uncertain"
	// KindNotOwned marks a completion or release by a node that does not own the claim.
	KindNotOwned Kind = "not-owned"
	// KindCorrupt marks a command, result or snapshot that can't be decoded.
	KindCorrupt Kind = "corrupt"
)

// Error is a failed call.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("claim %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
