package replica

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/disk"
	"example.org/camphorhinge/internal/state/wal"
)

// directTransport delivers messages to replicas in the same process without delay.
type directTransport struct {
	mu       *sync.Mutex
	replicas map[camphorhinge.ReplicaID]*Replica
}

func (d directTransport) find(id camphorhinge.ReplicaID) *Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicas[id]
}

func (d directTransport) Send(to camphorhinge.ReplicaID, messages []consensus.Message) {
	if r := d.find(to); r != nil {
		_ = r.Receive(context.Background(), messages) // Messages to a full inbox are dropped, as by a network.
	}
}

func (d directTransport) SendChunk(ctx context.Context, to camphorhinge.ReplicaID, c Chunk) error {
	return d.find(to).ReceiveChunk(ctx, c)
}

// startOnDisk runs three voters with data folders on a real file system and returns the leader.
func startOnDisk(b *testing.B) *Replica {
	b.Helper()
	d := directTransport{mu: new(sync.Mutex), replicas: make(map[camphorhinge.ReplicaID]*Replica)}
	ctx, cancel := context.WithCancel(b.Context())
	g := new(errgroup.Group)
	b.Cleanup(func() {
		cancel()
		require.NoError(b, g.Wait())
	})
	var first *Replica
	start := Start{Bootstrap: true}
	for i := range 3 {
		folder, err := disk.Open(b.TempDir())
		require.NoError(b, err)
		log, err := Open(folder, wal.Config{}, start)
		require.NoError(b, err)
		b.Cleanup(func() {
			_ = log.Close()
			_ = folder.Close()
		})
		r, err := New(Config{
			Storage: log, Transport: d, Clock: testClock{start: time.Now()}, Seed: uint64(i),
			Wall:     func() int64 { return time.Now().UnixMilli() },
			Machines: map[camphorhinge.CommandKind]camphorhinge.Machine{testKind: &noopMachine{}},
			Log:      slog.New(slog.DiscardHandler),
		})
		require.NoError(b, err)
		d.mu.Lock()
		d.replicas[log.Identity().Replica] = r
		d.mu.Unlock()
		g.Go(func() error { return r.Run(ctx) })
		if i == 0 {
			first, start = r, Start{Join: log.Identity().Cluster}
			continue
		}
		id := log.Identity().Replica
		require.Eventually(b, func() bool { return first.AddLearner(ctx, id, "") == nil }, 10*time.Second, 10*time.Millisecond)
		require.Eventually(b, func() bool { return first.Promote(ctx, id) == nil }, 10*time.Second, 10*time.Millisecond)
	}
	return first
}

// noopMachine is a machine without state.
type noopMachine struct{}

func (*noopMachine) Apply(camphorhinge.Entry, []byte) []byte { return []byte{1} }
func (*noopMachine) Snapshot() ([]byte, error)               { return []byte{1}, nil }
func (*noopMachine) Restore([]byte) error                    { return nil }

// BenchmarkPropose measures commands of 256 bytes on a real file system, with one and with many concurrent callers. The
// result depends on the disk, so only figures from the same machine are comparable.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			r := startOnDisk(b)
			command := make([]byte, 256)
			work := make(chan struct{})
			latencies := make([][]time.Duration, callers)
			g, ctx := errgroup.WithContext(b.Context())
			b.ResetTimer()
			for i := range callers {
				g.Go(func() error {
					for range work {
						began := time.Now()
						if _, err := r.Propose(ctx, testKind, command); err != nil {
							return err
						}
						latencies[i] = append(latencies[i], time.Since(began))
					}
					return nil
				})
			}
			g.Go(func() error {
				defer close(work)
				for range b.N {
					select {
					case work <- struct{}{}:
					case <-ctx.Done():
						return nil
					}
				}
				return nil
			})
			require.NoError(b, g.Wait())
			b.StopTimer()
			all := slices.Concat(latencies...)
			slices.Sort(all)
			b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "commands/s")
		})
	}
}

// BenchmarkBarrier measures linearizable reads with a valid lease.
func BenchmarkBarrier(b *testing.B) {
	r := startOnDisk(b)
	for b.Loop() {
		require.NoError(b, r.Barrier(b.Context()))
	}
}
