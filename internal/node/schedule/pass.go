package schedule

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// freePollInterval is the mean time between two polls of another core node for its free engines, and freePollTimeout bounds one.
	freePollInterval, freePollTimeout = 200 * time.Millisecond, 150 * time.Millisecond
	// freeExpiry is the age from which the answer to a poll no longer counts.
	freeExpiry = 500 * time.Millisecond
	// passAfter is how long a request must have waited here before others are passed on, in addition to the time to prefill their shared
	// segments, which the engines of another shard have probably not cached.
	passAfter = 150 * time.Millisecond
)

// passing decides which requests are passed on to another core node, because the engines of a shard are busy while those of others are
// not. Without it, a popular prompt could use the engines of its shard only.
type passing struct {
	mu sync.Mutex
	// free are the free engines of other core nodes, by peer address, less the requests that were passed on since.
	free map[passKey]*freeEngines
}

type passKey struct {
	service camphorhinge.ServiceName
	address string
}

type freeEngines struct {
	count int
	at    camphorhinge.Instant
}

// take returns the address of a core node with a free engine for a request of the service, or "".
func (p *passing) take(now camphorhinge.Instant, service camphorhinge.ServiceName) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best string
	most := 0
	for key, f := range p.free {
		if key.service == service && now.Sub(f.at) <= freeExpiry && f.count > most {
			best, most = key.address, f.count
		}
	}
	if best != "" {
		p.free[passKey{service, best}].count--
	}
	return best
}

// record stores the answer of a core node to a poll, and drops those that no longer count.
func (p *passing) record(now camphorhinge.Instant, service camphorhinge.ServiceName, address string, resp *peerpb.WorkResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.free, func(_ passKey, f *freeEngines) bool { return now.Sub(f.at) > freeExpiry })
	f := &freeEngines{at: now}
	if resp.GetWaiting() == 0 {
		f.count = int(resp.GetFree())
	}
	p.free[passKey{service, address}] = f
}

// runFreePolls polls the other core nodes for their free engines while this node places requests for single shards, until ctx ends.
func (s *Scheduler) runFreePolls(ctx context.Context) error {
	if s.cfg.Others == nil {
		return nil
	}
	var g errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-time.After(freePollInterval/2 + rand.N(freePollInterval)): //nolint:gosec // Timing needs no secrecy.
		}
		services := map[camphorhinge.ServiceName]bool{}
		for _, key := range s.division.placing(s.cfg.Clock.Now()) {
			if key.count > 1 {
				services[key.service] = true
			}
		}
		for service := range services {
			for _, address := range s.cfg.Others() {
				g.Go(func() error {
					s.pollFree(ctx, service, address)
					return nil
				})
			}
		}
	}
}

// pollFree polls one core node for its free engines.
func (s *Scheduler) pollFree(ctx context.Context, service camphorhinge.ServiceName, address string) {
	ctx, cancel := context.WithTimeout(ctx, freePollTimeout)
	defer cancel()
	resp, err := s.cfg.Feed(address).Work(ctx, &peerpb.WorkRequest{Service: string(service)})
	if err != nil {
		s.cfg.Log.Debug("free engines of a core node not known", "core", address, "error", err)
		return
	}
	s.passing.record(s.cfg.Clock.Now(), service, address, resp)
}
