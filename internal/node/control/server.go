package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/member"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/response"
)

// ServerConfig holds the dependencies of a Server. Replica, Records, Orders, Scores, Queries and Members are nil on a
// node without a replica.
type ServerConfig struct {
	Self    *peerpb.Node
	Replica Replica
	Records Records
	Orders  Orders
	// Scores returns the encoded crash scores by request fingerprint, or nil when there are none.
	Scores func() []byte
	// AddWorkloadReport counts a node's workload report, which may be a repeated one; nil ignores reports.
	AddWorkloadReport func(report []byte) error
	Members           *member.Table
	Leases            *config.Leases
	// Queries holds the linearizable reads by name.
	Queries map[string]Query
	// Revision returns the revision in the result of a record command, or 0 when the command was not accepted.
	Revision func(result []byte) camphorhinge.Revision
	// Cluster returns the id of the cluster to which the data folder belongs.
	Cluster func() camphorhinge.ClusterID
	// Status returns the node's status as JSON.
	Status func() ([]byte, error)
	// LeaderAddress returns the peer address of the leader as known to this node, or "".
	LeaderAddress func() string
	// Responses bounds the memory of the results of queries; nil sets no limit.
	Responses *response.Bound
	Metrics   *metrics.Set
}

// Server implements the Control service.
type Server struct {
	cfg ServerConfig

	mu   sync.Mutex
	wake chan struct{}
	// removals holds the latest attempt to remove each node, even a failed one, until the node is listed again and its
	// lease counts.
	removals map[camphorhinge.NodeID]*removal

	// reads numbers the reads, each of which holds memory of its own.
	reads atomic.Uint64

	renewals, redirects, workloadFailures *metrics.Counter
}

// NewServer returns a Server that answers as the leader whenever its replica holds the lease.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg:       cfg,
		wake:      make(chan struct{}),
		removals:  map[camphorhinge.NodeID]*removal{},
		renewals:  cfg.Metrics.NewCounter(`camphorhinge_renewals_total`),
		redirects: cfg.Metrics.NewCounter(`camphorhinge_redirects_total`),

		workloadFailures: cfg.Metrics.NewCounter(`camphorhinge_mix_report_failures_total`),
	}
}

// Applied wakes the renewals that wait for a change; the replica calls it after applying entries.
func (s *Server) Applied() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Server) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wake
}

// leaderTerm returns the current term and whether this node may answer as the leader.
func (s *Server) leaderTerm() (camphorhinge.Term, bool) {
	if s.cfg.Replica == nil {
		return 0, false
	}
	return s.cfg.Replica.Authority()
}

func (s *Server) redirect() string {
	s.redirects.Inc()
	return s.cfg.LeaderAddress()
}

// Propose commits a command. For an accepted record command, it waits until the record is in force on all nodes.
func (s *Server) Propose(ctx context.Context, req *peerpb.ProposeRequest) (*peerpb.ProposeResponse, error) {
	if _, ok := s.leaderTerm(); !ok {
		return &peerpb.ProposeResponse{Outcome: OutcomeRedirect, Leader: s.redirect()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetTimeout())*time.Millisecond)
	defer cancel()
	kind := camphorhinge.CommandKind(req.GetKind())
	result, err := s.cfg.Replica.Propose(ctx, kind, req.GetCommand())
	switch {
	case errors.Is(err, camphorhinge.ErrUncertain):
		return &peerpb.ProposeResponse{Outcome: OutcomeUncertain, Message: err.Error()}, nil
	case err != nil:
		return &peerpb.ProposeResponse{Outcome: OutcomeRedirect, Leader: s.redirect(), Message: err.Error()}, nil
	}
	if kind == camphorhinge.CommandRecord {
		if rev := s.cfg.Revision(result); rev > 0 {
			if err := s.cfg.Leases.Wait(ctx, config.Position{Revision: rev}); err != nil {
				return &peerpb.ProposeResponse{
					Outcome: OutcomeUncertain, Message: fmt.Sprintf("revision %d is committed, not yet known to be in force everywhere: %v", rev, err),
				}, nil
			}
		}
	}
	return &peerpb.ProposeResponse{Outcome: OutcomeDone, Result: result}, nil
}

// Read runs a linearizable query.
func (s *Server) Read(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadResponse, error) {
	if _, ok := s.leaderTerm(); !ok {
		return &peerpb.ReadResponse{Outcome: OutcomeRedirect, Leader: s.redirect()}, nil
	}
	query := s.cfg.Queries[req.GetQuery()]
	if query == nil {
		return &peerpb.ReadResponse{Outcome: OutcomeRefused, Result: []byte("unknown query " + req.GetQuery())}, nil
	}
	if err := s.cfg.Replica.Barrier(ctx); err != nil {
		return &peerpb.ReadResponse{Outcome: OutcomeRedirect, Leader: s.redirect()}, nil
	}
	result, err := query(req.GetArgs())
	if err != nil {
		return &peerpb.ReadResponse{Outcome: OutcomeRefused, Result: []byte(err.Error())}, nil
	}
	// The response takes memory twice, for the result and for its encoding.
	if err := s.cfg.Responses.Hold(ctx, fmt.Sprintf("read %d", s.reads.Add(1)), 2*len(result)); err != nil {
		return &peerpb.ReadResponse{Outcome: OutcomeRefused, Result: []byte(err.Error())}, nil
	}
	return &peerpb.ReadResponse{Outcome: OutcomeDone, Result: result}, nil
}

// Renew renews the configuration lease of a node. It answers when there is a change for the node, or after
// config.RenewWait.
func (s *Server) Renew(ctx context.Context, req *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	term, ok := s.leaderTerm()
	if !ok || term < camphorhinge.Term(req.GetTerm()) {
		return s.notLeader(), nil
	}
	name := camphorhinge.NodeID(req.GetNode())
	if req.GetLeaving() {
		s.cfg.Leases.Release(name)
		return &peerpb.RenewResponse{Outcome: OutcomeDone, Term: uint64(term)}, nil
	}
	before, err := s.ensureMember(ctx, req)
	if err != nil {
		return s.notLeader(), nil
	}
	position := config.Position{Revision: camphorhinge.Revision(req.GetRevision()), OrdersRevision: req.GetHolds()}
	if err := s.cfg.Leases.Renew(name, position); err != nil {
		return s.notLeader(), nil
	}
	s.clearRemoval(name, before)
	if report := req.GetMix(); len(report) > 0 && s.cfg.AddWorkloadReport != nil && s.cfg.AddWorkloadReport(report) != nil {
		s.workloadFailures.Inc() // The demand is then slightly underestimated; the lease does not depend on it.
	}
	if !req.GetFull() {
		s.awaitChange(ctx, position)
	}
	resp := s.changesFor(position, req.GetFull())
	var nodes []member.Node
	nodes, resp.List = s.cfg.Members.Since(req.GetList())
	for _, n := range nodes {
		resp.Nodes = append(resp.Nodes, encodeNode(n))
	}
	// The lease counts from the sending of the request, so the authority is checked after everything that may take
	// long.
	if current, ok := s.leaderTerm(); !ok || current != term {
		return s.notLeader(), nil
	}
	if r, _ := s.latestRemoval(name); r != nil {
		return s.notLeader(), nil // The removal began while this renewal waited for a change.
	}
	s.renewals.Inc()
	resp.Outcome, resp.Term = OutcomeDone, uint64(term)
	resp.Lease = uint64(config.LeaseTime.Milliseconds())
	return resp, nil
}

func (s *Server) notLeader() *peerpb.RenewResponse {
	return &peerpb.RenewResponse{Outcome: OutcomeRedirect, Leader: s.redirect()}
}

// ensureMember commits the node to the list of nodes before it gets its first lease, so that a later leader counts that
// lease. It returns the removal, if any, that this commit follows.
func (s *Server) ensureMember(ctx context.Context, req *peerpb.RenewRequest) (*removal, error) {
	name := camphorhinge.NodeID(req.GetNode())
	before, ended := s.latestRemoval(name)
	if before != nil && !ended {
		return nil, &Error{Op: "renew", Kind: KindRefused, Err: errors.New("the node is being removed from the list")}
	}
	listed, ok := s.cfg.Members.Get(name)
	if ok && before == nil && listed.Address == req.GetAddress() && listed.Zone == camphorhinge.Zone(req.GetZone()) {
		return nil, nil
	}
	// A command without a replica leaves the node's listed replica as it is, since a concurrent Join may be changing it.
	return before, s.commitMember(ctx, member.ActionPut, member.Node{
		Name: name, Address: req.GetAddress(), Zone: camphorhinge.Zone(req.GetZone()),
	})
}

// removal is one attempt to remove a node from the list.
type removal struct{ ended bool }

// latestRemoval returns the latest removal of a node that was not listed again, and whether it has ended.
func (s *Server) latestRemoval(name camphorhinge.NodeID) (r *removal, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r = s.removals[name]
	return r, r != nil && r.ended
}

// clearRemoval drops the removal after which a node was listed again and its lease counted, unless a newer one has
// begun.
func (s *Server) clearRemoval(name camphorhinge.NodeID, after *removal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removals[name] == after {
		delete(s.removals, name)
	}
}

// RemoveNode removes a node from the list unless it renewed its lease within the given absence. A node that returns
// meanwhile gets no lease; later it is listed again before its next lease, even when the outcome of the removal is
// unknown. So every lease that a node holds is known to this leader and to later ones.
func (s *Server) RemoveNode(ctx context.Context, name camphorhinge.NodeID, absence time.Duration) error {
	r := &removal{}
	s.mu.Lock()
	before := s.removals[name]
	s.removals[name] = r
	s.mu.Unlock()
	if lease, ok := s.cfg.Leases.Members()[name]; ok && lease.Age <= absence {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.removals[name] = before
		return nil
	}
	err := s.commitMember(ctx, member.ActionRemove, member.Node{Name: name})
	if err == nil {
		s.cfg.Leases.Release(name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ended = true
	return err
}

func (s *Server) commitMember(ctx context.Context, action member.Action, n member.Node) error {
	command, err := json.Marshal(member.Command{Action: action, Node: n})
	if err != nil {
		return err
	}
	result, err := s.cfg.Replica.Propose(ctx, camphorhinge.CommandMember, command)
	if err != nil {
		return err
	}
	var r member.Result
	if err := json.Unmarshal(result, &r); err != nil {
		return err
	}
	if r.Refused != "" {
		return &Error{Op: string(action) + " node", Kind: KindRefused, Err: errors.New(r.Refused)}
	}
	return nil
}

// awaitChange returns when there is a change after position p, or after config.RenewWait.
func (s *Server) awaitChange(ctx context.Context, p config.Position) {
	timer := time.NewTimer(config.RenewWait)
	defer timer.Stop()
	for {
		wake := s.changeSignal()
		if s.cfg.Orders.Revision() != p.OrdersRevision || s.cfg.Records.Revision() != p.Revision {
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) changesFor(p config.Position, full bool) *peerpb.RenewResponse {
	changes := s.cfg.Records.Since(p.Revision, full)
	resp := &peerpb.RenewResponse{
		Changes: changes.Changes, Full: changes.Full, Revision: uint64(changes.Revision), Scores: s.cfg.Scores(),
	}
	// The decisions are encoded only for a node that lacks them, since most renewals carry no change.
	resp.Holds = p.OrdersRevision
	if full || s.cfg.Orders.Revision() != p.OrdersRevision {
		resp.Engines, resp.Holds = s.cfg.Orders.Encode()
	}
	return resp
}

// Join lists the node as an entry node with its replica; the leader's maintenance loop then makes the replica a member.
func (s *Server) Join(ctx context.Context, req *peerpb.JoinRequest) (*peerpb.JoinResponse, error) {
	if _, ok := s.leaderTerm(); !ok {
		return &peerpb.JoinResponse{Outcome: OutcomeRedirect, Leader: s.redirect()}, nil
	}
	cluster := string(s.cfg.Cluster())
	if c := req.GetCluster(); c != "" && c != cluster {
		return &peerpb.JoinResponse{Outcome: OutcomeRefused, Message: "the data folder belongs to another cluster"}, nil
	}
	n := decodeNode(req.GetNode())
	if err := s.commitMember(ctx, member.ActionPut, n); err != nil {
		return &peerpb.JoinResponse{Outcome: OutcomeUncertain, Message: err.Error()}, nil
	}
	return &peerpb.JoinResponse{Outcome: OutcomeDone, Cluster: cluster}, nil
}

// Status returns this node's status.
func (s *Server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	status, err := s.cfg.Status()
	if err != nil {
		return nil, err
	}
	return &peerpb.StatusResponse{Status: status, Node: s.cfg.Self, Cluster: string(s.cfg.Cluster())}, nil
}

func encodeNode(n member.Node) *peerpb.Node {
	return &peerpb.Node{Name: string(n.Name), Address: n.Address, Zone: string(n.Zone), Replica: uint64(n.Replica)}
}

func decodeNode(n *peerpb.Node) member.Node {
	return member.Node{
		Name: camphorhinge.NodeID(n.GetName()), Address: n.GetAddress(), Zone: camphorhinge.Zone(n.GetZone()),
		Replica: camphorhinge.ReplicaID(n.GetReplica()),
	}
}
