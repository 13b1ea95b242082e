package discovery

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
	// maxPolls bounds the polls of one round; a dead zone must not cost a node more.
	maxPolls = 64
	// maxWarmUp is longer than targets wait between two renewals, with the time that a batch takes to come.
	maxWarmUp = camphorhinge.AnnounceInterval + 2*batchInterval
	// warmUpInterval is the time between two rounds of questions to the other nodes.
	warmUpInterval = 50 * time.Millisecond
	// maxResyncs bounds the targets that wait for a full list of their prefixes; further gaps are found again with the next
	// event.
	maxResyncs = 256
	// maxBatch is the largest number of announcements in one call.
	maxBatch = 512
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

// Service passes announcements on between nodes; it implements the Spread service.
type Service struct {
	cfg    Config
	client *http.Client
	// resyncs are the targets whose cache events had a gap.
	resyncs chan camphorhinge.Announcement
	warm    atomic.Bool
	// missed are the nodes that missed announcements. It belongs to the goroutine that spreads.
	missed map[string]bool
	// start and seq number the reports of demand; seq belongs to the goroutine that sends them.
	start, seq uint64

	sent, failed, polled, demandSent, demandFailed *metrics.Counter
}

// New returns a Spreader.
func New(cfg Config) *Service {
	return &Service{
		cfg:     cfg,
		resyncs: make(chan camphorhinge.Announcement, maxResyncs), missed: map[string]bool{},
		// Only two starts of the same node have to differ.
		start: uint64(time.Now().UnixNano()),
		// A poll uses a connection of its own, since it also tells whether new connections work.
		client: &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		sent:   cfg.Metrics.NewCounter(`camphorhinge_spread_announcements_total`),
		failed: cfg.Metrics.NewCounter(`camphorhinge_spread_failures_total`),
		polled: cfg.Metrics.NewCounter(`camphorhinge_target_polls_total`),

		demandSent:   cfg.Metrics.NewCounter(`camphorhinge_demand_reports_total{result="sent"}`),
		demandFailed: cfg.Metrics.NewCounter(`camphorhinge_demand_reports_total{result="failed"}`),
	}
}

// Announce takes announcements that another node received, and the demand on that node.
func (s *Service) Announce(_ context.Context, req *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	if d := req.GetDemand(); d != nil && s.cfg.Reports != nil {
		s.cfg.Reports.Learn(decodeReport(req.GetNode(), d))
	}
	if err := s.apply(req); err != nil {
		return nil, err
	}
	return &peerpb.AnnounceResponse{}, nil
}

// Known returns what this node knows of the targets.
func (s *Service) Known(context.Context, *peerpb.KnownRequest) (*peerpb.AnnounceRequest, error) {
	return s.encodeAnnouncements(s.cfg.Registry.Known()), nil
}

// Warm reports whether this node knows the targets that other nodes know: it has asked one of them, or has waited for
// longer than targets wait between two renewals. Before that it would refuse requests that other nodes can serve.
func (s *Service) Warm() bool { return s.warm.Load() }

// warmUp asks the other nodes for the targets that they know, until one answers or each target must have renewed.
func (s *Service) warmUp(ctx context.Context) error {
	defer s.warm.Store(true)
	ctx, cancel := context.WithTimeout(ctx, maxWarmUp)
	defer cancel()
	for {
		for _, address := range s.cfg.Others() {
			if s.pullKnown(ctx, address) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(warmUpInterval):
		}
	}
}

func (s *Service) pullKnown(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	known, err := s.cfg.Pool.Get(address).Spread.Known(ctx, &peerpb.KnownRequest{})
	return err == nil && s.apply(known) == nil
}

func (s *Service) apply(req *peerpb.AnnounceRequest) error {
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
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return runEvery(ctx, batchInterval, s.announceChanges) })
	g.Go(func() error { return runEvery(ctx, pollInterval, s.pollSilent) })
	g.Go(func() error { return s.runResyncs(ctx) })
	g.Go(func() error { return s.warmUp(ctx) })
	if s.cfg.Demands != nil {
		g.Go(func() error { return runEvery(ctx, admit.ReportInterval, s.reportDemand) })
	}
	return g.Wait()
}

// RunWithoutPolls passes announcements on until ctx ends, without polls of targets: for nodes that route no requests.
func (s *Service) RunWithoutPolls(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return runEvery(ctx, batchInterval, s.announceChanges) })
	g.Go(func() error { return s.warmUp(ctx) })
	return g.Wait()
}

func runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) error {
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

// announceChanges tells all other nodes what came directly from targets, and all that is known to those that missed something: a
// target that left tells it only once.
func (s *Service) announceChanges(ctx context.Context) {
	fresh, others := s.cfg.Registry.TakeFresh(), s.cfg.Others()
	maps.DeleteFunc(s.missed, func(address string, _ bool) bool { return !slices.Contains(others, address) })
	late := slices.Collect(maps.Keys(s.missed))
	clear(s.missed)
	others = slices.DeleteFunc(slices.Clone(others), func(address string) bool { return slices.Contains(late, address) })
	s.sendAll(ctx, others, fresh)
	if len(late) > 0 {
		s.sendAll(ctx, late, s.cfg.Registry.Known())
	}
}

func (s *Service) encodeAnnouncements(batch []registry.Aged) *peerpb.AnnounceRequest {
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
func (s *Service) sendAll(ctx context.Context, addresses []string, all []registry.Aged) {
	for batch := range slices.Chunk(all, maxBatch) {
		req := s.encodeAnnouncements(batch)
		var taken []string
		for address, err := range s.sendTo(ctx, addresses, req) {
			if err != nil {
				s.failed.Inc()
				s.missed[address] = true
				continue
			}
			s.sent.Add(len(req.GetTargets()))
			taken = append(taken, address)
		}
		addresses = taken
	}
}

// sendTo sends one request to nodes, and returns the outcome for each.
func (s *Service) sendTo(ctx context.Context, addresses []string, req *peerpb.AnnounceRequest) map[string]error {
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

func (s *Service) pollSilent(ctx context.Context) {
	var g errgroup.Group
	for _, a := range s.cfg.Registry.DuePolls(maxPolls) {
		g.Go(func() error {
			s.polled.Inc()
			s.pollTarget(ctx, a)
			return nil
		})
	}
	_ = g.Wait() // The functions return no error.
}

// RequestResync notes that cache events of a target are missing; its full list of prefixes is asked for.
func (s *Service) RequestResync(a camphorhinge.Announcement) {
	select {
	case s.resyncs <- a:
	default:
	}
}

func (s *Service) runResyncs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-s.resyncs:
			if got, err := s.fetch(ctx, a, "/v1/target?cache=full"); err == nil {
				s.cfg.Resync(&camphorhinge.Target{Announcement: got})
			}
		}
	}
}

// pollTarget takes a target's own word on itself.
func (s *Service) pollTarget(ctx context.Context, a camphorhinge.Announcement) {
	sent := time.Now()
	got, err := s.fetch(ctx, a, "/v1/target")
	if err != nil {
		return // The target expires unless a later poll or announcement succeeds.
	}
	_ = s.cfg.Registry.Polled(got, time.Since(sent)) // A refused announcement is counted by the registry.
}

// fetch reads an announcement from the target itself.
func (s *Service) fetch(ctx context.Context, a camphorhinge.Announcement, path string) (camphorhinge.Announcement, error) {
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
