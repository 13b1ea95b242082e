package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/member"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/table"
)

// renewTimeout bounds one renewal. It is longer than the leader delays its answer and shorter than the lease.
const renewTimeout = config.RenewWait + 700*time.Millisecond

// RenewerConfig holds the dependencies of a Renewer.
type RenewerConfig struct {
	Self   *peerpb.Node
	Client *Client
	Mirror *table.Mirror
	Lease  *config.Lease
	Clock  camphorhinge.Clock
	// Engines applies the encoded decisions on engines.
	Engines func([]byte) error
	// Decisions records each configuration that comes into force.
	Decisions camphorhinge.Decisions
	// Scores receives the encoded crash scores by request fingerprint.
	Scores func([]byte)
	// WorkloadReport returns the next workload report for the leader; nil sends none.
	WorkloadReport func() []byte
	Log            *slog.Logger
}

// Renewer keeps a node's configuration lease and its copy of the configuration current.
type Renewer struct {
	cfg RenewerConfig

	mu             sync.Mutex
	term           uint64
	ordersRevision uint64
	// needFull requests all records, after changes that did not follow the current revision.
	needFull bool
	nodes    []member.Node
	// nodesDigest is the leader's digest of its list of nodes when it sent nodes.
	nodesDigest uint64
	leaseHeld   bool
	// pendingReport is the workload report that no leader has acknowledged yet. It is repeated unchanged, so that the
	// leader recognizes it.
	pendingReport []byte
}

// NewRenewer returns a Renewer without a configuration; Run fetches it.
func NewRenewer(cfg RenewerConfig) *Renewer {
	return &Renewer{cfg: cfg}
}

// Nodes returns all entry nodes as of the latest renewal.
func (r *Renewer) Nodes() []member.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.nodes)
}

// Run renews until ctx ends. A renewal under way is then completed, within renewTimeout: a canceled request might still
// reach the leader, even after a later Leave.
func (r *Renewer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.renew(context.WithoutCancel(ctx), false)
		r.logLeaseState(err)
		if err != nil && !pause(ctx) {
			break
		}
	}
	return nil
}

// Leave reports to the leader that this node accepts no further requests.
func (r *Renewer) Leave(ctx context.Context) error { return r.renew(ctx, true) }

// logLeaseState logs when the lease is lost or regained.
func (r *Renewer) logLeaseState(err error) {
	fresh := r.cfg.Lease.State() == config.StateFresh
	r.mu.Lock()
	was := r.leaseHeld
	r.leaseHeld = fresh
	r.mu.Unlock()
	switch {
	case fresh && !was:
		r.cfg.Log.Info("configuration lease held", "revision", r.cfg.Mirror.View().Revision())
	case !fresh && was:
		r.cfg.Log.Warn("configuration lease lost", "revision", r.cfg.Mirror.View().Revision(), "error", err)
	}
}

func (r *Renewer) renew(ctx context.Context, leaving bool) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	req := r.request(leaving)
	var sent camphorhinge.Instant
	var resp *peerpb.RenewResponse
	err := r.cfg.Client.callLeader(ctx, "renew", func(ctx context.Context, conn *peer.Conn) (callResult, error) {
		sent = r.cfg.Clock.Now()
		var err error
		resp, err = conn.Control.Renew(ctx, req)
		if err != nil {
			return callResult{}, err
		}
		return callResult{outcome: resp.GetOutcome(), hint: resp.GetLeader()}, nil
	})
	if err != nil || leaving {
		return err
	}
	return r.accept(sent, resp)
}

// request returns the next renewal.
func (r *Renewer) request(leaving bool) *peerpb.RenewRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.WorkloadReport != nil && r.pendingReport == nil {
		r.pendingReport = r.cfg.WorkloadReport()
	}
	return &peerpb.RenewRequest{
		Node: r.cfg.Self.GetName(), Address: r.cfg.Self.GetAddress(), Zone: r.cfg.Self.GetZone(),
		Revision: uint64(r.cfg.Mirror.View().Revision()), Term: r.term, Holds: r.ordersRevision, Leaving: leaving,
		Full: r.needFull || !r.cfg.Mirror.Initialized(), Mix: r.pendingReport, List: r.nodesDigest,
	}
}

// accept applies an answer and then extends the lease from the time when its request was sent.
func (r *Renewer) accept(sent camphorhinge.Instant, resp *peerpb.RenewResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.GetTerm() < r.term {
		return &Error{Op: "renew", Kind: KindRefused, Err: errors.New("answer of a deposed leader")}
	}
	r.pendingReport = nil
	before := r.cfg.Mirror.View().Revision()
	revision, err := r.cfg.Mirror.Apply(table.Changes{
		Changes: resp.GetChanges(), Full: resp.GetFull(), Revision: camphorhinge.Revision(resp.GetRevision()),
	})
	r.needFull = err != nil
	if err != nil {
		return &Error{Op: "renew", Kind: KindMalformed, Err: err}
	}
	if revision != before {
		r.cfg.Decisions.Record("config", fmt.Sprintf("revision %d", revision), "put in force", map[string]string{
			"from": strconv.FormatUint(uint64(before), 10), "term": strconv.FormatUint(resp.GetTerm(), 10),
			"full": strconv.FormatBool(resp.GetFull()),
		})
	}
	if len(resp.GetEngines()) > 0 {
		if err := r.cfg.Engines(resp.GetEngines()); err != nil {
			return &Error{Op: "renew", Kind: KindMalformed, Err: err}
		}
	}
	r.term, r.ordersRevision = resp.GetTerm(), resp.GetHolds()
	if resp.GetList() == 0 || resp.GetList() != r.nodesDigest {
		r.nodes, r.nodesDigest = r.nodes[:0], resp.GetList()
		for _, n := range resp.GetNodes() {
			r.nodes = append(r.nodes, decodeNode(n))
		}
	}
	if scores := resp.GetScores(); len(scores) > 0 {
		r.cfg.Scores(scores)
	}
	r.cfg.Lease.Extend(sent, time.Duration(resp.GetLease())*time.Millisecond)
	return nil
}
