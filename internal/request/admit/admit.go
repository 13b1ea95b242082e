package admit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
)

// Limit is the rate allowed to a workspace at one priority across all nodes; 0 means no limit.
type Limit struct {
	// Requests is in requests per second, Tokens in prompt and output tokens per second.
	Requests float64
	Tokens   float64
}

// Limits looks up the limits in force. It is safe for concurrent use and does not block.
type Limits interface {
	// Limit returns the limit for requests of a workspace at a priority, and the priority that names its token bucket.
	// Priorities with the same bucket share its rate.
	Limit(workspace camphorhinge.WorkspaceName, priority camphorhinge.Priority) (bucket camphorhinge.Priority, limit Limit)
}

// Peers provides the demand reported by the other nodes; *Reports implements it.
type Peers interface {
	// Nodes returns the number of nodes that serve callers, including this one and partitioned nodes, which may still be
	// serving.
	Nodes() int
	// Demand returns the total demand that other nodes report for a bucket, and the number of nodes with an unexpired
	// report, whether or not it contains that bucket.
	Demand(workspace camphorhinge.WorkspaceName, bucket camphorhinge.Priority) (others Limit, reporters int)
}

// Config holds the dependencies and bounds of an Admission. Zero bounds take the defaults below.
type Config struct {
	Clock   camphorhinge.Clock
	Limits  Limits
	Peers   Peers
	Metrics *metrics.Set
	// Seed initializes the random source of Jitter.
	Seed uint64
	// InFlight bounds the requests in flight on this node, Tokens their prompt and output tokens.
	InFlight int
	Tokens   camphorhinge.Tokens
}

// Defaults of Config.
const (
	// DefaultInFlight keeps the connections and buffers of a small VM well below 1 GB.
	DefaultInFlight = 4096
	// DefaultTokens is DefaultInFlight times the tokens of a long request.
	DefaultTokens camphorhinge.Tokens = DefaultInFlight * 16_000

	// minBoundFraction is the fraction of a bound that priority 0 may use; it rises linearly to 1 at priority 9. One half
	// leaves room for higher priorities even when a burst of low-priority requests comes first.
	minBoundFraction = 0.5
	// shedRetryAfter is about the time in which a request of mean length completes and frees capacity.
	shedRetryAfter = 2 * time.Second
	// maxJitter spreads retries over more than a round trip between zones, but less than a caller notices.
	maxJitter = 50 * time.Millisecond
)

// Admission admits or refuses the requests of one node; it implements camphorhinge.Admission. It is safe for concurrent
// use.
type Admission struct {
	cfg            Config
	admitted       *metrics.Counter
	retriesAllowed *metrics.Counter
	retriesDenied  *metrics.Counter

	mu        sync.Mutex
	rng       *rand.Rand
	buckets   map[key]*bucket
	lastSweep camphorhinge.Instant
	running   int
	tokens    camphorhinge.Tokens
	budget    budget
}

var _ camphorhinge.Admission = (*Admission)(nil)

// key identifies a bucket.
type key struct {
	workspace camphorhinge.WorkspaceName
	bucket    camphorhinge.Priority
}

// New creates an Admission and registers its counters and gauges in cfg.Metrics.
func New(cfg Config) *Admission {
	if cfg.InFlight == 0 {
		cfg.InFlight = DefaultInFlight
	}
	if cfg.Tokens == 0 {
		cfg.Tokens = DefaultTokens
	}
	a := &Admission{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		buckets:        make(map[key]*bucket),
		admitted:       cfg.Metrics.GetOrCreateCounter("camphorhinge_admitted_total"),
		retriesAllowed: cfg.Metrics.GetOrCreateCounter("camphorhinge_retry_budget_taken_total"),
		retriesDenied:  cfg.Metrics.GetOrCreateCounter("camphorhinge_retry_budget_denied_total"),
	}
	cfg.Metrics.GetOrCreateGauge("camphorhinge_requests_in_flight", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.running)
	})
	cfg.Metrics.GetOrCreateGauge("camphorhinge_tokens_in_flight", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.tokens)
	})
	return a
}

// Admit implements camphorhinge.Admission. The returned function must be called when the request has ended; further
// calls have no effect.
func (a *Admission) Admit(req camphorhinge.AdmitRequest) (func(), *camphorhinge.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	refusal := a.shed(req)
	if refusal == nil {
		refusal = a.enforceLimit(now, req)
	}
	if refusal != nil {
		a.cfg.Metrics.GetOrCreateCounter(
			fmt.Sprintf("camphorhinge_refused_total{kind=%q,priority=\"%d\"}", refusal.Kind, req.Priority)).Inc()
		return nil, refusal
	}
	a.admitted.Inc()
	a.budget.recordAdmitted(now)
	a.running++
	a.tokens += req.Tokens
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.running--
		a.tokens -= req.Tokens
	}), nil
}

// boundFraction returns the fraction of a bound that a priority may use.
func boundFraction(p camphorhinge.Priority) float64 {
	return minBoundFraction + (1-minBoundFraction)*float64(min(p, camphorhinge.MaxPriority))/float64(camphorhinge.MaxPriority)
}

// shed refuses requests that are expected to miss their deadline or would exceed the bounds of the node. Lower
// priorities may use a smaller fraction of each bound, so they are shed first as the load rises.
func (a *Admission) shed(req camphorhinge.AdmitRequest) *camphorhinge.Refusal {
	fraction := boundFraction(req.Priority)
	switch {
	case req.Expected > req.Deadline:
		return &camphorhinge.Refusal{
			Kind: "deadline", Message: "the request is not expected to complete within its deadline",
			RetryAfter: max(req.Expected-req.Deadline, shedRetryAfter),
		}
	case float64(req.Expected) > fraction*float64(req.Deadline):
		return &camphorhinge.Refusal{
			Kind: "shed", Message: "requests of this priority are shed because completion times are near the deadline",
			RetryAfter: max(req.Expected-time.Duration(fraction*float64(req.Deadline)), shedRetryAfter),
		}
	case float64(a.running+1) > max(fraction*float64(a.cfg.InFlight), 1):
		return &camphorhinge.Refusal{
			Kind: "shed", Message: "requests of this priority are shed because too many are in flight", RetryAfter: shedRetryAfter,
		}
	case a.running > 0 && float64(a.tokens+req.Tokens) > fraction*float64(a.cfg.Tokens):
		return &camphorhinge.Refusal{
			Kind: "shed", Message: "requests of this priority are shed because too many tokens are in flight",
			RetryAfter: shedRetryAfter,
		}
	}
	return nil
}

// Retry implements camphorhinge.Admission.
func (a *Admission) Retry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.budget.takeRetry(a.cfg.Clock.Now(), a.running) {
		a.retriesDenied.Inc()
		return false
	}
	a.retriesAllowed.Inc()
	return true
}

// Jitter returns a random delay below 50 ms to wait before a retry.
func (a *Admission) Jitter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.rng.Int64N(int64(maxJitter)))
}

const (
	// budgetRatio is the allowed ratio of retries to live traffic.
	budgetRatio = 0.1
	// minBudget is the number of retries that a window allows at any traffic. Without it a node with fewer than ten
	// requests in a window could not retry any.
	minBudget = 3
	// budgetSlots is the length of the window, in slots of one second.
	budgetSlots = 10
)

// budget counts admitted requests and retries over a sliding window of budgetSlots seconds.
type budget struct {
	slots [budgetSlots]struct{ admitted, retries int }
	// newest is the number of the latest second that has a slot.
	newest int64
}

// advance clears the slots that left the window and returns the index of the slot for now.
func (b *budget) advance(now camphorhinge.Instant) int {
	second := int64(time.Duration(now) / time.Second)
	if second-b.newest >= budgetSlots {
		*b = budget{newest: second}
	}
	for b.newest < second {
		b.newest++
		b.slots[b.newest%budgetSlots].admitted, b.slots[b.newest%budgetSlots].retries = 0, 0
	}
	return int(b.newest % budgetSlots)
}

func (b *budget) recordAdmitted(now camphorhinge.Instant) { b.slots[b.advance(now)].admitted++ }

// takeRetry reports whether a retry is within the budget, and counts it if so. Live traffic is the number of requests
// admitted in the window or of those running, whichever is greater, since a long stream may outlast the window.
func (b *budget) takeRetry(now camphorhinge.Instant, running int) bool {
	slot := b.advance(now)
	admitted, retries := 0, 0
	for _, s := range b.slots {
		admitted += s.admitted
		retries += s.retries
	}
	if float64(retries+1) > max(budgetRatio*float64(max(admitted, running)), minBudget) {
		return false
	}
	b.slots[slot].retries++
	return true
}
