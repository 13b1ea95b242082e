package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

func plainTargets(names ...camphorhinge.TargetName) []*camphorhinge.Target {
	var out []*camphorhinge.Target
	for _, n := range names {
		out = append(out, &camphorhinge.Target{Serving: true, Announcement: camphorhinge.Announcement{
			Name: n, Service: "s", Slots: 6, Incarnation: 1, Kind: camphorhinge.KindService, Zone: "z",
		}})
	}
	return out
}

const start = camphorhinge.Instant(time.Hour)

// TestFailingTargets guards the choice of targets after failures: an unreachable target is in backoff, one that refuses
// is in a short backoff, abandoned attempts don't count, and the last remaining target is used in any case.
func TestFailingTargets(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcomes []Outcome
		// after is the time since the last outcome.
		after time.Duration
		// used is true when target a gets any of the next ten requests after that time, with b as the alternative.
		used bool
	}{
		{"fine", []Outcome{Served, Served}, 0, true},
		{"unreachable just now", []Outcome{Unreachable}, 0, false},
		{"unreachable a while ago", []Outcome{Unreachable}, initialBackoff + time.Millisecond, true},
		{"unreachable again and again", []Outcome{Unreachable, Unreachable, Unreachable}, initialBackoff + time.Millisecond, false},
		{"refused just now", []Outcome{Refused}, 0, false},
		{"another process has the address", []Outcome{AddressReused}, time.Second, false},
		{"callers disconnected", []Outcome{Abandoned, Abandoned, Abandoned}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, live := New(Config{Zone: "z", Seed: 3}), plainTargets("a", "b")
			now := start
			for _, o := range tc.outcomes {
				p.Adopt(now, Plan{Serve: live[0]}, Request{Service: "s"}).ServeAttempt.End(now, o)
			}
			now = now.Add(tc.after)
			used := false
			for range 10 {
				x, ok := p.Place(now, live, Request{Service: "s"})
				require.True(t, ok)
				used = used || x.Serve == live[0]
			}
			require.Equal(t, tc.used, used)
			x, ok := p.Place(now, live[:1], Request{Service: "s"})
			require.True(t, ok)
			require.Equal(t, live[0], x.Serve, "the last target is used")
		})
	}
}

// TestGrayFailure guards against a gray failure: a target that passes its health check but fails half of its requests
// gets trials only, and its full share again after it has recovered.
func TestGrayFailure(t *testing.T) {
	p, live := New(Config{Zone: "z", Seed: 3}), plainTargets("a", "b", "c")
	now := start
	// count places n requests and returns how many of them the first target gets, which fails half of them if bad.
	count := func(bad bool, n int) (at int) {
		for i := range n {
			now = now.Add(20 * time.Millisecond)
			x, ok := p.Place(now, live, Request{Service: "s"})
			require.True(t, ok)
			o := Served
			if x.Serve == live[0] {
				at++
				if bad && i%2 == 0 {
					o = Errored
				}
			}
			x.ServeAttempt.End(now.Add(10*time.Millisecond), o)
		}
		return at
	}
	require.Greater(t, count(false, 300), 60)
	count(true, 300)
	require.Less(t, count(true, 300), 45)
	count(false, 1500)
	require.Greater(t, count(false, 300), 60)
}

// TestNewIncarnation guards against failures of an earlier incarnation that keep a restarted target in backoff.
func TestNewIncarnation(t *testing.T) {
	p, live := New(Config{Zone: "z"}), plainTargets("a")
	p.Adopt(start, Plan{Serve: live[0]}, Request{Service: "s"}).ServeAttempt.End(start, Unreachable)
	require.Len(t, p.InBackoff(start, live), 1)
	live[0].Incarnation++
	require.Empty(t, p.InBackoff(start, live))
}

// TestHomes guards against nodes that choose different homes for the same shared segment, and against the loss of an
// engine that moves segments of other homes.
func TestHomes(t *testing.T) {
	live := plainTargets("a", "b", "c", "d", "e")
	moved := 0
	for key := range uint64(500) {
		home := homes(key, live, 1)[0]
		require.Equal(t, home, homes(key, []*camphorhinge.Target{live[3], live[1], live[4], live[0], live[2]}, 1)[0])
		if homes(key, live[:4], 1)[0] != home {
			moved++
			require.Equal(t, live[4], home)
		}
	}
	require.InDelta(t, 100, moved, 40)
}
