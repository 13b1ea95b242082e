package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/duty"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// collectDelay is the time from the end of a window to its collection: entry nodes send each second, and the sends to a core node
	// that has failed are repeated at another one.
	collectDelay = 4 * time.Second
	// collectShare bounds collectDelay as a share of the time within which a report is due.
	collectShare = 0.4
	// collectAgain is the time after which a window is collected once more when a core node did not answer that answered before.
	collectAgain = 500 * time.Millisecond
	// startDelay is the time from the start of this process to its first collection: when all core nodes have restarted, entry nodes take
	// up to 5 s to notice it and to send all counts again: 2.5 s for a watch, 1 s of pause, 1 s until the next send.
	startDelay = 5 * time.Second
	// collectTimeout bounds one call for counts.
	collectTimeout = 400 * time.Millisecond
	// maxBack is the number of ended windows for which a new leader still makes reports.
	maxBack = 12
	// stepInterval is the time between two checks for a window to collect or a report to send.
	stepInterval = 100 * time.Millisecond
	// proposeTimeout bounds one proposal.
	proposeTimeout = 2 * time.Second
	// minRetry and maxRetry bound the pause after a call that the provider has not accepted; it doubles.
	minRetry = 500 * time.Millisecond
	maxRetry = 4 * time.Second
	// ownClock names the own wall clock among those of the core nodes.
	ownClock = "own"
)

// Provider accepts reports; *platform.Provider implements it. An error is a *duty.Error.
type Provider interface {
	ReportUsage(ctx context.Context, window uint64, counts map[camphorhinge.WorkspaceName]uint64) error
}

// Duties tells whether this node holds the provider duties; *duty.Holder implements it.
type Duties interface {
	Holds() (duty.Stamp, bool)
}

// Reference estimates true time from the wall clocks of core nodes; *clock.Reference implements it.
type Reference interface {
	Time
	// Record adds the wall clock of a core node, in milliseconds since the Unix epoch, as read at an instant.
	Record(name string, at camphorhinge.Instant, wall int64)
}

// ReporterConfig holds the dependencies and settings of a Reporter.
type ReporterConfig struct {
	// Window is the length of the windows. A report is due Due after the end of its window.
	Window, Due time.Duration
	Duties      Duties
	Provider    Provider
	Machine     *Machine
	Proposer    camphorhinge.Proposer
	// Collector is that of this node. Others returns the peer addresses of the other core nodes, and Feed their RPC clients.
	Collector *Collector
	Others    func() []string
	Feed      func(address string) Feed
	Clock     camphorhinge.Clock
	Time      Reference
	Log       *slog.Logger
	Metrics   *metrics.Set
}

// Reporter makes the reports while this node holds the provider duties.
type Reporter struct {
	cfg     ReporterConfig
	started camphorhinge.Instant
	// token is that of the duties that this node holds, or 0, and next the window to collect; only the collecting goroutine uses them.
	token camphorhinge.Term
	next  uint64
	// missing lists the core nodes without an answer to the last collection, and partial are the answers of the others if the window is
	// collected once more, at againAt.
	missing []string
	partial []*peerpb.CountedResponse
	againAt camphorhinge.Instant

	mu sync.Mutex
	// accepted are the windows that the provider has accepted while that could not be committed yet.
	accepted map[uint64]bool
	// failures counts the calls for each window since the last accepted one that may have failed because of the report.
	failures map[uint64]int
	// pause is the wait before the next call, which is made at notBefore.
	pause     time.Duration
	notBefore camphorhinge.Instant
}

// NewReporter returns a Reporter; Run must be running.
func NewReporter(cfg ReporterConfig) *Reporter {
	return &Reporter{cfg: cfg, started: cfg.Clock.Now(), accepted: map[uint64]bool{}, failures: map[uint64]int{}}
}

// Run collects and reports until ctx ends. A slow provider does not delay the collection, as counts are not kept for long.
func (r *Reporter) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.repeat(ctx, r.collectDue) })
	g.Go(func() error { return r.repeat(ctx, r.sendDue) })
	return g.Wait()
}

// repeat calls step at intervals until ctx ends.
func (r *Reporter) repeat(ctx context.Context, step func(context.Context)) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			step(ctx)
		}
	}
}

// collectDue commits the contents of the windows that are to be collected, in order.
func (r *Reporter) collectDue(ctx context.Context) {
	stamp, holds := r.cfg.Duties.Holds()
	if !holds {
		if r.token != 0 {
			r.cfg.Log.Info("usage reports end here", "token", r.token)
		}
		r.token = 0
		return
	}
	if r.cfg.Clock.Now().Sub(r.started) < startDelay {
		return
	}
	if stamp.Token != r.token && !r.begin(ctx, stamp.Token) {
		return
	}
	for ctx.Err() == nil {
		since, _ := r.cfg.Time.At(r.cfg.Clock.Now())
		late := since - time.Duration(r.next+1)*r.cfg.Window
		if late < r.delay() {
			return
		}
		now := r.cfg.Clock.Now()
		if r.partial != nil && now < r.againAt {
			return
		}
		before := r.missing
		answers := r.collect(ctx, r.next)
		if r.partial == nil && slices.ContainsFunc(r.missing, func(x string) bool { return !slices.Contains(before, x) }) {
			r.partial, r.againAt = answers, now.Add(collectAgain)
			return
		}
		counts := merge(append(answers, r.partial...))
		if err := r.commit(ctx, command{Window: r.next, Counts: counts}); err != nil {
			r.cfg.Log.Warn("content of a usage report not committed", "window", r.next, "error", err)
			return
		}
		r.next, r.partial = r.cfg.Machine.next(r.next+1), nil
	}
}

// delay returns the time from the end of a window to its collection.
func (r *Reporter) delay() time.Duration {
	if r.cfg.Due > 0 {
		return min(collectDelay, time.Duration(collectShare*float64(r.cfg.Due)))
	}
	return collectDelay
}

// begin prepares the first collection of this node's leadership; it returns false while true time is not known well enough.
func (r *Reporter) begin(ctx context.Context, token camphorhinge.Term) bool {
	answers := r.collect(ctx, 0)
	now, ok := r.cfg.Time.At(r.cfg.Clock.Now())
	if !ok || !r.cfg.Time.Settled() {
		return false
	}
	current := uint64(now / r.cfg.Window)
	// Nothing is reported of the time before the system's start. That is the oldest window with a content or, before there is one,
	// with counts.
	first, ok := r.cfg.Machine.oldest()
	if !ok {
		first = current
		for _, a := range answers {
			if oldest := a.GetOldest(); oldest > 0 {
				first = min(first, oldest)
			}
		}
	}
	if current > maxBack {
		first = max(first, current-maxBack)
	}
	r.token, r.next, r.partial = token, r.cfg.Machine.next(first), nil
	r.mu.Lock()
	clear(r.accepted)
	clear(r.failures)
	r.pause, r.notBefore = 0, 0
	r.mu.Unlock()
	r.cfg.Log.Info("usage reports begin here", "token", token, "next", r.next, "waiting", len(r.cfg.Machine.Waiting()))
	return true
}

// collect returns the counts of a window from all core nodes that answer. It records their wall clocks, and which do not answer.
func (r *Reporter) collect(ctx context.Context, window uint64) []*peerpb.CountedResponse {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	req := &peerpb.CountedRequest{Window: window}
	addresses := r.cfg.Others()
	answers, errs := make([]*peerpb.CountedResponse, len(addresses)+1), make([]error, len(addresses))
	var g errgroup.Group
	for i, address := range addresses {
		g.Go(func() error {
			sent := r.cfg.Clock.Now()
			answers[i], errs[i] = r.cfg.Feed(address).Counted(ctx, req)
			if wall := answers[i].GetWall(); errs[i] == nil && wall != 0 {
				r.cfg.Time.Record(address, sent.Add(r.cfg.Clock.Now().Sub(sent)/2), wall)
			}
			return nil
		})
	}
	own, err := r.cfg.Collector.Counted(ctx, req)
	if err == nil {
		r.cfg.Time.Record(ownClock, r.cfg.Clock.Now(), own.GetWall())
	}
	answers[len(addresses)] = own
	_ = g.Wait() // The functions return no error.
	var missing []string
	for i, err := range errs {
		if err != nil {
			answers[i], missing = nil, append(missing, addresses[i])
		}
	}
	if !slices.Equal(missing, r.missing) {
		r.missing = missing
		r.cfg.Log.Info("core nodes without usage counts changed", "missing", missing)
	}
	return answers
}

// commit commits a command.
func (r *Reporter) commit(ctx context.Context, c command) error {
	data, err := json.Marshal(c)
	if err != nil {
		panic("encode command: " + err.Error()) // It has only fields that can be encoded.
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	data, err = r.cfg.Proposer.Propose(ctx, camphorhinge.CommandUsage, data)
	if err != nil {
		return &Error{Op: "commit", Kind: KindUncommitted, Err: err}
	}
	var done result
	if err := json.Unmarshal(data, &done); err != nil {
		return &Error{Op: "commit", Kind: KindUncommitted, Err: err}
	}
	if done.First {
		r.countWindows("committed", 1)
	}
	if len(done.Lost) > 0 {
		r.countWindows("lost", len(done.Lost))
		r.cfg.Log.Error("usage reports were never accepted and are dropped", "windows", done.Lost)
	}
	return nil
}

func (r *Reporter) countWindows(result string, n int) {
	r.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_usage_windows_total{result=%q}", result)).Add(n)
}

// sendDue sends the report that is next, if one waits and its time has come.
func (r *Reporter) sendDue(ctx context.Context) {
	for ctx.Err() == nil {
		if _, holds := r.cfg.Duties.Holds(); !holds {
			return
		}
		window, ok := r.choose()
		if !ok {
			return
		}
		counts, ok := r.cfg.Machine.content(window)
		if !ok {
			return // It has just been recorded as accepted.
		}
		if !r.isAccepted(window) && !r.report(ctx, window, counts) {
			return
		}
		if err := r.commit(ctx, command{Window: window, Accepted: true}); err != nil {
			r.cfg.Log.Warn("accepted usage report not recorded", "window", window, "error", err)
			return
		}
		r.mu.Lock()
		delete(r.accepted, window)
		r.mu.Unlock()
	}
}

// choose returns the window whose report is sent next: the oldest of those that have failed least since a report was last accepted, so
// that one that always fails does not delay the others for ever. ok is false while none is to be sent.
func (r *Reporter) choose() (window uint64, ok bool) {
	waiting := r.cfg.Machine.Waiting()
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.notBefore {
		return 0, false
	}
	for _, k := range waiting {
		if !ok || r.failures[k] < r.failures[window] {
			window, ok = k, true
		}
	}
	return window, ok
}

func (r *Reporter) isAccepted(window uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted[window]
}

// report makes one call to the provider, and returns whether it has accepted the report.
func (r *Reporter) report(ctx context.Context, window uint64, counts Counts) bool {
	err := r.cfg.Provider.ReportUsage(ctx, window, counts)
	outcome := "accepted"
	var failed *duty.Error
	if errors.As(err, &failed) {
		outcome = string(failed.Kind)
	} else if err != nil {
		outcome = "failed"
	}
	r.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_provider_calls_total{call=\"usage\",result=%q}", outcome)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if r.pause == minRetry { // The second failure in a row: a single one is often the limit of calls.
			r.cfg.Log.Warn("the provider does not accept usage reports", "window", window, "error", err)
		}
		r.pause = min(max(2*r.pause, minRetry), maxRetry)
		r.notBefore = r.cfg.Clock.Now().Add(r.pause)
		if failed == nil || failed.Kind == duty.KindUncertain || failed.Kind == duty.KindRefused {
			r.failures[window]++ // The other kinds do not depend on the report.
		}
		return false
	}
	if r.pause > minRetry {
		r.cfg.Log.Info("the provider accepts usage reports again", "window", window)
	}
	r.pause, r.accepted[window] = 0, true
	clear(r.failures)
	r.countWindows("accepted", 1)
	return true
}
