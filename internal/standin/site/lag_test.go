package site

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// TestLaggingNodeKeepsVersion guards against an entry node that was cut off or frozen while engines of a new software version joined,
// and then continues streams that began on these through other nodes at an engine of another version.
func TestLaggingNodeKeepsVersion(t *testing.T) {
	for _, tc := range []struct {
		name      string
		lag, heal func(s *Site)
		// healed is the time from the end of the lag to the continuations; a negative one continues streams before the end.
		healed time.Duration
	}{
		{"cut off", func(s *Site) { s.CutEntry(0) }, func(s *Site) { s.HealEntry(0) }, -time.Second},
		{"just healed", func(s *Site) { s.CutEntry(0) }, func(s *Site) { s.HealEntry(0) }, 0},
		{"healed for a while", func(s *Site) { s.CutEntry(0) }, func(s *Site) { s.HealEntry(0) }, 300 * time.Millisecond},
		{"frozen", func(s *Site) { s.FreezeEntry(0) }, func(s *Site) { s.ThawEntry(0) }, -time.Second},
		{"just thawed", func(s *Site) { s.FreezeEntry(0) }, func(s *Site) { s.ThawEntry(0) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{Entries: 4, Cores: 5, Prefill: 3, Decode: 3})
				defer func() { require.NoError(t, s.Close()) }()
				time.Sleep(3 * time.Second)
				tc.lag(s)
				for range 3 {
					s.AddEngine(camphorhinge.RoleDecode, "v2")
				}
				time.Sleep(2 * time.Second)

				// Streams that the other nodes begin are cut with these nodes.
				const output = 200
				var mu sync.Mutex
				var streams []*stream
				var wg sync.WaitGroup
				for n := range 40 {
					wg.Go(func() {
						x := &stream{id: fmt.Sprintf("r%d", n), ordered: true}
						answer, _ := s.Send(1+n%3, Request{
							Attempt: camphorhinge.AttemptID(x.id), Segments: []uint64{firstSegment, 0x1000 + uint64(n)}, Output: output, Timeout: 6 * time.Second,
						})
						x.read(answer.Body)
						mu.Lock()
						defer mu.Unlock()
						if x.got > 0 && x.got < output {
							streams = append(streams, x)
						}
					})
				}
				time.Sleep(500 * time.Millisecond)
				var g errgroup.Group
				for i := 1; i < 4; i++ {
					g.Go(func() error { return s.KillEntry(i) })
				}
				require.NoError(t, g.Wait())
				wg.Wait()
				for i := 1; i < 4; i++ {
					s.StartEntry(i)
				}
				began := map[camphorhinge.SoftwareVersion]int{}
				for _, x := range streams {
					began[x.versions[0]]++
				}
				require.Positive(t, began["v1"])
				require.Positive(t, began["v2"])

				heal := func() {
					time.Sleep(max(-tc.healed, 0))
					tc.heal(s)
				}
				if tc.healed >= 0 {
					heal()
					time.Sleep(tc.healed)
				} else {
					g.Go(func() error { heal(); return nil })
				}
				for _, x := range streams {
					wg.Go(func() {
						answer, _ := s.Send(0, Request{
							Attempt: camphorhinge.AttemptID(x.id + "-again"), Segments: []uint64{firstSegment, 0x5000}, Output: output, Timeout: 5 * time.Second,
							After: x.got, Resumes: camphorhinge.AttemptID(x.id),
						})
						x.read(answer.Body)
					})
				}
				wg.Wait()
				require.NoError(t, g.Wait())
				complete := 0
				for _, x := range streams {
					require.Len(t, x.versions, 1, "stream %s", x.id)
					if x.got == output {
						complete++
					}
				}
				t.Logf("%d streams on v1 and %d on v2 continued, %d complete", began["v1"], began["v2"], complete)
			})
		})
	}
}
