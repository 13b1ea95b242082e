package replica

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	camphorhinge "example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/disk"
	"example.org/camphorhinge/internal/state/wal"
)

// wire passes messages between the replicas of one process at once, in order for each pair of replicas.
type wire struct {
	mu   sync.RWMutex
	to   map[camphorhinge.ReplicaID]*Replica
	work *errgroup.Group
}

// port is the Transport of one replica.
type port struct {
	w *wire
	// lines queue the messages to each other replica.
	mu    sync.Mutex
	lines map[camphorhinge.ReplicaID]chan []consensus.Message
}

func (p *port) Send(to camphorhinge.ReplicaID, messages []consensus.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := p.lines[to]
	if line == nil {
		line = make(chan []consensus.Message, 1024)
		p.lines[to] = line
		p.w.work.Go(func() error {
			for m := range line {
				p.w.mu.RLock()
				r := p.w.to[to]
				p.w.mu.RUnlock()
				if r != nil {
					_ = r.Receive(context.Background(), m) // A stopped replica takes nothing.
				}
			}
			return nil
		})
	}
	select {
	case line <- messages:
	default: // Transports may drop messages.
	}
}

func (*port) SendChunk(context.Context, camphorhinge.ReplicaID, Chunk) error { return nil }

// null is a machine that keeps nothing, so that the benchmark measures the commit alone.
type null struct{}

func (null) Apply(camphorhinge.Entry, []byte) []byte { return nil }
func (null) Snapshot() ([]byte, error)               { return nil, nil }
func (null) Restore([]byte) error                    { return nil }

type monotonic struct{ start time.Time }

func (c monotonic) Now() camphorhinge.Instant { return camphorhinge.Instant(time.Since(c.start)) }

// BenchmarkCommit proposes commands of 300 bytes to three voters with files of the operating system and real syncs, in the
// folder that TMPDIR names. Messages are passed within the process, so no network is in the result.
func BenchmarkCommit(b *testing.B) {
	for _, workers := range []int{1, 16, 128, 1024} {
		b.Run(fmt.Sprintf("%d at once", workers), func(b *testing.B) { benchmarkCommit(b, workers) })
	}
}

func benchmarkCommit(b *testing.B, workers int) {
	ctx, cancel := context.WithCancel(context.Background())
	var running, deliveries errgroup.Group
	w := &wire{to: map[camphorhinge.ReplicaID]*Replica{}, work: &deliveries}
	var ports []*port
	var logs []*wal.Log
	add := func(start Start) *Replica {
		folder, err := disk.Open(b.TempDir())
		require.NoError(b, err)
		log, err := Open(folder, wal.Config{}, start)
		require.NoError(b, err)
		p := &port{w: w, lines: map[camphorhinge.ReplicaID]chan []consensus.Message{}}
		r, err := New(Config{
			Storage: log, Transport: p, Clock: monotonic{time.Now()}, Wall: func() int64 { return time.Now().UnixMilli() },
			Machines: map[camphorhinge.CommandKind]camphorhinge.Machine{testKind: null{}},
			Seed:     uint64(len(logs)), Log: slog.New(slog.DiscardHandler),
		})
		require.NoError(b, err)
		w.mu.Lock()
		w.to[log.Identity().Replica] = r
		w.mu.Unlock()
		ports, logs = append(ports, p), append(logs, log)
		running.Go(func() error { return r.Run(ctx) })
		return r
	}
	defer func() {
		cancel()
		require.NoError(b, running.Wait())
		for _, p := range ports {
			p.mu.Lock()
			for _, line := range p.lines {
				close(line)
			}
			p.mu.Unlock()
		}
		_ = deliveries.Wait() // The functions return no error.
		for _, log := range logs {
			require.NoError(b, log.Close())
		}
	}()
	lead := add(Start{Bootstrap: true, Address: "first:1"})
	require.Eventually(b, func() bool { return lead.Barrier(ctx) == nil }, 20*time.Second, 10*time.Millisecond)
	for range 2 {
		add(Start{Join: logs[0].Identity().Cluster})
		id := logs[len(logs)-1].Identity().Replica
		require.Eventually(b, func() bool {
			m, ok := lead.Membership().Find(id)
			switch {
			case !ok:
				_ = lead.AddLearner(ctx, id, "new:1") // Tried again.
			case !m.Voter:
				_ = lead.Promote(ctx, id) // Tried again.
			}
			return ok && m.Voter
		}, 20*time.Second, 10*time.Millisecond)
	}

	command := make([]byte, 300)
	var next atomic.Int64
	var mu sync.Mutex
	took := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	b.ResetTimer()
	var g errgroup.Group
	for range workers {
		g.Go(func() error {
			for next.Add(1) <= int64(b.N) {
				started := time.Now()
				if _, err := lead.Propose(ctx, testKind, command); err != nil {
					return err
				}
				mu.Lock()
				_ = took.RecordValue(time.Since(started).Microseconds()) // Longer ones fail the call before.
				mu.Unlock()
			}
			return nil
		})
	}
	require.NoError(b, g.Wait())
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-us")
}
