package admit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
)

// Limit is the rate that a workspace has at one priority over all nodes; 0 means no limit.
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

// Peers tells what this node knows of the others; *Reports implements it.
type Peers interface {
	// Nodes returns the number of nodes that serve callers, this one included. Nodes that are cut off are among them,
	// since they may go on serving.
	Nodes() int
	// Demand returns the rates that other nodes lately reported for a bucket, and the number of nodes that lately sent
	// reports, with or without that bucket.
	Demand(workspace camphorhinge.WorkspaceName, bucket camphorhinge.Priority) (others Limit, heard int)
}

// Config holds the dependencies and bounds of an Admission. Zero bounds take the defaults below.
type Config struct {
	Clock   camphorhinge.Clock
	Limits  Limits
	Peers   Peers
	Metrics *metrics.Set
	// Seed seeds the jitter.
	Seed uint64
	// InFlight bounds the requests that run on this node, Tokens their prompt and output tokens.
	InFlight int
	Tokens   camphorhinge.Tokens
}

// Defaults of Config.
const (
	// DefaultInFlight keeps the connections and buffers of a small VM well below 1 GB.
	DefaultInFlight = 4096
	// DefaultTokens is DefaultInFlight times the tokens of a long request.
	DefaultTokens camphorhinge.Tokens = DefaultInFlight * 16_000

	// minBoundFraction is the part of a bound that priority 0 may use; the rest is spread evenly up to priority 9. Half leaves room
	// for the higher priorities even when a burst of low ones comes first.
	minBoundFraction = 0.5
	// shedRetryAfter is the time in which requests of about the mean length make room.
	shedRetryAfter = 2 * time.Second
	// maxJitter spreads repeated attempts over more than the round trip between zones, yet less than a caller notices.
	maxJitter = 50 * time.Millisecond
)

// Admission decides on requests of one node; it implements camphorhinge.Admission. It is safe for concurrent use.
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

// key names a pair of buckets.
type key struct {
	workspace camphorhinge.WorkspaceName
	bucket    camphorhinge.Priority
}

// New returns an Admission.
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

// Admit implements camphorhinge.Admission. The returned function must be called once, when the request has ended.
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

// boundFraction returns the boundFraction of a bound that a priority may use.
func boundFraction(p camphorhinge.Priority) float64 {
	return minBoundFraction + (1-minBoundFraction)*float64(min(p, camphorhinge.MaxPriority))/float64(camphorhinge.MaxPriority)
}

// shed refuses requests that would miss their deadline or overfill the node. As the load rises, the part of each bound
// that a priority may use is reached by the lowest priority first.
func (a *Admission) shed(req camphorhinge.AdmitRequest) *camphorhinge.Refusal {
	p := boundFraction(req.Priority)
	switch {
	case req.Expected > req.Deadline:
		return &camphorhinge.Refusal{
			Kind: "deadline", Message: "the request is not expected to complete within its deadline",
			RetryAfter: max(req.Expected-req.Deadline, shedRetryAfter),
		}
	case float64(req.Expected) > p*float64(req.Deadline):
		return &camphorhinge.Refusal{
			Kind: "shed", Message: "requests of this priority are shed because completion times are near the deadline",
			RetryAfter: max(req.Expected-time.Duration(p*float64(req.Deadline)), shedRetryAfter),
		}
	case float64(a.running+1) > max(p*float64(a.cfg.InFlight), 1):
		return &camphorhinge.Refusal{
			Kind: "shed", Message: "requests of this priority are shed because too many are in flight", RetryAfter: shedRetryAfter,
		}
	case a.running > 0 && float64(a.tokens+req.Tokens) > p*float64(a.cfg.Tokens):
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

// Jitter returns a random delay before a repeated attempt, up to 50 ms.
func (a *Admission) Jitter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.rng.Int64N(int64(maxJitter)))
}

const (
	// budgetRatio is the part of live traffic that may be repeated.
	budgetRatio = 0.1
	// minBudget is the number of repeats that a window allows at any traffic. Without it a node with fewer than ten
	// requests in a window could not repeat any.
	minBudget = 3
	// budgetSlots is the number of seconds in a window.
	budgetSlots = 10
)

// budget counts admitted requests and repeats over the last 10 s.
type budget struct {
	slots [budgetSlots]struct{ admitted, retries int }
	// newest is the second of the newest slot.
	newest int64
}

// advance empties the slots of the seconds that passed, and returns the newest.
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

// takeRetry takes one repeat. Live traffic is what was admitted in the window, or what runs if that is more, since a long
// stream lives longer than the window.
func (b *budget) takeRetry(now camphorhinge.Instant, running int) bool {
	at := b.advance(now)
	admitted, retries := 0, 0
	for _, s := range b.slots {
		admitted += s.admitted
		retries += s.retries
	}
	if float64(retries+1) > max(budgetRatio*float64(max(admitted, running)), minBudget) {
		return false
	}
	b.slots[at].retries++
	return true
}
