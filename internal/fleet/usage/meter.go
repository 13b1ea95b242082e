package usage

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// sendInterval is the time between two sends of counts; a node that is killed loses the counts of about this time.
	sendInterval = time.Second
	// sendTimeout bounds one send, and finalTimeout the sends at a planned stop, for which a stopping process has 300 ms.
	sendTimeout  = 400 * time.Millisecond
	finalTimeout = 200 * time.Millisecond
	// copies is the number of core nodes that get each count.
	copies = 2
	// keepOpen is how long after its end a window may still be asked for: a report is made for at most the last maxBack windows.
	keepOpen = time.Minute
	// maxBackdate bounds how long before it is recorded a request may count as begun: the reporter collects a window collectDelay after
	// its end, and the count takes sendInterval and a call to arrive.
	maxBackdate = 2 * time.Second
	// maxCores is the number of core nodes above which those that don't answer are forgotten; one that is back gets all counts again.
	maxCores = 16
	// maxUnplaced bounds the requests that are kept while true time is not known.
	maxUnplaced = 10_000
)

// Feed is the part of peerpb.Feed for usage.
type Feed interface {
	Count(ctx context.Context, req *peerpb.CountRequest) (*peerpb.CountResponse, error)
	Counted(ctx context.Context, req *peerpb.CountedRequest) (*peerpb.CountedResponse, error)
}

// Time tells true time; *clock.Reference implements it.
type Time interface {
	// At returns the true time at an instant, since the Unix epoch.
	At(t camphorhinge.Instant) (sinceEpoch time.Duration, ok bool)
	// Settled reports whether enough clocks back the time.
	Settled() bool
}

// MeterConfig holds the dependencies and settings of a Meter.
type MeterConfig struct {
	Node camphorhinge.NodeID
	// Window is the length of the windows.
	Window time.Duration
	Clock  camphorhinge.Clock
	Time   Time
	// Cores returns the peer addresses of the core nodes that answer, the preferred one first.
	Cores func() []string
	// Feed returns the RPC client of the core node at a peer address.
	Feed    func(address string) Feed
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Meter counts the requests of workspaces on an entry node and sends the counts to core nodes. It is safe for concurrent use.
type Meter struct {
	cfg MeterConfig
	// start distinguishes the starts of this process.
	start uint64

	mu      sync.Mutex
	windows map[uint64]map[camphorhinge.WorkspaceName]*count
	// changes numbers the changes of counts.
	changes uint64
	// unplaced are requests that began before true time was known.
	unplaced []begun
	cores    map[string]*coreState
	// order is the last list of core nodes that was not empty; at a planned stop there may be no newer one.
	order []string
	// failing is set while no two core nodes take the counts; only Run uses it.
	failing bool
}

// count is the number of a workspace's requests in a window, and the number of its last change.
type count struct{ n, change uint64 }

// begun is a request that began to run.
type begun struct {
	workspace camphorhinge.WorkspaceName
	at        camphorhinge.Instant
}

// coreState is what is known of a core node.
type coreState struct {
	zone string
	// start is that of the core node's process; a later process has none of the counts.
	start uint64
	// sent is the last change of counts that the core node has.
	sent uint64
}

// NewMeter returns a Meter; Run must be running.
func NewMeter(cfg MeterConfig) *Meter {
	return &Meter{
		cfg: cfg, start: rand.Uint64() | 1, //nolint:gosec // The number only distinguishes starts.
		windows: map[uint64]map[camphorhinge.WorkspaceName]*count{}, cores: map[string]*coreState{},
	}
}

// RecordRun counts a request of a workspace that began to run at the given time.
func (m *Meter) RecordRun(workspace camphorhinge.WorkspaceName, at camphorhinge.Instant) {
	if workspace == "" {
		return
	}
	m.cfg.Metrics.GetOrCreateCounter("camphorhinge_usage_counted_total").Inc()
	at = max(at, m.cfg.Clock.Now().Add(-maxBackdate))
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.cfg.Time.Settled() {
		if len(m.unplaced) < maxUnplaced {
			m.unplaced = append(m.unplaced, begun{workspace, at})
		}
		return
	}
	m.add(begun{workspace, at})
}

// add adds a request to its window. The caller holds m.mu.
func (m *Meter) add(b begun) {
	since, ok := m.cfg.Time.At(b.at)
	if !ok || since < 0 {
		return
	}
	k := uint64(since / m.cfg.Window)
	w := m.windows[k]
	if w == nil {
		w = map[camphorhinge.WorkspaceName]*count{}
		m.windows[k] = w
	}
	c := w[b.workspace]
	if c == nil {
		c = &count{}
		w[b.workspace] = c
	}
	m.changes++
	c.n, c.change = c.n+1, m.changes
}

// Observe records a core node's zone and the start of its process, 0 if that is not known, from each of its responses.
func (m *Meter) Observe(address, zone string, start uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.core(address)
	c.zone = zone
	if start != 0 && start != c.start {
		c.start, c.sent = start, 0
	}
}

// core returns the state of a core node. The caller holds m.mu.
func (m *Meter) core(address string) *coreState {
	c := m.cores[address]
	if c == nil {
		c = &coreState{}
		m.cores[address] = c
	}
	return c
}

// Run sends the counts until ctx ends, and then what is left.
func (m *Meter) Run(ctx context.Context) error {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
			defer cancel()
			m.send(final, true)
			return nil
		case <-ticker.C:
			m.send(ctx, false)
		}
	}
}

// send sends the counts that have changed to two core nodes. When one of them fails, the next one gets all that it does not have, which
// are at first all windows.
func (m *Meter) send(ctx context.Context, final bool) {
	taken := 0
	for _, address := range m.prepare(final) {
		if taken == copies {
			break
		}
		if m.sendTo(ctx, address) {
			taken++
		}
	}
	if failing := taken < copies; failing != m.failing {
		m.failing = failing
		m.cfg.Log.Info("copies of usage counts changed", "core_nodes", taken)
	}
}

// prepare counts the requests that waited for true time, drops the windows that are not asked for any more, and returns the core nodes
// in the order in which counts are sent to them.
func (m *Meter) prepare(final bool) []string {
	answering := m.cfg.Cores()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cfg.Time.Settled() || final {
		for _, b := range m.unplaced {
			m.add(b)
		}
		m.unplaced = nil
	}
	if now, ok := m.cfg.Time.At(m.cfg.Clock.Now()); ok {
		maps.DeleteFunc(m.windows, func(k uint64, _ map[camphorhinge.WorkspaceName]*count) bool {
			return now > time.Duration(k+1)*m.cfg.Window+keepOpen
		})
	}
	if len(answering) > 0 {
		m.order = answering
	}
	order := slices.Clone(m.order)
	if len(m.cores) > maxCores {
		maps.DeleteFunc(m.cores, func(address string, _ *coreState) bool { return !slices.Contains(order, address) })
	}
	// The second copy goes to another zone than the first, so that the loss of a zone does not lose both.
	for i := 1; i < len(order); i++ {
		if m.core(order[i]).zone != m.core(order[0]).zone {
			second := order[i]
			order = slices.Insert(slices.Delete(order, i, i+1), 1, second)
			break
		}
	}
	return order
}

// sendTo sends a core node the counts that it does not have, and reports whether it has all of them now.
func (m *Meter) sendTo(ctx context.Context, address string) bool {
	m.mu.Lock()
	state := m.core(address)
	start, upTo := state.start, m.changes
	req := m.changedSince(state.sent)
	m.mu.Unlock()
	if len(req.GetUsage()) == 0 {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := m.cfg.Feed(address).Count(callCtx, req)
	outcome := "sent"
	if err != nil {
		outcome = "failed"
		m.cfg.Log.Debug("usage counts not sent", "core", address, "error", err)
	}
	m.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_usage_sends_total{result=%q}", outcome)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && state.start == start {
		state.sent = upTo
	}
	return err == nil
}

// changedSince returns the cumulative counts that have changed after a change. The caller holds m.mu.
func (m *Meter) changedSince(change uint64) *peerpb.CountRequest {
	req := &peerpb.CountRequest{}
	for _, k := range slices.Sorted(maps.Keys(m.windows)) {
		u := &peerpb.Usage{Node: string(m.cfg.Node), Start: m.start, Window: k}
		for name, c := range m.windows[k] {
			if c.change > change {
				u.Workspaces, u.Counts = append(u.Workspaces, string(name)), append(u.Counts, c.n)
			}
		}
		if len(u.Workspaces) > 0 {
			req.Usage = append(req.Usage, u)
		}
	}
	return req
}
