package operator

import (
	"context"
	"fmt"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
)

// RecordWriter commits writes of records.
type RecordWriter interface {
	// Write returns the result once the write is in force on all nodes. An error that wraps camphorhinge.ErrUncertain
	// leaves open whether the write takes effect; after any other error it does not.
	Write(ctx context.Context, c table.Command) (table.Result, error)
}

// RecordReader reads records; its reads are linearizable.
type RecordReader interface {
	// View returns the records in force.
	View(ctx context.Context) (*table.View, error)
	// History returns the kept writes of a record, by rising version; it is empty for an unknown record.
	History(ctx context.Context, key schema.Key) ([]table.Write, error)
}

// StatusSource tells the status of the node and the cluster.
type StatusSource interface {
	// Status returns a value that encoding/json writes.
	Status(ctx context.Context) (any, error)
}

// Explainer reads the ring of decisions.
type Explainer interface {
	// Explain returns the decisions that match, oldest first.
	Explain(ctx context.Context, q Query) ([]camphorhinge.Decision, error)
}

// Query selects decisions; empty fields match all.
type Query struct {
	Kind    string
	Subject string
	// After is the sequence number above which decisions are returned.
	After uint64
	// Limit is the greatest number of decisions, the latest ones.
	Limit int
}

// Limits of an explain query.
const (
	DefaultExplain = 100
	MaxExplain     = 1000
)

// MaxBody is the largest request body, in bytes.
const MaxBody = 1 << 20

// Kind classes the errors of the API.
type Kind string

const (
	// KindUsage marks a malformed request.
	KindUsage Kind = "usage"
	// KindDenied marks a missing or wrong token.
	KindDenied Kind = "denied"
	// KindInvalid marks records with faults.
	KindInvalid Kind = "invalid"
	// KindConflict marks a write that lost against another.
	KindConflict Kind = "conflict"
	// KindAbsent marks a record that does not exist.
	KindAbsent Kind = "absent"
	// KindUnavailable marks a request that had no effect and may be sent again.
	KindUnavailable Kind = "unavailable"
	// KindUncertain marks a write whose effect is not known; sending it again is safe.
	KindUncertain Kind = "uncertain"
	// KindInternal marks a fault of the server.
	KindInternal Kind = "internal"
)

// Error is the error type of this package, and the body of error answers.
type Error struct {
	Op   string `json:"-"`
	Kind Kind   `json:"kind"`
	Err  error  `json:"-"`
	// Message is Err as text.
	Message string `json:"message"`
	// Faults name fields and what was expected.
	Faults schema.Faults `json:"faults,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("operator: %s: %s: %s", e.Op, e.Kind, e.Message) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorBody is the JSON of an error answer.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// NotTried is the outcome of a record that follows one which was not accepted.
const NotTried table.Outcome = "not-tried"

// WriteResult is what became of one record of a request.
type WriteResult struct {
	schema.Key
	Version camphorhinge.Version `json:"version"`
	table.Result
	// Unknown are the fields that this version does not know; they are kept.
	Unknown []string `json:"unknown,omitempty"`
	// Changes are what a dry write would change.
	Changes []schema.Difference `json:"changes,omitempty"`
}

// WriteBody is the JSON of the answer to a write; Error is set unless all records were accepted.
type WriteBody struct {
	Dry     bool          `json:"dry,omitempty"`
	Results []WriteResult `json:"results,omitempty"`
	Error   *Error        `json:"error,omitempty"`
}

// Withdrawal is the JSON of a request to withdraw a record.
type Withdrawal struct {
	schema.Key
	Version camphorhinge.Version `json:"version"`
}

// RecordBody is the JSON of one record.
type RecordBody struct {
	schema.Key
	table.Write
	// Document is the record as written; it is left out in lists and after a withdrawal.
	Document string `json:"document,omitempty"`
	// Undecoded says why this version can't decode the document.
	Undecoded string `json:"undecoded,omitempty"`
	// History are the kept writes, by rising version; it is left out in lists.
	History []table.Write `json:"history,omitempty"`
}

// RecordsBody is the JSON of a list of records.
type RecordsBody struct {
	Revision camphorhinge.Revision `json:"revision"`
	Records  []RecordBody          `json:"records"`
}

// ExplainBody is the JSON of an answer to explain.
type ExplainBody struct {
	Decisions []camphorhinge.Decision `json:"decisions"`
}
