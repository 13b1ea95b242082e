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
	// ReportExpiry is how long a report counts; two in a row may be lost.
	ReportExpiry = 3 * time.Second
	// MaxDemands bounds a report, to about 10 KB.
	MaxDemands = 256
	// maxReporters bounds the nodes whose reports are kept; it is above the 330 nodes of the size in two years.
	maxReporters = 512
	// minReportedDemand is the part of a limit below which the demand on it is not worth a report.
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

// Demands returns the demand on this node, for the Reports of the other nodes. Of more than MaxDemands buckets it returns
// those whose limits are used most, since for the others the shares matter least.
func (a *Admission) Demands() []Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	type used struct {
		Demand
		part float64
	}
	all := make([]used, 0, len(a.buckets))
	for k, b := range a.buckets {
		b.decayDemand(now)
		part := 0.0
		if b.limit.Requests > 0 {
			part = b.demand.Requests / b.limit.Requests
		}
		if b.limit.Tokens > 0 {
			part = max(part, b.demand.Tokens/b.limit.Tokens)
		}
		if part >= minReportedDemand {
			all = append(all, used{Demand{k.workspace, k.bucket, b.demand.Requests, b.demand.Tokens}, part})
		}
	}
	slices.SortFunc(all, func(x, y used) int {
		return cmp.Or(cmp.Compare(y.part, x.part), cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Bucket, y.Bucket))
	})
	out := make([]Demand, 0, min(len(all), MaxDemands))
	for _, u := range all[:min(len(all), MaxDemands)] {
		out = append(out, u.Demand)
	}
	return out
}

// Report is what a node says of the demand on it.
type Report struct {
	Node camphorhinge.NodeID
	// Start tells the starts of a node's process apart, Seq numbers the reports of one start.
	Start, Seq uint64
	// Age is the time since the demand was taken.
	Age     time.Duration
	Demands []Demand
}

// Reports keeps the latest report of each other node for ReportExpiry; it implements Peers. It is safe for concurrent use.
type Reports struct {
	clock camphorhinge.Clock
	nodes func() int

	mu     sync.RWMutex
	latest map[camphorhinge.NodeID]*nodeReport
}

type nodeReport struct {
	start, seq uint64
	// taken is when the demand was taken, on this node's clock.
	taken   camphorhinge.Instant
	demands map[key]Limit
}

var _ Peers = (*Reports)(nil)

// NewReports returns Reports without any. Nodes returns the number of nodes that serve callers, this one included.
func NewReports(clock camphorhinge.Clock, nodes func() int) *Reports {
	return &Reports{clock: clock, nodes: nodes, latest: map[camphorhinge.NodeID]*nodeReport{}}
}

// Add takes a report of another node. One that is too old, or overtaken by a later one, changes nothing.
func (r *Reports) Add(report Report) {
	now := r.clock.Now()
	h := &nodeReport{
		start: report.Start, seq: report.Seq, taken: now.Add(-max(report.Age, 0)),
		demands: make(map[key]Limit, min(len(report.Demands), MaxDemands)),
	}
	for _, d := range report.Demands[:min(len(report.Demands), MaxDemands)] {
		if isValidRate(d.Requests) && isValidRate(d.Tokens) {
			h.demands[key{d.Workspace, d.Bucket}] = Limit{Requests: d.Requests, Tokens: d.Tokens}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.latest[report.Node]
	if !h.fresh(now) || old != nil && old.start == h.start && old.seq >= h.seq {
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
	r.latest[report.Node] = h
}

// isValidRate reports whether a number can be a rate.
func isValidRate(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

func (h *nodeReport) fresh(now camphorhinge.Instant) bool { return now.Sub(h.taken) < ReportExpiry }

// Nodes implements Peers.
func (r *Reports) Nodes() int { return r.nodes() }

// Demand implements Peers.
func (r *Reports) Demand(workspace camphorhinge.WorkspaceName, bucket camphorhinge.Priority) (Limit, int) {
	now := r.clock.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	var others Limit
	n := 0
	for _, h := range r.latest {
		if !h.fresh(now) {
			continue
		}
		n++
		d := h.demands[key{workspace, bucket}]
		others.Requests += d.Requests
		others.Tokens += d.Tokens
	}
	return others, n
}
