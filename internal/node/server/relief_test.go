package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRelief guards against commands that wait behind placements at a leader without processor time, and against leadership that
// changes for a single pause.
func TestRelief(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		leads bool
		late  []time.Duration
		// due lists the looks at which leadership is handed over.
		due []int
	}{
		{"in time", true, []time.Duration{0, 20 * ms, 99 * ms, 50 * ms}, nil},
		{"one pause", true, []time.Duration{0, 6000 * ms, 0, 900 * ms, 10 * ms}, nil},
		{"late", true, []time.Duration{0, 130 * ms, 200 * ms, 90 * ms}, []int{2}},
		{"late for long", true, []time.Duration{130 * ms, 200 * ms, 300 * ms, 300 * ms, 300 * ms, 300 * ms, 300 * ms, 300 * ms, 300 * ms, 300 * ms, 300 * ms, 300 * ms}, []int{1, 11}},
		{"does not lead", false, []time.Duration{130 * ms, 200 * ms, 300 * ms}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r relief
			var due []int
			now := time.Unix(1000, 0)
			for i, late := range tc.late {
				now = now.Add(reliefInterval)
				if r.due(now, tc.leads, late) {
					due = append(due, i)
				}
			}
			require.Equal(t, tc.due, due)
		})
	}
}
