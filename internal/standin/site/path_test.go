package site

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// TestLostPathsToEngines guards against entry nodes that can't reach engines, while callers and core nodes reach them, and
// that fail the requests of their callers: from contact after the cut on they must serve at least two thirds as often as
// the others.
func TestLostPathsToEngines(t *testing.T) {
	const (
		// from and to are when the paths are cut and restored.
		from, to = 5 * time.Second, 20 * time.Second
		entries  = 24
	)
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8}
	for _, tc := range []struct {
		name string
		loss Loss
		// cut is the number of entry nodes that lose the paths to the engines.
		cut     int
		engines []int
		// disturb happens meanwhile.
		disturb func(s *Site)
	}{
		{"silent", Silent, 8, all, nil},
		{"reset", Reset, 8, all, nil},
		{"refused", Refused, 8, all, nil},
		{"most nodes", Silent, 20, all, nil},
		{"some engines", Silent, 8, []int{0, 2, 4, 5, 6}, nil},
		{"all engines that generate", Refused, 8, []int{4, 5, 6, 7, 8}, nil},
		{"core nodes restart", Silent, 8, all, func(s *Site) {
			for i := range s.cores {
				time.Sleep(2 * time.Second)
				s.RestartCore(i)
			}
		}},
		{"new leaders", Silent, 8, all, func(s *Site) {
			for i := range 8 {
				time.Sleep(1300 * time.Millisecond)
				s.Lead((i + 1) % len(s.cores))
			}
		}},
		{"a core node freezes", Silent, 8, all, func(s *Site) {
			time.Sleep(4 * time.Second)
			s.CutCore(1)
			time.Sleep(6 * time.Second)
			s.HealCore(1)
		}},
	} {
		for seed := range *seedCount {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := New(Config{Entries: entries, Cores: 5, Prefill: 4, Decode: 5})
					defer func() { require.NoError(t, s.Close()) }()
					time.Sleep(3 * time.Second)
					began := time.Now()
					var g errgroup.Group
					g.Go(func() error {
						time.Sleep(from)
						for i := range tc.cut {
							s.CutPaths(i, tc.loss, tc.engines...)
						}
						healed := time.NewTimer(to - from)
						if tc.disturb != nil {
							tc.disturb(s)
						}
						<-healed.C
						for i := range tc.cut {
							s.HealPaths(i)
						}
						return nil
					})
					load := &traffic{site: s, length: to + 5*time.Second, crashFrom: time.Hour, interval: 20 * time.Millisecond, seed: seed}
					load.run()
					require.NoError(t, g.Wait())

					served, sent := map[bool]int{}, map[bool]int{}
					for _, x := range load.sent {
						if at := x.at.Sub(began); at < from+contact || at >= to {
							continue
						}
						cut := x.entry < tc.cut
						sent[cut]++
						if x.served {
							served[cut]++
						}
					}
					t.Logf("served %d of %d where paths are cut, %d of %d elsewhere", served[true], sent[true], served[false], sent[false])
					require.GreaterOrEqual(t, sent[true], 20)
					require.GreaterOrEqual(t, float64(served[true])/float64(sent[true]), float64(served[false])/float64(sent[false])*2/3)
				})
			})
		}
	}
}
