package transport

import (
	"maps"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// AddressTable resolves replicas to peer addresses. The address that a replica sent in its messages takes precedence
// over the one in the list of nodes until the list changes: a learner that moved sends no message before it is
// contacted, so that only the list has its new address. It is safe for concurrent use.
type AddressTable struct {
	mu       sync.RWMutex
	reported map[camphorhinge.ReplicaID]reportedAddress
	// listed returns the address of a replica in the replicated list of nodes, or "".
	listed func(camphorhinge.ReplicaID) string
}

// reportedAddress is the address that a replica sent, and the one that was listed at that time.
type reportedAddress struct{ address, listed string }

// NewAddressTable returns an empty AddressTable. The function listed returns the address of a replica in the list of
// nodes, or "".
func NewAddressTable(listed func(camphorhinge.ReplicaID) string) *AddressTable {
	return &AddressTable{reported: map[camphorhinge.ReplicaID]reportedAddress{}, listed: listed}
}

// Update records the address that a replica sent as its own. It ignores the ID 0 and empty addresses.
func (t *AddressTable) Update(id camphorhinge.ReplicaID, address string) {
	if id == 0 || address == "" {
		return
	}
	current := reportedAddress{address: address, listed: t.listed(id)}
	t.mu.RLock()
	unchanged := t.reported[id] == current
	t.mu.RUnlock()
	if unchanged {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported[id] = current
}

// Address returns the peer address of a replica, or "" if it is unknown.
func (t *AddressTable) Address(id camphorhinge.ReplicaID) string {
	t.mu.RLock()
	r := t.reported[id]
	t.mu.RUnlock()
	if listed := t.listed(id); r.address == "" || listed != "" && listed != r.listed {
		return listed
	}
	return r.address
}

// Replicas returns the replicas that have sent their address, sorted.
func (t *AddressTable) Replicas() []camphorhinge.ReplicaID {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.reported))
}
