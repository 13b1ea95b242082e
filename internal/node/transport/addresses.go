package transport

import (
	"maps"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// AddressTable knows the peer addresses of replicas. What a replica says of itself is kept over what the list of nodes says,
// until the list changes: a learner that moved sends no message before it is reached, and only the list then has its
// address.
type AddressTable struct {
	mu       sync.RWMutex
	reported map[camphorhinge.ReplicaID]reportedAddress
	// listed returns the address that the replicated list of nodes has for a replica, or "".
	listed func(camphorhinge.ReplicaID) string
}

// reportedAddress is the address that a replica gave, and the one that the list had at that time.
type reportedAddress struct{ address, listed string }

// NewAddressTable returns a Book that falls back on listed.
func NewAddressTable(listed func(camphorhinge.ReplicaID) string) *AddressTable {
	return &AddressTable{reported: map[camphorhinge.ReplicaID]reportedAddress{}, listed: listed}
}

// Update notes the address that a replica gave as its own.
func (b *AddressTable) Update(id camphorhinge.ReplicaID, address string) {
	if id == 0 || address == "" {
		return
	}
	now := reportedAddress{address: address, listed: b.listed(id)}
	b.mu.RLock()
	known := b.reported[id] == now
	b.mu.RUnlock()
	if known {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported[id] = now
}

// Address returns the peer address of a replica, or "" when it is not known.
func (b *AddressTable) Address(id camphorhinge.ReplicaID) string {
	b.mu.RLock()
	h := b.reported[id]
	b.mu.RUnlock()
	if listed := b.listed(id); h.address == "" || listed != "" && listed != h.listed {
		return listed
	}
	return h.address
}

// Replicas returns the replicas that gave their address, sorted.
func (b *AddressTable) Replicas() []camphorhinge.ReplicaID {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Sorted(maps.Keys(b.reported))
}
