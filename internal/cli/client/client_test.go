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

// fakeNode simulates a serve process. Its writes fail with fail, if set; with camphorhinge.ErrUncertain, they take
// effect first.
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

// cluster starts nodes in different conditions that share one table.
type cluster struct {
	t     *testing.T
	group *errgroup.Group
	ctx   context.Context
	token string
	table *table.Table
}

func newCluster(t *testing.T) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	cl := &cluster{t: t, group: &errgroup.Group{}, ctx: ctx, token: filepath.Join(t.TempDir(), "token"), table: table.New()}
	require.NoError(t, os.WriteFile(cl.token, []byte("0123456789abcdef"), 0o600))
	t.Cleanup(func() {
		cancel()
		require.NoError(t, cl.group.Wait())
	})
	return cl
}

func (cl *cluster) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(cl.t, err)
	return listener
}

// startNode starts a node and returns its address. The condition is ok, absent (refuses connections), cut (reads and
// closes the connection), noleader or uncertain.
func (cl *cluster) startNode(condition string) string {
	listener := cl.listen()
	n := &fakeNode{RecordReader: operator.ReadTable(cl.table), table: cl.table}
	switch condition {
	case "absent":
		require.NoError(cl.t, listener.Close())
		return listener.Addr().String()
	case "cut":
		cl.group.Go(func() error {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return nil
				}
				_, _ = conn.Read(make([]byte, 4096))
				conn.Close()
			}
		})
		cl.t.Cleanup(func() { listener.Close() })
		return listener.Addr().String()
	case "noleader":
		n.fail = camphorhinge.ErrNotLeader
	case "uncertain":
		n.fail = camphorhinge.ErrUncertain
	}
	api, err := operator.New(operator.Config{TokenFile: cl.token, Writer: n, Reader: n, Status: n, Explain: n, Metrics: metrics.NewSet()})
	require.NoError(cl.t, err)
	require.NoError(cl.t, listener.Close())
	s, err := web.New(web.Config{Address: "127.0.0.1:0", MaxBody: operator.HTTPBody, Options: operator.Options()})
	require.NoError(cl.t, err)
	api.Register(s.Hertz.Engine)
	cl.group.Go(func() error { return s.Serve(cl.ctx, 0) })
	return s.Address()
}

func (cl *cluster) client(conditions ...string) *client.Client {
	var addresses []string
	for _, c := range conditions {
		addresses = append(addresses, cl.startNode(c))
	}
	c, err := client.New(client.Config{Addresses: addresses, TokenFile: cl.token, Timeout: 10 * time.Second})
	require.NoError(cl.t, err)
	return c
}

const (
	first  = "schema: 1\nkind: model\nname: m\nversion: 1\nspec: {weights: w, context: 1}"
	second = "schema: 1\nkind: model\nname: m\nversion: 1\nspec: {weights: w, context: 2}"
)

func exitCode(err error) int {
	var clientErr *client.Error
	if errors.As(err, &clientErr) {
		return clientErr.ExitCode()
	}
	return 0
}

// TestApplyExitCodes guards against an exit code that claims that a write had an effect, or had none, when that is
// uncertain.
func TestApplyExitCodes(t *testing.T) {
	cases := []struct {
		name, record string
		nodes        []string
		want         int
	}{
		{"accepted", first, []string{"ok"}, 0},
		{"faults", "schema: 1", []string{"ok"}, client.ExitRefused},
		{"conflict", second, []string{"ok"}, client.ExitConflict},
		{"no node reachable", first, []string{"absent", "absent"}, client.ExitUnavailable},
		{"next address", first, []string{"absent", "noleader", "ok"}, 0},
		{"no leader", first, []string{"noleader"}, client.ExitUnavailable},
		{"cut off", first, []string{"cut"}, client.ExitUncertain},
		{"cut off, then no answer", first, []string{"cut", "absent", "noleader"}, client.ExitUncertain},
		{"cut off, then resent", first, []string{"cut", "ok"}, 0},
		{"uncertain", first, []string{"uncertain"}, client.ExitUncertain},
		{"uncertain, then resent", first, []string{"uncertain", "ok"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(t)
			if c.want == client.ExitConflict {
				_, err := cl.client("ok").Apply(context.Background(), []byte(first), false)
				require.NoError(t, err)
			}
			body, err := cl.client(c.nodes...).Apply(context.Background(), []byte(c.record), false)
			require.Equal(t, c.want, exitCode(err), "%v", err)
			if err == nil {
				require.Equal(t, table.Accepted, body.Results[0].Outcome)
				require.Nil(t, body.Error, "error of a previous node")
			}
			if c.want == client.ExitConflict {
				require.EqualValues(t, 1, body.Results[0].Winner.Version)
			}
			if c.want == client.ExitRefused {
				var clientErr *client.Error
				require.ErrorAs(t, err, &clientErr)
				require.Equal(t, "kind", clientErr.Faults[0].Field)
			}
		})
	}
}

// TestOtherCalls guards against paths and bodies of requests that differ between the client and the server.
func TestOtherCalls(t *testing.T) {
	cl, ctx := newCluster(t), context.Background()
	c := cl.client("ok")
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
	_, err = cl.client("cut").Status(ctx)
	require.Equal(t, client.ExitUnavailable, exitCode(err), "a read has no effect")
	_, err = client.New(client.Config{TokenFile: cl.token})
	require.Equal(t, client.ExitUsage, exitCode(err))
	_, err = client.New(client.Config{Addresses: []string{"x"}, TokenFile: "none"})
	require.Equal(t, client.ExitUsage, exitCode(err))
	require.NoError(t, os.WriteFile(cl.token, []byte("another token, long"), 0o600))
	_, err = c.Status(ctx)
	require.Equal(t, client.ExitRefused, exitCode(err))
}
