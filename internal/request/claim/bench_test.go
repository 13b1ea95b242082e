package claim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// newFilledMachine returns a machine with n completed claims like those of a plain service: a body of 150 bytes and
// three headers.
func newFilledMachine(b *testing.B, n int) *Machine {
	b.Helper()
	m := NewMachine()
	apply := func(i int, c command) {
		data, err := json.Marshal(c)
		require.NoError(b, err)
		m.Apply(camphorhinge.Entry{Stamp: int64(i)}, data)
	}
	for i := range n {
		key := Key{Workspace: "guias", Service: "pedidos-app", Key: uuid.NewString()}
		token := uuid.NewString()
		digest := DigestOf(http.MethodPost, "/deposits", []byte(key.Key))
		apply(i, command{
			Op: opClaim, Key: key, Token: token, Node: "n1", Digest: digest[:],
			TimeLeft: 10_000, Retention: (24 * time.Hour).Milliseconds(),
		})
		apply(i, command{Op: opComplete, Key: key, Token: token, Retention: (24 * time.Hour).Milliseconds(), Answer: &Answer{
			Status: http.StatusOK, Body: make([]byte, 150),
			Header: http.Header{"Content-Type": {"application/json"}, "Date": {"Fri, 04 Dec 2026 04:30:00 GMT"}, "Server": {"pedidos"}},
		}})
	}
	require.Equal(b, n, m.Len())
	return m
}

// BenchmarkSnapshot measures the encoding of the stored claims and the memory that they use.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := newFilledMachine(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var size int
			for b.Loop() {
				data, err := m.Snapshot()
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/claim-stored")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/claim-heap")
		})
	}
}

// BenchmarkFreeze measures the copying of the stored claims, the only part of a snapshot that delays applying entries.
func BenchmarkFreeze(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newFilledMachine(b, n)
			for b.Loop() {
				m.Freeze()
			}
		})
	}
}
