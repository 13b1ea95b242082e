package load

import (
	"context"
	"errors"
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
	// Requests is the number of requests, Workers the maximum number of concurrent ones.
	Requests, Workers int
	// Rate is in requests per second; 0 sends as fast as the workers can.
	Rate float64
	// Model is the model of the completions; empty sends none.
	Model string
	// Words is the length of each prompt in words, Output the number of output tokens.
	Words, Output int
	// Deposit is the path for non-idempotent requests; empty sends none. With both, every second request is a deposit.
	Deposit string
	// Get is the path for idempotent requests of a plain service; they replace completions.
	Get string
	// Direct is the base URL of a target, or empty. One request in directInterval bypasses the nodes and goes to it, so
	// that one run measures a node and its target under the same conditions.
	Direct string
	// Key is the API key, or empty.
	Key string
	// Counters are base URLs of stand-in services whose counters are compared with the outcomes that callers got.
	Counters []string
	// AllowCuts tolerates cut connections, for runs in which nodes are killed.
	AllowCuts bool
	// AllComplete fails the run if any request does not complete, for runs without an unplanned fault.
	AllComplete bool
	// Settle is how long a caller keeps resending a deposit whose outcome is not known.
	Settle time.Duration
	// Seed makes prompts and keys differ between runs.
	Seed uint64
}

// Report is the result of one run.
type Report struct {
	Requests int `json:"requests"`
	// Complete counts answers that were complete and correct.
	Complete int `json:"complete"`
	// Wrong counts answers that belong to another request, are incomplete or duplicated, or lack a run class.
	Wrong int `json:"wrong"`
	// NotRun, Unknown and Run count errors by class.
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	Run     int `json:"run"`
	// Cut counts connections that ended without an answer or an error.
	Cut int `json:"cut"`
	// Resent counts deposits that callers sent again.
	Resent int `json:"resent"`
	// DoubleRuns counts deposits that ran more than once, FalseNotRun those that ran although finally reported as not
	// run.
	DoubleRuns  int `json:"doubleRuns"`
	FalseNotRun int `json:"falseNotRun"`
	// Lost counts deposits that were reported as run but were counted by no service.
	Lost     int           `json:"lost"`
	Duration time.Duration `json:"duration"`
	// First and Total are the latencies to the first event and to the end of the answer.
	First Latency `json:"first"`
	Total Latency `json:"whole"`
	// DirectFirst and DirectTotal are those of the direct requests, which First and Total exclude.
	DirectFirst Latency `json:"directFirst,omitzero"`
	DirectTotal Latency `json:"directWhole,omitzero"`
	// Direct counts the complete answers of direct requests, which Complete includes.
	Direct int `json:"direct,omitempty"`
	// Examples describe the first requests that did not complete and the first faults found.
	Examples []string `json:"examples,omitempty"`
}

// Latency summarizes durations.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

const (
	// maxLatencyMicros is the upper bound of the histograms, in microseconds; longer latencies are recorded as this
	// one.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// directInterval is the number of requests per direct one; it keeps the direct requests a small part of the load.
	directInterval = 8
	// maxExamples bounds Report.Examples.
	maxExamples = 8
	// maxAnswerBytes bounds the size of an answer.
	maxAnswerBytes = 16 << 20
)

// runner holds the state of one run.
type runner struct {
	cfg      Config
	balancer *balancer
	client   *http.Client

	mu            sync.Mutex
	report        Report
	nodeLatency   histograms
	directLatency histograms
	deposits      map[string]outcome
}

// histograms record the latencies to the first event and to the end, in microseconds.
type histograms struct{ first, total *hdrhistogram.Histogram }

func newHistograms() histograms {
	const digits = 3
	return histograms{first: hdrhistogram.New(1, maxLatencyMicros, digits), total: hdrhistogram.New(1, maxLatencyMicros, digits)}
}

// Run sends the requests of cfg and checks their answers. It fails when ctx ends before all requests were sent; faults
// that it finds are counted in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := &runner{
		cfg: cfg, balancer: newBalancer(cfg.Nodes), deposits: map[string]outcome{},
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Workers, DisableCompression: true}},
		nodeLatency: newHistograms(), directLatency: newHistograms(),
	}
	defer r.client.CloseIdleConnections()
	balancerCtx, stop := context.WithCancel(ctx)
	var background errgroup.Group
	// The first check comes before the first request, so that no request goes to a node that is still starting.
	r.balancer.checkAll(ctx)
	background.Go(func() error { return r.balancer.run(balancerCtx) })

	started := time.Now()
	err := r.sendAll(ctx)
	stop()
	if werr := background.Wait(); err == nil {
		err = werr
	}
	if err != nil {
		return nil, err
	}
	r.report.Duration = time.Since(started)
	r.report.First, r.report.Total = summarize(r.nodeLatency.first), summarize(r.nodeLatency.total)
	r.report.DirectFirst, r.report.DirectTotal = summarize(r.directLatency.first), summarize(r.directLatency.total)
	if err := r.compareCounters(ctx); err != nil {
		return nil, err
	}
	return &r.report, nil
}

func (r *runner) sendAll(ctx context.Context) error {
	limit := rate.Inf
	if r.cfg.Rate > 0 {
		limit = rate.Limit(r.cfg.Rate)
	}
	limiter := rate.NewLimiter(limit, 1)
	var g errgroup.Group
	g.SetLimit(r.cfg.Workers)
	var stopped error
	for i := range r.cfg.Requests {
		// Wait fails at once when the deadline of ctx comes before the time of the request.
		if stopped = limiter.Wait(ctx); stopped != nil {
			break
		}
		g.Go(func() error {
			r.sendOne(ctx, i)
			return nil
		})
	}
	return errors.Join(g.Wait(), stopped, ctx.Err())
}

func (r *runner) sendOne(ctx context.Context, i int) {
	// Nodes get requests by round robin. Shifting the alternation of the kinds by one each round gives each node both.
	position := i + i/max(len(r.cfg.Nodes), 1)
	deposit := r.cfg.Deposit != "" && (r.cfg.Model == "" && r.cfg.Get == "" || position%2 == 1)
	direct := r.cfg.Direct != "" && i/2%directInterval == 0
	var o outcome
	switch {
	case deposit:
		o = r.deposit(ctx, i, direct)
	case r.cfg.Get != "":
		o = r.get(ctx, direct)
	default:
		o = r.completion(ctx, i, direct)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Resent += o.resent
	r.countOutcome(o, direct)
	if deposit {
		r.deposits[o.key] = o
	}
}

func (r *runner) countOutcome(o outcome, direct bool) {
	switch o.kind {
	case outcomeComplete:
		r.report.Complete++
		h := r.nodeLatency
		if direct {
			r.report.Direct++
			h = r.directLatency
		}
		recordLatency(h.first, o.first)
		recordLatency(h.total, o.total)
		return
	case outcomeWrong:
		r.report.Wrong++
	case outcomeNotRun:
		r.report.NotRun++
	case outcomeUnknown:
		r.report.Unknown++
	case outcomeRun:
		r.report.Run++
	case outcomeCut:
		r.report.Cut++
	}
	r.addExample(fmt.Sprintf("%s: %s", o.kind, o.detail))
}

func (r *runner) addExample(s string) {
	if len(r.report.Examples) < maxExamples {
		r.report.Examples = append(r.report.Examples, s)
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the histogram's range are recorded at its bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

func summarize(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	const median, high = 50, 99
	return Latency{P50: at(median), P99: at(high), Max: time.Duration(h.Max()) * time.Microsecond}
}

// Failed reports whether the run violated a guarantee: it had a wrong answer, a double run, a false not-run, a lost
// deposit, a cut connection unless AllowCuts is set, or with AllComplete a request that did not complete.
func (r *Report) Failed(cfg Config) bool {
	violations := r.Wrong + r.DoubleRuns + r.FalseNotRun + r.Lost
	if !cfg.AllowCuts {
		violations += r.Cut
	}
	if cfg.AllComplete {
		violations += r.Requests - r.Complete
	}
	return violations > 0
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "requests %d  complete %d  wrong %d  cut %d  not-run %d  unknown %d  run %d  resent %d\n",
		r.Requests, r.Complete, r.Wrong, r.Cut, r.NotRun, r.Unknown, r.Run, r.Resent)
	fmt.Fprintf(w, "deposits: double runs %d  false not-run %d  lost %d\n", r.DoubleRuns, r.FalseNotRun, r.Lost)
	fmt.Fprintf(w, "first event p50 %v p99 %v max %v; whole p50 %v p99 %v max %v; %.0f complete/s over %v\n",
		r.First.P50, r.First.P99, r.First.Max, r.Total.P50, r.Total.P99, r.Total.Max,
		float64(r.Complete)/r.Duration.Seconds(), r.Duration.Round(time.Millisecond))
	if r.Direct > 0 {
		fmt.Fprintf(w, "direct to the target: first event p50 %v p99 %v max %v; whole p50 %v p99 %v max %v\n",
			r.DirectFirst.P50, r.DirectFirst.P99, r.DirectFirst.Max, r.DirectTotal.P50, r.DirectTotal.P99, r.DirectTotal.Max)
		fmt.Fprintf(w, "added by the node: first event p50 %v p99 %v; whole p50 %v p99 %v\n",
			r.First.P50-r.DirectFirst.P50, r.First.P99-r.DirectFirst.P99, r.Total.P50-r.DirectTotal.P50, r.Total.P99-r.DirectTotal.P99)
	}
	for _, e := range r.Examples {
		fmt.Fprintf(w, "  %s\n", e)
	}
}
