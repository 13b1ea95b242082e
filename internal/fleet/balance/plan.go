package balance

import (
	"cmp"
	"math"
	"slices"

	"example.org/camphorhinge"
)

const (
	// startShare is the share of engines that get the decode role before any load was measured. Decoding runs in batches of
	// many requests, and reading prompts does not, so that reading needs most engines.
	startShare = 0.25
	// leastDecode is the least number of engines in the decode role, so that one may be lost.
	leastDecode = 2
	// calmBatch is the number of requests that an engine in the decode role is meant to run at once, as a share of its
	// slots: a larger batch makes each step slower.
	calmBatch = 0.4
	// spare is the factor by which the measured load is raised, since it moves.
	spare = 1.3
	// deadband is the number of surplus decode engines that is left alone.
	deadband = 1
	// awayShare is the share of a service's engines that change at the same time once there is load.
	awayShare = 0.1
)

// Load is the measured load of a service.
type Load struct {
	// Running is the mean number of requests that generate tokens at once; negative when it is not known.
	Running float64
}

// Change is a role change of one engine.
type Change struct {
	Engine *camphorhinge.Target
	To     camphorhinge.Role
}

// Wanted returns the number of engines that should have the decode role, of n with the given slots.
func Wanted(n, slots int, load Load) int {
	if n < 2 {
		return n
	}
	want := int(math.Ceil(float64(n) * startShare))
	if load.Running >= 0 && slots > 0 {
		want = int(math.Ceil(load.Running * spare / (calmBatch * float64(slots))))
	}
	return min(max(want, leastDecode), n-1)
}

// Engine is an engine as Plan sees it.
type Engine struct {
	*camphorhinge.Target
	// Changing is true while an order is being carried out; Role is then the one that it leads to.
	Changing bool
	// Resting is true while the engine must get no order.
	Resting bool
}

// Plan returns the next role changes of a service's engines. Engines that serve both roles at full speed or leave are left
// alone. Before there is load all changes are made at once, later only a few at a time.
func Plan(engines []Engine, load Load) []Change {
	var readers, servers []*camphorhinge.Target
	counts := map[camphorhinge.Role]int{}
	slots, changing := 0, 0
	for _, e := range engines {
		if e.Leaving || e.Role == camphorhinge.RoleMixed {
			continue
		}
		counts[e.Role]++
		slots = max(slots, e.Slots)
		switch {
		case e.Changing:
			changing++
		case e.Resting:
		case e.Role == camphorhinge.RolePrefill:
			readers = append(readers, e.Target)
		case e.Role == camphorhinge.RoleDecode:
			servers = append(servers, e.Target)
		}
	}
	n := counts[camphorhinge.RolePrefill] + counts[camphorhinge.RoleDecode]
	limit := n
	if load.Running >= 0 {
		limit = max(int(awayShare*float64(n)), 1)
	}
	limit -= changing
	surplus := counts[camphorhinge.RoleDecode] - Wanted(n, slots, load)
	var out []Change
	switch {
	case surplus > deadband || load.Running < 0 && surplus > 0:
		for _, t := range first(spread(servers), min(surplus, limit)) {
			out = append(out, Change{Engine: t, To: camphorhinge.RolePrefill})
		}
	case surplus < 0:
		for _, t := range first(spread(readers), min(-surplus, limit)) {
			out = append(out, Change{Engine: t, To: camphorhinge.RoleDecode})
		}
	}
	return out
}

func first(targets []*camphorhinge.Target, n int) []*camphorhinge.Target {
	return targets[:max(min(n, len(targets)), 0)]
}

// spread orders engines so that those of the zone with the most come first, and each zone keeps some.
func spread(targets []*camphorhinge.Target) []*camphorhinge.Target {
	left := slices.Clone(targets)
	var out []*camphorhinge.Target
	for len(left) > 0 {
		count := map[camphorhinge.Zone]int{}
		for _, t := range left {
			count[t.Zone]++
		}
		i := 0
		for j, t := range left {
			if c := cmp.Compare(count[t.Zone], count[left[i].Zone]); c > 0 || c == 0 && t.Name < left[i].Name {
				i = j
			}
		}
		out = append(out, left[i])
		left = slices.Delete(left, i, i+1)
	}
	return out
}
