package place

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// fleet runs engines in virtual time: each reads prompts one after the other, and holds what it has read.
type fleet struct {
	now     camphorhinge.Instant
	live    []*camphorhinge.Target
	free    map[camphorhinge.TargetName]camphorhinge.Instant
	held    map[camphorhinge.TargetName]map[uint64]bool
	events  agenda
	placer  *Placer
	queue   *Queue
	engine  *routing.Engine
	results []result
	// read is the number of tokens that were read in all.
	read camphorhinge.Tokens
}

type fleetEvent struct {
	at camphorhinge.Instant
	do func()
}

// agenda is a heap of events by time.
type agenda []fleetEvent

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(fleetEvent)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// result is how one request ended.
type result struct {
	rank    int
	prompt  camphorhinge.Tokens
	session uint64
	first   time.Duration
	refused bool
	left    bool
	held    time.Duration
}

// tokensPerMs is the speed of an engine of the fleet, a little below what the Placer assumes.
var tokensPerMs = map[camphorhinge.Role]float64{camphorhinge.RolePrefill: 34, camphorhinge.RoleDecode: 14}

func newFleet(prefill, decode int, direct bool) *fleet {
	f := &fleet{
		now: camphorhinge.Instant(time.Hour), free: map[camphorhinge.TargetName]camphorhinge.Instant{},
		held: map[camphorhinge.TargetName]map[uint64]bool{}, placer: New(Config{Whole: true, Seed: 1}),
		engine: &routing.Engine{Slots: 64, CacheCapacity: 500_000, TokenBytes: 160_000, LinkMbps: 1_600_000},
	}
	for i := range prefill + decode {
		role := camphorhinge.RolePrefill
		if i >= prefill {
			role = camphorhinge.RoleDecode
		}
		name := camphorhinge.TargetName(fmt.Sprintf("e%d", i))
		f.live = append(f.live, &camphorhinge.Target{Serving: true, Announcement: camphorhinge.Announcement{
			Name: name, Role: role, Incarnation: 1, Slots: 64, Kind: camphorhinge.KindEngine, Zone: "z",
		}})
		f.held[name] = map[uint64]bool{}
	}
	if !direct {
		f.queue = NewQueue(f.placer)
	}
	return f
}

func (f *fleet) at(d time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), do})
}

// run plays the events until none is left, with a look at the queue each 5 ms, as a core node does.
func (f *fleet) run() {
	tick := f.now
	for len(f.events) > 0 {
		for f.queue != nil && tick < f.events[0].at {
			f.now, tick = tick, tick.Add(5*time.Millisecond)
			f.queue.Run(f.now)
		}
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
	}
}

// heard returns the engines, all of which have just announced themselves.
func (f *fleet) heard() []*camphorhinge.Target {
	for _, t := range f.live {
		t.Heard = f.now
	}
	return f.live
}

const (
	objective = 600 * time.Millisecond
	patience  = 2400 * time.Millisecond
)

// ask sends a request now.
func (f *fleet) ask(rank int, shared, own Part) {
	began := f.now
	r := result{rank: rank, prompt: shared.Tokens + own.Tokens, session: shared.Hash}
	req := Request{
		Service: "s", Engine: f.engine, Parts: []Part{shared, own}, Prompt: shared.Tokens + own.Tokens, Output: 20, Rank: rank,
		Due: began.Add(objective), Until: began.Add(patience),
	}
	if f.queue == nil {
		p, ok := f.placer.Place(f.now, f.heard(), req)
		if ok {
			f.serve(p, req, began, r)
		}
		return
	}
	w := &Waiting{Request: req, Live: f.heard}
	decided := false
	w.Decided = func(p *Placement, _ time.Duration) {
		decided = true
		if p == nil {
			r.refused, r.held = true, f.now.Sub(began)
			f.results = append(f.results, r)
			return
		}
		f.serve(p, req, began, r)
	}
	f.at(patience, func() {
		if !decided {
			f.queue.Remove(w)
			r.left, r.held = true, patience
			f.results = append(f.results, r)
		}
	})
	f.queue.Add(f.now, w)
}

// serve reads the prompt at the engine that the plan names, and generates for 150 ms.
func (f *fleet) serve(p *Placement, req Request, began camphorhinge.Instant, r result) {
	reader, flight := p.Serve, p.Server
	if p.Prefill != nil {
		reader, flight = p.Prefill, p.Reader
	}
	unread := req.Prompt
	for _, part := range req.Parts {
		at := f.held[reader.Name][part.Hash] || p.Fetch != nil && f.held[p.Fetch.Name][part.Hash]
		if !at {
			break
		}
		unread -= part.Tokens
	}
	f.read += unread
	took := time.Duration(float64(max(unread, 1)) / tokensPerMs[reader.Role] * float64(time.Millisecond))
	done := max(f.free[reader.Name], f.now).Add(took + 5*time.Millisecond)
	f.free[reader.Name] = done
	for _, part := range req.Parts {
		f.held[reader.Name][part.Hash] = true
	}
	f.at(done.Sub(f.now), func() {
		flight.First(f.now)
		if p.Reader != nil {
			p.Reader.End(f.now, Served)
			p.Server.First(f.now)
			for _, part := range req.Parts {
				f.held[p.Serve.Name][part.Hash] = true
			}
		}
		r.first = f.now.Sub(began)
		r.left = r.first > patience
		f.results = append(f.results, r)
		f.at(150*time.Millisecond, func() {
			p.Server.End(f.now, Served)
			p.Close(f.now)
		})
	})
}

// share returns the share of the results for which ok holds, among those that are counted.
func share(rs []result, counted, ok func(result) bool) float64 {
	n, hits := 0, 0
	for _, r := range rs {
		if !counted(r) {
			continue
		}
		n++
		if ok(r) {
			hits++
		}
	}
	if n == 0 {
		return math.NaN()
	}
	return float64(hits) / float64(n)
}

func served(r result) bool { return !r.refused && !r.left }
func onTime(r result) bool { return served(r) && r.first <= objective }
func any3(result) bool     { return true }

// traffic sends requests of three ranks for some seconds: small urgent ones, and large ones that share parts.
func (f *fleet) traffic(seed uint64, length time.Duration, perSecond, subjects float64, from time.Duration) {
	random := rand.New(rand.NewPCG(seed, 7)) //nolint:gosec // The trial repeats from its seed.
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		f.at(from+at, func() {
			own := Part{Hash: random.Uint64(), Tokens: camphorhinge.Tokens(3000 * math.Exp(random.NormFloat64()*0.8))}
			subject := uint64(random.Float64() * subjects)
			switch u := random.Float64(); {
			case u < 0.45:
				f.ask(0, Part{Hash: 1_000_000 + subject, Tokens: 350}, Part{Hash: own.Hash, Tokens: own.Tokens / 3})
			case u < 0.7:
				f.ask(1, Part{Hash: 2_000_000 + subject, Tokens: 6000}, own)
			default:
				f.ask(2, Part{Hash: 3_000_000 + subject, Tokens: 13_000}, own)
			}
		})
	}
}

// TestLoadPatterns guards what callers get under the patterns of load that broke the first versions. The bounds are what is
// wanted: nobody urgent waits behind others, work goes only to callers that still wait, and a calm fleet is on time.
func TestLoadPatterns(t *testing.T) {
	for _, tc := range []struct {
		pattern string
		play    func(f *fleet, seed uint64)
		// calm is the least share on time of all, urgent that of rank 0, served the least share that is served at all.
		calm, urgent, served float64
	}{
		{
			pattern: "steady load at half of the capacity, cached parts",
			play: func(f *fleet, seed uint64) {
				f.traffic(seed, 20*time.Second, 70, 40, 0)
			},
			calm: 0.9, urgent: 0.98, served: 0.99,
		},
		{
			pattern: "cold start: no engine holds any part",
			play: func(f *fleet, seed uint64) {
				f.traffic(seed, 10*time.Second, 80, 200, 0)
			},
			calm: 0.6, urgent: 0.95, served: 0.85,
		},
		{
			pattern: "burst of twice the capacity for three seconds",
			play: func(f *fleet, seed uint64) {
				f.traffic(seed, 20*time.Second, 60, 40, 0)
				f.traffic(seed+1, 3*time.Second, 160, 40, 8*time.Second)
			},
			calm: 0.6, urgent: 0.9, served: 0.8,
		},
		{
			pattern: "half of the prefill engines lost",
			play: func(f *fleet, seed uint64) {
				f.traffic(seed, 20*time.Second, 70, 40, 0)
				f.at(8*time.Second, func() {
					kept := f.live[:0:0]
					for i, e := range f.live {
						if e.Role != camphorhinge.RolePrefill || i%2 == 0 {
							kept = append(kept, e)
						}
					}
					f.live = kept
				})
			},
			calm: 0.5, urgent: 0.9, served: 0.7,
		},
	} {
		t.Run(tc.pattern, func(t *testing.T) {
			for seed := range uint64(2) {
				f := newFleet(13, 5, false)
				tc.play(f, seed)
				f.run()
				all := f.results
				urgent := func(r result) bool { return r.rank == 0 }
				require.GreaterOrEqual(t, share(all, any3, onTime), tc.calm, "seed %d: share on time", seed)
				require.GreaterOrEqual(t, share(all, urgent, onTime), tc.urgent, "seed %d: urgent share on time", seed)
				require.GreaterOrEqual(t, share(all, any3, served), tc.served, "seed %d: share served", seed)
				for rank := 1; rank < 3; rank++ {
					less := share(all, func(r result) bool { return r.rank == rank }, served)
					more := share(all, func(r result) bool { return r.rank == rank-1 }, served)
					require.GreaterOrEqual(t, more, less-0.05, "seed %d: rank %d is served less often than rank %d", seed, rank-1, rank)
				}
				// A request that was refused did not wait until its caller gave up.
				for _, r := range all {
					if r.refused {
						require.Less(t, r.held, patience, "seed %d", seed)
					}
				}
			}
		})
	}
}

// TestQueueSavesWork guards against engines that work for callers who have left: under twice the capacity, the queue serves
// more requests on time than placing each at once.
func TestQueueSavesWork(t *testing.T) {
	play := func(direct bool) float64 {
		f := newFleet(13, 5, direct)
		f.traffic(5, 10*time.Second, 200, 60, 0)
		f.run()
		return share(f.results, any3, onTime) * float64(len(f.results))
	}
	queued, direct := play(false), play(true)
	require.Greater(t, queued, 1.3*direct)
}

// TestSustainedOverload guards who waits and who is refused when twice the capacity is asked for over ten seconds.
func TestSustainedOverload(t *testing.T) {
	for seed := range uint64(2) {
		f := newFleet(13, 5, false)
		f.traffic(seed, 10*time.Second, 240, 120, 0)
		f.run()
		rank := func(n int) func(result) bool { return func(r result) bool { return r.rank == n } }
		unserved := func(r result) bool { return !served(r) }
		t.Logf("on time by rank %.2f %.2f %.2f, served %.2f %.2f %.2f, refused of unserved %.2f",
			share(f.results, rank(0), onTime), share(f.results, rank(1), onTime), share(f.results, rank(2), onTime),
			share(f.results, rank(0), served), share(f.results, rank(1), served), share(f.results, rank(2), served),
			share(f.results, unserved, func(r result) bool { return r.refused }))
		require.GreaterOrEqual(t, share(f.results, rank(0), onTime), 0.9, "seed %d: the urgent wait behind others", seed)
		require.GreaterOrEqual(t, share(f.results, rank(1), served), share(f.results, rank(2), served), "seed %d", seed)
		require.GreaterOrEqual(t, share(f.results, rank(2), served), share(f.results, any3, served)/4, "seed %d: the least urgent starve", seed)
		require.GreaterOrEqual(t, share(f.results, unserved, func(r result) bool { return r.refused }), 0.9,
			"seed %d: callers wait in vain without being told", seed)
		// The largest tenth of a rank is served at least half as often as the rank.
		for n := range 3 {
			var of []result
			for _, r := range f.results {
				if r.rank == n {
					of = append(of, r)
				}
			}
			slices.SortFunc(of, func(a, b result) int { return cmp.Compare(b.prompt, a.prompt) })
			require.GreaterOrEqual(t, share(of[:len(of)/10], any3, served), share(of, any3, served)/2, "seed %d rank %d", seed, n)
		}
	}
}

// TestSharedPartsReadOnce guards against shared parts that are read again and again: with enough memory each is read once or
// twice in all.
func TestSharedPartsReadOnce(t *testing.T) {
	f := newFleet(13, 5, false)
	f.traffic(3, 20*time.Second, 100, 60, 0)
	f.run()
	var least camphorhinge.Tokens
	seen := map[uint64]bool{}
	for _, r := range f.results {
		shared := camphorhinge.Tokens(350)
		switch r.rank {
		case 1:
			shared = 6000
		case 2:
			shared = 13_000
		}
		least += r.prompt - shared
		if !seen[r.session] {
			seen[r.session] = true
			least += shared
		}
	}
	t.Logf("%d tokens read, %d at least", f.read, least)
	require.Less(t, float64(f.read), 1.15*float64(least))
}
