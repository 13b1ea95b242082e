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

var errConnectionLost = errors.New("connection lost")

type fencingToken struct {
	fence camphorhinge.Term
	seq   camphorhinge.Sequence
}

func (t fencingToken) less(o fencingToken) bool {
	return t.fence < o.fence || t.fence == o.fence && t.seq < o.seq
}

// fakeEngine gives the weakest guarantees that its kind allows: it accepts an order while it is carrying out another,
// and loses its highest fence in a crash.
type fakeEngine struct {
	mu            sync.Mutex
	a             camphorhinge.Announcement
	highest       fencingToken
	nonce         string
	nonces        int
	ignoreNonce   bool // accepts any nonce, so that the prepare step has no effect
	changeID      int  // number of the change in progress
	changeTime    time.Duration
	crashOnChange int // number of the change in which it crashes, from 1; 0 for none
	accepted      []engine.Order
	reachedBy     map[camphorhinge.Term]bool // terms of the calls that took effect
	faults        []string
	onOrder       func() string // returns a fault, or ""; called for each accepted order
}

func newFakeEngine(f camphorhinge.Fencing, p camphorhinge.OrderProtocol) *fakeEngine {
	return &fakeEngine{
		changeTime: 300 * time.Millisecond, reachedBy: map[camphorhinge.Term]bool{},
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

func (f *fakeEngine) prepare(token fencingToken) engine.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nonces++
	f.nonce = fmt.Sprint(f.nonces)
	f.reachedBy[token.fence] = true
	return engine.Result{Outcome: engine.Done, Nonce: f.nonce}
}

func (f *fakeEngine) order(o engine.Order) engine.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	token := fencingToken{o.Fence, o.Seq}
	touch := o.Role == "" && o.Models == nil && o.Adapters == nil
	switch {
	case f.a.Fencing == camphorhinge.FencingChecked:
		if token.less(f.highest) {
			return f.refused("fence")
		}
		if o.Expect == nil || o.Expect.Incarnation != f.a.Incarnation {
			return f.refused("incarnation")
		}
		f.highest = token
	case f.a.Orders == camphorhinge.OrdersConditional:
		if o.Expect == nil || *o.Expect != (engine.Expect{Incarnation: f.a.Incarnation, Revision: f.a.Revision}) {
			return f.refused("condition")
		}
	case f.a.Orders == camphorhinge.OrdersTwoStep && !f.ignoreNonce:
		if o.Nonce == "" || o.Nonce != f.nonce {
			return f.refused("nonce")
		}
	}
	f.a.Revision++
	if !touch && f.reachedBy[o.Fence+1] {
		f.faults = append(f.faults, fmt.Sprintf("order (%d,%d) of a deposed controller took effect", o.Fence, o.Seq))
	}
	f.reachedBy[o.Fence] = true
	if touch {
		return engine.Result{Outcome: engine.Done, Incarnation: f.a.Incarnation, Revision: f.a.Revision}
	}
	if f.a.Busy {
		f.faults = append(f.faults, fmt.Sprintf("order (%d,%d) accepted while another is carried out", o.Fence, o.Seq))
	}
	if f.onOrder != nil {
		if fault := f.onOrder(); fault != "" {
			f.faults = append(f.faults, fault)
		}
	}
	f.nonce = ""
	f.accepted = append(f.accepted, o)
	f.a.Busy = true
	f.changeID++
	f.a.Last = camphorhinge.LastOrder{Fence: o.Fence, Seq: o.Seq, State: "changing"}
	number := f.changeID
	time.AfterFunc(f.changeTime, func() { f.finish(o, number) })
	return engine.Result{Outcome: engine.Changing, Incarnation: f.a.Incarnation, Revision: f.a.Revision}
}

// finish ends the change with the given number, unless a later one has started; a crash leaves the engine with the new
// role and the old models.
func (f *fakeEngine) finish(o engine.Order, number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number != f.changeID {
		return
	}
	f.a.Role, f.a.Busy = o.Role, false
	if number == f.crashOnChange {
		f.a.Incarnation, f.a.Revision, f.highest, f.nonce, f.a.Last = f.a.Incarnation+1, 1, fencingToken{}, "", camphorhinge.LastOrder{}
		return
	}
	f.a.Models, f.a.Adapters = o.Models, o.Adapters
}

// cluster commits commands for the leader of the highest term and applies them to that leader's Table.
type cluster struct {
	mu     sync.Mutex
	term   camphorhinge.Term
	index  camphorhinge.Index
	tables map[camphorhinge.Term]*Table // by the term of the controller that uses it
	log    [][]byte
	terms  []camphorhinge.Term
}

func newCluster() *cluster { return &cluster{tables: map[camphorhinge.Term]*Table{}} }

// startTerm starts a term and returns a Table with everything that was committed. The Table of a deposed leader
// receives no more commands.
func (c *cluster) startTerm(term camphorhinge.Term) *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	tbl := NewTable()
	for i, cmd := range c.log {
		tbl.Apply(camphorhinge.Entry{Index: camphorhinge.Index(i + 1), Term: c.terms[i]}, cmd)
	}
	c.term, c.tables[term] = term, tbl
	return tbl
}

func (c *cluster) table() *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables[c.term]
}

// controllerEnv implements the dependencies of one controller; it delays each call before and after its effect.
type controllerEnv struct {
	term    camphorhinge.Term
	cluster *cluster
	engine  *fakeEngine
	delay   func()
	// delayOrder delays an order on its way to the engine.
	delayOrder func()
	// loseAnswer reports whether the next answer is lost.
	loseAnswer func() bool
	// leaseEnd is the time at which the lease ends.
	leaseEnd     time.Time
	noLeaseCheck bool // disables the lease check
	noReadBack   bool // disables the read-back: the first answer is repeated, as that of an idle engine
	noFencing    bool // disables the prepare step or touch
	first        *camphorhinge.Announcement
	services     func() []Service
	expired      atomic.Bool
	neverDrained atomic.Bool

	// announced is the latest announcement received; it may be up to lag old.
	lag         time.Duration
	mu          sync.Mutex
	announced   camphorhinge.Announcement
	announcedAt camphorhinge.Instant
}

func (s *controllerEnv) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Now().UnixNano())
}

func (s *controllerEnv) Authority() (camphorhinge.Term, bool) {
	return s.term, s.noLeaseCheck || time.Now().Before(s.leaseEnd)
}

func (s *controllerEnv) Drained(camphorhinge.TargetName) bool { return !s.neverDrained.Load() }

func (s *controllerEnv) Live(camphorhinge.ServiceName) []*camphorhinge.Target {
	if s.expired.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.Now(); s.announcedAt == 0 || now.Sub(s.announcedAt) >= s.lag {
		s.announced, s.announcedAt = s.engine.read(), now
	}
	return []*camphorhinge.Target{{Announcement: s.announced, ReportedAt: s.announcedAt}}
}

func (s *controllerEnv) Propose(_ context.Context, _ camphorhinge.CommandKind, cmd []byte) ([]byte, error) {
	s.delay()
	c := s.cluster
	c.mu.Lock()
	if c.term != s.term {
		c.mu.Unlock()
		return nil, camphorhinge.ErrNotLeader
	}
	c.index++
	c.log, c.terms = append(c.log, cmd), append(c.terms, c.term)
	out := c.tables[c.term].Apply(camphorhinge.Entry{Index: c.index, Term: c.term}, cmd)
	c.mu.Unlock()
	s.delay()
	if s.loseAnswer() {
		return nil, fmt.Errorf("propose: %w", camphorhinge.ErrUncertain)
	}
	return out, nil
}

func (s *controllerEnv) Read(context.Context, string) (camphorhinge.Announcement, error) {
	s.delay()
	a := s.engine.read()
	s.delay()
	if s.loseAnswer() {
		return a, errConnectionLost
	}
	if s.noReadBack {
		if s.first == nil {
			a.Busy = false
			s.first = &a
		}
		return *s.first, nil
	}
	return a, nil
}

func (s *controllerEnv) Prepare(_ context.Context, _ string, fence camphorhinge.Term, seq camphorhinge.Sequence) engine.Result {
	if s.noFencing {
		return engine.Result{Outcome: engine.Done, Nonce: "none"}
	}
	s.delay()
	r := s.engine.prepare(fencingToken{fence, seq})
	s.delay()
	return s.answer(r)
}

func (s *controllerEnv) Order(_ context.Context, _ string, o engine.Order) engine.Result {
	if s.noFencing && o.Role == "" {
		return engine.Result{Outcome: engine.Done}
	}
	s.delay()
	s.delayOrder()
	r := s.engine.order(o)
	s.delay()
	return s.answer(r)
}

func (s *controllerEnv) answer(r engine.Result) engine.Result {
	if s.loseAnswer() {
		return engine.Result{Outcome: engine.Unknown, Err: errConnectionLost}
	}
	return r
}

func (s *controllerEnv) controller(tbl *Table) *Controller {
	return New(Config{
		Authority: s, Proposer: s, Targets: s, Engines: s, Drains: s, Clock: s, Table: tbl, Services: s.services,
		DrainTimeout: 5 * time.Second, ChangeTimeout: time.Minute,
	})
}

// source is a seeded random generator that several goroutines may use.
type source struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *source) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}
