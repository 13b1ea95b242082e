package inspect

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"unicode"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// Warning is a setting that is valid but probably mistaken.
type Warning struct {
	Place Place
	// Name is the name of the element, if it has one.
	Name    string
	Message string
	// HiddenBy is the name of the route that gets the requests of a route that can never match, if there is one.
	HiddenBy string
}

type inspector struct {
	config   *routing.Config
	warnings []Warning
}

// Warnings returns the warnings on a valid configuration, in the order of its sections.
func Warnings(c *routing.Config) []Warning {
	in := &inspector{config: c}
	index := routing.NewIndex(c)
	for i := range c.Routes {
		in.unreachable(index, i)
		in.route(i)
	}
	in.services()
	in.limits()
	in.workspaces()
	return in.warnings
}

func (in *inspector) warn(place Place, name, format string, args ...any) {
	in.warnings = append(in.warnings, Warning{Place: place, Name: name, Message: fmt.Sprintf(format, args...)})
}

// unreachable warns of a route whose host or prefix no request has. Nodes compare paths as they are sent, so that a
// prefix such as /a//b/ can match, but clients usually send another form.
func (in *inspector) unreachable(index *routing.Index, i int) {
	r := &in.config.Routes[i]
	host, prefix := routing.NormalizeHost(r.Host), r.Prefix
	if end := strings.IndexAny(prefix, "?#"); end >= 0 {
		prefix = prefix[:end]
	}
	if prefix = path.Clean(prefix); prefix != "/" {
		prefix += "/"
	}
	field, message := FieldPrefix, ""
	switch {
	case strings.ContainsAny(r.Host, "/?#@*") || strings.ContainsFunc(r.Host, isSpaceOrControl):
		field, message = FieldHost, fmt.Sprintf("route can never match: no valid request has the host %q; a host has no scheme, path or wildcard", r.Host)
	case host != r.Host:
		field, message = FieldHost, fmt.Sprintf("route can never match: hosts of requests are compared in the form %q, not %q", host, r.Host)
	case strings.ContainsAny(r.Prefix, "?#"):
		message = fmt.Sprintf("route can never match: prefix %q contains a ? or #, which end a path", r.Prefix)
	case strings.ContainsFunc(r.Prefix, isSpaceOrControl):
		message = fmt.Sprintf("route can never match: prefix %q contains a space or control character, which requests encode", r.Prefix)
	case prefix != r.Prefix:
		message = fmt.Sprintf("route matches only paths that are sent with the prefix %q; clients usually send %q", r.Prefix, prefix)
	default:
		return
	}
	w := Warning{Place: Place{Section: SectionRoutes, Index: i, Field: field}, Name: r.Name, Message: message}
	if other := index.Match(host, prefix); other != nil && other != r {
		w.HiddenBy = other.Name
		w.Message += fmt.Sprintf("; route %s gets the requests of %s%s", other.Name, host, prefix)
	}
	in.warnings = append(in.warnings, w)
}

func isSpaceOrControl(c rune) bool { return unicode.IsSpace(c) || unicode.IsControl(c) }

func (in *inspector) route(i int) {
	r := &in.config.Routes[i]
	warn := func(field Field, item int, format string, args ...any) {
		in.warn(Place{Section: SectionRoutes, Index: i, Field: field, Item: item}, r.Name, format, args...)
	}
	for j, s := range r.Shares {
		if s.Weight == 0 {
			warn(FieldWeight, j, "service %s gets no requests: its weight is 0", s.Service)
		}
	}
	if r.Timeout < r.Objective {
		warn(FieldTimeout, 0, "timeout %v is shorter than the latency objective %v", r.Timeout, r.Objective)
	}
	if r.Patience > r.Timeout {
		warn(FieldPatience, 0, "patience %v is longer than the timeout %v", r.Patience, r.Timeout)
	}
	if r.Public && len(in.config.Workspaces) == 0 {
		warn(FieldPublic, 0, "public has no effect: without workspaces no route needs a key")
	}
}

func (in *inspector) services() {
	used := map[camphorhinge.ServiceName]bool{}
	for i := range in.config.Routes {
		for _, s := range in.config.Routes[i].Shares {
			used[s.Service] = true
		}
	}
	for i := range in.config.Services {
		s := &in.config.Services[i]
		warn := func(field Field, format string, args ...any) {
			in.warn(Place{Section: SectionServices, Index: i, Field: field}, string(s.Name), format, args...)
		}
		if !used[s.Name] {
			warn("", "no route uses the service")
		}
		if e := s.Engine; e != nil {
			if e.Slots <= 0 {
				warn(FieldSlots, "engine runs no requests: its number of slots is %d", e.Slots)
			}
			if e.CacheCapacity <= 0 {
				warn(FieldCacheCapacity, "capacity of the engine's KV cache is %d tokens", e.CacheCapacity)
			}
		}
		in.scaling(i, s)
	}
}

func (in *inspector) scaling(i int, s *routing.Service) {
	x := s.Scaling
	if x == nil {
		return
	}
	place := Place{Section: SectionServices, Index: i}
	if x.Min > x.Max {
		place.Field = FieldMin
		in.warn(place, string(s.Name), "minimum %d of targets is above the maximum %d", x.Min, x.Max)
	}
	if len(x.ZonePrices) == 0 {
		place.Field = FieldZonePrices
		in.warn(place, string(s.Name), "prices are missing: no zone can have targets")
	}
	for _, zone := range slices.Sorted(maps.Keys(x.ZonePrices)) {
		place.Field, place.Detail = FieldZonePrice, string(zone)
		switch price := x.ZonePrices[zone]; {
		case price < 0:
			in.warn(place, string(s.Name), "price %v of zone %s is negative", price, zone)
		case price == 0:
			in.warn(place, string(s.Name), "price of zone %s is 0 or missing", zone)
		}
	}
}

func (in *inspector) limits() {
	l := &in.config.Limits
	warn := func(field Field, format string, args ...any) {
		in.warn(Place{Section: SectionLimits, Field: field}, "", format, args...)
	}
	if l.MaxBodyBytes == 0 {
		warn(FieldMaxBodyBytes, "limit of bodies is 0 or missing: the configuration sets no limit")
	}
	for _, f := range limitFields(l) {
		if strings.HasPrefix(f.value, "-") {
			warn(f.field, "limit %s is negative", f.value)
		}
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		warn(FieldHeaderTimeout, "header timeout %v is longer than the idle timeout %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (in *inspector) workspaces() {
	for i, w := range in.config.Workspaces {
		place := Place{Section: SectionWorkspaces, Index: i, Field: FieldKeys}
		if len(w.Keys) == 0 {
			in.warn(place, string(w.Name), "workspace has no keys: no request can belong to it")
		}
		first := map[routing.KeyDigest]int{}
		for j, key := range w.Keys {
			if k, ok := first[key]; ok {
				in.warn(Place{Section: SectionWorkspaces, Index: i, Field: FieldKey, Item: j}, string(w.Name), "key %d equals key %d", j+1, k+1)
				continue
			}
			first[key] = j
		}
	}
}
