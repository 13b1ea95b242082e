package schema

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// findings collects what the validation of one document finds.
type findings struct {
	faults  Faults
	unknown []string
}

func (f *findings) add(field, want string, got any) {
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
	path string
	m    map[string]any
	used map[string]bool
	f    *findings
}

func newFields(path string, m map[string]any, f *findings) *fields {
	return &fields{path: path, m: m, used: map[string]bool{}, f: f}
}

func (s *fields) at(name string) string {
	if s.path == "" {
		return name
	}
	return s.path + "." + name
}

func (s *fields) fault(name, want string) { s.f.add(s.at(name), want, s.m[name]) }

// get returns the value of a field and marks the field as known.
func (s *fields) get(name string) (any, bool) {
	s.used[name] = true
	v, ok := s.m[name]
	return v, ok && v != nil
}

func (s *fields) text(name, want string, required bool, valid func(string) bool) string {
	v, ok := s.get(name)
	if !ok {
		if required {
			s.fault(name, want)
		}
		return ""
	}
	text, isText := v.(string)
	if !isText {
		s.fault(name, want+quoteHint(v))
		return ""
	}
	if !valid(text) {
		s.fault(name, want)
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
		s.fault(name, fmt.Sprintf("a whole number from %d to %d", least, most))
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
		s.fault(name, "a number from 0 to 1e12")
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
		s.fault(name, "true or false")
	}
	return b
}

// object returns the fields of a nested mapping; it is empty when the field is missing.
func (s *fields) object(name, want string, required bool) *fields {
	v, ok := s.get(name)
	if !ok && required {
		s.fault(name, want)
	}
	m, isMap := v.(map[string]any)
	if ok && !isMap {
		s.fault(name, want)
	}
	return newFields(s.at(name), m, s.f)
}

// list returns the entries of a list; each is checked by the caller.
func (s *fields) list(name, want string, required bool) []any {
	v, ok := s.get(name)
	if !ok {
		if required {
			s.fault(name, want)
		}
		return nil
	}
	list, isList := v.([]any)
	if !isList || len(list) > MaxList || required && len(list) == 0 {
		s.fault(name, fmt.Sprintf("%s, at most %d", want, MaxList))
		return nil
	}
	return list
}

// texts returns a list of distinct strings.
func (s *fields) texts(name, want, each string, required bool, valid func(string) bool) []string {
	list := s.list(name, want, required)
	var out []string
	for i, v := range list {
		text, ok := v.(string)
		path := s.at(name) + "[" + strconv.Itoa(i) + "]"
		switch {
		case !ok || !valid(text):
			s.f.add(path, each+quoteHint(v), v)
		case slices.Contains(out, text):
			s.f.add(path, "each entry once", v)
		default:
			out = append(out, text)
		}
	}
	return out
}

// done notes the fields that were not read.
func (s *fields) done() {
	for name := range s.m {
		if !s.used[name] {
			s.f.unknown = append(s.f.unknown, s.at(name))
		}
	}
}
