package discovery

import (
	"context"
	"encoding/json"
	"errors"
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
	// pollInterval is the time between two rounds of polls of silent targets.
	pollInterval = 250 * time.Millisecond
	// maxPolls bounds the polls of one round, and so the cost of a failed zone to each node.
	maxPolls = 64
	// maxWarmUp exceeds the time between two renewals of a target plus the delay of a batch.
	maxWarmUp = camphorhinge.AnnounceInterval + 2*batchInterval
	// warmUpInterval is the time between two rounds of calls to the other nodes during the warm-up.
	warmUpInterval = 50 * time.Millisecond
	// maxResyncs bounds the targets that wait for a resync; a gap beyond it is detected again at the next event.
	maxResyncs = 256
	// maxBatch bounds the announcements in one call.
	maxBatch = 512
)

// Config holds the dependencies of a Service.
type Config struct {
	Node     camphorhinge.NodeID
	Registry *registry.Registry
	Pool     *peer.Pool
	// Others returns the peer addresses of all other nodes.
	Others func() []string
	// Resync receives the full list of prompt prefixes that a target caches. It returns false when it ignores the list
	// because newer cache events were already applied; the Service does not fetch the list again then.
	Resync  func(*camphorhinge.Target) bool
	Metrics *metrics.Set
	// Demands returns the demand on this node for the other nodes' limits, as *admit.Admission does; nil sends none.
	Demands func() []admit.Demand
	// Reports receives the demand on the other nodes; nil ignores it.
	Reports *admit.Reports
	// PassOnLeaves makes the node pass on the leaves that it hears of from another node, in case that one ends before it has told all. It
	// is for small groups of nodes: each leave then goes from each node to each other one.
	PassOnLeaves bool
}

// Service exchanges announcements with the other nodes; it implements the proto service Spread.
type Service struct {
	cfg    Config
	client *http.Client
	// resyncs queues the targets with missing cache events.
	resyncs chan camphorhinge.Announcement
	warm    atomic.Bool
	// missed holds the addresses of nodes that missed announcements. Only the goroutine that sends announcements uses
	// it.
	missed map[string]bool
	// start and seq identify the demand reports; only the goroutine that sends them uses seq.
	start, seq    uint64
	confirmations confirmations

	sent, failed, polled, demandSent, demandFailed *metrics.Counter
}

// New returns a Service; Run or RunWithoutPolls starts it.
func New(cfg Config) *Service {
	return &Service{
		cfg:     cfg,
		resyncs: make(chan camphorhinge.Announcement, maxResyncs), missed: map[string]bool{},
		// The value only needs to differ between two starts of the same node.
		start: uint64(time.Now().UnixNano()),
		// Each poll opens a connection, so that it also checks whether the target accepts new ones.
		client: &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		sent:   cfg.Metrics.NewCounter(`camphorhinge_spread_announcements_total`),
		failed: cfg.Metrics.NewCounter(`camphorhinge_spread_failures_total`),
		polled: cfg.Metrics.NewCounter(`camphorhinge_target_polls_total`),

		demandSent:   cfg.Metrics.NewCounter(`camphorhinge_demand_reports_total{result="sent"}`),
		demandFailed: cfg.Metrics.NewCounter(`camphorhinge_demand_reports_total{result="failed"}`),
	}
}

// Announce receives the announcements that another node received, and the demand on that node.
func (s *Service) Announce(_ context.Context, req *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	if d := req.GetDemand(); d != nil && s.cfg.Reports != nil {
		s.cfg.Reports.Add(decodeReport(req.GetNode(), d))
	}
	if err := s.apply(req, s.cfg.PassOnLeaves); err != nil {
		return nil, err
	}
	return &peerpb.AnnounceResponse{}, nil
}

// Known returns all announcements known to this node.
func (s *Service) Known(context.Context, *peerpb.KnownRequest) (*peerpb.AnnounceRequest, error) {
	return s.encodeAnnouncements(s.cfg.Registry.LiveAnnouncements()), nil
}

// Warm reports whether this node has the targets that the other nodes have: it has fetched them from another node, or
// has waited longer than the time between two renewals of a target. Before that it would refuse requests that other
// nodes can serve.
func (s *Service) Warm() bool { return s.warm.Load() }

// warmUp fetches the known announcements from the first other node that answers. It gives up after maxWarmUp, as by
// then every live target has renewed its announcement.
func (s *Service) warmUp(ctx context.Context) error {
	defer s.warm.Store(true)
	ctx, cancel := context.WithTimeout(ctx, maxWarmUp)
	defer cancel()
	for {
		for _, address := range s.cfg.Others() {
			if s.fetchKnown(ctx, address) {
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

// fetchKnown fetches the known announcements from one node and reports whether it succeeded.
func (s *Service) fetchKnown(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	known, err := s.cfg.Pool.Get(address).Spread.Known(ctx, &peerpb.KnownRequest{})
	return err == nil && s.apply(known, false) == nil
}

// apply records announcements of another node. With passOn, leaves that are new to this node are sent to the others like those that it
// received itself.
func (s *Service) apply(req *peerpb.AnnounceRequest, passOn bool) error {
	for _, t := range req.GetTargets() {
		a, err := registry.Decode(t.GetAnnouncement())
		if err != nil {
			continue // The sender has validated it; a newer version may allow more.
		}
		if _, err := s.cfg.Registry.Announce(a, time.Duration(t.GetAge())*time.Millisecond, passOn && s.beginsLeave(&a)); err != nil {
			return err
		}
	}
	return nil
}

// beginsLeave reports whether an announcement says that a target leaves of which this node did not know that.
func (s *Service) beginsLeave(a *camphorhinge.Announcement) bool {
	if !a.Leaving {
		return false
	}
	known, ok := s.cfg.Registry.Recorded(a.Name)
	return !ok || known.Announcement.Incarnation < a.Incarnation || !known.Announcement.Leaving || a.Left && !known.Announcement.Left
}

// Run exchanges announcements, polls silent targets and reports the demand until ctx ends.
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

// RunWithoutPolls exchanges announcements until ctx ends, without polls and demand reports. It is meant for nodes that
// route no requests.
func (s *Service) RunWithoutPolls(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return runEvery(ctx, batchInterval, s.announceChanges) })
	g.Go(func() error { return s.warmUp(ctx) })
	return errors.Join(g.Wait(), s.confirmations.group.Wait())
}

func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f(ctx)
		}
	}
}

// announceChanges sends the announcements received from targets to all other nodes, and all known ones to nodes that
// missed some, since a target announces only once that it leaves.
func (s *Service) announceChanges(ctx context.Context) {
	changes, others := s.cfg.Registry.TakeDirect(), s.cfg.Others()
	maps.DeleteFunc(s.missed, func(address string, _ bool) bool { return !slices.Contains(others, address) })
	missed := slices.Collect(maps.Keys(s.missed))
	clear(s.missed)
	others = slices.DeleteFunc(slices.Clone(others), func(address string) bool { return slices.Contains(missed, address) })
	s.sendAll(ctx, others, changes)
	if len(missed) > 0 {
		s.sendAll(ctx, missed, s.cfg.Registry.LiveAnnouncements())
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

// sendAll sends announcements to nodes in batches. A node that fails to receive a batch gets none of the following
// ones.
func (s *Service) sendAll(ctx context.Context, addresses []string, all []registry.Aged) {
	for batch := range slices.Chunk(all, maxBatch) {
		req := s.encodeAnnouncements(batch)
		var reached []string
		for address, err := range s.sendTo(ctx, addresses, req) {
			if err != nil {
				s.failed.Inc()
				s.missed[address] = true
				continue
			}
			s.sent.Add(len(req.GetTargets()))
			reached = append(reached, address)
		}
		addresses = reached
	}
}

// sendTo sends one request to all given nodes concurrently, and returns the outcome by address.
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

// pollSilent polls the targets whose renewals stopped arriving, and waits for the polls to end.
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

// RequestResync schedules a fetch of the full list of prefixes of a target with missing cache events. It drops the
// request when maxResyncs are waiting.
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

// pollTarget fetches the current announcement from a target.
func (s *Service) pollTarget(ctx context.Context, a camphorhinge.Announcement) {
	sent := time.Now()
	got, err := s.fetch(ctx, a, "/v1/target")
	if err != nil {
		return // The target expires unless a later poll or announcement succeeds.
	}
	_ = s.cfg.Registry.RecordPoll(got, time.Since(sent)) // The registry counts refused announcements.
}

// fetch reads an announcement from the target and checks that it bears the target's name.
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
