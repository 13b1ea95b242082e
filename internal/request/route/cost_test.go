package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// Guards against running sums that drift from the flights that they sum up: a target would then look idle or busy for ever.
func TestSumsFollowFlights(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &targetState{incarnation: 1}
		var open []*inFlight
		now, taken := camphorhinge.Instant(time.Second), camphorhinge.Instant(0)
		for range 500 {
			now += camphorhinge.Instant(rng.IntN(3)) // Several events may fall on one instant.
			switch k := rng.IntN(10); {
			case k < 4:
				f := &inFlight{sentAt: now, tokens: camphorhinge.Tokens(rng.IntN(4000)), blocks: camphorhinge.Blocks(rng.IntN(5))}
				s.startAttempt(f)
				open = append(open, f)
			case k < 8 && len(open) > 0:
				i := rng.IntN(len(open))
				s.endAttempt(open[i], now)
				open = append(open[:i], open[i+1:]...)
			case k == 8:
				taken = now - camphorhinge.Instant(rng.IntN(5))
			case rng.IntN(20) == 0:
				s.incarnation++
				s.inFlight, s.corrections = nil, loadCorrection{} // What Router.state does; open flights of the old incarnation still end.
			}
			load := camphorhinge.Load{Running: 100, Tokens: 1e6, FreeBlocks: 1000}
			got := s.currentLoad(load, taken, 3)
			s.recount(taken)
			want := s.currentLoad(load, taken, 3)
			require.Equal(t, want.running, got.running, "seed %d", seed)
			require.Equal(t, want.free, got.free, "seed %d", seed)
			require.InDelta(t, want.tokens, got.tokens, 1e-3, "seed %d", seed)
		}
	}
}
