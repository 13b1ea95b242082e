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
	// maxCommand bounds one command, in bytes; it fits into one frame of the log and one message.
	maxCommand = 4 << 20
	// proposeBytes bounds the commands that are proposed to the Core in one call.
	proposeBytes = 1 << 20
	// transferPoll is how often Transfer looks whether leadership has moved.
	transferPoll = 10 * time.Millisecond
)

// States of a call: whoever moves it out of callQueued decides whether it has an effect.
const (
	callQueued int32 = iota
	callTaken
	callGivenUp
)

// call is a request that waits for the loop.
type call struct {
	op    string
	state atomic.Int32
	done  chan outcome

	// The fields below belong to the loop: the entry's term of a proposal, and the index that a read needs.
	term   camphorhinge.Term
	index  camphorhinge.Index
	leased bool
}

type outcome struct {
	result []byte
	err    error
}

func newCall(op string) *call { return &call{op: op, done: make(chan outcome, 1)} }

// take reports whether the loop may act on the call; it is false when the caller gave up before.
func (c *call) take() bool { return c.state.CompareAndSwap(callQueued, callTaken) }

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
	r.signal()
	return nil
}

// act queues a function for the loop, which runs it unless the caller has given up.
func (r *Replica) act(c *call, run func(now camphorhinge.Instant)) error {
	return r.enqueue(c.op, func(in *inbox) bool {
		if len(in.actions) >= maxQueued {
			return false
		}
		in.actions = append(in.actions, action{call: c, run: run})
		return true
	})
}

// inform queues a function for the loop that no caller waits for; it is lost when the replica stops.
func (r *Replica) inform(run func(now camphorhinge.Instant)) {
	r.mu.Lock()
	r.inbox.actions = append(r.inbox.actions, action{run: run})
	r.mu.Unlock()
	r.signal()
}

// wait returns the call's outcome. A proposal that is given up after the loop took it is uncertain; a read has no effect.
func (c *call) wait(ctx context.Context, read bool) ([]byte, error) {
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	if c.state.CompareAndSwap(callQueued, callGivenUp) || read {
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
	case len(command) > maxCommand:
		return nil, failure(op, KindRefused, "command of %d bytes, at most %d", len(command), maxCommand)
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
	stamp := max(r.stamp, r.machines.stamp, r.cfg.Wall())
	r.stamp = stamp
	for len(ps) > 0 {
		var calls []*call
		var data [][]byte
		size := 0
		for len(ps) > 0 && (size == 0 || size+len(ps[0].data) <= proposeBytes) {
			p := ps[0]
			ps = ps[1:]
			if !p.call.take() {
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
				c.finish(nil, refused(c.op, err))
				continue
			}
			r.await(first+camphorhinge.Index(i), term, c)
		}
	}
}

// await answers c once the entry at index i is applied. A call that still waits there is of a lost leadership.
func (r *Replica) await(i camphorhinge.Index, term camphorhinge.Term, c *call) {
	if old := r.waiting[i]; old != nil {
		old.finish(nil, uncertain(old.op, "leadership was lost"))
	}
	c.term = term
	r.waiting[i] = c
}

// apply applies a committed entry and answers the call that waits for it.
func (r *Replica) apply(e consensus.Entry) error {
	result, err := r.machines.apply(e)
	if err != nil {
		return err
	}
	r.sinceBytes += len(e.Data)
	c := r.waiting[e.Index]
	if c == nil {
		return nil
	}
	delete(r.waiting, e.Index)
	if c.term != e.Term {
		// Another leader's entry took the place, so this one never takes effect.
		c.finish(nil, notLeader(c.op))
		return nil
	}
	c.finish(result, nil)
	return nil
}

// loseCalls ends the proposals of a leadership that is over.
func (r *Replica) loseCalls() {
	s := r.view.Load().status
	for i, c := range r.waiting {
		if s.Role != consensus.Leader || s.Term != c.term {
			delete(r.waiting, i)
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
	if v.leased && now < v.end && v.settled && v.applied >= v.status.Commit {
		if term, ok := r.Authority(); ok && term == v.status.Term {
			return nil
		}
	}
	c := newCall(op)
	if err := r.act(c, func(now camphorhinge.Instant) { r.startRead(now, c) }); err != nil {
		return err
	}
	_, err := c.wait(ctx, true)
	return err
}

func (r *Replica) startRead(now camphorhinge.Instant, c *call) {
	if i, ok := r.core.LeaseRead(now); ok {
		c.index, c.leased = i, true
		r.applying = append(r.applying, c)
		return
	}
	c.leased = false
	r.readSeq++
	if err := r.core.ReadIndex(now, r.readSeq); err != nil {
		c.finish(nil, refused(c.op, err))
		return
	}
	r.reads[r.readSeq] = c
}

func (r *Replica) confirmRead(s consensus.ReadState) {
	c := r.reads[s.ID]
	delete(r.reads, s.ID)
	if s.Failed {
		c.finish(nil, notLeader(c.op))
		return
	}
	c.index = s.Index
	r.applying = append(r.applying, c)
}

// releaseReads ends the reads whose index is applied; the lease is checked again.
func (r *Replica) releaseReads() {
	if len(r.applying) == 0 {
		return
	}
	waiting := r.applying
	r.applying = nil
	now := r.cfg.Clock.Now()
	for _, c := range waiting {
		if c.index > r.machines.applied {
			r.applying = append(r.applying, c)
			continue
		}
		if _, ok := r.core.Lease(now); c.leased && !ok {
			r.startRead(now, c)
			continue
		}
		c.finish(nil, nil)
	}
}

// shut ends all calls when the loop has ended.
func (r *Replica) shut() {
	r.mu.Lock()
	in := r.inbox
	r.inbox = inbox{}
	r.mu.Unlock()
	for _, p := range in.proposals {
		if p.call.take() {
			p.call.finish(nil, stopped(p.call.op))
		}
	}
	for _, c := range r.waiting {
		c.finish(nil, uncertain(c.op, "the replica stopped"))
	}
	for _, c := range r.reads {
		c.finish(nil, stopped(c.op))
	}
	for _, c := range r.applying {
		c.finish(nil, stopped(c.op))
	}
	for _, a := range in.actions {
		if a.call != nil && a.call.take() {
			a.call.finish(nil, stopped(a.call.op))
		}
	}
	r.view.Store(&view{status: consensus.Status{ID: r.id}})
}
