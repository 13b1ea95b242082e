package order

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/engine"
)

// Engines is the part of an engine's control protocol that the controller needs; engine.Client implements it.
type Engines interface {
	// Read returns the engine's announcement with its observed state.
	Read(ctx context.Context, address string) (camphorhinge.Announcement, error)
	// Prepare asks a two-step engine for a nonce.
	Prepare(ctx context.Context, address string, fence camphorhinge.Term, seq camphorhinge.Sequence) engine.Result
	// Order sends an order or a touch once.
	Order(ctx context.Context, address string, o engine.Order) engine.Result
}

// Authority tells whether this process holds the leader lease.
type Authority interface {
	// Authority returns the term of the lease; valid is false when no lease is held now.
	Authority() (term camphorhinge.Term, valid bool)
}

// Drains tells whether the requests of an engine have ended.
type Drains interface {
	// Drained reports whether no node sends new work to the target and no request runs there. It is asked after the Book
	// holds the target.
	Drained(target camphorhinge.TargetName) bool
}

// Config holds what a Controller needs; the durations have defaults.
type Config struct {
	Authority Authority
	Proposer  camphorhinge.Proposer
	Targets   camphorhinge.Targets
	Engines   Engines
	Drains    Drains
	Clock     camphorhinge.Clock
	// Book is the one that this process's replica applies commands to.
	Book *Book
	// Services returns the model services of the records in force.
	Services func() []Service
	Budget   *Budget
	// Decisions may be nil.
	Decisions camphorhinge.Decisions
	// Interval is the time between two plans; 200 ms by default.
	Interval time.Duration
	// Poll is the time between two looks at an engine or a drain; 100 ms by default.
	Poll time.Duration
	// Drain bounds the wait for a drain: the largest deadline of an admitted request; 10 min by default. At the bound the
	// order is given up, because a request may still run.
	Drain time.Duration
	// Settle bounds one change without its drain; 15 min by default. Loading weights takes minutes.
	Settle time.Duration
}

// Status is what the controller knows of one engine.
type Status struct {
	Engine camphorhinge.TargetName
	State  EngineState
	// Order is the state of the latest order of this process, empty when there was none.
	Order State
	// Reason tells why a needed order is not sent, or why the last one failed.
	Reason string
}

// Controller brings engines to their decisions while this process holds the leader lease.
type Controller struct {
	cfg Config

	mu     sync.Mutex
	begun  camphorhinge.Term
	active map[camphorhinge.TargetName]bool
	states map[camphorhinge.TargetName]*tracked

	// changed holds the ID of the latest role change that was carried out; only decide and step use it.
	changed map[camphorhinge.ServiceName]uint64
}

type tracked struct {
	engine *lifecycle[EngineState, EngineEvent]
	order  State
	reason string
	// read is the latest read-back and at its time; it stands in for an older announcement.
	read *camphorhinge.Announcement
	at   camphorhinge.Instant
	// failures counts attempts since the last success; the next attempt waits until the time in rest.
	failures int
	rest     camphorhinge.Instant
	// matches states that the engine matched its decision when it was last looked at, which it has done since matched.
	matches bool
	matched camphorhinge.Instant
	// live is when the engine was last live, or first missed.
	live camphorhinge.Instant
}

const (
	// restMin doubles with each failed attempt up to restMax, so that an engine that refuses each order does not fill the
	// log with orders.
	restMin = time.Second
	restMax = time.Minute
	// settleTime is above the time in which all nodes learn that an engine matches its decision: an announcement interval
	// of 1 s, a batch between nodes of 250 ms, and a renewal of the decisions.
	settleTime = 2 * time.Second
	// forgetAfter is above any outage after which an engine is expected back with its decision.
	forgetAfter = 24 * time.Hour
)

// New returns a Controller; Run starts it.
func New(cfg Config) *Controller {
	cfg.Interval = cmp.Or(cfg.Interval, 200*time.Millisecond)
	cfg.Poll = cmp.Or(cfg.Poll, 100*time.Millisecond)
	cfg.Drain = cmp.Or(cfg.Drain, 10*time.Minute)
	cfg.Settle = cmp.Or(cfg.Settle, 15*time.Minute)
	if cfg.Budget == nil {
		cfg.Budget = NewBudget(0, 0)
	}
	return &Controller{
		cfg: cfg, active: map[camphorhinge.TargetName]bool{}, states: map[camphorhinge.TargetName]*tracked{},
		changed: map[camphorhinge.ServiceName]uint64{},
	}
}

// Run plans and carries out until ctx ends. Without the lease it does nothing.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			c.step(ctx, g)
			if err := wait(ctx, c.cfg.Interval); err != nil {
				return err
			}
		}
	})
	return g.Wait()
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// step plans once and starts the jobs that the budget allows.
func (c *Controller) step(ctx context.Context, g *errgroup.Group) {
	term, ok := c.cfg.Authority.Authority()
	if !ok || !c.begin(ctx, term) {
		return
	}
	var jobs []Job
	unfenced := map[camphorhinge.TargetName]bool{}
	for _, s := range c.cfg.Services() {
		if s.Change != nil && s.Change.ID == c.changed[s.Name] {
			s.Change = nil
		}
		s.Settling = c.settling
		next := Plan(s, c.live(s.Name), c.cfg.Book.Entry)
		for _, r := range next.Refused {
			c.refuse(r)
		}
		if !c.decide(ctx, term, s, next.Decisions) {
			return
		}
		for _, j := range next.Jobs {
			unfenced[j.Target.Name] = s.Unfenced
			jobs = append(jobs, j)
		}
	}
	c.forget(ctx, term)
	c.start(ctx, g, term, jobs, unfenced)
}

// decide commits the decisions for a service. It returns false when the lease or ctx has ended.
func (c *Controller) decide(ctx context.Context, term camphorhinge.Term, s Service, decisions []Decision) bool {
	for _, d := range decisions {
		if c.busy(d.Engine) {
			continue
		}
		cmd := command{
			Op: opDecide, Term: term, Engine: d.Engine, Service: d.Service, Desired: d.Desired, Draining: d.Draining,
		}
		if err := c.propose(ctx, cmd); err != nil {
			if isKind(err, KindDeposed) || ctx.Err() != nil {
				return false
			}
			c.refuse(Refusal{Engine: d.Engine, Reason: err.Error()})
			continue
		}
		if d.Reason == ReasonRole {
			c.changed[s.Name] = s.Change.ID
		}
		c.note("role", string(d.Engine), d.Reason, map[string]string{"role": string(d.Desired.Role)})
	}
	return true
}

// start begins the jobs that the budget allows, those with the most goodput per byte first.
func (c *Controller) start(
	ctx context.Context, g *errgroup.Group, term camphorhinge.Term, jobs []Job, unfenced map[camphorhinge.TargetName]bool,
) {
	slices.SortStableFunc(jobs, Job.before)
	full := false
	for _, j := range jobs {
		name := j.Target.Name
		if full && j.Bytes > 0 || c.busy(name) || c.resting(name) {
			continue
		}
		if !c.cfg.Budget.Take(c.cfg.Clock.Now(), j.Bytes) {
			full = true // a load with less goodput per byte does not overtake
			continue
		}
		c.setBusy(name, true)
		g.Go(func() error {
			defer c.setBusy(name, false)
			defer c.cfg.Budget.Give(j.Bytes)
			x := &change{Controller: c, term: term, name: name, service: j.Target.Service, unfenced: unfenced[name]}
			err := x.run(ctx)
			if ctx.Err() == nil {
				c.ended(name, err)
			}
			return nil
		})
	}
}

// forget drops engines that have not been live for a long time. One with an open order is kept, since nobody knows what
// became of it.
func (c *Controller) forget(ctx context.Context, term camphorhinge.Term) {
	now := c.cfg.Clock.Now()
	for _, e := range c.cfg.Book.Entries() {
		c.mu.Lock()
		s := c.track(e.Engine)
		s.live = cmp.Or(s.live, now)
		gone := now.Sub(s.live) >= forgetAfter && !c.active[e.Engine] && e.Open == nil
		c.mu.Unlock()
		if !gone || c.propose(ctx, command{Op: opForget, Term: term, Engine: e.Engine}) != nil {
			continue
		}
		c.mu.Lock()
		delete(c.states, e.Engine)
		c.mu.Unlock()
	}
}

// begin commits a command of the term before anything else, so that the Book holds all that earlier terms committed.
func (c *Controller) begin(ctx context.Context, term camphorhinge.Term) bool {
	c.mu.Lock()
	begun := c.begun == term
	c.mu.Unlock()
	if begun {
		return true
	}
	if err := c.propose(ctx, command{Op: opBegin, Term: term}); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = term
	return true
}

// held returns an error unless this process holds the lease in the term.
func (c *Controller) held(term camphorhinge.Term) error {
	if now, ok := c.cfg.Authority.Authority(); !ok || now != term {
		return &Error{Op: "lease", Kind: KindDeposed, Err: errLease}
	}
	return nil
}

// propose commits a command. Every command may be proposed again, so that an uncertain outcome is resolved by the same
// command while the lease is held.
func (c *Controller) propose(ctx context.Context, cmd command) error {
	for {
		if err := c.held(cmd.Term); err != nil {
			return err
		}
		out, err := c.cfg.Proposer.Propose(ctx, camphorhinge.CommandOrder, mustEncode(cmd))
		if errors.Is(err, camphorhinge.ErrUncertain) {
			if err := wait(ctx, c.cfg.Poll); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return &Error{Op: string(cmd.Op), Kind: KindProposal, Err: err}
		}
		var r result
		if err := json.Unmarshal(out, &r); err != nil {
			return &Error{Op: string(cmd.Op), Kind: KindCorrupt, Err: err}
		}
		switch r.Code {
		case codeOK:
			return c.held(cmd.Term)
		case codeStale:
			return &Error{Op: string(cmd.Op), Kind: KindDeposed, Err: errLease}
		}
		return &Error{Op: string(cmd.Op), Kind: KindRefused, Err: errors.New(string(r.Code))}
	}
}

// live returns the live engines of a service, each with the newest of announcement and read-back, and follows their
// lifecycles.
func (c *Controller) live(service camphorhinge.ServiceName) []*camphorhinge.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*camphorhinge.Target
	for _, t := range c.cfg.Targets.Live(service) {
		if t.Kind != camphorhinge.KindEngine {
			continue
		}
		s := c.track(t.Name)
		s.live = c.cfg.Clock.Now()
		if s.read != nil && s.at >= t.Heard && s.read.Incarnation >= t.Incarnation {
			fresh := *t
			fresh.Announcement = *s.read
			fresh.Service, fresh.Address, fresh.Leaving = t.Service, t.Address, t.Leaving
			t = &fresh
		}
		matches := false
		if !c.active[t.Name] {
			s.engine.try(EventReturned)
			s.engine.try(EventCompare)
			if e, ok := c.cfg.Book.Entry(t.Name); ok && !e.holding().holds(t) {
				s.engine.try(EventMatched)
				s.reason = ""
				matches = true
			}
		}
		if matches && !s.matches {
			s.matched = c.cfg.Clock.Now()
		}
		s.matches = matches
		out = append(out, t)
	}
	return out
}

// settling reports whether an engine matches its decision, and has done so for less than settleTime.
func (c *Controller) settling(name camphorhinge.TargetName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.track(name)
	return s.matches && c.cfg.Clock.Now().Sub(s.matched) < settleTime
}

// target returns a live engine by name.
func (c *Controller) target(service camphorhinge.ServiceName, name camphorhinge.TargetName) (*camphorhinge.Target, error) {
	for _, t := range c.cfg.Targets.Live(service) {
		if t.Name == name {
			return t, nil
		}
	}
	c.event(name, EventExpired)
	return nil, &Error{Op: "find", Kind: KindLost, Err: errGone}
}

// track returns the state of an engine; the caller holds the lock.
func (c *Controller) track(name camphorhinge.TargetName) *tracked {
	s := c.states[name]
	if s == nil {
		s = &tracked{engine: newEngineLifecycle()}
		c.states[name] = s
	}
	return s
}

func (c *Controller) event(name camphorhinge.TargetName, e EngineEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.track(name).engine.try(e)
}

func (c *Controller) saw(a camphorhinge.Announcement, at camphorhinge.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.track(a.Name)
	s.read, s.at = &a, at
}

func (c *Controller) setOrder(name camphorhinge.TargetName, state State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.track(name).order = state
}

func (c *Controller) busy(name camphorhinge.TargetName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[name]
}

func (c *Controller) setBusy(name camphorhinge.TargetName, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		c.active[name] = true
	} else {
		delete(c.active, name)
	}
}

func (c *Controller) refuse(r Refusal) {
	c.mu.Lock()
	s := c.track(r.Engine)
	known := s.reason == r.Reason
	s.reason = r.Reason
	c.mu.Unlock()
	if !known {
		c.note("order", string(r.Engine), r.Reason, nil)
	}
}

// ended notes how an attempt ended.
func (c *Controller) ended(name camphorhinge.TargetName, err error) {
	c.mu.Lock()
	s := c.track(name)
	if err == nil && s.order != Refused && s.order != Abandoned {
		s.failures, s.rest = 0, 0
	} else {
		s.rest = c.cfg.Clock.Now().Add(min(restMin<<min(s.failures, 10), restMax))
		s.failures++
	}
	c.mu.Unlock()
	if err != nil {
		c.refuse(Refusal{Engine: name, Reason: err.Error()})
	}
}

func (c *Controller) resting(name camphorhinge.TargetName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Clock.Now() < c.track(name).rest
}

func (c *Controller) note(kind, subject, reason string, inputs map[string]string) {
	if c.cfg.Decisions != nil {
		c.cfg.Decisions.Note(kind, subject, reason, inputs)
	}
}

// Status returns what is known of each engine, sorted by name.
func (c *Controller) Status() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(c.states)) {
		s := c.states[name]
		out = append(out, Status{Engine: name, State: s.engine.state, Order: s.order, Reason: s.reason})
	}
	return out
}
