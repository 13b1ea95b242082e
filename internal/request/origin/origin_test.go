package origin

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

const second = camphorhinge.Instant(time.Second)

// TestTable guards against an origin that is lost, outlives its time, or is replaced by that of an earlier try which arrives
// later.
func TestTable(t *testing.T) {
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	for _, tc := range []struct {
		name    string
		records []Record
		at      camphorhinge.Instant
		want    Origin
		known   bool
	}{
		{"none", nil, second, Origin{}, false},
		{"one", []Record{{7, v1, 1, 5 * second}}, 4 * second, v1, true},
		{"past its time", []Record{{7, v1, 1, 5 * second}}, 5 * second, Origin{}, false},
		{"of another stream", []Record{{8, v1, 1, 5 * second}}, second, Origin{}, false},
		{"second try", []Record{{7, v1, 1, 5 * second}, {7, v2, 2, 5 * second}}, second, v2, true},
		{"second try arrives first", []Record{{7, v2, 2, 5 * second}, {7, v1, 1, 5 * second}}, second, v2, true},
		{"continued", []Record{{7, v1, 1, 2 * second}, {7, v1, 0, 5 * second}}, 4 * second, v1, true},
		{"continued arrives first", []Record{{7, v1, 0, 5 * second}, {7, v1, 1, 2 * second}}, 4 * second, v1, true},
		{"already past", []Record{{7, v1, 1, 0}}, second, Origin{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := New(10)
			for _, r := range tc.records {
				require.Zero(t, x.Add(1, r))
			}
			x.Sweep(tc.at)
			o, ok := x.Find(tc.at, 7)
			require.Equal(t, tc.known, ok)
			require.Equal(t, tc.want, o)
			other := New(10)
			other.Add(tc.at, x.All(tc.at)...)
			copied, ok := other.Find(tc.at, 7)
			require.Equal(t, tc.known, ok)
			require.Equal(t, tc.want, copied)
		})
	}
}

// TestTableLimit guards against a table that grows without bound.
func TestTableLimit(t *testing.T) {
	x := New(3)
	for i := range 5 {
		x.Add(1, Record{Key: Key(i), Origin: Origin{"s", camphorhinge.SoftwareVersion(fmt.Sprint(i))}, Try: 1, Until: 2 * second})
	}
	require.Len(t, x.All(1), 3)
	require.Equal(t, 1, x.Add(1, Record{Key: 9, Until: second}))
	require.Zero(t, x.Add(1, Record{Key: 0, Until: 3 * second}), "a known stream needs no room")
	require.Equal(t, 1, x.Sweep(2*second))
	require.Zero(t, x.Sweep(3*second))
	require.Empty(t, x.origins)
}

// TestHistory guards against a stream without a record that is continued at the only version that is left, although another
// one was in service when it began.
func TestHistory(t *testing.T) {
	h := NewHistory(10 * second)
	h.Observe(11*second, Origin{"s", "v1"})
	h.Observe(11*second, Origin{"other", "v9"})
	for _, tc := range []struct {
		name     string
		at       camphorhinge.Instant
		within   time.Duration
		versions []camphorhinge.SoftwareVersion
		whole    bool
	}{
		{"too young", 12 * second, 5 * time.Second, []camphorhinge.SoftwareVersion{"v1"}, false},
		{"whole", 15 * second, 5 * time.Second, []camphorhinge.SoftwareVersion{"v1"}, true},
		{"left meanwhile", 20 * second, 5 * time.Second, nil, true},
		{"longer than it is kept", 20 * second, time.Hour, []camphorhinge.SoftwareVersion{"v1"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			versions, whole := h.Versions(tc.at, "s", tc.within)
			require.Equal(t, tc.versions, versions)
			require.Equal(t, tc.whole, whole)
		})
	}
	h.Observe(14*second, Origin{"s", "v2"})
	versions, _ := h.Versions(15*second, "s", 5*time.Second)
	require.ElementsMatch(t, []camphorhinge.SoftwareVersion{"v1", "v2"}, versions)
}

// BenchmarkMemory measures the memory of one record.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := New(1 << 30)
	for i := range b.N {
		x.Add(1, Record{Key: KeyOf(camphorhinge.AttemptID(fmt.Sprint(i))), Origin: Origin{"s", "v1"}, Try: 1, Until: second})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "bytes/record")
	runtime.KeepAlive(x)
}
