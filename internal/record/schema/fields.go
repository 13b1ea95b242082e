package schema

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// validation collects what the validation of one document finds.
type validation struct {
	faults  Faults
	unknown []string
}

func (f *validation) addFault(field, want string, got any) {
	text := ""
	if got != nil {
		text = shorten(got)
	}
	f.faults = append(f.faults, Fault{Field: field, Want: want, Got: text})
}

// shorten returns a value as text of at most 64 bytes for a message.
func shorten(v any) string {
	const limit = 64
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprintf("%T", v)
	}
	if len(text) > limit {
		return strings.ToValidUTF8(string(text[:limit]), "") + "..."
	}
	return string(text)
}

// fields reads the fields of one mapping. Null counts as missing. After a fault its methods return a zero value, so
// that the validation goes on and reports all faults.
type fields struct {
	path   string
	values map[string]any
	known  map[string]bool
	result *validation
}

func newFields(path string, m map[string]any, f *validation) *fields {
	return &fields{path: path, values: m, known: map[string]bool{}, result: f}
}

func (s *fields) fieldPath(name string) string {
	if s.path == "" {
		return name
	}
	return s.path + "." + name
}

func (s *fields) addFault(name, want string) {
	s.result.addFault(s.fieldPath(name), want, s.values[name])
}

// get returns the value of a field and marks the field as known.
func (s *fields) get(name string) (any, bool) {
	s.known[name] = true
	v, ok := s.values[name]
	return v, ok && v != nil
}

func (s *fields) text(name, want string, required bool, valid func(string) bool) string {
	v, ok := s.get(name)
	if !ok {
		if required {
			s.addFault(name, want)
		}
		return ""
	}
	text, isText := v.(string)
	if !isText {
		s.addFault(name, want+quoteHint(v))
		return ""
	}
	if !valid(text) {
		s.addFault(name, want)
		return ""
	}
	return text
}

// quoteHint explains why a plain word of YAML is no string: no, on and 04:30 are read as booleans and numbers.
func quoteHint(v any) string {
	switch v.(type) {
	case bool, json.Number:
		return ", in quotes"
	}
	return ""
}

func (s *fields) integer(name string, least, most, otherwise int64) int64 {
	v, ok := s.get(name)
	if !ok {
		return otherwise
	}
	n, isNumber := v.(json.Number)
	i, err := n.Int64()
	if !isNumber || err != nil || i < least || i > most {
		s.addFault(name, fmt.Sprintf("a whole number from %d to %d", least, most))
		return otherwise
	}
	return i
}

func (s *fields) float(name string, otherwise float64) float64 {
	v, ok := s.get(name)
	if !ok {
		return otherwise
	}
	n, isNumber := v.(json.Number)
	x, err := n.Float64()
	if !isNumber || err != nil || x < 0 || math.IsInf(x, 0) || x > 1e12 {
		s.addFault(name, "a number from 0 to 1e12")
		return otherwise
	}
	return x
}

func (s *fields) boolean(name string) bool {
	v, ok := s.get(name)
	if !ok {
		return false
	}
	b, isBool := v.(bool)
	if !isBool {
		s.addFault(name, "true or false")
	}
	return b
}

// object returns the fields of a nested mapping; it is empty when the field is missing.
func (s *fields) object(name, want string, required bool) *fields {
	v, ok := s.get(name)
	if !ok && required {
		s.addFault(name, want)
	}
	m, isMap := v.(map[string]any)
	if ok && !isMap {
		s.addFault(name, want)
	}
	return newFields(s.fieldPath(name), m, s.result)
}

// list returns the entries of a list; each is checked by the caller.
func (s *fields) list(name, want string, required bool) []any {
	v, ok := s.get(name)
	if !ok {
		if required {
			s.addFault(name, want)
		}
		return nil
	}
	list, isList := v.([]any)
	if !isList || len(list) > MaxListEntries || required && len(list) == 0 {
		s.addFault(name, fmt.Sprintf("%s, at most %d", want, MaxListEntries))
		return nil
	}
	return list
}

// textList returns a list of distinct strings.
func (s *fields) textList(name, want, each string, required bool, valid func(string) bool) []string {
	list := s.list(name, want, required)
	var out []string
	for i, v := range list {
		text, ok := v.(string)
		path := s.fieldPath(name) + "[" + strconv.Itoa(i) + "]"
		switch {
		case !ok || !valid(text):
			s.result.addFault(path, each+quoteHint(v), v)
		case slices.Contains(out, text):
			s.result.addFault(path, "each entry once", v)
		default:
			out = append(out, text)
		}
	}
	return out
}

// recordUnknown notes the fields that were not read.
func (s *fields) recordUnknown() {
	for name := range s.values {
		if !s.known[name] {
			s.result.unknown = append(s.result.unknown, s.fieldPath(name))
		}
	}
}
