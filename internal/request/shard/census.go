package shard

import (
	"sync"
	"time"

	"example.org/camphorhinge"
)

// censusWindow is the time for which a Census remembers an engine after it was last live, so that engines that start again after a
// crash move no requests between shards.
const censusWindow = 30 * time.Second

// Census counts the engines of each service, by their addresses, over the recent past. It is safe for concurrent use.
type Census struct {
	mu       sync.Mutex
	services map[camphorhinge.ServiceName]*sightings
}

// sightings are when the addresses of a service's engines were last seen.
type sightings struct {
	seen map[string]camphorhinge.Instant
	// leaving has the addresses among them of engines that have announced that they leave.
	leaving map[string]bool
	// began is when the first engines were counted, or 0 before, and grownAt when its engines first had too few shards, or 0 while they have not.
	began, grownAt camphorhinge.Instant
	countAt        camphorhinge.Instant
	cores          int
	counts         []int
}

// countInterval is the least time between two counts of a service's engines.
const countInterval = time.Second

// growthDelay is how long a service must have had too few shards until it gets more. Another number of shards gives many engines and
// shared segments to other core nodes, which have no record of them. A fleet whose engines are replaced has more of them for a time.
const growthDelay = 20 * time.Second

// startTime is the time from the first engines on in which the number of shards rises at once, as the others have yet to announce
// themselves. They do so each second.
const startTime = 5 * time.Second

// NewCensus returns a Census without engines.
func NewCensus() *Census { return &Census{services: map[camphorhinge.ServiceName]*sightings{}} }

// Engines returns the number of engines in each shard of a service, of which live ones are given, with the given number of core
// nodes. Engines that have announced that they leave are not counted. The result has one element for each shard, at least one, and
// must not be changed.
func (c *Census) Engines(now camphorhinge.Instant, service camphorhinge.ServiceName, live []*camphorhinge.Target, cores int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	if s == nil {
		s = &sightings{seen: map[string]camphorhinge.Instant{}, leaving: map[string]bool{}}
		c.services[service] = s
	}
	if s.counts != nil && s.cores == cores && now.Sub(s.countAt) < countInterval {
		return s.counts
	}
	staying := 0
	for _, t := range live {
		s.seen[t.Address] = now
		if t.Leaving {
			s.leaving[t.Address] = true
			continue
		}
		staying++
		delete(s.leaving, t.Address)
	}
	for address, at := range s.seen {
		if now.Sub(at) > censusWindow {
			delete(s.seen, address)
			delete(s.leaving, address)
		}
	}
	if s.began == 0 && staying > 0 {
		s.began = now
	}
	count := s.count(now, staying, cores)
	s.countAt, s.cores = now, cores
	s.counts = make([]int, count)
	for address := range s.seen {
		if !s.leaving[address] {
			s.counts[Of(address, count)]++
		}
	}
	return s.counts
}

// count returns the number of shards. It falls once fewer engines were seen within censusWindow, and rises once the engines that stay
// have been too many for growthDelay, or at once within startTime.
func (s *sightings) count(now camphorhinge.Instant, staying, cores int) int {
	current, seen, wanted := len(s.counts), Count(len(s.seen), cores), Count(staying, cores)
	switch {
	case s.cores != cores || seen < current:
		s.grownAt = 0
		return seen
	case wanted <= current:
		s.grownAt = 0
		return current
	case s.grownAt == 0:
		s.grownAt = now
	}
	if now.Sub(s.began) >= startTime && now.Sub(s.grownAt) < growthDelay {
		return current
	}
	s.grownAt = 0
	return wanted
}
