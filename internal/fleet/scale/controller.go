package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/balance"
	"example.org/camphorhinge/internal/fleet/duty"
	"example.org/camphorhinge/internal/record/routing"
)

const (
	// interval is the time between two steps. A step starts at most one call, so that the most urgent one takes the next place in the
	// limit of calls.
	interval = 250 * time.Millisecond
	// loadInterval is the time between two reads of the measured load, which other nodes are called for.
	loadInterval = 500 * time.Millisecond
	// minRetry and maxRetry bound the time before a call that failed is repeated; it doubles with each failure.
	minRetry = 500 * time.Millisecond
	maxRetry = 4 * time.Second
	// minRefusal and maxRefusal bound the time for which a kind that was refused is not asked for again.
	minRefusal = 4 * time.Second
	maxRefusal = 16 * time.Second
	// silentAfter is the time without an announcement after which an engine does not count.
	silentAfter = 4 * time.Second
	// announceTime is the time for which a node knows a service before it orders its engines. They announce themselves each second; a
	// number that is ordered before all have done so would order the others away.
	announceTime = 3 * time.Second
	// reclaimNotices is the time in which all engines that are reclaimed together announce it, and reclaimPause the time after
	// the end of their notice in which the provider has no others there.
	reclaimNotices = 1500 * time.Millisecond
	reclaimPause   = 8 * time.Second
	// leaveDelay is the time in which engines that were ordered away must have announced that they leave.
	leaveDelay = 15 * time.Second
	// minCheck and maxCheck bound the time before an order is repeated because the engines differ from it.
	minCheck = 5 * time.Second
	maxCheck = time.Minute
)

// Provider takes the orders; the implementation is bound to the duty.Holder. Its errors are *duty.Error.
type Provider interface {
	// OrderTargets orders the number of a service's targets in a zone, of reclaimable ones if spot is set.
	OrderTargets(ctx context.Context, service camphorhinge.ServiceName, zone camphorhinge.Zone, count int, spot bool) error
}

// Duties tells whether this process holds the duties; *duty.Holder implements it.
type Duties interface {
	Holds() (duty.Stamp, bool)
}

// Config holds the dependencies and settings of a Controller.
type Config struct {
	Duties   Duties
	Provider Provider
	Targets  camphorhinge.Targets
	// Configuration returns the routing configuration, or nil.
	Configuration func() *routing.Config
	// Load returns the measured load of a service.
	Load  func(ctx context.Context, service camphorhinge.ServiceName) balance.Load
	Clock camphorhinge.Clock
	// HandoverDelay is the time for which a new leader has already waited when it holds the duties.
	HandoverDelay time.Duration
	Log           *slog.Logger
	Metrics       *metrics.Set
}

// Wanted is the wanted number of engines of one kind.
type Wanted struct {
	Service camphorhinge.ServiceName
	Kind    Kind
	// Wanted is the number that is to be there, Ordered the one that the provider has confirmed, and Serving that of the engines
	// that are there.
	Wanted, Ordered, Serving int
}

// Controller orders the number of engines while its process holds the duties.
type Controller struct {
	cfg Config

	// known records since when this process knows the services with scaling, also while it does not hold the duties.
	known map[camphorhinge.ServiceName]camphorhinge.Instant

	mu sync.Mutex
	// token is the token of the term in which this process holds the duties since the time since; 0 while it does not.
	token camphorhinge.Term
	since camphorhinge.Instant
	// first is set if there was nothing to order at some time in the term, so that no engines of a predecessor's orders can be starting
	// that would still be needed.
	first    bool
	services map[camphorhinge.ServiceName]*service
	// pausedUntil is when the next call may be sent after one above the limit.
	pausedUntil camphorhinge.Instant
	// down is set from a call of unknown outcome until the next answer; downUntil is the end of the pause after a call that was not
	// sent, since the provider could not be connected to.
	down      bool
	downUntil camphorhinge.Instant
}

// service is the state of one service in a term.
type service struct {
	planner *Planner
	engines map[camphorhinge.TargetName]*engine
	kinds   map[Kind]*order
	load    balance.Load
	loadAt  camphorhinge.Instant
	limits  routing.Scaling
	// removals are the orders of fewer engines within removeInterval, and removedAt is the time of the last one.
	removals  []removal
	removedAt camphorhinge.Instant
}

// removal is an order of fewer engines.
type removal struct {
	at    camphorhinge.Instant
	count int
}

// removed returns the number of engines that were ordered away within removeInterval.
func (s *service) removed(now camphorhinge.Instant) int {
	s.removals = slices.DeleteFunc(s.removals, func(r removal) bool { return now.Sub(r.at) >= removeInterval })
	n := 0
	for _, r := range s.removals {
		n += r.count
	}
	return n
}

// engine is what was last observed of an engine.
type engine struct {
	incarnation camphorhinge.Incarnation
	leaving     bool
	seen        bool
}

// order is the state of one kind of engine of a service.
type order struct {
	// live is the number of engines that announce themselves and don't leave, ordered the number that the provider has confirmed, or
	// that was there at first, and wanted the number to be ordered.
	live, ordered, wanted int
	// uncertain is set while the provider may go by another number than ordered.
	uncertain bool
	// adopted is set while the provider was not asked for the engines in this term. ordered is then the greatest number that was there:
	// engines that are silent for a time must not be ordered away by a number without them.
	adopted bool
	// reached is set once as many engines as ordered were there.
	reached  bool
	inFlight bool
	// increasedAt and orderedAt are the times of the last confirmed order of more, and of any.
	increasedAt, orderedAt camphorhinge.Instant
	// leaves is the number of engines that were ordered away and have not announced that they leave; it is void from leavesUntil.
	leaves      int
	leavesUntil camphorhinge.Instant
	// reclaimedUntil is the end of the time in which the engines announce that they are reclaimed, refusedUntil that of the time in which
	// no more are to be had.
	reclaimedUntil, refusedUntil camphorhinge.Instant
	refusal, retry, check        time.Duration
	retryAt, checkAt             camphorhinge.Instant
}

// New returns a Controller that is not running yet; Run starts it.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, known: map[camphorhinge.ServiceName]camphorhinge.Instant{}, services: map[camphorhinge.ServiceName]*service{},
	}
}

// Run plans and orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var calls errgroup.Group
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-ticker.C:
		}
		if !c.plan(ctx) {
			continue
		}
		if call := c.nextCall(); call != nil {
			calls.Go(func() error {
				call(ctx)
				return nil
			})
		}
	}
}

// Wanted returns the wanted numbers, sorted; there are none unless this process holds the duties.
func (c *Controller) Wanted() []Wanted {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Wanted
	for name, s := range c.services {
		for kind, k := range s.kinds {
			out = append(out, Wanted{Service: name, Kind: kind, Wanted: k.wanted, Ordered: k.ordered, Serving: k.live})
		}
	}
	slices.SortFunc(out, func(a, b Wanted) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), compareKinds(a.Kind, b.Kind))
	})
	return out
}

func compareKinds(a, b Kind) int {
	if c := cmp.Compare(a.Zone, b.Zone); c != 0 || a.Spot == b.Spot {
		return c
	}
	if a.Spot {
		return 1
	}
	return -1
}

// plan updates the wanted numbers of all services. It reports whether this process holds the duties.
func (c *Controller) plan(ctx context.Context) bool {
	now := c.cfg.Clock.Now()
	stamp, ok := c.cfg.Duties.Holds()
	if !ok || stamp.Token != c.token {
		c.forget()
	}
	scaled := c.scaledServices(now)
	if !ok {
		return false
	}
	c.begin(now, stamp.Token)
	c.keepOthers(scaled)
	for _, config := range scaled {
		c.planService(ctx, now, config)
	}
	c.first = c.first || len(scaled) == 0
	return true
}

// scaledServices returns the configured services whose number of engines is ordered, and records since when they are known.
func (c *Controller) scaledServices(now camphorhinge.Instant) []*routing.Service {
	config := c.cfg.Configuration()
	if config == nil {
		return nil
	}
	var out []*routing.Service
	for i := range config.Services {
		s := &config.Services[i]
		if s.Scaling == nil || s.Scaling.Max <= 0 || s.Engine == nil {
			continue
		}
		out = append(out, s)
		if _, ok := c.known[s.Name]; !ok {
			c.known[s.Name] = now
		}
	}
	return out
}

// keepOthers makes the wanted numbers of services that are not scaled any more those that were ordered. An order of unknown outcome is
// then repeated: nextCall sends none for fewer engines until one was answered.
func (c *Controller) keepOthers(scaled []*routing.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		if slices.ContainsFunc(scaled, func(x *routing.Service) bool { return x.Name == name }) {
			continue
		}
		for _, k := range s.kinds {
			k.wanted = k.ordered
		}
	}
}

// begin records that this process holds the duties in the term of the token.
func (c *Controller) begin(now camphorhinge.Instant, token camphorhinge.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token != token {
		c.token, c.since = token, now
	}
}

// forget drops the state of a term that has ended.
func (c *Controller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		for kind := range s.kinds {
			c.cfg.Metrics.UnregisterMetric(gaugeName(name, kind))
		}
	}
	c.token, c.first, c.down, c.downUntil, c.pausedUntil = 0, false, false, 0, 0
	clear(c.services)
}

func gaugeName(service camphorhinge.ServiceName, kind Kind) string {
	return fmt.Sprintf(`camphorhinge_engines_wanted{service=%q,zone=%q,spot="%t"}`, service, kind.Zone, kind.Spot)
}

func (c *Controller) planService(ctx context.Context, now camphorhinge.Instant, config *routing.Service) {
	c.mu.Lock()
	s := c.services[config.Name]
	if s == nil {
		s = &service{planner: &Planner{}, engines: map[camphorhinge.TargetName]*engine{}, kinds: map[Kind]*order{}, load: balance.Load{Running: -1}}
		c.services[config.Name] = s
	}
	c.mu.Unlock()
	if s.loadAt == 0 || now.Sub(s.loadAt) >= loadInterval {
		s.load, s.loadAt = c.cfg.Load(ctx, config.Name), now
	}
	live := c.cfg.Targets.Live(config.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.limits = *config.Scaling
	prices := s.prices(live)
	for zone := range prices {
		for _, spot := range []bool{false, true} {
			if kind := (Kind{zone, spot}); s.kinds[kind] == nil {
				s.kinds[kind] = &order{adopted: true}
			}
		}
	}
	c.observe(now, config.Name, s, live)
	if now.Sub(c.known[config.Name]) < announceTime {
		for _, k := range s.kinds {
			k.wanted = k.ordered
		}
		return
	}
	settling := !c.first && now.Sub(c.since)+c.cfg.HandoverDelay < s.limits.Boot+settleMargin
	in := Input{
		Now: now, Load: s.load, Slots: config.Engine.Slots, Limits: s.limits, Prices: prices, Stock: map[Kind]Stock{},
		Removed: s.removed(now), RemovedAt: s.removedAt, Keep: c.down || now < c.downUntil, Settling: settling,
	}
	for kind, k := range s.kinds {
		in.Stock[kind] = k.stock(now, s.limits.Boot, settling)
		in.Keep = in.Keep || now < k.reclaimedUntil.Add(s.limits.Boot+settleMargin)
	}
	d := s.planner.Plan(in)
	for _, kind := range slices.SortedFunc(maps.Keys(d.Wanted), compareKinds) {
		k := s.kinds[kind]
		if k.wanted != d.Wanted[kind] {
			c.cfg.Log.Info("wanted number of engines changed", "service", config.Name, "zone", kind.Zone, "spot", kind.Spot, "from", k.wanted,
				"to", d.Wanted[kind], "ordered", k.ordered, "serving", k.live, "reason", d.Reason, "load", s.load)
			k.wanted = d.Wanted[kind]
		}
		c.cfg.Metrics.GetOrCreateGauge(gaugeName(config.Name, kind), nil).Set(float64(k.wanted))
	}
}

// prices returns the prices of the zones that have or may have engines.
func (s *service) prices(live []*camphorhinge.Target) map[camphorhinge.Zone]float64 {
	out := map[camphorhinge.Zone]float64{}
	maps.Copy(out, s.limits.ZonePrices)
	for _, t := range live {
		if _, ok := out[t.Zone]; !ok && t.Kind == camphorhinge.KindEngine {
			out[t.Zone] = 1
		}
	}
	for kind := range s.kinds {
		if _, ok := out[kind.Zone]; !ok {
			out[kind.Zone] = 1
		}
	}
	return out
}

// observe counts the engines and finds those that leave without an order.
func (c *Controller) observe(now camphorhinge.Instant, name camphorhinge.ServiceName, s *service, live []*camphorhinge.Target) {
	first := len(s.engines) == 0
	leavers, notice := map[Kind]int{}, map[Kind]time.Duration{}
	for _, k := range s.kinds {
		k.live = 0
	}
	for _, e := range s.engines {
		e.seen = false
	}
	for _, t := range live {
		if t.Kind != camphorhinge.KindEngine {
			continue
		}
		kind := Kind{t.Zone, t.Spot}
		e := s.engines[t.Name]
		if e == nil || e.incarnation != t.Incarnation {
			e = &engine{incarnation: t.Incarnation, leaving: t.Leaving && first}
			s.engines[t.Name] = e
		}
		e.seen = true
		if t.Leaving && !e.leaving {
			e.leaving = true
			leavers[kind]++
			notice[kind] = max(notice[kind], time.Duration(t.LeavesIn)*time.Millisecond)
		}
		if !t.Leaving && now.Sub(t.ReportedAt) <= silentAfter {
			s.kinds[kind].live++
		}
	}
	maps.DeleteFunc(s.engines, func(_ camphorhinge.TargetName, e *engine) bool { return !e.seen })
	for kind, k := range s.kinds {
		unexpected := k.left(now, leavers[kind])
		switch {
		case unexpected == 0:
		case kind.Spot && notice[kind] > 0:
			if now >= k.reclaimedUntil {
				c.cfg.Log.Info("reclaimable engines are taken back", "service", name, "zone", kind.Zone, "leaving", unexpected, "remaining", k.live,
					"notice_ms", notice[kind].Milliseconds())
			}
			k.reclaimed(now, notice[kind])
		case now >= k.checkAt:
			// The provider may have executed an earlier order late.
			k.uncertain, k.checkAt = true, now.Add(minCheck)
		}
		k.compare(now, s.limits.Boot)
	}
}

// left records that n engines leave and returns how many of them were not ordered away.
func (k *order) left(now camphorhinge.Instant, n int) int {
	if now >= k.leavesUntil {
		k.leaves = 0
	}
	expected := min(n, k.leaves)
	k.leaves -= expected
	return n - expected
}

// reclaimed records that the provider takes the engines of the kind back.
func (k *order) reclaimed(now camphorhinge.Instant, notice time.Duration) {
	k.ordered, k.leaves, k.adopted, k.uncertain = 0, 0, true, false
	k.reclaimedUntil = now.Add(reclaimNotices)
	k.refusedUntil = max(k.refusedUntil, now.Add(notice+reclaimPause))
}

// compare compares the engines that are there with the number that was ordered.
func (k *order) compare(now camphorhinge.Instant, boot time.Duration) {
	if k.adopted {
		if now >= k.reclaimedUntil {
			k.ordered = max(k.ordered, k.live)
		}
		return
	}
	if k.live == k.ordered {
		k.reached, k.check = true, 0
		return
	}
	if now.Sub(k.orderedAt) < boot+2*settleMargin || now < k.checkAt {
		return
	}
	k.uncertain = true
	k.check = min(max(2*k.check, minCheck), maxCheck)
	k.checkAt = now.Add(k.check)
}

// stock returns what the Planner decides by.
func (k *order) stock(now camphorhinge.Instant, boot time.Duration, settling bool) Stock {
	s := Stock{
		Serving: min(k.live, k.ordered), Ordered: k.ordered, IncreasedAt: k.increasedAt,
		Refused: now < k.refusedUntil || now < k.reclaimedUntil,
	}
	missing := k.ordered - s.Serving
	switch {
	case settling || missing == 0:
	case !k.reached && now.Sub(k.increasedAt) < boot+settleMargin:
		s.Starting = missing
	case !k.reached && !k.adopted:
		// The provider has confirmed the order and has not carried it out.
		s.Refused = true
	}
	return s
}

// candidate is a call that may be sent.
type candidate struct {
	service camphorhinge.ServiceName
	kind    Kind
	order   *order
}

// urgency orders calls: those for more engines first, then those of unknown outcome.
func (x candidate) urgency() int { return x.order.wanted - x.order.ordered }

// nextCall returns the most urgent call, or nil.
func (c *Controller) nextCall() func(context.Context) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.pausedUntil {
		return nil
	}
	// No engines are ordered away while the provider may not answer. The wanted numbers may stem from a plan made before the last call failed.
	keep := c.down || now < c.downUntil
	for _, s := range c.services {
		for _, k := range s.kinds {
			keep = keep || k.inFlight
		}
	}
	var best *candidate
	for name, s := range c.services {
		for kind, k := range s.kinds {
			if k.inFlight || now < k.retryAt || k.wanted == k.ordered && !k.uncertain || now < k.refusedUntil && k.wanted > k.ordered {
				continue
			}
			if keep && k.wanted < k.ordered {
				continue
			}
			x := candidate{name, kind, k}
			if best == nil || cmp.Or(cmp.Compare(x.urgency(), best.urgency()), cmp.Compare(best.service, x.service), compareKinds(best.kind, kind)) > 0 {
				best = &x
			}
		}
	}
	if best == nil {
		return nil
	}
	x, token, count := *best, c.token, best.order.wanted
	x.order.inFlight = true
	return func(ctx context.Context) {
		err := c.cfg.Provider.OrderTargets(ctx, x.service, x.kind.Zone, count, x.kind.Spot)
		c.record(token, x, count, err)
	}
}

// record applies the outcome of a call.
func (c *Controller) record(token camphorhinge.Term, x candidate, count int, err error) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := duty.Kind("accepted")
	if err != nil {
		kind = duty.KindUncertain
		var failed *duty.Error
		if errors.As(err, &failed) {
			kind = failed.Kind
		}
	}
	c.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`camphorhinge_provider_calls_total{call="scaling",result=%q}`,
		strings.ReplaceAll(string(kind), " ", "_"))).Inc()
	if kind != duty.KindLimited {
		c.cfg.Log.Info("engines ordered", "service", x.service, "zone", x.kind.Zone, "spot", x.kind.Spot, "count", count, "before", x.order.ordered,
			"fence", token, "error", err)
	}
	if token != c.token {
		return
	}
	k := x.order
	k.inFlight = false
	switch kind {
	case duty.KindLimited:
		c.pausedUntil = now.Add(minRetry)
		return
	case duty.KindNotHeld:
		return
	case duty.KindUnreachable:
		k.fail(now)
		c.downUntil = now.Add(k.retry)
		return
	case duty.KindUncertain:
		k.fail(now)
		c.services[x.service].remove(now, k, k.ordered-count)
		k.uncertain, c.down = true, true
		return
	}
	c.down, c.downUntil, k.retry = false, 0, 0
	if err != nil {
		k.refusal = min(max(2*k.refusal, minRefusal), maxRefusal)
		k.refusedUntil = now.Add(k.refusal)
		k.retryAt = k.refusedUntil
		return
	}
	if now < k.reclaimedUntil {
		return // The engines were taken back while the call was under way.
	}
	c.services[x.service].remove(now, k, k.ordered-count)
	if count > k.ordered {
		k.increasedAt, k.reached = now, false
	}
	k.ordered, k.orderedAt, k.uncertain, k.adopted, k.refusal = count, now, false, false, 0
}

// fail delays the next call after one that failed.
func (k *order) fail(now camphorhinge.Instant) {
	k.retry = min(max(2*k.retry, minRetry), maxRetry)
	k.retryAt = now.Add(k.retry)
}

// remove records that n engines of a kind were ordered away; none if n is not positive.
func (s *service) remove(now camphorhinge.Instant, k *order, n int) {
	if n <= 0 {
		return
	}
	s.removals, s.removedAt = append(s.removals, removal{now, n}), now
	if now >= k.leavesUntil {
		k.leaves = 0
	}
	k.leaves += n
	k.leavesUntil = now.Add(leaveDelay)
}
