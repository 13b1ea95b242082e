package tunnel

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

// TestMemoryOfRelay guards against connections that take more memory than a small core node has for them.
func TestMemoryOfRelay(t *testing.T) {
	for _, tc := range []struct {
		bytes int64
		most  int
	}{
		{0, maxTunnels},
		{10 * tunnelBytes, 10},
		{1 << 30, maxTunnels},
	} {
		require.Equal(t, tc.most, NewRelay(RelayConfig{Bytes: tc.bytes, Metrics: metrics.NewSet()}).most)
	}
}
