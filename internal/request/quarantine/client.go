package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// Config holds the dependencies of a Client.
type Config struct {
	Proposer  camphorhinge.Proposer
	Node      camphorhinge.NodeID
	Clock     camphorhinge.Clock
	Decisions camphorhinge.Decisions
	Log       *slog.Logger
	Metrics   *metrics.Set
}

const (
	// reportTimeout bounds the retries of one report; it covers a change of the leader, which takes up to 2 s.
	reportTimeout = 5 * time.Second
	// reportRetryInterval is the time between two proposals of a report.
	reportRetryInterval = 500 * time.Millisecond
	// maxReports bounds the concurrent reports; further ones are dropped and counted.
	maxReports = 64
	// maxScores bounds the stored scores; in practice, the Machine refuses fewer fingerprints at a time.
	maxScores = 65_536
	// maxLogged bounds the fingerprints in a log line.
	maxLogged = 16
)

// localScore is a node's copy of the score of a fingerprint.
type localScore struct {
	value float64
	// refusedUntil is when the refusal ends, expiresAt when the score expires.
	refusedUntil, expiresAt camphorhinge.Instant
}

// inFlight is one attempt at a target.
type inFlight struct {
	target      *camphorhinge.Target
	fingerprint camphorhinge.Fingerprint
	reported    bool
}

// Client reports the crashes seen by one node and refuses quarantined requests there. It is safe for concurrent use.
type Client struct {
	cfg     Config
	reports errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc
	dropped *metrics.Counter
	refused *metrics.Counter
	crashes *metrics.Counter

	mu       sync.Mutex
	inFlight map[camphorhinge.TargetName]map[*inFlight]struct{}
	scores   map[camphorhinge.Fingerprint]localScore
}

// New returns a Client, which must be closed by Close.
func New(cfg Config) *Client {
	c := &Client{
		cfg:      cfg,
		inFlight: make(map[camphorhinge.TargetName]map[*inFlight]struct{}),
		scores:   make(map[camphorhinge.Fingerprint]localScore),
		dropped:  cfg.Metrics.GetOrCreateCounter("camphorhinge_crash_reports_dropped_total"),
		refused:  cfg.Metrics.GetOrCreateCounter("camphorhinge_quarantine_refused_total"),
		crashes:  cfg.Metrics.GetOrCreateCounter("camphorhinge_crashes_total"),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.reports.SetLimit(maxReports)
	return c
}

// Close cancels pending reports and waits for them to end.
func (c *Client) Close() error {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	return c.reports.Wait()
}

// Refused reports whether a fingerprint is refused, and returns the remaining time of the refusal. It counts each
// refusal.
func (c *Client) Refused(fp camphorhinge.Fingerprint) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	score, ok := c.scores[fp]
	if !ok {
		return 0, false
	}
	now := c.cfg.Clock.Now()
	if score.expiresAt <= now {
		delete(c.scores, fp)
		return 0, false
	}
	if score.refusedUntil <= now {
		return 0, false
	}
	c.refused.Inc()
	return score.refusedUntil.Sub(now), true
}

// Begin records an attempt at a target. The returned function must be called once when the attempt ends: crashed means
// that the connection was reset or closed during the attempt, succeeded that the answer was complete.
func (c *Client) Begin(target *camphorhinge.Target, fp camphorhinge.Fingerprint) func(crashed, succeeded bool) {
	f := &inFlight{target: target, fingerprint: fp}
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.inFlight[target.Name]
	if set == nil {
		set = make(map[*inFlight]struct{})
		c.inFlight[target.Name] = set
	}
	set[f] = struct{}{}
	return func(crashed, succeeded bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if crashed && !f.reported {
			c.reportCrash(target.Name, target.Incarnation)
		}
		delete(set, f)
		if len(set) == 0 && len(c.inFlight[target.Name]) == 0 {
			delete(c.inFlight, target.Name)
		}
		if score := c.scores[fp]; succeeded && score.value > 0 {
			delete(c.scores, fp)
			c.report(command{Node: c.cfg.Node, Fingerprints: []camphorhinge.Fingerprint{fp}, Success: true})
		}
	}
}

// RecordRestart records that a target announced a new incarnation: attempts on earlier ones ended in a crash.
func (c *Client) RecordRestart(target camphorhinge.TargetName, incarnation camphorhinge.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for f := range c.inFlight[target] {
		if f.target.Incarnation < incarnation && !f.reported {
			c.reportCrash(target, f.target.Incarnation)
			return
		}
	}
}

// reportCrash reports all unreported attempts up to an incarnation of a target as one crash.
func (c *Client) reportCrash(target camphorhinge.TargetName, incarnation camphorhinge.Incarnation) {
	cmd := command{Node: c.cfg.Node, Target: target, Incarnation: incarnation}
	seen := make(map[camphorhinge.Fingerprint]struct{})
	for f := range c.inFlight[target] {
		if f.reported || f.target.Incarnation > incarnation {
			continue
		}
		f.reported = true
		if _, ok := seen[f.fingerprint]; !ok {
			seen[f.fingerprint] = struct{}{}
			cmd.Fingerprints = append(cmd.Fingerprints, f.fingerprint)
		}
	}
	c.crashes.Inc()
	c.cfg.Log.Warn("target crashed", "target", target, "incarnation", incarnation,
		"fingerprints", cmd.Fingerprints[:min(len(cmd.Fingerprints), maxLogged)], "in_flight", len(cmd.Fingerprints))
	c.cfg.Decisions.Record("quarantine", string(target), "crash reported", map[string]string{
		"incarnation": strconv.FormatUint(uint64(incarnation), 10), "inFlight": strconv.Itoa(len(cmd.Fingerprints)),
	})
	c.report(cmd)
}

// report proposes a command in the background and merges the resulting scores.
func (c *Client) report(cmd command) {
	if c.ctx.Err() != nil {
		return
	}
	if !c.reports.TryGo(func() error {
		if err := c.propose(cmd); err != nil {
			c.dropped.Inc()
			c.cfg.Log.Warn("crash report dropped", "target", cmd.Target, "success", cmd.Success, "error", err)
		}
		return nil
	}) {
		c.dropped.Inc()
		c.cfg.Log.Warn("crash report dropped", "target", cmd.Target, "success", cmd.Success, "error", "too many reports at a time")
	}
}

func (c *Client) propose(cmd command) error {
	ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
	defer cancel()
	encoded, err := json.Marshal(cmd)
	if err != nil {
		return &Error{Op: "report", Kind: KindCorrupt, Err: err}
	}
	for {
		out, err := c.cfg.Proposer.Propose(ctx, camphorhinge.CommandCrash, encoded)
		if err == nil {
			var scores []Score
			if err := json.Unmarshal(out, &scores); err != nil {
				return &Error{Op: "report", Kind: KindCorrupt, Err: err}
			}
			c.MergeScores(scores)
			c.cfg.Log.Info("crash report counted", "target", cmd.Target, "success", cmd.Success, "highest", highestScore(scores))
			return nil
		}
		// A report with an uncertain outcome is not retried: counted twice, a single crash could get an innocent
		// request refused.
		if errors.Is(err, camphorhinge.ErrUncertain) {
			return &Error{Op: "report", Kind: KindPropose, Err: err}
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "report", Kind: KindPropose, Err: err}
		case <-time.After(reportRetryInterval):
		}
	}
}

func highestScore(scores []Score) float64 {
	highest := 0.0
	for _, s := range scores {
		highest = max(highest, s.Value)
	}
	return highest
}

// MergeScores stores scores of a Machine, such as those that the leader sends to nodes without a replica. A score of 0
// removes the stored one.
func (c *Client) MergeScores(scores []Score) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for _, s := range scores {
		if s.Value == 0 && s.RemainingMillis == 0 {
			delete(c.scores, s.Fingerprint)
			continue
		}
		if len(c.scores) >= maxScores {
			c.evictScores(now)
		}
		old := c.scores[s.Fingerprint]
		score := localScore{
			value: s.Value, refusedUntil: now.Add(time.Duration(s.RemainingMillis) * time.Millisecond), expiresAt: now.Add(Window),
		}
		if s.RemainingMillis > 0 && old.refusedUntil <= now {
			c.cfg.Log.Warn("requests refused after crashes", "fingerprint", s.Fingerprint, "crashes", s.Value, "remaining_ms", s.RemainingMillis)
			c.cfg.Decisions.Record("quarantine", strconv.FormatUint(uint64(s.Fingerprint), 16), "refused after crashes", map[string]string{
				"left": time.Duration(s.RemainingMillis * int64(time.Millisecond)).String(),
			})
		}
		c.scores[s.Fingerprint] = score
	}
}

// evictScores removes expired scores, and if that is not enough, all that don't cause a refusal.
func (c *Client) evictScores(now camphorhinge.Instant) {
	for fp, score := range c.scores {
		if score.expiresAt <= now {
			delete(c.scores, fp)
		}
	}
	if len(c.scores) < maxScores {
		return
	}
	for fp, score := range c.scores {
		if score.refusedUntil <= now {
			delete(c.scores, fp)
		}
	}
}
