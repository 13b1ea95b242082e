package registry_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
)

type manualClock struct{ now camphorhinge.Instant }

func (c *manualClock) Now() camphorhinge.Instant { return c.now }

func (c *manualClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func announcement(inc camphorhinge.Incarnation, seq camphorhinge.Sequence) camphorhinge.Announcement {
	return camphorhinge.Announcement{
		Name: "e1", Service: "asesor-lm", Address: "127.0.0.1:9000", Zone: "caribe-a", Incarnation: inc, Seq: seq,
		Kind: camphorhinge.KindEngine, Role: camphorhinge.RoleMixed, Fencing: camphorhinge.FencingChecked, Orders: camphorhinge.OrdersPlain,
	}
}

func newRegistry(cordoned func(*camphorhinge.Target) bool) (*registry.Registry, *manualClock) {
	clock := &manualClock{now: camphorhinge.Instant(time.Hour)}
	return registry.New(registry.Config{Clock: clock, Cordoned: cordoned, Metrics: metrics.NewSet()}), clock
}

// TestLiveTargets guards against new work for a target that left, stopped renewing, or was revived by a late
// announcement.
func TestLiveTargets(t *testing.T) {
	leaving := announcement(1, 5)
	leaving.Leaving = true
	busy := announcement(1, 5)
	busy.Busy = true
	type step struct {
		announce camphorhinge.Announcement
		age      time.Duration
		wait     time.Duration
	}
	tests := []struct {
		name     string
		steps    []step
		cordoned bool
		live     bool
		serving  bool
	}{
		{name: "announced", steps: []step{{announce: announcement(1, 1)}}, live: true, serving: true},
		{name: "leaving announced", steps: []step{{announce: announcement(1, 1)}, {announce: leaving}}, live: true},
		{name: "changing", steps: []step{{announce: announcement(1, 1)}, {announce: busy}}, live: true},
		{name: "late announcement after leaving", steps: []step{{announce: leaving}, {announce: announcement(1, 4)}}, live: true},
		{name: "late announcement of an earlier start", steps: []step{{announce: func() camphorhinge.Announcement {
			a := announcement(2, 1)
			a.Leaving = true
			return a
		}()}, {announce: announcement(1, 99)}}, live: true},
		{name: "restart after leaving", steps: []step{{announce: leaving}, {announce: announcement(2, 1)}}, live: true, serving: true},
		{name: "silent for 2.4 s", steps: []step{{announce: announcement(1, 1), wait: 2400 * time.Millisecond}}, live: true, serving: true},
		{name: "silent for 2.5 s", steps: []step{{announce: announcement(1, 1), wait: 2500 * time.Millisecond}}},
		{name: "age counts", steps: []step{{announce: announcement(1, 1), age: 2 * time.Second, wait: 500 * time.Millisecond}}},
		{name: "late announcement after expiry", steps: []step{{announce: announcement(1, 2), wait: 3 * time.Second}, {announce: announcement(1, 1)}}},
		{name: "cordoned by a decision", steps: []step{{announce: announcement(1, 1)}}, cordoned: true, live: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, clock := newRegistry(func(*camphorhinge.Target) bool { return tt.cordoned })
			for _, s := range tt.steps {
				_, err := r.Announce(s.announce, s.age, true)
				require.NoError(t, err)
				r.Live("asesor-lm")
				clock.advance(s.wait)
			}
			live := r.Live("asesor-lm")
			require.Equal(t, tt.live, len(live) == 1)
			if tt.live {
				require.Equal(t, tt.serving, live[0].Serving)
			}
		})
	}
}

// TestTakeDirectReturnsAnnouncementsOnce guards against announcements that nodes forward to each other without end,
// and against ages lost on the way.
func TestTakeDirectReturnsAnnouncementsOnce(t *testing.T) {
	r, clock := newRegistry(nil)
	_, err := r.Announce(announcement(1, 1), 0, false)
	require.NoError(t, err)
	require.Empty(t, r.TakeDirect())

	_, err = r.Announce(announcement(1, 2), 0, true)
	require.NoError(t, err)
	clock.advance(200 * time.Millisecond)
	direct := r.TakeDirect()
	require.Len(t, direct, 1)
	require.Equal(t, 200*time.Millisecond, direct[0].Age)
	require.Empty(t, r.TakeDirect())
}

// TestDuePolls guards against a node that loses its targets when it is cut off from the other nodes, or polls them
// without pause.
func TestDuePolls(t *testing.T) {
	r, clock := newRegistry(nil)
	_, err := r.Announce(announcement(1, 1), 0, false)
	require.NoError(t, err)
	require.Empty(t, r.DuePolls(10))
	clock.advance(registry.PollAfter)
	require.Len(t, r.DuePolls(10), 1)
	require.Empty(t, r.DuePolls(10))
	clock.advance(camphorhinge.AnnounceInterval)
	require.Len(t, r.DuePolls(10), 1)
	require.NoError(t, r.RecordPoll(announcement(1, 1), time.Second))
	require.Len(t, r.Live("asesor-lm"), 1, "an answer from the target renews it")
	clock.advance(camphorhinge.TargetExpiry - time.Second)
	require.Empty(t, r.Live("asesor-lm"))
	clock.advance(2 * time.Minute)
	r.TakeDirect()
	require.Empty(t, r.DuePolls(10))
	require.Zero(t, r.Len())
}

// TestDecode guards against malformed and oversized announcements.
func TestDecode(t *testing.T) {
	valid, err := json.Marshal(announcement(1, 1))
	require.NoError(t, err)
	tests := []struct {
		name, data string
		faults     []string
	}{
		{name: "valid", data: string(valid)},
		{name: "not JSON", data: "{", faults: []string{"malformed"}},
		{name: "empty", data: "{}", faults: []string{"name:", "service:", "zone:", "address:", "incarnation:", "kind:"}},
		{
			name: "host name", faults: []string{"address: expected IP:port"},
			data: `{"name":"p","service":"pedidos","zone":"callao","kind":"service","incarnation":1,"address":"host:80"}`,
		},
		{
			name: "engine fields", faults: []string{"role:", "fencing:", "orders:"},
			data: `{"name":"p","service":"pedidos","zone":"callao","kind":"engine","incarnation":1,"address":"10.0.0.1:80"}`,
		},
		{name: "oversized", data: string(make([]byte, registry.MaxAnnouncement+1)), faults: []string{"too large"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := registry.Decode([]byte(tt.data))
			if len(tt.faults) == 0 {
				require.NoError(t, err)
				return
			}
			for _, f := range tt.faults {
				require.ErrorContains(t, err, f)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	valid, err := json.Marshal(announcement(1, 1))
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte(`{"load":{"age":-1},"kind":"engine"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := registry.Decode(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(a)
		require.NoError(t, err)
		_, err = registry.Decode(again)
		if len(again) <= registry.MaxAnnouncement {
			require.NoError(t, err)
		}
	})
}

// TestLeaveOvertakesAnnouncements guards against a leave that is ignored since the node that recorded it had missed the target's latest
// announcements.
func TestLeaveOvertakesAnnouncements(t *testing.T) {
	clock := &manualClock{now: camphorhinge.Instant(time.Hour)}
	r := registry.New(registry.Config{Clock: clock, Metrics: metrics.NewSet()})
	a := camphorhinge.Announcement{Name: "t", Service: "s", Address: "127.0.0.1:1", Zone: "z", Incarnation: 1, Seq: 7, Kind: camphorhinge.KindService}
	announce := func(seq camphorhinge.Sequence, incarnation camphorhinge.Incarnation, left bool) bool {
		b := a
		b.Seq, b.Incarnation, b.Leaving, b.Left = seq, incarnation, left, left
		changed, err := r.Announce(b, 0, false)
		require.NoError(t, err)
		return changed
	}
	require.True(t, announce(7, 1, false))
	require.True(t, announce(4, 1, true))
	require.False(t, r.Live("s")[0].Serving)
	require.False(t, announce(8, 1, false), "a late announcement")
	require.False(t, announce(4, 1, true), "the leave again")
	require.True(t, announce(1, 2, false), "the next incarnation")
	require.False(t, announce(9, 1, true), "a leave of the former one")
	require.True(t, r.Live("s")[0].Serving)
}
