package forward

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// crashCounter counts the attempts that ended in a crash.
type crashCounter struct {
	noQuarantine
	crashes int
}

func (q *crashCounter) Begin(*camphorhinge.Target, camphorhinge.Fingerprint, camphorhinge.Fingerprint, ...camphorhinge.Fingerprint) func(bool, bool) {
	return func(crashed, _ bool) {
		if crashed {
			q.crashes++
		}
	}
}

// TestStreamEndsInsideEvent guards against a stream that is passed on as complete although its target broke it off inside
// or before an event: an answer with neither a length nor chunks ends with its connection, also when the target crashes.
func TestStreamEndsInsideEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Type: text/event-stream\r\n"
	for _, tc := range []struct {
		name  string
		text  string
		retry routing.RetryPolicy
		// aborted is set when the caller's connection must be closed; body is what the caller gets.
		aborted bool
		body    string
		crashes int
	}{
		{"after the last event", head + "\r\nid: 1\ndata: p1\n\n", routing.RetryIfNotRun, false, "id: 1\ndata: p1\n\n", 0},
		{"after a comment", head + "\r\nid: 1\ndata: p1\n\n: bye\n", routing.RetryIfNotRun, false, "id: 1\ndata: p1\n\n: bye\n", 0},
		{"before the first event", head + "\r\n", routing.RetryResume, false, "id: 2\ndata: p2\n\n", 1},
		{"inside a line", head + "\r\nid: 1\ndata: p1\n\nid: 2\nda", routing.RetryIfNotRun, true, "id: 1\ndata: p1\n\n", 1},
		{"before the empty line", head + "\r\nid: 1\ndata: p1\n\nid: 2\ndata: p2\n", routing.RetryIfNotRun, true, "id: 1\ndata: p1\n\n", 1},
		{
			"inside a line, resumable", head + "\r\nid: 1\ndata: p1\n\nid: 2\nda", routing.RetryResume, false,
			"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n", 1,
		},
		{
			"inside an event of a stream in chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: p1\n\nid: 2\nda") + lastChunk,
			routing.RetryIfNotRun, true, "id: 1\ndata: p1\n\n", 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, routing.Route{Retry: tc.retry, Stream: true},
					&target{steps: []step{sendAndClose(tc.text)}},
					&target{steps: []step{sendAndClose(head + "\r\nid: 2\ndata: p2\n\n")}})
				q := &crashCounter{}
				b.cfg.Quarantine = q
				out := b.do(t, nil)
				require.Equal(t, http.StatusOK, out.status)
				require.Equal(t, tc.aborted, out.aborted)
				require.Equal(t, tc.body, out.body.String())
				require.Equal(t, tc.crashes, q.crashes)
			})
		})
	}
}

// TestStreamEndsInsideComment guards against a stream that is passed on as complete although its target broke it off inside
// a comment, before the line's end.
func TestStreamEndsInsideComment(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Type: text/event-stream\r\n\r\n"
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, routing.Route{Retry: routing.RetryIfNotRun, Stream: true},
			&target{steps: []step{sendAndClose(head + "id: 1\ndata: p1\n\n: by")}})
		out := b.do(t, nil)
		require.True(t, out.aborted)
		require.Equal(t, "id: 1\ndata: p1\n\n", out.body.String())
	})
}

// TestEventStreamOnPlainRoute guards against an event stream that is passed on as complete, with a length, although its
// target broke it off: a route that is not for streams gets its answers buffered.
func TestEventStreamOnPlainRoute(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, tc := range []struct {
		name   string
		first  string
		status int
		body   string
	}{
		{"complete", "id: 1\ndata: p1\n\n", http.StatusOK, "id: 1\ndata: p1\n\n"},
		{"inside an event", "id: 1\ndata: p1\n\nid: 2\nda", http.StatusOK, "id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"},
		{"before the first event", "", http.StatusOK, "id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, routing.Route{Retry: routing.RetryIdempotent},
					&target{steps: []step{sendAndClose(head + tc.first)}},
					&target{steps: []step{sendAndClose(head + "id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n")}})
				out := b.do(t, nil)
				require.Equal(t, tc.status, out.status)
				require.Equal(t, tc.body, out.body.String())
			})
		})
	}
}

// TestUnframedStagedStart guards against a start in two stages whose answers have neither a length nor chunks: a broken
// prefill must not be used, and a run that breaks off must be continued, also for a caller that continues a stream itself.
func TestUnframedStagedStart(t *testing.T) {
	const (
		stream  = "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nStamp: st\r\nContent-Type: text/event-stream\r\n\r\n"
		prefill = "HTTP/1.1 200 OK\r\nAttempt: id-1\r\n\r\n"
		events  = "id: 3\ndata: p3\n\nid: 4\ndata: p4\n\n"
	)
	for _, tc := range []struct {
		name    string
		prefill string
		serve   []step
		retry   routing.RetryPolicy
		aborted bool
		body    string
		// after are the ids after which the serving targets were asked to continue.
		after []string
	}{
		{"prefill broken off", prefill + "han", []step{sendAndClose(stream + events)}, routing.RetryResume, false, events, []string{"2"}},
		{"run broken off before its first event", prefill + "handle 7", []step{sendAndClose(stream), sendAndClose(stream + events)}, routing.RetryResume, false, events, []string{"2", "2"}},
		{
			"run broken off inside an event", prefill + "handle 7",
			[]step{sendAndClose(stream + "id: 3\ndata: p3\n\nid: 4\nda"), sendAndClose(stream + "id: 4\ndata: p4\n\n")},
			routing.RetryResume, false, events,
			[]string{"2", "3"},
		},
		{
			"both runs broken off", prefill + "handle 7",
			[]step{sendAndClose(stream + "id: 3\ndata: p3\n\nid: 4\nda"), sendAndClose(stream + "id: 4\ndata: p4\n")},
			routing.RetryResume, true, "id: 3\ndata: p3\n\n",
			[]string{"2", "3"},
		},
		{"not resumable", prefill + "handle 7", []step{sendAndClose(stream + "id: 3\ndata: p3\n\nid")}, routing.RetryIfNotRun, true, "id: 3\ndata: p3\n\n", []string{"2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				prefiller, first, second := &target{steps: []step{sendAndClose(tc.prefill)}}, &target{steps: tc.serve[:1]}, &target{steps: tc.serve[len(tc.serve)-1:]}
				b := newFixture(t, routing.Route{Retry: tc.retry, Stream: true}, prefiller, first, second)
				b.targets.live[0].Role = camphorhinge.RolePrefill
				b.index.Load().Config.Services[0].Engine = &routing.Engine{Slots: 4, CacheCapacity: 1e6}
				out := b.do(t, func(in *Request) {
					in.Header.Set("Prompt", "100")
					in.Header.Set("After", "2")
				})
				require.Equal(t, http.StatusOK, out.status)
				require.Equal(t, tc.aborted, out.aborted)
				require.Equal(t, tc.body, out.body.String())
				var after []string
				for _, x := range []*target{first, second} {
					for _, r := range x.requests {
						after = append(after, r.Header.Get("After"))
					}
				}
				require.Equal(t, tc.after, after)
			})
		})
	}
}
