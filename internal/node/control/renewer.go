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

// renewTimeout bounds one renewal, longer than the leader may hold it and shorter than the lease.
const renewTimeout = config.RenewHold + 700*time.Millisecond

// RenewerConfig holds what a Renewer needs.
type RenewerConfig struct {
	Self   *peerpb.Node
	Client *Client
	Mirror *table.Mirror
	Holder *config.Holder
	Clock  camphorhinge.Clock
	// Engines puts the decisions on engines in force.
	Engines func([]byte) error
	// Decisions notes each configuration that comes into force.
	Decisions camphorhinge.Decisions
	// Scores takes the crash counts by request fingerprint, encoded.
	Scores func([]byte)
	// Mix takes the next report on the token mix for the leader; nil sends none.
	Mix func() []byte
	Log *slog.Logger
}

// Renewer keeps a node's configuration lease and its copy of the configuration current.
type Renewer struct {
	cfg RenewerConfig

	mu    sync.Mutex
	term  uint64
	holds uint64
	// gap asks for all records, after changes that did not fit.
	gap   bool
	nodes []member.Node
	// list is the digest of nodes, as the leader sent it.
	list  uint64
	fresh bool
	// mix is the report that no leader has answered yet. It is sent again unchanged, so that the leader knows it.
	mix []byte
}

// NewRenewer returns a Renewer that has no configuration yet.
func NewRenewer(cfg RenewerConfig) *Renewer {
	return &Renewer{cfg: cfg}
}

// Nodes returns all entry nodes as of the last renewal.
func (r *Renewer) Nodes() []member.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.nodes)
}

// Run renews until ctx ends. A renewal under way then runs to its end, within renewTimeout: a request that is given up may
// still reach the leader, even after a later Leave.
func (r *Renewer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.renew(context.WithoutCancel(ctx), false)
		r.noteState(err)
		if err != nil && !pause(ctx) {
			break
		}
	}
	return nil
}

// Leave tells the leader that this node takes no new request from now on.
func (r *Renewer) Leave(ctx context.Context) error { return r.renew(ctx, true) }

// noteState logs when the lease is lost or held again.
func (r *Renewer) noteState(err error) {
	fresh := r.cfg.Holder.State() == config.StateFresh
	r.mu.Lock()
	was := r.fresh
	r.fresh = fresh
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
	err := r.cfg.Client.lead(ctx, "renew", func(ctx context.Context, conn *peer.Conn) (verdict, error) {
		sent = r.cfg.Clock.Now()
		var err error
		resp, err = conn.Control.Renew(ctx, req)
		if err != nil {
			return verdict{}, err
		}
		return verdict{outcome: resp.GetOutcome(), hint: resp.GetLeader()}, nil
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
	if r.cfg.Mix != nil && r.mix == nil {
		r.mix = r.cfg.Mix()
	}
	return &peerpb.RenewRequest{
		Node: r.cfg.Self.GetName(), Address: r.cfg.Self.GetAddress(), Zone: r.cfg.Self.GetZone(),
		Revision: uint64(r.cfg.Mirror.View().Revision()), Term: r.term, Holds: r.holds, Leaving: leaving,
		Full: r.gap || !r.cfg.Mirror.Initialized(), Mix: r.mix, List: r.list,
	}
}

// accept puts an answer in force and then counts its lease.
func (r *Renewer) accept(sent camphorhinge.Instant, resp *peerpb.RenewResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.GetTerm() < r.term {
		return &Error{Op: "renew", Kind: KindRefused, Err: errors.New("answer of a deposed leader")}
	}
	r.mix = nil
	before := r.cfg.Mirror.View().Revision()
	revision, err := r.cfg.Mirror.Apply(table.Changes{
		Changes: resp.GetChanges(), Full: resp.GetFull(), Revision: camphorhinge.Revision(resp.GetRevision()),
	})
	r.gap = err != nil
	if err != nil {
		return &Error{Op: "renew", Kind: KindMalformed, Err: err}
	}
	if revision != before {
		r.cfg.Decisions.Note("config", fmt.Sprintf("revision %d", revision), "put in force", map[string]string{
			"from": strconv.FormatUint(uint64(before), 10), "term": strconv.FormatUint(resp.GetTerm(), 10),
			"full": strconv.FormatBool(resp.GetFull()),
		})
	}
	if len(resp.GetEngines()) > 0 {
		if err := r.cfg.Engines(resp.GetEngines()); err != nil {
			return &Error{Op: "renew", Kind: KindMalformed, Err: err}
		}
	}
	r.term, r.holds = resp.GetTerm(), resp.GetHolds()
	if resp.GetList() == 0 || resp.GetList() != r.list {
		r.nodes, r.list = r.nodes[:0], resp.GetList()
		for _, n := range resp.GetNodes() {
			r.nodes = append(r.nodes, decodeNode(n))
		}
	}
	if scores := resp.GetScores(); len(scores) > 0 {
		r.cfg.Scores(scores)
	}
	r.cfg.Holder.Renewed(sent, time.Duration(resp.GetLease())*time.Millisecond)
	return nil
}
