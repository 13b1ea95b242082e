package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestBoundHoldsInEachWindow guards the bound over every sliding window and all nodes together, while bursts of
// failures use as many extra attempts as the budget grants.
func TestBoundHoldsInEachWindow(t *testing.T) {
	const (
		nodes     = 6
		ratio     = 0.2
		allowance = 52
		window    = 10 * time.Second
		step      = 10 * time.Millisecond
		length    = 60 * time.Second
	)
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // The trial repeats from its seed.
		var all []*Budget
		for range nodes {
			all = append(all, New(Config{Ratio: ratio, Allowance: allowance, Window: window}))
		}
		var requests, extra []camphorhinge.Instant
		for at := time.Duration(0); at < length; at += step {
			now := camphorhinge.Instant(at)
			failing := int(at/(5*time.Second))%2 == 0
			for i, b := range all {
				// The load balancer distributes callers unevenly.
				if random.Float64() > 0.3/float64(i+1) {
					continue
				}
				b.RecordRequest(now, "s")
				requests = append(requests, now)
				for failing && b.TryAcquire(now, "s", nodes) {
					extra = append(extra, now)
				}
			}
		}
		require.NotEmpty(t, extra)
		for _, from := range extra {
			count := func(list []camphorhinge.Instant) (n int) {
				for _, x := range list {
					if x >= from && x < from.Add(window) {
						n++
					}
				}
				return n
			}
			require.LessOrEqual(t, float64(count(extra)), ratio*float64(count(requests))+allowance)
		}
	}
}

// TestAllowanceBuildsUpAfterStart guards against a frequently restarted node that spends the full allowance after each
// start.
func TestAllowanceBuildsUpAfterStart(t *testing.T) {
	b := New(Config{Allowance: 100, Window: 10 * time.Second, Start: camphorhinge.Instant(time.Hour)})
	taken := func(after time.Duration) (n int) {
		for b.TryAcquire(camphorhinge.Instant(time.Hour+after), "s", 1) {
			n++
		}
		return n
	}
	require.Zero(t, taken(0))
	require.Equal(t, 35, taken(5*time.Second))
	require.Equal(t, 35, taken(10*time.Second))
	require.Zero(t, taken(12*time.Second))
}
