package server

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/member"
	"example.org/camphorhinge/internal/state/consensus"
)

const (
	// reconcileInterval is how often the leader compares the membership with the list of nodes.
	reconcileInterval = 300 * time.Millisecond
	// defaultVoters is the number of voters that the leader maintains by default.
	defaultVoters = 3
	// defaultLostAfter is how long a replica may be unreachable before a spare learner replaces it. It is longer than the
	// restart of a VM.
	defaultLostAfter = 5 * time.Minute
	// removeAfter is how long a node without a replica may be absent before it is removed from the list of nodes.
	removeAfter = 10 * time.Minute
)

// runLeader starts and ends leaderships and reconciles the membership while this replica leads.
func (d *durableState) runLeader(ctx context.Context) error {
	var term camphorhinge.Term
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case term = <-d.leadership:
			d.setLeadership(term)
		case <-ticker.C:
			// Make all changes that are due without waiting for the next tick, as when a group forms or is repaired.
			for {
				current, ok := d.replica.Authority()
				if !ok || current != term || !d.reconcile(ctx) {
					break
				}
			}
		}
	}
}

// setLeadership begins a leadership, or ends it if term is 0. The replica reports a new term only after its state
// machines have applied everything that earlier leaders committed, so that no node gets a configuration older than one
// in force.
func (d *durableState) setLeadership(term camphorhinge.Term) {
	d.activeTerm.Store(0)
	if term == 0 {
		d.leases.Follow()
		d.workload.Follow()
		return
	}
	var names []camphorhinge.NodeID
	for _, n := range d.members.Nodes() {
		names = append(names, n.Name)
	}
	clear(d.absentSince)
	d.leaderSince = d.clock.Now()
	d.leases.Lead(names)
	d.activeTerm.Store(uint64(term))
	d.workload.Lead()
}

// reconcile makes at most one change that brings the membership closer to the list of nodes, and reports whether it
// made one. A listed replica is added as a learner; a learner that has caught up is promoted while voters are missing;
// a replica that no listed node has is removed once there are enough other voters. A replica that has been unreachable
// for lostAfter is treated as not listed if a spare learner can replace it; when it returns it becomes a learner again,
// and a voter if one is missing.
func (d *durableState) reconcile(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	nodes := d.members.Nodes()
	if d.listSelf(ctx, nodes) || d.removeAbsent(ctx, nodes) {
		return true
	}
	// A learner that does not catch up must not prevent the promotion of another.
	for _, change := range nextChanges(d.replica.Membership(), nodes, d.id, d.lostReplicas(), d.voters) {
		err := d.applyChange(ctx, change)
		if err == nil {
			d.decisions.Record("member", strconv.FormatUint(uint64(change.ID), 16), changeName(change.Kind), map[string]string{
				"members": strconv.Itoa(len(d.replica.Membership().Members)),
			})
		}
		if err == nil || ctx.Err() != nil {
			return err == nil
		}
		d.log.Debug("membership change postponed", "replica", change.ID, "error", err)
	}
	return false
}

func changeName(k consensus.ChangeKind) string {
	switch k {
	case consensus.AddLearner:
		return "added as a learner"
	case consensus.Promote:
		return "made a voter"
	default:
		return "removed"
	}
}

// lostReplicas returns the replicas from which this leader has received nothing for lostAfter.
func (d *durableState) lostReplicas() map[camphorhinge.ReplicaID]bool {
	now := d.clock.Now()
	out := map[camphorhinge.ReplicaID]bool{}
	for _, p := range d.replica.Status().Progress {
		if now.Sub(max(p.LastReply, d.leaderSince)) > d.lostAfter {
			out[p.ID] = true
		}
	}
	return out
}

func (d *durableState) applyChange(ctx context.Context, c consensus.Change) error {
	switch c.Kind {
	case consensus.AddLearner:
		return d.replica.AddLearner(ctx, c.ID, c.Address)
	case consensus.Promote:
		return d.replica.Promote(ctx, c.ID)
	default:
		return d.replica.Remove(ctx, c.ID)
	}
}

// nextChanges returns the membership changes that are due, most urgent first. The caller makes one of them and tries
// the next only if it is refused.
func nextChanges(
	m consensus.Membership, nodes []member.Node, self camphorhinge.ReplicaID, lost map[camphorhinge.ReplicaID]bool,
	voters int,
) []consensus.Change {
	var out []consensus.Change
	listed := map[camphorhinge.ReplicaID]member.Node{}
	for _, n := range nodes {
		if n.Replica != 0 {
			listed[n.Replica] = n
		}
	}
	for _, n := range nodes {
		if _, ok := m.Find(n.Replica); n.Replica != 0 && !ok {
			out = append(out, consensus.Change{Kind: consensus.AddLearner, ID: n.Replica, Address: n.Address})
		}
	}
	kept := 0
	for _, x := range m.Members {
		if !x.Voter {
			continue
		}
		if _, ok := listed[x.ID]; ok && !lost[x.ID] || x.ID == self {
			kept++
		}
	}
	for _, x := range m.Members {
		_, ok := listed[x.ID]
		switch {
		case ok && !lost[x.ID] && !x.Voter && kept < voters:
			out = append(out, consensus.Change{Kind: consensus.Promote, ID: x.ID})
		case x.ID != self && (!ok && !x.Voter || (!ok || lost[x.ID]) && x.Voter && kept >= voters):
			out = append(out, consensus.Change{Kind: consensus.Remove, ID: x.ID})
		}
	}
	return out
}

// listSelf adds this node and its replica to the list of nodes if they are missing, as on the node that bootstrapped
// the cluster, which never joins. It reports whether it proposed the change.
func (d *durableState) listSelf(ctx context.Context, nodes []member.Node) bool {
	for _, n := range nodes {
		if n.Replica == d.id {
			return false
		}
	}
	d.proposeMember(ctx, member.Command{Action: member.ActionPut, Node: member.Node{
		Name: camphorhinge.NodeID(d.self.GetName()), Address: d.self.GetAddress(), Zone: camphorhinge.Zone(d.self.GetZone()), Replica: d.id,
	}})
	return true
}

// removeAbsent removes at most one node that has no replica and has been absent for removeAfter, and reports whether it
// tried. A node that released its lease at a planned stop counts as absent, too. An absent node can no longer serve; it
// is listed again when it returns.
func (d *durableState) removeAbsent(ctx context.Context, nodes []member.Node) bool {
	leases, now := d.leases.Members(), d.clock.Now()
	for _, n := range nodes {
		lease, ok := leases[n.Name]
		absence := lease.Age
		if ok {
			delete(d.absentSince, n.Name)
		} else {
			if _, recorded := d.absentSince[n.Name]; !recorded {
				d.absentSince[n.Name] = now
			}
			absence = now.Sub(d.absentSince[n.Name])
		}
		if n.Replica == 0 && absence > removeAfter {
			delete(d.absentSince, n.Name)
			d.log.Info("removing an absent node from the list of nodes", "node", n.Name, "away", absence)
			if err := d.control.RemoveNode(ctx, n.Name, removeAfter); err != nil {
				d.log.Debug("list of nodes not changed", "error", err)
			}
			return true
		}
	}
	return false
}

func (d *durableState) proposeMember(ctx context.Context, c member.Command) {
	command, err := json.Marshal(c)
	if err != nil {
		panic("encode command: " + err.Error()) // A Command has only marshalable fields.
	}
	if _, err := d.replica.Propose(ctx, camphorhinge.CommandMember, command); err != nil {
		d.log.Debug("list of nodes not changed", "error", err)
	}
}
