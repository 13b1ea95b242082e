package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/camphorhinge"
)

// TestSharesAddUp guards against exceeding or wasting a limit: the shares of nodes with the same reports and the even
// shares that partitioned nodes fall back to add up to exactly the limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 1e6).Draw(t, "limit")
		demand := rapid.SliceOfN(rapid.Float64Range(0, 1e4), 1, 12).Draw(t, "demand of the connected nodes")
		partitioned := rapid.IntRange(0, 5).Draw(t, "partitioned nodes")
		all, sum := 0.0, 0.0
		for _, d := range demand {
			all += d
		}
		nodes := len(demand) + partitioned
		for _, d := range demand {
			s := nodeShare(limit, d, max(0, all-d), nodes, len(demand)-1)
			require.GreaterOrEqual(t, s, evenFraction*limit/float64(nodes)*(1-1e-9))
			sum += s
		}
		for range partitioned {
			sum += nodeShare(limit, 5, 0, nodes, 0)
		}
		require.InEpsilon(t, limit, sum, 1e-9)
	})
}

// mesh is a set of nodes that serve one workspace. Priorities 0 to 4 share one bucket, 5 to 9 another.
type mesh struct {
	now         camphorhinge.Instant
	limit       Limit
	partitioned map[int]bool
	nodes       []*Admission
	reports     []*Reports
	seq         uint64
	counts      []int
}

func (m *mesh) Now() camphorhinge.Instant { return m.now }

func (m *mesh) Limit(_ camphorhinge.WorkspaceName, p camphorhinge.Priority) (camphorhinge.Priority, Limit) {
	return p / 5 * 5, m.limit
}

func newMesh(nodes int, limit Limit) *mesh {
	m := &mesh{limit: limit, partitioned: map[int]bool{}, counts: make([]int, nodes)}
	for range nodes {
		r := NewReports(m, func() int { return nodes })
		m.reports = append(m.reports, r)
		m.nodes = append(m.nodes, New(Config{Clock: m, Limits: m, Peers: r, Metrics: metrics.NewSet(), Seed: 1}))
	}
	return m
}

// run sends requests to each node at random times with a mean rate of perSecond, and exchanges reports every second. It
// returns the admitted requests per second of each node.
func (m *mesh) run(rng *rand.Rand, seconds int, perSecond []float64, priority func() camphorhinge.Priority) []float64 {
	const tick = 10 * time.Millisecond
	clear(m.counts)
	for range seconds {
		for range time.Second / tick {
			m.now = m.now.Add(tick)
			for i, rate := range perSecond {
				if rng.Float64() >= rate*tick.Seconds() {
					continue
				}
				if release, refusal := m.nodes[i].Admit(newRequest(priority(), 10, 0)); refusal == nil {
					m.counts[i]++
					release()
				}
			}
		}
		m.seq++
		for i, a := range m.nodes {
			for j, r := range m.reports {
				if i != j && m.partitioned[i] == m.partitioned[j] && !m.partitioned[i] {
					r.Add(Report{Node: camphorhinge.NodeID(fmt.Sprint(i)), Start: 1, Seq: m.seq, Demands: a.Demands()})
				}
			}
		}
	}
	out := make([]float64, len(m.counts))
	for i, n := range m.counts {
		out[i] = float64(n) / float64(seconds)
	}
	return out
}

func sum(rates []float64) float64 {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	return total
}

// TestMesh checks the rate of a workspace over all nodes: nearly its full limit whichever nodes its callers use, no
// more than that when priorities share a bucket, and the even share on a partitioned node.
func TestMesh(t *testing.T) {
	const seed = 11
	five := func() camphorhinge.Priority { return 5 }
	// The shares are exact when all nodes hold the same reports. The margin covers reports that are up to a second old.
	const least, most = 0.9, 1.05

	t.Run("all callers use one node", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newMesh(7, Limit{Requests: 20})
		demand := []float64{0, 0, 60, 0, 0, 0, 0}
		m.run(rng, 5, demand, five)
		got := m.run(rng, 60, demand, five)
		require.GreaterOrEqual(t, sum(got), least*20, "seed %d", seed)
		require.LessOrEqual(t, sum(got), most*20, "seed %d", seed)
	})
	t.Run("uneven", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newMesh(4, Limit{Requests: 20})
		demand := []float64{40, 20, 10, 5}
		m.run(rng, 30, demand, five)
		got := m.run(rng, 120, demand, five)
		require.GreaterOrEqual(t, sum(got), least*20, "seed %d: %v", seed, got)
		require.LessOrEqual(t, sum(got), most*20, "seed %d: %v", seed, got)
		require.Greater(t, got[0], got[2], "seed %d", seed)
	})
	t.Run("few requests", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newMesh(7, Limit{Requests: 0.2})
		demand := []float64{0.15, 0.15, 0.14, 0.14, 0.14, 0.14, 0.14}
		m.run(rng, 30, demand, five)
		require.LessOrEqual(t, sum(m.run(rng, 1000, demand, five)), most*0.2, "seed %d", seed)
	})
	t.Run("priorities share a bucket", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newMesh(2, Limit{Requests: 20})
		demand := []float64{30, 30}
		low := func() camphorhinge.Priority { return camphorhinge.Priority(rng.IntN(5)) }
		m.run(rng, 30, demand, low)
		require.LessOrEqual(t, sum(m.run(rng, 120, demand, low)), most*20, "seed %d", seed)
		all := func() camphorhinge.Priority { return camphorhinge.Priority(rng.IntN(10)) }
		m.run(rng, 30, demand, all)
		got := sum(m.run(rng, 120, demand, all))
		require.GreaterOrEqual(t, got, least*2*20, "seed %d", seed)
		require.LessOrEqual(t, got, most*2*20, "seed %d", seed)
	})
	t.Run("a node is partitioned", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newMesh(4, Limit{Requests: 20})
		demand := []float64{60, 0, 0, 0}
		m.run(rng, 10, demand, five)
		m.partitioned[0] = true
		m.run(rng, int(ReportExpiry/time.Second), demand, five)
		require.InDelta(t, 20.0/4, sum(m.run(rng, 60, demand, five)), 0.25, "seed %d", seed)
		m.partitioned = map[int]bool{}
		m.run(rng, 5, demand, five)
		require.GreaterOrEqual(t, sum(m.run(rng, 60, demand, five)), least*20, "seed %d", seed)
	})
}

// TestReportsAdd checks which report of a node is used: the latest by sequence number, not by arrival, and none that is
// expired or malformed.
func TestReportsAdd(t *testing.T) {
	report := func(start, seq uint64, age time.Duration, requests float64) Report {
		return Report{Node: "b", Start: start, Seq: seq, Age: age, Demands: []Demand{{Workspace: "w", Bucket: 5, Requests: requests}}}
	}
	tests := []struct {
		name      string
		reports   []Report
		later     time.Duration
		want      float64
		reporters int
	}{
		{name: "none"},
		{name: "one", reports: []Report{report(1, 1, 0, 8)}, want: 8, reporters: 1},
		{name: "late", reports: []Report{report(1, 2, 0, 8), report(1, 1, 0, 9)}, want: 8, reporters: 1},
		{name: "restarted", reports: []Report{report(1, 7, 0, 8), report(2, 1, 0, 9)}, want: 9, reporters: 1},
		{name: "expired", reports: []Report{report(1, 1, 0, 8)}, later: ReportExpiry},
		{name: "expired by its age", reports: []Report{report(1, 1, time.Second, 8)}, later: ReportExpiry - time.Second},
		{name: "too old on arrival", reports: []Report{report(1, 1, 0, 8), report(1, 2, ReportExpiry, 9)}, want: 8, reporters: 1},
		{name: "negative", reports: []Report{report(1, 1, 0, -8)}, reporters: 1},
		{name: "not a number", reports: []Report{report(1, 1, 0, math.NaN())}, reporters: 1},
		{name: "without the bucket", reports: []Report{{Node: "b", Seq: 1}}, reporters: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &fixture{now: camphorhinge.Instant(time.Hour)}
			r := NewReports(w, func() int { return 2 })
			for _, report := range tt.reports {
				r.Add(report)
			}
			w.now = w.now.Add(tt.later)
			others, reporters := r.Demand("w", 5)
			require.Equal(t, Limit{Requests: tt.want}, others)
			require.Equal(t, tt.reporters, reporters)
		})
	}
}

// TestDemandsAreBounded guards against unbounded reports: a report has at most MaxDemands buckets, those with the
// greatest use of their limits.
func TestDemandsAreBounded(t *testing.T) {
	w := &fixture{nodes: 1, limit: Limit{Requests: 100}}
	a := w.admission(0)
	for i := range 2 * MaxDemands {
		for range 1 + i%2 {
			req := newRequest(5, 1, 0)
			req.Workspace = camphorhinge.WorkspaceName(fmt.Sprint(i))
			_, refusal := a.Admit(req)
			require.Nil(t, refusal)
		}
	}
	got := a.Demands()
	require.Len(t, got, MaxDemands)
	for _, d := range got {
		require.InDelta(t, 2/demandTimeConstant.Seconds(), d.Requests, 1e-9)
	}
	w.now = w.now.Add(time.Minute)
	require.Empty(t, a.Demands(), "decayed demand must not be reported")
}
