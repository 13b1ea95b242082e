package config

import (
	"context"
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// LeaseTime is the length of a configuration lease, counted on the node's clock from when it sent the renewal.
	LeaseTime = 2 * time.Second
	// StaleLimit is the default time for which a node serves new requests after its lease has ended. Together with
	// LeaseTime, the clock drift and the 2 s that it takes to replace a lost leader, it is less than the 11 s within
	// which a change must be in force.
	StaleLimit = 6 * time.Second
	// RenewWait is how long the leader delays the response to a renewal while there are no changes to return.
	RenewWait = 500 * time.Millisecond
	// driftPercent is the assumed maximum difference between the clock rates of two VMs.
	driftPercent = 10
)

// Position identifies the configuration that a node has in force, by the revisions of the records and of the orders on
// engines.
type Position struct {
	Revision       camphorhinge.Revision
	OrdersRevision uint64
}

// covers reports whether p is at least want in both revisions.
func (p Position) covers(want Position) bool {
	return p.Revision >= want.Revision && p.OrdersRevision >= want.OrdersRevision
}

// grant is the leader's record of the lease of one node.
type grant struct {
	// confirmed is the position that the node reported as in force with its last renewal.
	confirmed Position
	// renewed is when the leader handled the node's last renewal.
	renewed camphorhinge.Instant
}

// Leases tracks the configuration leases of all nodes on the leader. It is safe for concurrent use.
type Leases struct {
	clock      camphorhinge.Clock
	staleLimit time.Duration

	mu     sync.Mutex
	active bool
	grants map[camphorhinge.NodeID]*grant
	// wake is closed and replaced on each change, to wake the pending calls of Wait.
	wake chan struct{}
}

// NewLeases returns Leases that are inactive until Lead is called. staleLimit is how long a node may serve after its
// lease has ended.
func NewLeases(clock camphorhinge.Clock, staleLimit time.Duration) *Leases {
	return &Leases{clock: clock, staleLimit: staleLimit, grants: map[camphorhinge.NodeID]*grant{}, wake: make(chan struct{})}
}

// Lead begins a leadership. Each member is assumed to have renewed its lease with the previous leader just now, and to
// have confirmed nothing.
func (l *Leases) Lead(members []camphorhinge.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.active = true
	l.grants = map[camphorhinge.NodeID]*grant{}
	for _, m := range members {
		l.grants[m] = &grant{renewed: now}
	}
	l.notify()
}

// Follow ends a leadership; pending calls of Wait fail with camphorhinge.ErrNotLeader.
func (l *Leases) Follow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = false
	l.notify()
}

func (l *Leases) notify() {
	close(l.wake)
	l.wake = make(chan struct{})
}

// Renew records that a node has confirmed a position and that its lease is about to be renewed. It fails with
// camphorhinge.ErrNotLeader while the Leases are inactive. The caller must check after Renew, before it responds to
// the node, that it is still the leader of the same term.
func (l *Leases) Renew(node camphorhinge.NodeID, confirmed Position) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active {
		return camphorhinge.ErrNotLeader
	}
	g := l.grants[node]
	if g == nil {
		g = &grant{}
		l.grants[node] = g
	}
	g.confirmed = confirmed
	g.renewed = l.clock.Now()
	l.notify()
	return nil
}

// Release removes a node that serves no new requests any more, so that Wait does not wait for it.
func (l *Leases) Release(node camphorhinge.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.grants, node)
	l.notify()
}

// Wait returns once no node can serve new requests at a position before want: each has either confirmed want or been
// without a renewal for longer than its lease and the stale limit. It fails with camphorhinge.ErrNotLeader when the
// leadership ends.
func (l *Leases) Wait(ctx context.Context, want Position) error {
	for {
		l.mu.Lock()
		active, wake := l.active, l.wake
		_, left := l.pending(want)
		l.mu.Unlock()
		if !active {
			return camphorhinge.ErrNotLeader
		}
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// pending returns the nodes that may still serve at a position before want, and the longest time for which any of them
// may.
func (l *Leases) pending(want Position) (nodes []camphorhinge.NodeID, left time.Duration) {
	now := l.clock.Now()
	bound := (LeaseTime + l.staleLimit) * (100 + driftPercent) / 100
	for node, g := range l.grants {
		if g.confirmed.covers(want) {
			continue
		}
		if rest := bound - now.Sub(g.renewed); rest > 0 {
			nodes = append(nodes, node)
			left = max(left, rest)
		}
	}
	return nodes, left
}

// InForce reports whether no node can serve at a position before want, without waiting. It is false on a follower.
func (l *Leases) InForce(want Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, left := l.pending(want)
	return l.active && left <= 0
}

// Member is the state of one node's lease.
type Member struct {
	Confirmed Position
	// Age is the time since the last renewal.
	Age time.Duration
}

// Members returns the state of all leases, by node.
func (l *Leases) Members() map[camphorhinge.NodeID]Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	out := make(map[camphorhinge.NodeID]Member, len(l.grants))
	for node, g := range l.grants {
		out[node] = Member{Confirmed: g.confirmed, Age: now.Sub(g.renewed)}
	}
	return out
}
