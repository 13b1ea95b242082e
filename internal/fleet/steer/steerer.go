package steer

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/role"
	"example.org/camphorhinge/internal/record/schema"
)

const (
	// DefaultAway is 10 s to drain and 15 s to change.
	DefaultAway = 25 * time.Second
	// settleTime is how long a change that the planner took counts as under way although the source does not show it yet,
	// so that a slow commit can't lead to a second change.
	settleTime = 3 * role.SampleInterval
	// noteEvery is the time after which a decision that stays the same is noted again, with its inputs of then.
	noteEvery = time.Minute
)

// DefaultRates are the first figures of an engine.
func DefaultRates() role.Rates {
	return role.Rates{Prefill: 12_000, Decode: 1_500, Mixed: 0.8, Chunked: 0.5, OnPrefill: 0.3}
}

// Source is the lease holder's view of the fleet. Its methods are safe for concurrent use.
type Source interface {
	// Leads reports whether this node holds the lease now.
	Leads() bool
	// Services returns the services in force, sorted by name; those of another type than schema.TypeModel are passed over.
	Services() []*schema.Service
	// Engines returns the live engines of a service, and those that are gone only because they change.
	Engines(service *schema.Service) []Engine
	// Recent returns the service's role changes of the last half hour, oldest first.
	Recent(service camphorhinge.ServiceName) []role.Change
	// History returns the demand on a service; *mix.Collector has it.
	History(service camphorhinge.ServiceName) role.History
}

// Planner turns wanted changes into orders.
type Planner interface {
	// Change chooses one changeable engine of the service in role from, and decides that it goes to role to. It returns
	// once the decision is committed, or an error when it is refused or its outcome is not known.
	Change(ctx context.Context, service camphorhinge.ServiceName, from, to camphorhinge.Role) error
}

// Config holds what a Steerer needs. Rates and Away take DefaultRates and DefaultAway when they are zero.
type Config struct {
	Source  Source
	Planner Planner
	Clock   camphorhinge.Clock
	// Wall returns the wall-clock time; nil takes time.Now.
	Wall      func() time.Time
	Decisions camphorhinge.Decisions
	Metrics   *metrics.Set
	Rates     role.Rates
	Away      time.Duration
}

// Steerer decides by the clock.
type Steerer struct {
	cfg Config
	// states belongs to Turn; plans are its results.
	states map[camphorhinge.ServiceName]*state
	plans  atomic.Pointer[[]Plan]
}

// state is what a Steerer remembers of a service between two turns.
type state struct {
	// asked is when the planner last took a change, if taken is true.
	asked camphorhinge.Instant
	taken bool
	noted camphorhinge.Instant
	plan  Plan
}

// New returns a Steerer.
func New(cfg Config) *Steerer {
	if cfg.Rates == (role.Rates{}) {
		cfg.Rates = DefaultRates()
	}
	if cfg.Away == 0 {
		cfg.Away = DefaultAway
	}
	if cfg.Wall == nil {
		cfg.Wall = time.Now
	}
	s := &Steerer{cfg: cfg, states: map[camphorhinge.ServiceName]*state{}}
	s.plans.Store(&[]Plan{})
	return s
}

// Run decides each role.SampleInterval while this node leads, until ctx ends.
func (s *Steerer) Run(ctx context.Context) error {
	ticker := time.NewTicker(role.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.Turn(ctx)
		}
	}
}

// Plans returns the latest plan of each service, for status; there are none on a node that does not lead. The caller
// must not change the slice. It may be called at any time.
func (s *Steerer) Plans() []Plan { return *s.plans.Load() }

// Turn decides once on all services; Run calls it. The lease is checked before each service, and again by the planner's
// commit.
func (s *Steerer) Turn(ctx context.Context) {
	plans := []Plan{}
	seen := map[camphorhinge.ServiceName]bool{}
	for _, svc := range s.cfg.Source.Services() {
		if !s.cfg.Source.Leads() {
			clear(s.states)
			s.plans.Store(&[]Plan{})
			return
		}
		if svc.Type == schema.TypeModel {
			seen[svc.Name] = true
			plans = append(plans, s.decide(ctx, svc))
		}
	}
	maps.DeleteFunc(s.states, func(name camphorhinge.ServiceName, _ *state) bool { return !seen[name] })
	s.plans.Store(&plans)
}

func (s *Steerer) decide(ctx context.Context, svc *schema.Service) Plan {
	st := s.states[svc.Name]
	fresh := st == nil
	if fresh {
		st = &state{}
		s.states[svc.Name] = st
	}
	now := s.cfg.Clock.Now()
	in := Input{
		Service: svc, Now: now, Wall: s.cfg.Wall(), Engines: s.cfg.Source.Engines(svc),
		History: s.cfg.Source.History(svc.Name), Recent: s.cfg.Source.Recent(svc.Name),
		Rates: s.cfg.Rates, Away: s.cfg.Away,
	}
	if st.taken && now.Sub(st.asked) < settleTime {
		in.Engines = append([]Engine{{Changing: true}}, in.Engines...)
	}
	p := Step(in)
	s.counter("camphorhinge_role_decisions_total{service=%q,reason=%q}", svc.Name, p.Reason)
	changed := fresh || p.Reason != st.plan.Reason || p.From != ""
	st.plan = p
	if changed || now.Sub(st.noted) >= noteEvery {
		st.noted = now
		s.cfg.Decisions.Note("role", string(svc.Name), p.Reason, inputs(&p))
	}
	if p.From == "" {
		return p
	}
	s.counter("camphorhinge_role_changes_wanted_total{service=%q,from=%q,to=%q}", svc.Name, p.From, p.To)
	// A change whose outcome is not known may be under way as well.
	st.asked, st.taken = now, true
	if err := s.cfg.Planner.Change(ctx, svc.Name, p.From, p.To); err != nil {
		s.counter("camphorhinge_role_changes_failed_total{service=%q}", svc.Name)
		s.cfg.Decisions.Note("role", string(svc.Name), "the wanted change was not decided", map[string]string{
			"from": string(p.From), "to": string(p.To), "error": err.Error(),
		})
	}
	return p
}

func (s *Steerer) counter(format string, args ...any) {
	s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(format, args...)).Inc()
}

// inputs describes what a plan followed from.
func inputs(p *Plan) map[string]string {
	number := func(f float64) string { return strconv.FormatFloat(f, 'g', 4, 64) }
	out := map[string]string{
		"engines": counts(p.Counts), "wanted": counts(p.Wanted), "changing": strconv.Itoa(p.Changing),
		"prompt": number(p.Estimate.Level.Prompt), "output": number(p.Estimate.Level.Output),
		"share": number(p.Estimate.Share), "confidence": number(p.Estimate.Confidence),
		"gain": number(p.Gain), "cost": number(p.Cost), "samples": strconv.Itoa(p.Samples),
		"levers": fmt.Sprintf("shift=%t chunked=%t moves=%t", p.Levers.Shift, p.Levers.Chunked, p.Levers.Moves),
	}
	if p.From != "" {
		out["from"], out["to"] = string(p.From), string(p.To)
	}
	if p.Fixed > 0 {
		out["fixed"] = strconv.Itoa(p.Fixed)
	}
	if p.Missing != (role.Counts{}) {
		out["missing"] = counts(p.Missing)
	}
	return out
}

func counts(c role.Counts) string {
	return fmt.Sprintf("prefill=%d decode=%d mixed=%d", c.Prefill, c.Decode, c.Mixed)
}
