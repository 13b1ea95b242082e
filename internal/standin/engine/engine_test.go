package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

func startEngine(t *testing.T, c Config) *Engine {
	t.Helper()
	c.TokenTime, c.PrefillRate = time.Millisecond, 1e6
	e, err := New(c)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return e
}

// call sends one request; header holds names and values in turn.
func call(t *testing.T, e *Engine, method, path string, body any, header ...string) (int, http.Header, []byte, error) {
	t.Helper()
	b, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+e.Addr()+path, bytes.NewReader(b))
	require.NoError(t, err)
	req.Close = true
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, out, err
}

// events splits a stream into the data of its events and checks that the ids are attempt/offset without a gap.
func events(t *testing.T, stream []byte, attempt string, from int) []string {
	t.Helper()
	var out []string
	for _, ev := range strings.Split(strings.TrimSpace(string(stream)), "\n\n") {
		id, data, ok := strings.Cut(ev, "\n")
		require.True(t, ok, "event %q", ev)
		require.Equal(t, "id: "+attempt+"/"+strconv.Itoa(from+len(out)), id)
		out = append(out, strings.TrimPrefix(data, "data: "))
	}
	return out
}

func joinText(t *testing.T, data []string) string {
	t.Helper()
	var b strings.Builder
	for _, d := range data {
		if d == "[DONE]" {
			continue
		}
		var v struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal([]byte(d), &v))
		b.WriteString(v.Choices[0].Text)
	}
	return b.String()
}

// TestStreamAndResume guards against streams whose events, offsets or end marks violate the target protocol, at the
// start and on a resume, and against an engine that runs a resumed attempt twice.
func TestStreamAndResume(t *testing.T) {
	e := startEngine(t, Config{Name: "a", Models: []camphorhinge.ModelName{"m"}})
	body := Request{Model: "m", Prompt: "historia del tablero", MaxTokens: 12, Stream: true}
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	status, header, out, err := call(t, e, "POST", "/v1/completions", body, camphorhinge.HeaderAttempt, "x1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, string(camphorhinge.Run), header.Get(camphorhinge.HeaderRun))
	all := events(t, out, "x1", 0)
	require.Len(t, all, 14)
	require.Equal(t, "[DONE]", all[13])
	require.Contains(t, all[12], `"finish_reason":"length"`)
	require.Equal(t, Answer(body.Prompt, 12), joinText(t, all))

	_, _, out, err = call(t, e, "POST", "/v1/completions", body, camphorhinge.HeaderAttempt, "x1", camphorhinge.HeaderResume, "5")
	require.NoError(t, err)
	require.Equal(t, all[5:], events(t, out, "x1", 5))
	require.Equal(t, 1, e.Counters().Runs[BodyKey(raw)])

	status, header, _, err = call(t, e, "POST", "/v1/completions", body, camphorhinge.HeaderAttempt, "x2", camphorhinge.HeaderResume, "5")
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
	require.Equal(t, string(camphorhinge.NotRun), header.Get(camphorhinge.HeaderRun))
}

// TestExportImport guards against a KV transfer that loses, repeats or recomputes tokens.
func TestExportImport(t *testing.T) {
	a := startEngine(t, Config{Name: "a"})
	b := startEngine(t, Config{Name: "b"})
	body := Request{Prompt: "p", MaxTokens: 2000, Stream: true}
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	var g errgroup.Group
	var first []byte
	g.Go(func() error {
		var err error
		_, _, first, err = call(t, a, "POST", "/v1/completions", body, camphorhinge.HeaderAttempt, "x")
		return err
	})
	var exp ExportAnswer
	require.Eventually(t, func() bool {
		var err error
		exp, err = a.export("x")
		return err == nil
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, g.Wait())
	before := events(t, first, "x", 0)
	require.Less(t, len(before), 2000)

	status, _, out, err := call(t, b, "POST", "/v1/kv/import", ImportRequest{From: a.Addr(), Handle: exp.Handle, Attempt: "x"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, string(out))
	_, _, out, err = call(t, b, "POST", "/v1/completions", body, camphorhinge.HeaderAttempt, "x",
		camphorhinge.HeaderResume, strconv.Itoa(len(before)))
	require.NoError(t, err)
	after := events(t, out, "x", len(before))
	require.Equal(t, "[DONE]", after[len(after)-1])
	require.Equal(t, Answer("p", 2000), joinText(t, before)+joinText(t, after))
	require.Equal(t, 1, a.Counters().Runs[BodyKey(raw)]+b.Counters().Runs[BodyKey(raw)])
}

// TestOrders guards against an engine that accepts an order which its fencing and order protocol must refuse.
func TestOrders(t *testing.T) {
	type step struct {
		order   Order
		prepare bool
		nonce   bool // use the nonce of the last prepare
		want    string
	}
	inc := camphorhinge.Incarnation(7)
	tests := []struct {
		name    string
		fencing camphorhinge.Fencing
		orders  camphorhinge.OrderProtocol
		steps   []step
	}{
		{"checked refuses a lower position and repeats an equal one", camphorhinge.FencingChecked, camphorhinge.OrdersPlain, []step{
			{order: Order{Fence: 5, Seq: 2}, want: "taken"},
			{order: Order{Fence: 5, Seq: 2}, want: "repeated"},
			{order: Order{Fence: 5, Seq: 1}, want: ReasonFence},
			{order: Order{Fence: 4, Seq: 9}, want: ReasonFence},
			{order: Order{Fence: 6, Seq: 1}, want: "taken"},
		}},
		{"ignored and plain takes a late order", camphorhinge.FencingIgnored, camphorhinge.OrdersPlain, []step{
			{order: Order{Fence: 5, Seq: 2}, want: "taken"},
			{order: Order{Fence: 4, Seq: 9}, want: "taken"},
		}},
		{"conditional", camphorhinge.FencingIgnored, camphorhinge.OrdersConditional, []step{
			{order: Order{Fence: 5}, want: ReasonCondition},
			{order: Order{Fence: 5, Expect: &Expect{inc, 1}}, want: "taken"},
			{order: Order{Fence: 4, Expect: &Expect{inc, 1}}, want: ReasonCondition},
			{order: Order{Fence: 4, Expect: &Expect{inc - 1, 2}}, want: ReasonCondition},
			{order: Order{Fence: 6, Expect: &Expect{inc, 2}}, want: "taken"},
		}},
		{"two-step nonce is used once and voided by the next", camphorhinge.FencingIgnored, camphorhinge.OrdersTwoStep, []step{
			{order: Order{Fence: 5}, want: ReasonNonce},
			{order: Order{Fence: 5}, prepare: true, want: "taken"},
			{order: Order{Fence: 5}, nonce: true, want: "taken"},
			{order: Order{Fence: 5}, nonce: true, want: ReasonNonce},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, err := New(Config{Incarnation: inc, Fencing: tt.fencing, Orders: tt.orders})
			require.NoError(t, err)
			defer e.listener.Close()
			nonce := ""
			for i, s := range tt.steps {
				if s.prepare {
					nonce = e.prepare(s.order).Nonce
				} else {
					if s.nonce {
						s.order.Nonce = nonce
					}
					e.order(s.order)
				}
				got := e.Counters().Orders
				require.Equal(t, s.want, got[len(got)-1].Result, "step %d", i)
			}
		})
	}
}

// TestCrash guards against a crash that leaves connections open, keeps the incarnation, or applies an interrupted order
// fully.
func TestCrash(t *testing.T) {
	e := startEngine(t, Config{
		Incarnation: 1, Models: []camphorhinge.ModelName{"m"}, CrashOn: "veneno", HalfApply: true,
		ChangeTime: time.Hour, RestartTime: time.Millisecond,
	})
	got := e.order(Order{Fence: 1, Seq: 1, Role: camphorhinge.RoleDecode, Models: []camphorhinge.ModelName{"m", "n"}})
	require.Equal(t, StateChanging, got.State)
	status, header, _, err := call(t, e, "POST", "/v1/completions", Request{Prompt: "p"}, camphorhinge.HeaderAttempt, "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, string(camphorhinge.NotRun), header.Get(camphorhinge.HeaderRun))

	e.Crash()
	restarted := func(i camphorhinge.Incarnation) func() bool {
		return func() bool {
			status, _, _, err := call(t, e, "GET", "/v1/target", nil)
			return err == nil && status == http.StatusOK && e.Target().Incarnation == i
		}
	}
	require.Eventually(t, restarted(2), 10*time.Second, time.Millisecond)
	require.Equal(t, camphorhinge.RoleDecode, e.Target().Role)
	require.Equal(t, []camphorhinge.ModelName{"m"}, e.Target().Models)
	require.False(t, e.Target().Busy)

	_, _, _, err = call(t, e, "POST", "/v1/completions", Request{Prompt: "con veneno"}, camphorhinge.HeaderAttempt, "y")
	require.Error(t, err)
	require.Eventually(t, restarted(3), 10*time.Second, time.Millisecond)
	require.Equal(t, 2, e.Counters().Crashes)
}

// TestCache guards against an engine that does not report cached prefixes, does not use them, or exceeds its cache
// size.
func TestCache(t *testing.T) {
	e := startEngine(t, Config{CacheBlocks: 3})
	long := strings.Repeat("tablero ", 1000) // two blocks
	for i, p := range []string{long, long, long + "final"} {
		_, _, _, err := call(t, e, "POST", "/v1/completions", Request{Prompt: p, MaxTokens: 1}, camphorhinge.HeaderAttempt, strconv.Itoa(i))
		require.NoError(t, err)
	}
	require.Equal(t, camphorhinge.Tokens(2002), e.Counters().Prefilled)
	_, _, _, err := call(t, e, "POST", "/v1/completions", Request{Prompt: "otro" + long, MaxTokens: 1}, camphorhinge.HeaderAttempt, "z")
	require.NoError(t, err)
	status, _, out, err := call(t, e, "GET", "/v1/target?cache=full", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	var a camphorhinge.Announcement
	require.NoError(t, json.Unmarshal(out, &a))
	require.Len(t, a.Cache.Events, 3)
	require.Equal(t, camphorhinge.Sequence(5), a.Cache.Seq)
}
