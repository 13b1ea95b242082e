package status

import "example.org/camphorhinge"

// Path is the path at which core and entry nodes serve their Status, on the metrics port.
const Path = "/status"

// Status describes one node, and the cluster as far as the node has information about it.
type Status struct {
	Node    camphorhinge.NodeID    `json:"node"`
	Zone    camphorhinge.Zone      `json:"zone"`
	Cluster camphorhinge.ClusterID `json:"cluster,omitempty"`
	// Configuration is the State of package config (empty, fresh, stale or expired); on core and entry nodes it is the
	// version of the routing configuration, or none.
	Configuration string `json:"configuration"`
	// Workspaces are the names of the workspaces in the routing configuration.
	Workspaces []camphorhinge.WorkspaceName `json:"workspaces,omitempty"`
	// Revision is the revision of the records in force on this node.
	Revision camphorhinge.Revision `json:"revision"`
	// Stale is the time since the configuration lease ended, in milliseconds.
	Stale int64 `json:"stale,omitempty"`
	// Stopping is true during a planned stop.
	Stopping bool `json:"stopping,omitempty"`
	// Leader is the last known leader, or empty.
	Leader camphorhinge.NodeID `json:"leader,omitempty"`
	// Repaired is true if all voters of the committed membership are known to have synced its last change.
	Repaired bool `json:"repaired"`
	// Replica is nil on a node without a data folder.
	Replica *Replica `json:"replica,omitempty"`
	// Usage is nil on a node that has no usage reports.
	Usage   *Usage   `json:"usage,omitempty"`
	Nodes   []Node   `json:"nodes"`
	Targets []Target `json:"targets"`
	// Wanted has the wanted numbers of engines on the node that orders them.
	Wanted []Wanted `json:"wanted,omitempty"`
}

// Wanted is the wanted number of a service's engines in a zone.
type Wanted struct {
	Service camphorhinge.ServiceName `json:"service"`
	Zone    camphorhinge.Zone        `json:"zone"`
	Spot    bool                     `json:"spot,omitempty"`
	Wanted  int                      `json:"wanted"`
	// Ordered is the number that the provider has confirmed, and Serving that of the engines that are there and don't leave.
	Ordered int `json:"ordered"`
	Serving int `json:"serving"`
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
	// Disk is the total size of the log and the snapshots, in bytes.
	Disk int64 `json:"disk"`
}

// Usage describes the usage reports to the provider.
type Usage struct {
	// Last is the last window whose report the provider has accepted, or 0.
	Last uint64 `json:"last"`
	// Waiting are the windows whose reports it has not accepted yet.
	Waiting []uint64 `json:"waiting,omitempty"`
}

// Node describes one listed node, according to the leader, or to the reporting node if the leader does not respond.
type Node struct {
	Name    camphorhinge.NodeID    `json:"name"`
	Address string                 `json:"address"`
	Zone    camphorhinge.Zone      `json:"zone"`
	Replica camphorhinge.ReplicaID `json:"replica,omitempty"`
	// Member is voter, learner or empty.
	Member string `json:"member,omitempty"`
	// Revision is the last revision that the node confirmed, and Age the time since its last renewal in milliseconds; both
	// are set only by the leader.
	Revision camphorhinge.Revision `json:"revision,omitempty"`
	Age      int64                 `json:"age,omitempty"`
}

// Target describes one live target, according to the reporting node.
type Target struct {
	Name    camphorhinge.TargetName  `json:"name"`
	Service camphorhinge.ServiceName `json:"service"`
	Address string                   `json:"address"`
	Zone    camphorhinge.Zone        `json:"zone"`
	Kind    string                   `json:"kind"`
	Role    camphorhinge.Role        `json:"role,omitempty"`
	Serving bool                     `json:"serving"`
	Leaving bool                     `json:"leaving,omitempty"`
	// Age is the time since the last report of the target, in milliseconds.
	Age int64 `json:"age"`
	// Note is a remark on the fencing of orders to the target, or empty.
	Note string `json:"note,omitempty"`
}
