package decision_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge/internal/observe/decision"
)

// Guards against a ring that grows without bound or returns decisions out of order, and against frequent decisions that
// evict rare ones.
func TestRingKeepsTheNewest(t *testing.T) {
	r := decision.New(4)
	r.Record("role", "service-1", "gain exceeds the cost", nil)
	for i := range 10 {
		r.Record("route", "request-"+strconv.Itoa(i), "least expected completion", nil)
	}
	r.Record("refuse", "request-x", "over limit", nil)

	tests := []struct {
		name, kind, subject string
		limit               int
		want                []uint64
	}{
		{name: "all", limit: 10, want: []uint64{11, 10, 9, 8, 7, 0}},
		{name: "kind", kind: "route", limit: 10, want: []uint64{10, 9, 8, 7}},
		{name: "rare kind", kind: "role", limit: 10, want: []uint64{0}},
		{name: "subject", subject: "-8", limit: 10, want: []uint64{9}},
		{name: "limit", limit: 1, want: []uint64{11}},
		{name: "dropped", subject: "request-1", limit: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []uint64
			for _, d := range r.Find(tt.kind, tt.subject, tt.limit) {
				got = append(got, d.Seq)
			}
			require.Equal(t, tt.want, got)
		})
	}
}
