package trial

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// maxLoss is the fraction of the offered load that the policy may lose against no change on any trace.
	maxLoss = 0.005
	// minRecovered is the least fraction of the goodput lost without changes that the policy recovers after a lasting
	// shift.
	minRecovered = 0.5
	testSeeds    = 2
)

// Guards against a policy that loses goodput by its changes, changes more often than the threshold where changes don't
// pay off, or makes no change where one pays off.
func TestPolicyAgainstBaselines(t *testing.T) {
	all := Policies()
	noChange, threshold, policy := all[0], all[1], all[2]
	for _, c := range Customers() {
		for _, tr := range Traces() {
			t.Run(c.Name+" "+tr.Name, func(t *testing.T) {
				for seed := uint64(1); seed <= testSeeds; seed++ {
					none, some, got := Simulate(c, tr, noChange, seed), Simulate(c, tr, threshold, seed), Simulate(c, tr, policy, seed)
					require.GreaterOrEqual(t, got.Goodput, none.Goodput-maxLoss, "seed %d", seed)
					switch tr.Name {
					case "oscillation", "noise":
						require.LessOrEqual(t, got.Changes, some.Changes, "seed %d", seed)
					default:
						require.GreaterOrEqual(t, got.Goodput-none.Goodput, minRecovered*(1-none.Goodput), "seed %d", seed)
					}
				}
			})
		}
	}
}

// Guards against weights without effect: on the same fleets, summed over all traces, the weights of asesor-lm cause
// more changes and no less goodput than those of asistente.
func TestWeights(t *testing.T) {
	customers := Customers()
	for _, fleet := range customers {
		var goodput, changes [2]float64
		for i, c := range customers {
			with := fleet
			with.Weights = c.Weights
			for _, tr := range Traces() {
				row := meanRow(with, tr, Policies()[2], testSeeds)
				goodput[i] += row.Goodput
				changes[i] += row.Changes
			}
		}
		t.Logf("%s: goodput %.4f %.4f changes %.1f %.1f", fleet.Name, goodput[0], goodput[1], changes[0], changes[1])
		require.Greater(t, changes[0], changes[1], fleet.Name)
		require.GreaterOrEqual(t, goodput[0], goodput[1], fleet.Name)
	}
}

// Guards against a table with a missing row, and against a plot that is not written.
func TestRun(t *testing.T) {
	var b bytes.Buffer
	path := filepath.Join(t.TempDir(), "trial.svg")
	require.NoError(t, run(&b, path, 1))
	require.Equal(t, 1+len(Customers())*len(Traces())*len(Policies()), strings.Count(b.String(), "\n"))
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Positive(t, info.Size())
}
