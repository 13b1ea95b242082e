package camphorhinge

import (
	"context"
	"io"
	"time"
)

// Clock tells monotonic time that counts suspended time.
type Clock interface {
	// Now returns the current Instant.
	Now() Instant
}

// File is an open file of a FileSystem.
type File interface {
	io.ReaderAt
	io.Writer
	io.Closer
	// Sync makes all written bytes durable. After an error the state of the file's unsynced bytes is undefined.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
	// Size returns the file's length in bytes.
	Size() (int64, error)
}

// FileSystem is the part of a file system that the durable state needs; names are relative to the data folder.
type FileSystem interface {
	// Create makes or empties a file and opens it for writing.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending; the error wraps fs.ErrNotExist when there is none.
	Open(name string) (File, error)
	// Rename replaces the file at to by the one at from, atomically.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
}

// CommandKind tells which Machine applies a command.
type CommandKind uint8

// Kinds of commands; the numbers are part of the log's format and are never used again for another kind.
const (
	// CommandRecord writes or withdraws records.
	CommandRecord CommandKind = 1
	// CommandMember adds or removes nodes.
	CommandMember CommandKind = 2
	// CommandClaim claims, completes or releases non-idempotent requests.
	CommandClaim CommandKind = 3
	// CommandOrder records decisions and orders to engines.
	CommandOrder CommandKind = 4
	// CommandCrash counts crashes by request fingerprint.
	CommandCrash CommandKind = 5
	// CommandRouting replaces the routing configuration.
	CommandRouting CommandKind = 6
)

// Entry describes the committed log entry that carries a command.
type Entry struct {
	Index Index
	Term  Term
	// Stamp is the cluster's time in milliseconds: the leader's wall clock, never below that of an earlier entry.
	// Retention is counted in it, so that all replicas agree.
	Stamp int64
}

// Machine is one part of the replicated state. It is deterministic: equal commands in equal order give equal results
// and equal snapshots on each replica. Apply, Snapshot and Restore are called by one goroutine; a Machine locks
// against its own readers.
type Machine interface {
	// Apply applies one committed command and returns its encoded result. A command that is refused has a result that says
	// so; Apply does not fail.
	Apply(e Entry, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by an encoded one. An empty snapshot stands for the first state: one that was taken
	// before this kind of Machine existed.
	Restore(snapshot []byte) error
}

// Proposer commits commands to the replicated state; each node implements it, by way of the leader.
type Proposer interface {
	// Propose returns the encoded result of the command once it is committed and applied on the leader.
	// An error that wraps ErrUncertain leaves open whether the command takes effect; after any other error it does not.
	Propose(ctx context.Context, kind CommandKind, command []byte) ([]byte, error)
}

// Targets is a node's view of the live targets.
type Targets interface {
	// Live returns the live targets of a service, sorted by name; the caller must not change the slice.
	Live(service ServiceName) []*Target
}

// Router chooses a target for an attempt.
type Router interface {
	// Pick returns the target to try next; ok is false when no target may take the request.
	Pick(req RouteRequest) (choice RouteChoice, ok bool)
	// StartAttempt notes that an attempt was sent; the returned function is called once when the attempt has ended.
	StartAttempt(choice RouteChoice, req RouteRequest) (done func(AttemptResult))
	// PickDecode returns the engine to which the KV cache of a request moves from the engine that holds it; ok is false when
	// no engine may take it, or when the request should stay.
	PickDecode(req RouteRequest, from *Target) (choice RouteChoice, ok bool)
	// StartDecodeAttempt is StartAttempt for an attempt whose KV cache was moved to the target, so that no prefill is left.
	StartDecodeAttempt(choice RouteChoice, req RouteRequest) (done func(AttemptResult))
}

// RouteRequest is what a Router knows of a request.
type RouteRequest struct {
	Service  ServiceName
	Model    ModelName
	Adapter  AdapterName
	Priority Priority
	// Prompt is the estimated number of prompt tokens.
	Prompt Tokens
	// Output is the expected or greatest number of output tokens.
	Output Tokens
	// Prefixes are hashes of the prompt's leading blocks, shortest prefix first.
	Prefixes []uint64
	// Deadline is the time left for the whole request.
	Deadline time.Duration
	// Exclude names targets that already failed this request.
	Exclude []TargetName
}

// RouteChoice is a Router's decision with the inputs that explain it.
type RouteChoice struct {
	Target   *Target
	Expected time.Duration
	Reason   string
}

// AttemptResult is how an attempt ended, for the Router's bookkeeping.
type AttemptResult struct {
	// Class is Run when the target completed the answer.
	Class RunClass
	// Failed is true when the target or the connection failed.
	Failed bool
	// FirstByte is the time to the first byte of an answer that comes in pieces, or 0.
	FirstByte time.Duration
	// Output is the number of output tokens received.
	Output Tokens
	// Moved is true when another attempt goes on with the answer from here; Class is Run then.
	Moved bool
}

// Admission decides whether a request may start now.
type Admission interface {
	// Admit returns a release function, or a Refusal.
	Admit(req AdmitRequest) (release func(), refusal *Refusal)
	// Retry reports whether the retry budget allows one more attempt, and takes it.
	Retry() bool
}

// AdmitRequest is what Admission knows of a request.
type AdmitRequest struct {
	Workspace WorkspaceName
	Service   ServiceName
	Priority  Priority
	Tokens    Tokens
	// Expected is the expected time to completion; Deadline is the time left.
	Expected time.Duration
	Deadline time.Duration
}

// Refusal is the reason why a request was not admitted.
type Refusal struct {
	// Kind is one of limit, shed, deadline.
	Kind string
	// Message is for the caller.
	Message string
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

// Decision is one entry of the ring that explain reads.
type Decision struct {
	Seq uint64 `json:"seq"`
	// At is the wall-clock time in milliseconds since the Unix epoch, for display only.
	At int64 `json:"at"`
	// Kind is one of route, refuse, retry, order, role, quarantine, config, member.
	Kind string `json:"kind"`
	// Subject is the request, target or record which was decided on.
	Subject string `json:"subject"`
	Reason  string `json:"reason"`
	// Inputs are the values that decided it.
	Inputs map[string]string `json:"inputs,omitempty"`
}

// Decisions records decisions for explain.
type Decisions interface {
	// Record appends a decision and drops the oldest when the ring is full.
	Record(kind, subject, reason string, inputs map[string]string)
}
