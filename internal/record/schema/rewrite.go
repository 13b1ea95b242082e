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
	// Value is the new value, of a type that encoding/json writes; nil removes the field.
	Value any
}

// Rewrite returns the document with the changes applied and all other fields kept, also those and the schemas that
// this version does not know. Comments and the order of fields in YAML are not kept. JSON stays JSON. A result of a
// known schema is validated.
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
	var own *Error
	if _, err := Decode(out); errors.As(err, &own) && own.Kind != KindUnknownSchema {
		return nil, err
	}
	return out, nil
}

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
			at := strings.Join(parts[:i+1], ".")
			return &Error{Op: "rewrite", Kind: KindInvalid, Err: Faults{{Field: at, Want: "a mapping", Got: shorten(next)}}}
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

// Difference is one field that differs between two documents.
type Difference struct {
	Field string `json:"field"`
	// From and To are JSON; they are empty where the field is missing.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns the fields that differ, sorted by path. An empty document has no field.
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
	for field, was := range flat[0] {
		if is := flat[1][field]; is != was {
			out = append(out, Difference{Field: field, From: was, To: is})
		}
	}
	for field, is := range flat[1] {
		if _, ok := flat[0][field]; !ok {
			out = append(out, Difference{Field: field, To: is})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return strings.Compare(a.Field, b.Field) })
	return out, nil
}

// flatten writes each leaf of a mapping under its path; a list is a leaf.
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
