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
	// upkeepInterval is how often the leader compares the membership with the list of nodes.
	upkeepInterval = 300 * time.Millisecond
	// defaultVoters is the number of voters that the leader keeps unless the settings name another.
	defaultVoters = 3
	// defaultLostAfter is how long a replica may stay away before a spare learner takes its place. It is above a restart of
	// a VM.
	defaultLostAfter = 5 * time.Minute
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
			// While a group forms or is repaired, one step follows the other.
			for {
				now, ok := d.replica.Authority()
				if !ok || now != term || !d.upkeep(ctx) {
					break
				}
			}
		}
	}
}

// changed begins or ends a leadership. The replica calls it only after the machines hold all that earlier leaders
// committed, so that no node gets an older configuration than one in force.
func (d *durable) changed(term camphorhinge.Term) {
	d.led.Store(0)
	if term == 0 {
		d.leases.Follow()
		d.mix.Follow()
		return
	}
	var names []camphorhinge.NodeID
	for _, n := range d.members.Nodes() {
		names = append(names, n.Name)
	}
	clear(d.away)
	d.ledSince = d.clock.Now()
	d.leases.Lead(names)
	d.led.Store(uint64(term))
	d.mix.Lead()
}

// upkeep brings the membership closer to the list of nodes by at most one change: a listed replica becomes a learner, a
// learner that has caught up becomes a voter while voters are missing, and a replica that no node has any more is
// removed once three others vote. A replica that stayed away for long counts as if no node had it, when a spare learner
// can take its place; it becomes a learner again, and a voter if one is missing, when it comes back. It reports whether it
// changed something.
func (d *durable) upkeep(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	nodes := d.members.Nodes()
	if d.putSelf(ctx, nodes) || d.forget(ctx, nodes) {
		return true
	}
	// A learner that does not catch up must not keep another from being promoted.
	for _, change := range nextChanges(d.replica.Membership(), nodes, d.id, d.lost(), d.voters) {
		err := d.apply(ctx, change)
		if err == nil {
			d.decisions.Note("member", strconv.FormatUint(uint64(change.ID), 16), changeName(change.Kind), map[string]string{
				"members": strconv.Itoa(len(d.replica.Membership().Members)),
			})
		}
		if err == nil || ctx.Err() != nil {
			return err == nil
		}
		d.log.Debug("membership change waits", "replica", change.ID, "error", err)
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

// lost returns the replicas that this leader has not heard for long.
func (d *durable) lost() map[camphorhinge.ReplicaID]bool {
	now := d.clock.Now()
	out := map[camphorhinge.ReplicaID]bool{}
	for _, p := range d.replica.Status().Progress {
		if now.Sub(max(p.LastReply, d.ledSince)) > d.lostAfter {
			out[p.ID] = true
		}
	}
	return out
}

func (d *durable) apply(ctx context.Context, c consensus.Change) error {
	switch c.Kind {
	case consensus.AddLearner:
		return d.replica.AddLearner(ctx, c.ID, c.Address)
	case consensus.Promote:
		return d.replica.Promote(ctx, c.ID)
	default:
		return d.replica.Remove(ctx, c.ID)
	}
}

// nextChanges returns the single steps of the membership that are needed now, the most urgent first. One of them is made;
// the others are for when it is refused.
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

// forget removes a node without a replica that stayed away for long, also one that gave its lease back at a planned stop.
// Such a node can't serve any more, and gets listed again when it comes back.
func (d *durable) forget(ctx context.Context, nodes []member.Node) bool {
	leases, now := d.leases.Members(), d.clock.Now()
	for _, n := range nodes {
		lease, ok := leases[n.Name]
		age := lease.Age
		if ok {
			delete(d.away, n.Name)
		} else {
			if _, noted := d.away[n.Name]; !noted {
				d.away[n.Name] = now
			}
			age = now.Sub(d.away[n.Name])
		}
		if n.Replica == 0 && age > forgetAfter {
			delete(d.away, n.Name)
			d.log.Info("node is being removed from the list", "node", n.Name, "away", age)
			if err := d.control.RemoveNode(ctx, n.Name, forgetAfter); err != nil {
				d.log.Debug("list of nodes not changed", "error", err)
			}
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
