package replica

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
)

const (
	// maxCommandBytes bounds one command, in bytes; it fits into one frame of the log and one message.
	maxCommandBytes = 4 << 20
	// maxBatchBytes bounds the commands that are proposed to the Core in one call.
	maxBatchBytes = 1 << 20
	// transferPollInterval is how often Transfer looks whether leadership has moved.
	transferPollInterval = 10 * time.Millisecond
)

// States of a call: whoever moves it out of callQueued decides whether it has an effect.
const (
	callQueued int32 = iota
	callStarted
	callAbandoned
)

// call is a request that waits for the loop.
type call struct {
	op    string
	state atomic.Int32
	done  chan outcome

	// The fields below belong to the loop: the entry's term of a proposal, and the index that a read needs.
	term      camphorhinge.Term
	index     camphorhinge.Index
	leaseRead bool
}

type outcome struct {
	result []byte
	err    error
}

func newCall(op string) *call { return &call{op: op, done: make(chan outcome, 1)} }

// tryStart reports whether the loop may act on the call; it is false when the caller gave up before.
func (c *call) tryStart() bool { return c.state.CompareAndSwap(callQueued, callStarted) }

func (c *call) finish(result []byte, err error) { c.done <- outcome{result: result, err: err} }

// inbox holds what waits for the loop.
type inbox struct {
	open      bool
	messages  []consensus.Message
	proposals []proposal
	actions   []action
}

// action is a function to run in the loop, for a call or, with a nil call, for the replica itself.
type action struct {
	call *call
	run  func(now camphorhinge.Instant)
}

type proposal struct {
	call *call
	data []byte
}

// enqueue changes the inbox under the lock and wakes the loop; add returns false when there is no room.
func (r *Replica) enqueue(op string, add func(*inbox) bool) error {
	r.mu.Lock()
	open := r.inbox.open
	ok := open && add(&r.inbox)
	r.mu.Unlock()
	switch {
	case !open:
		return stopped(op)
	case !ok:
		return failure(op, KindRefused, "more than %d inputs are waiting", maxQueued)
	}
	r.wakeLoop()
	return nil
}

// callInLoop queues a function for the loop, which runs it unless the caller has given up.
func (r *Replica) callInLoop(c *call, run func(now camphorhinge.Instant)) error {
	return r.enqueue(c.op, func(in *inbox) bool {
		if len(in.actions) >= maxQueued {
			return false
		}
		in.actions = append(in.actions, action{call: c, run: run})
		return true
	})
}

// runInLoop queues a function for the loop that no caller waits for; it is lost when the replica stops.
func (r *Replica) runInLoop(run func(now camphorhinge.Instant)) {
	r.mu.Lock()
	r.inbox.actions = append(r.inbox.actions, action{run: run})
	r.mu.Unlock()
	r.wakeLoop()
}

// wait returns the call's outcome. A proposal that is given up after the loop took it is uncertain; a read has no effect.
func (c *call) wait(ctx context.Context, read bool) ([]byte, error) {
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	if c.state.CompareAndSwap(callQueued, callAbandoned) || read {
		return nil, canceled(ctx, c.op)
	}
	select {
	case o := <-c.done:
		return o.result, o.err
	default:
		return nil, uncertain(c.op, context.Cause(ctx).Error())
	}
}

// Propose implements camphorhinge.Proposer on the leader. Other replicas return KindNotLeader without an effect.
func (r *Replica) Propose(ctx context.Context, kind camphorhinge.CommandKind, command []byte) ([]byte, error) {
	const op = "propose"
	switch {
	case ctx.Err() != nil:
		return nil, canceled(ctx, op)
	case r.machines.machines[kind] == nil:
		return nil, failure(op, KindRefused, "unknown kind of command %d", kind)
	case len(command) > maxCommandBytes:
		return nil, failure(op, KindRefused, "command of %d bytes, at most %d", len(command), maxCommandBytes)
	case r.view.Load().status.Role != consensus.Leader:
		return nil, notLeader(op)
	}
	p := proposal{call: newCall(op), data: encodeCommand(kind, 0, command)}
	err := r.enqueue(op, func(in *inbox) bool {
		if len(in.proposals) >= maxQueued {
			return false
		}
		in.proposals = append(in.proposals, p)
		return true
	})
	if err != nil {
		return nil, err
	}
	return p.call.wait(ctx, false)
}

// proposeAll stamps the waiting commands and proposes them in few batches.
func (r *Replica) proposeAll(now camphorhinge.Instant, ps []proposal) {
	if len(ps) == 0 {
		return
	}
	stamp := max(r.lastStamp, r.machines.lastStamp, r.cfg.Wall())
	r.lastStamp = stamp
	for len(ps) > 0 {
		var calls []*call
		var data [][]byte
		size := 0
		for len(ps) > 0 && (size == 0 || size+len(ps[0].data) <= maxBatchBytes) {
			p := ps[0]
			ps = ps[1:]
			if !p.call.tryStart() {
				continue
			}
			binary.BigEndian.PutUint64(p.data[1:], uint64(stamp))
			calls, data, size = append(calls, p.call), append(data, p.data), size+len(p.data)
		}
		if len(calls) == 0 {
			return
		}
		first, term, err := r.core.Propose(now, data)
		for i, c := range calls {
			if err != nil {
				c.finish(nil, wrapRefusal(c.op, err))
				continue
			}
			r.awaitEntry(first+camphorhinge.Index(i), term, c)
		}
	}
}

// awaitEntry answers c once the entry at index i is applied. A call that still waits there is of a lost leadership.
func (r *Replica) awaitEntry(i camphorhinge.Index, term camphorhinge.Term, c *call) {
	if old := r.pendingProposals[i]; old != nil {
		old.finish(nil, uncertain(old.op, "leadership was lost"))
	}
	c.term = term
	r.pendingProposals[i] = c
}

// apply applies a committed entry and answers the call that waits for it.
func (r *Replica) apply(e consensus.Entry) error {
	result, err := r.machines.apply(e)
	if err != nil {
		return err
	}
	r.bytesSinceSnapshot += len(e.Data)
	c := r.pendingProposals[e.Index]
	if c == nil {
		return nil
	}
	delete(r.pendingProposals, e.Index)
	if c.term != e.Term {
		// Another leader's entry took the place, so this one never takes effect.
		c.finish(nil, notLeader(c.op))
		return nil
	}
	c.finish(result, nil)
	return nil
}

// failLostProposals ends the proposals of a leadership that is over.
func (r *Replica) failLostProposals() {
	s := r.view.Load().status
	for i, c := range r.pendingProposals {
		if s.Role != consensus.Leader || s.Term != c.term {
			delete(r.pendingProposals, i)
			c.finish(nil, uncertain(c.op, "leadership was lost"))
		}
	}
}

// Barrier returns once this replica, as the leader, has applied all that was committed anywhere before the call. It uses
// the lease, or a round of messages when there is none.
func (r *Replica) Barrier(ctx context.Context) error {
	const op = "barrier"
	if ctx.Err() != nil {
		return canceled(ctx, op)
	}
	// The time is read before the view: all that was answered before this time is in the view's commit index.
	now := r.cfg.Clock.Now()
	v := r.view.Load()
	if v.status.Role != consensus.Leader {
		return notLeader(op)
	}
	if v.hasLease && now < v.leaseEnd && v.committedInTerm && v.applied >= v.status.Commit {
		if term, ok := r.Authority(); ok && term == v.status.Term {
			return nil
		}
	}
	c := newCall(op)
	if err := r.callInLoop(c, func(now camphorhinge.Instant) { r.startRead(now, c) }); err != nil {
		return err
	}
	_, err := c.wait(ctx, true)
	return err
}

func (r *Replica) startRead(now camphorhinge.Instant, c *call) {
	if i, ok := r.core.LeaseRead(now); ok {
		c.index, c.leaseRead = i, true
		r.confirmedReads = append(r.confirmedReads, c)
		return
	}
	c.leaseRead = false
	r.readSeq++
	if err := r.core.ReadIndex(now, r.readSeq); err != nil {
		c.finish(nil, wrapRefusal(c.op, err))
		return
	}
	r.pendingReads[r.readSeq] = c
}

func (r *Replica) confirmRead(s consensus.ReadState) {
	c := r.pendingReads[s.ID]
	delete(r.pendingReads, s.ID)
	if s.Failed {
		c.finish(nil, notLeader(c.op))
		return
	}
	c.index = s.Index
	r.confirmedReads = append(r.confirmedReads, c)
}

// finishReads ends the reads whose index is applied; the lease is checked again.
func (r *Replica) finishReads() {
	if len(r.confirmedReads) == 0 {
		return
	}
	waiting := r.confirmedReads
	r.confirmedReads = nil
	now := r.cfg.Clock.Now()
	for _, c := range waiting {
		if c.index > r.machines.applied {
			r.confirmedReads = append(r.confirmedReads, c)
			continue
		}
		if _, ok := r.core.Lease(now); c.leaseRead && !ok {
			r.startRead(now, c)
			continue
		}
		c.finish(nil, nil)
	}
}

// failAllCalls ends all calls when the loop has ended.
func (r *Replica) failAllCalls() {
	r.mu.Lock()
	in := r.inbox
	r.inbox = inbox{}
	r.mu.Unlock()
	for _, p := range in.proposals {
		if p.call.tryStart() {
			p.call.finish(nil, stopped(p.call.op))
		}
	}
	for _, c := range r.pendingProposals {
		c.finish(nil, uncertain(c.op, "the replica stopped"))
	}
	for _, c := range r.pendingReads {
		c.finish(nil, stopped(c.op))
	}
	for _, c := range r.confirmedReads {
		c.finish(nil, stopped(c.op))
	}
	for _, a := range in.actions {
		if a.call != nil && a.call.tryStart() {
			a.call.finish(nil, stopped(a.call.op))
		}
	}
	r.view.Store(&view{status: consensus.Status{ID: r.id}})
}
