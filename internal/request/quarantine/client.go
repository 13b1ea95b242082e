package quarantine

import (
	"context"
	"encoding/json"
	"errors"
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
	Metrics   *metrics.Set
}

const (
	// reportFor bounds the proposing of one report; it covers a change of the leader, which takes up to 2 s.
	reportFor = 5 * time.Second
	// reportEvery is the time between two proposals of a report that failed.
	reportEvery = 500 * time.Millisecond
	// reportLimit bounds the reports under way; further ones are dropped and counted.
	reportLimit = 64
	// maxKnown bounds the counts that are known; it is above what the Machine refuses at a time in practice.
	maxKnown = 65_536
)

// mark is what a node knows of a fingerprint.
type mark struct {
	count float64
	// until is when the refusal ends, expires when the count is forgotten.
	until, expires camphorhinge.Instant
}

// flight is one attempt at a target.
type flight struct {
	target   *camphorhinge.Target
	print    camphorhinge.Fingerprint
	reported bool
}

// Client counts crashes on behalf of one node. It is safe for concurrent use.
type Client struct {
	cfg     Config
	reports errgroup.Group
	base    context.Context
	stop    context.CancelFunc
	dropped *metrics.Counter
	refused *metrics.Counter
	crashes *metrics.Counter

	mu      sync.Mutex
	flights map[camphorhinge.TargetName]map[*flight]struct{}
	known   map[camphorhinge.Fingerprint]mark
}

// New returns a Client; Close ends it.
func New(cfg Config) *Client {
	c := &Client{
		cfg:     cfg,
		flights: make(map[camphorhinge.TargetName]map[*flight]struct{}),
		known:   make(map[camphorhinge.Fingerprint]mark),
		dropped: cfg.Metrics.GetOrCreateCounter("camphorhinge_crash_reports_dropped_total"),
		refused: cfg.Metrics.GetOrCreateCounter("camphorhinge_quarantine_refused_total"),
		crashes: cfg.Metrics.GetOrCreateCounter("camphorhinge_crashes_total"),
	}
	c.base, c.stop = context.WithCancel(context.Background())
	c.reports.SetLimit(reportLimit)
	return c
}

// Close ends the reports under way.
func (c *Client) Close() error {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	return c.reports.Wait()
}

// Refused reports whether a fingerprint is refused, and for how long.
func (c *Client) Refused(fp camphorhinge.Fingerprint) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.known[fp]
	if !ok {
		return 0, false
	}
	now := c.cfg.Clock.Now()
	if k.expires <= now {
		delete(c.known, fp)
		return 0, false
	}
	if k.until <= now {
		return 0, false
	}
	c.refused.Inc()
	return k.until.Sub(now), true
}

// Begin notes that a request is in flight at a target. The returned function is called once at the attempt's end: crashed
// tells that the connection was reset or closed during it, succeeded that the answer was complete.
func (c *Client) Begin(target *camphorhinge.Target, fp camphorhinge.Fingerprint) func(crashed, succeeded bool) {
	f := &flight{target: target, print: fp}
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.flights[target.Name]
	if set == nil {
		set = make(map[*flight]struct{})
		c.flights[target.Name] = set
	}
	set[f] = struct{}{}
	return func(crashed, succeeded bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if crashed && !f.reported {
			c.crashed(target.Name, target.Incarnation)
		}
		delete(set, f)
		if len(set) == 0 && len(c.flights[target.Name]) == 0 {
			delete(c.flights, target.Name)
		}
		if k := c.known[fp]; succeeded && k.count > 0 {
			delete(c.known, fp)
			c.report(command{Node: c.cfg.Node, Prints: []camphorhinge.Fingerprint{fp}, Success: true})
		}
	}
}

// Restarted notes that a target announced a new incarnation: what was in flight on earlier ones ended in a crash.
func (c *Client) Restarted(target camphorhinge.TargetName, incarnation camphorhinge.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for f := range c.flights[target] {
		if f.target.Incarnation < incarnation && !f.reported {
			c.crashed(target, f.target.Incarnation)
			return
		}
	}
}

// crashed reports all unreported attempts on an incarnation of a target as one crash.
func (c *Client) crashed(target camphorhinge.TargetName, incarnation camphorhinge.Incarnation) {
	cmd := command{Node: c.cfg.Node, Target: target, Incarnation: incarnation}
	seen := make(map[camphorhinge.Fingerprint]struct{})
	for f := range c.flights[target] {
		if f.reported || f.target.Incarnation > incarnation {
			continue
		}
		f.reported = true
		if _, ok := seen[f.print]; !ok {
			seen[f.print] = struct{}{}
			cmd.Prints = append(cmd.Prints, f.print)
		}
	}
	c.crashes.Inc()
	c.cfg.Decisions.Note("quarantine", string(target), "crash reported", map[string]string{
		"incarnation": strconv.FormatUint(uint64(incarnation), 10), "inFlight": strconv.Itoa(len(cmd.Prints)),
	})
	c.report(cmd)
}

// report proposes a command in the background and learns from its result.
func (c *Client) report(cmd command) {
	if c.base.Err() != nil {
		return
	}
	if !c.reports.TryGo(func() error {
		if c.propose(cmd) != nil {
			c.dropped.Inc()
		}
		return nil
	}) {
		c.dropped.Inc()
	}
}

func (c *Client) propose(cmd command) error {
	ctx, cancel := context.WithTimeout(c.base, reportFor)
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
			c.Learn(scores)
			return nil
		}
		// A report of uncertain outcome is not repeated: counted twice, one crash could refuse an innocent request.
		if errors.Is(err, camphorhinge.ErrUncertain) {
			return &Error{Op: "report", Kind: KindPropose, Err: err}
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "report", Kind: KindPropose, Err: err}
		case <-time.After(reportEvery):
		}
	}
}

// Learn takes over counts from a Machine, such as those that the leader sends to nodes without a replica.
func (c *Client) Learn(scores []Score) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for _, s := range scores {
		if s.Count == 0 && s.Left == 0 {
			delete(c.known, s.Print)
			continue
		}
		if len(c.known) >= maxKnown {
			c.forget(now)
		}
		old := c.known[s.Print]
		k := mark{
			count: s.Count, until: now.Add(time.Duration(s.Left) * time.Millisecond), expires: now.Add(Window),
		}
		if s.Left > 0 && old.until <= now {
			c.cfg.Decisions.Note("quarantine", strconv.FormatUint(uint64(s.Print), 16), "refused after crashes", map[string]string{
				"left": time.Duration(s.Left * int64(time.Millisecond)).String(),
			})
		}
		c.known[s.Print] = k
	}
}

// forget drops expired counts, or all that don't refuse when there are none.
func (c *Client) forget(now camphorhinge.Instant) {
	for fp, k := range c.known {
		if k.expires <= now {
			delete(c.known, fp)
		}
	}
	if len(c.known) < maxKnown {
		return
	}
	for fp, k := range c.known {
		if k.until <= now {
			delete(c.known, fp)
		}
	}
}
