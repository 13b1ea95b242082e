package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/admit"
)

const (
	// batchInterval is the time between two batches of announcements to other nodes.
	batchInterval = 250 * time.Millisecond
	// batchTimeout bounds one call to another node.
	batchTimeout = 500 * time.Millisecond
	// pollTimeout bounds one call to a target.
	pollTimeout = 500 * time.Millisecond
	// pollInterval is how often silent targets are looked for.
	pollInterval = 250 * time.Millisecond
	// pollLimit bounds the polls of one round; a dead zone must not cost a node more.
	pollLimit = 64
	// warmTime is longer than targets wait between two renewals, with the time that a batch takes to come.
	warmTime = camphorhinge.AnnounceInterval + 2*batchInterval
	// warmPause is the time between two rounds of questions to the other nodes.
	warmPause = 50 * time.Millisecond
	// gapLimit bounds the targets that wait for a full list of their prefixes; further gaps are found again with the next
	// event.
	gapLimit = 256
	// batchLimit is the largest number of announcements in one call.
	batchLimit = 512
)

// Config holds what a Spreader needs.
type Config struct {
	Node     camphorhinge.NodeID
	Registry *registry.Registry
	Pool     *peer.Pool
	// Others returns the peer addresses of all other nodes.
	Others func() []string
	// Resync takes the full list of prompt prefixes that a target caches; it reports whether the list was recent enough.
	Resync  func(*camphorhinge.Target) bool
	Metrics *metrics.Set
	// Demands returns the demand on this node for the other nodes' limits; *admit.Admission has it. Nil sends none.
	Demands func() []admit.Demand
	// Reports keeps the demand on the other nodes; nil ignores it.
	Reports *admit.Reports
}

// Spreader passes announcements on between nodes; it implements the Spread service.
type Spreader struct {
	cfg    Config
	client *http.Client
	// gaps are the targets whose cache events had a gap.
	gaps chan camphorhinge.Announcement
	warm atomic.Bool
	// behind are the nodes that missed announcements. It belongs to the goroutine that spreads.
	behind map[string]bool
	// start and seq number the reports of demand; seq belongs to the goroutine that sends them.
	start, seq uint64

	sent, failed, polled, reported, unreported *metrics.Counter
}

// New returns a Spreader.
func New(cfg Config) *Spreader {
	return &Spreader{
		cfg:  cfg,
		gaps: make(chan camphorhinge.Announcement, gapLimit), behind: map[string]bool{},
		// Only two starts of the same node have to differ.
		start: uint64(time.Now().UnixNano()),
		// A poll uses a connection of its own, since it also tells whether new connections work.
		client: &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		sent:   cfg.Metrics.NewCounter(`camphorhinge_spread_announcements_total`),
		failed: cfg.Metrics.NewCounter(`camphorhinge_spread_failures_total`),
		polled: cfg.Metrics.NewCounter(`camphorhinge_target_polls_total`),

		reported:   cfg.Metrics.NewCounter(`camphorhinge_demand_reports_total{result="sent"}`),
		unreported: cfg.Metrics.NewCounter(`camphorhinge_demand_reports_total{result="failed"}`),
	}
}

// Announce takes announcements that another node received, and the demand on that node.
func (s *Spreader) Announce(_ context.Context, req *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	if d := req.GetDemand(); d != nil && s.cfg.Reports != nil {
		s.cfg.Reports.Add(decodeReport(req.GetNode(), d))
	}
	if err := s.take(req); err != nil {
		return nil, err
	}
	return &peerpb.AnnounceResponse{}, nil
}

// Known returns what this node knows of the targets.
func (s *Spreader) Known(context.Context, *peerpb.KnownRequest) (*peerpb.AnnounceRequest, error) {
	return s.encode(s.cfg.Registry.LiveAnnouncements()), nil
}

// Warm reports whether this node knows the targets that other nodes know: it has asked one of them, or has waited for
// longer than targets wait between two renewals. Before that it would refuse requests that other nodes can serve.
func (s *Spreader) Warm() bool { return s.warm.Load() }

// warmUp asks the other nodes for the targets that they know, until one answers or each target must have renewed.
func (s *Spreader) warmUp(ctx context.Context) error {
	defer s.warm.Store(true)
	ctx, cancel := context.WithTimeout(ctx, warmTime)
	defer cancel()
	for {
		for _, address := range s.cfg.Others() {
			if s.pull(ctx, address) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(warmPause):
		}
	}
}

func (s *Spreader) pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	known, err := s.cfg.Pool.Get(address).Spread.Known(ctx, &peerpb.KnownRequest{})
	return err == nil && s.take(known) == nil
}

func (s *Spreader) take(req *peerpb.AnnounceRequest) error {
	for _, t := range req.GetTargets() {
		a, err := registry.Decode(t.GetAnnouncement())
		if err != nil {
			continue // The sender checked it; a newer sender may know more.
		}
		if _, err := s.cfg.Registry.Announce(a, time.Duration(t.GetAge())*time.Millisecond, false); err != nil {
			return err
		}
	}
	return nil
}

// Run passes announcements on and polls silent targets until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return each(ctx, batchInterval, s.spread) })
	g.Go(func() error { return each(ctx, pollInterval, s.poll) })
	g.Go(func() error { return s.resync(ctx) })
	g.Go(func() error { return s.warmUp(ctx) })
	if s.cfg.Demands != nil {
		g.Go(func() error { return each(ctx, admit.ReportInterval, s.report) })
	}
	return g.Wait()
}

// Share passes announcements on until ctx ends, without polls of targets: for nodes that route no requests.
func (s *Spreader) Share(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return each(ctx, batchInterval, s.spread) })
	g.Go(func() error { return s.warmUp(ctx) })
	return g.Wait()
}

func each(ctx context.Context, interval time.Duration, do func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			do(ctx)
		}
	}
}

// spread tells all other nodes what came directly from targets, and all that is known to those that missed something: a
// target that left tells it only once.
func (s *Spreader) spread(ctx context.Context) {
	fresh, others := s.cfg.Registry.TakeDirect(), s.cfg.Others()
	maps.DeleteFunc(s.behind, func(address string, _ bool) bool { return !slices.Contains(others, address) })
	late := slices.Collect(maps.Keys(s.behind))
	clear(s.behind)
	others = slices.DeleteFunc(slices.Clone(others), func(address string) bool { return slices.Contains(late, address) })
	s.sendAll(ctx, others, fresh)
	if len(late) > 0 {
		s.sendAll(ctx, late, s.cfg.Registry.LiveAnnouncements())
	}
}

func (s *Spreader) encode(batch []registry.Aged) *peerpb.AnnounceRequest {
	req := &peerpb.AnnounceRequest{Node: string(s.cfg.Node)}
	for _, a := range batch {
		data, err := json.Marshal(a.Announcement)
		if err != nil {
			continue // A decoded announcement can always be encoded.
		}
		req.Targets = append(req.Targets, &peerpb.Announced{Announcement: data, Age: uint64(max(a.Age, 0).Milliseconds())})
	}
	return req
}

// sendAll sends announcements to nodes in batches, up to the first that a node does not take.
func (s *Spreader) sendAll(ctx context.Context, addresses []string, all []registry.Aged) {
	for batch := range slices.Chunk(all, batchLimit) {
		req := s.encode(batch)
		var taken []string
		for address, err := range s.tell(ctx, addresses, req) {
			if err != nil {
				s.failed.Inc()
				s.behind[address] = true
				continue
			}
			s.sent.Add(len(req.GetTargets()))
			taken = append(taken, address)
		}
		addresses = taken
	}
}

// tell sends one request to nodes, and returns the outcome for each.
func (s *Spreader) tell(ctx context.Context, addresses []string, req *peerpb.AnnounceRequest) map[string]error {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	errs := make([]error, len(addresses))
	var g errgroup.Group
	for i, address := range addresses {
		g.Go(func() error {
			_, errs[i] = s.cfg.Pool.Get(address).Spread.Announce(ctx, req)
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
	out := make(map[string]error, len(addresses))
	for i, address := range addresses {
		out[address] = errs[i]
	}
	return out
}

func (s *Spreader) poll(ctx context.Context) {
	var g errgroup.Group
	for _, a := range s.cfg.Registry.DuePolls(pollLimit) {
		g.Go(func() error {
			s.polled.Inc()
			s.ask(ctx, a)
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
}

// Gap notes that cache events of a target are missing; its full list of prefixes is asked for.
func (s *Spreader) Gap(a camphorhinge.Announcement) {
	select {
	case s.gaps <- a:
	default:
	}
}

func (s *Spreader) resync(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-s.gaps:
			if got, err := s.fetch(ctx, a, "/v1/target?cache=full"); err == nil {
				s.cfg.Resync(&camphorhinge.Target{Announcement: got})
			}
		}
	}
}

// ask takes a target's own word on itself.
func (s *Spreader) ask(ctx context.Context, a camphorhinge.Announcement) {
	sent := time.Now()
	got, err := s.fetch(ctx, a, "/v1/target")
	if err != nil {
		return // The target expires unless a later poll or announcement succeeds.
	}
	_ = s.cfg.Registry.RecordPoll(got, time.Since(sent)) // A refused announcement is counted by the registry.
}

// fetch reads an announcement from the target itself.
func (s *Spreader) fetch(ctx context.Context, a camphorhinge.Announcement, path string) (camphorhinge.Announcement, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address+path, http.NoBody)
	if err != nil {
		return a, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("target %s: status %d", a.Name, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, registry.MaxAnnouncement+1))
	if err != nil {
		return a, err
	}
	got, err := registry.Decode(data)
	if err == nil && got.Name != a.Name {
		err = fmt.Errorf("target %s: its address belongs to %s now", a.Name, got.Name)
	}
	return got, err
}
