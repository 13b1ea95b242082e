package replica

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/disk"
	"example.org/camphorhinge/internal/state/wal"
)

func requireKind(t *testing.T, err error, kind Kind) {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, kind, e.Kind, "%v", err)
}

// TestLeaderKilled guards against acknowledged commands that are lost with the leader, against a takeover that takes
// longer than 2 s, and against a new leader that starts its work on incomplete state.
func TestLeaderKilled(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.startThreeVoters()
		var want []string
		for round := range 4 {
			old := tc.leader()
			for i := range 10 {
				want = append(want, fmt.Sprintf("%d.%d", round, i))
				tc.propose(want[len(want)-1])
			}
			old.kill()
			begin := time.Now()
			next := tc.leader()
			require.NotEqual(t, old.id, next.id)
			require.Less(t, time.Since(begin), 2*time.Second)
			synctest.Wait()
			_, seen := tc.observed(next)
			require.Equal(t, len(want), seen, "OnLeader came before the state was complete")
			tc.propose("after")
			want = append(want, "after")
			old.restart()
			tc.requireEqual(want)
		}
	})
}

// TestIsolatedLeader guards against authority that outlives the lease, and against a definite error for a command that
// may still be committed.
func TestIsolatedLeader(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.startThreeVoters()
		old := tc.leader()
		tc.setIsolated(old.id, true)
		began := time.Now()
		_, err := old.replica.Propose(t.Context(), testKind, []byte("lost"))
		requireKind(t, err, KindUncertain)
		require.ErrorIs(t, err, camphorhinge.ErrUncertain)
		require.Less(t, time.Since(began), 1200*time.Millisecond)
		_, ok := old.replica.Authority()
		require.False(t, ok)
		err = old.replica.Barrier(t.Context())
		requireKind(t, err, KindNotLeader)
		_, err = old.replica.Propose(t.Context(), testKind, []byte("refused"))
		require.ErrorIs(t, err, camphorhinge.ErrNotLeader)
		require.NotErrorIs(t, err, camphorhinge.ErrUncertain)
		tc.propose("new")
		tc.setIsolated(old.id, false)
		tc.requireEqual([]string{"new"})
		tc.mu.Lock()
		defer tc.mu.Unlock()
		require.Equal(t, []string{"leader", "follower"}, old.hooks)
	})
}

// TestAuthorityEndsInTime guards the moment at which an isolated leader stops: at most 700 ms after the last round.
func TestAuthorityEndsInTime(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.startThreeVoters()
		old := tc.leader()
		tc.setIsolated(old.id, true)
		time.Sleep(600 * time.Millisecond)
		_, ok := old.replica.Authority()
		require.True(t, ok)
		require.NoError(t, old.replica.Barrier(t.Context()))
		time.Sleep(100 * time.Millisecond)
		_, ok = old.replica.Authority()
		require.False(t, ok)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		requireKind(t, old.replica.Barrier(ctx), KindCanceled)
	})
}

// TestLeaseReadWithoutTraffic guards against a read that waits for the next message: nothing else may wake the loop.
func TestLeaseReadWithoutTraffic(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.create(Start{Bootstrap: true})
		r := tc.leader().replica
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		c := newCall("barrier")
		require.NoError(t, r.callInLoop(c, func(now camphorhinge.Instant) { r.startRead(now, c) }))
		_, err := c.wait(ctx, true)
		require.NoError(t, err)
	})
}

// TestAuthorityOfStalledLoop guards against a lease that looks valid because nothing updates what is known of it.
func TestAuthorityOfStalledLoop(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.startThreeVoters()
		r := tc.leader().replica
		c := newCall("stall")
		require.NoError(t, r.callInLoop(c, func(camphorhinge.Instant) {
			time.Sleep(time.Second)
			c.finish(nil, nil)
		}))
		time.Sleep(700 * time.Millisecond)
		_, ok := r.Authority()
		require.False(t, ok)
		_, err := c.wait(t.Context(), true)
		require.NoError(t, err)
	})
}

// TestRepairedNeedsAllVoters guards against a repair that is reported while a voter misses the membership, so that the
// loss of a second VM could lose committed state.
func TestRepairedNeedsAllVoters(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.startThreeVoters()
		v := tc.leader()
		require.NoError(t, v.replica.CheckRepaired(t.Context()))
		var behind *vm
		for _, x := range tc.running() {
			if x != v {
				behind = x
			}
		}
		behind.kill()
		time.Sleep(2 * time.Second)
		requireKind(t, v.replica.CheckRepaired(t.Context()), KindUnrepaired)
		behind.restart()
		tc.requireRepaired()
		behind.kill()
		require.NoError(t, v.replica.AddLearner(t.Context(), 4, ""))
		require.NoError(t, v.replica.Remove(t.Context(), 4))
		requireKind(t, v.replica.CheckRepaired(t.Context()), KindUnrepaired)
		behind.restart()
		tc.requireRepaired()
	})
}

// TestAssembler guards against a snapshot put together from parts that don't belong together.
func TestAssembler(t *testing.T) {
	t.Parallel()
	part := func(term camphorhinge.Term, i camphorhinge.Index, offset uint64, data string, last bool) Chunk {
		return Chunk{From: 1, Term: term, Index: i, Offset: offset, Data: []byte(data), Last: last}
	}
	tests := []struct {
		name  string
		parts []Chunk
		// want is the data after the last part; it is empty when that part is refused.
		want string
	}{
		{"whole", []Chunk{part(1, 5, 0, "ab", false), part(1, 5, 2, "c", true)}, "abc"},
		{"one part", []Chunk{part(1, 5, 0, "abc", true)}, "abc"},
		{"started again", []Chunk{part(1, 5, 0, "x", false), part(1, 5, 0, "ab", false), part(1, 5, 2, "c", true)}, "abc"},
		{"gap", []Chunk{part(1, 5, 0, "a", false), part(1, 5, 2, "c", true)}, ""},
		{"repeated part", []Chunk{part(1, 5, 0, "a", false), part(1, 5, 1, "b", false), part(1, 5, 1, "b", true)}, ""},
		{"other snapshot", []Chunk{part(1, 5, 0, "a", false), part(1, 6, 1, "b", true)}, ""},
		{"other term", []Chunk{part(1, 5, 0, "a", false), part(2, 5, 1, "b", true)}, ""},
		{"no start", []Chunk{part(1, 5, 3, "a", true)}, ""},
	}
	for _, test := range tests {
		var a assembler
		for i, c := range test.parts {
			data, err := a.add(c)
			if i < len(test.parts)-1 {
				require.NoError(t, err, test.name)
				continue
			}
			require.Equal(t, test.want, string(data), test.name)
			require.Equal(t, test.want == "", err != nil, test.name)
		}
	}
}

// TestPlannedTransfer guards against a handover that waits for an election timeout or loses a command.
func TestPlannedTransfer(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.startThreeVoters()
		tc.propose("before")
		old := tc.leader()
		began := time.Now()
		require.NoError(t, old.replica.Transfer(t.Context(), 0))
		_, ok := old.replica.Authority()
		require.False(t, ok)
		require.NotEqual(t, old.id, tc.leader().id)
		require.Less(t, time.Since(began), 150*time.Millisecond)
		tc.propose("after")
		tc.requireEqual([]string{"before", "after"})
	})
}

// TestProposalsShareSyncs guards against one sync per command: commands that wait during a sync share the next one.
func TestProposalsShareSyncs(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.syncTime = 5 * time.Millisecond
		tc.startThreeVoters()
		v := tc.leader()
		before := tc.syncs.Load()
		const callers, each = 50, 20
		g := new(errgroup.Group)
		for i := range callers {
			g.Go(func() error {
				for k := range each {
					if _, err := v.replica.Propose(t.Context(), testKind, fmt.Appendf(nil, "%d.%d", i, k)); err != nil {
						return err
					}
				}
				return nil
			})
		}
		require.NoError(t, g.Wait())
		require.Len(t, v.machine.read(), callers*each)
		require.Less(t, tc.syncs.Load()-before, int64(callers*each/4))
	})
}

// TestRestartFromSnapshot guards against state that is lost or applied twice over snapshot and tail, and against a
// replica that can't catch up once the log it misses is gone.
func TestRestartFromSnapshot(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.snapshotEntries = 100
		tc.startThreeVoters()
		v := tc.leader()
		var late *vm
		for _, x := range tc.running() {
			if x != v {
				late = x
			}
		}
		late.kill()
		var want []string
		for i := range 950 {
			// The state is larger than two parts of a snapshot.
			want = append(want, fmt.Sprintf("%d %s", i, strings.Repeat("x", 700)))
			tc.propose(want[i])
		}
		require.Greater(t, v.replica.Status().First, camphorhinge.Index(100), "the log was not shortened")
		late.restart()
		tc.requireEqual(want)
		chunks, _ := tc.observed(late)
		require.Greater(t, chunks, 2)
		for _, x := range tc.running() {
			x.kill()
		}
		for _, x := range tc.vms {
			x.restart()
			require.Greater(t, x.replica.Status().Applied, camphorhinge.Index(800), "the snapshot doesn't count as applied")
		}
		tc.propose("tail")
		tc.requireEqual(append(want, "tail"))
	})
}

// TestLostDisk guards the replacement of a lost disk step by step. A second VM stops at each step and comes back with its
// disk; nothing that was acknowledged may be lost, and the repair ends whole.
func TestLostDisk(t *testing.T) {
	t.Parallel()
	steps := []string{"lost", "learner added", "promoted", "removed", "repaired"}
	for _, second := range steps {
		for _, leader := range []bool{false, true} {
			t.Run(fmt.Sprintf("second loss when %s, leader %v", second, leader), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(t *testing.T, tc *testCluster) {
					tc.startThreeVoters()
					want := []string{"first"}
					tc.propose("first")
					var lost, fresh *vm
					for _, v := range tc.running() {
						if v != tc.leader() {
							lost = v
						}
					}
					var down *vm
					for _, step := range steps {
						switch step {
						case "lost":
							lost.removeFromCluster()
						case "learner added":
							fresh = tc.addLearner()
						case "promoted":
							tc.promote(fresh)
						case "removed":
							tc.remove(lost.id)
						case "repaired":
							tc.requireRepaired()
						}
						tc.propose(step)
						want = append(want, step)
						if step != second {
							continue
						}
						down = tc.leader()
						for _, v := range tc.running() {
							if !leader && v != down && v != fresh {
								down = v
								break
							}
						}
						down.kill()
						if step == "repaired" || step == "removed" {
							tc.propose("without a second VM")
							want = append(want, "without a second VM")
						} else {
							tc.requireNoAuthority()
						}
						down.restart()
					}
					tc.requireEqual(want)
					require.Len(t, tc.leader().replica.Membership().Members, 3)
				})
			})
		}
	}
}

// requireNoAuthority checks that no replica has authority once the leases have run out: two losses of three or four voters
// leave no majority.
func (tc *testCluster) requireNoAuthority() {
	tc.t.Helper()
	time.Sleep(2 * time.Second)
	for _, v := range tc.running() {
		_, ok := v.replica.Authority()
		require.False(tc.t, ok)
	}
}

// TestFailedSync guards against a replica that goes on after a failed sync, when it can't know what is durable.
func TestFailedSync(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.startThreeVoters()
		tc.propose("good")
		v := tc.leader()
		v.disk.SetFaults(disk.Faults{FailAt: 2})
		_, err := v.replica.Propose(t.Context(), testKind, []byte("open"))
		if err != nil {
			require.ErrorIs(t, err, camphorhinge.ErrUncertain)
		}
		requireKind(t, v.group.Wait(), KindStorage)
		_, err = v.replica.Propose(t.Context(), testKind, []byte("none"))
		require.Error(t, err)
		require.NotErrorIs(t, err, camphorhinge.ErrUncertain)
		_, ok := v.replica.Authority()
		require.False(t, ok)
		v.kill()
		tc.propose("next")
		v.restart()
		tc.eventually(func() error {
			got := v.machine.read()
			if len(got) == 0 || got[0] != "good" || got[len(got)-1] != "next" {
				return errors.New("not caught up")
			}
			return nil
		})
	})
}

// TestProposeRefusals guards the promise that errors other than ErrUncertain leave no effect.
func TestProposeRefusals(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *testing.T, tc *testCluster) {
		tc.startThreeVoters()
		r := tc.leader().replica
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := r.Propose(ended, testKind, []byte("x"))
		requireKind(t, err, KindCanceled)
		_, err = r.Propose(t.Context(), camphorhinge.CommandOrder, []byte("x"))
		requireKind(t, err, KindRefused)
		_, err = r.Propose(t.Context(), testKind, make([]byte, maxCommandBytes+1))
		requireKind(t, err, KindRefused)
		for _, v := range tc.running() {
			if v.replica != r {
				_, err = v.replica.Propose(t.Context(), testKind, []byte("x"))
				requireKind(t, err, KindNotLeader)
				requireKind(t, v.replica.Barrier(t.Context()), KindNotLeader)
			}
		}
		tc.requireEqual(nil)
	})
}

// TestOpen guards the identities: an empty folder never takes an old one, and a folder is bootstrapped once.
func TestOpen(t *testing.T) {
	t.Parallel()
	used := disk.NewMemory()
	log, err := Open(used, wal.Config{}, Start{Bootstrap: true})
	require.NoError(t, err)
	first := log.Identity()
	require.NoError(t, log.Close())
	tests := []struct {
		name  string
		disk  *disk.Memory
		start Start
		kind  Kind
	}{
		{"restart of an empty folder", disk.NewMemory(), Start{}, KindStart},
		{"second bootstrap", used, Start{Bootstrap: true}, KindStart},
		{"join of another cluster", used, Start{Join: "other"}, KindStart},
		{"restart", used, Start{}, ""},
		{"join of the folder's cluster", used, Start{Join: first.Cluster}, ""},
		{"join", disk.NewMemory(), Start{Join: first.Cluster}, ""},
	}
	for _, test := range tests {
		log, err := Open(test.disk, wal.Config{}, test.start)
		if test.kind != "" {
			requireKind(t, err, test.kind)
			continue
		}
		require.NoError(t, err, test.name)
		require.Equal(t, first.Cluster, log.Identity().Cluster, test.name)
		require.Equal(t, test.disk == used, first.Replica == log.Identity().Replica, test.name)
		require.NoError(t, log.Close())
	}
}
