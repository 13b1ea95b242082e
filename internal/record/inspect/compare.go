package inspect

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"example.org/camphorhinge/internal/record/routing"
)

// Action is how an element of a configuration differs between two versions.
type Action string

const (
	// ActionAdded marks an element that only the new version has.
	ActionAdded Action = "added"
	// ActionRemoved marks an element that only the old version has.
	ActionRemoved Action = "removed"
	// ActionChanged marks a field with another value.
	ActionChanged Action = "changed"
)

// Change is one difference between two versions.
type Change struct {
	Action Action
	// Place is the location in the new version, or in the old version for ActionRemoved.
	Place Place
	Name  string
	// From and To are the values of a changed field. They are empty for FieldKeys.
	From, To string
	// KeysAdded and KeysRemoved are numbers of keys of a workspace.
	KeysAdded, KeysRemoved int
}

// fieldValue is a field with its value as text.
type fieldValue struct {
	field Field
	value string
}

func text(field Field, value any) fieldValue { return fieldValue{field, fmt.Sprint(value)} }

// element is a route, service or workspace in a form in which two versions are compared.
type element struct {
	// id identifies the element in both versions.
	id     string
	name   string
	fields []fieldValue
	keys   map[routing.KeyDigest]bool
}

// Compare returns the differences from old to c, except for that of the version number. Routes are identified by host
// and prefix, services and workspaces by name; the order of elements is not a difference.
func Compare(old, c *routing.Config) []Change {
	changes := compareElements(SectionRoutes, routes(old), routes(c))
	changes = append(changes, compareElements(SectionServices, services(old), services(c))...)
	changes = append(changes, compareFields(Place{Section: SectionLimits}, "", limitFields(&old.Limits), limitFields(&c.Limits))...)
	return append(changes, compareElements(SectionWorkspaces, workspaces(old), workspaces(c))...)
}

func compareElements(section Section, old, current []element) []Change {
	previous := map[string]element{}
	for _, e := range old {
		previous[e.id] = e
	}
	var changes []Change
	kept := map[string]bool{}
	for i, e := range current {
		place := Place{Section: section, Index: i}
		kept[e.id] = true
		before, ok := previous[e.id]
		if !ok {
			changes = append(changes, Change{Action: ActionAdded, Place: place, Name: e.name, KeysAdded: len(e.keys)})
			continue
		}
		changes = append(changes, compareFields(place, e.name, before.fields, e.fields)...)
		added, removed := missing(e.keys, before.keys), missing(before.keys, e.keys)
		if added+removed > 0 {
			place.Field = FieldKeys
			changes = append(changes, Change{Action: ActionChanged, Place: place, Name: e.name, KeysAdded: added, KeysRemoved: removed})
		}
	}
	for i, e := range old {
		if !kept[e.id] {
			place := Place{Section: section, Index: i}
			changes = append(changes, Change{Action: ActionRemoved, Place: place, Name: e.name, KeysRemoved: len(e.keys)})
		}
	}
	return changes
}

// compareFields compares two lists of the same fields.
func compareFields(place Place, name string, old, current []fieldValue) []Change {
	var changes []Change
	for i, f := range current {
		if old[i].value != f.value {
			place.Field = f.field
			changes = append(changes, Change{Action: ActionChanged, Place: place, Name: name, From: old[i].value, To: f.value})
		}
	}
	return changes
}

// missing returns how many keys of a are not in b.
func missing(a, b map[routing.KeyDigest]bool) int {
	n := 0
	for key := range a {
		if !b[key] {
			n++
		}
	}
	return n
}

func routes(c *routing.Config) []element {
	out := make([]element, 0, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		mode := string(r.Retry)
		if r.Stream {
			mode = "stream, " + mode
		}
		shares := make([]string, 0, len(r.Shares))
		for _, s := range r.Shares {
			shares = append(shares, fmt.Sprintf("%s:%v", s.Service, s.Weight))
		}
		out = append(out, element{id: r.Key(), name: r.Name, fields: []fieldValue{
			text(FieldName, r.Name), text(FieldMode, mode), text(FieldTimeout, r.Timeout), text(FieldObjective, r.Objective),
			text(FieldGapObjective, r.GapObjective), text(FieldRank, r.Rank), text(FieldMaxAttempts, r.MaxAttempts),
			text(FieldAffinity, r.Affinity), text(FieldPublic, r.Public), text(FieldShares, strings.Join(shares, " ")),
		}})
	}
	return out
}

func services(c *routing.Config) []element {
	out := make([]element, 0, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		engine, scaling := routing.Engine{}, routing.Scaling{}
		if s.Engine != nil {
			engine = *s.Engine
		}
		if s.Scaling != nil {
			scaling = *s.Scaling
		}
		var prices []string
		for _, zone := range slices.Sorted(maps.Keys(scaling.ZonePrices)) {
			prices = append(prices, fmt.Sprintf("%s:%v", zone, scaling.ZonePrices[zone]))
		}
		out = append(out, element{id: string(s.Name), name: string(s.Name), fields: []fieldValue{
			text(FieldHealthPath, s.HealthPath), text(FieldMaxConnections, s.MaxConnections),
			text(FieldEngine, presence(s.Engine != nil)), text(FieldSlots, engine.Slots), text(FieldCacheCapacity, engine.CacheCapacity),
			text(FieldTokenBytes, engine.TokenBytes), text(FieldLink, engine.LinkMbps), text(FieldHandleTTL, engine.HandleTTL),
			text(FieldSwitchTime, engine.SwitchTime),
			text(FieldScaling, presence(s.Scaling != nil)), text(FieldMin, scaling.Min), text(FieldMax, scaling.Max),
			text(FieldBoot, scaling.Boot), text(FieldSpotPrice, scaling.SpotPrice), text(FieldZonePrices, strings.Join(prices, " ")),
		}})
	}
	return out
}

func presence(set bool) string {
	if set {
		return "set"
	}
	return "not set"
}

func limitFields(l *routing.Limits) []fieldValue {
	return []fieldValue{
		text(FieldMaxHeaderBytes, l.MaxHeaderBytes), text(FieldMaxBodyBytes, l.MaxBodyBytes),
		text(FieldHeaderTimeout, l.HeaderTimeout), text(FieldIdleTimeout, l.IdleTimeout),
	}
}

func workspaces(c *routing.Config) []element {
	out := make([]element, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		rank := "not set"
		if w.Rank != nil {
			rank = fmt.Sprint(*w.Rank)
		}
		keys := map[routing.KeyDigest]bool{}
		for _, key := range w.Keys {
			keys[key] = true
		}
		out = append(out, element{id: string(w.Name), name: string(w.Name), fields: []fieldValue{text(FieldRank, rank)}, keys: keys})
	}
	return out
}
