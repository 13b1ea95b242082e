package schema

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// validation collects the faults and the unknown fields of one document.
type validation struct {
	faults  Faults
	unknown []string
}

func (v *validation) addFault(field, want string, got any) {
	text := ""
	if got != nil {
		text = shorten(got)
	}
	v.faults = append(v.faults, Fault{Field: field, Want: want, Got: text})
}

// shorten formats a value as JSON for a message, truncated after 64 bytes.
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

// fields reads the fields of one mapping. Null counts as missing. For an invalid field its methods record a fault and
// return a zero or default value, so that validation continues and reports all faults.
type fields struct {
	path   string
	values map[string]any
	known  map[string]bool
	result *validation
}

func newFields(path string, m map[string]any, result *validation) *fields {
	return &fields{path: path, values: m, known: map[string]bool{}, result: result}
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

// get returns the value of a field and marks the field as known, even if it is missing.
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

// quoteHint returns a hint for YAML values that need quotes to be strings: YAML parses no, on and 04:30 as booleans and
// numbers.
func quoteHint(v any) string {
	switch v.(type) {
	case bool, json.Number:
		return ", in quotes"
	}
	return ""
}

func (s *fields) integer(name string, lowest, highest, defaultValue int64) int64 {
	v, ok := s.get(name)
	if !ok {
		return defaultValue
	}
	n, isNumber := v.(json.Number)
	i, err := n.Int64()
	if !isNumber || err != nil || i < lowest || i > highest {
		s.addFault(name, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
		return defaultValue
	}
	return i
}

func (s *fields) float(name string, defaultValue float64) float64 {
	v, ok := s.get(name)
	if !ok {
		return defaultValue
	}
	n, isNumber := v.(json.Number)
	x, err := n.Float64()
	if !isNumber || err != nil || x < 0 || math.IsInf(x, 0) || x > 1e12 {
		s.addFault(name, "a number from 0 to 1e12")
		return defaultValue
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

// object returns the fields of a nested mapping; they are empty when the mapping is missing or invalid.
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

// list returns the entries of a list, which the caller validates.
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

// textList returns a list of distinct valid strings; want describes the list and each an entry.
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

// recordUnknown records the fields that were not read as unknown.
func (s *fields) recordUnknown() {
	for name := range s.values {
		if !s.known[name] {
			s.result.unknown = append(s.result.unknown, s.fieldPath(name))
		}
	}
}
