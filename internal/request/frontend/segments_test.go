package frontend

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"example.org/camphorhinge"
)

// TestSegmentFingerprints guards against prompts whose common leading blocks are counted as different segments, so that
// crashes by one of them are never put together, and against reports that grow with the length of a prompt.
func TestSegmentFingerprints(t *testing.T) {
	of := func(service camphorhinge.ServiceName, prefixes ...uint64) []camphorhinge.Fingerprint {
		j := &job{in: &inbound{service: service}, route: camphorhinge.RouteRequest{Prefixes: prefixes}}
		return j.segmentFingerprints()
	}
	a, b := of("s", 1, 2, 3), of("s", 1, 2, 4)
	require.Len(t, a, 3)
	require.Equal(t, a[:2], b[:2])
	require.NotEqual(t, a[2], b[2])
	require.NotEqual(t, a[0], of("other", 1)[0])
	require.Empty(t, of("s"))
	require.Len(t, of("s", make([]uint64, 1000)...), maxSegments)
}

// segmentRecorder is a Quarantine that refuses all requests and records what they are counted by.
type segmentRecorder struct {
	fingerprints []camphorhinge.Fingerprint
	segments     [][]camphorhinge.Fingerprint
}

func (r *segmentRecorder) Refused(fp camphorhinge.Fingerprint, segments ...camphorhinge.Fingerprint) (time.Duration, bool) {
	r.fingerprints, r.segments = append(r.fingerprints, fp), append(r.segments, segments)
	return time.Minute, true
}

func (*segmentRecorder) Begin(*camphorhinge.Target, camphorhinge.Fingerprint, camphorhinge.Fingerprint, ...camphorhinge.Fingerprint) func(bool, bool) {
	return func(bool, bool) {}
}

// openConfiguration has a workspace for each key.
type openConfiguration struct{ fixedConfiguration }

func (*openConfiguration) Workspace(digest string) (Workspace, bool) {
	return Workspace{Name: camphorhinge.WorkspaceName(digest), Priority: 9}, true
}

// TestRequestOfSeveralWorkspaces guards against a request that crashes targets and comes from one workspace after the
// other: its crashes must be counted together.
func TestRequestOfSeveralWorkspaces(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cases [2]faultCase
		same  bool
	}{
		{"model request", [2]faultCase{{body: bufferedRequest}, {body: bufferedRequest}}, true},
		{"plain call", [2]faultCase{{call: "PUT"}, {call: "PUT"}}, true},
		{"another body", [2]faultCase{{body: bufferedRequest}, {body: streamRequest}}, false},
		{"another method", [2]faultCase{{call: "PUT"}, {call: "POST"}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := &segmentRecorder{}
				f := New(Config{
					Quarantine: q, Decisions: noDecisions{}, Configuration: &openConfiguration{}, Metrics: metrics.NewSet(),
					Tracer: noop.NewTracerProvider().Tracer(""), Admission: &openAdmission{},
				})
				defer func() { require.NoError(t, f.Close()) }()
				for i, c := range tc.cases {
					in := c.request()
					in.header.Set("Authorization", []string{"Bearer key", "Bearer other"}[i])
					out := &recorder{header: http.Header{}}
					f.serve(t.Context(), in, out)
					require.Equal(t, http.StatusUnprocessableEntity, out.status, out.body.String())
				}
				require.Len(t, q.segments, 2)
				require.NotEqual(t, q.fingerprints[0], q.fingerprints[1])
				require.NotEmpty(t, q.segments[0])
				last := func(i int) camphorhinge.Fingerprint { return q.segments[i][len(q.segments[i])-1] }
				require.Equal(t, tc.same, last(0) == last(1))
			})
		})
	}
}
