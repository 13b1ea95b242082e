package schema

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"strconv"
	"strings"

	"sigs.k8s.io/yaml"
)

// maxDepth is the maximum nesting depth of a document; records need 5 levels.
const maxDepth = 64

// Digest is the SHA-256 of a document's canonical JSON, in lower-case hexadecimal. It does not depend on formatting,
// comments or the order of fields.
type Digest string

// parse parses a YAML or JSON document into maps, slices, strings, booleans, nil and json.Number.
func parse(raw []byte) (map[string]any, error) {
	if len(raw) > MaxDocumentBytes {
		return nil, &Error{Op: "decode", Kind: KindSize, Err: fmt.Errorf("document of %d bytes exceeds the limit of %d", len(raw), MaxDocumentBytes)}
	}
	text := raw
	// JSON does not go through the YAML parser, which rejects tabs and surrogate pairs.
	if !isJSON(raw) {
		converted, err := yaml.YAMLToJSONStrict(raw)
		if err != nil {
			return nil, &Error{Op: "decode", Kind: KindSyntax, Err: err}
		}
		text = converted
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	v, err := decodeValue(d, 0)
	if err == nil {
		if _, end := d.Token(); !errors.Is(end, io.EOF) {
			err = errors.New("unexpected text after the end of the document")
		}
	}
	if err != nil {
		return nil, &Error{Op: "decode", Kind: KindSyntax, Err: err}
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, &Error{Op: "decode", Kind: KindSyntax, Err: errors.New("document is not a mapping with the fields schema, kind, name, version, spec")}
	}
	return m, nil
}

// isJSON reports whether the document is a JSON object. A leading brace alone is not enough: it also starts a YAML flow
// mapping.
func isJSON(raw []byte) bool {
	trimmed := bytes.TrimSpace(raw)
	return len(trimmed) > 0 && trimmed[0] == '{' && json.Valid(trimmed)
}

// decodeValue decodes one JSON value. Duplicate fields are errors; encoding/json would silently keep the last one.
func decodeValue(d *json.Decoder, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("more than %d levels of nesting", maxDepth)
	}
	token, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		m := map[string]any{}
		for d.More() {
			key, err := d.Token()
			if err != nil {
				return nil, err
			}
			name, ok := key.(string)
			if !ok {
				return nil, fmt.Errorf("field name %v is not a string", key)
			}
			if _, dup := m[name]; dup {
				return nil, fmt.Errorf("duplicate field %q", name)
			}
			if m[name], err = decodeValue(d, depth+1); err != nil {
				return nil, err
			}
		}
		_, err := d.Token()
		return m, err
	case json.Delim('['):
		list := []any{}
		for d.More() {
			v, err := decodeValue(d, depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err := d.Token()
		return list, err
	}
	if n, ok := token.(json.Number); ok {
		return canonicalNumber(n), nil
	}
	return token, nil
}

// canonicalNumber formats equal numbers identically: 1.0, 1e0 and 1 become 1. Integers keep all digits.
func canonicalNumber(n json.Number) json.Number {
	text := n.String()
	if !strings.ContainsAny(text, ".eE") {
		if i, ok := new(big.Int).SetString(text, 10); ok {
			return json.Number(i.String())
		}
		return n
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return n
	}
	// A float64 represents all integers up to 2^53 exactly.
	const exact = 1 << 53
	if f == float64(int64(f)) && f <= exact && f >= -exact {
		return json.Number(strconv.FormatInt(int64(f), 10))
	}
	return json.Number(strconv.FormatFloat(f, 'g', -1, 64))
}

// canonicalJSON encodes the tree as JSON with sorted fields and no whitespace.
func canonicalJSON(tree map[string]any) ([]byte, error) {
	text, err := json.Marshal(tree)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindSyntax, Err: err}
	}
	return text, nil
}

func digest(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(hex.EncodeToString(sum[:]))
}

// Split splits a YAML stream into documents and drops empty ones; a JSON object is returned as a single document. It
// returns an error of KindSize for more than MaxDocuments documents.
func Split(stream []byte) ([][]byte, error) {
	if isJSON(stream) {
		return [][]byte{stream}, nil
	}
	var documents [][]byte
	var current []byte
	flush := func() {
		if !isBlank(current) {
			documents = append(documents, current)
		}
		current = nil
	}
	for line := range bytes.Lines(stream) {
		text := bytes.TrimRight(line, "\r\n")
		// In YAML these markers in the first column end a document even inside a block scalar.
		switch {
		case bytes.Equal(text, []byte("---")), bytes.Equal(text, []byte("...")):
			flush()
			continue
		case bytes.HasPrefix(text, []byte("--- ")), bytes.HasPrefix(text, []byte("---\t")):
			flush()
			line = line[len("--- "):]
		}
		current = append(current, line...)
	}
	flush()
	if len(documents) > MaxDocuments {
		return nil, &Error{Op: "split", Kind: KindSize, Err: fmt.Errorf("%d documents exceed the limit of %d", len(documents), MaxDocuments)}
	}
	return documents, nil
}

// isBlank reports whether the text consists only of whitespace and comments.
func isBlank(text []byte) bool {
	for line := range bytes.Lines(text) {
		trimmed := bytes.TrimSpace(line)
		if len(trimmed) > 0 && trimmed[0] != '#' {
			return false
		}
	}
	return true
}
