package registry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// BenchmarkAnnounce decodes and accepts one renewal, as each node does for each target each second.
func BenchmarkAnnounce(b *testing.B) {
	a := camphorhinge.Announcement{
		Name: "engine-00001", Service: "asesor-lm", Address: "10.0.0.1:9000", Zone: "caribe-a", Incarnation: 1_790_000_000_000, Seq: 1,
		Kind: camphorhinge.KindEngine, Role: camphorhinge.RoleMixed, Models: []camphorhinge.ModelName{"tabla-3b"},
		Fencing: camphorhinge.FencingChecked, Orders: camphorhinge.OrdersTwoStep,
		Load: camphorhinge.Load{Running: 12, Waiting: 3, Tokens: 18_000, Blocks: 256, FreeBlocks: 200, Age: 120},
	}
	data, err := json.Marshal(a)
	require.NoError(b, err)
	r := New(Config{Clock: benchClock{time.Now()}, Metrics: metrics.NewSet()})
	b.ReportMetric(float64(len(data)), "B/announcement")
	b.ReportAllocs()
	for b.Loop() {
		got, err := Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		a.Seq++
		got.Seq = a.Seq
		if _, err := r.Announce(got, 0, false); err != nil {
			b.Fatal(err)
		}
	}
}

type benchClock struct{ start time.Time }

func (c benchClock) Now() camphorhinge.Instant { return camphorhinge.Instant(time.Since(c.start)) }
