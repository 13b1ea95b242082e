package schema

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"example.org/camphorhinge"
)

const (
	wantName = "a name of at most 63 lower-case letters, digits, '.', '_' and '-' that starts with a letter or digit"
	wantKind = "one of adapter, model, service, workspace"
)

// validName reports whether the text is a valid name of a record, model or adapter.
func validName(text string) bool {
	if len(text) == 0 || len(text) > MaxNameBytes {
		return false
	}
	for i := range len(text) {
		c := text[i]
		alnum := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}

// ValidKey reports whether the kind is one of Kinds and the name is valid.
func ValidKey(key Key) bool { return slices.Contains(Kinds(), key.Kind) && validName(key.Name) }

// Decode parses and validates one document. An error of KindInvalid wraps a Faults with all faults of the document.
func Decode(raw []byte) (*Document, error) {
	tree, err := parse(raw)
	if err != nil {
		return nil, err
	}
	text, err := canonicalJSON(tree)
	if err != nil {
		return nil, err
	}
	result := &validation{}
	top := newFields("", tree, result)
	doc := &Document{Raw: slices.Clone(raw), Digest: digest(text)}
	if doc.Schema, err = decodeSchemaVersion(top); err != nil {
		return nil, err
	}
	doc.Kind = Kind(top.text("kind", wantKind, true, func(s string) bool { return slices.Contains(Kinds(), Kind(s)) }))
	doc.Name = top.text("name", wantName, true, validName)
	if _, ok := top.get("version"); !ok {
		top.addFault("version", "a whole number from 1")
	}
	doc.Version = camphorhinge.Version(top.integer("version", 1, math.MaxInt64, 0))
	spec := top.object("spec", "a mapping", true)
	switch doc.Kind {
	case KindService:
		doc.Service = decodeService(spec, doc.Schema, doc.Name)
	case KindModel:
		doc.Model = decodeModel(spec, doc.Schema, doc.Name)
	case KindAdapter:
		doc.Adapter = decodeAdapter(spec, doc.Schema, doc.Name)
	case KindWorkspace:
		doc.Workspace = decodeWorkspace(spec, doc.Schema, doc.Name)
	}
	top.recordUnknown()
	if len(result.faults) > 0 {
		return nil, &Error{Op: "decode", Kind: KindInvalid, Err: result.faults}
	}
	slices.Sort(result.unknown)
	doc.Unknown = result.unknown
	return doc, nil
}

// decodeSchemaVersion returns the schema version. An unsupported version is an immediate error, because the fields of
// its documents can't be validated.
func decodeSchemaVersion(top *fields) (int, error) {
	want := fmt.Sprintf("a schema version from %d to %d", MinSchema, MaxSchema)
	v, ok := top.get("schema")
	if !ok {
		return 0, &Error{Op: "decode", Kind: KindInvalid, Err: Faults{{Field: "schema", Want: want}}}
	}
	n, _ := v.(json.Number)
	i, err := n.Int64()
	if err != nil || i < MinSchema || i > MaxSchema {
		return 0, &Error{Op: "decode", Kind: KindUnknownSchema, Err: Faults{{Field: "schema", Want: want, Got: shorten(v)}}}
	}
	return int(i), nil
}

// DecodeAll decodes all documents of a YAML stream, or one JSON document. Its error wraps the faults of all documents;
// a duplicate record is a fault.
func DecodeAll(stream []byte) ([]*Document, error) {
	parts, err := Split(stream)
	if err != nil {
		return nil, err
	}
	if len(parts) == 0 {
		return nil, &Error{Op: "decode", Kind: KindSyntax, Err: errors.New("the input contains no document")}
	}
	var docs []*Document
	var faults Faults
	kind := KindInvalid
	seen := map[Key]int{}
	for i, part := range parts {
		doc, err := Decode(part)
		if err != nil {
			found := faultsOf(err)
			if len(found) == 0 {
				found = Faults{{Field: "document", Want: "a readable record", Got: err.Error()}}
			}
			var schemaErr *Error
			if len(parts) == 1 && errors.As(err, &schemaErr) {
				kind = schemaErr.Kind
			}
			for _, fault := range found {
				fault.Document = i + 1
				faults = append(faults, fault)
			}
			continue
		}
		if first, dup := seen[doc.Key]; dup {
			faults = append(faults, Fault{
				Document: i + 1, Field: "name", Want: fmt.Sprintf("each record once, %s is also document %d", doc.Key, first),
			})
			continue
		}
		seen[doc.Key] = i + 1
		docs = append(docs, doc)
	}
	if len(faults) > 0 {
		return nil, &Error{Op: "decode", Kind: kind, Err: faults}
	}
	return docs, nil
}

// faultsOf returns the faults that an error wraps, or nil.
func faultsOf(err error) Faults {
	var faults Faults
	errors.As(err, &faults)
	return faults
}

func matcher(pattern string) func(string) bool { return regexp.MustCompile(pattern).MatchString }
