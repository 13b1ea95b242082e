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
	// DefaultAbsence allows 10 s to drain and 15 s to change the role.
	DefaultAbsence = 25 * time.Second
	// settleTime is how long a change that was passed to the planner counts as under way, even if the source does not
	// show it yet. Otherwise a slow commit could lead to a second change.
	settleTime = 3 * role.SampleInterval
	// recordInterval is the time after which an unchanged decision is recorded again, with its current inputs.
	recordInterval = time.Minute
)

// DefaultRates returns the rates assumed for an engine when none are configured.
func DefaultRates() role.Rates {
	return role.Rates{Prefill: 12_000, Decode: 1_500, Mixed: 0.8, Chunked: 0.5, OnPrefill: 0.3}
}

// Source is the lease holder's view of the fleet. Its methods are safe for concurrent use.
type Source interface {
	// Leads reports whether this node currently holds the lease.
	Leads() bool
	// Services returns the services in force, sorted by name; those of another type than schema.TypeModel are skipped.
	Services() []*schema.Service
	// Engines returns the live engines of a service, and those that are absent only because of a role change.
	Engines(service *schema.Service) []Engine
	// Recent returns the service's role changes of the last half hour, oldest first.
	Recent(service camphorhinge.ServiceName) []role.Change
	// History returns the demand on a service, as *workload.Collector does.
	History(service camphorhinge.ServiceName) role.History
}

// Planner turns requested role changes into orders.
type Planner interface {
	// Change selects one changeable engine of the service in role from and commits the decision to change it to role
	// to. It returns once the decision is committed, or an error when it is refused or its outcome is unknown.
	Change(ctx context.Context, service camphorhinge.ServiceName, from, to camphorhinge.Role) error
}

// Config holds the dependencies of a Controller. Zero Rates and Absence select DefaultRates and DefaultAbsence.
type Config struct {
	Source  Source
	Planner Planner
	Clock   camphorhinge.Clock
	// Wall returns the wall-clock time; nil selects time.Now.
	Wall      func() time.Time
	Decisions camphorhinge.Decisions
	Metrics   *metrics.Set
	Rates     role.Rates
	Absence   time.Duration
}

// Controller periodically decides on role changes and passes them to a Planner.
type Controller struct {
	cfg Config
	// states is only used by RunOnce; plans holds its results.
	states map[camphorhinge.ServiceName]*serviceState
	plans  atomic.Pointer[[]Plan]
}

// serviceState is the state that a Controller keeps for a service between two rounds.
type serviceState struct {
	// changedAt is the time of the last change passed to the planner, if changeRequested is true.
	changedAt       camphorhinge.Instant
	changeRequested bool
	recordedAt      camphorhinge.Instant
	plan            Plan
}

// New returns a Controller without plans; Run starts it.
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
	c := &Controller{cfg: cfg, states: map[camphorhinge.ServiceName]*serviceState{}}
	c.plans.Store(&[]Plan{})
	return c
}

// Run decides every role.SampleInterval while this node leads, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(role.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.RunOnce(ctx)
		}
	}
}

// Plans returns the latest plan of each service, for status; it is empty on a node that does not lead. The caller must
// not modify the slice. It is safe for concurrent use.
func (c *Controller) Plans() []Plan { return *c.plans.Load() }

// RunOnce decides once for each service; Run calls it. The lease is checked before each service, and again by the
// planner's commit.
func (c *Controller) RunOnce(ctx context.Context) {
	plans := []Plan{}
	seen := map[camphorhinge.ServiceName]bool{}
	for _, svc := range c.cfg.Source.Services() {
		if !c.cfg.Source.Leads() {
			clear(c.states)
			c.plans.Store(&[]Plan{})
			return
		}
		if svc.Type == schema.TypeModel {
			seen[svc.Name] = true
			plans = append(plans, c.runService(ctx, svc))
		}
	}
	maps.DeleteFunc(c.states, func(name camphorhinge.ServiceName, _ *serviceState) bool { return !seen[name] })
	c.plans.Store(&plans)
}

func (c *Controller) runService(ctx context.Context, svc *schema.Service) Plan {
	st := c.states[svc.Name]
	fresh := st == nil
	if fresh {
		st = &serviceState{}
		c.states[svc.Name] = st
	}
	now := c.cfg.Clock.Now()
	in := Input{
		Service: svc, Now: now, Wall: c.cfg.Wall(), Engines: c.cfg.Source.Engines(svc),
		History: c.cfg.Source.History(svc.Name), Recent: c.cfg.Source.Recent(svc.Name),
		Rates: c.cfg.Rates, Absence: c.cfg.Absence,
	}
	if st.changeRequested && now.Sub(st.changedAt) < settleTime {
		in.Engines = append([]Engine{{Changing: true}}, in.Engines...)
	}
	p := MakePlan(in)
	c.counter("camphorhinge_role_decisions_total{service=%q,reason=%q}", svc.Name, p.Reason)
	changed := fresh || p.Reason != st.plan.Reason || p.From != ""
	st.plan = p
	if changed || now.Sub(st.recordedAt) >= recordInterval {
		st.recordedAt = now
		c.cfg.Decisions.Record("role", string(svc.Name), p.Reason, inputs(&p))
	}
	if p.From == "" {
		return p
	}
	c.counter("camphorhinge_role_changes_wanted_total{service=%q,from=%q,to=%q}", svc.Name, p.From, p.To)
	// These are set before the outcome is known, since a change of unknown outcome may be under way as well.
	st.changedAt, st.changeRequested = now, true
	if err := c.cfg.Planner.Change(ctx, svc.Name, p.From, p.To); err != nil {
		c.counter("camphorhinge_role_changes_failed_total{service=%q}", svc.Name)
		c.cfg.Decisions.Record("role", string(svc.Name), "the requested role change was not committed", map[string]string{
			"from": string(p.From), "to": string(p.To), "error": err.Error(),
		})
	}
	return p
}

func (c *Controller) counter(format string, args ...any) {
	c.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(format, args...)).Inc()
}

// inputs returns the inputs of a plan for the record of decisions.
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
