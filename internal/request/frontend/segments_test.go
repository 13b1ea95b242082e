package frontend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestSegmentFingerprints guards against prompts whose common leading blocks are counted as different segments, so that
// crashes by one of them are never put together, and against reports that grow with the length of a prompt.
func TestSegmentFingerprints(t *testing.T) {
	of := func(service camphorhinge.ServiceName, prefixes ...uint64) []camphorhinge.Fingerprint {
		j := &job{in: &inbound{service: service}, route: camphorhinge.RouteRequest{Prefixes: prefixes}}
		return j.segmentFingerprints()
	}
	a, b := of("s", 1, 2, 3), of("s", 1, 2, 4)
	require.Len(t, a, 3)
	require.Equal(t, a[:2], b[:2])
	require.NotEqual(t, a[2], b[2])
	require.NotEqual(t, a[0], of("other", 1)[0])
	require.Empty(t, of("s"))
	require.Len(t, of("s", make([]uint64, 1000)...), maxSegments)
}
