package engine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// defaultMaxTokens is the number of output tokens of a request without max_tokens.
const defaultMaxTokens = 16

// Request is the body of a completion or a chat completion.
type Request struct {
	Model     camphorhinge.ModelName   `json:"model"`
	Adapter   camphorhinge.AdapterName `json:"adapter,omitempty"`
	Prompt    string                   `json:"prompt,omitempty"`
	Messages  []Message                `json:"messages,omitempty"`
	MaxTokens int                      `json:"max_tokens,omitempty"`
	Stream    bool                     `json:"stream,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ParseRequest decodes a body. It sets MaxTokens to its default if missing, and Prompt to the joined messages of a
// chat.
func ParseRequest(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return r, err
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	if len(r.Messages) > 0 {
		var b strings.Builder
		for _, m := range r.Messages {
			b.WriteString(m.Role + ": " + m.Content + "\n")
		}
		r.Prompt = b.String()
	}
	return r, nil
}

// Token returns output token i for a prompt: a pseudorandom word with a trailing space.
func Token(prompt string, i int) string {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail.
	_, _ = d.WriteString(prompt)
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(i))
	_, _ = d.Write(n[:])
	h := d.Sum64()
	const consonants, vowels = "bcdfglmnprstvz", "aeiou"
	word := make([]byte, 0, 7)
	for range 3 {
		word = append(word, consonants[h%uint64(len(consonants))])
		h /= uint64(len(consonants))
		word = append(word, vowels[h%uint64(len(vowels))])
		h /= uint64(len(vowels))
	}
	return string(append(word, ' '))
}

// Answer returns the full answer of n tokens to a prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// BodyKey returns the key of a request body in Counters.Runs.
func BodyKey(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }
