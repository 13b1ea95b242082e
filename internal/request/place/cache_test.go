package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// cacheFixture is a central Placer with one prefill engine and one decode engine.
type cacheFixture struct {
	*Placer
	live []*camphorhinge.Target
	now  camphorhinge.Instant
}

func newCacheFixture() *cacheFixture {
	r := &cacheFixture{Placer: New(Config{Central: true}), now: camphorhinge.Instant(time.Hour)}
	for i, role := range []camphorhinge.Role{camphorhinge.RolePrefill, camphorhinge.RoleDecode} {
		r.live = append(r.live, &camphorhinge.Target{Serving: true, Announcement: camphorhinge.Announcement{
			Name: []camphorhinge.TargetName{"p", "d"}[i], Service: "s", Role: role, Incarnation: 1, Slots: 64,
			Kind: camphorhinge.KindEngine, Zone: "z",
		}})
	}
	return r
}

// place starts a request with a shared and a private segment.
func (r *cacheFixture) place(shared, own uint64) *Placement {
	plan := Plan{Prefill: r.live[0], Serve: r.live[1], Expected: 500 * time.Millisecond, Uncached: 21_000}
	return r.Adopt(r.now, plan, Request{
		Service: "s", Engine: &routing.Engine{Slots: 64, CacheCapacity: 100_000, TokenBytes: 160_000, LinkMbps: 1.6e6},
		Segments: []Segment{{shared, 20_000}, {own, 1000}}, Prompt: 21_000, Output: 10, Zone: "z",
	})
}

// complete completes the prefill of a request, and the request.
func (r *cacheFixture) complete(p *Placement) {
	p.PrefillAttempt.RecordFirstEvent(r.now)
	p.PrefillAttempt.End(r.now, Served)
	p.ServeAttempt.RecordFirstEvent(r.now)
	p.ServeAttempt.End(r.now, Served)
}

// cached returns the tokens of a shared segment that are recorded as cached at the prefill engine.
func (r *cacheFixture) cached(shared uint64) camphorhinge.Tokens {
	return r.stateOf(r.now, r.live[0]).cache.cachedTokens([]Segment{{shared, 20_000}})
}

// TestRecordedCache guards against repeated prefills of shared segments when the recorded cache lacks what the engine
// has, and against far too low estimates when it lists what the engine does not have.
func TestRecordedCache(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(t *testing.T, r *cacheFixture)
		want map[uint64]camphorhinge.Tokens
	}{
		{"prefilled once, cached", func(_ *testing.T, r *cacheFixture) {
			r.complete(r.place(1, 101))
		}, map[uint64]camphorhinge.Tokens{1: 20_000}},
		{"prefill in progress", func(_ *testing.T, r *cacheFixture) {
			r.place(1, 101)
			r.now = r.now.Add(time.Minute)
		}, map[uint64]camphorhinge.Tokens{1: 0}},
		{"caller left long after the expected end", func(_ *testing.T, r *cacheFixture) {
			p := r.place(1, 101)
			r.now = r.now.Add(10 * time.Second)
			p.Close(r.now)
		}, map[uint64]camphorhinge.Tokens{1: 0}},
		{"first prefill abandoned, second one completed", func(t *testing.T, r *cacheFixture) {
			t.Helper()
			p, second := r.place(1, 101), r.place(1, 102)
			p.Close(r.now)
			require.Zero(t, r.cached(1))
			r.complete(second)
		}, map[uint64]camphorhinge.Tokens{1: 20_000}},
		{"concurrent requests with the same segment occupy memory once", func(_ *testing.T, r *cacheFixture) {
			r.complete(r.place(1, 101))
			r.complete(r.place(2, 102))
			p, q := r.place(3, 103), r.place(3, 104)
			r.complete(p)
			r.complete(q)
		}, map[uint64]camphorhinge.Tokens{1: 20_000, 2: 20_000, 3: 20_000}},
		{"least recently used first", func(_ *testing.T, r *cacheFixture) {
			for i := range uint64(6) {
				r.now = r.now.Add(time.Second)
				r.complete(r.place(i+1, i+101))
			}
		}, map[uint64]camphorhinge.Tokens{1: 0, 2: 0, 3: 20_000, 6: 20_000}},
		{"the engine reports evicted and additional segments", func(t *testing.T, r *cacheFixture) {
			t.Helper()
			r.complete(r.place(1, 101))
			r.complete(r.place(2, 102))
			requestedAt := r.now.Add(time.Second)
			r.now = requestedAt.Add(10 * time.Millisecond)
			r.complete(r.place(3, 103))
			p := r.place(4, 104)
			r.ObserveCache(r.now, requestedAt, r.live[0], []Segment{{1, 20_000}, {5, 20_000}, {4, 3000}})
			require.Zero(t, r.cached(4), "its prefill is still pending")
			r.complete(p)
		}, map[uint64]camphorhinge.Tokens{1: 20_000, 2: 0, 3: 20_000, 4: 20_000, 5: 20_000}},
		{"the engine has the beginning of a segment", func(_ *testing.T, r *cacheFixture) {
			r.complete(r.place(1, 101))
			r.ObserveCache(r.now, r.now.Add(1), r.live[0], []Segment{{1, 7000}})
		}, map[uint64]camphorhinge.Tokens{1: 7000}},
		{"the engine's memory blocks round a segment down", func(_ *testing.T, r *cacheFixture) {
			r.complete(r.place(1, 101))
			r.ObserveCache(r.now, r.now.Add(1), r.live[0], []Segment{{1, 19_984 + 8}})
		}, map[uint64]camphorhinge.Tokens{1: 20_000}},
		{"segment prefilled again after its end was evicted", func(t *testing.T, r *cacheFixture) {
			t.Helper()
			r.complete(r.place(1, 101))
			r.ObserveCache(r.now, r.now.Add(1), r.live[0], []Segment{{1, 7000}})
			p := r.place(1, 102)
			require.Zero(t, r.cached(1))
			r.complete(p)
		}, map[uint64]camphorhinge.Tokens{1: 20_000}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newCacheFixture()
			tc.do(t, r)
			for segment, n := range tc.want {
				require.Equal(t, n, r.cached(segment), "segment %d", segment)
			}
		})
	}
}
