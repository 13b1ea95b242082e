package status

import "example.org/camphorhinge"

// Path is where a node of the platform serves its Status, beside its metrics.
const Path = "/status"

// Status describes one node and what it knows of the cluster.
type Status struct {
	Node    camphorhinge.NodeID    `json:"node"`
	Zone    camphorhinge.Zone      `json:"zone"`
	Cluster camphorhinge.ClusterID `json:"cluster,omitempty"`
	// Configuration is empty, fresh, stale or expired, as in package config.
	Configuration string `json:"configuration"`
	// Revision is the configuration in force on this node.
	Revision camphorhinge.Revision `json:"revision"`
	// Stale is the time since the configuration lease ended, in milliseconds.
	Stale int64 `json:"stale,omitempty"`
	// Stopping is true during a planned stop.
	Stopping bool `json:"stopping,omitempty"`
	// Leader is the node that leads, as far as this node knows.
	Leader camphorhinge.NodeID `json:"leader,omitempty"`
	// Repaired is true when all voters of the committed membership are known to have synced its last change.
	Repaired bool `json:"repaired"`
	// Replica is nil on a node without a data folder.
	Replica *Replica `json:"replica,omitempty"`
	Nodes   []Node   `json:"nodes"`
	Targets []Target `json:"targets"`
}

// Replica describes a replica of the durable state.
type Replica struct {
	ID      camphorhinge.ReplicaID `json:"id"`
	Role    string                 `json:"role"`
	Term    camphorhinge.Term      `json:"term"`
	Commit  camphorhinge.Index     `json:"commit"`
	Applied camphorhinge.Index     `json:"applied"`
	// Lease is true while this replica holds a valid leader lease.
	Lease bool `json:"lease"`
	// Disk is the size of the log and the snapshots, in bytes.
	Disk int64 `json:"disk"`
}

// Node describes one entry node as the leader, or else this node, sees it.
type Node struct {
	Name    camphorhinge.NodeID    `json:"name"`
	Address string                 `json:"address"`
	Zone    camphorhinge.Zone      `json:"zone"`
	Replica camphorhinge.ReplicaID `json:"replica,omitempty"`
	// Member is voter, learner or empty.
	Member string `json:"member,omitempty"`
	// Revision is the last one that the node confirmed, and Age the time since then in milliseconds; both are known to the
	// leader only.
	Revision camphorhinge.Revision `json:"revision,omitempty"`
	Age      int64                 `json:"age,omitempty"`
}

// Target describes one live target as this node sees it.
type Target struct {
	Name    camphorhinge.TargetName  `json:"name"`
	Service camphorhinge.ServiceName `json:"service"`
	Address string                   `json:"address"`
	Zone    camphorhinge.Zone        `json:"zone"`
	Kind    string                   `json:"kind"`
	Role    camphorhinge.Role        `json:"role,omitempty"`
	Serving bool                     `json:"serving"`
	Leaving bool                     `json:"leaving,omitempty"`
	// Age is the time since the last renewal, in milliseconds.
	Age int64 `json:"age"`
	// Note says why the target gets no orders, if so.
	Note string `json:"note,omitempty"`
}
