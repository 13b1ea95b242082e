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

// maxDepth bounds the nesting of a document; records need 5 levels.
const maxDepth = 64

// Digest is the SHA-256 of a document's canonical JSON, in lower-case hexadecimal digits. Formatting, comments and the
// order of fields don't change it.
type Digest string

// parse returns the document as maps, slices, strings, booleans and json.Number.
func parse(raw []byte) (map[string]any, error) {
	if len(raw) > MaxDocumentBytes {
		return nil, &Error{Op: "decode", Kind: KindSize, Err: fmt.Errorf("document of %d bytes, at most %d", len(raw), MaxDocumentBytes)}
	}
	text := raw
	// JSON is read as such: the YAML reader refuses tabs and surrogate pairs, which JSON allows.
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
		if _, more := d.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("text after the end of the document")
		}
	}
	if err != nil {
		return nil, &Error{Op: "decode", Kind: KindSyntax, Err: err}
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, &Error{Op: "decode", Kind: KindSyntax, Err: errors.New("want a mapping with the fields schema, kind, name, version, spec")}
	}
	return m, nil
}

// isJSON reports whether the document is a JSON object. A YAML flow mapping also starts with a brace and is no JSON.
func isJSON(raw []byte) bool {
	trimmed := bytes.TrimSpace(raw)
	return len(trimmed) > 0 && trimmed[0] == '{' && json.Valid(trimmed)
}

// decodeValue reads one JSON value and refuses duplicate fields, of which encoding/json silently keeps the last.
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
				return nil, fmt.Errorf("field name %v is no string", key)
			}
			if _, dup := m[name]; dup {
				return nil, fmt.Errorf("field %q occurs twice", name)
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

// canonicalNumber gives equal numbers an equal text: 1.0, 1e0 and 1 become 1. Integers keep all digits.
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
	// Up to 2^53 each integer is exact as a float64.
	const exact = 1 << 53
	if f == float64(int64(f)) && f <= exact && f >= -exact {
		return json.Number(strconv.FormatInt(int64(f), 10))
	}
	return json.Number(strconv.FormatFloat(f, 'g', -1, 64))
}

// canonicalJSON returns the tree as JSON with sorted fields and without spaces.
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

// Split cuts a YAML stream into its documents, without empty ones. It returns an error of KindSize for more than
// MaxDocuments documents.
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
		// YAML ends a document at these marks in the first column, even within a block scalar.
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
		return nil, &Error{Op: "split", Kind: KindSize, Err: fmt.Errorf("%d documents, at most %d", len(documents), MaxDocuments)}
	}
	return documents, nil
}

// isBlank reports whether the text holds only spaces and comments.
func isBlank(text []byte) bool {
	for line := range bytes.Lines(text) {
		trimmed := bytes.TrimSpace(line)
		if len(trimmed) > 0 && trimmed[0] != '#' {
			return false
		}
	}
	return true
}
