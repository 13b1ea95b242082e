package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// Config describes one run.
type Config struct {
	// Nodes are base URLs of caller ports, such as http://127.0.0.1:8080.
	Nodes []string
	// Requests is the number of requests; Workers of them run at once.
	Requests, Workers int
	// Rate is in requests per second; 0 sends as fast as the workers can.
	Rate float64
	// Model is asked for completions; empty sends none.
	Model string
	// Words is the length of each prompt and Output the number of output tokens.
	Words, Output int
	// Deposit is the path for non-idempotent requests; empty sends none. With both, every second request is a deposit.
	Deposit string
	// Key is the API key, or empty.
	Key string
	// Counters are base URLs of stand-in services whose counters are compared with what callers were told.
	Counters []string
	// AllowCuts takes cut connections as allowed, for runs in which nodes are killed.
	AllowCuts bool
	// AllComplete takes any request that did not complete for a broken promise, for runs without an unplanned fault.
	AllComplete bool
	// Settle is how long a caller goes on resending a deposit whose outcome it does not know.
	Settle time.Duration
	// Seed makes prompts and keys differ between runs.
	Seed uint64
}

// Report is the result of one run.
type Report struct {
	Requests int `json:"requests"`
	// Complete counts whole answers that were checked.
	Complete int `json:"complete"`
	// Wrong counts answers that were not the caller's own, not whole, or twice.
	Wrong int `json:"wrong"`
	// NotRun, Unknown and Run count errors by class.
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	Run     int `json:"run"`
	// Cut counts connections that ended without an answer or an error.
	Cut int `json:"cut"`
	// Resent counts further tries of callers.
	Resent int `json:"resent"`
	// DoubleRuns counts deposits that ran more than once, FalseNotRun those that ran although the last word was "not run".
	DoubleRuns  int `json:"doubleRuns"`
	FalseNotRun int `json:"falseNotRun"`
	// Lost counts deposits told as done that no service counted.
	Lost     int           `json:"lost"`
	Duration time.Duration `json:"duration"`
	// First and Whole are latencies to the first piece and to the end.
	First Latency `json:"first"`
	Whole Latency `json:"whole"`
	// Examples are the first few faults, in words.
	Examples []string `json:"examples,omitempty"`
}

// Latency summarises durations.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

const (
	// maxLatency is the longest latency told apart, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	// maxExamples bounds Report.Examples.
	maxExamples = 8
	// answerLimit bounds an answer, in bytes.
	answerLimit = 16 << 20
)

// runner holds the state of one run.
type runner struct {
	cfg      Config
	balancer *balancer
	client   *http.Client

	mu       sync.Mutex
	report   Report
	first    *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	deposits map[string]ending
}

// Run sends the requests of cfg and checks their answers.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := &runner{
		cfg: cfg, balancer: newBalancer(cfg.Nodes), deposits: map[string]ending{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Workers, DisableCompression: true}},
		first:  hdrhistogram.New(1, maxLatency, 3), whole: hdrhistogram.New(1, maxLatency, 3),
	}
	defer r.client.CloseIdleConnections()
	watch, stop := context.WithCancel(ctx)
	var background errgroup.Group
	background.Go(func() error { return r.balancer.run(watch) })

	started := time.Now()
	err := r.send(ctx)
	stop()
	if werr := background.Wait(); err == nil {
		err = werr
	}
	if err != nil {
		return nil, err
	}
	r.report.Duration = time.Since(started)
	r.report.First, r.report.Whole = summary(r.first), summary(r.whole)
	if err := r.compare(ctx); err != nil {
		return nil, err
	}
	return &r.report, nil
}

func (r *runner) send(ctx context.Context) error {
	limit := rate.Inf
	if r.cfg.Rate > 0 {
		limit = rate.Limit(r.cfg.Rate)
	}
	limiter := rate.NewLimiter(limit, 1)
	var g errgroup.Group
	g.SetLimit(r.cfg.Workers)
	for i := range r.cfg.Requests {
		if err := limiter.Wait(ctx); err != nil {
			break
		}
		g.Go(func() error {
			r.one(ctx, i)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

func (r *runner) one(ctx context.Context, i int) {
	// Nodes get requests in turn; with the turns of the kinds shifted each round, each node gets both.
	deposit := r.cfg.Deposit != "" && (r.cfg.Model == "" || (i+i/len(r.cfg.Nodes))%2 == 1)
	var e ending
	if deposit {
		e = r.deposit(ctx, i)
	} else {
		e = r.complete(ctx, i)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Resent += e.resent
	r.count(e)
	if deposit {
		r.deposits[e.key] = e
	}
}

func (r *runner) count(e ending) {
	switch e.kind {
	case endComplete:
		r.report.Complete++
		record(r.first, e.first)
		record(r.whole, e.whole)
		return
	case endWrong:
		r.report.Wrong++
	case endNotRun:
		r.report.NotRun++
	case endUnknown:
		r.report.Unknown++
	case endRun:
		r.report.Run++
	case endCut:
		r.report.Cut++
	}
	r.example(fmt.Sprintf("%s: %s", e.kind, e.detail))
}

func (r *runner) example(s string) {
	if len(r.report.Examples) < maxExamples {
		r.report.Examples = append(r.report.Examples, s)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the histogram's range are taken at its bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

func summary(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	const median, high = 50, 99
	return Latency{P50: at(median), P99: at(high), Max: time.Duration(h.Max()) * time.Microsecond}
}

// Failed reports whether the run broke a promise of cfg: a wrong answer, a double run, a false "not run", a lost one, a cut
// unless cuts are allowed, or a request that did not complete where all must.
func (r *Report) Failed(cfg Config) bool {
	broken := r.Wrong + r.DoubleRuns + r.FalseNotRun + r.Lost
	if !cfg.AllowCuts {
		broken += r.Cut
	}
	if cfg.AllComplete {
		broken += r.Requests - r.Complete
	}
	return broken > 0
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "requests %d  complete %d  wrong %d  cut %d  not-run %d  unknown %d  run %d  resent %d\n",
		r.Requests, r.Complete, r.Wrong, r.Cut, r.NotRun, r.Unknown, r.Run, r.Resent)
	fmt.Fprintf(w, "deposits: double runs %d  false not-run %d  lost %d\n", r.DoubleRuns, r.FalseNotRun, r.Lost)
	fmt.Fprintf(w, "first piece p50 %v p99 %v max %v; whole p50 %v p99 %v max %v; %.0f complete/s over %v\n",
		r.First.P50, r.First.P99, r.First.Max, r.Whole.P50, r.Whole.P99, r.Whole.Max,
		float64(r.Complete)/r.Duration.Seconds(), r.Duration.Round(time.Millisecond))
	for _, e := range r.Examples {
		fmt.Fprintf(w, "  %s\n", e)
	}
}
