package schema

import (
	"fmt"
	"strings"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// KindSyntax marks input that is neither valid YAML nor JSON, or whose top level is not a mapping.
	KindSyntax ErrorKind = "syntax"
	// KindSize marks input that exceeds a size limit.
	KindSize ErrorKind = "size"
	// KindUnknownSchema marks a schema version outside the range MinSchema to MaxSchema.
	KindUnknownSchema ErrorKind = "unknown schema"
	// KindInvalid marks a document that fails validation; Err is normally a Faults.
	KindInvalid ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("schema: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Fault is a validation error of one field.
type Fault struct {
	// Document is the 1-based position of the document in its input, or 0 if it is not known.
	Document int `json:"document,omitempty"`
	// Field is the path of the field, such as spec.quiet[1].from.
	Field string `json:"field"`
	// Want describes the expected value.
	Want string `json:"want"`
	// Got is the actual value, shortened; it is empty for a missing field.
	Got string `json:"got,omitempty"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Document > 0 {
		fmt.Fprintf(&b, "document %d: ", f.Document)
	}
	fmt.Fprintf(&b, "%s: want %s", f.Field, f.Want)
	if f.Got != "" {
		fmt.Fprintf(&b, ", got %s", f.Got)
	}
	return b.String()
}

// Faults contains all validation errors of an input, in the order in which the fields are checked.
type Faults []Fault

// Error implements error; it formats one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
