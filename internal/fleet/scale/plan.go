package scale

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/balance"
	"example.org/camphorhinge/internal/record/routing"
)

const (
	// removeShare is the greatest share of the serving engines that is removed within removeInterval, so that the others take over prompts
	// and KV caches in between.
	removeInterval = 2500 * time.Millisecond
	removeShare    = 0.2
	// smallShare is the share of the engines below which removing some is worth a call only each smallInterval.
	smallShare    = 0.03
	smallInterval = 10 * time.Second
	// settleMargin is the time beyond the boot time in which engines that were ordered must have announced themselves.
	settleMargin = 2 * time.Second
)

// Stock is what there is of one kind of engine.
type Stock struct {
	// Serving is the number of engines that serve, and Starting that of engines that were ordered within the boot time and have not
	// announced themselves.
	Serving, Starting int
	// Ordered is the number that was ordered last.
	Ordered int
	// Refused is set while no more can be had.
	Refused bool
	// IncreasedAt is the time of the last order of more, or 0.
	IncreasedAt camphorhinge.Instant
}

// existing returns the number of engines that are there or that will be without a further order.
func (s Stock) existing() int { return s.Serving + s.Starting }

// Input is what a Planner decides by.
type Input struct {
	Now    camphorhinge.Instant
	Load   balance.Load
	Slots  int
	Limits routing.Scaling
	// Prices has the zones in which there are engines.
	Prices map[camphorhinge.Zone]float64
	Stock  map[Kind]Stock
	// Removed is the number of engines that were ordered away within removeInterval, and RemovedAt the time of the last such order, or 0.
	Removed   int
	RemovedAt camphorhinge.Instant
	// Keep forbids to remove engines, as the provider can't be reached or takes engines back.
	Keep bool
	// Settling is set while engines that a previous holder of the duties has ordered may still be starting. It forbids to remove
	// engines, and to add any while those that serve carry the load.
	Settling bool
}

// total returns the number of engines that are there or that will be without a further order.
func (in Input) total() int {
	n := 0
	for _, s := range in.Stock {
		n += s.existing()
	}
	return n
}

// Decision is the wanted number of engines of each kind.
type Decision struct {
	Need   Need
	Wanted map[Kind]int
	// Reason says why the wanted numbers are so.
	Reason string
}

// Planner decides how many engines of a service are wanted. It is not safe for concurrent use.
type Planner struct {
	peaks peaks
	need  Need
}

// Plan returns the wanted numbers. Unless the load has been measured they are those that were ordered, and the least number of each zone.
func (p *Planner) Plan(in Input) Decision {
	d := Decision{Wanted: map[Kind]int{}, Reason: "not measured"}
	for kind, s := range in.Stock {
		d.Wanted[kind] = s.Ordered
	}
	switch {
	case in.Load.Running >= 0:
		found := needOf(p.peaks.add(in.Now, in.Load), in.Slots)
		if in.Load.Age < cacheFillTime {
			// Engines that are added have empty caches, too, so that no reserve is added for this load.
			found.Burst = max(found.Base, min(found.Burst, in.total()))
		}
		p.need = p.need.follow(found)
	case p.need == Need{}:
		if !in.Settling {
			addLeast(in, &d)
		}
		return d
	}
	d.Need = p.need
	goal := newOffer(in).cheapest(p.need)
	d.Reason = fmt.Sprintf("as planned for %d engines, %d without the reserve", p.need.Burst, p.need.Base)
	if goal.missing > 0 {
		d.Reason = fmt.Sprintf("%d engines of %d can't be had", goal.missing, p.need.Burst)
	}
	serving, total := map[Kind]int{}, 0
	for kind, s := range in.Stock {
		serving[kind] = s.Serving
		total += s.Serving
	}
	if in.Settling && total >= p.need.Base {
		return d
	}
	if !add(in, goal, &d) && !in.Keep && !in.Settling && in.Load.Running >= 0 {
		p.remove(in, goal, serving, &d)
	}
	return d
}

// addLeast raises the wanted numbers of zones with fewer engines than the least number to that.
func addLeast(in Input, d *Decision) {
	for zone := range in.Prices {
		kind := Kind{Zone: zone}
		missing := in.Limits.Min - in.Stock[kind].existing() - in.Stock[Kind{zone, true}].existing()
		if missing > 0 && !in.Stock[kind].Refused {
			d.Wanted[kind] += missing
		}
	}
}

// add raises the wanted numbers to the goal, within the bound of each zone, and reports whether it did.
func add(in Input, goal mix, d *Decision) bool {
	inZone := map[camphorhinge.Zone]int{}
	for kind, n := range d.Wanted {
		inZone[kind.Zone] += n
	}
	added := false
	for kind, n := range goal.counts {
		s := in.Stock[kind]
		more := min(n-s.existing(), in.Limits.Max-inZone[kind.Zone])
		if more <= 0 {
			continue
		}
		added = true
		d.Wanted[kind] = s.Ordered + more
		inZone[kind.Zone] += more
	}
	return added
}

// remove lowers the wanted numbers toward the goal. The engines that serve now must meet the need without those removed.
func (p *Planner) remove(in Input, goal mix, serving map[Kind]int, d *Decision) {
	total := 0
	for _, n := range serving {
		total += n
	}
	step := max(int(removeShare*float64(total)), 1) - in.Removed
	small := int(smallShare * float64(total))
	for _, kind := range dearestFirst(in) {
		s := in.Stock[kind]
		if s.IncreasedAt != 0 && in.Now.Sub(s.IncreasedAt) < in.Limits.Boot+settleMargin {
			continue
		}
		removed := 0
		for limit := min(s.existing()-goal.counts[kind], step, d.Wanted[kind]); removed < limit; removed++ {
			serving[kind]--
			if !meets(serving, p.need) {
				serving[kind]++
				break
			}
		}
		if removed == 0 || removed <= small && in.RemovedAt != 0 && in.Now.Sub(in.RemovedAt) < smallInterval {
			serving[kind] += removed
			continue
		}
		d.Wanted[kind] -= removed
		step -= removed
	}
}

// meets reports whether engines meet a need.
func meets(counts map[Kind]int, need Need) bool {
	total, most := 0, 0
	for kind, n := range counts {
		total += n
		if kind.Spot {
			most = max(most, n)
		}
	}
	return total >= need.Burst && total-most >= need.Base
}

// dearestFirst returns the kinds by descending price.
func dearestFirst(in Input) []Kind {
	price := func(k Kind) float64 {
		if k.Spot {
			return in.Prices[k.Zone] * in.Limits.SpotPrice
		}
		return in.Prices[k.Zone]
	}
	return slices.SortedFunc(maps.Keys(in.Stock), func(a, b Kind) int {
		return cmp.Or(cmp.Compare(price(b), price(a)), cmp.Compare(a.Zone, b.Zone))
	})
}
