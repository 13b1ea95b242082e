package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestUplink guards the estimate of the time to send a request: it grows while the link is used and falls afterwards.
func TestUplink(t *testing.T) {
	const size = 18_000
	u, now := newUplink(10), camphorhinge.Instant(time.Hour)
	idle := u.timeFor(now, size)
	require.InDelta(t, 14.4, float64(idle)/float64(time.Millisecond), 0.1)
	for range 60 {
		now = now.Add(20 * time.Millisecond)
		u.record(now, size)
	}
	require.Greater(t, u.timeFor(now, size), 2*idle)
	require.InDelta(t, float64(idle), float64(u.timeFor(now.Add(10*time.Second), size)), float64(time.Millisecond))
	require.Zero(t, newUplink(0).timeFor(now, size))
}
