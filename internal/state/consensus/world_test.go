package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// driverFault is a deliberate mistake of the test's driver. The checks must catch each of them.
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
	compactEntries = 40
	keepEntries    = 10
	simulated      = 30 * time.Second
	// settleTime is the part of the run without faults at its end, in which the group has to recover.
	settleTime = 6 * time.Second
)

// event is a function to run at a virtual time; on is nil or the node that runs it.
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

// link names one direction between two nodes.
type link struct{ from, to camphorhinge.ReplicaID }

// world runs replicas in virtual time over a faulty network and faulty disks, all drawn from one seed.
type world struct {
	random *rand.Rand
	fault  driverFault
	queue  eventQueue
	seq    uint64
	at     time.Duration
	nodes  map[camphorhinge.ReplicaID]*node
	order  []camphorhinge.ReplicaID
	nextID camphorhinge.ReplicaID
	cuts   map[link]bool
	loss   float64
	calm   bool
	// quiet is true while clients send nothing.
	quiet bool
	// lost is the replica whose disk was destroyed and which is not yet removed from the group.
	lost camphorhinge.ReplicaID

	violation error
	checks    checker
	clients   []*client
	stats     struct{ leaders, snapshots, changes, transfers, crashes, uncertain, done int }
}

// stored is a pending or durable disk content.
type stored struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (s *stored) apply(r Ready) {
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

type node struct {
	w    *world
	id   camphorhinge.ReplicaID
	core *Core
	// life counts restarts; events of an earlier life are dropped.
	life     int
	up       bool
	dead     bool
	paused   bool
	deferred []func()
	rate     float64
	offset   time.Duration

	disk    stored
	unsaved []Ready
	syncing bool

	machine registers
	waiting map[camphorhinge.Index]*operation
	reads   map[uint64]*operation
	readSeq uint64
}

func newWorld(seed uint64, fault driverFault) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), fault: fault, nodes: make(map[camphorhinge.ReplicaID]*node),
		cuts: make(map[link]bool), nextID: 1, loss: 0.01,
	}
	w.checks = newChecker(w)
	var m Membership
	for range 3 {
		m = m.with(Member{ID: w.nextID, Voter: true})
		w.addNode()
	}
	for _, id := range w.order {
		n := w.nodes[id]
		n.disk.hard, n.disk.entries = Bootstrap(m)
		n.start()
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf("at %v: %s", w.at, fmt.Sprintf(format, args...))
	}
}

func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.random.Int64N(int64(hi-lo)))
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.at + d, seq: w.seq, run: run})
}

// on runs f in the present life of n after d, later while n is paused, and never after a crash.
func (w *world) on(n *node, d time.Duration, f func()) {
	life := n.life
	var run func()
	run = func() {
		switch {
		case n.life != life || !n.up:
		case n.paused:
			n.deferred = append(n.deferred, run)
		default:
			f()
			n.pump()
		}
	}
	w.after(d, run)
}

// run processes events until the virtual time end or the first violation.
func (w *world) run(end time.Duration) {
	for w.violation == nil && len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.at = e.at
		e.run()
		w.checks.leases()
	}
}

func (w *world) addNode() *node {
	// The rates of any two clocks differ by at most 10 %.
	rates := []float64{0.954, 1, 1.049}
	if w.fault == faultClockDrift {
		rates = []float64{0.5, 1.5}
	}
	n := &node{w: w, id: w.nextID, rate: rates[w.random.IntN(len(rates))], offset: w.between(0, time.Hour)}
	w.nextID++
	w.nodes[n.id] = n
	w.order = append(w.order, n.id)
	return n
}

func (n *node) now() camphorhinge.Instant {
	return camphorhinge.Instant(n.offset + time.Duration(n.rate*float64(n.w.at)))
}

// start creates the Core from the disk.
func (n *node) start() {
	n.life++
	n.up, n.paused, n.syncing = true, false, false
	n.deferred, n.unsaved = nil, nil
	n.waiting, n.reads = make(map[camphorhinge.Index]*operation), make(map[uint64]*operation)
	cfg := Config{
		ID: n.id, Now: n.now(), Seed: n.w.random.Uint64(), Timing: DefaultTiming(), Limits: DefaultLimits(),
		HardState: n.disk.hard, Snapshot: n.disk.snapshot.SnapshotMeta, Entries: slices.Clone(n.disk.entries),
	}
	cfg.Limits.MessageEntries, cfg.Limits.Inflight, cfg.Limits.PromoteLag = 8, 4, 8
	core, err := New(cfg)
	if err != nil {
		n.w.fail("replica %d does not start: %v", n.id, err)
		n.up = false
		return
	}
	if n.w.fault == faultNoRestartWait {
		core.started -= camphorhinge.Instant(time.Hour)
	}
	if n.w.fault == faultFalseFormer {
		core.led = core.hard.Term
		core.resetFirst()
	}
	n.core = core
	n.machine.restore(n.disk.snapshot.Data)
	n.tick()
}

func (n *node) tick() {
	n.w.on(n, n.w.between(45*time.Millisecond, 55*time.Millisecond), n.tick)
	n.core.Tick(n.now())
	if n.w.at > 0 {
		n.pump()
	}
}

// crash stops the replica; of the unsynced writes a random prefix survives.
func (n *node) crash() {
	n.up = false
	n.w.stats.crashes++
	for _, o := range n.waiting {
		o.uncertain()
	}
	for _, o := range n.reads {
		o.uncertain()
	}
	n.waiting, n.reads = nil, nil
	keep := n.w.random.IntN(len(n.unsaved) + 1)
	for _, r := range n.unsaved[:keep] {
		n.disk.apply(r)
	}
	if keep < len(n.unsaved) && n.w.chance(0.5) {
		// A torn write leaves the hard state and some of the entries.
		r := n.unsaved[keep]
		if r.Snapshot == nil {
			r.Entries = r.Entries[:n.w.random.IntN(len(r.Entries)+1)]
			n.disk.apply(r)
		}
	}
}

// pump does what the Core asks for.
func (n *node) pump() {
	for n.w.violation == nil {
		n.w.checks.leader(n)
		r := n.core.Ready()
		if r.Empty() {
			return
		}
		if r.Write > 0 {
			n.unsaved = append(n.unsaved, r)
			n.sync()
			if n.w.fault == faultAckBeforeSync {
				n.core.Synced(n.now(), r.Write)
			}
		}
		if r.Snapshot != nil && n.w.fault != faultSkipRestore {
			n.machine.restore(r.Snapshot.Data)
		}
		for _, m := range r.Messages {
			n.w.transmit(m)
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
				o.answerRead(n, s)
			}
		}
		n.compact()
	}
}

// sync makes the writes that are pending at its start durable after a while.
func (n *node) sync() {
	if n.syncing {
		return
	}
	n.syncing = true
	d := n.w.between(100*time.Microsecond, 3*time.Millisecond)
	if n.w.chance(0.03) {
		d = n.w.between(50*time.Millisecond, 400*time.Millisecond)
	}
	count, last := len(n.unsaved), n.unsaved[len(n.unsaved)-1].Write
	n.w.on(n, d, func() {
		for _, r := range n.unsaved[:count] {
			n.disk.apply(r)
		}
		n.unsaved = n.unsaved[count:]
		n.syncing = false
		n.core.Synced(n.now(), last)
		if len(n.unsaved) > 0 {
			n.sync()
		}
	})
}

func (n *node) compact() {
	applied := n.core.applied
	if applied < n.disk.snapshot.Index+compactEntries {
		return
	}
	meta, err := n.core.SnapshotMeta(applied)
	if err != nil {
		n.w.fail("replica %d: %v", n.id, err)
		return
	}
	if len(n.unsaved) > 0 && n.unsaved[0].Snapshot != nil {
		return
	}
	n.disk.snapshot = Snapshot{SnapshotMeta: meta, Data: n.machine.snapshot()}
	n.disk.entries = slices.DeleteFunc(slices.Clone(n.disk.entries), func(e Entry) bool { return e.Index <= applied })
	n.core.Compact(meta, applied-keepEntries)
}

// transmit sends m with delay, loss and duplication.
func (w *world) transmit(m Message) {
	encoded := AppendMessage(nil, &m)
	copies := 1
	if !w.calm && w.chance(0.03) {
		copies = 2
	}
	for range copies {
		d := w.between(500*time.Microsecond, 3*time.Millisecond)
		if !w.calm && w.chance(0.03) {
			d = w.between(3*time.Millisecond, 1500*time.Millisecond)
		}
		if w.chance(w.loss) {
			continue
		}
		w.after(d, func() {
			to := w.nodes[m.To]
			if to == nil || !to.up || w.cuts[link{m.From, m.To}] {
				return
			}
			w.on(to, 0, func() {
				got, err := DecodeMessage(encoded)
				if err == nil {
					err = to.core.Step(to.now(), got)
				}
				if err != nil {
					w.fail("replica %d refuses a message: %v", to.id, err)
				}
			})
		})
	}
}

func (n *node) sendSnapshot(r SnapshotRequest) {
	w, s, to := n.w, n.disk.snapshot, n.w.nodes[r.To]
	w.stats.snapshots++
	ok := to != nil && !w.chance(0.2)
	w.on(n, w.between(5*time.Millisecond, 200*time.Millisecond), func() {
		n.core.SnapshotSent(n.now(), r, s.Index, ok)
	})
	if !ok {
		return
	}
	w.after(w.between(5*time.Millisecond, 300*time.Millisecond), func() {
		if !to.up || w.cuts[link{n.id, to.id}] {
			return
		}
		w.on(to, 0, func() {
			if err := to.core.InstallSnapshot(to.now(), n.id, r.Term, s); err != nil {
				w.fail("replica %d refuses a snapshot: %v", to.id, err)
			}
		})
	})
}
