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

// Engines is the part of an engine's control protocol that the controller uses; engine.Client implements it.
type Engines interface {
	// Read returns the engine's announcement with its observed state.
	Read(ctx context.Context, address string) (camphorhinge.Announcement, error)
	// Prepare requests a nonce from a two-step engine.
	Prepare(ctx context.Context, address string, fence camphorhinge.Term, seq camphorhinge.Sequence) engine.Result
	// Order sends an order, without a retry. An order without role, models and adapters is a touch, which only fences.
	Order(ctx context.Context, address string, o engine.Order) engine.Result
}

// Authority reports whether this process holds the leader lease.
type Authority interface {
	// Authority returns the term of the lease; valid is false when no lease is held now.
	Authority() (term camphorhinge.Term, valid bool)
}

// Drains reports whether the requests of an engine have ended.
type Drains interface {
	// Drained reports whether no node sends new work to the target and no request runs there. It is called only while
	// the Table cordons the target.
	Drained(target camphorhinge.TargetName) bool
}

// Config holds the dependencies and settings of a Controller; durations of 0 take their defaults.
type Config struct {
	Authority Authority
	Proposer  camphorhinge.Proposer
	Targets   camphorhinge.Targets
	Engines   Engines
	Drains    Drains
	Clock     camphorhinge.Clock
	// Table is the one to which this process's replica applies commands.
	Table *Table
	// Services returns the model services of the records in force.
	Services func() []Service
	Budget   *Budget
	// Decisions may be nil.
	Decisions camphorhinge.Decisions
	// Interval is the time between two plans; 200 ms by default.
	Interval time.Duration
	// PollInterval is the time between two reads of an engine, or two checks of a drain; 100 ms by default.
	PollInterval time.Duration
	// DrainTimeout bounds the wait for a drain; 10 min by default. It should be the largest deadline of an admitted
	// request. When it expires the order is abandoned, because a request may still be running.
	DrainTimeout time.Duration
	// ChangeTimeout bounds one change without its drain; 15 min by default, since loading weights takes minutes.
	ChangeTimeout time.Duration
}

// Status is the controller's state of one engine.
type Status struct {
	Engine camphorhinge.TargetName
	State  EngineState
	// Order is the state of the latest order of this process, empty when there is none.
	Order State
	// Reason says why a needed order is not sent, or why the last one failed.
	Reason string
}

// Controller brings engines to their decisions while this process holds the leader lease.
type Controller struct {
	cfg Config

	mu sync.Mutex
	// begunTerm is the latest term in which begin has committed its command.
	begunTerm camphorhinge.Term
	// active contains the engines for which a job is running in this process.
	active map[camphorhinge.TargetName]bool
	states map[camphorhinge.TargetName]*trackedEngine

	// committedChange is the ID of the latest role change that was committed as a decision, by service. It needs no
	// lock, since only decide and step use it.
	committedChange map[camphorhinge.ServiceName]uint64
}

// trackedEngine is the controller's state of one engine; it is not replicated.
type trackedEngine struct {
	lifecycle  *lifecycle[EngineState, EngineEvent]
	orderState State
	reason     string
	// readBack is the announcement as last read from the engine itself; the read was sent at readAt. It replaces an
	// announcement that was reported before then.
	readBack *camphorhinge.Announcement
	readAt   camphorhinge.Instant
	// failures counts failed attempts since the last success; the next attempt waits until retryAt.
	failures int
	retryAt  camphorhinge.Instant
	// matches is true if the engine matched its decision and was not cordoned when it was last compared; it has done so
	// since matchedSince.
	matches      bool
	matchedSince camphorhinge.Instant
	// lastLive is when the engine was last live, or when it was first found missing.
	lastLive camphorhinge.Instant
}

const (
	// The wait after a failed attempt doubles from minBackoff up to maxBackoff, so that an engine that refuses each
	// order does not fill the replicated log with orders.
	minBackoff = time.Second
	maxBackoff = time.Minute
	// propagationTime exceeds the time until all nodes have received both the decision and an announcement that matches
	// it: an announcement interval of 1 s, a batching delay between nodes of 250 ms, and a lease renewal, which carries
	// the decisions.
	propagationTime = 2 * time.Second
	// removeAfter is the absence after which an engine's entry is removed. It exceeds any outage after which the engine
	// is expected to return to its decision.
	removeAfter = 24 * time.Hour
)

// New returns a Controller that is not running yet; Run starts it.
func New(cfg Config) *Controller {
	cfg.Interval = cmp.Or(cfg.Interval, 200*time.Millisecond)
	cfg.PollInterval = cmp.Or(cfg.PollInterval, 100*time.Millisecond)
	cfg.DrainTimeout = cmp.Or(cfg.DrainTimeout, 10*time.Minute)
	cfg.ChangeTimeout = cmp.Or(cfg.ChangeTimeout, 15*time.Minute)
	if cfg.Budget == nil {
		cfg.Budget = NewBudget(0, 0)
	}
	return &Controller{
		cfg: cfg, active: map[camphorhinge.TargetName]bool{}, states: map[camphorhinge.TargetName]*trackedEngine{},
		committedChange: map[camphorhinge.ServiceName]uint64{},
	}
}

// Run plans and carries out changes until ctx ends, and returns the error of ctx. Without the lease it does nothing.
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
		if s.Change != nil && s.Change.ID == c.committedChange[s.Name] {
			s.Change = nil
		}
		s.Settling = c.settling
		next := Plan(s, c.liveEngines(s.Name), c.cfg.Table.Entry)
		for _, r := range next.Refused {
			c.recordRefusal(r)
		}
		if !c.decide(ctx, term, s, next.Decisions) {
			return
		}
		for _, j := range next.Jobs {
			unfenced[j.Target.Name] = s.Unfenced
			jobs = append(jobs, j)
		}
	}
	c.removeExpired(ctx, term)
	c.start(ctx, g, term, jobs, unfenced)
}

// decide commits the decisions for a service, except for engines with a running job. It returns false when the lease or
// ctx has ended.
func (c *Controller) decide(ctx context.Context, term camphorhinge.Term, s Service, decisions []Decision) bool {
	for _, d := range decisions {
		if c.isActive(d.Engine) {
			continue
		}
		cmd := command{
			Op: opDecide, Term: term, Engine: d.Engine, Service: d.Service, Desired: d.Desired, Draining: d.Draining,
		}
		if err := c.propose(ctx, cmd); err != nil {
			if isKind(err, KindDeposed) || ctx.Err() != nil {
				return false
			}
			c.recordRefusal(Refusal{Engine: d.Engine, Reason: err.Error()})
			continue
		}
		if d.Reason == ReasonRole {
			c.committedChange[s.Name] = s.Change.ID
		}
		c.recordDecision("role", string(d.Engine), d.Reason, map[string]string{"role": string(d.Desired.Role)})
	}
	return true
}

// start starts the jobs that the budget allows, those with the most goodput per byte first, except for engines that
// have a running job or are backing off.
func (c *Controller) start(
	ctx context.Context, g *errgroup.Group, term camphorhinge.Term, jobs []Job, unfenced map[camphorhinge.TargetName]bool,
) {
	slices.SortStableFunc(jobs, Job.compare)
	exhausted := false
	for _, j := range jobs {
		name := j.Target.Name
		if exhausted && j.Bytes > 0 || c.isActive(name) || c.backingOff(name) {
			continue
		}
		if !c.cfg.Budget.TryAcquire(c.cfg.Clock.Now(), j.Bytes) {
			exhausted = true // a load with less goodput per byte must not overtake this one
			continue
		}
		c.setActive(name, true)
		g.Go(func() error {
			defer c.setActive(name, false)
			defer c.cfg.Budget.Release(j.Bytes)
			x := &change{Controller: c, term: term, name: name, service: j.Target.Service, unfenced: unfenced[name]}
			err := x.run(ctx)
			if ctx.Err() == nil {
				c.recordAttempt(name, err)
			}
			return nil
		})
	}
}

// removeExpired removes engines that have not been live for removeAfter. An engine with an open order is kept, since
// the outcome of the order is unknown.
func (c *Controller) removeExpired(ctx context.Context, term camphorhinge.Term) {
	now := c.cfg.Clock.Now()
	for _, e := range c.cfg.Table.Entries() {
		c.mu.Lock()
		s := c.track(e.Engine)
		s.lastLive = cmp.Or(s.lastLive, now)
		expired := now.Sub(s.lastLive) >= removeAfter && !c.active[e.Engine] && e.Open == nil
		c.mu.Unlock()
		if !expired || c.propose(ctx, command{Op: opRemove, Term: term, Engine: e.Engine}) != nil {
			continue
		}
		c.mu.Lock()
		delete(c.states, e.Engine)
		c.mu.Unlock()
	}
}

// begin commits a command of the term before any other, so that the Table contains everything that earlier terms
// committed. It reports whether that has been done.
func (c *Controller) begin(ctx context.Context, term camphorhinge.Term) bool {
	c.mu.Lock()
	begun := c.begunTerm == term
	c.mu.Unlock()
	if begun {
		return true
	}
	if err := c.propose(ctx, command{Op: opBegin, Term: term}); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begunTerm = term
	return true
}

// checkLease returns an error of KindDeposed unless this process holds the lease in the term.
func (c *Controller) checkLease(term camphorhinge.Term) error {
	if current, ok := c.cfg.Authority.Authority(); !ok || current != term {
		return &Error{Op: "lease", Kind: KindDeposed, Err: errLeaseLost}
	}
	return nil
}

// propose commits a command. Every command may be proposed again, so an uncertain outcome is resolved by proposing
// the same command while the lease is held.
func (c *Controller) propose(ctx context.Context, cmd command) error {
	for {
		if err := c.checkLease(cmd.Term); err != nil {
			return err
		}
		out, err := c.cfg.Proposer.Propose(ctx, camphorhinge.CommandOrder, mustEncode(cmd))
		if errors.Is(err, camphorhinge.ErrUncertain) {
			if err := wait(ctx, c.cfg.PollInterval); err != nil {
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
			return c.checkLease(cmd.Term)
		case codeStale:
			return &Error{Op: string(cmd.Op), Kind: KindDeposed, Err: errLeaseLost}
		}
		return &Error{Op: string(cmd.Op), Kind: KindRefused, Err: errors.New(string(r.Code))}
	}
}

// liveEngines returns the live engines of a service, each with the newer of its announcement and its read-back, and
// updates their lifecycles.
func (c *Controller) liveEngines(service camphorhinge.ServiceName) []*camphorhinge.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*camphorhinge.Target
	for _, t := range c.cfg.Targets.Live(service) {
		if t.Kind != camphorhinge.KindEngine {
			continue
		}
		s := c.track(t.Name)
		s.lastLive = c.cfg.Clock.Now()
		if s.readBack != nil && s.readAt >= t.ReportedAt && s.readBack.Incarnation >= t.Incarnation {
			fresh := *t
			fresh.Announcement = *s.readBack
			fresh.Service, fresh.Address, fresh.Leaving = t.Service, t.Address, t.Leaving
			t = &fresh
		}
		matches := false
		if !c.active[t.Name] {
			s.lifecycle.try(EventReturned)
			s.lifecycle.try(EventCompare)
			if e, ok := c.cfg.Table.Entry(t.Name); ok && !e.view().cordoned(t) {
				s.lifecycle.try(EventMatched)
				s.reason = ""
				matches = true
			}
		}
		if matches && !s.matches {
			s.matchedSince = c.cfg.Clock.Now()
		}
		s.matches = matches
		out = append(out, t)
	}
	return out
}

// settling reports whether an engine matches its decision, but has done so for less than propagationTime.
func (c *Controller) settling(name camphorhinge.TargetName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.track(name)
	return s.matches && c.cfg.Clock.Now().Sub(s.matchedSince) < propagationTime
}

// target returns a live engine by name, or an error of KindLost.
func (c *Controller) target(service camphorhinge.ServiceName, name camphorhinge.TargetName) (*camphorhinge.Target, error) {
	for _, t := range c.cfg.Targets.Live(service) {
		if t.Name == name {
			return t, nil
		}
	}
	c.fireEngine(name, EventExpired)
	return nil, &Error{Op: "find", Kind: KindLost, Err: errNotLive}
}

// track returns the state of an engine, creating it if there is none; the caller holds the lock.
func (c *Controller) track(name camphorhinge.TargetName) *trackedEngine {
	s := c.states[name]
	if s == nil {
		s = &trackedEngine{lifecycle: newEngineLifecycle()}
		c.states[name] = s
	}
	return s
}

func (c *Controller) fireEngine(name camphorhinge.TargetName, e EngineEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.track(name).lifecycle.try(e)
}

func (c *Controller) recordReadBack(a camphorhinge.Announcement, at camphorhinge.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.track(a.Name)
	s.readBack, s.readAt = &a, at
}

func (c *Controller) setOrderState(name camphorhinge.TargetName, state State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.track(name).orderState = state
}

func (c *Controller) isActive(name camphorhinge.TargetName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[name]
}

func (c *Controller) setActive(name camphorhinge.TargetName, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		c.active[name] = true
	} else {
		delete(c.active, name)
	}
}

// recordRefusal stores why an engine gets no order, and records the reason in Decisions when it has changed.
func (c *Controller) recordRefusal(r Refusal) {
	c.mu.Lock()
	s := c.track(r.Engine)
	repeated := s.reason == r.Reason
	s.reason = r.Reason
	c.mu.Unlock()
	if !repeated {
		c.recordDecision("order", string(r.Engine), r.Reason, nil)
	}
}

// recordAttempt records the result of an attempt and sets when the next one may start.
func (c *Controller) recordAttempt(name camphorhinge.TargetName, err error) {
	c.mu.Lock()
	s := c.track(name)
	if err == nil && s.orderState != Refused && s.orderState != Abandoned {
		s.failures, s.retryAt = 0, 0
	} else {
		s.retryAt = c.cfg.Clock.Now().Add(min(minBackoff<<min(s.failures, 10), maxBackoff))
		s.failures++
	}
	c.mu.Unlock()
	if err != nil {
		c.recordRefusal(Refusal{Engine: name, Reason: err.Error()})
	}
}

func (c *Controller) backingOff(name camphorhinge.TargetName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Clock.Now() < c.track(name).retryAt
}

func (c *Controller) recordDecision(kind, subject, reason string, inputs map[string]string) {
	if c.cfg.Decisions != nil {
		c.cfg.Decisions.Record(kind, subject, reason, inputs)
	}
}

// Status returns the state of each tracked engine, sorted by name.
func (c *Controller) Status() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(c.states)) {
		s := c.states[name]
		out = append(out, Status{Engine: name, State: s.lifecycle.state, Order: s.orderState, Reason: s.reason})
	}
	return out
}
