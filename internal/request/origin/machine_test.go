package origin

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// TestMachine guards against versions that are lost with a snapshot, and against a snapshot from before this machine.
func TestMachine(t *testing.T) {
	m := NewMachine()
	for _, c := range []string{
		`{"service":"s","software":"v2"}`, `{"service":"s","software":"v1"}`, `{"service":"o","software":"v1"}`, `{"service":"s","software":"v3"}`,
		`{"service":"s","software":"v3","gone":true}`, `{"service":"s","software":"v4","gone":true}`, `nonsense`,
	} {
		require.Empty(t, m.Apply(camphorhinge.Entry{}, []byte(c)))
	}
	data, err := m.Snapshot()
	require.NoError(t, err)
	other := NewMachine()
	require.NoError(t, other.Restore(data))
	for _, x := range []*Machine{m, other} {
		require.Equal(t, []camphorhinge.SoftwareVersion{"v1", "v2"}, x.Versions("s"))
		require.True(t, x.Has(Origin{"o", "v1"}))
	}
	require.NoError(t, other.Restore(nil))
	require.Empty(t, other.Versions("s"))
	require.Error(t, other.Restore([]byte("nonsense")))
}

// keeperSite is the surroundings of a Keeper.
type keeperSite struct {
	start    time.Time
	machine  *Machine
	versions atomic.Pointer[[]camphorhinge.SoftwareVersion]
	leads    atomic.Bool
	failing  atomic.Bool
}

func (s *keeperSite) Now() camphorhinge.Instant { return camphorhinge.Instant(time.Since(s.start)) }

func (s *keeperSite) Live(service camphorhinge.ServiceName) []*camphorhinge.Target {
	var out []*camphorhinge.Target
	for _, v := range *s.versions.Load() {
		out = append(out, &camphorhinge.Target{Announcement: camphorhinge.Announcement{Service: service, Software: v}})
	}
	return out
}

func (s *keeperSite) Propose(_ context.Context, kind camphorhinge.CommandKind, data []byte) ([]byte, error) {
	if s.failing.Load() || kind != camphorhinge.CommandVersion {
		return nil, errors.New("no leader")
	}
	return s.machine.Apply(camphorhinge.Entry{}, data), nil
}

// TestKeeper guards against a version that is not added at once or after a failed proposal, and against one that is removed
// while streams that it began may be continued.
func TestKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &keeperSite{start: time.Now(), machine: NewMachine()}
		set := func(versions ...camphorhinge.SoftwareVersion) { s.versions.Store(&versions) }
		set("v1")
		k := NewKeeper(KeeperConfig{
			Machine: s.machine, Proposer: s, Targets: s, Services: func() []camphorhinge.ServiceName { return []camphorhinge.ServiceName{"s"} },
			Leads: s.leads.Load, Clock: s, Log: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return k.Run(ctx) })
		defer func() {
			cancel()
			require.NoError(t, g.Wait())
		}()
		has := func(versions ...camphorhinge.SoftwareVersion) {
			t.Helper()
			synctest.Wait()
			require.Equal(t, versions, s.machine.Versions("s"))
		}
		k.Observe(Origin{"s", "v1"})
		has("v1")
		s.failing.Store(true)
		set("v1", "v2")
		k.Observe(Origin{"s", "v2"})
		has("v1")
		s.failing.Store(false)
		time.Sleep(2 * keepInterval)
		has("v1", "v2")
		set("v2")
		time.Sleep(2 * historyRetention)
		has("v1", "v2")
		s.leads.Store(true)
		time.Sleep(historyRetention / 2)
		set("v1", "v2")
		time.Sleep(2 * keepInterval)
		set("v2")
		time.Sleep(historyRetention - 2*keepInterval)
		has("v1", "v2")
		time.Sleep(4 * keepInterval)
		has("v2")
	})
}
