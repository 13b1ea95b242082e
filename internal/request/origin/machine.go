package origin

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

// Machine is the replicated set of the software versions in service; it implements camphorhinge.Machine. A version remains
// in it for a time after its last target has left.
type Machine struct {
	mu      sync.Mutex
	origins map[Origin]struct{}
}

var _ camphorhinge.Machine = (*Machine)(nil)

// NewMachine returns an empty Machine.
func NewMachine() *Machine { return &Machine{origins: map[Origin]struct{}{}} }

// command adds a version to the Machine or removes it.
type command struct {
	Service  camphorhinge.ServiceName     `json:"service"`
	Software camphorhinge.SoftwareVersion `json:"software"`
	Gone     bool                         `json:"gone,omitempty"`
}

// Apply implements camphorhinge.Machine; the result is empty.
func (m *Machine) Apply(_ camphorhinge.Entry, encoded []byte) []byte {
	var c command
	if json.Unmarshal(encoded, &c) != nil {
		return nil // Encoded by a later version of the program.
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := Origin{c.Service, c.Software}
	if c.Gone {
		delete(m.origins, o)
	} else {
		m.origins[o] = struct{}{}
	}
	return nil
}

// Snapshot implements camphorhinge.Machine.
func (m *Machine) Snapshot() ([]byte, error) { return json.Marshal(m.all()) }

// Restore implements camphorhinge.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var all []Origin
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &all); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.origins = map[Origin]struct{}{}
	for _, o := range all {
		m.origins[o] = struct{}{}
	}
	return nil
}

// Versions returns the software versions of a service, sorted.
func (m *Machine) Versions(service camphorhinge.ServiceName) []camphorhinge.SoftwareVersion {
	var out []camphorhinge.SoftwareVersion
	for _, o := range m.all() {
		if o.Service == service {
			out = append(out, o.Software)
		}
	}
	return out
}

// Has reports whether a version is in the set.
func (m *Machine) Has(o Origin) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.origins[o]
	return ok
}

// all returns the set, sorted.
func (m *Machine) all() []Origin {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Origin, 0, len(m.origins))
	for o := range m.origins {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return out
}

const (
	// keepInterval is the time between two comparisons of the set with the live targets.
	keepInterval = time.Second
	// proposeTimeout bounds one proposal.
	proposeTimeout = 2 * time.Second
)

// KeeperConfig holds the dependencies of a Keeper.
type KeeperConfig struct {
	Machine  *Machine
	Proposer camphorhinge.Proposer
	Targets  camphorhinge.Targets
	// Services returns the names of the configured services.
	Services func() []camphorhinge.ServiceName
	// Leads reports whether this node leads; the leader removes versions.
	Leads func() bool
	Clock camphorhinge.Clock
	Log   *slog.Logger
}

// Keeper keeps a Machine equal to the versions of the live targets.
type Keeper struct {
	cfg  KeeperConfig
	wake chan struct{}
	// absentSince is when this node, as the leader, first saw no target of a version.
	absentSince map[Origin]camphorhinge.Instant
}

// NewKeeper returns a Keeper; Run must be running.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{cfg: cfg, wake: make(chan struct{}, 1), absentSince: map[Origin]camphorhinge.Instant{}}
}

// Observe is called with the version of each target that announces itself, so that a new one is added at once.
func (k *Keeper) Observe(o Origin) {
	if k.cfg.Machine.Has(o) {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default: // A comparison is due already.
	}
}

// Run compares the Machine with the live targets until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.wake:
		}
		k.compare(ctx)
	}
}

func (k *Keeper) compare(ctx context.Context) {
	live := map[Origin]struct{}{}
	for _, service := range k.cfg.Services() {
		for _, t := range k.cfg.Targets.Live(service) {
			o := Origin{t.Service, t.Software}
			if _, ok := live[o]; !ok && !k.cfg.Machine.Has(o) {
				k.propose(ctx, command{Service: o.Service, Software: o.Software})
			}
			live[o] = struct{}{}
		}
	}
	if !k.cfg.Leads() {
		clear(k.absentSince)
		return
	}
	now := k.cfg.Clock.Now()
	for _, o := range k.cfg.Machine.all() {
		since, absent := k.absentSince[o]
		if _, ok := live[o]; ok {
			delete(k.absentSince, o)
			continue
		}
		if !absent {
			k.absentSince[o] = now
		} else if now.Sub(since) >= historyRetention {
			k.propose(ctx, command{Service: o.Service, Software: o.Software, Gone: true})
			delete(k.absentSince, o)
		}
	}
}

// propose commits a command; a failed one is proposed again by the next comparison.
func (k *Keeper) propose(ctx context.Context, c command) {
	data, err := json.Marshal(c)
	if err != nil {
		panic("encode command: " + err.Error()) // It has only fields that can be encoded.
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err = k.cfg.Proposer.Propose(ctx, camphorhinge.CommandVersion, data)
	k.cfg.Log.Info("software versions in service change", "service", c.Service, "software", c.Software, "gone", c.Gone, "error", err)
}
