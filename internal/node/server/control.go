package server

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/table"
	"example.org/camphorhinge/internal/state/replica"
)

// buildControl creates the Control service; on a node without a replica the service redirects to the leader.
func (s *Server) buildControl() {
	cfg := control.ServerConfig{
		Self: s.self, Leases: s.leases, Responses: s.responses, Metrics: s.metrics,
		Revision:      acceptedRevision,
		Cluster:       func() camphorhinge.ClusterID { return "" },
		LeaderAddress: s.leaderAddress,
		Status:        func() ([]byte, error) { return json.Marshal(s.localStatus()) },
	}
	if d := s.durable; d != nil {
		cfg.Replica, cfg.Records, cfg.Members = leaderReplica{d.replica, d}, recordTable{d.records}, d.members
		cfg.Orders = d.orderTable
		cfg.AddWorkloadReport = d.workload.Add
		cfg.Scores = d.scores
		cfg.Queries = s.queries(d.records)
		cfg.Cluster = func() camphorhinge.ClusterID { return d.cluster }
	}
	s.control = control.NewServer(cfg)
	if s.durable != nil {
		s.durable.control = s.control
	}
}

// leaderReplica is a replica that acts as the leader only once the configuration leases of its current leadership have
// been initialized. Before that, Leases may still hold the state of an earlier leadership of this replica.
type leaderReplica struct {
	*replica.Replica
	state *durableState
}

// Authority implements control.Replica.
func (l leaderReplica) Authority() (camphorhinge.Term, bool) {
	term, ok := l.Replica.Authority()
	return term, ok && l.state.activeTerm.Load() == uint64(term)
}

// acceptedRevision returns the revision of an accepted record command, or 0 if the result is anything else.
func acceptedRevision(result []byte) camphorhinge.Revision {
	r, err := table.DecodeResult(result)
	if err != nil || r.Outcome != table.Accepted {
		return 0
	}
	return r.Revision
}

// leaderAddress returns the peer address of the last known leader, or "".
func (s *Server) leaderAddress() string {
	if d := s.durable; d != nil {
		if id := d.replica.Leader(); id != 0 {
			if id == d.id {
				return s.self.GetAddress()
			}
			return d.address(id)
		}
	}
	return s.client.Leader()
}

// services returns the services of the peer port.
func (s *Server) services() peer.Services {
	svc := peer.Services{Replica: noReplica{}, Control: s.control, Spread: s.discovery, Tracer: s.traces.Tracer("peer"), Traffic: s.metrics}
	if s.source != nil {
		svc.Feed = s.source
	}
	if s.durable != nil {
		svc.Replica = s.durable.transport
	}
	return svc
}

// noReplica is the Replica service of a node without a replica; it refuses all calls.
type noReplica struct{}

var errNoReplica = errors.New("this node has no replica")

// Step refuses messages.
func (noReplica) Step(context.Context, *peerpb.StepRequest) (*peerpb.StepResponse, error) {
	return nil, errNoReplica
}

// Chunk refuses snapshots.
func (noReplica) Chunk(context.Context, *peerpb.ChunkRequest) (*peerpb.ChunkResponse, error) {
	return nil, errNoReplica
}

const (
	// scoresInterval is the least time between two computations of the crash scores while crashes are reported, and scoresExpiry that
	// while none are: scores also change with time.
	scoresInterval, scoresExpiry = 50 * time.Millisecond, time.Second
)

// scoreCache holds the latest crash scores: each watch of each entry node asks for them, and their computation takes time for each of
// the recent crashes.
type scoreCache struct {
	// changed is set when a crash has been reported since the latest computation.
	changed atomic.Bool

	mu   sync.Mutex
	at   camphorhinge.Instant
	data []byte
}

// get returns the latest scores, which compute returns, or computes them anew if they are due.
func (c *scoreCache) get(now camphorhinge.Instant, compute func() []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.at)
	if c.at != 0 && age < scoresInterval || c.at != 0 && age < scoresExpiry && !c.changed.Load() {
		return c.data
	}
	c.changed.Store(false)
	c.at, c.data = now, compute()
	return c.data
}

// scores returns the crash scores that are sent to the nodes, as JSON, or nil if there are none.
func (d *durableState) scores() []byte {
	return d.scoreCache.get(d.clock.Now(), func() []byte {
		scores := d.crashes.Suspects(time.Now().UnixMilli())
		if len(scores) == 0 {
			return nil
		}
		data, err := json.Marshal(scores)
		if err != nil {
			panic("encode scores: " + err.Error()) // Scores have only marshalable fields.
		}
		return data
	})
}

// recordTable adapts the table of records to control.Records.
type recordTable struct{ *table.Table }

// Revision returns the latest applied revision.
func (t recordTable) Revision() camphorhinge.Revision { return t.View().Revision() }
