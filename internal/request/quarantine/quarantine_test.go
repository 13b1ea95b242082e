package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// report is a command with the time at which it is applied, in milliseconds.
type report struct {
	at      int64
	node    camphorhinge.NodeID
	target  camphorhinge.TargetName
	inc     camphorhinge.Incarnation
	prints  []camphorhinge.Fingerprint
	success bool
}

// TestMachine guards the scores: which fingerprints are refused, which are not, and for how long.
func TestMachine(t *testing.T) {
	type prints = []camphorhinge.Fingerprint
	for _, tc := range []struct {
		name    string
		reports []report
		at      int64
		count   float64
		refused bool
	}{
		{"one crash alone", []report{{0, "n1", "a", 1, prints{7}, false}}, 1, 1, false},
		{"two crashes alone", []report{{0, "n1", "a", 1, prints{7}, false}, {5000, "n2", "b", 1, prints{7}, false}}, 5001, 2, true},
		{"two incarnations of one target crash in short succession", []report{
			{0, "n1", "a", 1, prints{7}, false}, {500, "n1", "a", 2, prints{7}, false},
		}, 501, 2, true},
		{"a crashed target also resets the resumed stream", []report{
			{0, "n1", "a", 1, prints{7}, false}, {500, "n1", "a", 1, prints{7}, false}, {4900, "n1", "a", 1, prints{7}, false},
		}, 4901, 1, false},
		{"one crash seen by two nodes", []report{
			{0, "n1", "a", 1, prints{7}, false}, {500, "n2", "a", 1, prints{7, 8}, false},
		}, 501, 0.5, false},
		{"two nodes' reports on a target too far apart", []report{
			{0, "n1", "a", 1, prints{7}, false}, {5001, "n2", "a", 1, prints{7}, false},
		}, 5002, 2, true},
		{"next to a crashing request, twice", []report{
			{0, "n1", "a", 1, prints{7, 8}, false}, {5000, "n1", "a", 2, prints{7, 8}, false},
		}, 5001, 1, false},
		{"three times next to another", []report{
			{0, "n1", "a", 1, prints{7, 8}, false}, {5000, "n1", "a", 2, prints{7, 9}, false}, {9000, "n1", "a", 3, prints{7, 9}, false},
		}, 9001, 1.5, true},
		{"success in between", []report{
			{0, "n1", "a", 1, prints{7}, false}, {100, "n1", "", 0, prints{7}, true}, {5000, "n1", "a", 2, prints{7}, false},
		}, 5001, 1, false},
		{"success when refused", []report{
			{0, "n1", "a", 1, prints{7}, false}, {5000, "n1", "a", 2, prints{7}, false}, {5001, "n1", "", 0, prints{7}, true},
		}, 5002, 0, false},
		{"first crash too old", []report{
			{0, "n1", "a", 1, prints{7}, false}, {600_000, "n1", "a", 2, prints{7}, false},
		}, 600_001, 1, false},
		{"refused until 10 min after the last crash", []report{
			{0, "n1", "a", 1, prints{7}, false}, {500_000, "n1", "a", 2, prints{7}, false},
		}, 1_099_999, 1, true},
		{"refusal over", []report{
			{0, "n1", "a", 1, prints{7}, false}, {500_000, "n1", "a", 2, prints{7}, false},
		}, 1_100_000, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := NewMachine()
			for _, r := range tc.reports {
				cmd, err := json.Marshal(command{Node: r.node, Target: r.target, Incarnation: r.inc, Fingerprints: r.prints, Success: r.success})
				require.NoError(t, err)
				m.Apply(camphorhinge.Entry{Stamp: r.at}, cmd)
				saved, err := m.Snapshot()
				require.NoError(t, err)
				m = NewMachine()
				require.NoError(t, m.Restore(saved))
			}
			got := Score{Fingerprint: 7}
			// No command follows the last report: refusals must end in an idle system as well.
			for _, s := range m.Scores(tc.at) {
				if s.Fingerprint == 7 {
					got = s
				}
			}
			require.InDelta(t, tc.count, got.Value, 1e-9)
			require.Equal(t, tc.refused, got.RemainingMillis > 0)
		})
	}
}

// clock reads the time of a synctest bubble.
type clock struct{ zero time.Time }

func (c clock) Now() camphorhinge.Instant { return camphorhinge.Instant(time.Since(c.zero)) }

type noDecisions struct{}

func (noDecisions) Record(string, string, string, map[string]string) {}

// fakeProposer applies proposals to a Machine, after a number of failures.
type fakeProposer struct {
	*Machine
	zero     time.Time
	failures int
	applied  int
}

func (l *fakeProposer) Propose(_ context.Context, _ camphorhinge.CommandKind, cmd []byte) ([]byte, error) {
	if l.failures--; l.failures >= 0 {
		return nil, errors.New("no leader")
	}
	l.applied++
	return l.Apply(camphorhinge.Entry{Stamp: time.Since(l.zero).Milliseconds()}, cmd), nil
}

// TestClient guards the node's part: one report per crash with all attempts in flight, a refusal after two crashes that
// other nodes apply as well, its end after 10 minutes, and the reset by a success.
func TestClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zero := time.Now()
		l := &fakeProposer{Machine: NewMachine(), zero: zero, failures: 2}
		start := func(node camphorhinge.NodeID) *Client {
			return New(Config{Proposer: l, Node: node, Clock: clock{zero}, Decisions: noDecisions{}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet()})
		}
		c, other := start("n1"), start("n2")
		defer func() { require.NoError(t, errors.Join(c.Close(), other.Close())) }()
		target := func(inc camphorhinge.Incarnation) *camphorhinge.Target {
			return &camphorhinge.Target{Announcement: camphorhinge.Announcement{Name: "a", Incarnation: inc}}
		}
		settle := func() { time.Sleep(3 * time.Second); synctest.Wait() }

		ends := []func(bool, bool){c.Begin(target(1), 7, 0), c.Begin(target(1), 8, 0), c.Begin(target(1), 9, 0)}
		for _, end := range ends {
			end(true, false)
		}
		settle()
		require.Equal(t, 1, l.applied, "one crash ended all attempts")
		for inc := camphorhinge.Incarnation(2); inc < 4; inc++ {
			_, refused := c.Refused(7)
			require.False(t, refused)
			end := c.Begin(target(inc), 7, 0)
			if inc == 2 {
				end(true, false)
			} else {
				c.RecordRestart("a", inc+1)
				end(true, false)
			}
			settle()
		}
		left, refused := c.Refused(7)
		require.True(t, refused)
		require.Greater(t, left, 9*time.Minute)
		_, refused = c.Refused(8)
		require.False(t, refused)
		other.MergeScores(l.Scores(time.Since(zero).Milliseconds()))
		_, refused = other.Refused(7)
		require.True(t, refused)

		c.Begin(target(9), 8, 0)(false, true)
		settle()
		require.Len(t, l.Scores(time.Since(zero).Milliseconds()), 2, "a success resets the score of another fingerprint")
		time.Sleep(Window)
		_, refused = c.Refused(7)
		require.False(t, refused)
		require.Empty(t, c.inFlight)
	})
}

// TestSuspects guards against scores that fill the links of a large fleet: fingerprints with a single crash are left out,
// and the result stays the same while only time passes.
func TestSuspects(t *testing.T) {
	m := NewMachine()
	report := func(index uint64, target string, fps ...camphorhinge.Fingerprint) {
		data, err := json.Marshal(command{Target: camphorhinge.TargetName(target), Incarnation: 1, Fingerprints: fps})
		require.NoError(t, err)
		m.Apply(camphorhinge.Entry{Index: camphorhinge.Index(index), Stamp: 1000 + int64(index)}, data)
	}
	for i := range uint64(500) {
		report(i, fmt.Sprintf("t%d", i), camphorhinge.Fingerprint(i))
	}
	require.Empty(t, m.Suspects(2000))
	report(500, "u1", 7)
	first := m.Suspects(2000)
	require.Len(t, first, 1)
	require.Equal(t, camphorhinge.Fingerprint(7), first[0].Fingerprint)
	require.Positive(t, first[0].RemainingMillis)
	require.Equal(t, first, m.Suspects(2500))
}
