package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/disk"
)

// callResults holds the commands that were acknowledged and those with an uncertain outcome.
type callResults struct {
	mu           sync.Mutex
	acknowledged map[string]bool
	uncertain    map[string]bool
}

// propose proposes one command on a random replica and records the result.
func (x *callResults) propose(t *testing.T, tc *testCluster, random *rand.Rand, command string) {
	vms := tc.running()
	if len(vms) == 0 {
		return
	}
	tc.mu.Lock()
	r := vms[random.IntN(len(vms))].replica
	tc.mu.Unlock()
	if r == nil {
		return
	}
	_, err := r.Propose(t.Context(), testKind, []byte(command))
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case err == nil:
		x.acknowledged[command] = true
	case errors.Is(err, camphorhinge.ErrUncertain):
		x.uncertain[command] = true
	}
}

// check compares the results of the calls with the commands that took effect.
func (x *callResults) check(t *testing.T, lines []string) {
	t.Helper()
	seen := make(map[string]bool)
	for _, line := range lines {
		require.False(t, seen[line], "%s took effect twice", line)
		require.True(t, x.acknowledged[line] || x.uncertain[line], "%s took effect although it was refused", line)
		seen[line] = true
	}
	for line := range x.acknowledged {
		require.True(t, seen[line], "%s was acknowledged but is lost", line)
	}
}

// crash stops a VM at a random file operation; a part of its unsynced writes may survive.
func (v *vm) crash(random *rand.Rand) {
	v.disk.SetFaults(disk.Faults{CrashAt: 1 + random.IntN(30)})
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	v.cancel()
	v.err = v.group.Wait()
	v.cluster.mu.Lock()
	v.replica = nil
	v.cluster.mu.Unlock()
	_ = v.log.Close() // The log may have failed before.
	v.disk.Crash(random)
}

// TestRandomCrashes checks the results of Propose while one to three VMs at a time crash at any file operation: an
// acknowledged command takes effect exactly once, and one with an error other than ErrUncertain never does.
// CAMPHORHINGE_SEEDS sets the number of seeds.
func TestRandomCrashes(t *testing.T) {
	t.Parallel()
	count := uint64(8)
	if s := os.Getenv("CAMPHORHINGE_SEEDS"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		require.NoError(t, err)
		count = n
	}
	for seed := uint64(1); seed <= count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T, tc *testCluster) { randomCrashes(t, tc, seed) })
		})
	}
}

func randomCrashes(t *testing.T, tc *testCluster, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	tc.snapshotEntries = 60
	tc.startThreeVoters()
	x := &callResults{acknowledged: make(map[string]bool), uncertain: make(map[string]bool)}
	end := time.Now().Add(20 * time.Second)
	g := new(errgroup.Group)
	for i := range 4 {
		ownRandom := rand.New(rand.NewPCG(seed, uint64(10+i)))
		g.Go(func() error {
			for k := 0; time.Now().Before(end); k++ {
				x.propose(t, tc, ownRandom, fmt.Sprintf("%d.%d", i, k))
				time.Sleep(time.Duration(ownRandom.IntN(40)) * time.Millisecond)
			}
			return nil
		})
	}
	vms := tc.running()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		random.Shuffle(len(vms), func(i, k int) { vms[i], vms[k] = vms[k], vms[i] })
		down := vms[:1+random.IntN(len(vms))]
		crashes := new(errgroup.Group)
		for _, v := range down {
			ownRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
			crashes.Go(func() error {
				v.crash(ownRandom)
				return nil
			})
		}
		require.NoError(t, crashes.Wait())
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		for _, v := range down {
			v.restart()
		}
	}
	require.NoError(t, g.Wait())
	tc.propose("last")
	x.acknowledged["last"] = true
	lines := tc.leader().machine.read()
	x.check(t, lines)
	tc.requireLines(lines)
	t.Logf("seed %d: %d acknowledged, %d uncertain, %d in effect", seed, len(x.acknowledged), len(x.uncertain), len(lines))
}
