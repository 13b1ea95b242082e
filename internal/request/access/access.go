package access

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// Key is the API key of a request, or empty without exactly one. Its printed forms don't contain it.
type Key string

const hiddenKey = "[API key]"

// String implements fmt.Stringer.
func (Key) String() string { return hiddenKey }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return hiddenKey }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(hiddenKey), nil }

// marginPercent is the share of the bound for which a confirmation is relied on. The rest allows for clocks of other rates.
const marginPercent = 90

// Permit is the decision on a request that may run.
type Permit struct {
	// Keyed is set when the configuration has workspaces, so that the header with the key must not be passed on.
	Keyed bool
	// Workspace is the workspace of the request; nil without one.
	Workspace *routing.Workspace
}

// Confirmation states how current a configuration is known to be.
type Confirmation struct {
	// Bound is the time after which a removed key must not be accepted; 0 means that there is no such bound.
	Bound time.Duration
	// At is a time at which the configuration is known to have been the newest, or 0 if there is none.
	At camphorhinge.Instant
}

// holds reports whether the configuration may be relied on at a time.
func (c Confirmation) holds(now camphorhinge.Instant) bool {
	return c.Bound <= 0 || c.At != 0 && now.Sub(c.At) < c.Bound*marginPercent/100
}

// Decide returns the Permit of a request with the given key, or an Error. Public is set for a route that needs no key. The index must
// not be older than the one that the confirmation is about, and now must not be before the arrival of the request.
func Decide(x *routing.Index, key Key, public bool, c Confirmation, now camphorhinge.Instant) (Permit, *Error) {
	p := Permit{Keyed: len(x.Config.Workspaces) > 0}
	switch {
	case !p.Keyed || public:
		return p, nil
	case key == "":
		return p, newError(KindMissing, errMissing)
	case !c.holds(now):
		return p, newError(KindUnconfirmed, errUnconfirmed)
	}
	if p.Workspace = x.Workspace(string(key)); p.Workspace == nil {
		return p, newError(KindUnknown, errUnknown)
	}
	return p, nil
}

// Config holds the dependencies of a Guard.
type Config struct {
	// Index returns the routing configuration in force.
	Index func() *routing.Index
	// Confirmed returns the latest time at which the configuration in force is known to have been the newest, or 0 if there is none.
	// It is used with a Bound only.
	Confirmed func() camphorhinge.Instant
	// Bound is the time after which a removed key must not be accepted; 0 means that there is no such bound.
	Bound time.Duration
	// Clock counts the time for which the machine is suspended as well.
	Clock   camphorhinge.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Guard admits requests by the configuration in force. It is safe for concurrent use.
type Guard struct {
	cfg Config
	// lapsed is set while requests are refused for lack of a confirmation.
	lapsed atomic.Bool
}

// New returns a Guard.
func New(cfg Config) *Guard {
	g := &Guard{cfg: cfg}
	if cfg.Bound > 0 {
		cfg.Metrics.NewGauge("camphorhinge_access_confirmed_age_seconds", g.confirmedAge)
	}
	return g
}

// confirmedAge returns the time since the latest confirmation in seconds, or -1 if there is none.
func (g *Guard) confirmedAge() float64 {
	at := g.cfg.Confirmed()
	if at == 0 {
		return -1
	}
	return g.cfg.Clock.Now().Sub(at).Seconds()
}

// confirmation returns the current time and the latest Confirmation.
func (g *Guard) confirmation() (camphorhinge.Instant, Confirmation) {
	now, c := g.cfg.Clock.Now(), Confirmation{Bound: g.cfg.Bound}
	if c.Bound > 0 {
		c.At = g.cfg.Confirmed()
	}
	return now, c
}

// Confirmed reports whether requests with keys can be judged now.
func (g *Guard) Confirmed() bool {
	now, c := g.confirmation()
	return c.holds(now)
}

// Admit decides on a request that has arrived, by the version in force. There must be a configuration.
func (g *Guard) Admit(key Key, public bool) (Permit, *Error) {
	// The index is read last: if this process is frozen in between, the index may be newer than the confirmation, and never older.
	now, c := g.confirmation()
	p, err := Decide(g.cfg.Index(), key, public, c, now)
	if err != nil {
		g.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_access_refused_total{reason=%q}", err.Kind)).Inc()
	}
	g.logLapse(p, err, c.Bound)
	return p, err
}

// logLapse logs when requests begin to be refused for lack of a confirmation, and when one is admitted by its key again.
func (g *Guard) logLapse(p Permit, err *Error, bound time.Duration) {
	switch {
	case err != nil && err.Kind == KindUnconfirmed:
		if g.lapsed.CompareAndSwap(false, true) {
			g.cfg.Log.Warn("requests with keys are refused, since the configuration is not confirmed", "bound_ms", bound.Milliseconds())
		}
	case p.Workspace != nil:
		if g.lapsed.CompareAndSwap(true, false) {
			g.cfg.Log.Info("requests with keys are served again")
		}
	}
}
