package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// TestPlan guards against conflicting decisions, engines taken out of service below a floor or beyond the limit,
// orders to unprotected engines, and loads that start in the wrong order.
func TestPlan(t *testing.T) {
	const mixed, decode, prefill = camphorhinge.RoleMixed, camphorhinge.RoleDecode, camphorhinge.RolePrefill
	type eng struct {
		role     camphorhinge.Role
		models   string // one letter for each model
		decided  *Desired
		open     *Desired // desired state of the open order
		draining bool
		plain    bool
		busy     bool
		running  int
	}
	d := func(r camphorhinge.Role, models ...camphorhinge.ModelName) *Desired {
		x := desired(r, models...)
		return &x
	}
	s := Service{Name: testService, Models: []camphorhinge.ModelName{"m"}, MaxUnavailable: 2, Goodput: 10}
	tests := []struct {
		name    string
		edit    func(*Service)
		engines []eng
		want    []string // "engine role models draining"
		jobs    []string
		refused int
	}{
		{
			"adopts engines as they are", nil,
			[]eng{{role: mixed, models: "m"}, {role: decode, models: "m"}},
			[]string{"0 mixed [m] false", "1 decode [m] false"},
			nil, 0,
		},
		{"nothing to do", nil, []eng{{role: mixed, models: "m", decided: d(mixed, "m")}}, nil, nil, 0},
		{"an engine without models is loaded", nil, []eng{{role: mixed}}, []string{"0 mixed [m] true"}, []string{"0"}, 0},
		{
			"partly applied change is completed", nil,
			[]eng{{role: decode, models: "x", decided: d(decode, "m")}},
			[]string{"0 decode [m] true"},
			[]string{"0"},
			0,
		},
		{
			"new models take no more engines out than allowed", func(s *Service) { s.Models = []camphorhinge.ModelName{"n"} },
			[]eng{{role: mixed, models: "m", decided: d(mixed, "m")}, {role: mixed, models: "m", decided: d(mixed, "m")}, {role: mixed, models: "m", decided: d(mixed, "m")}},
			[]string{"0 mixed [n] true", "1 mixed [n] true"},
			[]string{"0", "1"},
			0,
		},
		{
			"no engine is taken out while another one is settling", func(s *Service) {
				s.Models, s.MaxUnavailable = []camphorhinge.ModelName{"n"}, 1
				s.Settling = func(name camphorhinge.TargetName) bool { return name == "0" }
			},
			[]eng{{role: mixed, models: "n", decided: d(mixed, "n")}, {role: mixed, models: "m", decided: d(mixed, "m")}},
			nil, nil, 0,
		},
		{
			"the last serving engine stays while another one is being loaded", func(s *Service) { s.Models = []camphorhinge.ModelName{"n"} },
			[]eng{{role: mixed}, {role: mixed, models: "m", decided: d(mixed, "m")}},
			[]string{"0 mixed [n] true"},
			[]string{"0"},
			0,
		},
		{
			"the only engine is changed", func(s *Service) { s.Models = []camphorhinge.ModelName{"n"} },
			[]eng{{role: mixed, models: "m", decided: d(mixed, "m")}},
			[]string{"0 mixed [n] true"},
			[]string{"0"},
			0,
		},
		{
			"new models stop at the floor", func(s *Service) {
				s.Models = []camphorhinge.ModelName{"n"}
				s.Floors = map[camphorhinge.Role]int{mixed: 1}
			},
			[]eng{{role: mixed, models: "m", decided: d(mixed, "m")}, {role: mixed, models: "m", decided: d(mixed, "m")}},
			[]string{"0 mixed [n] true"},
			[]string{"0"},
			0,
		},
		{
			"role change takes the engine with the least work", func(s *Service) { s.Change = &RoleChange{1, mixed, decode} },
			[]eng{{role: mixed, models: "m", decided: d(mixed, "m"), running: 4}, {role: mixed, models: "m", decided: d(mixed, "m"), running: 1}},
			[]string{"1 decode [m] true"},
			[]string{"1"},
			0,
		},
		{
			"an engine whose order failed counts as unavailable", func(s *Service) { s.Models, s.MaxUnavailable = []camphorhinge.ModelName{"n"}, 1 },
			[]eng{{role: mixed, models: "m", decided: d(mixed, "n"), draining: true}, {role: mixed, models: "m", decided: d(mixed, "m")}},
			nil,
			[]string{"0"},
			0,
		},
		{"role change below the floor", func(s *Service) {
			s.Change = &RoleChange{1, mixed, decode}
			s.Floors = map[camphorhinge.Role]int{mixed: 2}
		}, []eng{{role: mixed, models: "m", decided: d(mixed, "m")}, {role: mixed, models: "m", decided: d(mixed, "m")}}, nil, nil, 0},
		{
			"role change waits for another change", func(s *Service) { s.Change = &RoleChange{1, mixed, decode} },
			[]eng{{role: mixed, models: "m", decided: d(mixed, "m")}, {role: mixed, models: "m", decided: d(prefill, "m"), open: d(prefill, "m")}},
			nil,
			[]string{"1"},
			0,
		},
		{"role and models in one decision", func(s *Service) {
			s.Change = &RoleChange{1, mixed, decode}
			s.Models = []camphorhinge.ModelName{"n"}
		}, []eng{{role: mixed, models: "m", decided: d(mixed, "m"), open: d(decode, "m")}}, nil, []string{"0"}, 0},
		{"a busy engine gets no order", nil, []eng{{role: mixed, models: "x", decided: d(mixed, "m"), busy: true}}, nil, nil, 0},
		{
			"plain engine", func(s *Service) { s.Models = []camphorhinge.ModelName{"n"} },
			[]eng{{role: mixed, models: "m", plain: true}},
			[]string{"0 mixed [m] false"},
			nil, 1,
		},
		{
			"plain engine and unfenced", func(s *Service) { s.Models, s.Unfenced = []camphorhinge.ModelName{"n"}, true },
			[]eng{{role: mixed, models: "m", plain: true}},
			[]string{"0 mixed [n] true"},
			[]string{"0"},
			0,
		},
		{
			"most goodput per byte first", func(s *Service) {
				s.Models = []camphorhinge.ModelName{"m", "n"}
				s.ModelBytes = map[camphorhinge.ModelName]int64{"m": 5, "n": 2}
			},
			[]eng{{role: mixed}, {role: mixed, models: "m", decided: d(mixed, "m", "n")}, {role: mixed, models: "n", decided: d(mixed, "m", "n")}},
			[]string{"0 mixed [m n] true", "1 mixed [m n] true", "2 mixed [m n] true"},
			[]string{"1", "2", "0"},
			0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := s
			if tt.edit != nil {
				tt.edit(&s)
			}
			var live []*camphorhinge.Target
			entries := map[camphorhinge.TargetName]Entry{}
			for i, e := range tt.engines {
				a := newFakeEngine(camphorhinge.FencingChecked, "").a
				a.Name, a.Role, a.Busy, a.Load.Running = camphorhinge.TargetName(fmt.Sprint(i)), e.role, e.busy, e.running
				a.Models = nil
				for _, m := range e.models {
					a.Models = append(a.Models, camphorhinge.ModelName(m))
				}
				if e.plain {
					a.Fencing, a.Orders = camphorhinge.FencingIgnored, camphorhinge.OrdersPlain
				}
				live = append(live, &camphorhinge.Target{Announcement: a})
				if e.decided != nil {
					n := Entry{Engine: a.Name, Service: testService, Desired: *e.decided, Draining: e.draining}
					if e.open != nil {
						n.Open = &Order{Desired: *e.open}
					}
					entries[a.Name] = n
				}
			}
			next := Plan(s, live, func(n camphorhinge.TargetName) (Entry, bool) { e, ok := entries[n]; return e, ok })
			var got, jobs []string
			for _, x := range next.Decisions {
				got = append(got, fmt.Sprint(x.Engine, " ", x.Desired.Role, " ", x.Desired.Models, " ", x.Draining))
			}
			for _, j := range next.Jobs {
				jobs = append(jobs, string(j.Target.Name))
			}
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.jobs, jobs)
			require.Len(t, next.Refused, tt.refused)
		})
	}
}

// TestBudget guards against more loads at a time, or more bytes per second, than the store of weights allows.
func TestBudget(t *testing.T) {
	at := func(s int) camphorhinge.Instant { return camphorhinge.Instant(time.Duration(s) * time.Second) }
	b := NewBudget(2, 10)
	require.True(t, b.TryAcquire(at(0), 50))
	require.False(t, b.TryAcquire(at(4), 10), "the first 50 bytes take 5 s")
	require.True(t, b.TryAcquire(at(4), 0), "an order without a load is not limited")
	require.True(t, b.TryAcquire(at(5), 10))
	require.False(t, b.TryAcquire(at(60), 10), "two loads run")
	b.Release(50)
	require.True(t, b.TryAcquire(at(60), 10))
	require.False(t, b.TryAcquire(at(60), 10))
}
