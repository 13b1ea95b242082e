package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// BytesPerToken is the estimated number of prompt bytes per token.
const BytesPerToken = 4

// blockBytes is the estimated size in bytes of one block of prompt tokens.
const blockBytes = int(camphorhinge.BlockTokens) * BytesPerToken

// Tokens estimates the number of tokens of a prompt; it is at least 1.
func Tokens(prompt string) camphorhinge.Tokens {
	return camphorhinge.Tokens(max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken))
}

// Hashes returns one hash for each complete leading block of the prompt, shortest prefix first, and at most limit
// hashes. The hash of block n covers the model, the adapter and all bytes up to the end of block n.
func Hashes(model camphorhinge.ModelName, adapter camphorhinge.AdapterName, prompt string, limit int) []uint64 {
	n := min(len(prompt)/blockBytes, limit)
	if n <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, n)
	last := xxhash.Sum64String(string(model) + "\x00" + string(adapter))
	for i := range n {
		var d xxhash.Digest
		d.ResetWithSeed(last)
		// Writes to a Digest never fail.
		_, _ = d.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(i))
		_, _ = d.Write(size[:])
		last = d.Sum64()
		hashes = append(hashes, last)
	}
	return hashes
}
