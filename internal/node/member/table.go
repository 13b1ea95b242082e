package member

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// maxNodes bounds the table. The largest planned cluster, in two years, has 330 nodes.
const maxNodes = 1024

// Node is one listed node; its JSON form is part of commands and snapshots.
type Node struct {
	Name    camphorhinge.NodeID `json:"name"`
	Address string              `json:"address"`
	Zone    camphorhinge.Zone   `json:"zone"`
	// Replica is the ID of the node's replica of the durable state, or 0 if it has none.
	Replica camphorhinge.ReplicaID `json:"replica,omitempty"`
}

// Action is the kind of change that a Command makes.
type Action string

const (
	// ActionPut adds or replaces a node. If the command names no replica, the listed one is kept, so that a node that
	// reports only its new address does not remove its replica.
	ActionPut Action = "put"
	// ActionRemove removes a node.
	ActionRemove Action = "remove"
)

// Command is one change of the table.
type Command struct {
	Action Action `json:"action"`
	Node   Node   `json:"node"`
}

// Result is the outcome of a Command.
type Result struct {
	// Refused is the reason for which the command was refused. It is empty if the command took effect or changed nothing.
	Refused string `json:"refused,omitempty"`
}

// Table is the replicated list of nodes, a camphorhinge.Machine. It is safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	nodes map[camphorhinge.NodeID]Node
	// digest is a hash of nodes; it is 0 only for an empty table.
	digest uint64
}

// New returns an empty Table.
func New() *Table { return &Table{nodes: map[camphorhinge.NodeID]Node{}} }

// Apply applies an encoded Command and returns an encoded Result.
func (t *Table) Apply(_ camphorhinge.Entry, command []byte) []byte {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return encode(Result{Refused: "malformed command: " + err.Error()})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch c.Action {
	case ActionPut:
		listed, ok := t.nodes[c.Node.Name]
		switch {
		case c.Node.Name == "" || c.Node.Address == "":
			return encode(Result{Refused: "expected a node with a name and an address"})
		case !ok && len(t.nodes) >= maxNodes:
			return encode(Result{Refused: "too many nodes"})
		}
		if c.Node.Replica == 0 {
			c.Node.Replica = listed.Replica
		}
		t.nodes[c.Node.Name] = c.Node
	case ActionRemove:
		delete(t.nodes, c.Node.Name)
	default:
		return encode(Result{Refused: "unknown action " + string(c.Action)})
	}
	t.updateDigest()
	return encode(Result{})
}

func encode(r Result) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("encode result: " + err.Error()) // Result has only marshalable fields.
	}
	return data
}

// Nodes returns all nodes, sorted by name.
func (t *Table) Nodes() []Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.sorted()
}

// Since returns all nodes, sorted by name, and the current digest of the list; nodes is nil if the digest equals the
// given one. Replicas with the same nodes have the same digest.
func (t *Table) Since(digest uint64) (nodes []Node, now uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.digest != digest {
		nodes = t.sorted()
	}
	return nodes, t.digest
}

// updateDigest recomputes the digest; the caller must hold the write lock.
func (t *Table) updateDigest() {
	data, err := json.Marshal(t.sorted())
	if err != nil {
		panic("encode nodes: " + err.Error()) // Node has only marshalable fields.
	}
	t.digest = 0
	if len(t.nodes) > 0 {
		t.digest = max(1, xxhash.Sum64(data))
	}
}

// sorted returns all nodes, sorted by name; the caller must hold the lock.
func (t *Table) sorted() []Node {
	nodes := make([]Node, 0, len(t.nodes))
	for _, n := range t.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}

// Get returns the node with the given name.
func (t *Table) Get(name camphorhinge.NodeID) (Node, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, ok := t.nodes[name]
	return n, ok
}

// Snapshot returns the encoded table.
func (t *Table) Snapshot() ([]byte, error) { return json.Marshal(t.Nodes()) }

// Restore replaces the table with an encoded one, or with an empty table if the snapshot is empty. If the snapshot
// cannot be decoded, the table is unchanged.
func (t *Table) Restore(snapshot []byte) error {
	var nodes []Node
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &nodes); err != nil {
			return err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.nodes)
	for _, n := range nodes {
		t.nodes[n.Name] = n
	}
	t.updateDigest()
	return nil
}
