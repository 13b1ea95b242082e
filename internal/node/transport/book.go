package transport

import (
	"maps"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// Book knows the peer addresses of replicas. What a replica says of itself is kept over what the list of nodes says,
// until the list changes: a learner that moved sends no message before it is reached, and only the list then has its
// address.
type Book struct {
	mu    sync.RWMutex
	heard map[camphorhinge.ReplicaID]heard
	// listed returns the address that the replicated list of nodes has for a replica, or "".
	listed func(camphorhinge.ReplicaID) string
}

// heard is the address that a replica gave, and the one that the list had at that time.
type heard struct{ address, listed string }

// NewBook returns a Book that falls back on listed.
func NewBook(listed func(camphorhinge.ReplicaID) string) *Book {
	return &Book{heard: map[camphorhinge.ReplicaID]heard{}, listed: listed}
}

// Heard notes the address that a replica gave as its own.
func (b *Book) Heard(id camphorhinge.ReplicaID, address string) {
	if id == 0 || address == "" {
		return
	}
	now := heard{address: address, listed: b.listed(id)}
	b.mu.RLock()
	known := b.heard[id] == now
	b.mu.RUnlock()
	if known {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[id] = now
}

// Address returns the peer address of a replica, or "" when it is not known.
func (b *Book) Address(id camphorhinge.ReplicaID) string {
	b.mu.RLock()
	h := b.heard[id]
	b.mu.RUnlock()
	if listed := b.listed(id); h.address == "" || listed != "" && listed != h.listed {
		return listed
	}
	return h.address
}

// Known returns the replicas that gave their address, sorted.
func (b *Book) Known() []camphorhinge.ReplicaID {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Sorted(maps.Keys(b.heard))
}
