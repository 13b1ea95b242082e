package rolecontrol

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
	// DefaultAbsence is 10 s to drain and 15 s to change.
	DefaultAbsence = 25 * time.Second
	// settleTime is how long a change that the planner took counts as under way although the source does not show it yet,
	// so that a slow commit can't lead to a second change.
	settleTime = 3 * role.SampleInterval
	// recordInterval is the time after which a decision that stays the same is noted again, with its inputs of then.
	recordInterval = time.Minute
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
	Absence   time.Duration
}

// Controller decides by the clock.
type Controller struct {
	cfg Config
	// states belongs to Turn; plans are its results.
	states map[camphorhinge.ServiceName]*serviceState
	plans  atomic.Pointer[[]Plan]
}

// serviceState is what a Steerer remembers of a service between two turns.
type serviceState struct {
	// changedAt is when the planner last took a change, if taken is true.
	changedAt  camphorhinge.Instant
	changed    bool
	recordedAt camphorhinge.Instant
	plan       Plan
}

// New returns a Steerer.
func New(cfg Config) *Controller {
	if cfg.Rates == (role.Rates{}) {
		cfg.Rates = DefaultRates()
	}
	if cfg.Absence == 0 {
		cfg.Absence = DefaultAbsence
	}
	if cfg.Wall == nil {
		cfg.Wall = time.Now
	}
	s := &Controller{cfg: cfg, states: map[camphorhinge.ServiceName]*serviceState{}}
	s.plans.Store(&[]Plan{})
	return s
}

// Run decides each role.SampleInterval while this node leads, until ctx ends.
func (s *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(role.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.RunOnce(ctx)
		}
	}
}

// Plans returns the latest plan of each service, for status; there are none on a node that does not lead. The caller
// must not change the slice. It may be called at any time.
func (s *Controller) Plans() []Plan { return *s.plans.Load() }

// RunOnce decides once on all services; Run calls it. The lease is checked before each service, and again by the planner's
// commit.
func (s *Controller) RunOnce(ctx context.Context) {
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
			plans = append(plans, s.runService(ctx, svc))
		}
	}
	maps.DeleteFunc(s.states, func(name camphorhinge.ServiceName, _ *serviceState) bool { return !seen[name] })
	s.plans.Store(&plans)
}

func (s *Controller) runService(ctx context.Context, svc *schema.Service) Plan {
	st := s.states[svc.Name]
	fresh := st == nil
	if fresh {
		st = &serviceState{}
		s.states[svc.Name] = st
	}
	now := s.cfg.Clock.Now()
	in := Input{
		Service: svc, Now: now, Wall: s.cfg.Wall(), Engines: s.cfg.Source.Engines(svc),
		History: s.cfg.Source.History(svc.Name), Recent: s.cfg.Source.Recent(svc.Name),
		Rates: s.cfg.Rates, Absence: s.cfg.Absence,
	}
	if st.changed && now.Sub(st.changedAt) < settleTime {
		in.Engines = append([]Engine{{Changing: true}}, in.Engines...)
	}
	p := MakePlan(in)
	s.counter("camphorhinge_role_decisions_total{service=%q,reason=%q}", svc.Name, p.Reason)
	changed := fresh || p.Reason != st.plan.Reason || p.From != ""
	st.plan = p
	if changed || now.Sub(st.recordedAt) >= recordInterval {
		st.recordedAt = now
		s.cfg.Decisions.Note("role", string(svc.Name), p.Reason, inputs(&p))
	}
	if p.From == "" {
		return p
	}
	s.counter("camphorhinge_role_changes_wanted_total{service=%q,from=%q,to=%q}", svc.Name, p.From, p.To)
	// A change whose outcome is not known may be under way as well.
	st.changedAt, st.changed = now, true
	if err := s.cfg.Planner.Change(ctx, svc.Name, p.From, p.To); err != nil {
		s.counter("camphorhinge_role_changes_failed_total{service=%q}", svc.Name)
		s.cfg.Decisions.Note("role", string(svc.Name), "the wanted change was not decided", map[string]string{
			"from": string(p.From), "to": string(p.To), "error": err.Error(),
		})
	}
	return p
}

func (s *Controller) counter(format string, args ...any) {
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
