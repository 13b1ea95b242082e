package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlacementAtScale guards against a core node that can't place the requests of a large site in the time that entry nodes
// wait for it: they then place at several core nodes, none of which has a record of the whole work.
func TestPlacementAtScale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Entries: 295, Cores: 5, Prefill: 180, Decode: 60, Busy: true, PrefillTime: 230 * time.Millisecond})
		defer func() { require.NoError(t, s.Close()) }()
		time.Sleep(3 * time.Second)
		load := &traffic{site: s, length: 4 * time.Second, crashFrom: time.Hour, private: 7, interval: time.Second / 1000}
		load.run()
		var placed []uint64
		for _, c := range s.cores {
			placed = append(placed, c.scheduler.Considered())
		}
		served, n := load.servedShare(time.Time{}, time.Now())
		t.Logf("served %.3f of %d; targets considered by core node %v", served, n, placed)
		require.GreaterOrEqual(t, served, 0.99)
		require.Equal(t, []uint64{0, 0, 0, 0}, placed[1:], "other core nodes than the first one placed requests")
	})
}
