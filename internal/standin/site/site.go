package site

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
)

// Service is the name of the engines' service.
const Service camphorhinge.ServiceName = "s"

// Host and prefix of the service's route.
const (
	routeHost   = "h"
	routePrefix = "/a/"
)

// firstSoftware is the software version of the engines of a new site.
const firstSoftware camphorhinge.SoftwareVersion = "v1"

// Config is the size of a site.
type Config struct {
	Entries, Cores int
	// Prefill and Decode are the numbers of engines in each role.
	Prefill, Decode int
	// Busy makes the work of core nodes take processor time.
	Busy bool
	// PrefillTime is the time to prefill a prompt if engines do that one after the other; 0 stands for prefillTime and any number
	// at once.
	PrefillTime time.Duration
}

// Site is a running site. Its methods are safe for concurrent use inside the bubble.
type Site struct {
	cfg     Config
	clock   virtualClock
	ctx     context.Context //nolint:containedctx // It ends all goroutines of the simulation.
	stop    context.CancelFunc
	group   errgroup.Group
	table   *routing.Table
	cores   []*core
	entries []*entry
	engines []*engine
	// unanswered is the number of calls to core nodes that ended without an answer in time.
	unanswered atomic.Int64
	lease      lease

	mu       sync.Mutex
	leads    int
	log      []command
	arrivals []Arrival
	crashes  []time.Time
	placed   []Placed
}

// virtualClock is a Clock on the virtual time of the bubble.
type virtualClock struct{ start time.Time }

// Now implements camphorhinge.Clock.
func (c virtualClock) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Since(c.start) + time.Hour)
}

// New starts a site; Close must be called.
func New(cfg Config) *Site {
	ctx, stop := context.WithCancel(context.Background())
	s := &Site{cfg: cfg, clock: virtualClock{time.Now()}, ctx: ctx, stop: stop, table: routing.NewTable(decodeConfig), lease: lease{answered: map[string]time.Time{}}}
	document, err := json.Marshal(routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name: "r", Host: routeHost, Prefix: routePrefix, Retry: routing.RetryResume, Stream: true, Timeout: 6 * time.Second, Objective: time.Second,
			MaxAttempts: 2, Affinity: true, Shares: []routing.Share{{Service: Service, Weight: 1}},
		}},
		Services: []routing.Service{{Name: Service, Engine: &routing.Engine{Slots: slots, CacheCapacity: 500_000, TokenBytes: 160_000, LinkMbps: 1.6e6}}},
	})
	if err != nil {
		panic("encode configuration: " + err.Error()) // It has only fields that can be encoded.
	}
	s.table.Apply(camphorhinge.Entry{}, document)
	for i := range cfg.Cores {
		s.cores = append(s.cores, &core{site: s, name: fmt.Sprintf("core-%d", i), paths: paths{site: s}, processor: processor{idle: !cfg.Busy}})
	}
	for _, c := range s.cores {
		c.start(s.table)
	}
	for i := range cfg.Prefill + cfg.Decode {
		role := camphorhinge.RolePrefill
		if i >= cfg.Prefill {
			role = camphorhinge.RoleDecode
		}
		s.AddEngine(role, firstSoftware)
	}
	for i := range cfg.Entries {
		e := &entry{site: s, index: i, paths: paths{site: s}}
		s.entries = append(s.entries, e)
		e.start()
	}
	if cfg.Busy {
		s.group.Go(func() error { s.runHeartbeats(); return nil })
	}
	return s
}

// AddEngine starts a further engine and returns its index.
func (s *Site) AddEngine(role camphorhinge.Role, software camphorhinge.SoftwareVersion) int {
	s.mu.Lock()
	i := len(s.engines)
	e := newEngine(s, fmt.Sprintf("e%d", i), role, software)
	s.engines = append(s.engines, e)
	s.mu.Unlock()
	s.group.Go(func() error { e.run(s.ctx); return nil })
	return i
}

// RetireEngine makes an engine leave, by its index.
func (s *Site) RetireEngine(i int) { s.allEngines()[i].retire() }

// Servers returns the number of engines with a software version that generate for new requests.
func (s *Site) Servers(software camphorhinge.SoftwareVersion) int {
	n := 0
	for _, e := range s.allEngines() {
		if e.software == software && e.serving() {
			n++
		}
	}
	return n
}

func (s *Site) allEngines() []*engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.engines)
}

func decodeConfig(document []byte) (*routing.Config, error) {
	var c routing.Config
	if err := json.Unmarshal(document, &c); err != nil {
		return nil, err
	}
	return &c, c.Validate()
}

// Close ends the site and waits for its goroutines.
func (s *Site) Close() error {
	for _, c := range s.cores {
		c.link.open()
	}
	for _, e := range s.entries {
		e.link.open()
		e.process.open()
	}
	s.stop()
	for _, e := range s.entries {
		if err := e.shut(); err != nil {
			return err
		}
	}
	for _, e := range s.allEngines() {
		e.mu.Lock()
		if e.running {
			e.running = false
			close(e.ended)
		}
		for c := range e.conns {
			c.Close()
		}
		e.mu.Unlock()
	}
	return s.group.Wait()
}

func (s *Site) coreNames() []string {
	var out []string
	for _, c := range s.cores {
		out = append(out, c.name)
	}
	return out
}

func (s *Site) coreOf(name string) *core {
	i := slices.IndexFunc(s.cores, func(c *core) bool { return c.name == name })
	return s.cores[i]
}

func (s *Site) leader() *core {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cores[s.leads]
}

// commit appends a command to the log and applies it on all core nodes that can be reached. It fails if the node no
// longer leads.
func (s *Site) commit(on *core, data []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cores[s.leads] != on {
		return nil, camphorhinge.ErrNotLeader
	}
	s.log = append(s.log, command{
		entry: camphorhinge.Entry{Index: camphorhinge.Index(len(s.log) + 1), Term: 1, Stamp: time.Now().UnixMilli()}, data: data,
	})
	var out []byte
	for _, c := range s.cores {
		if c.reachable() {
			if result := c.catchUp(s.log); c == on {
				out = result
			}
		}
	}
	return out, nil
}

func (c *core) reachable() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.link.closed == nil
}

// CutCore cuts a core node off, or freezes it, until HealCore.
func (s *Site) CutCore(i int) { s.cores[i].link.close() }

// HealCore ends CutCore; the node then applies what it has missed.
func (s *Site) HealCore(i int) {
	s.cores[i].link.open()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cores[i].catchUp(s.log)
}

// RestartCore replaces the process of a core node, which keeps only the log.
func (s *Site) RestartCore(i int) {
	c := s.cores[i]
	c.stop()
	c.paths.lose()
	c.start(s.table)
	s.mu.Lock()
	c.catchUp(s.log)
	s.mu.Unlock()
	for _, e := range s.allEngines() {
		e.announce()
	}
}

// Lead makes a core node the leader.
func (s *Site) Lead(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leads = i
	s.cores[i].catchUp(s.log)
}

// CutEntry cuts an entry node off from all core nodes until HealEntry.
func (s *Site) CutEntry(i int) { s.entries[i].link.close() }

// HealEntry ends CutEntry.
func (s *Site) HealEntry(i int) { s.entries[i].link.open() }

// FreezeEntry holds everything that an entry node receives or sends until ThawEntry.
func (s *Site) FreezeEntry(i int) { s.entries[i].process.close() }

// ThawEntry ends FreezeEntry.
func (s *Site) ThawEntry(i int) { s.entries[i].process.open() }

// SetTrouble sets the trouble of one engine, by its index.
func (s *Site) SetTrouble(i int, t Trouble) {
	e := s.allEngines()[i]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trouble = t
}

// Crash ends the process of one engine, by its index; another one starts in its place.
func (s *Site) Crash(i int) { s.allEngines()[i].crash() }

func (s *Site) announce(a camphorhinge.Announcement) {
	for _, c := range s.cores {
		if c.reachable() {
			c.announce(a)
		}
	}
}

func (s *Site) recordArrival(a Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

func (s *Site) recordCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
}

// Arrivals returns the requests that reached engines so far, in order.
func (s *Site) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// Crashes returns when engines crashed so far, in order.
func (s *Site) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// Placed is a placement on an engine, for a prefill or to run the request, by a core node.
type Placed struct {
	At           time.Time
	Target, Core string
}

// recordPlaced records the engines on which a core node placed a request.
func (s *Site) recordPlaced(core string, resp *peerpb.PlaceResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range []string{resp.GetServe(), resp.GetPrefill()} {
		if target != "" {
			s.placed = append(s.placed, Placed{time.Now(), target, core})
		}
	}
}

// Placed returns the placements of core nodes that entry nodes learned of so far, in order.
func (s *Site) Placed() []Placed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.placed)
}
