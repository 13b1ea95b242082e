package consensus

import (
	"bytes"
	"encoding/json"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"example.org/camphorhinge"
)

const registerCount = 3

// checker checks the invariants of the package on the replicas of a simulation.
type checker struct {
	sim *simulation
	// leaders holds the leader of each term, committed the first entry that a replica committed at each index.
	leaders   map[camphorhinge.Term]camphorhinge.ReplicaID
	committed []Entry
	// states holds the state of a machine after each index.
	states  map[camphorhinge.Index]registers
	history []porcupine.Operation
	clock   int64
}

func newChecker(sim *simulation) checker {
	return checker{
		sim: sim, leaders: make(map[camphorhinge.Term]camphorhinge.ReplicaID), states: make(map[camphorhinge.Index]registers),
	}
}

// checkLeader checks that each term has at most one leader, and that a new leader has all committed entries.
func (c *checker) checkLeader(n *node) {
	if n.core.role != Leader {
		return
	}
	term := n.core.hard.Term
	if id, ok := c.leaders[term]; ok {
		if id != n.id {
			c.sim.fail("replicas %d and %d lead in term %d", id, n.id, term)
		}
		return
	}
	c.leaders[term] = n.id
	c.sim.stats.leaders++
	// A leader of a later term may have been elected, and have committed entries, before this one received its votes.
	for t := range c.leaders {
		if t > term {
			return
		}
	}
	for _, e := range c.committed {
		if e.Index > n.core.log.prev.Index && !n.core.log.matches(e.Index, e.Term) {
			c.sim.fail("leader %d of term %d lacks committed entry %d of term %d", n.id, term, e.Index, e.Term)
			return
		}
	}
}

// checkLeases checks that at most one replica holds a valid lease. Paused replicas count, since they may resume at any
// time.
func (c *checker) checkLeases() {
	var holder *node
	for _, id := range c.sim.order {
		n := c.sim.nodes[id]
		if !n.up {
			continue
		}
		if _, ok := n.core.Lease(n.now()); !ok {
			continue
		}
		if holder != nil {
			c.sim.fail("replicas %d and %d hold valid leases in terms %d and %d", holder.id, n.id,
				holder.core.hard.Term, n.core.hard.Term)
			return
		}
		holder = n
	}
}

// checkCommitted checks that replicas commit equal entries at each index, in order.
func (c *checker) checkCommitted(n *node, e Entry) {
	switch at := int(e.Index) - 1; {
	case at == len(c.committed):
		c.committed = append(c.committed, e)
	case at > len(c.committed):
		c.sim.fail("replica %d commits entry %d after %d", n.id, e.Index, len(c.committed))
	default:
		if have := c.committed[at]; have.Term != e.Term || have.Kind != e.Kind || !bytes.Equal(have.Data, e.Data) {
			c.sim.fail("replica %d commits entry %d of term %d in place of one of term %d", n.id, e.Index, e.Term, have.Term)
		}
	}
}

// checkState checks that machines which have applied the same entries have equal states.
func (c *checker) checkState(n *node, i camphorhinge.Index) {
	if want, ok := c.states[i]; ok && want != n.machine {
		c.sim.fail("replica %d has state %v after entry %d, another replica has %v", n.id, n.machine, i, want)
	}
	c.states[i] = n.machine
}

// checkLogs checks the log matching property for all pairs of replicas: if two logs have an entry of equal index and
// term, all earlier entries are equal as well.
func (c *checker) checkLogs() {
	for i, a := range c.sim.order {
		for _, b := range c.sim.order[i+1:] {
			x, y := c.sim.nodes[a], c.sim.nodes[b]
			if x.core == nil || y.core == nil {
				continue
			}
			l, m, equal := &x.core.log, &y.core.log, false
			for at := min(l.last(), m.last()); at > max(l.prev.Index, m.prev.Index); at-- {
				e, f := l.slice(at, at)[0], m.slice(at, at)[0]
				same := e.Term == f.Term
				if equal && !same || same && !bytes.Equal(e.Data, f.Data) {
					c.sim.fail("logs of replicas %d and %d differ at %d, below an equal entry", a, b, at)
					return
				}
				equal = same
			}
		}
	}
}

// registers is the replicated machine: a few compare-and-set registers.
type registers struct{ values [registerCount]int }

// command is an operation on one register; Kind is read, write or swap.
type command struct {
	Key  int
	Kind string
	Old  int
	New  int
}

// output is the result of a command: the value after it and whether it was stored.
type output struct {
	Value   int
	Swapped bool
}

func (r *registers) apply(x command) output {
	if x.Kind == "read" {
		return output{Value: r.values[x.Key]}
	}
	if x.Kind == "swap" && r.values[x.Key] != x.Old {
		return output{Value: r.values[x.Key]}
	}
	r.values[x.Key] = x.New
	return output{Value: x.New, Swapped: true}
}

func (r *registers) snapshot() []byte {
	b, err := json.Marshal(r.values)
	if err != nil {
		panic(err)
	}
	return b
}

func (r *registers) restore(b []byte) {
	r.values = [registerCount]int{}
	if len(b) == 0 {
		return
	}
	if err := json.Unmarshal(b, &r.values); err != nil {
		panic(err)
	}
}

// applyEntry applies a committed entry and ends the operation that waits for it.
func (n *node) applyEntry(e Entry) {
	n.sim.checks.checkCommitted(n, e)
	o := n.waiting[e.Index]
	delete(n.waiting, e.Index)
	if e.Kind != EntryCommand {
		if o != nil {
			o.endWithoutEffect()
		}
		return
	}
	var x command
	if err := json.Unmarshal(e.Data, &x); err != nil {
		n.sim.fail("entry %d: %v", e.Index, err)
		return
	}
	got := n.machine.apply(x)
	n.sim.checks.checkState(n, e.Index)
	switch {
	case o == nil:
	case o.term == e.Term:
		o.finish(got)
	default:
		o.endWithoutEffect()
	}
}

// client runs operations one after another.
type client struct {
	sim      *simulation
	id       int
	lastSeen [registerCount]int
	next     int
}

// operation is one call of a client.
type operation struct {
	c     *client
	input command
	call  int64
	term  camphorhinge.Term
	ended bool
}

// scheduleNext starts the next operation after a random delay.
func (c *client) scheduleNext() {
	c.sim.after(c.sim.between(10*time.Millisecond, 120*time.Millisecond), c.beginOperation)
}

// beginOperation sends the next operation to a replica whose role is Leader; there may be several.
func (c *client) beginOperation() {
	sim := c.sim
	var leaders []*node
	for _, id := range sim.order {
		if n := sim.nodes[id]; n.up && n.core.role == Leader {
			leaders = append(leaders, n)
		}
	}
	if len(leaders) == 0 || sim.clientsPaused || sim.elapsed > simulatedTime {
		c.scheduleNext()
		return
	}
	n := leaders[sim.random.IntN(len(leaders))]
	c.next++
	x := command{Key: sim.random.IntN(registerCount), Kind: "read"}
	if p := sim.random.Float64(); p < 0.3 {
		x.Kind, x.New = "write", c.id*1_000_000+c.next
	} else if p < 0.6 {
		x.Kind, x.Old, x.New = "swap", c.lastSeen[x.Key], c.id*1_000_000+c.next
	}
	sim.checks.clock++
	o := &operation{c: c, input: x, call: sim.checks.clock}
	sim.after(2*time.Second, o.endUncertain)
	sim.runOn(n, sim.between(100*time.Microsecond, 3*time.Millisecond), func() { o.submit(n) })
}

func (o *operation) submit(n *node) {
	switch {
	case o.ended:
	case o.input.Kind != "read":
		b, err := json.Marshal(o.input)
		if err != nil {
			panic(err)
		}
		first, term, err := n.core.Propose(n.now(), [][]byte{b})
		if err != nil {
			o.endWithoutEffect()
			return
		}
		o.term = term
		n.waiting[first] = o
	case n.sim.fault == faultUncheckedRead:
		o.finish(n.machine.apply(o.input))
	default:
		// The applied index may lag behind the commit index, so a lease read checks that as well.
		if i, ok := n.core.LeaseRead(n.now()); ok && i <= n.core.applied {
			o.finish(n.machine.apply(o.input))
			return
		}
		n.readSeq++
		if err := n.core.ReadIndex(n.now(), n.readSeq); err != nil {
			o.endWithoutEffect()
			return
		}
		n.reads[n.readSeq] = o
	}
}

func (o *operation) finishRead(n *node, s ReadState) {
	switch {
	case s.Failed:
		o.endWithoutEffect()
	case s.Index <= n.core.applied:
		o.finish(n.machine.apply(o.input))
	default:
		n.sim.runOn(n, 5*time.Millisecond, func() { o.finishRead(n, s) })
	}
}

func (o *operation) record(returned int64, out output) {
	c := &o.c.sim.checks
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: o.input, Call: o.call, Output: out, Return: returned,
	})
}

// markEnded marks the operation as ended. It returns false if the operation had ended before.
func (o *operation) markEnded() bool {
	if o.ended {
		return false
	}
	o.ended = true
	o.c.scheduleNext()
	return true
}

func (o *operation) finish(out output) {
	if o.markEnded() {
		c := &o.c.sim.checks
		c.clock++
		o.record(c.clock, out)
		o.c.lastSeen[o.input.Key] = out.Value
		o.c.sim.stats.done++
	}
}

// endWithoutEffect ends an operation that has not taken effect and never will.
func (o *operation) endWithoutEffect() { o.markEnded() }

// endUncertain ends an operation whose effect is unknown: it may take effect at any later time, or never.
func (o *operation) endUncertain() {
	if o.markEnded() && o.input.Kind != "read" {
		o.record(math.MaxInt64, output{Value: -1})
		o.c.sim.stats.uncertain++
	}
}

// registerModel returns the sequential specification of a register. An output with value -1 matches any result.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, registerCount)
			for _, o := range history {
				k := o.Input.(command).Key
				parts[k] = append(parts[k], o)
			}
			return parts
		},
		Init: func() any { return 0 },
		Step: func(state, input, out any) (bool, any) {
			x, want := input.(command), out.(output)
			var r registers
			r.values[x.Key] = state.(int)
			got := r.apply(x)
			return want.Value == -1 || got == want, r.values[x.Key]
		},
	}
}
