package buffer

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestShares guards against one owner, or a few, that leave nothing for the others.
func TestShares(t *testing.T) {
	const limit = 1 << 20
	for _, greedy := range []int{1, 2, 4, 9} {
		p := New(Config{Name: "p", Limit: limit})
		for refused := 0; refused < greedy; {
			refused = 0
			for n := range greedy {
				if p.reserve(strconv.Itoa(n), 1<<10) != nil {
					refused++
				}
			}
		}
		least := int64(limit/(greedy+1) - 2<<10)
		require.GreaterOrEqual(t, p.owners["0"], least)
		require.NoError(t, p.reserve("other", least/2))
	}
}

// TestReadAll guards against content that is cut or not accounted for, and against memory that is not returned.
func TestReadAll(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	data := make([]byte, 3<<20)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	errBroken := errors.New("broken")
	for _, tc := range []struct {
		name string
		size int
		// length is the announced size.
		length, limit, pool int64
		// broken makes the reader fail after its content.
		broken     bool
		more, full bool
	}{
		{"empty", 0, -1, 100, 1 << 20, false, false, false},
		{"empty of known size", 0, 0, 100, 1 << 20, false, false, false},
		{"known size", 300_000, 300_000, 1 << 20, 4 << 20, false, false, false},
		{"unknown size", 300_000, -1, 1 << 20, 4 << 20, false, false, false},
		{"exactly the limit", 1 << 20, 1 << 20, 1 << 20, 8 << 20, false, false, false},
		{"exactly the limit, unknown size", 1 << 20, -1, 1 << 20, 8 << 20, false, false, false},
		{"over the limit", 1<<20 + 1, -1, 1 << 20, 8 << 20, false, true, false},
		{"over the limit, known size", 2 << 20, 2 << 20, 1 << 20, 8 << 20, false, true, false},
		{"more than announced", 300_000, 1000, 1 << 20, 4 << 20, false, false, false},
		{"broken off", 100_000, 300_000, 1 << 20, 4 << 20, true, false, false},
		{"over the memory", 3 << 20, -1, 4 << 20, 2 << 20, false, false, true},
		{"no pool", 3 << 20, -1, 4 << 20, 0, false, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p *Pool
			if tc.pool > 0 {
				p = New(Config{Name: "p", Limit: tc.pool})
			}
			b := p.Buffer("a")
			var r io.Reader = bytes.NewReader(data[:tc.size])
			if tc.broken {
				r = io.MultiReader(r, iotest.ErrReader(errBroken))
			}
			more, err := b.ReadAll(iotest.HalfReader(r), tc.length, tc.limit)
			if p != nil {
				require.Equal(t, int64(cap(b.data)), p.Held())
				require.LessOrEqual(t, p.Held(), tc.pool)
			}
			switch {
			case tc.full:
				require.True(t, IsFull(err))
			case tc.broken:
				require.ErrorIs(t, err, errBroken)
			default:
				require.NoError(t, err)
				require.Equal(t, tc.more, more)
				require.True(t, bytes.Equal(data[:min(int64(tc.size), tc.limit+1)], b.Bytes()))
			}
			b.Free()
			b.Free()
			if p != nil {
				require.Zero(t, p.Held())
				require.Empty(t, p.owners)
			}
		})
	}
}

// TestAppend guards against events that are not accounted for.
func TestAppend(t *testing.T) {
	p := New(Config{Name: "p", Limit: 100 << 10})
	b := p.Buffer("a")
	for range 3 {
		b.Reset()
		for range 20 {
			require.NoError(t, b.Append(make([]byte, 1000)))
		}
		require.Len(t, b.Bytes(), 20_000)
	}
	require.Equal(t, int64(cap(b.data)), p.Held())
	require.True(t, IsFull(b.Append(make([]byte, 60<<10))))
	require.Len(t, b.Bytes(), 20_000)
	b.Free()
	require.Zero(t, p.Held())
}

// TestReader guards against bodies that other code reads as a whole, beyond the memory for them.
func TestReader(t *testing.T) {
	p := New(Config{Name: "p", Limit: 100 << 10})
	r := p.Reader("a", io.NopCloser(bytes.NewReader(make([]byte, 10<<10))))
	data, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Len(t, data, 10<<10)
	require.Equal(t, int64(20<<10), p.Held())
	large := p.Reader("b", io.NopCloser(bytes.NewReader(make([]byte, 1<<20))))
	_, err = io.ReadAll(large)
	require.True(t, IsFull(err))
	require.NoError(t, large.Close())
	require.NoError(t, r.Close())
	require.NoError(t, r.Close())
	require.Zero(t, p.Held())
}
