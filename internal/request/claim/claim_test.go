package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/camphorhinge"
)

// fault tells how a proposal of a log ends.
type fault string

const (
	fine fault = ""
	// refused: the command has no effect, and the proposer says so.
	refused fault = "refused"
	// lostCommand: the command has no effect, but the proposer can't tell.
	lostCommand fault = "lost command"
	// lostAnswer: the command takes effect, but the proposer can't tell.
	lostAnswer fault = "lost answer"
	// delayed: the command takes effect after later ones, and the proposer can't tell.
	delayed fault = "delayed"
)

// fakeProposer is a Proposer that applies commands at once, or fails as scripted.
type fakeProposer struct {
	machine *Machine
	stamp   int64
	script  []fault
	pending [][]byte
}

func (l *fakeProposer) Propose(_ context.Context, kind camphorhinge.CommandKind, cmd []byte) ([]byte, error) {
	if kind != camphorhinge.CommandClaim {
		return nil, errors.New("wrong kind")
	}
	f := fine
	if len(l.script) > 0 {
		f, l.script = l.script[0], l.script[1:]
	}
	switch f {
	case refused:
		return nil, errors.New("no leader")
	case lostCommand:
		return nil, fmt.Errorf("cut: %w", camphorhinge.ErrUncertain)
	case delayed:
		l.pending = append(l.pending, cmd)
		return nil, fmt.Errorf("cut: %w", camphorhinge.ErrUncertain)
	}
	out := l.machine.Apply(camphorhinge.Entry{Stamp: l.stamp}, cmd)
	if f == lostAnswer {
		return nil, fmt.Errorf("cut: %w", camphorhinge.ErrUncertain)
	}
	return out, nil
}

func (l *fakeProposer) flush() {
	for _, cmd := range l.pending {
		l.machine.Apply(camphorhinge.Entry{Stamp: l.stamp}, cmd)
	}
	l.pending = nil
}

func (l *fakeProposer) client() *Client {
	return New(Config{Proposer: l, Node: "n1", Metrics: metrics.NewSet()})
}

func request(key, body string) Request {
	return Request{
		Key: Key{"lima", "pedidos", key}, Digest: DigestOf("POST", "/pedidos", []byte(body)), Deadline: 5 * time.Second,
	}
}

// TestSecondClaim guards against a second run of a key whose first claim is in any state.
func TestSecondClaim(t *testing.T) {
	ctx := t.Context()
	for _, tc := range []struct {
		name  string
		first func(*Client, Grant) error
		after time.Duration
		body  string
		want  State
		// omitted is whether a stored answer lacks its body.
		omitted bool
	}{
		{name: "in progress", want: Busy},
		{name: "node lost before the send", after: 6 * time.Second, want: Lost},
		{name: "other body", body: "other", want: Differs},
		{name: "lost", first: func(c *Client, g Grant) error { return c.Lose(ctx, g) }, want: Lost},
		{name: "released", first: func(c *Client, g Grant) error { return c.Release(ctx, g) }, want: Granted},
		{name: "completed", first: func(c *Client, g Grant) error {
			return c.Complete(ctx, g, Answer{Status: 201, Body: []byte("ok")})
		}, after: 23 * time.Hour, want: Stored},
		{name: "completed after the deadline", first: func(c *Client, g Grant) error {
			return errors.Join(c.Lose(ctx, g), c.Complete(ctx, g, Answer{Status: 201}))
		}, want: Stored},
		{name: "completed with the largest body", first: func(c *Client, g Grant) error {
			return c.Complete(ctx, g, Answer{Status: 201, Body: make([]byte, BodyLimit)})
		}, want: Stored},
		{name: "completed with a larger body", first: func(c *Client, g Grant) error {
			return c.Complete(ctx, g, Answer{Status: 201, Body: make([]byte, BodyLimit+1)})
		}, want: Stored, omitted: true},
		{name: "past the retention", first: func(c *Client, g Grant) error {
			return c.Complete(ctx, g, Answer{Status: 201})
		}, after: 25 * time.Hour, want: Granted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &fakeProposer{machine: NewMachine(), stamp: 1_000_000}
			c := l.client()
			g, err := c.Claim(ctx, request("k", ""))
			require.NoError(t, err)
			require.Equal(t, Granted, g.State)
			if tc.first != nil {
				require.NoError(t, tc.first(c, g))
			}
			// The state must survive a snapshot that another replica installs.
			saved, err := l.machine.Snapshot()
			require.NoError(t, err)
			l.machine = NewMachine()
			require.NoError(t, l.machine.Restore(saved))
			again, err := l.machine.Snapshot()
			require.NoError(t, err)
			require.Equal(t, string(saved), string(again))
			l.stamp += tc.after.Milliseconds()
			second, err := c.Claim(ctx, request("k", tc.body))
			require.NoError(t, err)
			require.Equal(t, tc.want, second.State)
			if tc.want == Stored {
				require.Equal(t, 201, second.Answer.Status)
				require.Equal(t, tc.omitted, second.Answer.Omitted)
			}
		})
	}
}

// TestUncertain guards the class that a caller is told when the log fails: absent only if the claim has no effect, and
// the key is free again after the release, even if the claim is applied late.
func TestUncertain(t *testing.T) {
	for _, tc := range []struct {
		script  string
		granted bool
		kind    Kind
	}{
		{"refused", false, KindAbsent},
		{"lost command,fine", true, ""},
		{"lost answer,fine", true, ""},
		{"delayed,fine", true, ""},
		{"lost answer,refused,fine", true, ""},
		{"lost command,refused,refused", false, KindUncertain},
		{"lost answer,lost answer,lost answer", false, KindUncertain},
		{"delayed,delayed,delayed", false, KindUncertain},
	} {
		t.Run(tc.script, func(t *testing.T) {
			l := &fakeProposer{machine: NewMachine()}
			for _, f := range strings.Split(tc.script, ",") {
				l.script = append(l.script, fault(strings.ReplaceAll(f, "fine", "")))
			}
			c := l.client()
			g, err := c.Claim(t.Context(), request("k", ""))
			if tc.granted {
				require.NoError(t, err)
				require.Equal(t, Granted, g.State)
				return
			}
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, tc.kind, e.Kind)
			_ = c.Release(t.Context(), g)
			l.flush()
			next, err := c.Claim(t.Context(), request("k", ""))
			require.NoError(t, err)
			require.Equal(t, Granted, next.State)
		})
	}
}

// TestMaxClaims guards against the loss of a claim when the greatest number is reached: further ones are refused.
func TestMaxClaims(t *testing.T) {
	l := &fakeProposer{machine: NewMachine()}
	c := l.client()
	for i := range maxClaims {
		l.machine.claims[Key{Key: fmt.Sprint(i)}] = &claim{Expiry: 1}
	}
	g, err := c.Claim(t.Context(), request("k", ""))
	require.NoError(t, err)
	require.Equal(t, Full, g.State)
	require.Equal(t, maxClaims, l.machine.Len())
}

// TestAtMostOnce guards at-most-once under any mix of failing proposals, late commands, deadlines and snapshots: of the
// claims on a key, a second one may be granted only after the first was released unsent.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &fakeProposer{machine: NewMachine()}
		c := l.client()
		faults := rapid.SampledFrom([]fault{fine, fine, fine, refused, lostCommand, lostAnswer, delayed})
		runs := map[string]int{}
		var open []Grant
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			l.script = rapid.SliceOfN(faults, 0, 4).Draw(t, "faults")
			l.stamp += rapid.Int64Range(0, 4000).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				g, err := c.Claim(t.Context(), request(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), ""))
				switch {
				case err != nil:
					_ = c.Release(t.Context(), g)
				case g.State == Granted && rapid.Bool().Draw(t, "connects"):
					runs[g.Key.Key]++
					open = append(open, g)
				case g.State == Granted:
					_ = c.Release(t.Context(), g)
				}
			case 2:
				if len(open) > 0 {
					_ = c.Complete(t.Context(), open[0], Answer{Status: 200})
					open = open[1:]
				}
			case 3:
				l.flush()
			case 4:
				saved, err := l.machine.Snapshot()
				require.NoError(t, err)
				require.NoError(t, l.machine.Restore(saved))
			}
		}
		for key, n := range runs {
			require.LessOrEqual(t, n, 1, "runs of %s", key)
		}
	})
}
