package workload

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/role"
)

const (
	// maxTrackedServices bounds the services in one sample; with role.HistoryLength samples they take about 5 MB.
	maxTrackedServices = 128
	// maxNodes bounds the nodes whose reports are deduplicated; it exceeds the 330 nodes expected in two years.
	maxNodes = 512
	// maxStarts bounds the process starts of one node whose reports are deduplicated; a late report of an older start
	// is counted at most once more.
	maxStarts = 4
	// outputSamples is the number of samples, half a minute, over which the output tokens of answers are averaged.
	outputSamples = 6
	// recentSamples is the number of samples, a minute, that Recent covers.
	recentSamples = 12
)

// Collector sums the reports of all nodes into samples on the lease holder. It is safe for concurrent use.
type Collector struct {
	clock camphorhinge.Clock

	mu     sync.Mutex
	active bool
	since  camphorhinge.Instant
	// first is the number of samples that were dropped; the last element of samples is still open.
	first   int
	samples []sample
	nodes   map[camphorhinge.NodeID]*nodeState
}

// sample holds the sums of the reports received in one role.SampleInterval.
type sample struct {
	reports  int
	services map[camphorhinge.ServiceName]*Amounts
}

// nodeState records which reports of a node were counted.
type nodeState struct {
	reportedAt camphorhinge.Instant
	starts     []processStart // the latest used one is last
}

type processStart struct{ id, seq uint64 }

// NewCollector returns a Collector that rejects reports until Lead is called.
func NewCollector(clock camphorhinge.Clock) *Collector { return &Collector{clock: clock} }

// Lead starts collecting with an empty history: what the previous leader collected is lost, and the nodes report only
// what it has not acknowledged.
func (c *Collector) Lead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.since, c.first = true, c.clock.Now(), 0
	c.samples = []sample{{}}
	c.nodes = map[camphorhinge.NodeID]*nodeState{}
}

// Follow stops collecting and drops the history.
func (c *Collector) Follow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.samples, c.nodes = false, nil, nil
}

// Since returns the start of the history; ok is false on a node that does not lead.
func (c *Collector) Since() (at camphorhinge.Instant, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.active
}

// Add counts the report of a node's Meter; a repeated report has no effect. A report over more than a
// role.SampleInterval, such as the first one after the leader was unreachable, counts at its mean rate, so that a
// backlog does not look like a peak.
func (c *Collector) Add(encoded []byte) error {
	r, err := decode(encoded)
	if err != nil {
		return &Error{Op: "add", Kind: KindMalformed, Err: err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		return &Error{Op: "add", Kind: KindFollower, Err: camphorhinge.ErrNotLeader}
	}
	now := c.clock.Now()
	c.advance(now)
	if !c.markCounted(r, now) {
		return nil
	}
	s := &c.samples[len(c.samples)-1]
	s.reports++
	if s.services == nil {
		s.services = map[camphorhinge.ServiceName]*Amounts{}
	}
	fraction := 1.0
	if span := time.Duration(r.Span) * time.Millisecond; span > role.SampleInterval {
		fraction = float64(role.SampleInterval) / float64(span)
	}
	for name, amounts := range r.Services {
		sum := s.services[name]
		if sum == nil {
			if len(s.services) >= maxTrackedServices {
				err = &Error{Op: "add", Kind: KindFull, Err: fmt.Errorf("more than %d services", maxTrackedServices)}
				continue
			}
			sum = &Amounts{}
			s.services[name] = sum
		}
		sum.add(amounts.scaled(fraction))
	}
	return err
}

func decode(encoded []byte) (*report, error) {
	if len(encoded) > MaxReport {
		return nil, fmt.Errorf("%d bytes, at most %d are allowed", len(encoded), MaxReport)
	}
	var r report
	if err := json.Unmarshal(encoded, &r); err != nil {
		return nil, err
	}
	if r.Node == "" || r.Seq == 0 || r.Span < 0 || len(r.Services) > MaxServices {
		return nil, errors.New("node, seq, span or number of services out of range")
	}
	for name, a := range r.Services {
		if !a.valid() {
			return nil, fmt.Errorf("an amount of %s is out of range", name)
		}
	}
	return &r, nil
}

// markCounted records a report and returns whether it was not counted before.
func (c *Collector) markCounted(r *report, now camphorhinge.Instant) bool {
	o := c.nodes[r.Node]
	if o == nil {
		if len(c.nodes) >= maxNodes {
			c.evictNode()
		}
		o = &nodeState{}
		c.nodes[r.Node] = o
	}
	o.reportedAt = now
	last := processStart{id: r.Start}
	if i := slices.IndexFunc(o.starts, func(s processStart) bool { return s.id == r.Start }); i >= 0 {
		last = o.starts[i]
		if r.Seq <= last.seq {
			return false
		}
		o.starts = slices.Delete(o.starts, i, i+1)
	}
	if len(o.starts) >= maxStarts {
		o.starts = slices.Delete(o.starts, 0, 1)
	}
	last.seq = r.Seq
	o.starts = append(o.starts, last)
	return true
}

// evictNode drops the node whose last report is the oldest.
func (c *Collector) evictNode() {
	var oldest camphorhinge.NodeID
	for name, o := range c.nodes {
		if p := c.nodes[oldest]; p == nil || o.reportedAt < p.reportedAt || o.reportedAt == p.reportedAt && name < oldest {
			oldest = name
		}
	}
	delete(c.nodes, oldest)
}

// advance opens the sample of the current interval, adds empty ones for the intervals in between, and drops those that
// are too old.
func (c *Collector) advance(now camphorhinge.Instant) {
	n := int(now.Sub(c.since) / role.SampleInterval) // The number of the open sample.
	if n-c.first-len(c.samples) > role.HistoryLength {
		c.first, c.samples = n, []sample{{}}
		return
	}
	for c.first+len(c.samples) <= n {
		c.samples = append(c.samples, sample{})
	}
	if extra := len(c.samples) - role.HistoryLength - 1; extra > 0 {
		c.samples = slices.Delete(c.samples, 0, extra)
		c.first += extra
	}
}

// completeSamples returns the complete samples after the first one with a report, and the number of the first of them.
// During that first one, nodes were still looking for the new leader.
func (c *Collector) completeSamples() ([]sample, int) {
	if !c.active {
		return nil, 0
	}
	c.advance(c.clock.Now())
	done := c.samples[:len(c.samples)-1]
	from := 0
	if c.first == 0 {
		from = slices.IndexFunc(done, func(s sample) bool { return s.reports > 0 }) + 1
		if from == 0 {
			return nil, 0
		}
	}
	return done[from:], c.first + from
}

// History returns the demand on a service in the last role.HistoryLength samples, oldest first. It is zero for a
// service without requests, and empty on a node that does not lead or has not led long enough. A sample without any
// report repeats the one before, since its demand is unknown.
func (c *Collector) History(service camphorhinge.ServiceName) role.History {
	c.mu.Lock()
	defer c.mu.Unlock()
	samples, number := c.completeSamples()
	h := make(role.History, 0, len(samples))
	var total, window Amounts
	var last role.Demand
	mean, measured := 0.0, false // output tokens of one answer
	amountsAt := func(i int) Amounts {
		if i < 0 || samples[i].services[service] == nil {
			return Amounts{}
		}
		return *samples[i].services[service]
	}
	for i := range samples {
		a, expired := amountsAt(i), amountsAt(i-outputSamples)
		window.Measured += a.Measured - expired.Measured
		window.MeasuredOutput += a.MeasuredOutput - expired.MeasuredOutput
		total.add(a)
		switch {
		case window.Measured > 0:
			mean, measured = float64(window.MeasuredOutput)/float64(window.Measured), true
		case !measured && total.Requests > 0:
			// Until an answer completes, the output limit of the requests is the only estimate.
			mean = float64(total.AllowedOutput) / float64(total.Requests)
		}
		if samples[i].reports > 0 {
			last = a.demand(mean)
		}
		at := c.since.Add(time.Duration(number+i+1) * role.SampleInterval)
		h = append(h, role.Sample{At: at, Demand: last})
	}
	return h
}

// demand returns the demand in tokens per second, without the requests over a limit; output is the mean output of an
// answer.
func (a *Amounts) demand(output float64) role.Demand {
	allowed := 1.0
	if all := a.Prompt + a.AllowedOutput; all > 0 {
		allowed = max(0, 1-float64(a.LimitedTokens)/float64(all))
	}
	seconds := role.SampleInterval.Seconds()
	return role.Demand{
		Prompt: float64(a.Prompt) * allowed / seconds,
		Output: float64(max(0, a.Requests-a.Limited)) * output / seconds,
	}
}

// Recent returns the amounts of a service over the last minute of complete samples.
func (c *Collector) Recent(service camphorhinge.ServiceName) Amounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum Amounts
	samples, _ := c.completeSamples()
	for _, s := range samples[max(0, len(samples)-recentSamples):] {
		if a := s.services[service]; a != nil {
			sum.add(*a)
		}
	}
	return sum
}
