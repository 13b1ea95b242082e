package usage

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
	"unique"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// keepCounts is how long the counts of a window are kept after they last grew.
	keepCounts = time.Minute
	// maxCounted bounds the windows that are kept, since a node with a wrong clock could add any number of them.
	maxCounted = 128
)

// Collector keeps, on a core node, what entry nodes have counted. It is safe for concurrent use.
type Collector struct {
	clock camphorhinge.Clock
	// wall returns the wall clock in milliseconds since the Unix epoch.
	wall    func() int64
	journal *Journal

	mu      sync.Mutex
	windows map[uint64]*counted
}

// counted is what was received of one window. The names of workspaces are shared by all windows and nodes.
type counted struct {
	grown   camphorhinge.Instant
	sources map[process]map[unique.Handle[string]]uint64
}

// process is one process of an entry node.
type process struct {
	node  unique.Handle[string]
	start uint64
}

// NewCollector returns an empty Collector; wall returns the wall clock in milliseconds since the Unix epoch.
func NewCollector(clock camphorhinge.Clock, wall func() int64) *Collector {
	return &Collector{clock: clock, wall: wall, windows: map[uint64]*counted{}}
}

// UseJournal makes the Collector keep what it receives in a Journal. It must be called before Count.
func (c *Collector) UseJournal(j *Journal) { c.journal = j }

// Count records the counts of an entry node. Counts only grow, so that a call that arrives late or again changes nothing.
func (c *Collector) Count(_ context.Context, req *peerpb.CountRequest) (*peerpb.CountResponse, error) {
	c.Record(req)
	if c.journal != nil {
		c.journal.Append(req)
	}
	return &peerpb.CountResponse{}, nil
}

// Record adds counts, also those that a Journal restores.
func (c *Collector) Record(req *peerpb.CountRequest) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range req.GetUsage() {
		w := c.windows[u.GetWindow()]
		if w == nil {
			w = &counted{grown: now, sources: map[process]map[unique.Handle[string]]uint64{}}
			c.windows[u.GetWindow()] = w
		}
		from := process{intern(u.GetNode()), u.GetStart()}
		counts := w.sources[from]
		if counts == nil {
			counts = make(map[unique.Handle[string]]uint64, len(u.GetWorkspaces()))
			w.sources[from] = counts
		}
		for i, name := range u.GetWorkspaces()[:min(len(u.GetWorkspaces()), len(u.GetCounts()))] {
			workspace := intern(name)
			if n := u.GetCounts()[i]; n > counts[workspace] {
				counts[workspace], w.grown = n, now
			}
		}
	}
	c.sweep(now)
}

// intern returns the handle of a name. A string of a message shares the memory of the whole message.
func intern(name string) unique.Handle[string] { return unique.Make(strings.Clone(name)) }

// sweep removes the windows that have not grown for keepCounts, and the oldest ones over maxCounted. The caller holds c.mu.
func (c *Collector) sweep(now camphorhinge.Instant) {
	maps.DeleteFunc(c.windows, func(_ uint64, w *counted) bool { return now.Sub(w.grown) > keepCounts })
	for len(c.windows) > maxCounted {
		delete(c.windows, slices.Min(slices.Collect(maps.Keys(c.windows))))
	}
}

// Counted returns what was recorded of a window; window 0 asks for the wall clock and the oldest window only.
func (c *Collector) Counted(_ context.Context, req *peerpb.CountedRequest) (*peerpb.CountedResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(c.clock.Now())
	resp := &peerpb.CountedResponse{}
	for k := range c.windows {
		if resp.Oldest == 0 || k < resp.GetOldest() {
			resp.Oldest = k
		}
	}
	if w := c.windows[req.GetWindow()]; w != nil {
		w.fill(resp)
	}
	resp.Wall = c.wall()
	return resp, nil
}

// fill adds the counts to a response. It has each name of a workspace once, as otherwise the names would be most of its bytes.
func (w *counted) fill(resp *peerpb.CountedResponse) {
	position := map[unique.Handle[string]]int{}
	for _, counts := range w.sources {
		for name := range counts {
			if _, ok := position[name]; !ok {
				position[name] = len(resp.Workspaces)
				resp.Workspaces = append(resp.Workspaces, name.Value())
			}
		}
	}
	for from, counts := range w.sources {
		u := &peerpb.Usage{Node: from.node.Value(), Start: from.start, Counts: make([]uint64, len(position))}
		for name, n := range counts {
			u.Counts[position[name]] = n
		}
		resp.Usage = append(resp.Usage, u)
	}
}

// merge returns the sum over all entry nodes of the highest counts that any of the core nodes has.
func merge(answers []*peerpb.CountedResponse) Counts {
	type key struct {
		node      string
		start     uint64
		workspace string
	}
	highest := map[key]uint64{}
	for _, a := range answers {
		for _, u := range a.GetUsage() {
			for i, n := range u.GetCounts()[:min(len(u.GetCounts()), len(a.GetWorkspaces()))] {
				k := key{u.GetNode(), u.GetStart(), a.GetWorkspaces()[i]}
				highest[k] = max(highest[k], n)
			}
		}
	}
	sum := Counts{}
	for k, n := range highest {
		if n > 0 {
			sum[camphorhinge.WorkspaceName(k.workspace)] += n
		}
	}
	return sum
}
