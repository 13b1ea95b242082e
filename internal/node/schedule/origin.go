package schedule

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/origin"
)

const (
	// maxOwnOrigins bounds the origins that an entry node keeps, and maxOrigins those that a core node keeps.
	maxOwnOrigins, maxOrigins = 1 << 16, 1 << 20
	// copies is the number of other core nodes to which a core node copies the origins that it receives.
	copies = 2
	// copyInterval is the time between two calls that copy origins, and copyTimeout bounds one of them.
	copyInterval, copyTimeout = 50 * time.Millisecond, 500 * time.Millisecond
	// maxUncopied bounds the origins that wait to be copied to one core node.
	maxUncopied = 1 << 16
	// maxCoresAsked is the number of core nodes that an entry node asks in turn while none answers.
	maxCoresAsked = 3
	// originSweepInterval is the time between two removals of expired origins. A version that is in service for less is
	// recorded with the first stream that begins there.
	originSweepInterval = time.Second
	// askTimeout bounds a core node's question to another one, and resolveTimeout an entry node's question to a core node,
	// which may ask others meanwhile.
	askTimeout, resolveTimeout = 100 * time.Millisecond, 250 * time.Millisecond
)

// encodeOrigins groups records by origin; records whose time has passed are left out.
func encodeOrigins(now camphorhinge.Instant, records []origin.Record) []*peerpb.StreamOrigins {
	groups := map[origin.Origin]*peerpb.StreamOrigins{}
	var out []*peerpb.StreamOrigins
	for _, r := range records {
		if r.Until <= now {
			continue
		}
		g := groups[r.Origin]
		if g == nil {
			g = &peerpb.StreamOrigins{Service: string(r.Service), Software: string(r.Software)}
			groups[r.Origin] = g
			out = append(out, g)
		}
		g.Keys = append(g.Keys, uint64(r.Key))
		g.Tries = append(g.Tries, uint32(r.Try))
		g.Keep = append(g.Keep, uint32(min(r.Until.Sub(now).Milliseconds()+1, math.MaxUint32)))
	}
	return out
}

func decodeOrigins(now camphorhinge.Instant, groups []*peerpb.StreamOrigins) []origin.Record {
	var out []origin.Record
	for _, g := range groups {
		from := origin.Origin{Service: camphorhinge.ServiceName(g.GetService()), Software: camphorhinge.SoftwareVersion(g.GetSoftware())}
		for i, key := range g.GetKeys() {
			if i < len(g.GetTries()) && i < len(g.GetKeep()) {
				out = append(out, origin.Record{
					Key: origin.Key(key), Origin: from, Try: uint8(min(g.GetTries()[i], math.MaxUint8)),
					Until: now.Add(time.Duration(g.GetKeep()[i]) * time.Millisecond),
				})
			}
		}
	}
	return out
}

// RecordOrigin records where a stream begins, or that it was continued there; it is sent to the core nodes with the next
// call. Try numbers the targets to which the attempt was sent, from 1, and is 0 for a continued stream. The record is kept
// for the given time.
func (c *Client) RecordOrigin(key origin.Key, from origin.Origin, try int, keep time.Duration) {
	now := c.cfg.Clock.Now()
	r := origin.Record{Key: key, Origin: from, Try: uint8(min(max(try, 0), math.MaxUint8)), Until: now.Add(keep)}
	if c.origins.Add(now, r) > 0 {
		c.originsDropped.Inc()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsentOrigins = append(c.unsentOrigins, r)
}

// takeOrigins removes and returns the origins to be sent with a call to a core node. The caller holds c.mu.
func (c *Client) takeOrigins(address string) []origin.Record {
	if !c.takesOrigins(address) {
		return nil
	}
	out := c.unsentOrigins
	c.unsentOrigins = nil
	return out
}

// restoreOrigins queues the origins of a failed call again. The caller holds c.mu.
func (c *Client) restoreOrigins(now camphorhinge.Instant, records []origin.Record) {
	c.unsentOrigins = append(c.unsentOrigins, slices.DeleteFunc(records, func(r origin.Record) bool { return r.Until <= now })...)
}

// ResolveOrigin returns where a stream began; ok is false when that is not known. Without a record it is known if the service
// has had one software version for the given time, in which the stream must have begun. Key is 0 when the caller did not
// state which stream it continues.
func (c *Client) ResolveOrigin(ctx context.Context, key origin.Key, service camphorhinge.ServiceName, window time.Duration) (from origin.Origin, ok bool) {
	if key != 0 {
		if from, ok = c.origins.Find(c.cfg.Clock.Now(), key); ok {
			return from, true
		}
	}
	req := &peerpb.OriginRequest{Key: uint64(key), Service: string(service), Window: uint32(min(window.Milliseconds(), math.MaxUint32))}
	cores := c.coresToAsk()
	for _, address := range cores[:min(len(cores), maxCoresAsked)] {
		callCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
		resp, err := c.cfg.Feed(address).Origin(callCtx, req)
		cancel()
		switch {
		case ctx.Err() != nil:
			return origin.Origin{}, false
		case err != nil:
			c.cfg.Log.Warn("core node did not tell where a stream began", "core", address, "error", err)
			continue
		case resp.GetKnown():
			return origin.Origin{Service: camphorhinge.ServiceName(resp.GetService()), Software: camphorhinge.SoftwareVersion(resp.GetSoftware())}, true
		case resp.GetWhole() && len(resp.GetVersions()) == 1:
			return origin.Origin{Service: service, Software: camphorhinge.SoftwareVersion(resp.GetVersions()[0])}, true
		}
		return origin.Origin{}, false
	}
	return origin.Origin{}, false
}

// coresToAsk returns the core nodes with the preferred one first and without those that are avoided.
func (c *Client) coresToAsk() []string {
	cores := c.cfg.Cores()
	c.mu.Lock()
	defer c.mu.Unlock()
	preferred := c.preferredCore()
	out := slices.DeleteFunc(slices.Clone(cores), func(address string) bool {
		return address == preferred || c.link(address).probeAt != 0
	})
	if preferred != "" {
		out = slices.Insert(out, 0, preferred)
	}
	return out
}

// origins is a core node's record of where streams began.
type origins struct {
	table   *origin.Table
	history *origin.History

	mu sync.Mutex
	// uncopied are the records that each of the other core nodes must still get, and copying marks those that are being sent
	// some.
	uncopied map[string][]origin.Record
	copying  map[string]bool
}

func newOrigins(now camphorhinge.Instant) *origins {
	return &origins{table: origin.New(maxOrigins), history: origin.NewHistory(now), uncopied: map[string][]origin.Record{}, copying: map[string]bool{}}
}

// mergeOrigins adds origins from an entry node, which are to be copied, or from another core node.
func (s *Scheduler) mergeOrigins(now camphorhinge.Instant, groups []*peerpb.StreamOrigins, toCopy bool) {
	if len(groups) == 0 {
		return
	}
	records := decodeOrigins(now, groups)
	if dropped := s.origins.table.Add(now, records...); dropped > 0 {
		s.cfg.Log.Warn("origins of streams dropped", "count", dropped, "limit", maxOrigins)
	}
	for _, g := range groups {
		s.origins.history.Observe(now, origin.Origin{Service: camphorhinge.ServiceName(g.GetService()), Software: camphorhinge.SoftwareVersion(g.GetSoftware())})
	}
	if !toCopy {
		return
	}
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	for _, address := range s.copyTargets() {
		queue := append(s.origins.uncopied[address], records...)
		if over := len(queue) - maxUncopied; over > 0 {
			s.cfg.Log.Warn("origins of streams not copied", "core", address, "count", over)
			queue = queue[over:]
		}
		s.origins.uncopied[address] = queue
	}
}

// copyTargets returns the core nodes that get copies of this node's origins: the next ones in the order of addresses.
func (s *Scheduler) copyTargets() []string {
	if s.cfg.Others == nil {
		return nil
	}
	others := slices.Sorted(slices.Values(s.cfg.Others()))
	i, _ := slices.BinarySearch(others, s.cfg.Self)
	others = append(others[i:len(others):len(others)], others[:i]...)
	return others[:min(copies, len(others))]
}

// runCopies copies origins to other core nodes and removes expired ones until ctx ends.
func (s *Scheduler) runCopies(ctx context.Context) error {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	var sweptAt camphorhinge.Instant
	var g errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-ticker.C:
		}
		if now := s.cfg.Clock.Now(); now.Sub(sweptAt) >= originSweepInterval {
			sweptAt = now
			s.origins.table.Sweep(now)
			s.observeVersions(now)
		}
		for address, records := range s.origins.takeUncopied() {
			g.Go(func() error {
				s.copyOrigins(ctx, address, records)
				return nil
			})
		}
	}
}

// takeUncopied removes and returns the records for the core nodes that are not being sent any.
func (o *origins) takeUncopied() map[string][]origin.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string][]origin.Record{}
	for address, records := range o.uncopied {
		if !o.copying[address] {
			out[address], o.copying[address] = records, true
			delete(o.uncopied, address)
		}
	}
	return out
}

// copyOrigins copies records to a core node. After a failure they are queued again while the node is one to copy to.
func (s *Scheduler) copyOrigins(ctx context.Context, address string, records []origin.Record) {
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, err := s.cfg.Feed(address).Record(callCtx, &peerpb.RecordRequest{Origins: encodeOrigins(s.cfg.Clock.Now(), records)})
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	delete(s.origins.copying, address)
	if err == nil || ctx.Err() != nil {
		return
	}
	s.cfg.Log.Debug("origins of streams not copied yet", "core", address, "count", len(records), "error", err)
	if !slices.Contains(s.copyTargets(), address) {
		return
	}
	now := s.cfg.Clock.Now()
	queue := slices.DeleteFunc(append(records, s.origins.uncopied[address]...), func(r origin.Record) bool { return r.Until <= now })
	s.origins.uncopied[address] = queue[max(len(queue)-maxUncopied, 0):]
}

// observeVersions records the software versions that are in service.
func (s *Scheduler) observeVersions(now camphorhinge.Instant) {
	config := s.cfg.Configuration()
	if config == nil {
		return
	}
	for i := range config.Services {
		for _, t := range s.cfg.Targets.Live(config.Services[i].Name) {
			s.origins.history.Observe(now, origin.Origin{Service: t.Service, Software: t.Software})
		}
	}
}

// Record adds origins that another core node has received.
func (s *Scheduler) Record(_ context.Context, req *peerpb.RecordRequest) (*peerpb.RecordResponse, error) {
	s.mergeOrigins(s.cfg.Clock.Now(), req.GetOrigins(), false)
	return &peerpb.RecordResponse{}, nil
}

// Origin returns where a stream began. If this node has no record, it asks the other core nodes, unless the request is a
// question of one of them.
func (s *Scheduler) Origin(ctx context.Context, req *peerpb.OriginRequest) (*peerpb.OriginResponse, error) {
	own := s.ownOrigin(req)
	if own.GetKnown() || req.GetLocal() || s.cfg.Others == nil {
		return own, nil
	}
	others := s.cfg.Others()
	if s.askOthers(ctx, req, own, others) || own.GetWhole() && len(own.GetVersions()) == 1 {
		return own, nil
	}
	s.addDurableVersions(ctx, camphorhinge.ServiceName(req.GetService()), own)
	return own, nil
}

// askOthers adds the answers of the other core nodes to own, and reports whether one of them has a record.
func (s *Scheduler) askOthers(ctx context.Context, req *peerpb.OriginRequest, own *peerpb.OriginResponse, others []string) bool {
	answers := make([]*peerpb.OriginResponse, len(others))
	ask := &peerpb.OriginRequest{Key: req.GetKey(), Service: req.GetService(), Window: req.GetWindow(), Local: true}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var g errgroup.Group
	for i, address := range others {
		g.Go(func() error {
			answer, err := s.cfg.Feed(address).Origin(ctx, ask)
			if err != nil {
				s.cfg.Log.Debug("core node not asked for an origin", "core", address, "error", err)
				return nil
			}
			answers[i] = answer
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
	answered := 1
	for _, answer := range answers {
		switch {
		case answer == nil:
			continue
		case answer.GetKnown():
			own.Known, own.Service, own.Software = true, answer.GetService(), answer.GetSoftware()
			return true
		}
		answered++
		own.Whole = own.GetWhole() || answer.GetWhole()
		for _, v := range answer.GetVersions() {
			if !slices.Contains(own.GetVersions(), v) {
				own.Versions = append(own.Versions, v)
			}
		}
	}
	// A minority may have been cut off from the targets of a version and from the records of its streams.
	own.Whole = own.GetWhole() && 2*answered > len(others)+1
	return false
}

// addDurableVersions completes an answer from the durable state, which also reaches back to before the core nodes started.
func (s *Scheduler) addDurableVersions(ctx context.Context, service camphorhinge.ServiceName, own *peerpb.OriginResponse) {
	if s.cfg.Versions == nil || len(own.GetVersions()) > 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	durable, err := s.cfg.Versions(ctx, service)
	if err != nil {
		s.cfg.Log.Info("software versions in service not read", "service", service, "error", err)
		return
	}
	for _, v := range own.GetVersions() {
		if !slices.Contains(durable, camphorhinge.SoftwareVersion(v)) {
			return // The durable state does not have the latest version yet.
		}
	}
	own.Whole, own.Versions = true, nil
	for _, v := range durable {
		own.Versions = append(own.Versions, string(v))
	}
}

// ownOrigin answers a request by this node's records only.
func (s *Scheduler) ownOrigin(req *peerpb.OriginRequest) *peerpb.OriginResponse {
	now := s.cfg.Clock.Now()
	if req.GetKey() != 0 {
		if from, ok := s.origins.table.Find(now, origin.Key(req.GetKey())); ok {
			return &peerpb.OriginResponse{Known: true, Service: string(from.Service), Software: string(from.Software)}
		}
	}
	service := camphorhinge.ServiceName(req.GetService())
	for _, t := range s.cfg.Targets.Live(service) {
		s.origins.history.Observe(now, origin.Origin{Service: t.Service, Software: t.Software})
	}
	versions, whole := s.origins.history.Versions(now, service, time.Duration(req.GetWindow())*time.Millisecond)
	resp := &peerpb.OriginResponse{Whole: whole}
	for _, v := range versions {
		resp.Versions = append(resp.Versions, string(v))
	}
	return resp
}
