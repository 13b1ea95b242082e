package schedule

import (
	"maps"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/shard"
)

// placingTime is the time after a request for a shard for which this node counts as the one that places its requests.
const placingTime = 2 * time.Second

// shardKey identifies a shard of a service's engines among count ones; a count of 1 means all engines.
type shardKey struct {
	service camphorhinge.ServiceName
	shard   shard.Index
	count   int
}

// shardOf returns the shard that a placement request names.
func shardOf(req *peerpb.PlaceRequest) shardKey {
	key := shardKey{service: camphorhinge.ServiceName(req.GetService()), count: 1}
	if n := req.GetShards(); n > 1 && req.GetShard() < n {
		key.count, key.shard = int(n), shard.Index(req.GetShard())
	}
	return key
}

// division holds the shards for which a core node places requests. It is safe for concurrent use.
type division struct {
	targets camphorhinge.Targets
	census  *shard.Census

	mu sync.Mutex
	// members holds the live engines of shards, and requestedAt the time of the latest request for each.
	members     map[shardKey]shardMembers
	requestedAt map[shardKey]camphorhinge.Instant
}

// shardMembers are the engines of a shard among those that were live.
type shardMembers struct{ live, members []*camphorhinge.Target }

func newDivision(targets camphorhinge.Targets) *division {
	return &division{
		targets: targets, census: shard.NewCensus(), members: map[shardKey]shardMembers{}, requestedAt: map[shardKey]camphorhinge.Instant{},
	}
}

// record records a request for a shard, and returns whether none had come within placingTime.
func (d *division) record(now camphorhinge.Instant, key shardKey) (begins bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.requestedAt[key]
	d.requestedAt[key] = now
	return !ok || now.Sub(at) > placingTime
}

// live returns the live engines of a shard.
func (d *division) live(key shardKey) []*camphorhinge.Target {
	all := d.targets.Live(key.service)
	if key.count <= 1 || len(all) == 0 {
		return all
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// The registry returns the same list until an engine changes.
	if m := d.members[key]; len(m.live) == len(all) && &m.live[0] == &all[0] {
		return m.members
	}
	m := shardMembers{all, shard.Members(all, key.shard, key.count)}
	d.members[key] = m
	return m.members
}

// candidates returns the live engines for a request of a shard: those of the shard, or all if it has none. A request that only one
// software version may serve gets all as soon as the shard has an engine of another one, since few of the shard may be left for it.
func (d *division) candidates(key shardKey, software *camphorhinge.SoftwareVersion) []*camphorhinge.Target {
	own := d.live(key)
	if key.count <= 1 {
		return own
	}
	if len(own) == 0 || software != nil && slices.ContainsFunc(own, func(t *camphorhinge.Target) bool { return t.Software != *software }) {
		return d.targets.Live(key.service)
	}
	return own
}

// placing returns the shards for which requests came within placingTime, and forgets the others.
func (d *division) placing(now camphorhinge.Instant) []shardKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.requestedAt, func(key shardKey, at camphorhinge.Instant) bool {
		if now.Sub(at) <= placingTime {
			return false
		}
		delete(d.members, key)
		return true
	})
	return slices.Collect(maps.Keys(d.requestedAt))
}

// own returns the live engines of a service for which this node places requests.
func (d *division) own(now camphorhinge.Instant, service camphorhinge.ServiceName) []*camphorhinge.Target {
	seen := map[*camphorhinge.Target]bool{}
	var out []*camphorhinge.Target
	for _, key := range d.placing(now) {
		if key.service != service {
			continue
		}
		for _, t := range d.live(key) {
			if !seen[t] {
				seen[t] = true
				out = append(out, t)
			}
		}
	}
	return out
}

// Shards returns the number of engines in each shard of a service; there is one core node for each shard.
func (s *Scheduler) Shards(service camphorhinge.ServiceName) []int {
	cores := 1
	if s.cfg.Others != nil {
		cores += len(s.cfg.Others())
	}
	return s.division.census.Engines(s.cfg.Clock.Now(), service, s.cfg.Targets.Live(service), cores)
}

// AllShards returns the shards of all services with engines, in the form that entry nodes are sent.
func (s *Scheduler) AllShards() []*peerpb.Shards {
	config := s.cfg.Configuration()
	if config == nil {
		return nil
	}
	var out []*peerpb.Shards
	for i := range config.Services {
		if config.Services[i].Engine == nil {
			continue
		}
		x := &peerpb.Shards{Service: string(config.Services[i].Name)}
		for _, n := range s.Shards(config.Services[i].Name) {
			x.Engines = append(x.Engines, uint32(n))
		}
		out = append(out, x)
	}
	return out
}
