package schedule

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/place"
)

const (
	// cachePollInterval is the mean time between two polls of an engine's cache. The contents of a cache turn over in
	// about ten seconds.
	cachePollInterval = time.Second
	// cachePollTick is the interval at which engines due for a poll are looked up.
	cachePollTick = 50 * time.Millisecond
	// cachePollIdle is the time without placement requests after which polling stops.
	cachePollIdle = 2 * time.Second
	// cachePollTimeout bounds one poll. Engines answer it from memory.
	cachePollTimeout = 300 * time.Millisecond
	// maxCachePolls bounds the concurrent polls.
	maxCachePolls = 16
)

// Caches lists the contents of engines' KV caches.
type Caches interface {
	// Segments returns the prompt segments in an engine's KV cache. The call delays the engine's work slightly.
	Segments(ctx context.Context, t *camphorhinge.Target) ([]place.Segment, error)
}

// pollCaches polls the engines' caches while this node places requests, until ctx ends. Without polls the placer could
// only estimate an engine's evictions from the requests sent to it, and after a restart of all nodes it would have no
// record of what the engines have cached.
func (s *Scheduler) pollCaches(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxCachePolls)
	ticker := time.NewTicker(cachePollTick)
	defer ticker.Stop()
	next := map[camphorhinge.TargetName]camphorhinge.Instant{} // time of the next poll, by engine
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-ticker.C:
		}
		now := s.cfg.Clock.Now()
		if now.Sub(s.lastRequest()) > cachePollIdle {
			continue
		}
		maps.DeleteFunc(next, func(_ camphorhinge.TargetName, at camphorhinge.Instant) bool { return now.Sub(at) > cachePollIdle })
		for _, t := range s.ownEngines(now) {
			if now < next[t.Name] {
				continue
			}
			// The random interval spreads the polls over time.
			next[t.Name] = now.Add(cachePollInterval/2 + rand.N(cachePollInterval)) //nolint:gosec // Timing needs no secrecy.
			g.Go(func() error {
				s.pollCache(ctx, t)
				return nil
			})
		}
	}
}

// lastRequest returns the time of the latest placement request.
func (s *Scheduler) lastRequest() camphorhinge.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestedAt
}

// engines returns the live engines of all services.
func (s *Scheduler) engines() []*camphorhinge.Target { return s.enginesOf(s.cfg.Targets.Live) }

// ownEngines returns the live engines for which this node places requests.
func (s *Scheduler) ownEngines(now camphorhinge.Instant) []*camphorhinge.Target {
	return s.enginesOf(func(service camphorhinge.ServiceName) []*camphorhinge.Target { return s.division.own(now, service) })
}

// enginesOf returns the engines that list returns for the services with engines.
func (s *Scheduler) enginesOf(list func(camphorhinge.ServiceName) []*camphorhinge.Target) []*camphorhinge.Target {
	config := s.cfg.Configuration()
	if config == nil {
		return nil
	}
	var out []*camphorhinge.Target
	for i := range config.Services {
		if config.Services[i].Engine != nil {
			out = append(out, list(config.Services[i].Name)...)
		}
	}
	return out
}

// pollCache polls the cache of one engine and passes the contents to the placer.
func (s *Scheduler) pollCache(ctx context.Context, t *camphorhinge.Target) {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	began := s.cfg.Clock.Now()
	segments, err := s.cfg.Caches.Segments(ctx, t)
	if err != nil {
		s.cfg.Log.LogAttrs(ctx, slog.LevelWarn, "cannot list the cached segments of an engine", slog.String("target", string(t.Name)), slog.Any("error", err))
		return
	}
	s.placer.ObserveCache(s.cfg.Clock.Now(), began, t, segments)
}
