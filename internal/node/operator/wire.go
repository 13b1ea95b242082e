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
	// Write returns the result once the write is in force on all nodes. After an error that wraps
	// camphorhinge.ErrUncertain it is unknown whether the write takes effect; after any other error it does not.
	Write(ctx context.Context, c table.Command) (table.Result, error)
}

// RecordReader reads records; its reads are linearizable.
type RecordReader interface {
	// View returns the records in force.
	View(ctx context.Context) (*table.View, error)
	// History returns the retained writes of a record in ascending order of version; it is empty for an unknown record.
	History(ctx context.Context, key schema.Key) ([]table.Write, error)
}

// StatusSource provides the status of the node and the cluster.
type StatusSource interface {
	// Status returns a value that encoding/json can encode.
	Status(ctx context.Context) (any, error)
}

// Explainer provides the recorded decisions.
type Explainer interface {
	// Explain returns the decisions that match q, oldest first.
	Explain(ctx context.Context, q Query) ([]camphorhinge.Decision, error)
}

// Query selects decisions; empty fields match all.
type Query struct {
	Kind    string
	Subject string
	// After excludes decisions with this sequence number or a lower one.
	After uint64
	// Limit is the maximum number of decisions; if more match, the latest are returned.
	Limit int
}

// Default and maximum of Query.Limit in requests.
const (
	DefaultExplain = 100
	MaxExplain     = 1000
)

// MaxBody is the largest request body, in bytes.
const MaxBody = 1 << 20

// Kind classifies the errors of the API.
type Kind string

const (
	// KindUsage marks a malformed request.
	KindUsage Kind = "usage"
	// KindDenied marks a missing or wrong token.
	KindDenied Kind = "denied"
	// KindInvalid marks invalid records.
	KindInvalid Kind = "invalid"
	// KindConflict marks a write that conflicts with an earlier one.
	KindConflict Kind = "conflict"
	// KindAbsent marks a record that does not exist.
	KindAbsent Kind = "absent"
	// KindUnavailable marks a request that had no effect and may be retried.
	KindUnavailable Kind = "unavailable"
	// KindUncertain marks a write of unknown effect; retrying it is safe.
	KindUncertain Kind = "uncertain"
	// KindInternal marks an internal error of the server.
	KindInternal Kind = "internal"
)

// Error is the error type of this package, and the JSON in the body of error responses.
type Error struct {
	Op   string `json:"-"`
	Kind Kind   `json:"kind"`
	Err  error  `json:"-"`
	// Message is the text of Err.
	Message string `json:"message"`
	// Faults lists invalid fields and the expected values.
	Faults schema.Faults `json:"faults,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("operator: %s: %s: %s", e.Op, e.Kind, e.Message) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// NotTried is the outcome of a record that was not written because an earlier one of the request was not accepted.
const NotTried table.Outcome = "not-tried"

// WriteResult is the result for one record of a request.
type WriteResult struct {
	schema.Key
	Version camphorhinge.Version `json:"version"`
	table.Result
	// Unknown lists fields that this version does not support; they are stored unchanged.
	Unknown []string `json:"unknown,omitempty"`
	// Changes lists the fields that a dry run would change.
	Changes []schema.Difference `json:"changes,omitempty"`
}

// WriteBody is the JSON body of the response to a write; Error is set unless all records were accepted.
type WriteBody struct {
	Dry     bool          `json:"dry,omitempty"`
	Results []WriteResult `json:"results,omitempty"`
	Error   *Error        `json:"error,omitempty"`
}

// Withdrawal is the JSON body of a request to withdraw a record.
type Withdrawal struct {
	schema.Key
	Version camphorhinge.Version `json:"version"`
}

// RecordBody is the JSON of one record.
type RecordBody struct {
	schema.Key
	table.Write
	// Document is the record as written; it is omitted in lists and after a withdrawal.
	Document string `json:"document,omitempty"`
	// Undecoded is the reason for which this version cannot decode the document, or empty.
	Undecoded string `json:"undecoded,omitempty"`
	// History holds the retained writes in ascending order of version; it is omitted in lists.
	History []table.Write `json:"history,omitempty"`
}

// RecordsBody is the JSON body of a list of records.
type RecordsBody struct {
	Revision camphorhinge.Revision `json:"revision"`
	Records  []RecordBody          `json:"records"`
}

// ExplainBody is the JSON body of the response to an explain request.
type ExplainBody struct {
	Decisions []camphorhinge.Decision `json:"decisions"`
}
