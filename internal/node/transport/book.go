package transport

import (
	"maps"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// Book knows the peer addresses of replicas. What a replica says of itself is kept over what the list of nodes says.
type Book struct {
	mu    sync.RWMutex
	heard map[camphorhinge.ReplicaID]string
	// listed returns the address that the replicated list of nodes has for a replica, or "".
	listed func(camphorhinge.ReplicaID) string
}

// NewBook returns a Book that falls back on listed.
func NewBook(listed func(camphorhinge.ReplicaID) string) *Book {
	return &Book{heard: map[camphorhinge.ReplicaID]string{}, listed: listed}
}

// Heard notes the address that a replica gave as its own.
func (b *Book) Heard(id camphorhinge.ReplicaID, address string) {
	if id == 0 || address == "" {
		return
	}
	b.mu.RLock()
	known := b.heard[id] == address
	b.mu.RUnlock()
	if known {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[id] = address
}

// Address returns the peer address of a replica, or "" when it is not known.
func (b *Book) Address(id camphorhinge.ReplicaID) string {
	b.mu.RLock()
	address := b.heard[id]
	b.mu.RUnlock()
	if address != "" {
		return address
	}
	return b.listed(id)
}

// Known returns the replicas that gave their address, sorted.
func (b *Book) Known() []camphorhinge.ReplicaID {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Sorted(maps.Keys(b.heard))
}
