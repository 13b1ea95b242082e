package site

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const (
	// limitWindow is the span in which a limit is checked, and toldFor how long an entry node must have known of it.
	limitWindow = 4 * time.Second
	toldFor     = 500 * time.Millisecond
)

// TestStatedLimit guards against an engine in trouble that gets more requests than the limit that it states in its answers,
// summed over all entry nodes, and against a limit that stays in force after the engine no longer states it.
func TestStatedLimit(t *testing.T) {
	forEachDisturbance(t, checkStatedLimit)
}

func checkStatedLimit(t *testing.T, d disturbance, seed uint64) {
	t.Helper()
	const from, length = 8 * time.Second, 32 * time.Second
	s := New(Config{Entries: 24, Cores: 5, Prefill: 4, Decode: 4})
	defer func() { require.NoError(t, s.Close()) }()
	// All engines that generate state one, and one of those that only prefill.
	limits := map[int]float64{0: 2, 4: 2.5, 5: 3.25, 6: 0.5, 7: 4}
	time.Sleep(3 * time.Second)
	began := time.Now()
	var g errgroup.Group
	out := d.start(t, s, &g)
	g.Go(func() error {
		time.Sleep(from)
		for i, limit := range limits {
			s.SetTrouble(i, Trouble{Limit: limit})
		}
		time.Sleep(length - from)
		for i := range limits {
			s.SetTrouble(i, Trouble{})
		}
		return nil
	})
	load := &traffic{site: s, length: length + 10*time.Second, crashFrom: 2 * length, interval: 25 * time.Millisecond, seed: seed}
	load.run()
	require.NoError(t, g.Wait())

	for i, limit := range limits {
		var counted []time.Time
		for _, a := range s.Arrivals() {
			if !strings.HasPrefix(string(a.Target), s.engines[i].address+"-") {
				continue
			}
			at := a.At.Sub(began)
			if at > from+contact && at < length && a.Told >= toldFor && out.inTouch(a.Entry, a.At) {
				counted = append(counted, a.At)
			}
		}
		most := 0
		for j, end := range counted {
			n := 0
			for _, at := range counted[:j+1] {
				if end.Sub(at) < limitWindow {
					n++
				}
			}
			most = max(most, n)
		}
		allowed := 1.5*limit*limitWindow.Seconds() + 5
		require.LessOrEqual(t, float64(most), allowed, "engine %d states a limit of %g a second", i, limit)
	}
	before, n := load.servedShare(began, began.Add(from-time.Second))
	require.GreaterOrEqual(t, n, 20)
	meanwhile, n := load.servedShare(began.Add(from+contact), began.Add(length-time.Second))
	require.GreaterOrEqual(t, meanwhile*float64(n), (2.5+3.25+0.5+4)/2*(length-from-contact-time.Second).Seconds(), "served while limits are stated")
	after, n := load.servedShare(began.Add(length+contact), began.Add(load.length))
	require.GreaterOrEqual(t, n, 20)
	require.GreaterOrEqual(t, after, before/2, "served when no limit is stated any more")
}
