package camphorhinge

import (
	"context"
	"io"
	"time"
)

// Clock reads a monotonic clock that also advances while the system is suspended.
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

// FileSystem is the set of file operations that the durable state needs; names are relative to the data folder.
type FileSystem interface {
	// Create creates or truncates a file and opens it for writing.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending; the error wraps fs.ErrNotExist when there is none.
	Open(name string) (File, error)
	// Rename atomically moves the file at from to to, replacing any file there.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
}

// CommandKind selects the Machine that applies a command.
type CommandKind uint8

// Kinds of commands. The numbers are part of the log format and are never reused for another kind.
const (
	// CommandRecord writes or withdraws records.
	CommandRecord CommandKind = 1
	// CommandMember adds or removes nodes.
	CommandMember CommandKind = 2
	// CommandClaim claims, completes or releases non-idempotent requests.
	CommandClaim CommandKind = 3
	// CommandOrder records decisions and orders to engines.
	CommandOrder CommandKind = 4
	// CommandCrash records crashes for the scores by request fingerprint.
	CommandCrash CommandKind = 5
	// CommandRouting replaces the routing configuration.
	CommandRouting CommandKind = 6
	// CommandVersion adds or removes a software version that is in service.
	CommandVersion CommandKind = 7
	// CommandUsage records the content of a usage report, or that the provider has accepted it.
	CommandUsage CommandKind = 8
)

// Entry describes the committed log entry that carries a command.
type Entry struct {
	Index Index
	Term  Term
	// Stamp is the cluster's time in milliseconds: the leader's wall clock, but never less than that of an earlier
	// entry. Retention periods are measured in it, so that all replicas agree.
	Stamp int64
}

// Machine is a state machine that holds one part of the replicated state. It is deterministic: equal commands in equal
// order give equal results and equal snapshots on each replica. One goroutine calls Apply, Snapshot and Restore; a
// Machine does its own locking against concurrent readers.
type Machine interface {
	// Apply applies one committed command and returns its encoded result. It does not fail: a refusal is a result too.
	Apply(e Entry, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by an encoded one. An empty snapshot was taken before this kind of Machine
	// existed and restores the initial state.
	Restore(snapshot []byte) error
}

// Proposer commits commands to the replicated state; on any node, by way of the leader.
type Proposer interface {
	// Propose returns the encoded result of the command once it is committed and applied on the leader.
	// After an error that wraps ErrUncertain the command may still take effect; after any other error it does not.
	Propose(ctx context.Context, kind CommandKind, command []byte) ([]byte, error)
}

// Targets gives access to a node's view of the live targets.
type Targets interface {
	// Live returns the live targets of a service, sorted by name; the caller must not change the slice.
	Live(service ServiceName) []*Target
}

// Router chooses a target for an attempt.
type Router interface {
	// Pick returns the target to try next; ok is false when no target is eligible.
	Pick(req RouteRequest) (choice RouteChoice, ok bool)
	// StartAttempt records that an attempt was sent; done must be called once, when the attempt has ended.
	StartAttempt(choice RouteChoice, req RouteRequest) (done func(AttemptResult))
	// PickDecode returns the engine to which the KV cache of a request moves from the engine that holds it; ok is false
	// when no engine is eligible or the request should stay where it is.
	PickDecode(req RouteRequest, from *Target) (choice RouteChoice, ok bool)
	// StartDecodeAttempt is StartAttempt for an attempt whose KV cache was moved to the target, so no prefill remains.
	StartDecodeAttempt(choice RouteChoice, req RouteRequest) (done func(AttemptResult))
}

// RouteRequest holds the properties of a request that a Router considers.
type RouteRequest struct {
	Service  ServiceName
	Model    ModelName
	Adapter  AdapterName
	Priority Priority
	// Prompt is the estimated number of prompt tokens.
	Prompt Tokens
	// Output is the expected or maximum number of output tokens.
	Output Tokens
	// Prefixes are hashes of the prompt's leading blocks, shortest prefix first.
	Prefixes []uint64
	// Deadline is the time remaining for the whole request.
	Deadline time.Duration
	// Exclude names targets that already failed this request.
	Exclude []TargetName
	// Software is the only software version that may serve the request, as it began its stream; nil means any.
	Software *SoftwareVersion
}

// RouteChoice is a Router's decision with the values that explain it.
type RouteChoice struct {
	Target   *Target
	Expected time.Duration
	Reason   string
}

// AttemptResult reports to the Router how an attempt ended.
type AttemptResult struct {
	// Class is Run when the target completed the answer.
	Class RunClass
	// Failed is true when the target or the connection failed.
	Failed bool
	// FirstByte is the time to the first byte of a streamed answer, or 0.
	FirstByte time.Duration
	// Output is the number of output tokens received.
	Output Tokens
	// Moved is true when another attempt continues the answer from this point; Class is then Run.
	Moved bool
}

// Admission decides whether a request may start now.
type Admission interface {
	// Admit returns a release function, or a Refusal.
	Admit(req AdmitRequest) (release func(), refusal *Refusal)
	// Retry reports whether the retry budget allows one more attempt, and if so charges it.
	Retry() bool
}

// AdmitRequest holds the properties of a request that Admission considers.
type AdmitRequest struct {
	Workspace WorkspaceName
	Service   ServiceName
	Priority  Priority
	Tokens    Tokens
	// Expected is the expected time to completion; Deadline is the time remaining.
	Expected time.Duration
	Deadline time.Duration
}

// Refusal is the reason why a request was not admitted.
type Refusal struct {
	// Kind is one of limit, shed, deadline.
	Kind string
	// Message is the text for the caller.
	Message string
	// RetryAfter is the time after which the caller may try again.
	RetryAfter time.Duration
}

// Decision is one entry of the ring buffer that the explain command reads.
type Decision struct {
	Seq uint64 `json:"seq"`
	// At is the wall-clock time in milliseconds since the Unix epoch, for display only.
	At int64 `json:"at"`
	// Kind is one of route, refuse, retry, order, role, quarantine, config, member.
	Kind string `json:"kind"`
	// Subject is the request, target or record that the decision is about.
	Subject string `json:"subject"`
	Reason  string `json:"reason"`
	// Inputs are the values on which the decision was based.
	Inputs map[string]string `json:"inputs,omitempty"`
}

// Decisions records decisions for the explain command.
type Decisions interface {
	// Record appends a decision and drops the oldest one when the ring buffer is full.
	Record(kind, subject, reason string, inputs map[string]string)
}
