package site

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

const (
	// firstSegment begins the prompts of all requests of the traffic, and crashSegment crashes engines.
	firstSegment, crashSegment = 0xf1, 0xbad
	// crashBody is the body of a request that crashes engines.
	crashBody = "crash"
	// popularBody is the body of a sound request that many callers send.
	popularBody = "popular"
	// contact is the time after a disturbance from which a node must behave as usual again.
	contact = 3 * time.Second
	// maxAfterRefusal is the number of crashing requests that may reach engines later than contact after the crash from
	// which they must be refused.
	maxAfterRefusal = 3
)

// seedCount is the number of seeds for which each disturbance is simulated.
var seedCount = flag.Uint64("site.seeds", 2, "number of seeds for each disturbance") //nolint:gochecknoglobals // Flags are global.

// sent is a request of the traffic.
type sent struct {
	at time.Time
	// entry is the index of the entry node.
	entry int
	sound bool
	// popular is set for the request that many callers send.
	popular bool
	// served is set when the answer was complete.
	served bool
}

// traffic sends requests with the same first segment to all entry nodes that are ready: sound ones, and from crashFrom
// on crashing ones. It returns when all are answered.
type traffic struct {
	site      *Site
	length    time.Duration
	crashFrom time.Duration
	// interval and crashInterval are the mean times between two sound and two crashing requests.
	interval, crashInterval time.Duration
	// crash turns a sound request into a crashing one.
	crash func(random *rand.Rand, r *Request)
	// private is the number of further segments that only one request has.
	private int
	// popular is the share of the sound requests that are one request of many callers.
	popular float64
	seed    uint64

	mu   sync.Mutex
	sent []sent
}

func (r *traffic) run() {
	random := rand.New(rand.NewPCG(r.seed, 7)) //nolint:gosec // The traffic repeats from its seed.
	began := time.Now()
	var wg sync.WaitGroup
	n := uint64(0)
	send := func(sound bool) {
		i := random.IntN(len(r.site.entries))
		for !r.site.Ready(i) {
			i = (i + 1) % len(r.site.entries)
		}
		n++
		// Some further segments are shared by few requests, and the last one by none.
		segments := []uint64{firstSegment, 0x100 + random.Uint64N(40), 0x200 + random.Uint64N(10), 0x10000 + n}
		for i := range r.private {
			segments = append(segments, 1<<32+n*0x100+uint64(i))
		}
		request := Request{
			Attempt: camphorhinge.AttemptID(fmt.Sprintf("r%d", n)), Segments: segments, Output: 5 + random.IntN(40), Timeout: 4 * time.Second,
		}
		if !sound {
			r.crash(random, &request)
		}
		popular := sound && r.popular > 0 && random.Float64() < r.popular
		if popular {
			request.Body, request.Segments = popularBody, []uint64{firstSegment, 0x300}
			request.Caller = fmt.Sprintf("caller-%d", random.Uint64())
		}
		at := time.Now()
		wg.Go(func() {
			answer, _ := r.site.Send(i, request)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.sent = append(r.sent, sent{at: at, entry: i, sound: sound, popular: popular, served: answer.Complete(request.Output)})
		})
	}
	next, nextCrash := time.Duration(0), r.crashFrom
	for time.Since(began) < r.length {
		at := min(next, nextCrash)
		time.Sleep(at - time.Since(began))
		if nextCrash <= next {
			send(false)
			nextCrash += time.Duration(random.ExpFloat64() * float64(r.crashInterval))
		} else {
			send(true)
			next += time.Duration(random.ExpFloat64() * float64(r.interval))
		}
	}
	wg.Wait()
}

// servedShare returns the share of the sound requests sent in a span that were served, and their number.
func (r *traffic) servedShare(from, to time.Time) (share float64, n int) {
	served := 0
	for _, x := range r.sent {
		if x.sound && !x.at.Before(from) && x.at.Before(to) {
			n++
			if x.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(n, 1)), n
}

// disturbance is a fault of nodes during the traffic.
type disturbance struct {
	name string
	// run causes the fault. disturb marks an entry node as out of touch from now on, until the returned function is called.
	run func(t *testing.T, s *Site, disturb func(entry int) (end func()))
}

// start begins the disturbance in a group and returns its outages.
func (d disturbance) start(t *testing.T, s *Site, g *errgroup.Group) *outages {
	t.Helper()
	out := &outages{}
	g.Go(func() error {
		d.run(t, s, out.begin)
		return nil
	})
	return out
}

func disturbances() []disturbance {
	return []disturbance{
		{"none", func(*testing.T, *Site, func(int) func()) {}},
		{"entry nodes restart in turn", func(t *testing.T, s *Site, disturb func(int) func()) {
			t.Helper()
			for i := range s.entries {
				time.Sleep(1500 * time.Millisecond)
				end := disturb(i)
				require.NoError(t, s.RestartEntry(i))
				end()
			}
		}},
		{"entry nodes cut off from the core in turn", func(_ *testing.T, s *Site, disturb func(int) func()) {
			for i := range 6 {
				end := disturb(i)
				s.CutEntry(i)
				time.Sleep(4 * time.Second)
				s.HealEntry(i)
				end()
			}
		}},
		{"entry nodes freeze in turn", func(_ *testing.T, s *Site, disturb func(int) func()) {
			for i := range 6 {
				end := disturb(i)
				s.FreezeEntry(i)
				time.Sleep(3 * time.Second)
				s.ThawEntry(i)
				end()
				time.Sleep(time.Second)
			}
		}},
		{"new leaders", func(_ *testing.T, s *Site, _ func(int) func()) {
			for i := range 20 {
				time.Sleep(1300 * time.Millisecond)
				s.Lead((i + 1) % len(s.cores))
			}
		}},
		{"the leader is cut off before the crashes, another follows after 2 s", func(_ *testing.T, s *Site, disturb func(int) func()) {
			time.Sleep(7900 * time.Millisecond)
			var ends []func()
			for i := range s.entries {
				ends = append(ends, disturb(i))
			}
			s.CutCore(0)
			time.Sleep(2 * time.Second)
			s.Lead(1)
			for _, end := range ends {
				end()
			}
			time.Sleep(10 * time.Second)
			s.HealCore(0)
		}},
		{"no leader for eight seconds from the first crash", func(_ *testing.T, s *Site, disturb func(int) func()) {
			time.Sleep(8 * time.Second)
			var ends []func()
			for i := range s.entries {
				ends = append(ends, disturb(i))
			}
			for i := range 3 {
				s.CutCore(i)
			}
			time.Sleep(8 * time.Second)
			for i := range 3 {
				s.HealCore(i)
			}
			for _, end := range ends {
				end()
			}
		}},
		{"the placing node changes", func(_ *testing.T, s *Site, _ func(int) func()) {
			for i := range 10 {
				time.Sleep(2 * time.Second)
				s.RestartCore(i % len(s.cores))
			}
		}},
	}
}

// TestCrashingSegment guards against requests that share one segment of their prompts and nothing else, and that crash
// engine after engine: after the fifth crash they must reach no more engines, while sound requests with the same caller
// and the same first segment are served as before.
func TestCrashingSegment(t *testing.T) {
	forEachDisturbance(t, func(t *testing.T, d disturbance, seed uint64) {
		checkCrashes(t, d, seed, crashCase{
			trouble: Trouble{CrashSegment: crashSegment},
			crash: func(random *rand.Rand, r *Request) {
				r.Segments[1+random.IntN(2)] = crashSegment
			},
			crashing: func(a Arrival) bool { return slices.Contains(a.Segments, crashSegment) },
			refused:  5,
		})
	})
}

// TestCrashingRequestOfManyCallers guards against a request that comes again from one caller after the other, each time
// with the same target and body, and whose crashes are counted apart: after the third crash it must reach no more engines.
func TestCrashingRequestOfManyCallers(t *testing.T) {
	forEachDisturbance(t, func(t *testing.T, d disturbance, seed uint64) {
		checkCrashes(t, d, seed, crashCase{
			trouble: Trouble{CrashBody: crashBody},
			crash: func(random *rand.Rand, r *Request) {
				r.Body, r.Caller = crashBody, fmt.Sprintf("caller-%d", random.Uint64())
				// No segment but the first is shared with any other request.
				r.Segments = []uint64{firstSegment, random.Uint64()}
			},
			crashing: func(a Arrival) bool { return a.Body == crashBody && !a.Prefill },
			refused:  3,
		})
	})
}

// TestPopularRequestStaysServed guards against a sound request that many callers send, and that is in flight at each of
// many unrelated crashes, being refused as their cause.
func TestPopularRequestStaysServed(t *testing.T) {
	for seed := range *seedCount {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{Entries: 24, Cores: 5, Prefill: 4, Decode: 5})
				defer func() { require.NoError(t, s.Close()) }()
				time.Sleep(3 * time.Second)
				load := &traffic{
					site: s, length: 30 * time.Second, crashFrom: time.Hour, interval: 25 * time.Millisecond, popular: 0.5, seed: seed,
				}
				var g errgroup.Group
				g.Go(func() error {
					for i := range 25 {
						s.Crash(4 + i%5)
						time.Sleep(time.Second)
					}
					return nil
				})
				load.run()
				require.NoError(t, g.Wait())
				served, sent := map[bool]int{}, map[bool]int{}
				for _, x := range load.sent {
					sent[x.popular]++
					if x.served {
						served[x.popular]++
					}
				}
				t.Logf("served %d of %d popular requests, %d of %d others", served[true], sent[true], served[false], sent[false])
				require.GreaterOrEqual(t, float64(served[true])/float64(sent[true]), 0.9*float64(served[false])/float64(sent[false]))
			})
		})
	}
}

// crashCase is a kind of request that crashes engines.
type crashCase struct {
	trouble Trouble
	crash   func(random *rand.Rand, r *Request)
	// crashing reports whether an arrival is one of them.
	crashing func(Arrival) bool
	// refused is the number of crashes after which they must be refused.
	refused int
}

// forEachDisturbance runs a check in virtual time for each disturbance and seed.
func forEachDisturbance(t *testing.T, check func(t *testing.T, d disturbance, seed uint64)) {
	t.Helper()
	for _, d := range disturbances() {
		for seed := range *seedCount {
			t.Run(fmt.Sprintf("%s, seed %d", d.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { check(t, d, seed) })
			})
		}
	}
}

func checkCrashes(t *testing.T, d disturbance, seed uint64, c crashCase) {
	t.Helper()
	s := New(Config{Entries: 24, Cores: 5, Prefill: 4, Decode: 5})
	defer func() { require.NoError(t, s.Close()) }()
	for i := range s.engines {
		s.SetTrouble(i, c.trouble)
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	var g errgroup.Group
	out := d.start(t, s, &g)
	load := &traffic{
		site: s, length: 40 * time.Second, crashFrom: 8 * time.Second, interval: 30 * time.Millisecond, crashInterval: 400 * time.Millisecond,
		crash: c.crash, seed: seed,
	}
	load.run()
	require.NoError(t, g.Wait())

	crashes := s.Crashes()
	last := crashes[min(len(crashes), c.refused)-1]
	after := 0
	for _, a := range s.Arrivals() {
		if c.crashing(a) && len(crashes) >= c.refused && a.At.After(last.Add(contact)) && out.inTouch(a.Entry, a.At) {
			after++
		}
	}
	require.LessOrEqual(t, after, maxAfterRefusal, "%d engines crashed", len(crashes))
	before, n := load.servedShare(began, began.Add(load.crashFrom-time.Second))
	require.GreaterOrEqual(t, n, 20)
	since, n := load.servedShare(last.Add(2*contact), began.Add(load.length))
	require.GreaterOrEqual(t, n, 20)
	require.GreaterOrEqual(t, since, before/2, "served before: %.2f; %d engines crashed", before, len(crashes))
}

// outages records when entry nodes were disturbed.
type outages struct {
	mu    sync.Mutex
	spans map[int][]span
}

type span struct{ from, to time.Time }

// begin begins an outage of an entry node, which the returned function ends.
func (o *outages) begin(entry int) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.spans == nil {
		o.spans = map[int][]span{}
	}
	i := len(o.spans[entry])
	o.spans[entry] = append(o.spans[entry], span{from: time.Now(), to: time.Now().Add(time.Hour)})
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.spans[entry][i].to = time.Now()
	}
}

// inTouch reports whether an entry node was undisturbed for contact before a moment.
func (o *outages) inTouch(entry int, at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, x := range o.spans[entry] {
		if !at.Before(x.from) && at.Before(x.to.Add(contact)) {
			return false
		}
	}
	return true
}
