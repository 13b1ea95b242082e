package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// reader is one prefill engine with a decode engine behind it, and the Placer that knows all work.
type reader struct {
	*Placer
	live []*camphorhinge.Target
	now  camphorhinge.Instant
}

func newReader() *reader {
	r := &reader{Placer: New(Config{Whole: true}), now: camphorhinge.Instant(time.Hour)}
	for i, role := range []camphorhinge.Role{camphorhinge.RolePrefill, camphorhinge.RoleDecode} {
		r.live = append(r.live, &camphorhinge.Target{Serving: true, Announcement: camphorhinge.Announcement{
			Name: []camphorhinge.TargetName{"p", "d"}[i], Service: "s", Role: role, Incarnation: 1, Slots: 64,
			Kind: camphorhinge.KindEngine, Zone: "z",
		}})
	}
	return r
}

// place sends a request with a shared part and one of its own.
func (r *reader) place(shared, own uint64) *Placement {
	plan := Plan{Prefill: r.live[0], Serve: r.live[1], Expected: 500 * time.Millisecond, Unread: 21_000}
	return r.Adopt(r.now, plan, Request{
		Service: "s", Engine: &routing.Engine{Slots: 64, CacheCapacity: 100_000, TokenBytes: 160_000, LinkMbps: 1.6e6},
		Parts: []Part{{shared, 20_000}, {own, 1000}}, Prompt: 21_000, Output: 10, Zone: "z",
	})
}

// read ends the reading of a prompt, and the request.
func (r *reader) read(p *Placement) {
	p.Reader.First(r.now)
	p.Reader.End(r.now, Served)
	p.Server.First(r.now)
	p.Server.End(r.now, Served)
}

// holds returns the tokens of a shared part that the prefill engine is believed to hold.
func (r *reader) holds(shared uint64) camphorhinge.Tokens {
	return r.of(r.now, r.live[0]).cache.ready([]Part{{shared, 20_000}})
}

// TestBelievedCache guards against shared parts that are read again because an engine is believed to hold too little, and
// against estimates that are far too short because it is believed to hold what it does not.
func TestBelievedCache(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(t *testing.T, r *reader)
		want map[uint64]camphorhinge.Tokens
	}{
		{"read once, held", func(_ *testing.T, r *reader) {
			r.read(r.place(1, 101))
		}, map[uint64]camphorhinge.Tokens{1: 20_000}},
		{"being read", func(_ *testing.T, r *reader) {
			r.place(1, 101)
			r.now = r.now.Add(time.Minute)
		}, map[uint64]camphorhinge.Tokens{1: 0}},
		{"caller left long after the expected end", func(_ *testing.T, r *reader) {
			p := r.place(1, 101)
			r.now = r.now.Add(10 * time.Second)
			p.Close(r.now)
		}, map[uint64]camphorhinge.Tokens{1: 0}},
		{"first reader gave up, second one read", func(t *testing.T, r *reader) {
			t.Helper()
			p, second := r.place(1, 101), r.place(1, 102)
			p.Close(r.now)
			require.Zero(t, r.holds(1))
			r.read(second)
		}, map[uint64]camphorhinge.Tokens{1: 20_000}},
		{"requests under way fill the memory once", func(_ *testing.T, r *reader) {
			r.read(r.place(1, 101))
			r.read(r.place(2, 102))
			p, q := r.place(3, 103), r.place(3, 104)
			r.read(p)
			r.read(q)
		}, map[uint64]camphorhinge.Tokens{1: 20_000, 2: 20_000, 3: 20_000}},
		{"least recently used first", func(_ *testing.T, r *reader) {
			for i := range uint64(6) {
				r.now = r.now.Add(time.Second)
				r.read(r.place(i+1, i+101))
			}
		}, map[uint64]camphorhinge.Tokens{1: 0, 2: 0, 3: 20_000, 6: 20_000}},
		{"the engine says what it gave up and what else it holds", func(t *testing.T, r *reader) {
			t.Helper()
			r.read(r.place(1, 101))
			r.read(r.place(2, 102))
			asked := r.now.Add(time.Second)
			r.now = asked.Add(10 * time.Millisecond)
			r.read(r.place(3, 103))
			p := r.place(4, 104)
			r.Observe(r.now, asked, r.live[0], []Part{{1, 20_000}, {5, 20_000}, {4, 3000}})
			require.Zero(t, r.holds(4), "an attempt is still to bring it")
			r.read(p)
		}, map[uint64]camphorhinge.Tokens{1: 20_000, 2: 0, 3: 20_000, 4: 20_000, 5: 20_000}},
		{"the engine holds the beginning of a part", func(_ *testing.T, r *reader) {
			r.read(r.place(1, 101))
			r.Observe(r.now, r.now.Add(1), r.live[0], []Part{{1, 7000}})
		}, map[uint64]camphorhinge.Tokens{1: 7000}},
		{"the engine's memory blocks round a part down", func(_ *testing.T, r *reader) {
			r.read(r.place(1, 101))
			r.Observe(r.now, r.now.Add(1), r.live[0], []Part{{1, 19_984 + 8}})
		}, map[uint64]camphorhinge.Tokens{1: 20_000}},
		{"part read again after its end was given up", func(t *testing.T, r *reader) {
			t.Helper()
			r.read(r.place(1, 101))
			r.Observe(r.now, r.now.Add(1), r.live[0], []Part{{1, 7000}})
			p := r.place(1, 102)
			require.Zero(t, r.holds(1))
			r.read(p)
		}, map[uint64]camphorhinge.Tokens{1: 20_000}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newReader()
			tc.do(t, r)
			for part, n := range tc.want {
				require.Equal(t, n, r.holds(part), "part %d", part)
			}
		})
	}
}
