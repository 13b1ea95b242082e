package config

import (
	"context"
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// LeaseTime is the length of a configuration lease, counted on the node's clock from the sending of its renewal.
	LeaseTime = 2 * time.Second
	// StaleLimit is the default time for which a node serves new requests after its lease ended. With the lease, the assumed
	// drift of clocks and the 2 s in which a lost leader is replaced it stays below the 11 s in which a change must be in
	// force.
	StaleLimit = 6 * time.Second
	// RenewWait is how long the leader holds a renewal that has nothing to answer yet.
	RenewWait = 500 * time.Millisecond
	// driftPercent is the assumed bound on the difference of two VMs' clock rates.
	driftPercent = 10
)

// Position is how far a node has come: the revision of the records and the version of the engine holds.
type Position struct {
	Revision camphorhinge.Revision
	Cordons  uint64
}

// covers reports whether p has come at least as far as want.
func (p Position) covers(want Position) bool {
	return p.Revision >= want.Revision && p.Cordons >= want.Cordons
}

type grant struct {
	confirmed Position
	// renewed is when the node's last renewal was answered.
	renewed camphorhinge.Instant
}

// Leases is the leader's view of all nodes' configuration leases.
type Leases struct {
	clock camphorhinge.Clock
	stale time.Duration

	mu     sync.Mutex
	active bool
	grants map[camphorhinge.NodeID]*grant
	wake   chan struct{}
}

// NewLeases returns Leases that are not active. Stale is the nodes' stale limit.
func NewLeases(clock camphorhinge.Clock, stale time.Duration) *Leases {
	return &Leases{clock: clock, stale: stale, grants: map[camphorhinge.NodeID]*grant{}, wake: make(chan struct{})}
}

// Lead starts a leadership: each member is taken to have renewed just now from the predecessor, with nothing confirmed.
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

// Follow ends a leadership; pending waits fail with camphorhinge.ErrNotLeader.
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

// Renew notes that a member node confirmed a position and is about to get an answer that renews its lease.
// The caller checks its authority after Renew and before it answers.
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

// Release forgets a node that has promised to serve no new request.
func (l *Leases) Release(node camphorhinge.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.grants, node)
	l.notify()
}

// Wait returns once no node can serve new requests at a position before want: each has confirmed it or was last
// renewed longer ago than its lease and stale limit last.
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

// pending returns the nodes that may serve before want, and the longest time for which one of them may.
func (l *Leases) pending(want Position) (nodes []camphorhinge.NodeID, left time.Duration) {
	now := l.clock.Now()
	bound := (LeaseTime + l.stale) * (100 + driftPercent) / 100
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

// InForce reports whether no node can serve at a position before want; it does not wait.
func (l *Leases) InForce(want Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, left := l.pending(want)
	return l.active && left <= 0
}

// Member is the state of one node's lease, for status.
type Member struct {
	Confirmed Position
	// Age is the time since the last renewal.
	Age time.Duration
}

// Members returns the state of all leases.
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
