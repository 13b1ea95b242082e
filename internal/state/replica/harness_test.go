package replica

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/disk"
	"example.org/camphorhinge/internal/state/wal"
)

const testKind = camphorhinge.CommandRecord

// journal is a machine that keeps all commands in order.
type journal struct {
	mu    sync.Mutex
	lines []string
	stamp int64
}

func (j *journal) Apply(e camphorhinge.Entry, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, string(command))
	j.stamp = e.Stamp
	return []byte("applied " + string(command))
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return json.Marshal(j.lines)
}

func (j *journal) Restore(b []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = nil
	return json.Unmarshal(b, &j.lines)
}

func (j *journal) read() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.lines)
}

// bubbleClock is the fake time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() camphorhinge.Instant { return camphorhinge.Instant(time.Since(c.start)) }

// vm is one replica with its disk, which survives stop and start.
type vm struct {
	l       *lab
	disk    *disk.Memory
	log     *wal.Log
	id      camphorhinge.ReplicaID
	r       *Replica
	machine *journal
	cancel  context.CancelFunc
	group   *errgroup.Group
	// err is what Run returned last.
	err   error
	hooks []string
	// seen is the number of lines in the machine when OnLeader was called last.
	seen int
}

// lab is a group of replicas in one synctest bubble, over a network with a delay of 1.5 ms.
type lab struct {
	t     *testing.T
	clock bubbleClock
	mu    sync.Mutex
	vms   map[camphorhinge.ReplicaID]*vm
	cut   map[camphorhinge.ReplicaID]bool
	// chunks counts delivered parts of snapshots.
	chunks int
	// snapshotEntries is passed to New.
	snapshotEntries int
	// syncTime is how long each sync takes; syncs counts those of all replicas.
	syncTime time.Duration
	syncs    atomic.Int64
}

// slowLog takes virtual time for each sync.
type slowLog struct {
	*wal.Log
	l *lab
}

func (s slowLog) Sync() error {
	s.l.syncs.Add(1)
	time.Sleep(s.l.syncTime)
	return s.Log.Sync()
}

func newLab(t *testing.T) *lab {
	t.Helper()
	return &lab{
		t: t, clock: bubbleClock{start: time.Now()}, vms: make(map[camphorhinge.ReplicaID]*vm),
		cut: make(map[camphorhinge.ReplicaID]bool),
	}
}

// connected returns the receiver when the link and both ends work.
func (l *lab) connected(from, to camphorhinge.ReplicaID) *Replica {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.vms[to]
	if v == nil || v.r == nil || l.cut[from] || l.cut[to] {
		return nil
	}
	return v.r
}

// observed returns the number of delivered parts of snapshots, and what OnLeader of v saw last.
func (l *lab) observed(v *vm) (chunks, seen int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chunks, v.seen
}

func (l *lab) setCut(id camphorhinge.ReplicaID, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[id] = cut
}

// link is the Transport of one replica.
type link struct {
	l    *lab
	from camphorhinge.ReplicaID
}

func (k link) Send(to camphorhinge.ReplicaID, messages []consensus.Message) {
	encoded := make([][]byte, len(messages))
	for i := range messages {
		encoded[i] = consensus.AppendMessage(nil, &messages[i])
	}
	time.AfterFunc(1500*time.Microsecond, func() {
		r := k.l.connected(k.from, to)
		if r == nil {
			return
		}
		var ms []consensus.Message
		for _, b := range encoded {
			m, err := consensus.DecodeMessage(b)
			if err != nil {
				k.l.t.Errorf("message: %v", err)
			}
			ms = append(ms, m)
		}
		_ = r.Receive(context.Background(), ms) // A stopped replica takes nothing.
	})
}

func (k link) SendChunk(ctx context.Context, to camphorhinge.ReplicaID, c Chunk) error {
	time.Sleep(3 * time.Millisecond)
	r := k.l.connected(k.from, to)
	if r == nil {
		return errors.New("unreachable")
	}
	k.l.mu.Lock()
	k.l.chunks++
	k.l.mu.Unlock()
	c.Data = slices.Clone(c.Data)
	return r.ReceiveChunk(ctx, c)
}

// create makes an empty VM and starts it.
func (l *lab) create(start Start) *vm {
	l.t.Helper()
	v := &vm{l: l, disk: disk.NewMemory()}
	l.open(v, start)
	return v
}

// open starts a VM from its disk.
func (l *lab) open(v *vm, start Start) {
	l.t.Helper()
	log, err := Open(v.disk, wal.Config{}, start)
	require.NoError(l.t, err)
	v.log, v.id, v.machine = log, log.Identity().Replica, &journal{}
	r, err := New(Config{
		Storage: slowLog{log, l}, Transport: link{l, v.id}, Clock: l.clock, Wall: func() int64 { return time.Now().UnixMilli() },
		Machines: map[camphorhinge.CommandKind]camphorhinge.Machine{testKind: v.machine},
		Seed:     uint64(len(l.vms)), Log: slog.New(slog.DiscardHandler), SnapshotEntries: l.snapshotEntries,
		OnLeader: func(camphorhinge.Term) {
			l.mu.Lock()
			defer l.mu.Unlock()
			v.hooks, v.seen = append(v.hooks, "leader"), len(v.machine.read())
		},
		OnFollower: func(camphorhinge.Term) {
			l.mu.Lock()
			defer l.mu.Unlock()
			v.hooks = append(v.hooks, "follower")
		},
	})
	require.NoError(l.t, err)
	l.mu.Lock()
	l.vms[v.id], v.r = v, r
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel, v.group = cancel, new(errgroup.Group)
	v.group.Go(func() error { return r.Run(ctx) })
}

// kill stops a VM and drops what its disk had not synced.
func (v *vm) kill() {
	if v.r == nil {
		return
	}
	v.cancel()
	v.err = v.group.Wait()
	v.l.mu.Lock()
	v.r = nil
	v.l.mu.Unlock()
	_ = v.log.Close() // The log may have failed before.
	v.disk.Crash(nil)
}

// restart starts a killed VM again.
func (v *vm) restart() { v.l.open(v, Start{}) }

// forget takes a VM whose disk is lost out of the lab.
func (v *vm) forget() {
	v.kill()
	v.l.mu.Lock()
	defer v.l.mu.Unlock()
	delete(v.l.vms, v.id)
}

// all returns the running VMs in the order of their ids.
func (l *lab) all() []*vm {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*vm
	for _, id := range slices.Sorted(maps.Keys(l.vms)) {
		if l.vms[id].r != nil {
			out = append(out, l.vms[id])
		}
	}
	return out
}

func (l *lab) stop() {
	for _, v := range l.all() {
		v.kill()
	}
	// Messages under way end before the bubble does.
	time.Sleep(time.Second)
}

// leader waits for a replica with a valid lease that answers a barrier.
func (l *lab) leader() *vm {
	l.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, v := range l.all() {
			if l.answers(v) {
				return v
			}
		}
	}
	for _, v := range l.all() {
		l.t.Logf("replica %d: %+v", v.id, v.r.Status())
	}
	l.t.Fatal("no leader within 10 s")
	return nil
}

// answers reports whether v answers a barrier as the leader.
func (l *lab) answers(v *vm) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, ok := v.r.Authority()
	return ok && v.r.Barrier(ctx) == nil
}

// eventually calls f each 20 ms of virtual time until it returns nil.
func (l *lab) eventually(f func() error) {
	l.t.Helper()
	var err error
	for range 1000 {
		if err = f(); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.NoError(l.t, err, "after 20 s")
}

// enlarge adds a new VM to the group as a learner.
func (l *lab) enlarge() *vm {
	l.t.Helper()
	v := l.create(Start{Join: l.leader().log.Identity().Cluster})
	l.eventually(func() error { return l.leader().r.AddLearner(context.Background(), v.id, "new:1") })
	return v
}

func (l *lab) promote(v *vm) {
	l.t.Helper()
	l.eventually(func() error {
		r := l.leader().r
		if m, ok := r.Membership().Find(v.id); ok && m.Voter {
			return nil
		}
		return r.Promote(context.Background(), v.id)
	})
}

func (l *lab) remove(id camphorhinge.ReplicaID) {
	l.t.Helper()
	l.eventually(func() error {
		r := l.leader().r
		if _, ok := r.Membership().Find(id); !ok {
			return nil
		}
		return r.Remove(context.Background(), id)
	})
}

func (l *lab) repaired() {
	l.t.Helper()
	l.eventually(func() error { return l.leader().r.Repaired(context.Background()) })
}

// three starts a whole group of three voters.
func (l *lab) three() {
	l.t.Helper()
	l.create(Start{Bootstrap: true, Address: "first:1"})
	for range 2 {
		l.promote(l.enlarge())
	}
	l.repaired()
}

// propose commits a command through the current leader.
func (l *lab) propose(command string) {
	l.t.Helper()
	got, err := l.leader().r.Propose(context.Background(), testKind, []byte(command))
	require.NoError(l.t, err)
	require.Equal(l.t, "applied "+command, string(got))
}

// requireEqual waits until all running replicas have the same lines, which hold want in order.
func (l *lab) requireEqual(want []string) {
	l.t.Helper()
	l.eventually(func() error {
		for _, v := range l.all() {
			if got := v.machine.read(); !slices.Equal(got, want) {
				return failure("compare", KindCorrupt, "replica %d has %d lines, want %d", v.id, len(got), len(want))
			}
		}
		return nil
	})
}

func inBubble(t *testing.T, f func(t *testing.T, l *lab)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		defer l.stop()
		f(t, l)
	})
}
