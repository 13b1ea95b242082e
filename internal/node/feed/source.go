package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/response"
	"example.org/camphorhinge/internal/record/routing"
)

const (
	// maxWait bounds the time for which the response to a watch is delayed.
	maxWait = 2 * time.Second
	// changeDelay is the time from a change to the responses with it, so that a response covers a burst of changes.
	changeDelay = 50 * time.Millisecond
	// changeInterval is the least time between two responses with changes to one entry node. While targets come and go all the time,
	// the watches of all entry nodes would otherwise take much of the processor's time at both ends.
	changeInterval = 250 * time.Millisecond
	// entryExpiry is how long an entry node is counted after its last watch. It exceeds the time between two watches plus
	// the time that a node needs to detect a lost call.
	entryExpiry = 4 * time.Second
	// entrySweepInterval is the time between two removals of expired entry nodes.
	entrySweepInterval = 200 * time.Millisecond
)

// SourceConfig holds the dependencies of a Source.
type SourceConfig struct {
	// Zone is the core node's zone.
	Zone     camphorhinge.Zone
	Registry *registry.Registry
	Table    *routing.Table
	// Cores returns the peer addresses of all core nodes.
	Cores func() []string
	// Scores returns the encoded crash scores by request fingerprint, or nil if there are none.
	Scores func() []byte
	// Scheduler places the requests of entry nodes.
	Scheduler Scheduler
	// Shards returns the shards of all services with engines; nil means that the Scheduler places no requests for single shards.
	Shards func() []*peerpb.Shards
	// Usage records the usage that entry nodes have counted; nil means that none is recorded.
	Usage Usage
	// Confirmed returns the latest time at which the configuration in Table is known to have been the newest, or 0; nil means that it
	// is never known.
	Confirmed func() camphorhinge.Instant
	// Responses bounds the memory of responses with the configuration; nil sets no limit.
	Responses *response.Bound
	// Wall returns the wall clock in milliseconds since the Unix epoch; nil means that entry nodes are not told.
	Wall  func() int64
	Clock camphorhinge.Clock
}

// Usage records the usage that entry nodes have counted; *usage.Collector implements it.
type Usage interface {
	// Count records the counts of an entry node.
	Count(ctx context.Context, req *peerpb.CountRequest) (*peerpb.CountResponse, error)
	// Counted returns what was recorded of a window.
	Counted(ctx context.Context, req *peerpb.CountedRequest) (*peerpb.CountedResponse, error)
}

// Scheduler places the requests of entry nodes; *schedule.Scheduler implements it.
type Scheduler interface {
	// Place applies the events of the calling entry node and places its request, if the call has one.
	Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error)
	// Work returns the measured work of a service's engines.
	Work(ctx context.Context, req *peerpb.WorkRequest) (*peerpb.WorkResponse, error)
	// Record adds origins of streams that another core node has received.
	Record(ctx context.Context, req *peerpb.RecordRequest) (*peerpb.RecordResponse, error)
	// Origin returns where a stream began.
	Origin(ctx context.Context, req *peerpb.OriginRequest) (*peerpb.OriginResponse, error)
}

// Source answers the watches of entry nodes on a core node; it implements peerpb.Feed.
type Source struct {
	cfg SourceConfig
	// start distinguishes the starts of this process; changes are numbered within one start. It is never 0.
	start uint64

	mu   sync.Mutex
	wake chan struct{}
	// entries is when the entry nodes last watched, and changedAt when they last got changes.
	entries, changedAt map[string]camphorhinge.Instant
	// sweptAt is when expired entries were last removed.
	sweptAt camphorhinge.Instant
	// isolated is as last set by SetIsolated; turned is closed when it changes.
	isolated bool
	turned   chan struct{}

	// deltaMu guards delta, and lets one delta be computed at a time, which takes several times its memory.
	deltaMu sync.Mutex
	// delta is the latest encoded delta, since all entry nodes ask for the same one after a change.
	delta encodedDelta
	// calls numbers the responses with a delta, each of which holds memory of its own.
	calls atomic.Uint64
}

// encodedDelta is the encoded difference from one version to another.
type encodedDelta struct {
	from, to camphorhinge.Version
	data     []byte
}

var _ peerpb.Feed = (*Source)(nil)

// NewSource returns a Source that has not counted any entry node yet.
func NewSource(cfg SourceConfig) *Source {
	return &Source{
		cfg: cfg, start: rand.Uint64() | 1, wake: make(chan struct{}), turned: make(chan struct{}), //nolint:gosec // The number only distinguishes starts.
		entries: map[string]camphorhinge.Instant{}, changedAt: map[string]camphorhinge.Instant{},
	}
}

// WakeWatches makes waiting watches check for changes. It must be called after each change of the registry, of the
// configuration or of the crash scores.
func (s *Source) WakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.wake)
	s.wake = make(chan struct{})
}

// SetIsolated records whether this core node has lost contact with the leader. If that has changed, it answers all watches, so that
// entry nodes choose their sources of changes again at once.
func (s *Source) SetIsolated(isolated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isolated == isolated {
		return
	}
	s.isolated = isolated
	close(s.turned)
	s.turned = make(chan struct{})
}

// contact returns whether this core node is isolated, and a channel that is closed when that changes.
func (s *Source) contact() (isolated bool, turned <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolated, s.turned
}

// recordWatch records a watch of an entry node, or removes the node if it is leaving. It returns the number of entry
// nodes that have watched within entryExpiry, and a channel that is closed at the next change.
func (s *Source) recordWatch(node string, leaving bool) (int, <-chan struct{}) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[node] = now
	if leaving {
		delete(s.entries, node)
	}
	if now.Sub(s.sweptAt) >= entrySweepInterval {
		s.sweptAt = now
		maps.DeleteFunc(s.entries, func(_ string, at camphorhinge.Instant) bool { return now.Sub(at) > entryExpiry })
		maps.DeleteFunc(s.changedAt, func(_ string, at camphorhinge.Instant) bool { return now.Sub(at) > changeInterval })
	}
	return len(s.entries), s.wake
}

// mayChange returns the time until an entry node may get changes again. If that is 0, they count as sent to it.
func (s *Source) mayChange(node string) time.Duration {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.changedAt[node]; ok && now.Sub(at) < changeInterval {
		return changeInterval - now.Sub(at)
	}
	s.changedAt[node] = now
	return 0
}

// Watch returns when there are changes for the entry node, at once if it is leaving, or else after its wait.
func (s *Source) Watch(ctx context.Context, req *peerpb.WatchRequest) (*peerpb.WatchResponse, error) {
	resp, err := s.awaitChanges(ctx, req)
	if err == nil && s.cfg.Wall != nil {
		resp.Wall = s.cfg.Wall() // Read last, so that the wait does not count as a delay of the clock.
	}
	return resp, err
}

func (s *Source) awaitChanges(ctx context.Context, req *peerpb.WatchRequest) (*peerpb.WatchResponse, error) {
	wait := min(time.Duration(req.GetWait())*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	arrived := s.cfg.Clock.Now()
	_, turned := s.contact()
	for {
		count, wake := s.recordWatch(req.GetNode(), req.GetLeaving())
		// The confirmation is read before the version, which may thus be newer than the confirmed one, and never older.
		confirmed := s.confirmed(arrived)
		resp, changed := s.changes(req)
		resp.Confirmed = confirmed
		resp.Entries = uint32(count)
		resp.Isolated, _ = s.contact()
		if wait <= 0 || req.GetLeaving() || req.GetStart() != s.start && changed {
			return resp, nil
		}
		if changed {
			left := s.mayChange(req.GetNode())
			if left == 0 {
				return resp, nil
			}
			select {
			case <-time.After(left):
			case <-ctx.Done():
				return resp, nil
			}
			continue
		}
		if req.GetLight() {
			wake = nil // It is answered at the end of its wait only.
		}
		select {
		case <-wake:
			time.Sleep(changeDelay)
		case <-timer.C:
			wait = 0
		case <-turned:
			wait = 0
		case <-ctx.Done():
			return resp, nil
		}
	}
}

// confirmed returns the field confirmed of the response to a watch that arrived at a time.
func (s *Source) confirmed(arrived camphorhinge.Instant) uint64 {
	if s.cfg.Confirmed == nil {
		return 0
	}
	return encodeConfirmed(arrived, s.cfg.Confirmed())
}

// changes returns the response to a watch, and whether it contains anything that the entry node does not have.
func (s *Source) changes(req *peerpb.WatchRequest) (*peerpb.WatchResponse, bool) {
	_, version := s.cfg.Table.Document()
	resp := &peerpb.WatchResponse{
		Start: s.start, Version: uint64(version), Cores: s.cfg.Cores(), Zone: string(s.cfg.Zone),
	}
	if s.cfg.Shards != nil {
		resp.Sharding, resp.Shards = true, s.cfg.Shards()
	}
	if req.GetLight() {
		return resp, false
	}
	if scores := s.cfg.Scores(); len(scores) > 0 && xxhash.Sum64(scores) != req.GetScores() {
		resp.Scores = scores
	}
	if req.GetStart() != s.start && req.GetStart() != 0 {
		// The caller repeats the call with its digests.
		resp.Start = 0
		return resp, true
	}
	since := req.GetChange()
	var changed []registry.Aged
	var last uint64
	if req.GetStart() == s.start {
		changed, last = s.cfg.Registry.Changes(since)
	} else {
		changed, last = s.cfg.Registry.DifferentFrom(req.GetDigests())
	}
	resp.Change = last
	for _, c := range changed {
		if req.GetCompact() {
			resp.States = append(resp.States, encodeTarget(&c.Announcement, c.Age))
			continue
		}
		data, err := json.Marshal(c.Announcement)
		if err != nil {
			panic("encode announcement: " + err.Error()) // A decoded announcement can always be encoded.
		}
		resp.Targets = append(resp.Targets, &peerpb.Announced{Announcement: data, Age: uint64(max(c.Age, 0).Milliseconds())})
	}
	return resp, req.GetStart() != s.start || last != since || uint64(version) > req.GetVersion() || len(resp.GetScores()) > 0
}

// Routing returns the difference between the entry node's version of the configuration and the current one, or an empty
// response if they are equal.
func (s *Source) Routing(ctx context.Context, req *peerpb.RoutingRequest) (*peerpb.RoutingResponse, error) {
	data := s.encodeDelta(camphorhinge.Version(req.GetVersion()))
	// The response takes memory twice, for the delta and for its encoding.
	if err := s.cfg.Responses.Hold(ctx, fmt.Sprintf("delta %d", s.calls.Add(1)), 2*len(data)); err != nil {
		return nil, err
	}
	return &peerpb.RoutingResponse{Delta: data}, nil
}

// encodeDelta returns the encoded difference from a version to the current one, or nil if there is no configuration.
func (s *Source) encodeDelta(from camphorhinge.Version) []byte {
	s.deltaMu.Lock()
	defer s.deltaMu.Unlock()
	if _, current := s.cfg.Table.Document(); current > 0 && s.delta.from == from && s.delta.to == current {
		return s.delta.data
	}
	d := s.cfg.Table.Since(from)
	if d == nil {
		return nil
	}
	s.delta = encodedDelta{from: from, to: d.Version, data: d.Encode()}
	return s.delta.data
}

// Place forwards a call to the Scheduler.
func (s *Source) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	return s.cfg.Scheduler.Place(ctx, req)
}

// Work forwards a call to the Scheduler.
func (s *Source) Work(ctx context.Context, req *peerpb.WorkRequest) (*peerpb.WorkResponse, error) {
	return s.cfg.Scheduler.Work(ctx, req)
}

// Record forwards a call to the Scheduler.
func (s *Source) Record(ctx context.Context, req *peerpb.RecordRequest) (*peerpb.RecordResponse, error) {
	return s.cfg.Scheduler.Record(ctx, req)
}

// Origin forwards a call to the Scheduler.
func (s *Source) Origin(ctx context.Context, req *peerpb.OriginRequest) (*peerpb.OriginResponse, error) {
	return s.cfg.Scheduler.Origin(ctx, req)
}

// Count forwards a call to the Usage, if there is one.
func (s *Source) Count(ctx context.Context, req *peerpb.CountRequest) (*peerpb.CountResponse, error) {
	if s.cfg.Usage == nil {
		return &peerpb.CountResponse{}, nil
	}
	return s.cfg.Usage.Count(ctx, req)
}

// Counted forwards a call to the Usage, if there is one.
func (s *Source) Counted(ctx context.Context, req *peerpb.CountedRequest) (*peerpb.CountedResponse, error) {
	if s.cfg.Usage == nil {
		return &peerpb.CountedResponse{}, nil
	}
	return s.cfg.Usage.Counted(ctx, req)
}
