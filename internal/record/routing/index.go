package routing

import (
	"net"
	"strings"

	"example.org/camphorhinge"
)

// Index finds the route of a request. It does not change once made.
type Index struct {
	Config   *Config
	routes   map[string]*Route
	hosts    map[string]bool
	services map[camphorhinge.ServiceName]*Service
}

// NewIndex returns the Index of a configuration, which must not change afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		Config: c, routes: make(map[string]*Route, len(c.Routes)), hosts: map[string]bool{},
		services: make(map[camphorhinge.ServiceName]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		x.routes[c.Routes[i].Key()] = &c.Routes[i]
		x.hosts[c.Routes[i].Host] = true
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Match returns the route of a host with the longest prefix that begins path, or nil. The host may have a port.
func (x *Index) Match(host, path string) *Route {
	host = NormalizeHost(host)
	if !x.hosts[host] {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := x.routes[host+path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the service of the given name, or nil.
func (x *Index) Service(name camphorhinge.ServiceName) *Service { return x.services[name] }

// NormalizeHost returns a host in the form that routes have: in lower case, without a port.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns the service for a route's request; u is uniform in [0, 1).
func (r *Route) Pick(u float64) camphorhinge.ServiceName {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := u * total
	last := camphorhinge.ServiceName("")
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return last
}
