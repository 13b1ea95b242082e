package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/member"
	"example.org/camphorhinge/internal/state/consensus"
)

// Guards against a membership that removes a voter before its replacement votes, that removes the leader itself, or
// that stays short of three voters because a refused change blocks another.
func TestNextChanges(t *testing.T) {
	const self = 1
	members := func(voters int, ids ...camphorhinge.ReplicaID) consensus.Membership {
		var m consensus.Membership
		for i, id := range ids {
			m.Members = append(m.Members, consensus.Member{ID: id, Voter: i < voters})
		}
		return m
	}
	nodes := func(ids ...camphorhinge.ReplicaID) []member.Node {
		out := []member.Node{{Name: "entry", Address: "e"}} // a node without a replica
		for _, id := range ids {
			out = append(out, member.Node{Name: camphorhinge.NodeID(rune('a' + id)), Address: "a", Replica: id})
		}
		return out
	}
	add := func(id camphorhinge.ReplicaID) consensus.Change {
		return consensus.Change{Kind: consensus.AddLearner, ID: id, Address: "a"}
	}
	promote := func(id camphorhinge.ReplicaID) consensus.Change {
		return consensus.Change{Kind: consensus.Promote, ID: id}
	}
	remove := func(id camphorhinge.ReplicaID) consensus.Change {
		return consensus.Change{Kind: consensus.Remove, ID: id}
	}
	for _, tt := range []struct {
		name    string
		members consensus.Membership
		nodes   []member.Node
		lost    []camphorhinge.ReplicaID
		want    []consensus.Change
	}{
		{name: "unreachable voter, no spare", members: members(3, 1, 2, 3), nodes: nodes(1, 2, 3), lost: []camphorhinge.ReplicaID{3}},
		{
			name: "unreachable voter, spare replaces it", members: members(3, 1, 2, 3, 4), nodes: nodes(1, 2, 3, 4),
			lost: []camphorhinge.ReplicaID{3}, want: []consensus.Change{promote(4)},
		},
		{
			name: "unreachable voter has been replaced", members: members(4, 1, 2, 3, 4), nodes: nodes(1, 2, 3, 4),
			lost: []camphorhinge.ReplicaID{3}, want: []consensus.Change{remove(3)},
		},
		{
			name: "replaced voter returns to a complete group as a spare", members: members(3, 1, 2, 4), nodes: nodes(1, 2, 3, 4),
			want: []consensus.Change{add(3)},
		},
		{
			name: "unreachable spare is not promoted", members: members(3, 1, 2, 3, 4), nodes: nodes(1, 2, 4),
			lost: []camphorhinge.ReplicaID{4},
		},
		{name: "bootstrap", members: members(1, 1), nodes: nodes(1)},
		{name: "first join", members: members(1, 1), nodes: nodes(1, 2), want: []consensus.Change{add(2)}},
		{name: "first learner", members: members(1, 1, 2), nodes: nodes(1, 2), want: []consensus.Change{promote(2)}},
		{name: "third voter", members: members(2, 1, 2, 3), nodes: nodes(1, 2, 3), want: []consensus.Change{promote(3)}},
		{name: "complete", members: members(3, 1, 2, 3), nodes: nodes(1, 2, 3)},

		{name: "lost disk: add", members: members(3, 1, 2, 3), nodes: nodes(1, 2, 4), want: []consensus.Change{add(4)}},
		{name: "lost disk: promote", members: members(3, 1, 2, 3, 4), nodes: nodes(1, 2, 4), want: []consensus.Change{promote(4)}},
		{name: "lost disk: remove", members: members(4, 1, 2, 3, 4), nodes: nodes(1, 2, 4), want: []consensus.Change{remove(3)}},
		{name: "lost disk: repaired", members: members(3, 1, 2, 4), nodes: nodes(1, 2, 4)},

		{name: "second loss after the learner", members: members(3, 1, 2, 3, 4), nodes: nodes(1, 5, 4), want: []consensus.Change{add(5), promote(4)}},
		{
			name: "second loss, both learn: either may be first", members: members(3, 1, 2, 3, 4, 5), nodes: nodes(1, 5, 4),
			want: []consensus.Change{promote(4), promote(5)},
		},
		{name: "second loss, one promoted", members: members(4, 1, 2, 3, 4, 5), nodes: nodes(1, 5, 4), want: []consensus.Change{promote(5)}},
		{
			name: "second loss, both promoted: the lost ones are removed", members: members(5, 1, 2, 3, 4, 5), nodes: nodes(1, 5, 4),
			want: []consensus.Change{remove(2), remove(3)},
		},
		{
			name: "learner lost again", members: members(3, 1, 2, 3, 4), nodes: nodes(1, 2, 6),
			want: []consensus.Change{add(6), remove(4)},
		},
		{
			name: "unreachable learner does not prevent a spare from voting", members: members(3, 1, 2, 3, 4, 5), nodes: nodes(1, 2, 4, 5),
			want: []consensus.Change{promote(4), promote(5)},
		},

		{name: "orphan with two others voting", members: members(3, 1, 2, 3), nodes: nodes(1, 2)},
		{name: "orphan with three others voting", members: members(4, 1, 2, 3, 4), nodes: nodes(1, 2, 4), want: []consensus.Change{remove(3)}},
		{name: "orphaned learner", members: members(2, 1, 2, 3), nodes: nodes(1, 2), want: []consensus.Change{remove(3)}},
		{name: "self not listed", members: members(4, 1, 2, 3, 4), nodes: nodes(2, 3, 4)},
		{name: "self not listed counts as a voter", members: members(4, 1, 2, 3, 4), nodes: nodes(2, 3), want: []consensus.Change{remove(4)}},
		{name: "spare data nodes stay learners", members: members(3, 1, 2, 3, 4, 5), nodes: nodes(1, 2, 3, 4, 5)},
		{name: "spare data node joins", members: members(3, 1, 2, 3, 4), nodes: nodes(1, 2, 3, 4, 5), want: []consensus.Change{add(5)}},
		{name: "spare replaces an orphan", members: members(3, 1, 2, 3, 4), nodes: nodes(1, 2, 4), want: []consensus.Change{promote(4)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			lost := map[camphorhinge.ReplicaID]bool{}
			for _, id := range tt.lost {
				lost[id] = true
			}
			require.Equal(t, tt.want, nextChanges(tt.members, tt.nodes, self, lost, defaultVoters))
		})
	}
}
