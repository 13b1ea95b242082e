package schema

import (
	"fmt"
	"strings"
)

// ErrorKind classes the errors of this package.
type ErrorKind string

const (
	// KindSyntax marks input that is neither YAML nor JSON, or no mapping.
	KindSyntax ErrorKind = "syntax"
	// KindSize marks input over a size limit.
	KindSize ErrorKind = "size"
	// KindUnknownSchema marks a schema version outside MinSchema to MaxSchema.
	KindUnknownSchema ErrorKind = "unknown schema"
	// KindInvalid marks a document with faults; Err is a Faults.
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

// Fault is one finding of the validation.
type Fault struct {
	// Document is the position of the document in its input, from 1.
	Document int `json:"document,omitempty"`
	// Field is the path of the field, such as spec.quiet[1].from.
	Field string `json:"field"`
	// Want says what was expected.
	Want string `json:"want"`
	// Got is the value that was found, shortened; it is empty for a missing field.
	Got string `json:"got,omitempty"`
}

// String returns the fault as one line.
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

// Faults are all findings of one validation, in the order of the fields checked.
type Faults []Fault

// Error implements error, one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
