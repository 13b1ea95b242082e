package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// driverFault is a deliberate fault of the simulated driver, which the checks must detect.
type driverFault string

const (
	faultNone          driverFault = ""
	faultAckBeforeSync driverFault = "acknowledges writes before they are synced"
	faultNoRestartWait driverFault = "skips the wait after a restart"
	faultSkipRestore   driverFault = "keeps the machine's old state when a snapshot is installed"
	faultReuseIdentity driverFault = "returns with an empty disk under the old identity"
	faultUncheckedRead driverFault = "reads on a leader without lease or round"
	faultFalseFormer   driverFault = "claims after a restart to have led a term that it only followed"
	faultClockDrift    driverFault = "runs clocks whose rates differ by a factor of three"
)

const (
	// compactEntries is the number of entries applied since the last snapshot at which a new one is taken.
	compactEntries = 40
	// keepEntries is the number of entries kept in memory after a snapshot.
	keepEntries   = 10
	simulatedTime = 30 * time.Second
	// settleTime is the last part of the run. It has no faults, so that the group can recover.
	settleTime = 6 * time.Second
)

// event is a function to run at a virtual time; seq orders events of equal time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// link is one direction of the connection between two nodes.
type link struct{ from, to camphorhinge.ReplicaID }

// simulation runs replicas in virtual time over a faulty network and faulty disks. All random choices derive from one
// seed.
type simulation struct {
	random          *rand.Rand
	fault           driverFault
	queue           eventQueue
	seq             uint64
	elapsed         time.Duration
	nodes           map[camphorhinge.ReplicaID]*node
	order           []camphorhinge.ReplicaID
	nextID          camphorhinge.ReplicaID
	cuts            map[link]bool
	loss            float64
	noNetworkFaults bool
	// clientsPaused is true while clients start no operations.
	clientsPaused bool
	// lostReplica is the replica whose disk was lost and which has not been removed from the group yet, or 0.
	lostReplica camphorhinge.ReplicaID

	violation error
	checks    checker
	clients   []*client
	stats     struct{ leaders, snapshots, changes, transfers, crashes, uncertain, done int }
}

// diskState is the durable content of a disk.
type diskState struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (s *diskState) apply(r Ready) {
	if r.HardState != nil {
		s.hard = *r.HardState
	}
	if r.Snapshot != nil {
		s.snapshot, s.entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e Entry) bool { return e.Index >= first })
		s.entries = append(s.entries, r.Entries...)
	}
}

// node is a simulated replica with its driver, clock and disk.
type node struct {
	sim  *simulation
	id   camphorhinge.ReplicaID
	core *Core
	// incarnation counts starts; events of earlier incarnations are dropped.
	incarnation int
	up          bool
	diskLost    bool
	paused      bool
	// deferred holds the events that became due while the replica was paused.
	deferred []func()
	rate     float64
	offset   time.Duration

	disk     diskState
	unsynced []Ready
	syncing  bool

	machine registers
	waiting map[camphorhinge.Index]*operation
	reads   map[uint64]*operation
	readSeq uint64
}

func newSimulation(seed uint64, fault driverFault) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), fault: fault, nodes: make(map[camphorhinge.ReplicaID]*node),
		cuts: make(map[link]bool), nextID: 1, loss: 0.01,
	}
	sim.checks = newChecker(sim)
	var m Membership
	for range 3 {
		m = m.with(Member{ID: sim.nextID, Voter: true})
		sim.addNode()
	}
	for _, id := range sim.order {
		n := sim.nodes[id]
		n.disk.hard, n.disk.entries = Bootstrap(m)
		n.start()
	}
	return sim
}

// fail records a violation, unless there is one already; the simulation stops at the first one.
func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf("at %v: %s", sim.elapsed, fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.random.Int64N(int64(hi-lo)))
}

func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.elapsed + d, seq: sim.seq, run: run})
}

// runOn runs f on n after d, or when n resumes if it is paused then. It drops f if n crashes before.
func (sim *simulation) runOn(n *node, d time.Duration, f func()) {
	incarnation := n.incarnation
	var run func()
	run = func() {
		switch {
		case n.incarnation != incarnation || !n.up:
		case n.paused:
			n.deferred = append(n.deferred, run)
		default:
			f()
			n.processReady()
		}
	}
	sim.after(d, run)
}

// run processes events until the virtual time end or the first violation.
func (sim *simulation) run(end time.Duration) {
	for sim.violation == nil && len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.elapsed = e.at
		e.run()
		sim.checks.checkLeases()
	}
}

func (sim *simulation) addNode() *node {
	// The rates of any two clocks differ by at most 10 %, as the lease requires.
	rates := []float64{0.954, 1, 1.049}
	if sim.fault == faultClockDrift {
		rates = []float64{0.5, 1.5}
	}
	n := &node{sim: sim, id: sim.nextID, rate: rates[sim.random.IntN(len(rates))], offset: sim.between(0, time.Hour)}
	sim.nextID++
	sim.nodes[n.id] = n
	sim.order = append(sim.order, n.id)
	return n
}

func (n *node) now() camphorhinge.Instant {
	return camphorhinge.Instant(n.offset + time.Duration(n.rate*float64(n.sim.elapsed)))
}

// start creates the Core from the state on disk.
func (n *node) start() {
	n.incarnation++
	n.up, n.paused, n.syncing = true, false, false
	n.deferred, n.unsynced = nil, nil
	n.waiting, n.reads = make(map[camphorhinge.Index]*operation), make(map[uint64]*operation)
	cfg := Config{
		ID: n.id, Now: n.now(), Seed: n.sim.random.Uint64(), Timing: DefaultTiming(), Limits: DefaultLimits(),
		HardState: n.disk.hard, Snapshot: n.disk.snapshot.SnapshotMeta, Entries: slices.Clone(n.disk.entries),
	}
	cfg.Limits.MessageEntries, cfg.Limits.Inflight, cfg.Limits.PromoteLag = 8, 4, 8
	core, err := New(cfg)
	if err != nil {
		n.sim.fail("replica %d does not start: %v", n.id, err)
		n.up = false
		return
	}
	if n.sim.fault == faultNoRestartWait {
		core.started -= camphorhinge.Instant(time.Hour)
	}
	if n.sim.fault == faultFalseFormer {
		core.formerTerm = core.hard.Term
		core.resetDeadlineAfterStart()
	}
	n.core = core
	n.machine.restore(n.disk.snapshot.Data)
	n.tick()
}

func (n *node) tick() {
	n.sim.runOn(n, n.sim.between(45*time.Millisecond, 55*time.Millisecond), n.tick)
	n.core.Tick(n.now())
	if n.sim.elapsed > 0 {
		n.processReady()
	}
}

// crash stops the replica. A random prefix of its unsynced writes survives.
func (n *node) crash() {
	n.up = false
	n.sim.stats.crashes++
	for _, o := range n.waiting {
		o.endUncertain()
	}
	for _, o := range n.reads {
		o.endUncertain()
	}
	n.waiting, n.reads = nil, nil
	keep := n.sim.random.IntN(len(n.unsynced) + 1)
	for _, r := range n.unsynced[:keep] {
		n.disk.apply(r)
	}
	if keep < len(n.unsynced) && n.sim.chance(0.5) {
		// A torn write stores the hard state and some of the entries.
		r := n.unsynced[keep]
		if r.Snapshot == nil {
			r.Entries = r.Entries[:n.sim.random.IntN(len(r.Entries)+1)]
			n.disk.apply(r)
		}
	}
}

// processReady performs the work of each Ready until the Core has no more.
func (n *node) processReady() {
	for n.sim.violation == nil {
		n.sim.checks.checkLeader(n)
		r := n.core.Ready()
		if r.Empty() {
			return
		}
		if r.Write > 0 {
			n.unsynced = append(n.unsynced, r)
			n.sync()
			if n.sim.fault == faultAckBeforeSync {
				n.core.Synced(n.now(), r.Write)
			}
		}
		if r.Snapshot != nil && n.sim.fault != faultSkipRestore {
			n.machine.restore(r.Snapshot.Data)
		}
		for _, m := range r.Messages {
			n.sim.transmit(m)
		}
		for _, e := range r.Committed {
			n.applyEntry(e)
		}
		for _, s := range r.SendSnapshots {
			n.sendSnapshot(s)
		}
		for _, s := range r.Reads {
			if o := n.reads[s.ID]; o != nil {
				delete(n.reads, s.ID)
				o.finishRead(n, s)
			}
		}
		n.compact()
	}
}

// sync makes the writes that are pending when it starts durable after a random delay.
func (n *node) sync() {
	if n.syncing {
		return
	}
	n.syncing = true
	d := n.sim.between(100*time.Microsecond, 3*time.Millisecond)
	if n.sim.chance(0.03) {
		d = n.sim.between(50*time.Millisecond, 400*time.Millisecond)
	}
	count, last := len(n.unsynced), n.unsynced[len(n.unsynced)-1].Write
	n.sim.runOn(n, d, func() {
		for _, r := range n.unsynced[:count] {
			n.disk.apply(r)
		}
		n.unsynced = n.unsynced[count:]
		n.syncing = false
		n.core.Synced(n.now(), last)
		if len(n.unsynced) > 0 {
			n.sync()
		}
	})
}

// compact stores a snapshot once enough entries have been applied since the last one.
func (n *node) compact() {
	applied := n.core.applied
	if applied < n.disk.snapshot.Index+compactEntries {
		return
	}
	meta, err := n.core.SnapshotMeta(applied)
	if err != nil {
		n.sim.fail("replica %d: %v", n.id, err)
		return
	}
	if len(n.unsynced) > 0 && n.unsynced[0].Snapshot != nil {
		return
	}
	n.disk.snapshot = Snapshot{SnapshotMeta: meta, Data: n.machine.snapshot()}
	n.disk.entries = slices.DeleteFunc(slices.Clone(n.disk.entries), func(e Entry) bool { return e.Index <= applied })
	n.core.Compact(meta, applied-keepEntries)
}

// transmit sends m with random delay, loss and duplication.
func (sim *simulation) transmit(m Message) {
	encoded := AppendMessage(nil, &m)
	copies := 1
	if !sim.noNetworkFaults && sim.chance(0.03) {
		copies = 2
	}
	for range copies {
		d := sim.between(500*time.Microsecond, 3*time.Millisecond)
		if !sim.noNetworkFaults && sim.chance(0.03) {
			d = sim.between(3*time.Millisecond, 1500*time.Millisecond)
		}
		if sim.chance(sim.loss) {
			continue
		}
		sim.after(d, func() {
			to := sim.nodes[m.To]
			if to == nil || !to.up || sim.cuts[link{m.From, m.To}] {
				return
			}
			sim.runOn(to, 0, func() {
				got, err := DecodeMessage(encoded)
				if err == nil {
					err = to.core.Step(to.now(), got)
				}
				if err != nil {
					sim.fail("replica %d refuses a message: %v", to.id, err)
				}
			})
		})
	}
}

// sendSnapshot sends the stored snapshot with a random delay; some of the transfers fail.
func (n *node) sendSnapshot(r SnapshotRequest) {
	sim, s, to := n.sim, n.disk.snapshot, n.sim.nodes[r.To]
	sim.stats.snapshots++
	ok := to != nil && !sim.chance(0.2)
	sim.runOn(n, sim.between(5*time.Millisecond, 200*time.Millisecond), func() {
		n.core.SnapshotSent(n.now(), r, s.Index, ok)
	})
	if !ok {
		return
	}
	sim.after(sim.between(5*time.Millisecond, 300*time.Millisecond), func() {
		if !to.up || sim.cuts[link{n.id, to.id}] {
			return
		}
		sim.runOn(to, 0, func() {
			if err := to.core.InstallSnapshot(to.now(), n.id, r.Term, s); err != nil {
				sim.fail("replica %d refuses a snapshot: %v", to.id, err)
			}
		})
	})
}
