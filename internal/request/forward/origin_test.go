package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/origin"
)

// TestContinuedStreamKeepsVersion guards against a stream that goes on at a target of another software version than the one
// that began it, or is sent anywhere when that version is not known.
func TestContinuedStreamKeepsVersion(t *testing.T) {
	cut, rest := streamStart(0, 2), streamStart(2, 2)+lastChunk
	for _, tc := range []struct {
		name string
		// versions are the software versions of the targets, which are chosen in this order, and answers what they send.
		versions []camphorhinge.SoftwareVersion
		answers  []string
		// after and resumes are those of a caller's continued stream, and known the version on record for it.
		after, resumes string
		known          camphorhinge.SoftwareVersion
		status         int
		aborted        bool
		arrivals       []int
		tries          []int
	}{
		{"by the node, another version first", []camphorhinge.SoftwareVersion{"v1", "v2", "v1"}, []string{cut, rest, rest}, "", "", "", 200, false, []int{1, 0, 1}, []int{1}},
		{"by the node, version gone", []camphorhinge.SoftwareVersion{"v1", "v2"}, []string{cut, rest}, "", "", "", 200, true, []int{1, 0}, []int{1}},
		{"before the first event, any version", []camphorhinge.SoftwareVersion{"v1", "v2"}, []string{streamStart(0, 0), cut + lastChunk}, "", "", "", 200, false, []int{1, 1}, []int{1, 2}},
		{"by the caller", []camphorhinge.SoftwareVersion{"v2", "v1"}, []string{rest, rest}, "2", "id-0", "v1", 200, false, []int{0, 1}, []int{0}},
		{"by the caller, then by the node", []camphorhinge.SoftwareVersion{"v2", "v1", "v1"}, []string{rest, streamStart(2, 1), streamStart(3, 1) + lastChunk}, "2", "id-0", "v1", 200, false, []int{0, 1, 1}, []int{0}},
		{"by the caller, version gone", []camphorhinge.SoftwareVersion{"v2"}, []string{rest}, "2", "id-0", "v1", 503, false, []int{0}, nil},
		{"by the caller, unknown", []camphorhinge.SoftwareVersion{"v2"}, []string{rest}, "2", "id-0", "", 503, false, []int{0}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var targets []*target
				for _, answer := range tc.answers {
					targets = append(targets, &target{steps: []step{sendAndClose(answer)}})
				}
				b := newFixture(t, routing.Route{Retry: routing.RetryResume, Stream: true, MaxAttempts: 3}, targets...)
				for i, v := range tc.versions {
					b.targets.live[i].Software = v
				}
				if tc.known != "" {
					b.origins.known = map[origin.Key]origin.Origin{origin.KeyOf("id-0"): {Service: "s", Software: tc.known}}
				}
				out := b.do(t, func(in *Request) {
					if tc.after != "" {
						in.Header.Set("After", tc.after)
						in.Header.Set("Resumes", tc.resumes)
					}
				})
				require.Equal(t, tc.status, out.status)
				require.Equal(t, tc.aborted, out.aborted)
				var arrivals []int
				for _, x := range targets {
					arrivals = append(arrivals, len(x.requests))
				}
				require.Equal(t, tc.arrivals, arrivals)
				require.Equal(t, tc.tries, b.origins.tries)
				if tc.status == http.StatusServiceUnavailable {
					require.Equal(t, "not-run", out.header.Get(camphorhinge.HeaderRun))
					require.NotEmpty(t, out.header.Get("Retry-After"))
				}
			})
		})
	}
}

// TestContinuedStreamKeepsService guards against a continued stream that a route with several services sends to another one,
// and against one that goes to a service to which the route no longer leads.
func TestContinuedStreamKeepsService(t *testing.T) {
	for _, tc := range []struct {
		name    string
		service camphorhinge.ServiceName
		status  int
	}{
		{"service of a small share", "s", 200},
		{"service without a share", "gone", 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				only := &target{steps: []step{sendRaw(streamStart(2, 1) + lastChunk)}}
				b := newFixture(t, routing.Route{Retry: routing.RetryResume, Stream: true}, only)
				c := *b.index.Load().Config
				c.Services = append(c.Services, routing.Service{Name: "other"}, routing.Service{Name: "gone"})
				c.Routes[0].Shares = []routing.Share{{Service: "other", Weight: 1e9}, {Service: "s", Weight: 1}, {Service: "gone"}}
				b.index.Store(routing.NewIndex(&c))
				b.origins.known = map[origin.Key]origin.Origin{origin.KeyOf("id-0"): {Service: tc.service}}
				out := b.do(t, func(in *Request) {
					in.Header.Set("After", "2")
					in.Header.Set("Resumes", "id-0")
				})
				require.Equal(t, tc.status, out.status)
			})
		})
	}
}

// TestContinuedStreamAwaitsVersion guards against a continued stream that is refused while the only target of its version
// restarts, and against one that waits although its version has left.
func TestContinuedStreamAwaitsVersion(t *testing.T) {
	for _, tc := range []struct {
		name    string
		returns time.Duration
		// leaves is set when the target is no longer listed.
		leaves bool
		status int
		took   time.Duration
	}{
		{"back after a second", time.Second, false, 200, time.Second},
		{"back too late", 3 * time.Second, false, 503, maxVersionWait},
		{"left", 3 * time.Second, true, 503, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dead := &target{refuseDial: true}
				back := &target{steps: []step{sendRaw(streamStart(2, 1) + lastChunk)}}
				b := newFixture(t, routing.Route{Retry: routing.RetryResume, Stream: true}, dead, back)
				b.targets.live[0].Software, b.targets.live[1].Software = "v1", "v1"
				listed := b.targets.live
				b.targets.live = listed[:1]
				if tc.leaves {
					b.targets.live = nil
				}
				b.targets.group.Go(func() error {
					time.Sleep(tc.returns)
					b.targets.mu.Lock()
					defer b.targets.mu.Unlock()
					b.targets.live = listed[1:]
					return nil
				})
				b.origins.known = map[origin.Key]origin.Origin{origin.KeyOf("id-0"): {Service: "s", Software: "v1"}}
				began := time.Now()
				out := b.do(t, func(in *Request) {
					in.Header.Set("After", "2")
					in.Header.Set("Resumes", "id-0")
				})
				require.Equal(t, tc.status, out.status)
				require.InDelta(t, tc.took.Seconds(), time.Since(began).Seconds(), 0.2)
				time.Sleep(3 * time.Second)
			})
		})
	}
}
