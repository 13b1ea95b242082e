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

// stdin is the name of standard input in messages.
const stdin = "standard input"

// fileFault is a fault of a record and the file that contains it.
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

// fileFaults are the faults of all records of one call.
type fileFaults []fileFault

// Error returns the number of faults and, on a line each, the faults.
func (f fileFaults) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d faults, nothing was changed", len(f))
	for _, fault := range f {
		b.WriteString("\n  " + fault.String())
	}
	return b.String()
}

// input holds the records of the files that are given to a command.
type input struct {
	// stream holds all documents in the form in which they are sent.
	stream []byte
	// origins are the file and the position within it of each document of the stream.
	origins []fileFault
	docs    []*schema.Document
}

// readInput reads and validates the files. The names "-" and "" stand for standard input: kingpin passes "-" as "".
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

// appendDocuments appends the documents of a file to the stream; a single file is sent unchanged.
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

// faultsOfFile returns the faults in err as those of one file; an error without faults counts as one fault.
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

// locateFaults adds the file, and the position within it, to the faults that a node reported. Other errors are returned
// unchanged.
func (in *input) locateFaults(op string, err error) error {
	var clientErr *client.Error
	if !errors.As(err, &clientErr) || clientErr.Kind != client.KindRefused || len(clientErr.Faults) == 0 {
		return err
	}
	faults := make(fileFaults, len(clientErr.Faults))
	for i, f := range clientErr.Faults {
		faults[i].Fault = f
		if f.Document > 0 && f.Document <= len(in.origins) {
			faults[i].File = in.origins[f.Document-1].File
			faults[i].Document = in.origins[f.Document-1].Document
		}
	}
	return &Error{Op: op, Kind: KindRefused, Err: faults}
}
