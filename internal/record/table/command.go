package table

import (
	"encoding/json"
	"fmt"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
)

// ErrorKind classes the errors of this package.
type ErrorKind string

const (
	// KindCorrupt marks an encoded command, result, change or snapshot that can't be read.
	KindCorrupt ErrorKind = "corrupt"
	// KindGap marks changes that do not follow the mirror's revision.
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
	// Withdraw leaves a tombstone; Digest and Raw are empty then.
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

// Encode returns the command as bytes for camphorhinge.CommandRecord.
func (c Command) Encode() ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, &Error{Op: "encode command", Kind: KindCorrupt, Err: err}
	}
	return text, nil
}

// Outcome is what became of a command.
type Outcome string

const (
	// Accepted marks a write in force from Result.Revision on.
	Accepted Outcome = "accepted"
	// Conflict marks a write that lost against Result.Winner.
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
	// Time is the cluster's time of the write, in milliseconds since the Unix epoch.
	Time int64 `json:"time"`
}

// Result is the result of a Command.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is that of the accepted write, or the current one.
	Revision camphorhinge.Revision `json:"revision"`
	// Repeated is true when the same write had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
	// Winner is the write that a conflict lost against: that of the same version, or else the latest one.
	Winner *Write `json:"winner,omitempty"`
	// Message says why a command was refused.
	Message string `json:"message,omitempty"`
}

// DecodeResult reads the result that Table.Apply returned.
func DecodeResult(encoded []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(encoded, &r); err != nil {
		return Result{}, &Error{Op: "decode result", Kind: KindCorrupt, Err: err}
	}
	return r, nil
}

func (r Result) encode() []byte {
	// A Result holds only strings and numbers, which Marshal does not refuse.
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

// Changes are the writes that bring a node from one revision to another.
type Changes struct {
	// Full means that Changes hold all records and replace what the node has.
	Full bool
	// Revision is the one reached with the changes.
	Revision camphorhinge.Revision
	// Changes are encoded, in order.
	Changes [][]byte
}
