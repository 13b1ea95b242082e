package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"example.org/camphorhinge"
)

const (
	// initialDecodeShare is the share of engines with the decode role until a load was measured. Decode runs in
	// batches of many requests and prefill does not, so that prefill needs most engines.
	initialDecodeShare = 0.25
	// referenceSlots is the number of slots for which initialDecodeShare holds. With fewer slots more engines must decode:
	// the share grows with the root of the ratio, so that the loss of slots is split between both roles, up to
	// maxInitialDecodeShare.
	referenceSlots        = 64
	maxInitialDecodeShare = 0.5
	// minDecode is the least number of engines in the decode role, so that one may fail.
	minDecode = 2
	// decodeSlotShare is the intended number of requests at once on an engine in the decode role, as a share of its
	// slots: a larger batch makes each step slower.
	decodeSlotShare = 0.6
	// maxUtilization is the share of the engines in the decode role that the load may keep busy before the roles change.
	maxUtilization = 0.8
	// cacheFillTime is the time in which caches are filled after the first request.
	cacheFillTime = 10 * time.Second
	// deadband is the surplus of decode engines that is tolerated under load.
	deadband = 1
	// scaledPrefillUtilization is the share of the prefill engines that the load may keep busy where the number of engines follows the
	// load, so that there is no surplus that would make up for a wrong division.
	scaledPrefillUtilization = 0.85
	// newDeadband is the surplus of decode engines, as a share of all, that new engines leave as it is.
	newDeadband = 0.05
	// maxChangingShare is the share of a service's engines that may change at the same time once there is load.
	maxChangingShare = 0.1
)

// Load is the measured load of a service.
type Load struct {
	// Running is the mean number of requests that generate tokens at once; negative when it has not been measured.
	Running float64
	// Prefilling is the mean number of engines that prefill at once, and Transferring that of engines in the decode role
	// whose links receive KV caches.
	Prefilling, Transferring float64
	// Age is the time since the first request.
	Age time.Duration
	// Scaled is true for a service whose number of engines follows the load.
	Scaled bool
}

// part returns the given part of the load; a load that has not been measured stays so.
func (l Load) part(share float64) Load {
	if l.Running < 0 {
		return l
	}
	l.Running *= share
	l.Prefilling *= share
	l.Transferring *= share
	return l
}

// Change is a role change of one engine.
type Change struct {
	Engine *camphorhinge.Target
	To     camphorhinge.Role
}

// DecodeEngines returns the number of engines in the decode role that the load keeps busy.
func (l Load) DecodeEngines(slots int) float64 {
	return l.Running/(decodeSlotShare*float64(slots)) + l.Transferring
}

// balanced reports whether both roles have enough engines for a measured load. An engine serves nothing while its role
// changes, so that changes are only worth it when a role is short. Engines in the decode role prefill too, only slower, and
// many prompts are prefilled in full until the caches are filled: a shortage of prefill engines must be plain and last.
func balanced(prefills, decodes, slots int, load Load) bool {
	if load.Running < 0 || slots == 0 || load.Running == 0 && load.Prefilling == 0 {
		return false
	}
	if decodes < minDecode || load.DecodeEngines(slots) > maxUtilization*float64(decodes) {
		return false
	}
	most := float64(prefills)
	if load.Scaled {
		most *= scaledPrefillUtilization
	}
	return load.Age < cacheFillTime || load.Prefilling <= most
}

// DesiredDecode returns how many of n engines should have the decode role, given the slots of each. Once the load is
// known, both roles are used to the same share.
func DesiredDecode(n, slots int, load Load) int {
	if n < 2 {
		return n
	}
	if load.Running < 0 || slots == 0 {
		return min(max(initialDecode(n, slots), minDecode), n-1)
	}
	decode := load.DecodeEngines(slots)
	want := 0
	if total := decode + load.Prefilling; total > 0 {
		want = int(math.Round(float64(n) * decode / total))
	}
	return min(max(want, minDecode), n-1)
}

// initialDecode returns how many engines get the decode role before the load is known.
func initialDecode(n, slots int) int {
	share := initialDecodeShare
	if slots > 0 {
		share = min(max(share, share*math.Sqrt(referenceSlots/float64(slots))), maxInitialDecodeShare)
	}
	return int(math.Ceil(float64(n) * share))
}

// Engine is the input of Plan for one engine.
type Engine struct {
	*camphorhinge.Target
	// Changing is true while an order is being carried out; Role is then the ordered one.
	Changing bool
	// InBackoff is true while the engine must get no order.
	InBackoff bool
	// New is true for an engine that has just started among others, so that it has no work and no cache yet.
	New bool
}

// PlanNew returns the role changes of new engines of a service whose number of engines follows the load. Many may start at once, all with
// the same role; as they have no work yet, their role is set at once and for all of them.
func PlanNew(engines []Engine, load Load) []Change {
	if !load.Scaled || load.Running < 0 || load.Running == 0 && load.Prefilling == 0 {
		return nil
	}
	var prefills, decodes []*camphorhinge.Target
	n, decoding, slots := 0, 0, 0
	for _, e := range engines {
		if e.Leaving || e.Role == camphorhinge.RoleMixed {
			continue
		}
		n++
		slots = max(slots, e.Slots)
		if e.Role == camphorhinge.RoleDecode {
			decoding++
		}
		switch {
		case !e.New || e.Changing || e.InBackoff:
		case e.Role == camphorhinge.RoleDecode:
			decodes = append(decodes, e.Target)
		case e.Role == camphorhinge.RolePrefill:
			prefills = append(prefills, e.Target)
		}
	}
	surplus := decoding - DesiredDecode(n, slots, load)
	tolerated := max(deadband, int(newDeadband*float64(n)))
	switch {
	case surplus > tolerated:
		return changes(firstN(countVersions(engines).spare(byCrowdedZone(decodes)), surplus), camphorhinge.RolePrefill)
	case -surplus > tolerated:
		return changes(firstN(byCrowdedZone(prefills), -surplus), camphorhinge.RoleDecode)
	}
	return nil
}

// Plan returns the next role changes of a service's engines. With several software versions, those that lack engines in the
// decode role get them first and keep them, since a stream can only be continued at the version that began it. Engines that are leaving, or that serve both roles at
// full speed (the mixed role), are not changed. Before there is load all changes are made at once, later only a few
// at a time.
func Plan(engines []Engine, load Load) []Change {
	var prefills, decodes []*camphorhinge.Target
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
		case e.InBackoff:
		case e.Role == camphorhinge.RolePrefill:
			prefills = append(prefills, e.Target)
		case e.Role == camphorhinge.RoleDecode:
			decodes = append(decodes, e.Target)
		}
	}
	n := counts[camphorhinge.RolePrefill] + counts[camphorhinge.RoleDecode]
	limit := n
	if load.Running >= 0 {
		limit = max(int(maxChangingShare*float64(n)), 1)
	}
	limit -= changing
	versions := countVersions(engines)
	if balanced(counts[camphorhinge.RolePrefill], counts[camphorhinge.RoleDecode], slots, load) {
		return nil
	}
	surplus := counts[camphorhinge.RoleDecode] - DesiredDecode(n, slots, load)
	switch {
	case surplus > deadband || load.Running < 0 && surplus > 0:
		return changes(firstN(versions.spare(byCrowdedZone(decodes)), min(surplus, limit)), camphorhinge.RolePrefill)
	case surplus < 0:
		return changes(firstN(versions.shortFirst(byCrowdedZone(prefills)), min(-surplus, limit)), camphorhinge.RoleDecode)
	}
	return nil
}

func changes(engines []*camphorhinge.Target, to camphorhinge.Role) []Change {
	var out []Change
	for _, t := range engines {
		out = append(out, Change{Engine: t, To: to})
	}
	return out
}

// versionCount is the number of engines with a software version, and of those with the decode role.
type versionCount struct{ engines, decodes int }

// needed returns how many engines with the version must have the decode role, so that the streams that one of them began can
// be continued when it fails.
func (c versionCount) needed() int { return max(min(minDecode, c.engines-1), 0) }

// versionCounts are the counts of the engines that can have either role, by software version.
type versionCounts map[camphorhinge.SoftwareVersion]versionCount

func countVersions(engines []Engine) versionCounts {
	out := versionCounts{}
	for _, e := range engines {
		if e.Leaving || e.Role == camphorhinge.RoleMixed {
			continue
		}
		c := out[e.Software]
		c.engines++
		if e.Role == camphorhinge.RoleDecode {
			c.decodes++
		}
		out[e.Software] = c
	}
	return out
}

// shortFirst returns engines with those first whose version lacks them in the decode role.
func (v versionCounts) shortFirst(prefills []*camphorhinge.Target) []*camphorhinge.Target {
	left := maps.Clone(v)
	var short, others []*camphorhinge.Target
	for _, t := range prefills {
		if c := left[t.Software]; c.decodes < c.needed() {
			c.decodes++
			left[t.Software] = c
			short = append(short, t)
		} else {
			others = append(others, t)
		}
	}
	return append(short, others...)
}

// spare returns, in their order, the engines that their version does not need in the decode role.
func (v versionCounts) spare(decodes []*camphorhinge.Target) []*camphorhinge.Target {
	if len(v) < 2 {
		return decodes
	}
	left := maps.Clone(v)
	var out []*camphorhinge.Target
	for _, t := range decodes {
		if c := left[t.Software]; c.decodes > c.needed() {
			c.decodes--
			left[t.Software] = c
			out = append(out, t)
		}
	}
	return out
}

func firstN(targets []*camphorhinge.Target, n int) []*camphorhinge.Target {
	return targets[:max(min(n, len(targets)), 0)]
}

// byCrowdedZone sorts engines so that each next one is of the zone with the most left; changing the first ones leaves
// some in each zone.
func byCrowdedZone(targets []*camphorhinge.Target) []*camphorhinge.Target {
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
