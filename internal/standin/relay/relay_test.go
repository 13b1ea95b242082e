package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// echo starts a server that sends back what it receives.
func echo(t *testing.T, g *errgroup.Group) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer c.Close()
				_, _ = io.Copy(c, c) // A cut connection is a regular end here.
				return nil
			})
		}
	})
	return l.Addr().String()
}

func startRelay(t *testing.T) (r *Relay, control string) {
	var g errgroup.Group
	t.Cleanup(func() { require.NoError(t, g.Wait()) })
	to := echo(t, &g)
	r, err := New(Config{Control: "127.0.0.1:0", Forwards: []Forward{{Name: "a", Listen: "127.0.0.1:0"}}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g.Go(func() error { return r.Run(ctx) })
	control = "http://" + r.Control()
	require.NoError(t, Put(ctx, control, "a", Rule{Mode: ModePass, Target: to}))
	return r, control
}

func dial(t *testing.T, r *Relay, source string) net.Conn {
	c, err := tryDial(t, r, source)
	require.NoError(t, err)
	return c
}

func tryDial(t *testing.T, r *Relay, source string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(source), 0))}
	c, err := d.Dial("tcp", r.Addr("a"))
	if err == nil {
		t.Cleanup(func() { c.Close() })
	}
	return c, err
}

// echoes reports whether text comes back on a connection within wait.
func echoes(t *testing.T, c net.Conn, text string, wait time.Duration) bool {
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	if err == nil {
		require.Equal(t, text, string(got))
	}
	return err == nil
}

const (
	// answerTimeout bounds the wait for an answer that must come, silenceWait the wait for one that must not. If
	// silenceWait is too short the test may miss a fault, but never fails wrongly.
	answerTimeout = 20 * time.Second
	silenceWait   = 50 * time.Millisecond
)

// TestModes guards against a rule that affects connections outside its scope or misses one within it: the scenarios of
// scripts/faults would then test another fault than intended.
func TestModes(t *testing.T) {
	tests := []struct {
		mode                  Mode
		open, fresh, reopened bool
	}{
		{ModePass, true, true, true},
		{ModeCut, false, false, true},
		{ModeMuteOpen, false, true, true},
		{ModeMute, false, false, true},
		{ModeToTarget, false, false, true},
		{ModeToCaller, false, false, true},
	}
	for _, tt := range tests {
		for _, source := range []string{"", "127.0.0.2"} {
			t.Run(string(tt.mode)+source, func(t *testing.T) {
				r, control := startRelay(t)
				rule := Rule{Mode: tt.mode}
				if source != "" {
					rule.Source = netip.MustParseAddr(source)
				}
				wait := func(want bool) time.Duration {
					if want {
						return answerTimeout
					}
					return silenceWait
				}
				named, other := dial(t, r, "127.0.0.2"), dial(t, r, "127.0.0.3")
				require.True(t, echoes(t, named, "before", answerTimeout))
				require.True(t, echoes(t, other, "before", answerTimeout))
				require.NoError(t, Put(t.Context(), control, "a", rule))
				require.Equal(t, tt.open, echoes(t, named, "open", wait(tt.open)))
				c, err := tryDial(t, r, "127.0.0.2")
				if err == nil {
					require.Equal(t, tt.fresh, echoes(t, c, "fresh", wait(tt.fresh)))
				} else {
					// A cut connection may be reset before the dialer returns.
					require.Equal(t, ModeCut, tt.mode, "dial: %v", err)
				}
				if source != "" {
					require.True(t, echoes(t, other, "other", answerTimeout))
					require.True(t, echoes(t, dial(t, r, "127.0.0.3"), "other", answerTimeout))
				}
				require.NoError(t, Put(t.Context(), control, "a", Rule{Mode: ModePass}))
				require.Equal(t, tt.open, echoes(t, named, "after", wait(tt.open)), "a silent connection stays silent")
				require.True(t, echoes(t, dial(t, r, "127.0.0.2"), "reopened", answerTimeout))
			})
		}
	}
}

// TestOneWay guards against a one-way cut that also drops the bytes of the other direction.
func TestOneWay(t *testing.T) {
	tests := []struct {
		mode               Mode
		toTarget, toCaller bool
	}{{ModeToTarget, true, false}, {ModeToCaller, false, true}}
	for _, tt := range tests {
		t.Run(string(tt.mode), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			r, control := startRelay(t)
			require.NoError(t, Put(t.Context(), control, "a", Rule{Mode: tt.mode, Target: l.Addr().String()}))
			caller := dial(t, r, "127.0.0.2")
			target, err := l.Accept()
			require.NoError(t, err)
			defer target.Close()
			arrives := func(from, to net.Conn, want bool) {
				_, err := io.WriteString(from, "x")
				require.NoError(t, err)
				wait := silenceWait
				if want {
					wait = answerTimeout
				}
				require.NoError(t, to.SetReadDeadline(time.Now().Add(wait)))
				n, _ := to.Read(make([]byte, 1))
				require.Equal(t, want, n == 1)
			}
			arrives(caller, target, tt.toTarget)
			arrives(target, caller, tt.toCaller)
		})
	}
}

// TestDelay guards against a delay that reorders bytes or drops the end of a connection.
func TestDelay(t *testing.T) {
	r, control := startRelay(t)
	const delay = 30 * time.Millisecond
	require.NoError(t, Put(t.Context(), control, "a", Rule{Mode: ModePass, Delay: delay}))
	c := dial(t, r, "127.0.0.2")
	began := time.Now()
	for _, part := range []string{"one ", "two ", "three"} {
		_, err := io.WriteString(c, part)
		require.NoError(t, err)
	}
	tcp, ok := c.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, tcp.CloseWrite())
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "one two three", string(got))
	require.GreaterOrEqual(t, time.Since(began), 2*delay, "both directions are delayed")
}

// TestRefusedRules guards against an empty or invalid rule that is accepted, such as after a mistake in a script.
func TestRefusedRules(t *testing.T) {
	r, control := startRelay(t)
	for _, rule := range []Rule{{}, {Mode: "off"}, {Mode: ModePass, Delay: -1}, {Mode: ModePass, Target: "here"}} {
		require.Error(t, Put(t.Context(), control, "a", rule))
	}
	require.Error(t, r.Set("b", Rule{Mode: ModePass}))
	_, err := New(Config{Control: "127.0.0.1:0", Forwards: []Forward{{Name: "a", Listen: "127.0.0.1:0"}, {Name: "a"}}})
	require.Error(t, err)
}
