package client_test

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/cli/client"
	"example.org/camphorhinge/internal/node/operator"
	"example.org/camphorhinge/internal/node/web"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
)

// fakeNode stands for a serve process; its writes fail with fail, after taking effect when that is uncertain.
type fakeNode struct {
	operator.RecordReader
	table *table.Table
	fail  error
}

func (n *fakeNode) Write(_ context.Context, c table.Command) (table.Result, error) {
	if n.fail != nil && !errors.Is(n.fail, camphorhinge.ErrUncertain) {
		return table.Result{}, n.fail
	}
	encoded, err := c.Encode()
	if err != nil {
		return table.Result{}, err
	}
	result, err := table.DecodeResult(n.table.Apply(camphorhinge.Entry{}, encoded))
	return result, errors.Join(err, n.fail)
}

func (n *fakeNode) Status(context.Context) (any, error) { return map[string]int{"revision": 1}, nil }

func (n *fakeNode) Explain(context.Context, operator.Query) ([]camphorhinge.Decision, error) {
	return []camphorhinge.Decision{{Seq: 1}}, nil
}

// cluster makes addresses of nodes in different conditions over one table.
type cluster struct {
	t     *testing.T
	group *errgroup.Group
	ctx   context.Context
	token string
	table *table.Table
}

func newCluster(t *testing.T) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	f := &cluster{t: t, group: &errgroup.Group{}, ctx: ctx, token: filepath.Join(t.TempDir(), "token"), table: table.New()}
	require.NoError(t, os.WriteFile(f.token, []byte("0123456789abcdef"), 0o600))
	t.Cleanup(func() {
		cancel()
		require.NoError(t, f.group.Wait())
	})
	return f
}

func (f *cluster) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	return listener
}

// startNode starts a node: ok, absent (refuses connections), cut (reads and closes), noleader, uncertain.
func (f *cluster) startNode(condition string) string {
	listener := f.listen()
	n := &fakeNode{RecordReader: operator.ReadTable(f.table), table: f.table}
	switch condition {
	case "absent":
		require.NoError(f.t, listener.Close())
		return listener.Addr().String()
	case "cut":
		f.group.Go(func() error {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return nil
				}
				_, _ = conn.Read(make([]byte, 4096))
				conn.Close()
			}
		})
		f.t.Cleanup(func() { listener.Close() })
		return listener.Addr().String()
	case "noleader":
		n.fail = camphorhinge.ErrNotLeader
	case "uncertain":
		n.fail = camphorhinge.ErrUncertain
	}
	api, err := operator.New(operator.Config{TokenFile: f.token, Writer: n, Reader: n, Status: n, Explain: n, Metrics: metrics.NewSet()})
	require.NoError(f.t, err)
	require.NoError(f.t, listener.Close())
	s, err := web.New(web.Config{Address: "127.0.0.1:0", MaxBody: operator.HTTPBody, Options: operator.Options()})
	require.NoError(f.t, err)
	api.Register(s.Hertz.Engine)
	f.group.Go(func() error { return s.Serve(f.ctx, 0) })
	return s.Address()
}

func (f *cluster) client(conditions ...string) *client.Client {
	var addresses []string
	for _, c := range conditions {
		addresses = append(addresses, f.startNode(c))
	}
	c, err := client.New(client.Config{Addresses: addresses, TokenFile: f.token, Timeout: 10 * time.Second})
	require.NoError(f.t, err)
	return c
}

const (
	first  = "schema: 1\nkind: model\nname: m\nversion: 1\nspec: {weights: w, context: 1}"
	second = "schema: 1\nkind: model\nname: m\nversion: 1\nspec: {weights: w, context: 2}"
)

func exitCode(err error) int {
	var own *client.Error
	if errors.As(err, &own) {
		return own.ExitCode()
	}
	return 0
}

// Guards against an exit code that tells the operator a write had no effect, or had one, when that is not known.
func TestApplyExitCodes(t *testing.T) {
	cases := []struct {
		name, record string
		nodes        []string
		want         int
	}{
		{"accepted", first, []string{"ok"}, 0},
		{"faults", "schema: 1", []string{"ok"}, client.ExitRefused},
		{"conflict", second, []string{"ok"}, client.ExitConflict},
		{"nobody there", first, []string{"absent", "absent"}, client.ExitUnavailable},
		{"next address", first, []string{"absent", "noleader", "ok"}, 0},
		{"no leader", first, []string{"noleader"}, client.ExitUnavailable},
		{"cut off", first, []string{"cut"}, client.ExitUncertain},
		{"cut off, then no one", first, []string{"cut", "absent", "noleader"}, client.ExitUncertain},
		{"cut off, then resent", first, []string{"cut", "ok"}, 0},
		{"uncertain", first, []string{"uncertain"}, client.ExitUncertain},
		{"uncertain, then resent", first, []string{"uncertain", "ok"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newCluster(t)
			if c.want == client.ExitConflict {
				_, err := f.client("ok").Apply(context.Background(), []byte(first), false)
				require.NoError(t, err)
			}
			body, err := f.client(c.nodes...).Apply(context.Background(), []byte(c.record), false)
			require.Equal(t, c.want, exitCode(err), "%v", err)
			if err == nil {
				require.Equal(t, table.Accepted, body.Results[0].Outcome)
				require.Nil(t, body.Error, "left over from a node tried before")
			}
			if c.want == client.ExitConflict {
				require.EqualValues(t, 1, body.Results[0].Winner.Version)
			}
			if c.want == client.ExitRefused {
				var own *client.Error
				require.ErrorAs(t, err, &own)
				require.Equal(t, "kind", own.Faults[0].Field)
			}
		})
	}
}

// Guards against a client and server that don't agree on paths and bodies.
func TestOtherCalls(t *testing.T) {
	f, ctx := newCluster(t), context.Background()
	c := f.client("ok")
	dry, err := c.Apply(ctx, []byte(first), true)
	require.NoError(t, err)
	require.True(t, dry.Dry)
	require.NotEmpty(t, dry.Results[0].Changes)
	_, err = c.Apply(ctx, []byte(first), false)
	require.NoError(t, err)
	list, err := c.Records(ctx, "")
	require.NoError(t, err)
	require.Len(t, list.Records, 1)
	key := schema.Key{Kind: schema.KindModel, Name: "m"}
	record, err := c.Record(ctx, key)
	require.NoError(t, err)
	require.Equal(t, first, record.Document)
	_, err = c.Withdraw(ctx, operator.Withdrawal{Key: key, Version: 2})
	require.NoError(t, err)
	status, err := c.Status(ctx)
	require.NoError(t, err)
	require.JSONEq(t, `{"revision":1}`, string(status))
	decisions, err := c.Explain(ctx, operator.Query{Kind: "route", Limit: 3})
	require.NoError(t, err)
	require.Len(t, decisions.Decisions, 1)

	_, err = c.Record(ctx, schema.Key{Kind: "x", Name: "m"})
	require.Equal(t, client.ExitUsage, exitCode(err))
	_, err = c.Record(ctx, schema.Key{Kind: schema.KindModel, Name: "none"})
	require.Equal(t, client.ExitRefused, exitCode(err))
	_, err = f.client("cut").Status(ctx)
	require.Equal(t, client.ExitUnavailable, exitCode(err), "a read has no effect")
	_, err = client.New(client.Config{TokenFile: f.token})
	require.Equal(t, client.ExitUsage, exitCode(err))
	_, err = client.New(client.Config{Addresses: []string{"x"}, TokenFile: "none"})
	require.Equal(t, client.ExitUsage, exitCode(err))
	require.NoError(t, os.WriteFile(f.token, []byte("another token, long"), 0o600))
	_, err = c.Status(ctx)
	require.Equal(t, client.ExitRefused, exitCode(err))
}
