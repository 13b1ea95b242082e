package admit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// ReportInterval is the time between two reports of a node.
	ReportInterval = time.Second
	// ReportExpiry is how long a report is valid; two reports in a row may be lost.
	ReportExpiry = 3 * time.Second
	// MaxDemands is the greatest number of buckets in a report, which bounds its size to about 10 KB.
	MaxDemands = 256
	// maxReporters bounds the nodes whose reports are kept; it is above the 330 nodes planned for in two years.
	maxReporters = 512
	// minReportedDemand is the fraction of a limit below which the demand on it is left out of reports.
	minReportedDemand = 0.001
)

// Demand is the demand on one node for one bucket.
type Demand struct {
	Workspace camphorhinge.WorkspaceName
	// Bucket is the priority that names the bucket.
	Bucket camphorhinge.Priority
	// Requests and Tokens are per second.
	Requests, Tokens float64
}

// Demands returns the demand on this node, to be sent to the Reports of the other nodes. Of more than MaxDemands
// buckets it returns those with the greatest use of their limits, where the division into shares matters most.
func (a *Admission) Demands() []Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	type usage struct {
		Demand
		fraction float64
	}
	all := make([]usage, 0, len(a.buckets))
	for k, b := range a.buckets {
		b.decayDemand(now)
		fraction := 0.0
		if b.limit.Requests > 0 {
			fraction = b.demand.Requests / b.limit.Requests
		}
		if b.limit.Tokens > 0 {
			fraction = max(fraction, b.demand.Tokens/b.limit.Tokens)
		}
		if fraction >= minReportedDemand {
			all = append(all, usage{Demand{k.workspace, k.bucket, b.demand.Requests, b.demand.Tokens}, fraction})
		}
	}
	slices.SortFunc(all, func(x, y usage) int {
		return cmp.Or(cmp.Compare(y.fraction, x.fraction), cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Bucket, y.Bucket))
	})
	out := make([]Demand, 0, min(len(all), MaxDemands))
	for _, u := range all[:min(len(all), MaxDemands)] {
		out = append(out, u.Demand)
	}
	return out
}

// Report carries the demand on one node.
type Report struct {
	Node camphorhinge.NodeID
	// Start distinguishes the starts of a node's process, Seq numbers the reports within one start.
	Start, Seq uint64
	// Age is the time since the demand was measured.
	Age     time.Duration
	Demands []Demand
}

// Reports keeps the latest report of each other node for ReportExpiry; it implements Peers. It is safe for concurrent
// use.
type Reports struct {
	clock camphorhinge.Clock
	nodes func() int

	mu     sync.RWMutex
	latest map[camphorhinge.NodeID]*nodeReport
}

// nodeReport is the latest report of one node.
type nodeReport struct {
	start, seq uint64
	// taken is when the demand was measured, on this node's clock.
	taken   camphorhinge.Instant
	demands map[key]Limit
}

var _ Peers = (*Reports)(nil)

// NewReports creates an empty Reports; nodes returns the number of nodes that serve callers, including this one.
func NewReports(clock camphorhinge.Clock, nodes func() int) *Reports {
	return &Reports{clock: clock, nodes: nodes, latest: map[camphorhinge.NodeID]*nodeReport{}}
}

// Add stores the report of another node. It ignores an expired report, one that is not newer than the stored report of
// the same start, and one from a further node when maxReporters unexpired reports are stored. Demands with an invalid
// rate are left out.
func (r *Reports) Add(report Report) {
	now := r.clock.Now()
	nr := &nodeReport{
		start: report.Start, seq: report.Seq, taken: now.Add(-max(report.Age, 0)),
		demands: make(map[key]Limit, min(len(report.Demands), MaxDemands)),
	}
	for _, d := range report.Demands[:min(len(report.Demands), MaxDemands)] {
		if isValidRate(d.Requests) && isValidRate(d.Tokens) {
			nr.demands[key{d.Workspace, d.Bucket}] = Limit{Requests: d.Requests, Tokens: d.Tokens}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.latest[report.Node]
	if !nr.fresh(now) || old != nil && old.start == nr.start && old.seq >= nr.seq {
		return
	}
	if old == nil && len(r.latest) >= maxReporters {
		for node, l := range r.latest {
			if !l.fresh(now) {
				delete(r.latest, node)
			}
		}
		if len(r.latest) >= maxReporters {
			return
		}
	}
	r.latest[report.Node] = nr
}

// isValidRate reports whether f is finite and not negative.
func isValidRate(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

// fresh reports whether the report has not expired.
func (nr *nodeReport) fresh(now camphorhinge.Instant) bool { return now.Sub(nr.taken) < ReportExpiry }

// Nodes implements Peers.
func (r *Reports) Nodes() int { return r.nodes() }

// Demand implements Peers.
func (r *Reports) Demand(workspace camphorhinge.WorkspaceName, bucket camphorhinge.Priority) (Limit, int) {
	now := r.clock.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	var others Limit
	n := 0
	for _, nr := range r.latest {
		if !nr.fresh(now) {
			continue
		}
		n++
		d := nr.demands[key{workspace, bucket}]
		others.Requests += d.Requests
		others.Tokens += d.Tokens
	}
	return others, n
}
