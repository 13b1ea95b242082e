package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/engine"
)

const (
	testEngine  = camphorhinge.TargetName("asesor-1")
	testService = camphorhinge.ServiceName("asesor-lm")
)

var errCut = errors.New("connection cut")

type mark struct {
	fence camphorhinge.Term
	seq   camphorhinge.Sequence
}

func (m mark) below(o mark) bool { return m.fence < o.fence || m.fence == o.fence && m.seq < o.seq }

// fakeEngine is the engine with the weakest promises that its kind allows: it takes an order also while it carries out
// another, and forgets its fence in a crash.
type fakeEngine struct {
	mu       sync.Mutex
	a        camphorhinge.Announcement
	seen     mark
	nonce    string
	minted   int
	anyNonce bool // takes each order: the prepare step is without effect
	changing int  // numbers the change in progress
	takes    time.Duration
	crash    int // crashes in the middle of this change, counted from 1
	taken    []engine.Order
	touched  map[camphorhinge.Term]bool
	faults   []string
	check    func() string // called with each order that is taken
}

func newFakeEngine(f camphorhinge.Fencing, p camphorhinge.OrderProtocol) *fakeEngine {
	return &fakeEngine{
		takes: 300 * time.Millisecond, touched: map[camphorhinge.Term]bool{},
		a: camphorhinge.Announcement{
			Name: testEngine, Service: testService, Kind: camphorhinge.KindEngine, Address: "e", Incarnation: 1, Revision: 1,
			Role: camphorhinge.RoleMixed, Models: []camphorhinge.ModelName{"m"}, Fencing: f, Orders: p,
		},
	}
}

func (f *fakeEngine) read() camphorhinge.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.a
}

func (f *fakeEngine) setRole(r camphorhinge.Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.a.Role = r
}

func (f *fakeEngine) refused(reason string) engine.Result {
	return engine.Result{Outcome: engine.Refused, Reason: reason, Incarnation: f.a.Incarnation, Revision: f.a.Revision}
}

func (f *fakeEngine) prepare(m mark) engine.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minted++
	f.nonce = fmt.Sprint(f.minted)
	f.touched[m.fence] = true
	return engine.Result{Outcome: engine.Done, Nonce: f.nonce}
}

func (f *fakeEngine) order(o engine.Order) engine.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := mark{o.Fence, o.Seq}
	touch := o.Role == "" && o.Models == nil && o.Adapters == nil
	switch {
	case f.a.Fencing == camphorhinge.FencingChecked:
		if m.below(f.seen) {
			return f.refused("fence")
		}
		if o.Expect == nil || o.Expect.Incarnation != f.a.Incarnation {
			return f.refused("incarnation")
		}
		f.seen = m
	case f.a.Orders == camphorhinge.OrdersConditional:
		if o.Expect == nil || *o.Expect != (engine.Expect{Incarnation: f.a.Incarnation, Revision: f.a.Revision}) {
			return f.refused("condition")
		}
	case f.a.Orders == camphorhinge.OrdersTwoStep && !f.anyNonce:
		if o.Nonce == "" || o.Nonce != f.nonce {
			return f.refused("nonce")
		}
	}
	f.a.Revision++
	if !touch && f.touched[o.Fence+1] {
		f.faults = append(f.faults, fmt.Sprintf("order (%d,%d) of a deposed controller took effect", o.Fence, o.Seq))
	}
	f.touched[o.Fence] = true
	if touch {
		return engine.Result{Outcome: engine.Done, Incarnation: f.a.Incarnation, Revision: f.a.Revision}
	}
	if f.a.Busy {
		f.faults = append(f.faults, fmt.Sprintf("order (%d,%d) taken while another is carried out", o.Fence, o.Seq))
	}
	if f.check != nil {
		if fault := f.check(); fault != "" {
			f.faults = append(f.faults, fault)
		}
	}
	f.nonce = ""
	f.taken = append(f.taken, o)
	f.a.Busy = true
	f.changing++
	f.a.Last = camphorhinge.LastOrder{Fence: o.Fence, Seq: o.Seq, State: "changing"}
	number := f.changing
	time.AfterFunc(f.takes, func() { f.finish(o, number) })
	return engine.Result{Outcome: engine.Changing, Incarnation: f.a.Incarnation, Revision: f.a.Revision}
}

// finish ends a change; the crash leaves the new role with the old models.
func (f *fakeEngine) finish(o engine.Order, number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number != f.changing {
		return
	}
	f.a.Role, f.a.Busy = o.Role, false
	if number == f.crash {
		f.a.Incarnation, f.a.Revision, f.seen, f.nonce, f.a.Last = f.a.Incarnation+1, 1, mark{}, "", camphorhinge.LastOrder{}
		return
	}
	f.a.Models, f.a.Adapters = o.Models, o.Adapters
}

// cluster commits commands for the leader of the highest term and applies them to each connected Book.
type cluster struct {
	mu    sync.Mutex
	term  camphorhinge.Term
	index camphorhinge.Index
	books map[camphorhinge.Term]*Book // by the term of the controller that reads it
	log   [][]byte
	terms []camphorhinge.Term
}

func newCluster() *cluster { return &cluster{books: map[camphorhinge.Term]*Book{}} }

// lead starts a term, with a Book that holds all that was committed. The Book of a deposed leader gets nothing more.
func (c *cluster) lead(term camphorhinge.Term) *Book {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := NewBook()
	for i, cmd := range c.log {
		b.Apply(camphorhinge.Entry{Index: camphorhinge.Index(i + 1), Term: c.terms[i]}, cmd)
	}
	c.term, c.books[term] = term, b
	return b
}

func (c *cluster) book() *Book {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.books[c.term]
}

// side is what one controller sees of the world; delays come before and after each effect of a call.
type side struct {
	term    camphorhinge.Term
	cluster *cluster
	engine  *fakeEngine
	delay   func()
	// late holds an order back on its way to the engine.
	late func()
	// lost reports whether the next answer gets lost.
	lost func() bool
	// until is when the lease ends.
	until    time.Time
	blind    bool // the lease check is removed
	stale    bool // the read-back is removed: the first answer is repeated, as of an idle engine
	noSeal   bool // the prepare step or touch is removed
	first    *camphorhinge.Announcement
	services func() []Service
	gone     atomic.Bool
	undrain  atomic.Bool

	// known is the latest announcement, up to lag old.
	lag   time.Duration
	mu    sync.Mutex
	known camphorhinge.Announcement
	heard camphorhinge.Instant
}

func (s *side) Now() camphorhinge.Instant { return camphorhinge.Instant(time.Now().UnixNano()) }

func (s *side) Authority() (camphorhinge.Term, bool) {
	return s.term, s.blind || time.Now().Before(s.until)
}

func (s *side) Drained(camphorhinge.TargetName) bool { return !s.undrain.Load() }

func (s *side) Live(camphorhinge.ServiceName) []*camphorhinge.Target {
	if s.gone.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.Now(); s.heard == 0 || now.Sub(s.heard) >= s.lag {
		s.known, s.heard = s.engine.read(), now
	}
	return []*camphorhinge.Target{{Announcement: s.known, Heard: s.heard}}
}

func (s *side) Propose(_ context.Context, _ camphorhinge.CommandKind, cmd []byte) ([]byte, error) {
	s.delay()
	c := s.cluster
	c.mu.Lock()
	if c.term != s.term {
		c.mu.Unlock()
		return nil, camphorhinge.ErrNotLeader
	}
	c.index++
	c.log, c.terms = append(c.log, cmd), append(c.terms, c.term)
	out := c.books[c.term].Apply(camphorhinge.Entry{Index: c.index, Term: c.term}, cmd)
	c.mu.Unlock()
	s.delay()
	if s.lost() {
		return nil, fmt.Errorf("propose: %w", camphorhinge.ErrUncertain)
	}
	return out, nil
}

func (s *side) Read(context.Context, string) (camphorhinge.Announcement, error) {
	s.delay()
	a := s.engine.read()
	s.delay()
	if s.lost() {
		return a, errCut
	}
	if s.stale {
		if s.first == nil {
			a.Busy = false
			s.first = &a
		}
		return *s.first, nil
	}
	return a, nil
}

func (s *side) Prepare(_ context.Context, _ string, fence camphorhinge.Term, seq camphorhinge.Sequence) engine.Result {
	if s.noSeal {
		return engine.Result{Outcome: engine.Done, Nonce: "none"}
	}
	s.delay()
	r := s.engine.prepare(mark{fence, seq})
	s.delay()
	return s.answer(r)
}

func (s *side) Order(_ context.Context, _ string, o engine.Order) engine.Result {
	if s.noSeal && o.Role == "" {
		return engine.Result{Outcome: engine.Done}
	}
	s.delay()
	s.late()
	r := s.engine.order(o)
	s.delay()
	return s.answer(r)
}

func (s *side) answer(r engine.Result) engine.Result {
	if s.lost() {
		return engine.Result{Outcome: engine.Unknown, Err: errCut}
	}
	return r
}

func (s *side) controller(b *Book) *Controller {
	return New(Config{
		Authority: s, Proposer: s, Targets: s, Engines: s, Drains: s, Clock: s, Book: b, Services: s.services,
		Drain: 5 * time.Second, Settle: time.Minute,
	})
}

// source is a seeded generator that several goroutines may use.
type source struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *source) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}
