package site

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// drainTime is the time after which a target that states that it leaves gets no requests of the entry node.
const drainTime = 2 * time.Second

// TestLeavingInAnswers guards against requests to an engine that has stated in an answer to the same entry node that it leaves,
// before the core nodes know of it.
func TestLeavingInAnswers(t *testing.T) {
	forEachDisturbance(t, func(t *testing.T, d disturbance, seed uint64) {
		checkNotice(t, d, seed, Trouble{Leaving: true}, func(a Arrival) bool { return a.Told > drainTime }, 0)
	})
}

// TestPauseInAnswers guards against requests to an engine that has refused one of the same entry node and wants none for a time.
func TestPauseInAnswers(t *testing.T) {
	const length = 4 * time.Second
	forEachDisturbance(t, func(t *testing.T, d disturbance, seed uint64) {
		within := func(a Arrival) bool { return a.Told > 500*time.Millisecond && a.Told < length }
		checkNotice(t, d, seed, Trouble{Pause: length}, within, 2)
	})
}

// TestNoticesThroughCoreNodes guards against a node that misses what engines state in answers that came through a core node, or
// that takes a connection through a core node for a way round the statement.
func TestNoticesThroughCoreNodes(t *testing.T) {
	const length = 4 * time.Second
	cut := disturbance{"paths lost", func(_ *testing.T, s *Site, _ func(int) func()) {
		time.Sleep(2 * time.Second)
		for i := range 8 {
			s.CutPaths(i, Refused, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		}
	}}
	for _, tc := range []struct {
		name    string
		trouble Trouble
		late    func(a Arrival) bool
		allowed int
	}{
		{"leaving", Trouble{Leaving: true}, func(a Arrival) bool { return a.Told > drainTime }, 0},
		{"pause", Trouble{Pause: length}, func(a Arrival) bool { return a.Told > 500*time.Millisecond && a.Told < length }, 2},
	} {
		for seed := range *seedCount {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					arrivals := checkNotice(t, cut, seed, tc.trouble, tc.late, tc.allowed)
					relayed := slices.DeleteFunc(arrivals, func(a Arrival) bool { return !a.Relayed || a.Entry >= 8 })
					require.NotEmpty(t, relayed)
				})
			})
		}
	}
}

// checkNotice plays two engines that generate and one that only prefills in trouble. Of each statement to an entry node, at most
// the given number of arrivals may be late. It returns the arrivals at these engines.
func checkNotice(t *testing.T, d disturbance, seed uint64, trouble Trouble, late func(a Arrival) bool, allowed int) []Arrival {
	t.Helper()
	const from, length = 5 * time.Second, 16 * time.Second
	s := New(Config{Entries: 24, Cores: 5, Prefill: 4, Decode: 5})
	defer func() { require.NoError(t, s.Close()) }()
	troubled := []int{0, 4, 5}
	time.Sleep(3 * time.Second)
	began := time.Now()
	var g errgroup.Group
	d.start(t, s, &g)
	g.Go(func() error {
		time.Sleep(from)
		for _, i := range troubled {
			s.SetTrouble(i, trouble)
		}
		return nil
	})
	load := &traffic{site: s, length: length, crashFrom: 2 * length, interval: 25 * time.Millisecond, seed: seed}
	load.run()
	require.NoError(t, g.Wait())

	type statement struct {
		entry, engine int
		at            time.Time
	}
	var told []Arrival
	counts := map[statement]int{}
	for _, a := range s.Arrivals() {
		i := slices.IndexFunc(troubled, func(i int) bool { return strings.HasPrefix(string(a.Target), s.engines[i].address+"-") })
		if i < 0 || a.At.Sub(began) < from {
			continue
		}
		told = append(told, a)
		if late(a) {
			counts[statement{a.Entry, troubled[i], a.At.Add(-a.Told)}]++
		}
	}
	require.GreaterOrEqual(t, len(told), 20)
	for x, n := range counts {
		require.LessOrEqual(t, n, allowed, "entry node %d, engine %d, told %v", x.entry, x.engine, x.at.Sub(began))
	}
	meanwhile, n := load.servedShare(began.Add(from+contact), began.Add(length-time.Second))
	before, _ := load.servedShare(began, began.Add(from-time.Second))
	require.GreaterOrEqual(t, n, 20)
	require.GreaterOrEqual(t, meanwhile, before/2, "served meanwhile")
	return told
}

// TestPauseOfAllEngines guards against refusals of requests whose engines all want a pause that ends well before the callers give
// up: at least half of them must be served, where callers come back once after the time that they are told.
func TestPauseOfAllEngines(t *testing.T) {
	const from, timeout = 3 * time.Second, 4 * time.Second
	for _, pause := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{Entries: 24, Cores: 5, Prefill: 4, Decode: 5})
				defer func() { require.NoError(t, s.Close()) }()
				time.Sleep(3 * time.Second)
				began := time.Now()
				setTrouble := func(x Trouble) {
					for i := 4; i < 9; i++ {
						s.SetTrouble(i, x)
					}
				}
				var wg sync.WaitGroup
				wg.Go(func() {
					time.Sleep(from)
					setTrouble(Trouble{Pause: pause})
					time.Sleep(pause)
					setTrouble(Trouble{})
				})
				random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // The traffic repeats from its seed.
				var sent, served atomic.Int64
				for n := uint64(0); time.Since(began) < from+pause; n++ {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
					r := Request{Segments: []uint64{firstSegment, 0x10000 + n}, Output: 5 + random.IntN(40)}
					entries := []int{random.IntN(24), random.IntN(24)}
					wg.Go(func() {
						meanwhile := time.Since(began) >= from
						ok := sendTwice(s, r, n, entries, timeout)
						if meanwhile {
							sent.Add(1)
						}
						if meanwhile && ok {
							served.Add(1)
						}
					})
				}
				wg.Wait()
				t.Logf("served %d of %d", served.Load(), sent.Load())
				require.GreaterOrEqual(t, sent.Load(), int64(20))
				require.GreaterOrEqual(t, 2*served.Load(), sent.Load())
			})
		})
	}
}

// sendTwice sends request n to the first of the entry nodes, and after a refusal to the second one when it says. It reports
// whether the request was served within timeout.
func sendTwice(s *Site, r Request, n uint64, entries []int, timeout time.Duration) bool {
	began := time.Now()
	for i, entry := range entries {
		r.Attempt, r.Timeout = camphorhinge.AttemptID(fmt.Sprintf("r%d-%d", n, i)), timeout-time.Since(began)
		answer, _ := s.Send(entry, r)
		if answer.Complete(r.Output) {
			return time.Since(began) <= timeout
		}
		after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		wait := time.Duration(after * float64(time.Second))
		if err != nil || time.Since(began)+wait > timeout {
			return false
		}
		time.Sleep(wait)
	}
	return false
}
