package table

import (
	"encoding/json"
	"fmt"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// KindCorrupt marks a command, result, change or snapshot that can't be encoded or decoded.
	KindCorrupt ErrorKind = "corrupt"
	// KindGap marks changes that do not start right after the mirror's revision or are not consecutive.
	KindGap ErrorKind = "gap"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("table: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Command writes or withdraws one record.
type Command struct {
	schema.Key
	Version camphorhinge.Version `json:"version"`
	// Withdraw replaces the record with a tombstone; Digest and Raw are then empty.
	Withdraw bool          `json:"withdraw,omitempty"`
	Digest   schema.Digest `json:"digest,omitempty"`
	Raw      []byte        `json:"raw,omitempty"`
}

// WriteCommand returns the command that writes a decoded document.
func WriteCommand(doc *schema.Document) Command {
	return Command{Key: doc.Key, Version: doc.Version, Digest: doc.Digest, Raw: doc.Raw}
}

// WithdrawCommand returns the command that withdraws a record.
func WithdrawCommand(key schema.Key, version camphorhinge.Version) Command {
	return Command{Key: key, Version: version, Withdraw: true}
}

// Encode returns the payload of a log entry of kind camphorhinge.CommandRecord.
func (c Command) Encode() ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, &Error{Op: "encode command", Kind: KindCorrupt, Err: err}
	}
	return text, nil
}

// Outcome classifies the result of a command.
type Outcome string

const (
	// Accepted marks a write that took effect at Result.Revision.
	Accepted Outcome = "accepted"
	// Conflict marks a write whose version was already used or superseded by Result.Winner.
	Conflict Outcome = "conflict"
	// Absent marks the withdrawal of a record that never existed.
	Absent Outcome = "absent"
	// Refused marks a malformed command.
	Refused Outcome = "refused"
)

// Write describes an accepted write.
type Write struct {
	Version  camphorhinge.Version  `json:"version"`
	Digest   schema.Digest         `json:"digest,omitempty"`
	Withdraw bool                  `json:"withdraw,omitempty"`
	Revision camphorhinge.Revision `json:"revision"`
	// Time is the cluster time at which the write was committed, in milliseconds since the Unix epoch.
	Time int64 `json:"time"`
}

// Result is the result of a Command.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the revision of the accepted write, or the table's current revision for any other outcome.
	Revision camphorhinge.Revision `json:"revision"`
	// Repeated is true when the same write was already accepted earlier.
	Repeated bool `json:"repeated,omitempty"`
	// Winner is the accepted write that caused a conflict: the one with the same version if it is still in the history,
	// otherwise the latest one.
	Winner *Write `json:"winner,omitempty"`
	// Message is the reason for a refusal.
	Message string `json:"message,omitempty"`
}

// DecodeResult decodes a result returned by Table.Apply.
func DecodeResult(encoded []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(encoded, &r); err != nil {
		return Result{}, &Error{Op: "decode result", Kind: KindCorrupt, Err: err}
	}
	return r, nil
}

func (r Result) encode() []byte {
	// Marshal can't fail on a Result, which holds only strings, numbers and booleans.
	text, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return text
}

// Change is one accepted write as it is distributed to nodes.
type Change struct {
	schema.Key
	Write
	Raw []byte `json:"raw,omitempty"`
}

// Changes is an update that brings a node from one revision to a later one.
type Changes struct {
	// Full is true when Changes contains all records, which replace those of the node.
	Full bool
	// Revision is the revision of the node after the update.
	Revision camphorhinge.Revision
	// Changes contains encoded values of type Change, in order of revision unless Full is set.
	Changes [][]byte
}
