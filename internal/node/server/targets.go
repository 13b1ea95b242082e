package server

import (
	"context"
	"encoding/json"
	"log/slog"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/prefix"
	"example.org/camphorhinge/internal/request/quarantine"
)

// onAnnouncement passes an accepted announcement to the request path: the incarnation to the crash detection, and the
// cache of an engine to the router. It requests a resync if the router detects a gap.
func (s *Server) onAnnouncement(t *camphorhinge.Target) {
	s.quarantine.RecordRestart(t.Name, t.Incarnation)
	if t.Kind == camphorhinge.KindEngine && s.router.ObserveCache(t) {
		s.discovery.RequestResync(t.Announcement)
	}
}

func (s *Server) replaceCache(t *camphorhinge.Target) bool { return s.router.ReplaceCache(t) }

// applyEngineDecisions puts the leader's encoded decisions on engines in force on this node.
func (s *Server) applyEngineDecisions(encoded []byte) error {
	if err := s.engines.Load(encoded); err != nil {
		return err
	}
	s.registry.Invalidate()
	return nil
}

// mergeScores merges the encoded crash scores that the leader sent.
func (s *Server) mergeScores(encoded []byte) { mergeCrashScores(s.quarantine, s.log, encoded) }

func mergeCrashScores(crashes *quarantine.Client, log *slog.Logger, encoded []byte) {
	var scores []quarantine.Score
	if err := json.Unmarshal(encoded, &scores); err != nil {
		log.Warn("crash scores not decoded", "error", err)
		return
	}
	crashes.MergeScores(scores)
}

// survived reports whether a target still accepts connections, or has announced that it leaves.
func survived(ctx context.Context, client *exchange.Client, targets camphorhinge.Targets, t *camphorhinge.Target) bool {
	for _, x := range targets.Live(t.Service) {
		if x.Name == t.Name && x.Incarnation == t.Incarnation && x.Leaving {
			return true
		}
	}
	return client.Reachable(ctx, t.Address)
}

// maxPrefixes bounds the hashes of one prompt; 256 blocks cover a prompt of 256,000 tokens.
const maxPrefixes = 256

// hashPrefixes hashes the leading blocks of a prompt as engines do.
func hashPrefixes(model camphorhinge.ModelName, adapter camphorhinge.AdapterName, prompt string) []uint64 {
	return prefix.Hashes(model, adapter, prompt, maxPrefixes)
}
