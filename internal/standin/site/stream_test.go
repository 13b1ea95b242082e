package site

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestCloseDelimitedStreams guards against streams that reach their callers as complete although the engine crashed: they
// have neither a length nor chunks and end with their connection.
func TestCloseDelimitedStreams(t *testing.T) {
	for seed := range *seedCount {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{Entries: 12, Cores: 3, Prefill: 3, Decode: 4})
				defer func() { require.NoError(t, s.Close()) }()
				for i := range s.allEngines() {
					s.SetTrouble(i, Trouble{CloseDelimited: true})
				}
				time.Sleep(3 * time.Second)
				random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // The traffic repeats from its seed.
				var mu sync.Mutex
				complete, broken := 0, 0
				var wg sync.WaitGroup
				for n := range 600 {
					time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
					if n%50 == 49 {
						s.Crash(random.IntN(len(s.allEngines())))
					}
					i := random.IntN(len(s.entries))
					r := Request{
						Attempt: camphorhinge.AttemptID(fmt.Sprintf("r%d", n)), Segments: []uint64{1, 2, uint64(100 + n)}, Output: 5 + random.IntN(40),
						Timeout: 4 * time.Second,
					}
					wg.Go(func() {
						answer, ok := s.Send(i, r)
						mu.Lock()
						defer mu.Unlock()
						switch {
						case !ok || answer.Aborted || answer.Status != 200:
							broken++
						case answer.Complete(r.Output):
							complete++
						default:
							t.Errorf("request %s: status %d, %q", r.Attempt, answer.Status, answer.Body)
						}
					})
				}
				wg.Wait()
				require.Greater(t, complete, 20*broken)
			})
		})
	}
}
