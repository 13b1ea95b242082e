package frontend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestOutputTokens checks the number of output tokens of buffered answers. If it were not read, the role policy would
// get no output from services whose callers don't stream.
func TestOutputTokens(t *testing.T) {
	tests := []struct {
		name, answer string
		want         camphorhinge.Tokens
	}{
		{name: "stated", answer: `{"choices":[{"text":"a"}],"usage":{"prompt_tokens":3,"completion_tokens":12}}`, want: 12},
		{name: "not stated", answer: `{"choices":[]}`},
		{name: "negative", answer: `{"usage":{"completion_tokens":-5}}`},
		{name: "not JSON", answer: `12`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, outputTokens([]byte(tt.answer)))
		})
	}
}
