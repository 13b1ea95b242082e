package scale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// horizon is the time over which a cheaper engine must save more than its start costs. Load and offers are not known for longer, and a
	// reclaimable engine may be taken back.
	horizon = 30 * time.Second
	// drainTime is how long an engine that leaves takes to complete its requests, and refillTime the work, in engine seconds, that the
	// prompts cost whose KV caches leave with it. Shared segments are fetched from other engines, so that it is small.
	drainTime  = 3 * time.Second
	refillTime = 3 * time.Second
)

// Kind is a zone and kind of engines.
type Kind struct {
	Zone camphorhinge.Zone
	// Spot marks engines that the provider may reclaim.
	Spot bool
}

// block is a number of engines of one kind that cost the same each.
type block struct {
	kind  Kind
	price float64
	count int
}

// offer is what can be had in the zones: blocks by ascending price, and the bounds for each zone.
type offer struct {
	blocks   []block
	min, max int
	zones    []camphorhinge.Zone
}

// newOffer returns the offer of the kinds. Engines that have yet to be started cost more by what replacing an engine costs.
func newOffer(in Input) offer {
	l := in.Limits
	o := offer{min: l.Min, max: l.Max, zones: slices.Collect(maps.Keys(in.Prices))}
	start := 1 + (l.Boot+drainTime+refillTime).Seconds()/horizon.Seconds()
	for zone, price := range in.Prices {
		for _, spot := range []bool{true, false} {
			kind, p := Kind{zone, spot}, price
			if spot {
				p *= l.SpotPrice
			}
			s := in.Stock[kind]
			o.blocks = append(o.blocks, block{kind, p, s.existing()})
			if !s.Refused && (!spot || l.SpotPrice > 0) {
				o.blocks = append(o.blocks, block{kind, p * start, max(l.Max-s.existing(), 0)})
			}
		}
	}
	slices.SortFunc(o.blocks, func(a, b block) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.kind.Zone, b.kind.Zone))
	})
	return o
}

// mix is a number of engines of each kind.
type mix struct {
	counts map[Kind]int
	total  int
	cost   float64
	// missing is the number of engines by which the mix falls short of the need or of the bounds of zones.
	missing int
}

// cheapest returns the mix of least cost that meets the need: burst engines in total, and base ones without the reclaimable ones of any
// zone. For a given greatest number of reclaimable engines in a zone, taking the cheapest engines first is optimal, as the zones' bounds
// are independent of each other.
func (o offer) cheapest(need Need) mix {
	var best mix
	for most := range min(o.max, max(need.Burst, o.min)) + 1 {
		m := o.fill(max(need.Burst, need.Base+most), most)
		if most == 0 || m.missing < best.missing || m.missing == best.missing && m.cost < best.cost {
			best = m
		}
	}
	return best
}

// fill takes the cheapest engines until there are total ones, with at most most reclaimable ones in a zone.
func (o offer) fill(total, most int) mix {
	m := mix{counts: map[Kind]int{}}
	inZone := map[camphorhinge.Zone]int{}
	left := make([]int, len(o.blocks))
	for i, b := range o.blocks {
		left[i] = b.count
	}
	take := func(zoneBound, all int) {
		for i, b := range o.blocks {
			n := min(left[i], zoneBound-inZone[b.kind.Zone], all-m.total)
			if b.kind.Spot {
				n = min(n, most-m.counts[b.kind])
			}
			if n <= 0 {
				continue
			}
			left[i] -= n
			m.counts[b.kind] += n
			inZone[b.kind.Zone] += n
			m.total += n
			m.cost += float64(n) * b.price
		}
	}
	least := min(o.min, o.max)
	take(least, len(o.zones)*o.max)
	for _, zone := range o.zones {
		m.missing += least - inZone[zone]
	}
	take(o.max, total)
	m.missing += max(total-m.total, 0)
	return m
}
