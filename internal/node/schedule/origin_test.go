package schedule

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/origin"
	"example.org/camphorhinge/internal/request/place"
)

// testClock is a Clock on the virtual time of synctest.
type testClock struct{ start time.Time }

func (c testClock) Now() camphorhinge.Instant {
	return camphorhinge.Instant(time.Since(c.start) + time.Hour)
}

// versionTargets are targets of service "s", one for each listed software version.
type versionTargets struct {
	versions atomic.Pointer[[]camphorhinge.SoftwareVersion]
}

func (v *versionTargets) Live(camphorhinge.ServiceName) []*camphorhinge.Target {
	var out []*camphorhinge.Target
	for i, software := range *v.versions.Load() {
		out = append(out, &camphorhinge.Target{Serving: true, Announcement: camphorhinge.Announcement{
			Name: camphorhinge.TargetName(fmt.Sprintf("t%d", i)), Service: "s", Kind: camphorhinge.KindEngine, Software: software, Slots: 8,
		}})
	}
	return out
}

// originCore is a core node whose process can be replaced and that can be cut off.
type originCore struct {
	peerpb.Feed
	scheduler atomic.Pointer[Scheduler]
	cut       atomic.Bool
	stop      context.CancelFunc
}

var errCut = errors.New("the node is cut off")

func (c *originCore) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	if c.cut.Load() {
		return nil, errCut
	}
	return c.scheduler.Load().Place(ctx, req)
}

func (c *originCore) Record(ctx context.Context, req *peerpb.RecordRequest) (*peerpb.RecordResponse, error) {
	if c.cut.Load() {
		return nil, errCut
	}
	return c.scheduler.Load().Record(ctx, req)
}

func (c *originCore) Origin(ctx context.Context, req *peerpb.OriginRequest) (*peerpb.OriginResponse, error) {
	if c.cut.Load() {
		return nil, errCut
	}
	return c.scheduler.Load().Origin(ctx, req)
}

// originSite has five core nodes, a to e, and entry nodes, in virtual time.
type originSite struct {
	clock   testClock
	targets versionTargets
	// durable are the software versions in the durable state; without any, it can't be read.
	durable atomic.Pointer[[]camphorhinge.SoftwareVersion]
	cores   map[string]*originCore
	names   []string
	group   errgroup.Group
	ctx     context.Context //nolint:containedctx // It ends the nodes.
}

// withOrigins runs f with a site in virtual time.
func withOrigins(t *testing.T, f func(t *testing.T, s *originSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &originSite{clock: testClock{time.Now()}, cores: map[string]*originCore{}, names: []string{"a", "b", "c", "d", "e"}, ctx: ctx}
		s.targets.versions.Store(&[]camphorhinge.SoftwareVersion{"v1"})
		for _, name := range s.names {
			s.cores[name] = &originCore{stop: func() {}}
		}
		for _, name := range s.names {
			s.startCore(name)
		}
		defer func() {
			cancel()
			require.NoError(t, s.group.Wait())
		}()
		f(t, s)
	})
}

func (s *originSite) feed(address string) peerpb.Feed { return s.cores[address] }

// startCore replaces the process of a core node.
func (s *originSite) startCore(name string) {
	c := s.cores[name]
	c.stop()
	ctx, stop := context.WithCancel(s.ctx)
	c.stop = stop
	var others []string
	for _, x := range s.names {
		if x != name {
			others = append(others, x)
		}
	}
	scheduler := New(Config{
		Targets: &s.targets, Configuration: func() *routing.Config {
			return &routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8}}}}
		},
		Self: name, Others: func() []string { return others }, Feed: s.feed, Clock: s.clock, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		Versions: func(context.Context, camphorhinge.ServiceName) ([]camphorhinge.SoftwareVersion, error) {
			if durable := s.durable.Load(); durable != nil {
				return *durable, nil
			}
			return nil, errCut
		},
	})
	c.scheduler.Store(scheduler)
	s.group.Go(func() error { return scheduler.Run(ctx) })
}

// startEntry starts an entry node and returns it and the function that ends it.
func (s *originSite) startEntry(name camphorhinge.NodeID) (*Client, context.CancelFunc) {
	c := NewClient(ClientConfig{
		Node: name, Feed: s.feed, Cores: func() []string { return s.names }, Local: place.New(place.Config{}), Clock: s.clock,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(),
	})
	ctx, stop := context.WithCancel(s.ctx)
	s.group.Go(func() error { return c.Run(ctx) })
	return c, stop
}

// TestOriginSurvives guards against streams whose origin is lost with the nodes that had it, and against an origin that is
// guessed when more than one version may have begun the stream.
func TestOriginSurvives(t *testing.T) {
	v2 := origin.Origin{Service: "s", Software: "v2"}
	for _, tc := range []struct {
		name string
		// fault happens after the entry node "n" has begun a stream at v2, while v1 is the only version that targets announce.
		fault func(s *originSite, stopEntry context.CancelFunc)
		known bool
	}{
		{"the entry node ends", func(_ *originSite, stop context.CancelFunc) { stop() }, true},
		{"the entry node ends and the placing node restarts", func(s *originSite, stop context.CancelFunc) {
			stop()
			s.startCore("a")
		}, true},
		{"the entry node ends and the placing node is cut off", func(s *originSite, stop context.CancelFunc) {
			stop()
			s.cores["a"].cut.Store(true)
		}, true},
		{"the entry node ends and two core nodes are cut off", func(s *originSite, stop context.CancelFunc) {
			stop()
			s.cores["a"].cut.Store(true)
			s.cores["b"].cut.Store(true)
		}, true},
		{"all core nodes restart", func(s *originSite, _ context.CancelFunc) {
			for _, name := range s.names {
				s.startCore(name)
			}
			time.Sleep(2 * time.Second)
		}, true},
		{"all nodes end", func(s *originSite, stop context.CancelFunc) {
			stop()
			for _, name := range s.names {
				s.startCore(name)
			}
		}, false},
		{"the entry node ends, the record's time has passed", func(_ *originSite, stop context.CancelFunc) {
			stop()
			time.Sleep(10 * time.Second)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withOrigins(t, func(t *testing.T, s *originSite) {
				t.Helper()
				n, stop := s.startEntry("n")
				defer stop()
				time.Sleep(20 * time.Second)
				n.RecordOrigin(7, v2, 1, 10*time.Second)
				time.Sleep(200 * time.Millisecond)
				tc.fault(s, stop)
				other, stopOther := s.startEntry("other")
				defer stopOther()
				from, ok := other.ResolveOrigin(t.Context(), 7, "s", 12*time.Second)
				require.Equal(t, tc.known, ok)
				if tc.known {
					require.Equal(t, v2, from)
				}
			})
		})
	}
}

// TestOriginWithoutRecord guards against streams without a record that are refused although the service has had one version
// only, and against those that go on although another version was in service, or may have been.
func TestOriginWithoutRecord(t *testing.T) {
	const window = 10 * time.Second
	for _, tc := range []struct {
		name  string
		key   origin.Key
		run   func(s *originSite)
		known bool
	}{
		{"one version for long", 7, func(*originSite) { time.Sleep(window) }, true},
		{"the caller did not name the stream", 0, func(*originSite) { time.Sleep(window) }, true},
		{"the core nodes have just started", 7, func(*originSite) { time.Sleep(window / 2) }, false},
		{"the core nodes have just started, the durable state has one version", 7, func(s *originSite) {
			s.durable.Store(&[]camphorhinge.SoftwareVersion{"v1"})
		}, true},
		{"the core nodes have just started, the durable state has two versions", 7, func(s *originSite) {
			s.durable.Store(&[]camphorhinge.SoftwareVersion{"v1", "v2"})
		}, false},
		{"the core nodes have just started, the durable state lacks the version", 7, func(s *originSite) {
			s.durable.Store(&[]camphorhinge.SoftwareVersion{})
		}, false},
		{"the core nodes have just started, the durable state has another version", 7, func(s *originSite) {
			s.durable.Store(&[]camphorhinge.SoftwareVersion{"v2"})
		}, false},
		{"two versions, the durable state has one", 7, func(s *originSite) {
			s.durable.Store(&[]camphorhinge.SoftwareVersion{"v1"})
			s.targets.versions.Store(&[]camphorhinge.SoftwareVersion{"v1", "v2"})
		}, false},
		{"one core node has just started", 7, func(s *originSite) {
			time.Sleep(window)
			s.startCore("a")
		}, true},
		{"two versions", 7, func(s *originSite) {
			time.Sleep(window)
			s.targets.versions.Store(&[]camphorhinge.SoftwareVersion{"v1", "v2"})
		}, false},
		{"another version has just left", 7, func(s *originSite) {
			s.targets.versions.Store(&[]camphorhinge.SoftwareVersion{"v1", "v2"})
			time.Sleep(window)
			s.targets.versions.Store(&[]camphorhinge.SoftwareVersion{"v1"})
			time.Sleep(window - 2*time.Second)
		}, false},
		{"another version left long ago", 7, func(s *originSite) {
			s.targets.versions.Store(&[]camphorhinge.SoftwareVersion{"v1", "v2"})
			time.Sleep(window)
			s.targets.versions.Store(&[]camphorhinge.SoftwareVersion{"v1"})
			time.Sleep(window + 2*time.Second)
		}, true},
		{"the core node reaches no majority", 7, func(s *originSite) {
			time.Sleep(window)
			for _, name := range s.names[2:] {
				s.cores[name].cut.Store(true)
			}
		}, false},
		{"no core node answers", 7, func(s *originSite) {
			time.Sleep(window)
			for _, c := range s.cores {
				c.cut.Store(true)
			}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withOrigins(t, func(t *testing.T, s *originSite) {
				t.Helper()
				n, stop := s.startEntry("n")
				defer stop()
				time.Sleep(time.Second)
				tc.run(s)
				from, ok := n.ResolveOrigin(t.Context(), tc.key, "s", window)
				require.Equal(t, tc.known, ok)
				if tc.known {
					require.Equal(t, origin.Origin{Service: "s", Software: "v1"}, from)
				}
			})
		})
	}
}

// TestPinnedPlacement guards against a continued stream that a core node places on a target of another software version.
func TestPinnedPlacement(t *testing.T) {
	withOrigins(t, func(t *testing.T, s *originSite) {
		t.Helper()
		s.targets.versions.Store(&[]camphorhinge.SoftwareVersion{"v1", "v2", "v1", "v1", "v1"})
		n, stop := s.startEntry("n")
		defer stop()
		engine := &routing.Engine{Slots: 8, CacheCapacity: 500_000}
		for software, want := range map[camphorhinge.SoftwareVersion]bool{"v2": true, "v3": false} {
			for range 8 {
				p, _, ok := n.Place(t.Context(), s.targets.Live("s"), place.Request{Service: "s", Engine: engine, Prompt: 100, Output: 5, Software: &software})
				require.Equal(t, want, ok)
				if ok {
					require.Equal(t, software, p.Serve.Software)
					p.Close(s.clock.Now())
				}
			}
		}
		require.Positive(t, n.placedByCore.Get())
	})
}

// BenchmarkOriginBytes measures the bytes of a record in a call with one record, and with many.
func BenchmarkOriginBytes(b *testing.B) {
	var one, many int
	for range b.N {
		records := make([]origin.Record, 1000)
		for i := range records {
			records[i] = origin.Record{
				Key: origin.KeyOf(camphorhinge.AttemptID(fmt.Sprint(i))), Origin: origin.Origin{Service: "asesor-lm", Software: "v1.2"}, Try: 1,
				Until: camphorhinge.Instant(13 * time.Second),
			}
		}
		one = proto.Size(&peerpb.RecordRequest{Origins: encodeOrigins(0, records[:1])})
		many = proto.Size(&peerpb.RecordRequest{Origins: encodeOrigins(0, records)})
	}
	b.ReportMetric(float64(one), "bytes/single")
	b.ReportMetric(float64(many)/1000, "bytes/record")
}
