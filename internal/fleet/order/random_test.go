package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// disabled selects the protections that a run does without.
type disabled struct{ leaseCheck, readBack, fencing bool }

// handover runs a controller and its successor against one engine in virtual time and returns the faults found. The
// first controller's lease ends at a random moment; each of its calls may be delayed until after those of the
// successor.
func handover(t *testing.T, seed uint64, f camphorhinge.Fencing, p camphorhinge.OrderProtocol, without disabled) []string {
	var faults []string
	synctest.Test(t, func(t *testing.T) {
		r := &source{rng: rand.New(rand.NewPCG(seed, 7))}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		e := newFakeEngine(f, p)
		e.changeTime = time.Duration(50+r.intN(4000)) * time.Millisecond
		e.ignoreNonce = without.fencing
		if r.intN(3) == 0 {
			e.crashOnChange = 1 + r.intN(2)
		}
		c := newCluster()
		e.onOrder = func() string {
			if a := e.a; !c.table().Cordoned(&camphorhinge.Target{Announcement: a}) {
				return "order accepted by an engine that gets new work"
			}
			return ""
		}
		leaseEnd := time.Now().Add(time.Duration(500+r.intN(5500)) * time.Millisecond)
		// No answer is lost from then on, so that the successor completes its change.
		reliableFrom := leaseEnd.Add(20 * time.Second)
		newEnv := func(term camphorhinge.Term, until time.Time, change camphorhinge.Role, models ...camphorhinge.ModelName) *controllerEnv {
			return &controllerEnv{
				term: term, cluster: c, engine: e, leaseEnd: until, lag: time.Duration(r.intN(int(camphorhinge.TargetExpiry))),
				noReadBack: without.readBack, noFencing: without.fencing,
				loseAnswer: func() bool { return time.Now().Before(reliableFrom) && r.intN(5) == 0 },
				delay: func() {
					d := time.Duration(r.intN(40)) * time.Millisecond
					if time.Now().Before(leaseEnd) && r.intN(8) == 0 {
						d = time.Duration(r.intN(6000)) * time.Millisecond
					}
					time.Sleep(d)
				},
				delayOrder: func() {
					if time.Now().Before(leaseEnd) && r.intN(3) == 0 {
						time.Sleep(time.Duration(r.intN(10000)) * time.Millisecond)
					}
				},
				services: func() []Service {
					s := Service{Name: testService, Models: models, MaxUnavailable: 1}
					if term == 1 {
						s.Change = &RoleChange{ID: 1, From: camphorhinge.RoleMixed, To: change}
					}
					return []Service{s}
				},
			}
		}
		var g errgroup.Group
		old := newEnv(1, leaseEnd, camphorhinge.RolePrefill, "m", "n")
		old.noLeaseCheck = without.leaseCheck
		first := old.controller(c.startTerm(1))
		g.Go(func() error { return first.Run(ctx) })
		time.Sleep(time.Until(leaseEnd) + time.Duration(r.intN(200))*time.Millisecond)
		next := newEnv(2, leaseEnd.Add(time.Hour), "", "o")
		second := next.controller(c.startTerm(2))
		g.Go(func() error { return second.Run(ctx) })
		time.Sleep(100 * time.Second)
		cancel()
		require.ErrorIs(t, g.Wait(), context.Canceled)
		synctest.Wait()
		faults = e.faults
		if without == (disabled{}) {
			entry, ok := c.table().Entry(testEngine)
			a := e.read()
			if !ok || entry.Open != nil || c.table().Cordoned(&camphorhinge.Target{Announcement: a}) {
				faults = append(faults, fmt.Sprintf("not settled: %+v against %+v, %+v", entry, a, second.Status()))
			}
			if len(a.Models) != 1 || a.Models[0] != "o" {
				faults = append(faults, fmt.Sprintf("models of a deposed controller's decision: %v", a.Models))
			}
		}
	})
	return faults
}

const (
	// handoverSeeds is the number of seeds per engine kind.
	handoverSeeds = 150
	// maxSeeds bounds the search for a seed that shows a disabled protection; about one seed in 500 shows the rarest
	// fault seen.
	maxSeeds = 3000
)

// TestHandover guards against an order of a deposed controller that takes effect after its successor reached the
// engine, two orders at a time on one engine, an order to an engine that still gets work, and a change that is never
// completed.
func TestHandover(t *testing.T) {
	for _, k := range engineKinds() {
		t.Run(k.name, func(t *testing.T) {
			for seed := range uint64(handoverSeeds) {
				require.Empty(t, handover(t, seed, k.fencing, k.orders, disabled{}), "seed %d", seed)
			}
		})
	}
}

type engineKind struct {
	name    string
	fencing camphorhinge.Fencing
	orders  camphorhinge.OrderProtocol
}

func engineKinds() []engineKind {
	return []engineKind{
		{"checked", camphorhinge.FencingChecked, camphorhinge.OrdersPlain},
		{"twostep", camphorhinge.FencingIgnored, camphorhinge.OrdersTwoStep},
		{"conditional", camphorhinge.FencingIgnored, camphorhinge.OrdersConditional},
	}
}

// TestHandoverNeedsEachProtection checks that TestHandover detects the faults that each protection prevents.
func TestHandoverNeedsEachProtection(t *testing.T) {
	k := engineKinds()
	tests := []struct {
		name    string
		kind    engineKind
		without disabled
	}{
		{"checked without read-back", k[0], disabled{readBack: true}},
		{"checked without touch", k[0], disabled{fencing: true}},
		{"twostep without read-back", k[1], disabled{readBack: true}},
		{"twostep without prepare", k[1], disabled{fencing: true}},
		{"twostep without lease check", k[1], disabled{leaseCheck: true}},
		{"conditional without lease check", k[2], disabled{leaseCheck: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				if faults := handover(t, seed, tt.kind.fencing, tt.kind.orders, tt.without); len(faults) > 0 {
					t.Logf("seed %d: %v", seed, faults)
					return
				}
			}
			t.Fatalf("none of %d seeds shows a fault", maxSeeds)
		})
	}
}
