package routing

import (
	"net"
	"strings"

	"example.org/camphorhinge"
)

// Index looks up the route of a request. It is immutable and safe for concurrent use.
type Index struct {
	Config   *Config
	routes   map[string]*Route
	hosts    map[string]bool
	services map[camphorhinge.ServiceName]*Service
	// owners are the workspaces by the digests of their keys.
	owners map[KeyDigest]*Workspace
}

// NewIndex builds the index of a configuration, which the caller must not modify afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		Config: c, routes: make(map[string]*Route, len(c.Routes)), hosts: map[string]bool{},
		services: make(map[camphorhinge.ServiceName]*Service, len(c.Services)), owners: map[KeyDigest]*Workspace{},
	}
	for i := range c.Routes {
		x.routes[c.Routes[i].Key()] = &c.Routes[i]
		x.hosts[c.Routes[i].Host] = true
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			x.owners[key] = &c.Workspaces[i]
		}
	}
	return x
}

// Match returns the route of a host with the longest prefix of path, or nil. The host may contain a port.
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

// Service returns the service with the given name, or nil.
func (x *Index) Service(name camphorhinge.ServiceName) *Service { return x.services[name] }

// Workspace returns the workspace that has the given key, or nil. The time of the look-up does not tell how much of the key is
// right, as it goes by the key's digest.
func (x *Index) Workspace(key string) *Workspace { return x.owners[DigestKey(key)] }

// NormalizeHost converts a host to the form of Route.Host: lower case, without a port.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick chooses a service by weight; u is a random number, uniform in [0, 1).
func (r *Route) Pick(u float64) camphorhinge.ServiceName {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	rest := u * total
	last := camphorhinge.ServiceName("")
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return last
}
