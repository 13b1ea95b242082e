package tunnel_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/tunnel"
)

const address = "10.0.0.1:80"

// simulatedClock reads the time of a test.
type simulatedClock struct{ began time.Time }

// Now implements camphorhinge.Clock.
func (c simulatedClock) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Hour + time.Since(c.began))
}

// path is a simulated way to a target.
type path struct {
	delay time.Duration
	err   error
	// silent paths end with the context only.
	silent bool
}

func (p path) dial(ctx context.Context, name string) (net.Conn, error) {
	if p.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(p.delay):
	}
	if p.err != nil {
		return nil, p.err
	}
	return namedConn{name: name}, nil
}

// namedConn tells which way it leads.
type namedConn struct {
	net.Conn
	name string
}

// Close implements net.Conn.
func (namedConn) Close() error { return nil }

// network is a simulated network between a node, relays and targets.
type network struct {
	mu     sync.Mutex
	direct map[string]path
	relays map[string]path
	// tried are the ways that were tried, in order: an address, or the name of a relay.
	tried []string
	// changed are the addresses whose paths were lost or restored.
	changed []string
}

func (n *network) get(m map[string]path, key string) path {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tried = append(n.tried, key)
	return m[key]
}

func (n *network) set(p path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct[address] = p
}

func (n *network) recordChange(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed = append(n.changed, address)
}

// changes returns the addresses whose paths were lost or restored.
func (n *network) changes() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.changed)
}

// takeTried returns the ways that were tried since the last call.
func (n *network) takeTried() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.tried
	n.tried = nil
	return out
}

// DialContext implements tunnel.NetDialer.
func (n *network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return n.get(n.direct, address).dial(ctx, "direct")
}

// DialVia implements tunnel.Via.
func (n *network) DialVia(ctx context.Context, relay, _ string) (net.Conn, error) {
	return n.get(n.relays, relay).dial(ctx, relay)
}

func (n *network) dialer() *tunnel.Dialer {
	return tunnel.NewDialer(tunnel.Config{
		Direct: n, Via: n, Relays: func() []string { return []string{"a", "b", "c", "d"} },
		OnChange: n.recordChange,
		Clock:    simulatedClock{time.Now()}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	})
}

func kind(k tunnel.Kind) error { return &tunnel.Error{Op: "connect", Kind: k, Err: errors.New("test")} }

// TestDial guards against targets that can't be reached although a relay reaches them, and against work for relays where the
// direct path is sound or no relay helps.
func TestDial(t *testing.T) {
	const quick = 3 * time.Millisecond
	sound := path{delay: quick}
	for _, tc := range []struct {
		name   string
		direct path
		relays map[string]path
		// want is the way of the connection, or empty if there is none.
		want    string
		wantErr error
		// tried are the ways that are tried, and within is the most time it takes.
		tried  []string
		within time.Duration
	}{
		{"direct", sound, nil, "direct", nil, []string{address}, quick},
		{"silent", path{silent: true}, map[string]path{"a": sound}, "a", nil, []string{address, "a"}, 60 * time.Millisecond},
		{"refused", path{err: syscall.ECONNREFUSED}, map[string]path{"a": sound}, "a", nil, []string{address, "a"}, quick},
		{
			"slow",
			path{delay: 200 * time.Millisecond},
			map[string]path{"a": {silent: true}, "b": {silent: true}},
			"direct", nil,
			[]string{address, "a", "b"},
			200 * time.Millisecond,
		},
		{
			"busy relay",
			path{silent: true},
			map[string]path{"a": {err: kind(tunnel.KindBusy)}, "b": sound},
			"b", nil,
			[]string{address, "a", "b"},
			60 * time.Millisecond,
		},
		{
			"silent relay",
			path{silent: true},
			map[string]path{"a": {silent: true}, "b": sound},
			"b", nil,
			[]string{address, "a", "b"},
			160 * time.Millisecond,
		},
		{
			"target that has ended",
			path{err: syscall.ECONNREFUSED},
			map[string]path{"a": {err: kind(tunnel.KindRefused)}},
			"",
			syscall.ECONNREFUSED,
			[]string{address, "a"},
			quick,
		},
		{"no way", path{err: syscall.ECONNREFUSED}, map[string]path{
			"a": {err: kind(tunnel.KindSilent)}, "b": {err: kind(tunnel.KindSilent)},
			"c": {err: kind(tunnel.KindRelay)},
		}, "", syscall.ECONNREFUSED, []string{address, "a", "b", "c"}, quick},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{direct: map[string]path{address: tc.direct}, relays: tc.relays}
				d := n.dialer()
				defer func() { require.NoError(t, d.Close()) }()
				ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
				defer cancel()
				began := time.Now()
				c, err := d.DialContext(ctx, "tcp", address)
				require.LessOrEqual(t, time.Since(began), tc.within)
				require.Equal(t, tc.tried, n.takeTried())
				if tc.want == "" {
					require.ErrorIs(t, err, tc.wantErr)
					return
				}
				require.NoError(t, err)
				require.Equal(t, tc.want, c.(namedConn).name)
			})
		})
	}
}

// TestDialAfterLoss guards against a wait for the direct path at each connection after it was lost, against a path that is taken
// for lost after one slow connection, and against one that is not used again after it was restored.
func TestDialAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const other = "10.0.0.2:80"
		sound := path{delay: time.Millisecond}
		n := &network{direct: map[string]path{address: {delay: 200 * time.Millisecond}, other: sound}, relays: map[string]path{"a": sound}}
		d := n.dialer()
		defer func() { require.NoError(t, d.Close()) }()
		dial := func(address string) string {
			c, err := d.DialContext(t.Context(), "tcp", address)
			require.NoError(t, err)
			return c.(namedConn).name
		}
		require.Equal(t, "direct", dial(other))
		require.Equal(t, "a", dial(address))
		time.Sleep(time.Second)
		require.Empty(t, n.changes())
		n.set(path{silent: true})
		require.Equal(t, "a", dial(address))
		time.Sleep(time.Second)
		require.Equal(t, []string{address}, n.changes())
		require.Contains(t, n.takeTried()[1:], other, "a lost path makes the others suspect")

		require.Equal(t, "a", dial(address))
		synctest.Wait()
		require.ElementsMatch(t, []string{"a", address}, n.takeTried(), "the relay first, and a probe")
		require.Equal(t, "a", dial(address))
		require.Equal(t, []string{"a"}, n.takeTried(), "one probe in a while")

		n.set(sound)
		time.Sleep(time.Second)
		require.Equal(t, "a", dial(address))
		time.Sleep(time.Second)
		require.Equal(t, []string{address, address}, n.changes())
		n.takeTried()
		require.Equal(t, "direct", dial(address))
		require.Equal(t, []string{address}, n.takeTried())
	})
}

// TestDialDead guards against requests that ask relays again and again for a target that has ended.
func TestDialDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{direct: map[string]path{address: {err: syscall.ECONNREFUSED}}, relays: map[string]path{"a": {err: kind(tunnel.KindRefused)}}}
		d := n.dialer()
		defer func() { require.NoError(t, d.Close()) }()
		asked := 0
		for range 100 {
			_, err := d.DialContext(t.Context(), "tcp", address)
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
			time.Sleep(30 * time.Millisecond)
			if slices.Contains(n.takeTried(), "a") {
				asked++
			}
		}
		require.LessOrEqual(t, asked, 4)
	})
}

// TestDialCanceled guards against attempts that outlast the request, and against goroutines that outlast Close.
func TestDialCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{direct: map[string]path{address: {silent: true}}, relays: map[string]path{"a": {silent: true}, "b": {silent: true}, "c": {silent: true}}}
		d := n.dialer()
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error {
			_, err := d.DialContext(ctx, "tcp", address)
			return err
		})
		time.Sleep(120 * time.Millisecond)
		cancel()
		began := time.Now()
		require.ErrorIs(t, g.Wait(), context.Canceled)
		require.NoError(t, d.Close())
		require.Zero(t, time.Since(began))
		_, err := d.DialContext(t.Context(), "tcp", address)
		require.ErrorIs(t, err, net.ErrClosed)
	})
}
