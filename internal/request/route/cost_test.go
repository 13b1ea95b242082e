package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestLoadCorrectionMatchesRecount guards against running sums that drift from the attempts they cover, which would
// make a target appear permanently idle or busy.
func TestLoadCorrectionMatchesRecount(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &targetState{incarnation: 1}
		var running []*inFlight
		now, takenAt := camphorhinge.Instant(time.Second), camphorhinge.Instant(0)
		for range 500 {
			now += camphorhinge.Instant(rng.IntN(3)) // Several events may share one instant.
			switch k := rng.IntN(10); {
			case k < 4:
				f := &inFlight{sentAt: now, tokens: camphorhinge.Tokens(rng.IntN(4000)), blocks: camphorhinge.Blocks(rng.IntN(5))}
				s.startAttempt(f)
				running = append(running, f)
			case k < 8 && len(running) > 0:
				i := rng.IntN(len(running))
				s.endAttempt(running[i], now)
				running = append(running[:i], running[i+1:]...)
			case k == 8:
				takenAt = now - camphorhinge.Instant(rng.IntN(5))
			case rng.IntN(20) == 0:
				s.incarnation++
				s.inFlight, s.corrections = nil, loadCorrection{} // As Router.stateOf does; old attempts still end.
			}
			load := camphorhinge.Load{Running: 100, Tokens: 1e6, FreeBlocks: 1000}
			got := s.currentLoad(load, takenAt, 3)
			s.recount(takenAt)
			want := s.currentLoad(load, takenAt, 3)
			require.Equal(t, want.running, got.running, "seed %d", seed)
			require.Equal(t, want.free, got.free, "seed %d", seed)
			require.InDelta(t, want.tokens, got.tokens, 1e-3, "seed %d", seed)
		}
	}
}
