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

// fault is how fakeProposer fails a proposal.
type fault string

const (
	fine fault = ""
	// refused: the command has no effect, and the error is certain.
	refused fault = "refused"
	// lostCommand: the command has no effect, but the error is uncertain.
	lostCommand fault = "lost command"
	// lostAnswer: the command takes effect, but the error is uncertain.
	lostAnswer fault = "lost answer"
	// delayed: the command takes effect after later ones, and the error is uncertain.
	delayed fault = "delayed"
)

// fakeProposer applies commands at once, or fails as scripted; flush applies the delayed commands.
type fakeProposer struct {
	machine *Machine
	stamp   int64
	script  []fault
	pending [][]byte
}

func (p *fakeProposer) Propose(_ context.Context, kind camphorhinge.CommandKind, cmd []byte) ([]byte, error) {
	if kind != camphorhinge.CommandClaim {
		return nil, errors.New("wrong kind")
	}
	f := fine
	if len(p.script) > 0 {
		f, p.script = p.script[0], p.script[1:]
	}
	switch f {
	case refused:
		return nil, errors.New("no leader")
	case lostCommand:
		return nil, fmt.Errorf("cut: %w", camphorhinge.ErrUncertain)
	case delayed:
		p.pending = append(p.pending, cmd)
		return nil, fmt.Errorf("cut: %w", camphorhinge.ErrUncertain)
	}
	out := p.machine.Apply(camphorhinge.Entry{Stamp: p.stamp}, cmd)
	if f == lostAnswer {
		return nil, fmt.Errorf("cut: %w", camphorhinge.ErrUncertain)
	}
	return out, nil
}

func (p *fakeProposer) flush() {
	for _, cmd := range p.pending {
		p.machine.Apply(camphorhinge.Entry{Stamp: p.stamp}, cmd)
	}
	p.pending = nil
}

func (p *fakeProposer) client() *Client {
	return New(Config{Proposer: p, Node: "n1", Metrics: metrics.NewSet()})
}

func request(key, body string) Request {
	return Request{
		Key: Key{"lima", "pedidos", key}, Digest: DigestOf("POST", "/pedidos", []byte(body)), Deadline: 5 * time.Second,
	}
}

// TestSecondClaim guards against a second run of a request: it claims a key whose first claim is in each possible
// state.
func TestSecondClaim(t *testing.T) {
	ctx := t.Context()
	for _, tc := range []struct {
		name  string
		first func(*Client, Grant) error
		after time.Duration
		body  string
		want  State
		// omitted is true when the answer is expected without its body.
		omitted bool
	}{
		{name: "in progress", want: Busy},
		{name: "node lost before the send", after: 6 * time.Second, want: Lost},
		{name: "other body", body: "other", want: Differs},
		{name: "lost", first: func(c *Client, g Grant) error { return c.MarkLost(ctx, g) }, want: Lost},
		{name: "released", first: func(c *Client, g Grant) error { return c.Release(ctx, g) }, want: Granted},
		{name: "completed", first: func(c *Client, g Grant) error {
			return c.Complete(ctx, g, Answer{Status: 201, Body: []byte("ok")})
		}, after: 23 * time.Hour, want: Stored},
		{name: "completed after the deadline", first: func(c *Client, g Grant) error {
			return errors.Join(c.MarkLost(ctx, g), c.Complete(ctx, g, Answer{Status: 201}))
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
			p := &fakeProposer{machine: NewMachine(), stamp: 1_000_000}
			c := p.client()
			g, err := c.Claim(ctx, request("k", ""))
			require.NoError(t, err)
			require.Equal(t, Granted, g.State)
			if tc.first != nil {
				require.NoError(t, tc.first(c, g))
			}
			// The state must be the same on a replica that installs a snapshot.
			saved, err := p.machine.Snapshot()
			require.NoError(t, err)
			p.machine = NewMachine()
			require.NoError(t, p.machine.Restore(saved))
			again, err := p.machine.Snapshot()
			require.NoError(t, err)
			require.Equal(t, string(saved), string(again))
			p.stamp += tc.after.Milliseconds()
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

// TestUncertain checks the kind of error when proposals fail: KindNotApplied only if the claim took no effect. After
// the release the key must be free again, even if the claim is applied late.
func TestUncertain(t *testing.T) {
	for _, tc := range []struct {
		script  string
		granted bool
		kind    Kind
	}{
		{"refused", false, KindNotApplied},
		{"lost command,fine", true, ""},
		{"lost answer,fine", true, ""},
		{"delayed,fine", true, ""},
		{"lost answer,refused,fine", true, ""},
		{"lost command,refused,refused", false, KindUncertain},
		{"lost answer,lost answer,lost answer", false, KindUncertain},
		{"delayed,delayed,delayed", false, KindUncertain},
	} {
		t.Run(tc.script, func(t *testing.T) {
			p := &fakeProposer{machine: NewMachine()}
			for _, f := range strings.Split(tc.script, ",") {
				p.script = append(p.script, fault(strings.ReplaceAll(f, "fine", "")))
			}
			c := p.client()
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
			p.flush()
			next, err := c.Claim(t.Context(), request("k", ""))
			require.NoError(t, err)
			require.Equal(t, Granted, next.State)
		})
	}
}

// TestMaxClaims guards against dropping a claim when maxClaims is reached: further ones must be refused.
func TestMaxClaims(t *testing.T) {
	p := &fakeProposer{machine: NewMachine()}
	c := p.client()
	for i := range maxClaims {
		p.machine.claims[Key{Key: fmt.Sprint(i)}] = &claim{Expiry: 1}
	}
	g, err := c.Claim(t.Context(), request("k", ""))
	require.NoError(t, err)
	require.Equal(t, Full, g.State)
	require.Equal(t, maxClaims, p.machine.Len())
}

// TestAtMostOnce guards against a second run under any sequence of failing proposals, late commands, deadlines and
// snapshots: a second claim on a key may be granted only if the first was released unsent.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &fakeProposer{machine: NewMachine()}
		c := p.client()
		faults := rapid.SampledFrom([]fault{fine, fine, fine, refused, lostCommand, lostAnswer, delayed})
		runs := map[string]int{}
		var open []Grant
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			p.script = rapid.SliceOfN(faults, 0, 4).Draw(t, "faults")
			p.stamp += rapid.Int64Range(0, 4000).Draw(t, "ms")
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
				p.flush()
			case 4:
				saved, err := p.machine.Snapshot()
				require.NoError(t, err)
				require.NoError(t, p.machine.Restore(saved))
			}
		}
		for key, n := range runs {
			require.LessOrEqual(t, n, 1, "runs of %s", key)
		}
	})
}
