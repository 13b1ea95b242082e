package command

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"example.org/camphorhinge/internal/cli/client"
	"example.org/camphorhinge/internal/node/operator"
	"example.org/camphorhinge/internal/record/schema"
)

// stdin is the name that messages give to standard input.
const stdin = "standard input"

// fileFault is a fault with the file that it was found in.
type fileFault struct {
	File string `json:"file,omitempty"`
	schema.Fault
}

func (f fileFault) String() string {
	if f.File == "" {
		return f.Fault.String()
	}
	return f.File + ": " + f.Fault.String()
}

// fileFaults are all faults of the records of one call.
type fileFaults []fileFault

// Error implements error, one fault a line below their number.
func (f fileFaults) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d faults, nothing was changed", len(f))
	for _, one := range f {
		b.WriteString("\n  " + one.String())
	}
	return b.String()
}

// input holds the records of the files that a command names.
type input struct {
	// stream holds all documents.
	stream []byte
	// origins tell the file and the position in it of each document of the stream.
	origins []fileFault
	docs    []*schema.Document
}

// readInput reads and validates the files. The names "-" and "" stand for standard input: kingpin hands on "-" as "".
// An error of KindRefused wraps the faults of all files.
func readInput(op string, files []string) (*input, error) {
	in := &input{}
	var faults fileFaults
	seen := map[schema.Key]fileFault{}
	for _, name := range files {
		raw, name, err := readFile(name)
		if err != nil {
			return nil, &Error{Op: op, Kind: KindUsage, Err: err}
		}
		if len(raw) > operator.MaxBody {
			faults = append(faults, fileFault{name, schema.Fault{Field: "file", Want: fmt.Sprintf("at most %d bytes", operator.MaxBody)}})
			continue
		}
		docs, err := schema.DecodeAll(raw)
		if err != nil {
			faults = append(faults, faultsOfFile(name, err)...)
			continue
		}
		for i, doc := range docs {
			origin := fileFault{name, schema.Fault{Document: i + 1}}
			if first, ok := seen[doc.Key]; ok {
				origin.Field, origin.Want = "name", fmt.Sprintf("each record once, %s is also document %d of %s", doc.Key, first.Document, first.File)
				faults = append(faults, origin)
				continue
			}
			seen[doc.Key] = origin
			in.origins = append(in.origins, origin)
		}
		in.docs = append(in.docs, docs...)
		in.appendDocuments(raw)
	}
	if len(in.stream) > operator.MaxBody || len(in.origins) > schema.MaxDocuments {
		faults = append(faults, fileFault{Fault: schema.Fault{
			Field: "files", Want: fmt.Sprintf("at most %d documents and %d bytes in one call", schema.MaxDocuments, operator.MaxBody),
			Got: fmt.Sprintf("%d documents, %d bytes", len(in.origins), len(in.stream)),
		}})
	}
	if len(faults) > 0 {
		return nil, &Error{Op: op, Kind: KindRefused, Err: faults}
	}
	return in, nil
}

// appendDocuments appends the documents of a file to the stream; a single file is sent as it is.
func (in *input) appendDocuments(file []byte) {
	if len(in.stream) > 0 {
		if !bytes.HasSuffix(in.stream, []byte("\n")) {
			in.stream = append(in.stream, '\n')
		}
		in.stream = append(in.stream, "---\n"...)
	}
	in.stream = append(in.stream, file...)
}

func readFile(name string) (raw []byte, shown string, err error) {
	if name == "-" || name == "" {
		raw, err = io.ReadAll(io.LimitReader(os.Stdin, operator.MaxBody+1))
		name = stdin
	} else {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, name, fmt.Errorf("expected a readable file: %w", err)
	}
	return raw, name, nil
}

// faultsOfFile returns the faults of one file; an error without faults becomes one.
func faultsOfFile(name string, err error) fileFaults {
	var found schema.Faults
	if !errors.As(err, &found) {
		found = schema.Faults{{Field: "file", Want: "records in YAML or JSON", Got: err.Error()}}
	}
	var out fileFaults
	for _, f := range found {
		out = append(out, fileFault{name, f})
	}
	return out
}

// locateFaults gives the faults that a node found their place in the files. Other errors are returned as they are.
func (in *input) locateFaults(op string, err error) error {
	var own *client.Error
	if !errors.As(err, &own) || own.Kind != client.KindRefused || len(own.Faults) == 0 {
		return err
	}
	faults := make(fileFaults, len(own.Faults))
	for i, f := range own.Faults {
		faults[i].Fault = f
		if f.Document > 0 && f.Document <= len(in.origins) {
			faults[i].File = in.origins[f.Document-1].File
			faults[i].Document = in.origins[f.Document-1].Document
		}
	}
	return &Error{Op: op, Kind: KindRefused, Err: faults}
}
