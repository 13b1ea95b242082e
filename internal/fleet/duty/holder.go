package duty

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"example.org/camphorhinge"
)

// Authority tells whether this process leads; *replica.Replica implements it.
type Authority interface {
	// Authority returns the term of the leader's lease; valid is false when no lease is held now.
	Authority() (term camphorhinge.Term, valid bool)
}

// Stamp identifies the holder of the duties in a call to the provider.
type Stamp struct {
	Holder camphorhinge.NodeID
	// Token is the fencing token; a later holder has a higher one.
	Token camphorhinge.Term
}

// Config holds the dependencies and settings of a Holder.
type Config struct {
	Node      camphorhinge.NodeID
	Authority Authority
	Clock     camphorhinge.Clock
	// HandoverDelay is how long a new leader waits before its first call, so that two leaders don't call in turn.
	HandoverDelay time.Duration
	// CallsPerSecond is the number of calls that the provider takes from all nodes together; 0 means no limit.
	CallsPerSecond float64
}

// callShare is the share of the provider's limit that is used. The calls of the previous holder count toward the same limit.
const callShare = 0.5

// Holder tells whether this process holds the duties. It is safe for concurrent use.
type Holder struct {
	cfg   Config
	calls *rate.Limiter

	mu sync.Mutex
	// term is the term in which this process was last found to lead, and since when; 0 while it does not lead.
	term  camphorhinge.Term
	since camphorhinge.Instant
	// fenced is the highest term of this process that the provider has refused for a higher one.
	fenced camphorhinge.Term
}

// New returns a Holder.
func New(cfg Config) *Holder {
	limit := rate.Inf
	if cfg.CallsPerSecond > 0 {
		limit = rate.Limit(cfg.CallsPerSecond * callShare)
	}
	return &Holder{cfg: cfg, calls: rate.NewLimiter(limit, 1)}
}

// Holds returns the stamp of calls while this process holds the duties. It must be called again right before each call is sent.
func (h *Holder) Holds() (Stamp, bool) {
	now := h.cfg.Clock.Now()
	term, ok := h.cfg.Authority.Authority()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok {
		h.term = 0
		return Stamp{}, false
	}
	if term != h.term {
		h.term, h.since = term, now
	}
	if term <= h.fenced || now.Sub(h.since) < h.cfg.HandoverDelay {
		return Stamp{}, false
	}
	return Stamp{Holder: h.cfg.Node, Token: term}, true
}

// Admit reports whether another call stays within the provider's limit, and counts it if so.
func (h *Holder) Admit() bool { return h.calls.Allow() }

// RecordFenced records that the provider has refused a call because it has seen a higher token. This process sends no further call
// until it leads in a higher term.
func (h *Holder) RecordFenced(token camphorhinge.Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fenced = max(h.fenced, token)
}
