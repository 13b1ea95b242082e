package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/config"
)

// bubbleClock returns the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Since(c.start) + time.Hour)
}

// slowClock runs slower than the virtual time by the assumed maximum drift.
type slowClock struct{ start time.Time }

func (c slowClock) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Since(c.start)*100/110 + time.Hour)
}

// Guards against an acceptance that is reported while some node may still serve by the older configuration.
func TestWaitDelaysAcceptance(t *testing.T) {
	want := config.Position{Revision: 7}
	type renewal struct {
		after time.Duration
		node  camphorhinge.NodeID
		pos   config.Position
	}
	const bound = 8800 * time.Millisecond // (lease 2 s + stale limit 6 s) with 10 % drift
	tests := []struct {
		name     string
		members  []camphorhinge.NodeID
		renewals []renewal
		release  camphorhinge.NodeID
		want     time.Duration
	}{
		{name: "no member", want: 0},
		{name: "new leader waits for its predecessor's leases to end", members: []camphorhinge.NodeID{"a"}, want: bound},
		{
			name: "confirmed at once", members: []camphorhinge.NodeID{"a"},
			renewals: []renewal{{after: time.Second, node: "a", pos: want}}, want: time.Second,
		},
		{
			name: "older revision confirmed", members: []camphorhinge.NodeID{"a"},
			renewals: []renewal{{after: time.Second, node: "a", pos: config.Position{Revision: 6}}}, want: time.Second + bound,
		},
		{
			name: "slowest counts", members: []camphorhinge.NodeID{"a", "b"},
			renewals: []renewal{{after: time.Second, node: "a", pos: want}, {after: 2 * time.Second, node: "b", pos: want}},
			want:     3 * time.Second,
		},
		{name: "one isolated", members: []camphorhinge.NodeID{"a", "b"}, renewals: []renewal{{after: time.Second, node: "a", pos: want}}, want: bound},
		{name: "stopped node released", members: []camphorhinge.NodeID{"a"}, release: "a", want: 0},
		{
			name: "cordons not confirmed", members: []camphorhinge.NodeID{"a"},
			renewals: []renewal{{after: time.Second, node: "a", pos: config.Position{Revision: 7}}}, want: time.Second + bound,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				l := config.NewLeases(bubbleClock{start}, config.StaleLimit)
				l.Lead(tt.members)
				if tt.release != "" {
					l.Release(tt.release)
				}
				var g errgroup.Group
				g.Go(func() error {
					for _, r := range tt.renewals {
						time.Sleep(r.after)
						if err := l.Renew(r.node, r.pos); err != nil {
							return err
						}
					}
					return nil
				})
				goal := want
				if tt.name == "cordons not confirmed" {
					goal.OrdersRevision = 1
				}
				require.NoError(t, l.Wait(context.Background(), goal))
				require.Equal(t, tt.want, time.Since(start))
				require.True(t, l.InForce(goal))
				require.NoError(t, g.Wait())
			})
		})
	}
}

// Guards against an acceptance reported by a leader that was deposed while it waited.
func TestWaitFailsWhenLeadershipEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := config.NewLeases(bubbleClock{time.Now()}, config.StaleLimit)
		require.ErrorIs(t, l.Wait(context.Background(), config.Position{}), camphorhinge.ErrNotLeader)
		l.Lead([]camphorhinge.NodeID{"a"})
		var g errgroup.Group
		g.Go(func() error { return l.Wait(context.Background(), config.Position{Revision: 1}) })
		synctest.Wait()
		l.Follow()
		require.ErrorIs(t, g.Wait(), camphorhinge.ErrNotLeader)
		require.ErrorIs(t, l.Renew("a", config.Position{}), camphorhinge.ErrNotLeader)
	})
}

// Guards against a node that serves by an old configuration for longer than the leader assumes, even if its clock is
// slow.
func TestLeaseExpiresBeforeTheLeaderAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		lease := config.NewLease(slowClock{start}, config.StaleLimit)
		l := config.NewLeases(bubbleClock{start}, config.StaleLimit)
		require.Equal(t, config.StateEmpty, lease.State())
		require.False(t, lease.MayServe())

		l.Lead([]camphorhinge.NodeID{"a"})
		sent := slowClock{start}.Now()
		require.NoError(t, l.Renew("a", config.Position{Revision: 1}))
		lease.Extend(sent, config.LeaseTime)
		require.Equal(t, config.StateFresh, lease.State())
		time.Sleep(3 * time.Second)
		require.Equal(t, config.StateStale, lease.State())
		require.True(t, lease.MayServe())
		require.False(t, lease.Ready())

		require.NoError(t, l.Wait(context.Background(), config.Position{Revision: 2}))
		require.Equal(t, config.StateExpired, lease.State())
		require.False(t, lease.MayServe())
	})
}

// Guards against a late response that shortens a lease or revives an expired one.
func TestExtendKeepsTheLatestEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := bubbleClock{time.Now()}
		lease := config.NewLease(c, 0)
		first := c.Now()
		time.Sleep(time.Second)
		lease.Extend(c.Now(), config.LeaseTime)
		lease.Extend(first, config.LeaseTime)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, config.StateFresh, lease.State())
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, config.StateExpired, lease.State())
	})
}
