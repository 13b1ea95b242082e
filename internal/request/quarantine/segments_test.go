package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

type segments = []camphorhinge.Fingerprint

// crashAt returns a report on a target's first incarnation.
func crashAt(target string, sound []success, in ...camphorhinge.Fingerprint) command {
	return command{Node: "n", Target: camphorhinge.TargetName(target), Incarnation: 1, Segments: in, Sound: sound}
}

// requestsAt returns a report on a target's first incarnation with whole requests in flight.
func requestsAt(target string, sound []success, in ...camphorhinge.Fingerprint) command {
	c := crashAt(target, sound, in...)
	c.Requests = in
	return c
}

// TestSegments guards against engines that end one after the other under one prompt segment, and against the refusal of
// segments that were only in flight beside it.
func TestSegments(t *testing.T) {
	type step struct {
		at      int64
		command command
	}
	soundAt := func(age int64, in ...camphorhinge.Fingerprint) []success {
		var out []success
		for _, seg := range in {
			out = append(out, success{Segment: seg, Age: age})
		}
		return out
	}
	ok := func(in ...camphorhinge.Fingerprint) command {
		return command{Node: "n", Success: true, Sound: soundAt(0, in...)}
	}
	for _, tc := range []struct {
		name    string
		steps   []step
		refused segments
	}{
		{"two crashes", []step{{0, crashAt("a", nil, 7)}, {1000, crashAt("b", nil, 7)}}, nil},
		{"three crashes beside changing segments", []step{
			{0, crashAt("a", nil, 7, 20, 21)}, {1000, crashAt("b", nil, 7, 22, 23)}, {2000, crashAt("c", nil, 7, 20, 24)},
		}, segments{7}},
		{"two nodes report one crash late", []step{
			{0, crashAt("a", nil, 7)}, {1000, crashAt("a", nil, 7)}, {9000, crashAt("a", nil, 7)}, {9500, crashAt("b", nil, 7)},
		}, nil},
		{"the common first segment is known to be sound", []step{
			{0, crashAt("a", soundAt(50, 1), 1, 7)},
			{1000, crashAt("b", soundAt(400, 1), 1, 7)},
			{2000, crashAt("c", soundAt(1400, 1), 1, 7)},
			{3000, crashAt("d", nil, 1, 7)},
			{4000, crashAt("e", nil, 1, 7)},
			{5000, crashAt("f", nil, 1, 7)},
		}, segments{7}},
		{"a sound segment that no other explains", []step{
			{0, crashAt("a", soundAt(50, 1), 1, 7)},
			{1000, crashAt("b", nil, 1, 8)},
			{2000, crashAt("c", nil, 1, 9)},
			{3000, crashAt("d", nil, 1, 10)},
			{4000, crashAt("e", nil, 1, 11)},
		}, segments{1}},
		{"a success in between", []step{
			{0, crashAt("a", nil, 7)}, {1000, crashAt("b", nil, 7)}, {1500, ok(7)}, {2000, crashAt("c", nil, 7)}, {3000, crashAt("d", nil, 7)},
		}, nil},
		{"a success of before the crashes does not count", []step{
			{0, crashAt("a", nil, 7)},
			{1000, crashAt("b", nil, 7)},
			{2000, crashAt("c", soundAt(5000, 7), 7)},
			{3000, crashAt("d", nil, 7)},
			{4000, crashAt("e", nil, 7)},
		}, segments{7}},
		{"targets that end together count once", []step{
			{0, crashAt("a", nil, 7)}, {10, crashAt("b", nil, 7)}, {20, crashAt("c", nil, 7)}, {30, crashAt("d", nil, 7)},
		}, nil},
		{"beside the crashing segment three times, until that is in another crash", []step{
			{0, crashAt("a", nil, 7, 8)}, {1000, crashAt("b", nil, 7, 8)}, {2000, crashAt("c", nil, 7, 8)}, {3000, crashAt("d", nil, 7)},
		}, segments{7}},
		{"another segment that seemed to explain the crashes succeeds", []step{
			{0, crashAt("a", nil, 7, 8)},
			{1000, crashAt("b", nil, 7, 8)},
			{2000, crashAt("c", nil, 7, 8)},
			{3000, crashAt("d", nil, 8)},
			{3200, ok(8)},
		}, segments{7}},
		{"success when refused", []step{
			{0, crashAt("a", nil, 7)}, {1000, crashAt("b", nil, 7)}, {2000, crashAt("c", nil, 7)}, {3000, ok(7)},
		}, nil},
		{"a request alone in flight twice", []step{{0, requestsAt("a", nil, 7)}, {1000, requestsAt("b", nil, 7)}}, segments{7}},
		{"a request alone in flight at targets that end one right after the other, beside others before", []step{
			{0, requestsAt("a", nil, 7, 8)}, {2000, requestsAt("b", nil, 7)}, {2020, requestsAt("c", nil, 7)},
		}, segments{7}},
		{"a request beside others twice", []step{{0, requestsAt("a", nil, 7, 8)}, {1000, requestsAt("b", nil, 7, 9)}}, nil},
		{"a request alone in flight twice that succeeded lately", []step{
			{0, requestsAt("a", soundAt(50, 7), 7)}, {1000, requestsAt("b", nil, 7)},
		}, nil},
		{"a request alone in flight twice that succeeds afterwards elsewhere", []step{
			{0, requestsAt("a", nil, 7)}, {1000, requestsAt("b", nil, 7)}, {1100, ok(7)},
		}, nil},
		{"another node reports that a request was not alone", []step{
			{0, requestsAt("a", nil, 7)}, {1000, requestsAt("b", nil, 7)}, {1040, requestsAt("b", nil, 8)}, {1080, requestsAt("a", nil, 8)},
		}, nil},
		{"one target reported twice", []step{{0, requestsAt("a", nil, 7)}, {6000, requestsAt("a", nil, 7)}}, nil},
		{"a delayed report counts at the time of the crash", []step{
			{0, crashAt("a", nil, 7)},
			{1000, crashAt("b", nil, 7)},
			{1500, ok(7)},
			{2000, command{Node: "n", Target: "c", Incarnation: 1, Segments: segments{7}, Age: 1800}},
			{2500, crashAt("d", nil, 7)},
			{3500, crashAt("e", nil, 7)},
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := NewMachine()
			var last int64
			for i, s := range tc.steps {
				last = 1_000_000 + s.at
				data, err := json.Marshal(s.command)
				require.NoError(t, err)
				m.Apply(camphorhinge.Entry{Index: camphorhinge.Index(i + 1), Stamp: last}, data)
				saved, err := m.Snapshot()
				require.NoError(t, err)
				m = NewMachine()
				require.NoError(t, m.Restore(saved))
			}
			var refused segments
			for _, s := range m.Suspects(last) {
				if s.Segment && s.RemainingMillis > 0 {
					refused = append(refused, s.Fingerprint)
				}
			}
			require.Equal(t, tc.refused, refused)
			for _, s := range m.Scores(last + Window.Milliseconds() + 1) {
				require.Zero(t, s.RemainingMillis, "refused after the window")
			}
		})
	}
}

// TestReleaseReachesNodes guards against a node that refuses a segment for ten minutes though the cluster has released it,
// and against an old score that brings the refusal back.
func TestReleaseReachesNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, zero := NewMachine(), time.Now()
		apply := func(index camphorhinge.Index, c command) []Score {
			data, err := json.Marshal(c)
			require.NoError(t, err)
			m.Apply(camphorhinge.Entry{Index: index, Stamp: 1000 * int64(index)}, data)
			return m.Suspects(1000 * int64(index))
		}
		c := newTestClient(&unreachable{}, zero, nil)
		defer func() { require.NoError(t, c.Close()) }()
		apply(1, crashAt("a", nil, 7, 8))
		apply(2, crashAt("b", nil, 7, 8))
		old := apply(3, crashAt("c", nil, 7, 8))
		c.MergeScores(old)
		_, refused := c.Refused(1, 8)
		require.True(t, refused)
		c.MergeScores(apply(4, crashAt("d", nil, 7)))
		_, refused = c.Refused(1, 8)
		require.False(t, refused)
		c.MergeScores(old)
		_, refused = c.Refused(1, 8)
		require.False(t, refused, "an old score")
		_, refused = c.Refused(1, 9, 7)
		require.True(t, refused)
	})
}

// unreachable is a Proposer whose leader can't be reached while down is set; it records what is committed.
type unreachable struct {
	mu       sync.Mutex
	down     bool
	commands []command
}

func (u *unreachable) Propose(_ context.Context, _ camphorhinge.CommandKind, data []byte) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return nil, errors.New("no leader")
	}
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	u.commands = append(u.commands, c)
	return []byte("[]"), nil
}

func newTestClient(p camphorhinge.Proposer, zero time.Time, survived func(context.Context, *camphorhinge.Target) bool) *Client {
	return New(Config{
		Proposer: p, Node: "n", Clock: clock{zero}, Decisions: noDecisions{}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		Survived: survived,
	})
}

// TestCrashesWithoutLeader guards against a node that can't reach a leader and sends requests with a crashing segment to
// engine after engine, and against reports that are lost when the leader is away for longer than a change of leaders.
func TestCrashesWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &unreachable{down: true}
		c := newTestClient(p, time.Now(), nil)
		defer func() { require.NoError(t, c.Close()) }()
		time.Sleep(time.Second)
		c.Begin(target("x"), 1, 0, 5)(false, true)
		for i, name := range []camphorhinge.TargetName{"a", "b", "c"} {
			_, refused := c.Refused(1, 5, 7)
			require.False(t, refused, "crash %d", i)
			c.Begin(target(name), camphorhinge.Fingerprint(10+i), 0, 5, 7)(true, false)
			time.Sleep(time.Second)
			synctest.Wait()
		}
		_, refused := c.Refused(1, 5, 7)
		require.True(t, refused)
		_, refused = c.Refused(1, 5)
		require.False(t, refused, "a segment that was sound")
		time.Sleep(20 * time.Second)
		p.mu.Lock()
		p.down = false
		p.mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, p.commands, 3)
		for _, x := range p.commands {
			require.Equal(t, segments{5, 7}, x.Segments)
			require.GreaterOrEqual(t, x.Age, int64(20_000))
			require.Empty(t, x.Fingerprints, "reported too late to count for requests")
		}
	})
}

func target(name camphorhinge.TargetName) *camphorhinge.Target {
	return &camphorhinge.Target{Announcement: camphorhinge.Announcement{Name: name, Incarnation: 1}}
}

// TestSurvivingTarget guards against segments that are refused because targets break off answers without ending.
func TestSurvivingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &unreachable{}
		c := newTestClient(p, time.Now(), func(_ context.Context, t *camphorhinge.Target) bool { return t.Name == "alive" })
		defer func() { require.NoError(t, c.Close()) }()
		for _, name := range []camphorhinge.TargetName{"alive", "gone"} {
			c.Begin(target(name), 1, 0, 7)(true, false)
		}
		synctest.Wait()
		require.Len(t, p.commands, 2)
		slices.SortFunc(p.commands, func(a, b command) int { return len(a.Target) - len(b.Target) })
		require.Equal(t, segments{7}, p.commands[0].Segments)
		require.Empty(t, p.commands[1].Segments)
		require.NotEmpty(t, p.commands[1].Fingerprints)
	})
}

// TestSoundReport guards against a sound segment that is refused because the node that knows of its success was not asked:
// a node reports its last success when a segment becomes suspect, and only once.
func TestSoundReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &unreachable{}
		c := newTestClient(p, time.Now(), nil)
		defer func() { require.NoError(t, c.Close()) }()
		time.Sleep(time.Second)
		c.Begin(target("a"), 1, 0, 7)(false, true)
		time.Sleep(time.Minute)
		for index := range camphorhinge.Index(3) {
			c.MergeScores([]Score{{Fingerprint: 7, Value: 2, Index: index + 1, Segment: true}})
			time.Sleep(time.Second)
		}
		synctest.Wait()
		require.Len(t, p.commands, 1)
		require.Equal(t, camphorhinge.Fingerprint(7), p.commands[0].Sound[0].Segment)
		require.InDelta(t, 60_000, p.commands[0].Sound[0].Age, 300)
	})
}

// TestSuccessesAreBounded guards against successes that grow with the number of different requests, and against ones that
// are lost although they are recent.
func TestSuccessesAreBounded(t *testing.T) {
	var s successes
	_, ok := s.last(1)
	require.False(t, ok)
	for i := range 5 * maxSuccesses {
		s.put(camphorhinge.Fingerprint(i), lastSuccess{at: camphorhinge.Instant(i)})
		s.put(1, lastSuccess{at: camphorhinge.Instant(i)})
		require.LessOrEqual(t, len(s.current)+len(s.previous), 2*maxSuccesses)
		x, ok := s.last(1)
		require.True(t, ok)
		require.Equal(t, camphorhinge.Instant(i), x.at)
		_, ok = s.last(camphorhinge.Fingerprint(max(i-maxSuccesses+2, 0)))
		require.True(t, ok, "after %d", i)
	}
}

// TestRequestFingerprint guards against different requests that count as one, and against one that counts anew.
func TestRequestFingerprint(t *testing.T) {
	base := RequestFingerprint("s", "GET", "/a?b", []byte("c"))
	require.Equal(t, base, RequestFingerprint("s", "GET", "/a?b", []byte("c")))
	for _, other := range []camphorhinge.Fingerprint{
		RequestFingerprint("t", "GET", "/a?b", []byte("c")),
		RequestFingerprint("s", "PUT", "/a?b", []byte("c")),
		RequestFingerprint("s", "GET", "/a?bc", nil),
		RequestFingerprint("s", "GET", "/a?b", []byte("d")),
	} {
		require.NotEqual(t, base, other)
	}
}

// TestRequestAloneAtTargets guards against a request that comes from several callers through several nodes, each time alone in
// flight, and that ends a third target. Another request in flight at the same targets is not refused.
func TestRequestAloneAtTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &machineProposer{m: NewMachine()}
		c, other := newTestClient(p, time.Now(), nil), newTestClient(p, time.Now(), nil)
		defer func() { require.NoError(t, errors.Join(c.Close(), other.Close())) }()
		first, beside := c.Begin(target("a"), 1, 7, 7), other.Begin(target("a"), 2, 8, 8)
		time.Sleep(40 * time.Millisecond)
		first(true, false)
		beside(true, false)
		time.Sleep(time.Second)
		c.Begin(target("b"), 3, 7, 7)(true, false)
		time.Sleep(20 * time.Millisecond)
		_, refused := c.Refused(9, 7)
		require.True(t, refused)
		_, refused = other.Refused(9, 8)
		require.False(t, refused)
	})
}

// machineProposer commits commands to a Machine, the first one after firstDelay and others at once.
type machineProposer struct {
	m          *Machine
	firstDelay time.Duration

	mu       sync.Mutex
	proposed bool
	index    camphorhinge.Index
}

func (p *machineProposer) Propose(_ context.Context, _ camphorhinge.CommandKind, data []byte) ([]byte, error) {
	p.mu.Lock()
	first := !p.proposed
	p.proposed = true
	p.mu.Unlock()
	if first {
		time.Sleep(p.firstDelay)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	return p.m.Apply(camphorhinge.Entry{Index: p.index, Stamp: time.Now().UnixMilli()}, data), nil
}

// TestCrashOfRetriedRequest guards against a request that ends the target that it is retried at right after the first one,
// and whose two crashes count once as if they had another cause. Targets that end together with it in flight at both count once.
func TestCrashOfRetriedRequest(t *testing.T) {
	for _, tc := range []struct {
		name string
		// retried is set when the request is sent to the second target after the first one ended.
		retried bool
		// beside is set when another request with the segment is in flight at the second target all the while.
		beside bool
		// delay is the time from the sending to a crash, commit the time that the first report takes to commit.
		delay, commit time.Duration
		refused       bool
	}{
		{"retried at the second target", true, false, 40 * time.Millisecond, 0, true},
		{"the first report is committed late", true, false, 60 * time.Millisecond, 55 * time.Millisecond, true},
		{"in flight at both targets", false, false, 40 * time.Millisecond, 0, false},
		{"retried where the segment was in flight before", true, true, 40 * time.Millisecond, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestClient(&machineProposer{m: NewMachine(), firstDelay: tc.commit}, time.Now(), nil)
				defer func() { require.NoError(t, c.Close()) }()
				first := c.Begin(target("a"), 1, 0, 7)
				second := func(bool, bool) {}
				if !tc.retried {
					second = c.Begin(target("b"), 2, 0, 7)
				}
				if tc.beside {
					defer c.Begin(target("b"), 3, 0, 7)(false, false)
				}
				time.Sleep(tc.delay)
				first(true, false)
				if tc.retried {
					second = c.Begin(target("b"), 1, 0, 7)
				}
				time.Sleep(tc.delay)
				second(true, false)
				time.Sleep(time.Second)
				_, refused := c.Refused(9, 7)
				require.False(t, refused, "after two crashes")
				c.Begin(target("c"), 4, 0, 7)(true, false)
				time.Sleep(time.Second)
				_, refused = c.Refused(9, 7)
				require.Equal(t, tc.refused, refused)
			})
		})
	}
}

// TestCrashesOfConcurrentRetries guards against two requests with one segment that are in flight at two targets, and retried at
// two others, counting as few crashes because each retry began before the other request's target ended.
func TestCrashesOfConcurrentRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(&machineProposer{m: NewMachine()}, time.Now(), nil)
		defer func() { require.NoError(t, c.Close()) }()
		a, b := c.Begin(target("a"), 1, 0, 7), c.Begin(target("b"), 2, 0, 7)
		time.Sleep(40 * time.Millisecond)
		a(true, false)
		a = c.Begin(target("c"), 1, 0, 7)
		time.Sleep(20 * time.Millisecond)
		b(true, false)
		b = c.Begin(target("d"), 2, 0, 7)
		time.Sleep(10 * time.Millisecond)
		a(true, false)
		time.Sleep(20 * time.Millisecond)
		b(true, false)
		time.Sleep(time.Second)
		_, refused := c.Refused(9, 7)
		require.True(t, refused)
	})
}
