package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/standin/engine"
	"example.org/camphorhinge/internal/standin/service"
)

// node answers successive sends of one request by a script, and counts runs like a stand-in service.
type node struct {
	mu     sync.Mutex
	script []answer
	runs   map[string]int
}

// answer writes the answer to one send; want is the text or the body of a complete answer.
type answer func(n *node, w http.ResponseWriter, key, want string)

// serve starts a server that closes each connection after its answer, since the virtual time of synctest stands still
// while a connection is open.
func (n *node) serve() *httptest.Server {
	s := httptest.NewServer(n)
	s.Config.SetKeepAlivesEnabled(false)
	return s
}

func (n *node) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch req.URL.Path {
	case "/readyz":
		return
	case "/v1/counters":
		_ = json.NewEncoder(w).Encode(service.Counters{Runs: n.runs})
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(err)
	}
	want := string(body)
	if req.URL.Path == "/v1/completions" {
		var r engine.Request
		if err := json.Unmarshal(body, &r); err != nil {
			panic(err)
		}
		want = engine.Answer(r.Prompt, r.MaxTokens)
	}
	next := n.script[0]
	if len(n.script) > 1 {
		n.script = n.script[1:]
	}
	next(n, w, req.Header.Get(camphorhinge.HeaderIdempotencyKey), want)
}

// writeText sends one event with the text s.
func writeText(w http.ResponseWriter, s string) {
	data, err := json.Marshal(map[string]any{"choices": []map[string]string{{"text": s}}})
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}

const doneMark = "data: [DONE]\n\n"

// streamAnswer sends lines; "all" and "half" stand for the answer and its first half, "cut" closes the connection.
func streamAnswer(lines ...string) answer {
	return func(_ *node, w http.ResponseWriter, _, want string) {
		for _, l := range lines {
			switch l {
			case "all":
				writeText(w, want)
			case "half":
				writeText(w, want[:len(want)/2])
			case "cut":
				cutConnection(w)
				return
			default:
				fmt.Fprint(w, l)
			}
		}
	}
}

// cutConnection flushes the answer and closes the connection.
func cutConnection(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func refuse(class camphorhinge.RunClass) answer {
	return func(_ *node, w http.ResponseWriter, _, _ string) {
		if class != "" {
			w.Header().Set(camphorhinge.HeaderRun, string(class))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// runThen counts a run of the deposit and then answers by another script step.
func runThen(then answer) answer {
	return func(n *node, w http.ResponseWriter, key, want string) {
		n.runs[key]++
		then(n, w, key, want)
	}
}

// depositAnswer answers like the service; change may alter the answer, and trailer is sent after it.
func depositAnswer(change func(*service.Answer), trailer string) answer {
	return func(_ *node, w http.ResponseWriter, key, want string) {
		a := service.Answer{Key: key, Run: 1, Body: want}
		if change != nil {
			change(&a)
		}
		_ = json.NewEncoder(w).Encode(a)
		fmt.Fprint(w, trailer)
	}
}

func cutAnswer(_ *node, w http.ResponseWriter, _, _ string) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, `{"key":`)
	cutConnection(w)
}

// TestReportedFaults guards against a report that misses a fault, or that counts a fault which did not happen.
func TestReportedFaults(t *testing.T) {
	complete := depositAnswer(nil, "")
	event := func(class string) string {
		return `data: {"error":{"message":"m","run":"` + class + `"}}` + "\n\n"
	}
	for _, tt := range []struct {
		name    string
		deposit bool
		settle  time.Duration
		script  []answer
		want    Report
	}{
		{name: "complete stream", script: []answer{streamAnswer("all", doneMark)}, want: Report{Complete: 1}},
		{name: "another's stream", script: []answer{streamAnswer("data: {\"choices\":[{\"text\":\"x\"}]}\n", doneMark)}, want: Report{Wrong: 1}},
		{name: "text twice", script: []answer{streamAnswer("all", "all", doneMark)}, want: Report{Wrong: 1}},
		{name: "end mark twice", script: []answer{streamAnswer("all", doneMark, doneMark)}, want: Report{Wrong: 1}},
		{name: "text after the end mark", script: []answer{streamAnswer("all", doneMark, "all")}, want: Report{Wrong: 1}},
		{name: "end mark too early", script: []answer{streamAnswer("half", doneMark)}, want: Report{Wrong: 1}},
		{name: "malformed event", script: []answer{streamAnswer("data: {\n")}, want: Report{Wrong: 1}},
		{name: "no end mark", script: []answer{streamAnswer("all")}, want: Report{Cut: 1}},
		{name: "stream cut", script: []answer{streamAnswer("half", "cut")}, want: Report{Cut: 1}},
		{name: "another's stream cut", script: []answer{streamAnswer("data: {\"choices\":[{\"text\":\"x\"}]}\n", "cut")}, want: Report{Wrong: 1}},
		{name: "another's stream, then an error", script: []answer{streamAnswer("data: {\"choices\":[{\"text\":\"x\"}]}\n", event("unknown"))}, want: Report{Wrong: 1}},
		{name: "error event unknown", script: []answer{streamAnswer("half", event("unknown"))}, want: Report{Unknown: 1}},
		{name: "error event run", script: []answer{streamAnswer("half", event("run"))}, want: Report{Run: 1}},
		{name: "error event not run", script: []answer{streamAnswer(event("not-run"))}, want: Report{NotRun: 1}},
		{name: "not run after a part", script: []answer{streamAnswer("half", event("not-run"))}, want: Report{Wrong: 1}},
		{name: "error event without a class", script: []answer{streamAnswer("half", event(""))}, want: Report{Wrong: 1}},
		{name: "error event of an unknown class", script: []answer{streamAnswer("half", event("complete"))}, want: Report{Wrong: 1}},
		{name: "refused as not run", script: []answer{refuse(camphorhinge.NotRun)}, want: Report{NotRun: 1}},
		{name: "error without a class", script: []answer{refuse("")}, want: Report{Wrong: 1}},

		{name: "deposit", deposit: true, script: []answer{runThen(complete)}, want: Report{Complete: 1}},
		{name: "deposit's stored answer", deposit: true, settle: time.Hour, script: []answer{runThen(cutAnswer), refuse(camphorhinge.Unknown), complete}, want: Report{Complete: 1, Resent: 2}},
		{name: "deposit cut", deposit: true, script: []answer{runThen(cutAnswer)}, want: Report{Cut: 1}},
		{name: "deposit unknown", deposit: true, script: []answer{runThen(refuse(camphorhinge.Unknown))}, want: Report{Unknown: 1}},
		{name: "deposit run", deposit: true, script: []answer{runThen(refuse(camphorhinge.Run))}, want: Report{Run: 1}},
		{name: "deposit not run", deposit: true, script: []answer{refuse(camphorhinge.NotRun)}, want: Report{NotRun: 1}},
		{name: "false not run", deposit: true, script: []answer{runThen(refuse(camphorhinge.NotRun))}, want: Report{NotRun: 1, FalseNotRun: 1}},
		{name: "false not run after a cut", deposit: true, settle: 150 * time.Millisecond, script: []answer{runThen(cutAnswer), refuse(camphorhinge.NotRun)}, want: Report{NotRun: 1, FalseNotRun: 1, Resent: 2}},
		{name: "double run", deposit: true, settle: time.Hour, script: []answer{runThen(cutAnswer), runThen(complete)}, want: Report{Complete: 1, DoubleRuns: 1, Resent: 1}},
		{name: "double run reported as not run", deposit: true, script: []answer{runThen(runThen(refuse(camphorhinge.NotRun)))}, want: Report{NotRun: 1, DoubleRuns: 1}},
		{name: "lost", deposit: true, script: []answer{complete}, want: Report{Complete: 1, Lost: 1}},
		{name: "reported as run, lost", deposit: true, script: []answer{refuse(camphorhinge.Run)}, want: Report{Run: 1, Lost: 1}},
		{name: "another's answer", deposit: true, script: []answer{runThen(depositAnswer(func(a *service.Answer) { a.Key = "other" }, ""))}, want: Report{Wrong: 1}},
		{name: "another's body", deposit: true, script: []answer{runThen(depositAnswer(func(a *service.Answer) { a.Body = "other" }, ""))}, want: Report{Wrong: 1}},
		{name: "answer of a second run", deposit: true, script: []answer{runThen(depositAnswer(func(a *service.Answer) { a.Run = 2 }, ""))}, want: Report{Wrong: 1}},
		{name: "answer twice", deposit: true, script: []answer{runThen(depositAnswer(nil, "{}"))}, want: Report{Wrong: 1}},
		{name: "malformed answer", deposit: true, script: []answer{runThen(func(_ *node, w http.ResponseWriter, _, _ string) { fmt.Fprint(w, "{") })}, want: Report{Wrong: 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := &node{script: tt.script, runs: map[string]int{}}
			s := n.serve()
			defer s.Close()
			cfg := Config{Nodes: []string{s.URL}, Requests: 1, Workers: 1, Words: 4, Output: 8, Counters: []string{s.URL}, Settle: tt.settle}
			if tt.deposit {
				cfg.Deposit = "/deposits"
			} else {
				cfg.Model = "m"
			}
			synctest.Test(t, func(t *testing.T) {
				got, err := Run(context.Background(), cfg)
				require.NoError(t, err)
				examples := strings.Join(got.Examples, "\n")
				got.Duration, got.First, got.Total, got.Examples = 0, Latency{}, Latency{}, nil
				tt.want.Requests = 1
				require.Equal(t, tt.want, *got, examples)
				require.Equal(t, tt.want.Complete == 0 || tt.want.DoubleRuns+tt.want.Lost > 0, examples != "")
			})
		})
	}
}

// TestNoNodeReachable guards against a deposit that counts as not run because no node is reachable any more after an
// earlier send, and against one that counts as cut although no connection was ever opened.
func TestNoNodeReachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	closed := "http://" + l.Addr().String()
	for _, tt := range []struct {
		name   string
		settle time.Duration
		script []answer
		want   outcomeKind
	}{
		{name: "from the start", want: outcomeNotRun},
		{name: "after a cut", settle: time.Second, script: []answer{runThen(cutAnswer)}, want: outcomeCut},
		{name: "after unknown", settle: time.Second, script: []answer{runThen(refuse(camphorhinge.Unknown))}, want: outcomeUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := &node{script: tt.script, runs: map[string]int{}}
			s := n.serve()
			defer s.Close()
			synctest.Test(t, func(t *testing.T) {
				client := &http.Client{Transport: &http.Transport{}}
				r := &runner{cfg: Config{Deposit: "/deposits", Settle: tt.settle}, balancer: newBalancer([]string{closed}), client: client}
				if tt.script != nil {
					// The first request goes to the second node; then the balancer has only the first one left.
					r.balancer = newBalancer([]string{closed, s.URL})
					r.client = &http.Client{Transport: lastNodeOnly{r.balancer, closed, client.Transport}}
				}
				o := r.deposit(context.Background(), 0, false)
				require.Equal(t, tt.want, o.kind, o.detail)
				client.CloseIdleConnections()
			})
		})
	}
}

// lastNodeOnly reduces the balancer to the node last with the first request.
type lastNodeOnly struct {
	balancer *balancer
	last     string
	inner    http.RoundTripper
}

func (o lastNodeOnly) RoundTrip(req *http.Request) (*http.Response, error) {
	o.balancer.ready.Store(&[]string{o.last})
	return o.inner.RoundTrip(req)
}

// TestDeadlineBeforeTheLastRequest guards against a run that reports success although it did not send all its requests.
func TestDeadlineBeforeTheLastRequest(t *testing.T) {
	s := (&node{script: []answer{streamAnswer("all", doneMark)}}).serve()
	defer s.Close()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := Run(ctx, Config{Nodes: []string{s.URL}, Requests: 2, Workers: 1, Model: "m", Words: 4, Output: 8, Rate: 0.01})
		require.Error(t, err)
	})
}

// TestFailed guards against a violated guarantee that does not fail the run.
func TestFailed(t *testing.T) {
	for _, tt := range []struct {
		name   string
		report Report
		cfg    Config
		want   bool
	}{
		{name: "all complete", report: Report{Requests: 2, Complete: 2}, cfg: Config{AllComplete: true}},
		{name: "wrong", report: Report{Wrong: 1}, cfg: Config{AllowCuts: true}, want: true},
		{name: "double run", report: Report{DoubleRuns: 1}, cfg: Config{AllowCuts: true}, want: true},
		{name: "false not run", report: Report{FalseNotRun: 1}, cfg: Config{AllowCuts: true}, want: true},
		{name: "lost", report: Report{Lost: 1}, cfg: Config{AllowCuts: true}, want: true},
		{name: "cut", report: Report{Cut: 1}, want: true},
		{name: "cut allowed", report: Report{Cut: 1}, cfg: Config{AllowCuts: true}},
		{name: "refused", report: Report{Requests: 2, Complete: 1, NotRun: 1}},
		{name: "refused where all must complete", report: Report{Requests: 2, Complete: 1, NotRun: 1}, cfg: Config{AllComplete: true}, want: true},
	} {
		require.Equal(t, tt.want, tt.report.Failed(tt.cfg), tt.name)
	}
}
