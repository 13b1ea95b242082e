package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
)

const (
	// maxWait bounds the time for which a watch is held.
	maxWait = 2 * time.Second
	// entryExpiry is how long an entry node counts after its last watch. It is above the time between two watches and the
	// time that a node needs to notice a lost call.
	entryExpiry = 4 * time.Second
)

// SourceConfig holds what a Source needs.
type SourceConfig struct {
	Registry *registry.Registry
	Table    *routing.Table
	// Cores returns the peer addresses of all core nodes.
	Cores func() []string
	// Scores returns the crash counts by request fingerprint, encoded; nil when there are none.
	Scores func() []byte
	// Scheduler places the requests of entry nodes.
	Scheduler Scheduler
	Clock     camphorhinge.Clock
}

// Scheduler places the requests of entry nodes; *schedule.Scheduler implements it.
type Scheduler interface {
	// Place takes the caller's events and chooses where its request runs, if there is one.
	Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error)
}

// Source answers the watches of entry nodes on a core node; it implements peerpb.Feed.
type Source struct {
	cfg SourceConfig
	// start tells the starts of this process apart.
	start uint64

	mu      sync.Mutex
	wake    chan struct{}
	entries map[string]camphorhinge.Instant
}

var _ peerpb.Feed = (*Source)(nil)

// NewSource returns a Source.
func NewSource(cfg SourceConfig) *Source {
	return &Source{
		cfg: cfg, start: rand.Uint64() | 1, wake: make(chan struct{}), //nolint:gosec // The number only tells starts apart.
		entries: map[string]camphorhinge.Instant{},
	}
}

// WakeWatches wakes the watches that are held; it is called after a change of the registry or of the configuration.
func (s *Source) WakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.wake)
	s.wake = make(chan struct{})
}

// recordWatch notes that an entry node watches, and returns the number of those that did lately and what wakes this watch.
func (s *Source) recordWatch(node string, leaving bool) (int, <-chan struct{}) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[node] = now
	if leaving {
		delete(s.entries, node)
	}
	for name, at := range s.entries {
		if now.Sub(at) > entryExpiry {
			delete(s.entries, name)
		}
	}
	return len(s.entries), s.wake
}

// Watch answers when there is news for the caller, or after its wait.
func (s *Source) Watch(ctx context.Context, req *peerpb.WatchRequest) (*peerpb.WatchResponse, error) {
	wait := min(time.Duration(req.GetWait())*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		count, wake := s.recordWatch(req.GetNode(), req.GetLeaving())
		resp, news := s.changes(req)
		resp.Entries = uint32(count)
		if news || wait <= 0 || req.GetLeaving() {
			return resp, nil
		}
		select {
		case <-wake:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return resp, nil
		}
	}
}

// changes returns the answer to a watch, and whether it holds anything that the caller lacks.
func (s *Source) changes(req *peerpb.WatchRequest) (*peerpb.WatchResponse, bool) {
	since := req.GetChange()
	if req.GetStart() != s.start {
		since = 0
	}
	changed, last := s.cfg.Registry.Changes(since)
	_, version := s.cfg.Table.Document()
	resp := &peerpb.WatchResponse{
		Start: s.start, Change: last, Version: uint64(version), Cores: s.cfg.Cores(), Scores: s.cfg.Scores(),
	}
	for _, c := range changed {
		data, err := json.Marshal(c.Announcement)
		if err != nil {
			panic("encode announcement: " + err.Error()) // A decoded announcement can always be encoded.
		}
		resp.Targets = append(resp.Targets, &peerpb.Announced{Announcement: data, Age: uint64(max(c.Age, 0).Milliseconds())})
	}
	return resp, req.GetStart() != s.start || last != since || uint64(version) > req.GetVersion()
}

// Routing returns the difference from the caller's version of the configuration; it is empty when there is none.
func (s *Source) Routing(_ context.Context, req *peerpb.RoutingRequest) (*peerpb.RoutingResponse, error) {
	d := s.cfg.Table.Since(camphorhinge.Version(req.GetVersion()))
	if d == nil {
		return &peerpb.RoutingResponse{}, nil
	}
	return &peerpb.RoutingResponse{Delta: d.Encode()}, nil
}

// Place passes a placement on to the Scheduler.
func (s *Source) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	return s.cfg.Scheduler.Place(ctx, req)
}
