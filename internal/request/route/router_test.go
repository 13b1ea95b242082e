package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

type clock struct{ now camphorhinge.Instant }

func (c *clock) Now() camphorhinge.Instant { return c.now }

type live []*camphorhinge.Target

func (l live) Live(camphorhinge.ServiceName) []*camphorhinge.Target { return l }

// engine returns an idle mixed engine with a current report.
func engine(i int, c *clock) *camphorhinge.Target {
	return &camphorhinge.Target{
		Announcement: camphorhinge.Announcement{
			Name: camphorhinge.TargetName(fmt.Sprintf("e%05d", i)), Service: "asesor-lm", Zone: "a", Incarnation: 1,
			Kind: camphorhinge.KindEngine, Role: camphorhinge.RoleMixed, Models: []camphorhinge.ModelName{"m"},
			Load: camphorhinge.Load{Blocks: 256, FreeBlocks: 256},
		},
		ReportedAt: c.now, Serving: true,
	}
}

func engines(n int, c *clock) live {
	var l live
	for i := range n {
		l = append(l, engine(i, c))
	}
	return l
}

func newRouter(tb testing.TB, l camphorhinge.Targets, c *clock, seed uint64) *Router {
	tb.Helper()
	r, err := New(Config{Targets: l, Clock: c, Zone: "a", Seed: seed})
	require.NoError(tb, err)
	return r
}

var request = camphorhinge.RouteRequest{Service: "asesor-lm", Model: "m", Prompt: 8000, Output: 200}

// picks counts the choices of n picks by target.
func picks(r *Router, req camphorhinge.RouteRequest, n int) map[camphorhinge.TargetName]int {
	got := map[camphorhinge.TargetName]int{}
	for range n {
		if c, ok := r.Pick(req); ok {
			got[c.Target.Name]++
		}
	}
	return got
}

// TestPick guards against requests to ineligible targets and against unjustified preferences. Each case changes engine
// 0, which then wins or loses all picks against engine 1, or shares them with it.
func TestPick(t *testing.T) {
	type setup struct {
		c   *clock
		r   *Router
		l   live
		req *camphorhinge.RouteRequest
	}
	const (
		loses = "e00001"
		wins  = "e00000"
		both  = "both"
		none  = "none"
	)
	tests := []struct {
		name string
		set  func(s setup)
		want string
	}{
		{"equal targets share", func(setup) {}, both},
		{"not serving", func(s setup) { s.l[0].Serving = false }, loses},
		{"leaving", func(s setup) { s.l[0].Leaving = true }, loses},
		{"changing", func(s setup) { s.l[0].Busy = true }, loses},
		{"stale", func(s setup) { s.c.now = s.c.now.Add(2600 * time.Millisecond); s.l[1].ReportedAt = s.c.now }, loses},
		{"both stale", func(s setup) { s.c.now = s.c.now.Add(2600 * time.Millisecond) }, none},
		{"already failed this request", func(s setup) { s.req.Exclude = []camphorhinge.TargetName{wins} }, loses},
		{"began at the other's software version", func(s setup) {
			s.l[0].Software, s.l[1].Software = "v1", "v2"
			s.req.Software = &s.l[1].Software
		}, loses},
		{"software version is gone", func(s setup) {
			software := camphorhinge.SoftwareVersion("v3")
			s.l[0].Software, s.req.Software = "v1", &software
		}, none},
		{"model is not loaded", func(s setup) { s.l[0].Models = nil }, loses},
		{"adapter is on the other", func(s setup) {
			s.req.Adapter = "x"
			s.l[1].Adapters = []camphorhinge.AdapterName{"x"}
		}, loses},
		{"too small for the request", func(s setup) { s.l[0].Load.Blocks, s.l[0].Load.FreeBlocks = 8, 8 }, loses},
		{"longer queue", func(s setup) { s.l[0].Load.Tokens = 50_000 }, loses},
		{"no free memory", func(s setup) { s.l[0].Load.FreeBlocks = 0 }, loses},
		{"other zone without a gain", func(s setup) { s.l[0].Zone = "b" }, loses},
		{"spill to another zone", func(s setup) { s.l[0].Zone = "b"; s.l[1].Load.Tokens = 50_000 }, wins},
		{"most of a long prompt cached", func(s setup) {
			s.req.Prompt, s.req.Prefixes, s.req.Output = 100_000, []uint64{1, 2, 3}, 20
			var ev []camphorhinge.CacheEvent
			for i := range 90 {
				s.req.Prefixes = append(s.req.Prefixes, uint64(i+4))
				ev = append(ev, camphorhinge.CacheEvent{Seq: camphorhinge.Sequence(i + 1), Prefix: uint64(i + 4)})
			}
			s.l[0].Cache = camphorhinge.CacheReport{Seq: 90, Events: ev}
			s.r.ObserveCache(s.l[0])
		}, wins},
		{"short prompt cached while the reports are old", func(s setup) {
			s.req.Prefixes = []uint64{1, 2, 3, 4, 5, 6, 7}
			s.l[0].Cache = camphorhinge.CacheReport{Seq: 1, Events: []camphorhinge.CacheEvent{{Seq: 1, Prefix: 7}}}
			s.r.ObserveCache(s.l[0])
			s.c.now = s.c.now.Add(2 * time.Second)
		}, wins},
		{"longer time between tokens than estimated", func(s setup) {
			picks(s.r, *s.req, 1)
			for range 10 {
				done := s.r.StartAttempt(camphorhinge.RouteChoice{Target: s.l[0]}, *s.req)
				s.c.now = s.c.now.Add(12 * time.Second)
				done(camphorhinge.AttemptResult{Class: camphorhinge.Run, Output: 200, FirstByte: time.Second})
			}
			s.l[0].ReportedAt, s.l[1].ReportedAt = s.c.now, s.c.now
		}, loses},
		{"sent since the report", func(s setup) {
			s.c.now++
			for range 10 {
				s.r.StartAttempt(camphorhinge.RouteChoice{Target: s.l[0]}, *s.req)
			}
		}, loses},
		{"sent before the report counts once", func(s setup) {
			for range 10 {
				s.r.StartAttempt(camphorhinge.RouteChoice{Target: s.l[0]}, *s.req)
			}
		}, both},
		{"breaker open after three failures", func(s setup) {
			for range 3 {
				s.r.StartAttempt(camphorhinge.RouteChoice{Target: s.l[0]}, *s.req)(camphorhinge.AttemptResult{Failed: true})
			}
		}, loses},
		{"prefill engine hands over to a decode engine", func(s setup) {
			s.l[0].Role, s.l[1].Role = camphorhinge.RolePrefill, camphorhinge.RoleDecode
		}, wins},
		{"decode engine with a long prefill queue elsewhere", func(s setup) {
			s.l[0].Role, s.l[1].Role = camphorhinge.RoleDecode, camphorhinge.RolePrefill
			s.l[1].Load.Tokens = 50_000
		}, wins},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{now: camphorhinge.Instant(time.Hour)}
			l := engines(2, c)
			req := request
			r := newRouter(t, l, c, 7)
			tt.set(setup{c, r, l, &req})
			got := picks(r, req, 40)
			switch tt.want {
			case both:
				require.Len(t, got, 2)
			case none:
				require.Empty(t, got)
			default:
				require.Equal(t, map[camphorhinge.TargetName]int{camphorhinge.TargetName(tt.want): 40}, got)
			}
		})
	}
}

// TestPickDecode guards against a decode that is moved to a busy engine, to one without memory for the prompt, or
// without a gain, and against counting the prompt of a moved request as prefill work.
func TestPickDecode(t *testing.T) {
	c := &clock{}
	l := engines(3, c)
	l[0].Role, l[1].Role, l[2].Role = camphorhinge.RolePrefill, camphorhinge.RoleDecode, camphorhinge.RoleDecode
	r := newRouter(t, l, c, 7)
	for i := range 40 {
		if l[1].Load.Tokens = 50_000; i >= 20 {
			l[1].Load.Tokens, l[1].Load.FreeBlocks = 0, 4
		}
		got, ok := r.PickDecode(request, l[0])
		require.True(t, ok)
		require.Equal(t, l[2], got.Target)
	}
	_, ok := r.PickDecode(request, l[2])
	require.False(t, ok)
	r.StartDecodeAttempt(camphorhinge.RouteChoice{Target: l[1]}, request)
	f := r.states[l[1].Name].inFlight[0]
	require.Equal(t, []int{200, 9}, []int{int(f.tokens), int(f.blocks)}, "tokens to compute and blocks to hold")
}

// TestSlowStartAndBreaker guards against a recovered target that gets its full share at once, and against a breaker
// that admits no trial or several at once.
func TestSlowStartAndBreaker(t *testing.T) {
	c := &clock{now: camphorhinge.Instant(time.Hour)}
	l := engines(2, c)
	r := newRouter(t, l, c, 7)
	picks(r, request, 1)
	renew := func(d time.Duration) {
		c.now = c.now.Add(d)
		for _, e := range l {
			e.ReportedAt = c.now
		}
	}
	share := func() float64 { return float64(picks(r, request, 2000)[l[0].Name]) / 2000 }
	renew(time.Minute)
	require.InDelta(t, 0.5, share(), 0.05)
	l[0].Incarnation++
	require.InDelta(t, 0.05, share(), 0.03)
	renew(5 * time.Second)
	require.InDelta(t, 0.25, share(), 0.05)
	renew(5 * time.Second)
	require.InDelta(t, 0.5, share(), 0.05)

	choice := camphorhinge.RouteChoice{Target: l[0]}
	for range 3 {
		r.StartAttempt(choice, request)(camphorhinge.AttemptResult{Failed: true})
	}
	require.Zero(t, share())
	renew(minBreakerOpen)
	require.Positive(t, share())
	trial := r.StartAttempt(choice, request)
	require.Zero(t, share(), "a second trial while one is in flight")
	trial(camphorhinge.AttemptResult{Failed: true})
	renew(minBreakerOpen)
	require.Zero(t, share(), "the wait doubles after a failed trial")
	renew(minBreakerOpen)
	r.StartAttempt(choice, request)(camphorhinge.AttemptResult{Class: camphorhinge.Run, Output: 200})
	require.InDelta(t, 0.05, share(), 0.03, "a recovered target starts slowly")
}

// TestIndex guards against entries that survive missing events, events applied twice, and an index beyond its bound.
func TestIndex(t *testing.T) {
	store := func(seq camphorhinge.Sequence, prefix uint64) camphorhinge.CacheEvent {
		return camphorhinge.CacheEvent{Seq: seq, Prefix: prefix}
	}
	evict := func(seq camphorhinge.Sequence, prefix uint64) camphorhinge.CacheEvent {
		return camphorhinge.CacheEvent{Seq: seq, Prefix: prefix, Evict: true}
	}
	type step struct {
		seq         camphorhinge.Sequence
		events      []camphorhinge.CacheEvent
		incarnation camphorhinge.Incarnation
		resync      bool
		want        bool
	}
	tests := []struct {
		name   string
		steps  []step
		cached []uint64
	}{
		{"in order", []step{{seq: 2, events: []camphorhinge.CacheEvent{store(1, 10), store(2, 20)}, want: false}}, []uint64{10, 20}},
		{"repeated report", []step{
			{seq: 2, events: []camphorhinge.CacheEvent{store(1, 10), evict(2, 10)}},
			{seq: 2, events: []camphorhinge.CacheEvent{store(1, 10), evict(2, 10)}},
		}, nil},
		{"a gap drops earlier entries", []step{
			{seq: 1, events: []camphorhinge.CacheEvent{store(1, 10)}},
			{seq: 3, events: []camphorhinge.CacheEvent{store(3, 30)}, want: true},
		}, []uint64{30}},
		{"missing at the end of a report", []step{{seq: 2, events: []camphorhinge.CacheEvent{store(1, 10)}, want: true}}, []uint64{10}},
		{"full list after a gap", []step{
			{seq: 3, events: []camphorhinge.CacheEvent{store(3, 30)}, want: true},
			{seq: 4, events: []camphorhinge.CacheEvent{store(4, 10), store(4, 40)}, resync: true, want: true},
			{seq: 4, events: []camphorhinge.CacheEvent{evict(4, 10)}},
			{seq: 5, events: []camphorhinge.CacheEvent{evict(5, 40)}},
		}, []uint64{10}},
		{"full list older than the events", []step{
			{seq: 3, events: []camphorhinge.CacheEvent{store(3, 30)}, want: true},
			{seq: 2, events: []camphorhinge.CacheEvent{store(2, 10)}, resync: true, want: false},
		}, []uint64{30}},
		{"new incarnation", []step{
			{seq: 5, events: []camphorhinge.CacheEvent{store(5, 10)}, want: true},
			{seq: 1, events: []camphorhinge.CacheEvent{store(1, 50)}, incarnation: 2},
		}, []uint64{50}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{}
			e := engine(0, c)
			r := newRouter(t, live{e}, c, 1)
			for i, s := range tt.steps {
				e.Incarnation = max(1, s.incarnation)
				e.Cache = camphorhinge.CacheReport{Seq: s.seq, Events: s.events}
				got := false
				if s.resync {
					got = r.ReplaceCache(e)
				} else {
					got = r.ObserveCache(e)
				}
				require.Equal(t, s.want, got, "step %d", i)
			}
			var cached []uint64
			for _, p := range []uint64{10, 20, 30, 40, 50} {
				if r.states[e.Name].searchCachedBlocks([]uint64{p}) > 0 {
					cached = append(cached, p)
				}
			}
			require.Equal(t, tt.cached, cached)
		})
	}

	x := newIndex(100)
	s := &targetState{prefixes: map[uint64]struct{}{}}
	for i := range uint64(1000) {
		x.apply(s, camphorhinge.CacheReport{Seq: camphorhinge.Sequence(i + 1), Events: []camphorhinge.CacheEvent{store(camphorhinge.Sequence(i+1), i)}})
	}
	require.Equal(t, 100, x.pairs)
	require.Len(t, x.byPrefix, 100)
	require.LessOrEqual(t, len(x.queue), 200)
	require.Equal(t, 1, s.searchCachedBlocks([]uint64{999}))
	require.Zero(t, s.searchCachedBlocks([]uint64{899}))
}

// TestDeterministic guards against choices that depend on anything but the inputs and the seed.
func TestDeterministic(t *testing.T) {
	run := func() (names []camphorhinge.TargetName) {
		c := &clock{}
		l := engines(200, c)
		r := newRouter(t, l, c, 99)
		for i := range 300 {
			c.now = c.now.Add(time.Millisecond)
			choice, ok := r.Pick(request)
			require.True(t, ok)
			done := r.StartAttempt(choice, request)
			if i%3 == 0 {
				c.now = c.now.Add(time.Millisecond)
				done(camphorhinge.AttemptResult{Class: camphorhinge.Run, Output: camphorhinge.Tokens(i), Failed: i%7 == 0})
			}
			names = append(names, choice.Target.Name)
		}
		return names
	}
	require.Equal(t, run(), run())
}

// TestOutput guards against an output estimate that ignores the history or exceeds the limit of the request.
func TestOutput(t *testing.T) {
	c := &clock{}
	l := engines(1, c)
	r := newRouter(t, l, c, 1)
	require.Equal(t, camphorhinge.Tokens(256), r.Output("asesor-lm", 0))
	for range 50 {
		c.now++
		r.StartAttempt(camphorhinge.RouteChoice{Target: l[0]}, request)(camphorhinge.AttemptResult{Class: camphorhinge.Run, Output: 90})
	}
	require.Equal(t, camphorhinge.Tokens(90), r.Output("asesor-lm", 4000))
	require.Equal(t, camphorhinge.Tokens(50), r.Output("asesor-lm", 50))
	require.Equal(t, camphorhinge.Tokens(256), r.Output("asistente", 0))
}
