package tunnel

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

const (
	// directHeadStart is how long a direct connection is waited for before a relay is asked as well. Between zones it takes
	// a few milliseconds.
	directHeadStart = 50 * time.Millisecond
	// relayHeadStart is how long a relay is waited for before the next way is tried as well.
	relayHeadStart = 100 * time.Millisecond
	// maxRelays bounds the relays that are asked for one connection.
	maxRelays = 3
	// directTimeout bounds a direct connection attempt.
	directTimeout = 400 * time.Millisecond
	// maxProbes bounds the probes at a time.
	maxProbes = 32
)

// MetricsPrefix begins the names of the package's metrics.
const MetricsPrefix = "camphorhinge_tunnel_"

// NetDialer opens connections; *net.Dialer implements it.
type NetDialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Via opens connections to targets through relays; *Client implements it.
type Via interface {
	// DialVia returns a connection to the target at address through the relay. The error of one that could not be opened is
	// an *Error.
	DialVia(ctx context.Context, relay, address string) (net.Conn, error)
}

// Config holds the dependencies of a Dialer.
type Config struct {
	Direct NetDialer
	Via    Via
	// Relays returns the addresses of relays, preferred ones first.
	Relays func() []string
	// OnChange is called when the direct path to an address is lost or restored, so that open connections are not used for
	// further requests; it must not block.
	OnChange func(address string)
	Clock    camphorhinge.Clock
	Log      *slog.Logger
	Metrics  *metrics.Set
}

// Dialer connects to targets directly or through relays. It is safe for concurrent use. Close must be called.
type Dialer struct {
	cfg     Config
	relayed *metrics.Counter
	lost    *metrics.Counter
	ctx     context.Context
	stop    context.CancelFunc
	// dials runs connection attempts, probes those that only test direct paths.
	dials, probes errgroup.Group

	// mu guards paths, and orders the start of goroutines before or after Close.
	mu    sync.Mutex
	paths *paths
}

// NewDialer returns a Dialer.
func NewDialer(cfg Config) *Dialer {
	d := &Dialer{
		cfg: cfg, paths: newPaths(), relayed: cfg.Metrics.GetOrCreateCounter(MetricsPrefix + "dialed_total"),
		lost: cfg.Metrics.GetOrCreateCounter(MetricsPrefix + "paths_lost_total"),
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.probes.SetLimit(maxProbes)
	return d
}

// Close ends attempts in progress and waits for them.
func (d *Dialer) Close() error {
	d.mu.Lock()
	d.stop()
	d.mu.Unlock()
	return errors.Join(d.dials.Wait(), d.probes.Wait())
}

// way is one way to a target: through a relay, or directly if relay is empty.
type way struct {
	relay     string
	headStart time.Duration
}

// outcome is the outcome of trying a way.
type outcome struct {
	way
	conn net.Conn
	err  error
}

// DialContext implements exchange.Dialer. When no way leads to the target it returns the error of the direct one.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	r, probe := d.paths.choose(d.cfg.Clock.Now(), address)
	if probe {
		d.probe(network, address)
	}
	d.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt{dialer: d, ctx: ctx, network: network, address: address, outcomes: make(chan outcome), done: make(chan struct{})}
	defer close(a.done)
	return a.race(d.ways(r))
}

// ways returns the ways of a route, in order.
func (d *Dialer) ways(r route) []way {
	direct := way{headStart: directHeadStart}
	if r == directOnly {
		return []way{direct}
	}
	var relays []way
	for _, relay := range d.cfg.Relays() {
		if len(relays) < maxRelays {
			relays = append(relays, way{relay: relay, headStart: relayHeadStart})
		}
	}
	if r == directFirst {
		return append([]way{direct}, relays...)
	}
	return append(relays, direct)
}

// attempt is one connection attempt, which tries one or more ways.
type attempt struct {
	dialer  *Dialer
	ctx     context.Context //nolint:containedctx // It is that of the call which the attempt belongs to.
	network string
	address string
	// outcomes receives the outcomes of ways until done is closed.
	outcomes chan outcome
	done     chan struct{}
}

// race tries one way after the other, each when the one before has failed or has had its head start, and returns the first
// connection.
func (a *attempt) race(ways []way) (net.Conn, error) {
	timer := time.NewTimer(ways[0].headStart)
	defer timer.Stop()
	pending := 0
	launch := func() {
		if len(ways) > 0 && a.start(ways[0]) {
			timer.Reset(ways[0].headStart)
			ways, pending = ways[1:], pending+1
		}
	}
	launch()
	var failed []outcome
	for pending > 0 {
		select {
		case <-a.ctx.Done():
			return nil, a.ctx.Err()
		case <-timer.C:
			launch()
		case o := <-a.outcomes:
			pending--
			if o.err == nil {
				a.recordSuccess(o.relay, failed)
				return o.conn, nil
			}
			failed = append(failed, o)
			if kindOf(o.err) == KindRefused {
				// The target's machine answers the relay, so that other relays would be told the same.
				ways = slices.DeleteFunc(slices.Clone(ways), func(w way) bool { return w.relay != "" })
			}
			launch()
		}
	}
	return nil, a.recordFailure(failed)
}

// start tries a way in the background. It returns false after Close.
func (a *attempt) start(w way) bool {
	d := a.dialer
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return false
	}
	d.dials.Go(func() error {
		o := outcome{way: w}
		if w.relay == "" {
			o.conn, o.err = d.dialDirect(a.network, a.address)
		} else {
			o.conn, o.err = d.cfg.Via.DialVia(a.ctx, w.relay, a.address)
		}
		select {
		case a.outcomes <- o:
		case <-a.done:
			a.settle(o)
		}
		return nil
	})
	return true
}

// dialDirect connects without a relay. The attempt is not ended with that of the caller, so that its outcome tells whether the
// path is lost.
func (d *Dialer) dialDirect(network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(d.ctx, directTimeout)
	defer cancel()
	return d.cfg.Direct.DialContext(ctx, network, address)
}

// settle handles an outcome that comes after the attempt.
func (a *attempt) settle(o outcome) {
	d := a.dialer
	if o.conn != nil {
		o.conn.Close()
	}
	if o.relay != "" || d.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	switch {
	case o.err == nil:
		d.restored(now, a.address)
	case d.paths.relayedLately(now, a.address):
		d.recordLost(now, a.network, a.address, o.err)
	}
}

// recordSuccess records a connection through a relay, or a direct one if relay is empty.
func (a *attempt) recordSuccess(relay string, failed []outcome) {
	d := a.dialer
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if relay == "" {
		d.restored(now, a.address)
		return
	}
	d.relayed.Inc()
	d.paths.recordRelayed(now, a.address)
	for _, o := range failed {
		if o.relay == "" {
			d.recordLost(now, a.network, a.address, o.err)
		}
	}
}

// restored records that the direct path works. The caller holds d.mu.
func (d *Dialer) restored(now camphorhinge.Instant, address string) {
	if d.paths.recordDirect(now, address) {
		d.cfg.Log.Info("direct path to target restored", "address", address)
		d.cfg.OnChange(address)
	}
}

// recordLost records that the direct path to a target fails which a relay reaches, and probes the paths to other targets, which
// may be lost as well. The caller holds d.mu.
func (d *Dialer) recordLost(now camphorhinge.Instant, network, address string, err error) {
	if !d.setLost(now, address, err) {
		return
	}
	for _, other := range d.paths.others(now, address, maxProbes) {
		d.probe(network, other)
	}
}

// setLost sets the state of a path to lost and returns whether that is a change. The caller holds d.mu.
func (d *Dialer) setLost(now camphorhinge.Instant, address string, err error) bool {
	if !d.paths.recordLost(now, address) {
		return false
	}
	d.lost.Inc()
	d.cfg.Log.Warn("direct path to target lost", "address", address, "error", err)
	d.cfg.OnChange(address)
	return true
}

// recordFailure records that no way led to a target, and returns the error of the direct one if it was tried.
func (a *attempt) recordFailure(failed []outcome) error {
	d := a.dialer
	asked, err := false, error(&Error{Op: "connect", Kind: KindClosed, Err: net.ErrClosed})
	for i, o := range failed {
		asked = asked || o.relay != ""
		if i == 0 || o.relay == "" {
			err = o.err
		}
	}
	if asked {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.paths.recordDead(d.cfg.Clock.Now(), a.address)
	}
	return err
}

// probe tries the direct path to an address in the background. The caller holds d.mu.
func (d *Dialer) probe(network, address string) {
	if d.ctx.Err() != nil {
		return
	}
	if !d.probes.TryGo(func() error {
		conn, err := d.dialDirect(network, address)
		d.mu.Lock()
		defer d.mu.Unlock()
		if err == nil {
			conn.Close()
			d.restored(d.cfg.Clock.Now(), address)
		} else if d.ctx.Err() == nil {
			d.setLost(d.cfg.Clock.Now(), address, err)
		}
		return nil
	}) {
		d.cfg.Log.Debug("direct path not probed", "address", address, "error", "too many probes at a time")
	}
}
