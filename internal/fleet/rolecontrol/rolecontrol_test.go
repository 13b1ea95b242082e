package rolecontrol

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/role"
	"example.org/camphorhinge/internal/fleet/workload"
	"example.org/camphorhinge/internal/record/schema"
)

const (
	prefill = camphorhinge.RolePrefill
	decode  = camphorhinge.RoleDecode
	mixed   = camphorhinge.RoleMixed
	none    = camphorhinge.Role("")
)

// load returns a demand that keeps the given number of engines busy, with the given share of prefill.
func load(engines, share float64) role.Demand {
	r := DefaultRates()
	return role.Demand{Prompt: engines * share * r.Prefill, Output: engines * (1 - share) * r.Decode}
}

func history(n int, d role.Demand) role.History {
	h := make(role.History, n)
	for i := range h {
		h[i] = role.Sample{At: camphorhinge.Instant(i) * camphorhinge.Instant(role.SampleInterval), Demand: d}
	}
	return h
}

func engines(c role.Counts) []Engine {
	var out []Engine
	for _, r := range roles() {
		for range c.Get(r) {
			out = append(out, Engine{Role: r, Serving: true, Changeable: true})
		}
	}
	return out
}

// Guards against a plan that chooses an engine which can't change, counts one that does not serve, ignores a quiet
// window in its own time zone, or changes engines towards a floor when that costs capacity or another change is under
// way.
func TestMakePlan(t *testing.T) {
	bogota, err := time.LoadLocation("America/Bogota") // UTC-5
	require.NoError(t, err)
	noon := time.Date(2026, 3, 2, 12, 0, 0, 0, bogota)
	quiet := func(from, to time.Duration) []schema.Window {
		return []schema.Window{{From: from, To: to, Zone: bogota}}
	}
	allMixed := func(in *Input) {
		in.Engines = engines(role.Counts{Mixed: 10})
		in.Service.Floors = schema.Floors{Prefill: 2, Decode: 3}
		in.History = history(60, load(3, 0.5))
	}
	tests := []struct {
		name     string
		set      func(in *Input)
		from, to camphorhinge.Role
		reason   string
	}{
		{"gain", func(*Input) {}, decode, prefill, role.ReasonGain},
		{"no engine of the role can change", func(in *Input) {
			for i := range in.Engines {
				in.Engines[i].Changeable = in.Engines[i].Role != decode
			}
		}, none, none, role.ReasonCost},
		{"engines that don't serve", func(in *Input) {
			for i := range in.Engines {
				in.Engines[i].Serving = false
			}
		}, none, none, ReasonNoEngine},
		{"an engine changes", func(in *Input) {
			in.Engines = append(in.Engines, Engine{Role: decode, Changing: true})
		}, none, none, role.ReasonChanging},
		{"quiet hours", func(in *Input) { in.Service.Quiet = quiet(11*time.Hour, 13*time.Hour) }, none, none, role.ReasonQuiet},
		{"quiet hours of another zone", func(in *Input) { in.Service.Quiet = quiet(16*time.Hour, 18*time.Hour) }, decode, prefill, role.ReasonGain},
		{"quiet hours begin during the change", func(in *Input) {
			in.Wall = noon.Add(-10 * time.Second)
			in.Service.Quiet = quiet(12*time.Hour, 13*time.Hour)
		}, none, none, role.ReasonQuiet},
		{"a quiet minute lies within a long change", func(in *Input) {
			in.Absence = 3 * time.Minute
			in.Service.Quiet = quiet(12*time.Hour+time.Minute, 12*time.Hour+2*time.Minute)
		}, none, none, role.ReasonQuiet},
		{"floor", func(in *Input) { in.Service.Floors.Decode = 12 }, none, none, role.ReasonCost},
		{"weights", func(in *Input) { in.Service.Objective.Changes = 20 }, none, none, role.ReasonCost},
		{"new leader", func(in *Input) { in.History = in.History[:role.MinHistory-1] }, none, none, role.ReasonShortHistory},
		{"all mixed, largest shortfall first", allMixed, mixed, decode, ReasonFloor},
		{"all mixed, equal shortfalls", func(in *Input) {
			allMixed(in)
			in.Service.Floors.Prefill = 3
		}, mixed, prefill, ReasonFloor},
		{"all mixed, no demand", func(in *Input) {
			allMixed(in)
			in.History = history(60, role.Demand{})
		}, mixed, decode, ReasonFloor},
		{"all mixed, busy", func(in *Input) {
			allMixed(in)
			in.History = history(60, load(7.2, 0.5))
		}, none, none, role.ReasonLevers},
		{"all mixed, new leader", func(in *Input) {
			allMixed(in)
			in.History = in.History[:role.MinHistory-1]
		}, none, none, role.ReasonEnough},
		{"all mixed, an engine changes", func(in *Input) {
			allMixed(in)
			in.Engines = append(in.Engines, Engine{Changing: true})
		}, none, none, role.ReasonEnough},
		{"all mixed, quiet hours", func(in *Input) {
			allMixed(in)
			in.Service.Quiet = quiet(11*time.Hour, 13*time.Hour)
		}, none, none, role.ReasonEnough},
		{"all mixed, engines can't change", func(in *Input) {
			allMixed(in)
			for i := range in.Engines {
				in.Engines[i].Changeable = false
			}
		}, none, none, role.ReasonEnough},
		{"floors above the fleet", func(in *Input) {
			allMixed(in)
			in.Engines = engines(role.Counts{Prefill: 2, Decode: 3})
			in.Service.Floors = schema.Floors{Prefill: 5, Decode: 3, Mixed: 4}
			in.History = history(60, load(1, 0.5))
		}, none, none, role.ReasonEnough},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := Input{
				Service: &schema.Service{
					Name: "asesor-lm", Type: schema.TypeModel, Floors: schema.Floors{Prefill: 1, Decode: 1},
					Objective: schema.ObjectiveWeights{Goodput: 1, Changes: 1},
				},
				Now: camphorhinge.Instant(time.Hour), Wall: noon.UTC(), Engines: engines(role.Counts{Prefill: 6, Decode: 12}),
				History: history(60, load(17, 0.7)), Rates: DefaultRates(), Absence: DefaultAbsence,
			}
			tt.set(&in)
			p := MakePlan(in)
			require.Equal(t, tt.reason, p.Reason)
			require.Equal(t, tt.from, p.From)
			require.Equal(t, tt.to, p.To)
			want := p.Counts
			if p.From != "" {
				want = want.Add(p.From, -1).Add(p.To, 1)
			}
			require.Equal(t, want, p.Wanted)
			require.Equal(t, p, MakePlan(in), "equal inputs give equal plans")
		})
	}
}

// Guards against orders to an engine on which a late order could still take effect.
func TestChangeable(t *testing.T) {
	for _, fencing := range []camphorhinge.Fencing{camphorhinge.FencingChecked, camphorhinge.FencingIgnored, ""} {
		for _, orders := range []camphorhinge.OrderProtocol{
			camphorhinge.OrdersPlain, camphorhinge.OrdersTwoStep, camphorhinge.OrdersConditional, "",
		} {
			a := &camphorhinge.Announcement{Fencing: fencing, Orders: orders}
			unprotected := fencing != camphorhinge.FencingChecked && (orders == camphorhinge.OrdersPlain || orders == "")
			require.Equal(t, !unprotected, Changeable(a, false), "%s %s", fencing, orders)
			require.True(t, Changeable(a, true))
		}
	}
}

// fleet is a service whose engines take DefaultAbsence to change; it implements Source and Planner.
type fleet struct {
	now     camphorhinge.Instant
	leads   bool
	service schema.Service
	counts  role.Counts
	demand  role.Demand
	// visibleAfter is the delay after which the source shows a change.
	visibleAfter  time.Duration
	refuse        error
	changes       []role.Change
	maxConcurrent int // of engines that change at once
	decisions     []camphorhinge.Decision
}

func (f *fleet) Now() camphorhinge.Instant { return f.now }
func (f *fleet) Leads() bool               { return f.leads }

func (f *fleet) Services() []*schema.Service {
	return []*schema.Service{&f.service, {Name: "pedidos-app", Type: schema.TypePlain}}
}

func (f *fleet) Recent(camphorhinge.ServiceName) []role.Change { return f.changes }

func (f *fleet) History(camphorhinge.ServiceName) role.History { return history(60, f.demand) }

func (f *fleet) Engines(*schema.Service) []Engine {
	counts, changing := f.counts, 0
	for _, c := range f.changes {
		switch ago := f.now.Sub(c.At); {
		case ago < f.visibleAfter:
		case ago < DefaultAbsence:
			counts = counts.Add(c.From, -1)
			changing++
		default:
			counts = counts.Add(c.From, -1).Add(c.To, 1)
		}
	}
	out := engines(counts)
	for range changing {
		out = append(out, Engine{Changing: true})
	}
	return out
}

func (f *fleet) Change(_ context.Context, _ camphorhinge.ServiceName, from, to camphorhinge.Role) error {
	if f.refuse != nil {
		return f.refuse
	}
	f.changes = append(f.changes, role.Change{At: f.now, From: from, To: to})
	changing := 0
	for _, c := range f.changes {
		if f.now.Sub(c.At) < DefaultAbsence {
			changing++
		}
	}
	f.maxConcurrent = max(f.maxConcurrent, changing)
	return nil
}

func (f *fleet) Record(kind, subject, reason string, inputs map[string]string) {
	f.decisions = append(f.decisions, camphorhinge.Decision{Kind: kind, Subject: subject, Reason: reason, Inputs: inputs})
}

func (f *fleet) controller() *Controller {
	return New(Config{
		Source: f, Planner: f, Clock: f, Decisions: f, Metrics: metrics.NewSet(),
		Wall: func() time.Time { return time.Unix(0, int64(f.now)) },
	})
}

func (f *fleet) run(c *Controller, rounds int) {
	for range rounds {
		f.now = f.now.Add(role.SampleInterval)
		c.RunOnce(context.Background())
	}
}

func newFleet(counts role.Counts, floors schema.Floors, demand role.Demand) *fleet {
	return &fleet{
		leads: true, counts: counts, demand: demand,
		service: schema.Service{
			Name: "asesor-lm", Type: schema.TypeModel, Floors: floors, Objective: schema.ObjectiveWeights{Goodput: 4, Changes: 1},
		},
	}
}

// Guards against many concurrent changes when a fleet announces itself all mixed while the record asks for other roles,
// also when the source shows changes late, and against a policy that reverses such changes.
func TestFloorsReachedOneByOne(t *testing.T) {
	for _, visibleAfter := range []time.Duration{0, 12 * time.Second} {
		f := newFleet(role.Counts{Mixed: 18}, schema.Floors{Prefill: 2, Decode: 3}, load(6, 0.5))
		f.visibleAfter = visibleAfter
		f.run(f.controller(), 120)
		require.Len(t, f.changes, 5)
		require.Equal(t, 1, f.maxConcurrent)
		for _, c := range f.changes {
			require.Equal(t, mixed, c.From)
		}
		require.Equal(t, role.Counts{Prefill: 2, Decode: 3, Mixed: 13}, MakePlan(Input{
			Service: &f.service, Engines: f.Engines(&f.service), History: f.History(""), Rates: DefaultRates(),
		}).Counts)
	}
}

// Guards against decisions without the lease, refused changes that are requested again in every round, and a record of
// decisions that fills up with unchanged ones.
func TestController(t *testing.T) {
	f := newFleet(role.Counts{Prefill: 6, Decode: 12}, schema.Floors{Prefill: 1, Decode: 1}, load(17, 0.7))
	c := f.controller()
	f.leads = false
	f.run(c, 3)
	require.Empty(t, f.decisions)
	require.Empty(t, c.Plans())

	f.leads, f.refuse = true, errors.New("engine is lost")
	f.run(c, 12) // A minute; a refused change counts as under way for three rounds.
	require.Empty(t, f.changes)
	refused := 0
	for _, d := range f.decisions {
		require.Equal(t, "role", d.Kind)
		require.Equal(t, "asesor-lm", d.Subject)
		if d.Inputs["error"] != "" {
			refused++
		}
	}
	require.Equal(t, 4, refused)

	f.refuse = nil
	f.run(c, 3)
	require.Len(t, f.changes, 1)
	require.Len(t, c.Plans(), 1)

	f.demand, f.changes, f.decisions = load(2, 0.5), nil, nil
	f.run(c, 25)
	require.LessOrEqual(t, len(f.decisions), 4, "recorded once, and once a minute")
	require.Equal(t, role.ReasonEnough, f.decisions[0].Reason)
	require.Equal(t, "prefill=6 decode=12 mixed=0", f.decisions[0].Inputs["engines"])
}

var _ interface {
	History(camphorhinge.ServiceName) role.History
} = (*workload.Collector)(nil)
