package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// Config holds the dependencies of a Client.
type Config struct {
	Proposer camphorhinge.Proposer
	// Survived reports whether a target still runs although a connection to it broke, or has left as planned; nil means
	// that it ended. Crashes count against the segments of a prompt only when the target ended.
	Survived  func(ctx context.Context, t *camphorhinge.Target) bool
	Node      camphorhinge.NodeID
	Clock     camphorhinge.Clock
	Decisions camphorhinge.Decisions
	Log       *slog.Logger
	Metrics   *metrics.Set
}

const (
	// reportTimeout bounds the retries of one report; it covers a change of the leader, which takes up to 2 s.
	reportTimeout = 5 * time.Second
	// survivalTimeout bounds the check whether a target survived.
	survivalTimeout = time.Second
	// maxSoundDelay bounds the random delay of a report that a suspect segment is sound, so that the first of many nodes
	// spares the others theirs.
	maxSoundDelay = 200 * time.Millisecond
	// undeliveredRefusal is the remaining time that is returned for a segment that only this node refuses, since it can't
	// report its crashes.
	undeliveredRefusal = 2 * time.Second
	// reportRetryInterval is the time between two proposals of a report.
	reportRetryInterval = 500 * time.Millisecond
	// retryWindow is how long after the end of a target a request that ran there counts as retried at the next one. It covers
	// the time that a report takes to commit, by which the stamps of two crashes may be closer together than the crashes were.
	retryWindow = time.Second
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
	// index is the Score's index.
	index camphorhinge.Index
}

// inFlight is one attempt at a target.
type inFlight struct {
	target      *camphorhinge.Target
	fingerprint camphorhinge.Fingerprint
	// request is that of the segments which is the whole request, or 0.
	request  camphorhinge.Fingerprint
	segments []camphorhinge.Fingerprint
	began    camphorhinge.Instant
	reported bool
}

// observation is a crash or a success that this node reports.
type observation struct {
	command
	at camphorhinge.Instant
	// unconfirmed is the target of a crash that may have survived, or nil.
	unconfirmed *camphorhinge.Target
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
	// sound holds the last success with each segment, pending the crashes whose report is not delivered.
	sound successes
	// endedAt is when this node saw targets end with a segment within retryWindow.
	endedAt map[camphorhinge.Fingerprint][]camphorhinge.Instant
	pending map[*observation]struct{}
}

// New returns a Client, which must be closed by Close.
func New(cfg Config) *Client {
	c := &Client{
		cfg:      cfg,
		inFlight: make(map[camphorhinge.TargetName]map[*inFlight]struct{}),
		scores:   make(map[camphorhinge.Fingerprint]localScore),
		pending:  make(map[*observation]struct{}),
		endedAt:  make(map[camphorhinge.Fingerprint][]camphorhinge.Instant),
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

// Refused reports whether a request is refused, by its fingerprint or by one of its segments, and returns the remaining
// time of the refusal. It counts each refusal.
func (c *Client) Refused(fp camphorhinge.Fingerprint, segments ...camphorhinge.Fingerprint) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	left := c.remaining(now, fp)
	for _, seg := range segments {
		left = max(left, c.remaining(now, seg))
		if left == 0 && c.refusedLocally(now, seg) {
			left = undeliveredRefusal
		}
	}
	if left > 0 {
		c.refused.Inc()
	}
	return left, left > 0
}

// remaining returns the remaining time of a refusal, or 0.
func (c *Client) remaining(now camphorhinge.Instant, fp camphorhinge.Fingerprint) time.Duration {
	score, ok := c.scores[fp]
	if ok && score.expiresAt <= now {
		delete(c.scores, fp)
		return 0
	}
	return max(score.refusedUntil.Sub(now), 0)
}

// refusedLocally reports whether the crashes of a segment that this node could not report yet, together with those that
// the cluster has counted, reach the threshold.
func (c *Client) refusedLocally(now camphorhinge.Instant, seg camphorhinge.Fingerprint) bool {
	if len(c.pending) == 0 {
		return false
	}
	last, sound := c.sound.last(seg)
	crashes := int(c.scores[seg].value)
	for o := range c.pending {
		if o.at > last.at && slices.Contains(o.Segments, seg) {
			crashes++
		}
	}
	return crashes >= suspect{sound: sound && now.Sub(last.at) < Window}.threshold()
}

// Begin records an attempt at a target; segments are the parts that other requests may have as well: those of its prompt,
// and request, which is the RequestFingerprint, or 0 if that is not to be counted. The returned function must be called once
// when the attempt ends: crashed means that the connection was reset or closed during the attempt, succeeded that the answer
// was complete.
func (c *Client) Begin(
	target *camphorhinge.Target, fp, request camphorhinge.Fingerprint, segments ...camphorhinge.Fingerprint,
) func(crashed, succeeded bool) {
	f := &inFlight{target: target, fingerprint: fp, request: request, segments: segments, began: c.cfg.Clock.Now()}
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
			c.reportCrash(target.Name, target.Incarnation, target)
		}
		delete(set, f)
		if len(set) == 0 && len(c.inFlight[target.Name]) == 0 {
			delete(c.inFlight, target.Name)
		}
		if succeeded {
			c.recordSuccess(f)
		}
	}
}

// recordSuccess records the success of an attempt and reports it if the cluster has counted crashes against the request or
// its segments.
func (c *Client) recordSuccess(f *inFlight) {
	now := c.cfg.Clock.Now()
	o := &observation{command: command{Node: c.cfg.Node, Success: true}, at: now}
	if c.scores[f.fingerprint].value > 0 {
		delete(c.scores, f.fingerprint)
		o.Fingerprints = []camphorhinge.Fingerprint{f.fingerprint}
	}
	for _, seg := range f.segments {
		score := c.scores[seg]
		c.sound.put(seg, lastSuccess{at: now, reported: score.value > 0})
		if score.value > 0 {
			score.value = 0
			c.scores[seg] = score
			o.Sound = append(o.Sound, success{Segment: seg})
		}
	}
	if len(o.Fingerprints) > 0 || len(o.Sound) > 0 {
		c.report(o)
	}
}

// RecordRestart records that a target announced a new incarnation: attempts on earlier ones ended in a crash.
func (c *Client) RecordRestart(target camphorhinge.TargetName, incarnation camphorhinge.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for f := range c.inFlight[target] {
		if f.target.Incarnation < incarnation && !f.reported {
			c.reportCrash(target, f.target.Incarnation, nil)
			return
		}
	}
}

// reportCrash reports all unreported attempts up to an incarnation of a target as one crash. If unconfirmed is not nil,
// the target may have survived.
func (c *Client) reportCrash(target camphorhinge.TargetName, incarnation camphorhinge.Incarnation, unconfirmed *camphorhinge.Target) {
	now := c.cfg.Clock.Now()
	o := &observation{command: command{Node: c.cfg.Node, Target: target, Incarnation: incarnation}, at: now, unconfirmed: unconfirmed}
	fingerprints, requests := make(map[camphorhinge.Fingerprint]struct{}), make(map[camphorhinge.Fingerprint]struct{})
	// segments holds since when each segment was in flight.
	segments := make(map[camphorhinge.Fingerprint]camphorhinge.Instant)
	for f := range c.inFlight[target] {
		if f.reported || f.target.Incarnation > incarnation {
			continue
		}
		f.reported = true
		fingerprints[f.fingerprint] = struct{}{}
		if f.request != 0 {
			requests[f.request] = struct{}{}
		}
		for _, seg := range f.segments {
			if since, ok := segments[seg]; !ok || f.began < since {
				segments[seg] = f.began
			}
		}
	}
	c.forgetEnds(now)
	o.Fingerprints, o.Segments = slices.Sorted(maps.Keys(fingerprints)), slices.Sorted(maps.Keys(segments))
	o.Requests = slices.Sorted(maps.Keys(requests))
	for _, seg := range o.Segments {
		if last, ok := c.sound.last(seg); ok {
			o.Sound = append(o.Sound, success{Segment: seg, Age: now.Sub(last.at).Milliseconds()})
			c.sound.put(seg, lastSuccess{at: last.at, reported: true})
		}
		if slices.ContainsFunc(c.endedAt[seg], func(ended camphorhinge.Instant) bool { return segments[seg] >= ended }) {
			o.Retried = append(o.Retried, seg)
		}
		c.endedAt[seg] = append(c.endedAt[seg], now)
	}
	c.crashes.Inc()
	c.cfg.Log.Warn("target crashed", "target", target, "incarnation", incarnation,
		"fingerprints", o.Fingerprints[:min(len(o.Fingerprints), maxLogged)], "in_flight", len(o.Fingerprints),
		"segments", o.Segments[:min(len(o.Segments), maxLogged)], "sound", len(o.Sound))
	c.cfg.Decisions.Record("quarantine", string(target), "crash reported", map[string]string{
		"incarnation": strconv.FormatUint(uint64(incarnation), 10), "inFlight": strconv.Itoa(len(o.Fingerprints)),
	})
	c.report(o)
}

// forgetEnds removes the ends of targets before retryWindow.
func (c *Client) forgetEnds(now camphorhinge.Instant) {
	for seg, ends := range c.endedAt {
		ends = slices.DeleteFunc(ends, func(at camphorhinge.Instant) bool { return now.Sub(at) > retryWindow })
		if c.endedAt[seg] = ends; len(ends) == 0 {
			delete(c.endedAt, seg)
		}
	}
}

// report proposes a command in the background and merges the resulting scores. The caller holds c.mu.
func (c *Client) report(o *observation) {
	if c.ctx.Err() != nil {
		return
	}
	if !c.reports.TryGo(func() error {
		if err := c.deliver(o); err != nil {
			c.dropped.Inc()
			c.cfg.Log.Warn("crash report dropped", "target", o.Target, "success", o.Success, "error", err)
		}
		return nil
	}) {
		c.dropped.Inc()
		c.cfg.Log.Warn("crash report dropped", "target", o.Target, "success", o.Success, "error", "too many reports at a time")
	}
}

// deliver checks whether the target of a crash ended, and proposes the command.
func (c *Client) deliver(o *observation) error {
	if len(o.Segments) > 0 && o.unconfirmed != nil && c.survived(o.unconfirmed) {
		c.cfg.Log.Info("target survived a broken connection", "target", o.Target)
		o.Segments, o.Requests, o.Retried = nil, nil, nil
	}
	if len(o.Segments) > 0 {
		c.mu.Lock()
		c.pending[o] = struct{}{}
		c.mu.Unlock()
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.pending, o)
		}()
	}
	return c.propose(o)
}

func (c *Client) survived(t *camphorhinge.Target) bool {
	if c.cfg.Survived == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, survivalTimeout)
	defer cancel()
	return c.cfg.Survived(ctx, t)
}

// propose proposes a command until it is committed. A crash that has segments is reported for as long as it counts: the
// cluster counts it once, however often it is reported.
func (c *Client) propose(o *observation) error {
	timeout := reportTimeout
	if len(o.Segments) > 0 {
		timeout = Window
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	sound := slices.Clone(o.Sound)
	for {
		o.Age = c.cfg.Clock.Now().Sub(o.at).Milliseconds()
		for i := range o.Sound {
			o.Sound[i].Age = sound[i].Age + o.Age
		}
		encoded, err := json.Marshal(o.command)
		if err != nil {
			return &Error{Op: "report", Kind: KindCorrupt, Err: err}
		}
		out, err := c.cfg.Proposer.Propose(ctx, camphorhinge.CommandCrash, encoded)
		if err == nil {
			var scores []Score
			if err := json.Unmarshal(out, &scores); err != nil {
				return &Error{Op: "report", Kind: KindCorrupt, Err: err}
			}
			c.MergeScores(scores)
			c.cfg.Log.Info("crash report counted", "target", o.Target, "success", o.Success, "highest", highestScore(scores))
			return nil
		}
		// A report of requests with an uncertain outcome is not repeated: counted twice, a single crash could get an
		// innocent request refused.
		if errors.Is(err, camphorhinge.ErrUncertain) || o.Age > reportTimeout.Milliseconds() {
			o.Fingerprints = nil
		}
		if len(o.Fingerprints) == 0 && len(o.Segments) == 0 && len(o.Sound) == 0 {
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
// removes the stored one of a request. Scores of segments that are older than the stored one are ignored. If this node
// knows of successes with a suspect segment, it reports the last one.
func (c *Client) MergeScores(scores []Score) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	var sound []camphorhinge.Fingerprint
	for _, s := range scores {
		if s.Value == 0 && s.RemainingMillis == 0 && !s.Segment {
			delete(c.scores, s.Fingerprint)
			continue
		}
		if len(c.scores) >= maxScores {
			c.evictScores(now)
		}
		old := c.scores[s.Fingerprint]
		if s.Segment && s.Index < old.index {
			continue
		}
		if last, ok := c.sound.last(s.Fingerprint); ok && !last.reported && s.Value > 0 {
			sound = append(sound, s.Fingerprint)
		}
		score := localScore{
			value: s.Value, refusedUntil: now.Add(time.Duration(s.RemainingMillis) * time.Millisecond), expiresAt: now.Add(Window),
			index: s.Index,
		}
		if s.RemainingMillis > 0 && old.refusedUntil <= now {
			c.cfg.Log.Warn("requests refused after crashes", "fingerprint", s.Fingerprint, "segment", s.Segment, "crashes", s.Value,
				"remaining_ms", s.RemainingMillis)
			c.cfg.Decisions.Record("quarantine", strconv.FormatUint(uint64(s.Fingerprint), 16), "refused after crashes", map[string]string{
				"left": time.Duration(s.RemainingMillis * int64(time.Millisecond)).String(),
			})
		}
		if s.RemainingMillis == 0 && old.refusedUntil > now {
			c.cfg.Log.Info("refusal after crashes ended", "fingerprint", s.Fingerprint, "segment", s.Segment)
		}
		c.scores[s.Fingerprint] = score
	}
	if len(sound) > 0 {
		c.reportSound(sound)
	}
}

// reportSound reports the last success with segments that are still suspect after a random delay. The caller holds c.mu.
func (c *Client) reportSound(segments []camphorhinge.Fingerprint) {
	if c.ctx.Err() != nil {
		return
	}
	c.reports.TryGo(func() error {
		select {
		case <-c.ctx.Done():
			return nil
		case <-time.After(rand.N(maxSoundDelay)): //nolint:gosec // Timing needs no secrecy.
		}
		o := c.collectSuccesses(segments)
		if len(o.Sound) == 0 {
			return nil
		}
		if err := c.propose(o); err != nil {
			c.cfg.Log.Warn("success with suspect segments not reported", "segments", len(o.Sound), "error", err)
		}
		return nil
	})
}

// collectSuccesses returns a report of the last successes with those of the segments that are still suspect.
func (c *Client) collectSuccesses(segments []camphorhinge.Fingerprint) *observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	o := &observation{command: command{Node: c.cfg.Node, Success: true}, at: now}
	for _, seg := range segments {
		if last, ok := c.sound.last(seg); ok && !last.reported && c.scores[seg].value > 0 {
			o.Sound = append(o.Sound, success{Segment: seg, Age: now.Sub(last.at).Milliseconds()})
			c.sound.put(seg, lastSuccess{at: last.at, reported: true})
		}
	}
	return o
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
