package prefix

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestHashesAreStable guards against hashes that differ between versions of nodes and engines, so that a cache event
// would match no prefix.
func TestHashesAreStable(t *testing.T) {
	prompt := strings.Repeat("x", 2*blockBytes)
	require.Equal(t, []uint64{0x76a250526b9fd957, 0x71009fd50f574d46}, Hashes("m", "a", prompt, 8))
}

// TestHashesFollowThePrefix guards against equal hashes of different prefixes, which would send requests to an engine
// that has another prompt cached, and against different hashes of equal prefixes, which would miss the cache.
func TestHashesFollowThePrefix(t *testing.T) {
	block := func(s string) string { return strings.Repeat(s, blockBytes/len(s)) }
	base := Hashes("m", "a", block("1234")+block("5678"), 8)
	require.Len(t, base, 2)
	tests := []struct {
		name    string
		model   camphorhinge.ModelName
		adapter camphorhinge.AdapterName
		prompt  string
		limit   int
		// common is the number of leading hashes equal to those of base, length the total number.
		common, length int
	}{
		{"equal", "m", "a", block("1234") + block("5678"), 8, 2, 2},
		{"part of a block more", "m", "a", block("1234") + block("5678") + "9", 8, 2, 2},
		{"a block more", "m", "a", block("1234") + block("5678") + block("1234"), 8, 2, 3},
		{"one byte short of a block", "m", "a", (block("1234") + block("5678"))[:2*blockBytes-1], 8, 1, 1},
		{"other second block", "m", "a", block("1234") + block("5679"), 8, 1, 2},
		{"other first block", "m", "a", block("1235") + block("5678"), 8, 0, 2},
		{"blocks swapped", "m", "a", block("5678") + block("1234"), 8, 0, 2},
		{"first byte differs", "m", "a", "x" + (block("1234") + block("5678"))[1:], 8, 0, 2},
		{"other model", "n", "a", block("1234") + block("5678"), 8, 0, 2},
		{"other adapter", "m", "", block("1234") + block("5678"), 8, 0, 2},
		{"letter moved from adapter to model", "ma", "", block("1234") + block("5678"), 8, 0, 2},
		{"limit", "m", "a", block("1234") + block("5678"), 1, 1, 1},
		{"no limit left", "m", "a", block("1234"), 0, 0, 0},
		{"shorter than a block", "m", "a", "1234", 8, 0, 0},
		{"empty", "m", "a", "", 8, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Hashes(tt.model, tt.adapter, tt.prompt, tt.limit)
			require.Len(t, got, tt.length)
			for i, h := range got {
				if i < tt.common {
					require.Equal(t, base[i], h, "block %d", i)
				} else {
					require.NotContains(t, base, h, "block %d", i)
				}
			}
		})
	}
}

// TestTokens guards against a prompt that is estimated at 0 tokens, and checks the rounding.
func TestTokens(t *testing.T) {
	for _, tt := range []struct {
		bytes int
		want  camphorhinge.Tokens
	}{{0, 1}, {1, 1}, {BytesPerToken, 1}, {BytesPerToken + 1, 2}, {blockBytes, camphorhinge.BlockTokens}} {
		require.Equal(t, tt.want, Tokens(strings.Repeat("x", tt.bytes)), "%d bytes", tt.bytes)
	}
}
