package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"sigs.k8s.io/yaml"
)

// Change sets or removes one field of a document.
type Change struct {
	// Field is the path of the field through mappings, such as spec.weigh.goodput.
	Field string
	// Value is the new value, which encoding/json must be able to encode; nil removes the field.
	Value any
}

// Rewrite returns the document with the changes applied and all other fields preserved, including unknown fields and
// documents of unknown schema versions. Comments and the order of fields in YAML are lost. JSON input gives JSON
// output. The result is validated unless its schema version is unknown.
func Rewrite(raw []byte, changes []Change) ([]byte, error) {
	tree, err := parse(raw)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		if err := setField(tree, c); err != nil {
			return nil, err
		}
	}
	out, err := canonicalJSON(tree)
	if err != nil {
		return nil, err
	}
	if !isJSON(raw) {
		if out, err = yaml.JSONToYAML(out); err != nil {
			return nil, &Error{Op: "rewrite", Kind: KindSyntax, Err: err}
		}
	}
	var schemaErr *Error
	if _, err := Decode(out); errors.As(err, &schemaErr) && schemaErr.Kind != KindUnknownSchema {
		return nil, err
	}
	return out, nil
}

// setField applies one change to the tree and creates the mappings on the path to a new value.
func setField(tree map[string]any, c Change) error {
	parts := strings.Split(c.Field, ".")
	for i, part := range parts[:len(parts)-1] {
		next, ok := tree[part]
		if !ok || next == nil {
			if c.Value == nil {
				return nil
			}
			next = map[string]any{}
			tree[part] = next
		}
		if tree, ok = next.(map[string]any); !ok {
			path := strings.Join(parts[:i+1], ".")
			return &Error{Op: "rewrite", Kind: KindInvalid, Err: Faults{{Field: path, Want: "a mapping", Got: shorten(next)}}}
		}
	}
	last := parts[len(parts)-1]
	if c.Value == nil {
		delete(tree, last)
		return nil
	}
	text, err := json.Marshal(c.Value)
	if err == nil {
		d := json.NewDecoder(bytes.NewReader(text))
		d.UseNumber()
		tree[last], err = decodeValue(d, 0)
	}
	if err != nil {
		return &Error{Op: "rewrite", Kind: KindInvalid, Err: fmt.Errorf("%s: %w", c.Field, err)}
	}
	return nil
}

// Difference is a field whose value differs between two documents.
type Difference struct {
	Field string `json:"field"`
	// From and To are JSON; they are empty where the field is missing.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns the differences between two documents, sorted by field path. An empty document counts as one without
// fields.
func Diff(from, to []byte) ([]Difference, error) {
	var flat [2]map[string]string
	for i, raw := range [][]byte{from, to} {
		flat[i] = map[string]string{}
		if len(raw) == 0 {
			continue
		}
		tree, err := parse(raw)
		if err != nil {
			return nil, err
		}
		flatten("", tree, flat[i])
	}
	var out []Difference
	for field, before := range flat[0] {
		if after := flat[1][field]; after != before {
			out = append(out, Difference{Field: field, From: before, To: after})
		}
	}
	for field, after := range flat[1] {
		if _, ok := flat[0][field]; !ok {
			out = append(out, Difference{Field: field, To: after})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return strings.Compare(a.Field, b.Field) })
	return out, nil
}

// flatten stores the JSON of each leaf of a mapping in out, by path; a list is a leaf.
func flatten(path string, v any, out map[string]string) {
	m, ok := v.(map[string]any)
	if !ok {
		text, err := json.Marshal(v)
		if err == nil {
			out[path] = string(text)
		}
		return
	}
	for key, inner := range m {
		next := key
		if path != "" {
			next = path + "." + key
		}
		flatten(next, inner, out)
	}
}
