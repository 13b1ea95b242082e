package server

import (
	"encoding/json"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/quarantine"
)

// observe tells the request path of an accepted announcement.
func (s *Server) observe(t *camphorhinge.Target) {
	s.quarantine.Restarted(t.Name, t.Incarnation)
	if t.Kind == camphorhinge.KindEngine && s.router.Observe(t) {
		s.spreader.Gap(t.Announcement)
	}
}

func (s *Server) resync(t *camphorhinge.Target) bool { return s.router.Resync(t) }

// learnScores takes the crash counts that the leader sent.
func (s *Server) learnScores(encoded []byte) {
	var scores []quarantine.Score
	if err := json.Unmarshal(encoded, &scores); err != nil {
		s.log.Warn("crash counts not decoded", "error", err)
		return
	}
	s.quarantine.Learn(scores)
}
