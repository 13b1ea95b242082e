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
	// surveyEvery is the time between two questions to an engine what it holds. An engine's caches turn over in some ten
	// seconds.
	surveyEvery = time.Second
	// surveyTick is the time between two looks for engines to ask.
	surveyTick = 50 * time.Millisecond
	// surveyIdle is the time without a request to place after which engines are not asked.
	surveyIdle = 2 * time.Second
	// surveyTimeout bounds one question. Engines answer it from memory.
	surveyTimeout = 300 * time.Millisecond
	// surveysAtOnce bounds the questions under way.
	surveysAtOnce = 16
)

// Caches tells what engines hold.
type Caches interface {
	// Parts returns the prompt parts that an engine holds. The question holds up the engine's work a little.
	Parts(ctx context.Context, t *camphorhinge.Target) ([]place.Segment, error)
}

// survey asks engines what they hold while this node places requests, until ctx ends. What it sent there tells only nearly
// what they gave up since, and after a start of all processes nobody else knows what they hold.
func (s *Scheduler) survey(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(surveysAtOnce)
	ticker := time.NewTicker(surveyTick)
	defer ticker.Stop()
	next := map[camphorhinge.TargetName]camphorhinge.Instant{}
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-ticker.C:
		}
		now := s.cfg.Clock.Now()
		if now.Sub(s.lastRequest()) > surveyIdle {
			continue
		}
		maps.DeleteFunc(next, func(_ camphorhinge.TargetName, at camphorhinge.Instant) bool { return now.Sub(at) > surveyIdle })
		for _, t := range s.engines() {
			if now < next[t.Name] {
				continue
			}
			// The random part keeps the questions apart.
			next[t.Name] = now.Add(surveyEvery/2 + rand.N(surveyEvery)) //nolint:gosec // Timing needs no secrecy.
			g.Go(func() error {
				s.inquire(ctx, t)
				return nil
			})
		}
	}
}

// lastRequest returns when a request to place came last.
func (s *Scheduler) lastRequest() camphorhinge.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requested
}

// engines returns the live engines of all services.
func (s *Scheduler) engines() []*camphorhinge.Target {
	config := s.cfg.Configuration()
	if config == nil {
		return nil
	}
	var out []*camphorhinge.Target
	for i := range config.Services {
		if config.Services[i].Engine != nil {
			out = append(out, s.cfg.Targets.Live(config.Services[i].Name)...)
		}
	}
	return out
}

// inquire asks one engine.
func (s *Scheduler) inquire(ctx context.Context, t *camphorhinge.Target) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	began := s.cfg.Clock.Now()
	parts, err := s.cfg.Caches.Parts(ctx, t)
	if err != nil {
		s.cfg.Log.LogAttrs(ctx, slog.LevelWarn, "engine not asked what it holds", slog.String("target", string(t.Name)), slog.Any("error", err))
		return
	}
	s.placer.ObserveCache(s.cfg.Clock.Now(), began, t, parts)
}
