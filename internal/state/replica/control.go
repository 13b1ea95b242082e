package replica

import (
	"context"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
)

// Receive queues messages from other replicas; the network may lose, delay, reorder or duplicate them. It returns
// KindRefused if the queue is full, drops entries beyond Config.QueuedBytes, and returns KindStopped if the replica is not running.
func (r *Replica) Receive(_ context.Context, messages []consensus.Message) error {
	return r.enqueue("receive", func(in *inbox) bool { return in.addMessages(messages, r.cfg.QueuedBytes) })
}

// Authority returns the term and whether this replica leads with a valid lease now. Callers check it again before each
// step that only a leader may take.
func (r *Replica) Authority() (camphorhinge.Term, bool) {
	v := r.view.Load()
	return v.status.Term, v.hasLease && r.cfg.Clock.Now() < v.leaseEnd
}

// Leader returns the id of the leader that this replica follows, its own id if it leads, or 0 if there is none.
func (r *Replica) Leader() camphorhinge.ReplicaID { return r.view.Load().status.Leader }

// Isolated reports whether this replica may be cut off from the majority: it neither leads nor has heard from a leader within the
// longest election timeout.
func (r *Replica) Isolated() bool {
	s := r.view.Load().status
	return s.Role != consensus.Leader && (s.LeaderContact == 0 || r.cfg.Clock.Now().Sub(s.LeaderContact) > r.cfg.Timing.ElectionMax)
}

// Status is the state of the Core, the cluster's id and the replica's own state.
type Status struct {
	consensus.Status
	Cluster camphorhinge.ClusterID
	// Leased is true while this replica holds a valid lease.
	Leased bool
	// Applied is the index of the last entry that the machines have applied.
	Applied camphorhinge.Index
}

// Status returns the state after the last processed input; Leased is as of now.
func (r *Replica) Status() Status {
	v := r.view.Load()
	_, leased := r.Authority()
	return Status{Status: v.status, Cluster: r.cfg.Storage.Identity().Cluster, Leased: leased, Applied: v.applied}
}

// Membership returns the membership according to this replica's log; the last change may be uncommitted.
func (r *Replica) Membership() consensus.Membership { return r.view.Load().status.Membership }

// AddLearner adds a replica without a vote and returns once the change is committed.
func (r *Replica) AddLearner(ctx context.Context, id camphorhinge.ReplicaID, address string) error {
	return r.proposeChange(ctx, "add learner", consensus.Change{Kind: consensus.AddLearner, ID: id, Address: address})
}

// Promote makes a learner a voter and returns once the change is committed. It is refused until the learner has caught
// up.
func (r *Replica) Promote(ctx context.Context, id camphorhinge.ReplicaID) error {
	return r.proposeChange(ctx, "promote", consensus.Change{Kind: consensus.Promote, ID: id})
}

// Remove removes a replica from the group and returns once the change is committed. The leader can't be removed.
func (r *Replica) Remove(ctx context.Context, id camphorhinge.ReplicaID) error {
	return r.proposeChange(ctx, "remove", consensus.Change{Kind: consensus.Remove, ID: id})
}

// proposeChange proposes a membership change and returns once it is applied.
func (r *Replica) proposeChange(ctx context.Context, op string, ch consensus.Change) error {
	if ctx.Err() != nil {
		return canceled(ctx, op)
	}
	c := newCall(op)
	err := r.callInLoop(c, func(now camphorhinge.Instant) {
		i, term, err := r.core.ProposeChange(now, ch)
		if err != nil {
			c.finish(nil, wrapRefusal(op, err))
			return
		}
		r.awaitEntry(i, term, c)
		r.cfg.Log.Info("membership change proposed", "change", op, "replica", ch.ID, "index", i)
	})
	if err != nil {
		return err
	}
	_, err = c.wait(ctx, false)
	return err
}

// Transfer hands leadership over to the voter to, or, if to is 0, to the voter with the longest log. It returns once
// this replica no longer leads. The lease is given up before the voter can be elected.
func (r *Replica) Transfer(ctx context.Context, to camphorhinge.ReplicaID) error {
	const op = "transfer"
	if ctx.Err() != nil {
		return canceled(ctx, op)
	}
	c := newCall(op)
	var oldTerm camphorhinge.Term
	err := r.callInLoop(c, func(now camphorhinge.Instant) {
		s := r.core.Status()
		if to == 0 {
			to = successor(s)
		}
		oldTerm = s.Term
		if err := r.core.Transfer(now, to); err != nil {
			c.finish(nil, wrapRefusal(op, err))
			return
		}
		c.finish(nil, nil)
	})
	if err != nil {
		return err
	}
	if _, err := c.wait(ctx, false); err != nil {
		return err
	}
	ticker := time.NewTicker(transferPollInterval)
	defer ticker.Stop()
	for {
		s := r.view.Load().status
		if s.Role != consensus.Leader || s.Term != oldTerm {
			return nil
		}
		if _, ok := r.Authority(); ok && !r.transferring() {
			return failure(op, KindRefused, "replica %d did not catch up within the election timeout", to)
		}
		select {
		case <-ctx.Done():
			return uncertain(op, context.Cause(ctx).Error())
		case <-ticker.C:
		}
	}
}

func (r *Replica) transferring() bool { return r.view.Load().transferring }

// successor returns the voter other than this replica with the longest synced log, or 0.
func successor(s consensus.Status) (id camphorhinge.ReplicaID) {
	var match camphorhinge.Index
	for _, p := range s.Progress {
		if m, ok := s.Membership.Find(p.ID); ok && m.Voter && p.ID != s.ID && (id == 0 || p.Match > match) {
			id, match = p.ID, p.Match
		}
	}
	return id
}

// CheckRepaired returns nil if the group can lose any one of its voters: the committed membership has three voters, and
// all of them replied within the shortest election timeout and have synced the log up to the entry of that membership.
// Only the leader has this information.
func (r *Replica) CheckRepaired(ctx context.Context) error {
	const op = "repaired"
	now := r.cfg.Clock.Now()
	if err := r.Barrier(ctx); err != nil {
		return err
	}
	s := r.view.Load().status
	voters := s.Membership.Voters()
	switch {
	case s.Role != consensus.Leader:
		return notLeader(op)
	case s.MembershipIndex > s.Commit:
		return failure(op, KindUnrepaired, "the membership at index %d is uncommitted", s.MembershipIndex)
	case len(voters) != repairedVoters:
		return failure(op, KindUnrepaired, "the group has %d voters, want %d", len(voters), repairedVoters)
	}
	for _, p := range s.Progress {
		m, _ := s.Membership.Find(p.ID)
		if silent := now.Sub(p.LastReply); m.Voter && p.ID != s.ID && silent > r.cfg.Timing.ElectionMin {
			return failure(op, KindUnrepaired, "replica %d has not replied for %v", p.ID, silent)
		}
		if m.Voter && p.Match < s.MembershipIndex {
			return failure(op, KindUnrepaired, "replica %d has synced up to index %d, the membership is at %d", p.ID, p.Match,
				s.MembershipIndex)
		}
	}
	return nil
}
