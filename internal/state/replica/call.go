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
	// MaxCommandBytes bounds the size of a command, which must fit into one frame of the log and one message.
	MaxCommandBytes = 4 << 20
	// maxBatchBytes bounds the commands proposed to the Core in one call, unless a single one is larger.
	maxBatchBytes = 1 << 20
	// transferPollInterval is how often Transfer checks whether leadership has moved.
	transferPollInterval = 10 * time.Millisecond
)

// States of a call. The loop moves it from callQueued to callStarted, or its caller to callAbandoned, in which case it
// has no effect.
const (
	callQueued int32 = iota
	callStarted
	callAbandoned
)

// call is a request to the loop whose caller waits for the outcome.
type call struct {
	op    string
	state atomic.Int32
	done  chan outcome

	// Only the loop uses the fields below. term is that of a proposal's entry, index the one that must be applied before a
	// read, and leaseRead is true if the read relies on the lease.
	term      camphorhinge.Term
	index     camphorhinge.Index
	leaseRead bool
}

// outcome is the result of a call; result is nil for calls other than Propose.
type outcome struct {
	result []byte
	err    error
}

func newCall(op string) *call { return &call{op: op, done: make(chan outcome, 1)} }

// tryStart moves the call to callStarted. It returns false if the caller has abandoned the call.
func (c *call) tryStart() bool { return c.state.CompareAndSwap(callQueued, callStarted) }

func (c *call) finish(result []byte, err error) { c.done <- outcome{result: result, err: err} }

// inbox holds the queued inputs of the loop; it is open while the replica runs.
type inbox struct {
	open      bool
	messages  []consensus.Message
	proposals []proposal
	actions   []action
	// messageBytes is the size of the data of the entries in messages, proposalBytes that of the proposals.
	messageBytes, proposalBytes int
}

// addProposal queues p unless there are too many proposals or bytes of them. A proposal above the limit is accepted while none is queued.
func (in *inbox) addProposal(p proposal, limit int) bool {
	if len(in.proposals) >= maxQueued || in.proposalBytes > 0 && in.proposalBytes+len(p.data) > limit {
		return false
	}
	in.proposals, in.proposalBytes = append(in.proposals, p), in.proposalBytes+len(p.data)
	return true
}

// addMessages queues messages unless there are too many. It drops those with entries that would exceed the limit in bytes, as the network
// may do, but none without entries: heartbeats must arrive while the loop is late.
func (in *inbox) addMessages(ms []consensus.Message, limit int) bool {
	if len(in.messages)+len(ms) > maxQueued {
		return false
	}
	for _, m := range ms {
		size := 0
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		if size > 0 && in.messageBytes > 0 && in.messageBytes+size > limit {
			continue
		}
		in.messages, in.messageBytes = append(in.messages, m), in.messageBytes+size
	}
	return true
}

// action is a function to run in the loop. Its call is nil if no caller waits for it.
type action struct {
	call *call
	run  func(now camphorhinge.Instant)
}

// proposal is a call of Propose with its encoded command.
type proposal struct {
	call *call
	data []byte
}

// enqueue calls add with the inbox, under the lock, and wakes the loop. add returns false if the queue is full.
func (r *Replica) enqueue(op string, add func(*inbox) bool) error {
	r.mu.Lock()
	open := r.inbox.open
	ok := open && add(&r.inbox)
	r.mu.Unlock()
	switch {
	case !open:
		return stopped(op)
	case !ok:
		return failure(op, KindRefused, "too many inputs are queued; the limits are %d inputs and %d bytes", maxQueued, r.cfg.QueuedBytes)
	}
	r.wakeLoop()
	return nil
}

// callInLoop queues run for the loop, which calls it unless the caller has abandoned c by then.
func (r *Replica) callInLoop(c *call, run func(now camphorhinge.Instant)) error {
	return r.enqueue(c.op, func(in *inbox) bool {
		if len(in.actions) >= maxQueued {
			return false
		}
		in.actions = append(in.actions, action{call: c, run: run})
		return true
	})
}

// runInLoop queues run for the loop without a limit and without a caller; it is dropped when the replica stops.
func (r *Replica) runInLoop(run func(now camphorhinge.Instant)) {
	r.mu.Lock()
	r.inbox.actions = append(r.inbox.actions, action{run: run})
	r.mu.Unlock()
	r.wakeLoop()
}

// wait returns the outcome of the call. If ctx ends first, the error is of KindUncertain for a call that the loop has
// started, unless read is true, and otherwise of KindCanceled.
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

// Propose implements camphorhinge.Proposer on the leader. On other replicas it returns KindNotLeader and has no effect.
func (r *Replica) Propose(ctx context.Context, kind camphorhinge.CommandKind, command []byte) ([]byte, error) {
	const op = "propose"
	switch {
	case ctx.Err() != nil:
		return nil, canceled(ctx, op)
	case r.machines.machines[kind] == nil:
		return nil, failure(op, KindRefused, "unknown command kind %d", kind)
	case len(command) > MaxCommandBytes:
		return nil, failure(op, KindRefused, "command of %d bytes exceeds the limit of %d", len(command), MaxCommandBytes)
	case r.view.Load().status.Role != consensus.Leader:
		return nil, notLeader(op)
	case r.writer.full.Load() && r.writer.stuck(r.cfg.Clock.Now()):
		return nil, failure(op, KindRefused, "the disk of the leader is full")
	}
	p := proposal{call: newCall(op), data: encodeCommand(kind, 0, command)}
	if err := r.enqueue(op, func(in *inbox) bool { return in.addProposal(p, r.cfg.QueuedBytes) }); err != nil {
		return nil, err
	}
	return p.call.wait(ctx, false)
}

// proposeAll sets the stamps of the queued commands to the wall-clock time and proposes them in batches. Stamps never
// decrease: a wall clock that is behind is corrected to the highest earlier stamp.
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

// awaitEntry registers c to end when the entry at index i is applied. A call that already waits there is from an
// earlier leadership and ends as uncertain.
func (r *Replica) awaitEntry(i camphorhinge.Index, term camphorhinge.Term, c *call) {
	if old := r.pendingProposals[i]; old != nil {
		old.finish(nil, uncertain(old.op, "leadership was lost"))
	}
	c.term = term
	r.pendingProposals[i] = c
}

// apply applies a committed entry and ends the call that waits for it.
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
		// An entry of another leader has replaced the proposal, so it never takes effect.
		c.finish(nil, notLeader(c.op))
		return nil
	}
	c.finish(result, nil)
	return nil
}

// failLostProposals ends, as uncertain, the proposals of a leadership that is over.
func (r *Replica) failLostProposals() {
	s := r.view.Load().status
	for i, c := range r.pendingProposals {
		if s.Role != consensus.Leader || s.Term != c.term {
			delete(r.pendingProposals, i)
			c.finish(nil, uncertain(c.op, "leadership was lost"))
		}
	}
}

// Barrier returns once this replica, as the leader, has applied all entries that were committed before the call. It
// relies on the lease or, without a valid one, on a heartbeat round.
func (r *Replica) Barrier(ctx context.Context) error {
	const op = "barrier"
	if ctx.Err() != nil {
		return canceled(ctx, op)
	}
	// The clock is read before the view. If the lease is valid at that time, no later leader has committed an entry by
	// then. The view's commit index covers all proposals that had ended by then, since it is published before they end.
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

// startRead starts a read under the lease, or with a heartbeat round if there is no valid lease.
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

// confirmRead continues a read after its heartbeat round.
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

// finishReads ends the reads whose index is applied. A read under the lease is started again if the lease has expired.
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

// failAllCalls closes the inbox and ends all calls after the loop has ended. Proposals passed to the Core are
// uncertain.
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
