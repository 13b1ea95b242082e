package server

import (
	"context"
	"encoding/json"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/member"
	"example.org/camphorhinge/internal/state/consensus"
)

const (
	// upkeepInterval is how often the leader compares the membership with the list of nodes.
	upkeepInterval = 300 * time.Millisecond
	// voterCount is the number of voters that the leader keeps.
	voterCount = 3
	// forgetAfter is how long a node without a replica may stay away before it leaves the list of nodes.
	forgetAfter = 10 * time.Minute
)

// lead does the leader's work while this replica leads.
func (d *durable) lead(ctx context.Context) error {
	var term camphorhinge.Term
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case term = <-d.leads:
			d.changed(term)
		case <-ticker.C:
			if now, ok := d.replica.Authority(); ok && now == term {
				d.upkeep(ctx)
			}
		}
	}
}

// changed begins or ends a leadership. The replica calls it only after the machines hold all that earlier leaders
// committed, so that no node gets an older configuration than one in force.
func (d *durable) changed(term camphorhinge.Term) {
	if term == 0 {
		d.leases.Follow()
		d.mix.Follow()
		return
	}
	var names []camphorhinge.NodeID
	for _, n := range d.members.Nodes() {
		names = append(names, n.Name)
	}
	d.leases.Lead(names)
	d.mix.Lead()
}

// upkeep brings the membership closer to the list of nodes by at most one change: a listed replica becomes a learner, a
// learner that has caught up becomes a voter while voters are missing, and a replica that no node has any more is
// removed once three others vote.
func (d *durable) upkeep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	nodes := d.members.Nodes()
	if d.putSelf(ctx, nodes) || d.forget(ctx, nodes) {
		return
	}
	change, ok := nextChange(d.replica.Membership(), nodes, d.id)
	if !ok {
		return
	}
	var err error
	switch change.Kind {
	case consensus.AddLearner:
		err = d.replica.AddLearner(ctx, change.ID, change.Address)
	case consensus.Promote:
		err = d.replica.Promote(ctx, change.ID)
	case consensus.Remove:
		err = d.replica.Remove(ctx, change.ID)
	}
	if err != nil {
		d.log.Debug("membership change waits", "replica", change.ID, "error", err)
	}
}

// nextChange returns the next single step of the membership, if one is needed.
func nextChange(m consensus.Membership, nodes []member.Node, self camphorhinge.ReplicaID) (consensus.Change, bool) {
	listed := map[camphorhinge.ReplicaID]member.Node{}
	for _, n := range nodes {
		if n.Replica != 0 {
			listed[n.Replica] = n
		}
	}
	for _, n := range nodes {
		if _, ok := m.Find(n.Replica); n.Replica != 0 && !ok {
			return consensus.Change{Kind: consensus.AddLearner, ID: n.Replica, Address: n.Address}, true
		}
	}
	kept := 0
	for _, x := range m.Members {
		if !x.Voter {
			continue
		}
		if _, ok := listed[x.ID]; ok || x.ID == self {
			kept++
		}
	}
	for _, x := range m.Members {
		_, ok := listed[x.ID]
		switch {
		case ok && !x.Voter && kept < voterCount:
			return consensus.Change{Kind: consensus.Promote, ID: x.ID}, true
		case !ok && x.ID != self && (!x.Voter || kept >= voterCount):
			return consensus.Change{Kind: consensus.Remove, ID: x.ID}, true
		}
	}
	return consensus.Change{}, false
}

// putSelf lists this node with its replica; the node that bootstrapped the cluster joined no one.
func (d *durable) putSelf(ctx context.Context, nodes []member.Node) bool {
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

// forget removes a node without a replica that stayed away for long. Such a node can't serve any more, and gets listed
// again when it comes back.
func (d *durable) forget(ctx context.Context, nodes []member.Node) bool {
	leases := d.leases.Members()
	for _, n := range nodes {
		lease, ok := leases[n.Name]
		if n.Replica == 0 && ok && lease.Age > forgetAfter {
			d.log.Info("node removed from the list", "node", n.Name, "away", lease.Age)
			d.proposeMember(ctx, member.Command{Action: member.ActionRemove, Node: n})
			d.leases.Release(n.Name)
			return true
		}
	}
	return false
}

func (d *durable) proposeMember(ctx context.Context, c member.Command) {
	command, err := json.Marshal(c)
	if err != nil {
		panic("encode command: " + err.Error()) // A Command has only marshalable fields.
	}
	if _, err := d.replica.Propose(ctx, camphorhinge.CommandMember, command); err != nil {
		d.log.Debug("list of nodes not changed", "error", err)
	}
}
