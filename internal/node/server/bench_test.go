package server_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge/internal/cli/client"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/server"
	"example.org/camphorhinge/internal/node/setting"
	"example.org/camphorhinge/internal/standin/service"
)

// BenchmarkPlain sends GET requests through a node to a stand-in service. Callers and the service run in the same
// process, so a CPU profile shows the cost of all three.
func BenchmarkPlain(b *testing.B) {
	dir := b.TempDir()
	records, err := os.ReadFile("../../../scripts/endtoend.yaml")
	require.NoError(b, err)
	token := filepath.Join(dir, "token")
	require.NoError(b, os.WriteFile(token, []byte("operator-token-of-the-benchmark"), 0o600))
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	s, err := server.New(ctx, setting.Serve{
		Node: "n1", Zone: "caribe-a", Data: filepath.Join(dir, "data"), Bootstrap: true, PeerPlain: true, OperatorToken: token,
		CallerListen: "127.0.0.1:0", TargetListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		StopLimit: time.Minute, StaleLimit: config.StaleLimit, ClaimRetention: time.Hour, WeightLoads: 1, WeightRate: 1 << 30,
	}, slog.New(slog.DiscardHandler), nil)
	require.NoError(b, err)
	g.Go(func() error { return s.Run(ctx) })
	p, err := service.New(service.Config{
		Name: "p1", Service: "pedidos-app", Zone: "caribe-a", Announce: []string{"http://" + s.Addresses().Target},
	})
	require.NoError(b, err)
	g.Go(func() error { return p.Run(ctx) })
	b.Cleanup(func() {
		stop()
		_ = g.Wait() // The stand-in returns an error because its listener is closed.
	})

	c, err := client.New(client.Config{Addresses: []string{s.Addresses().Operator}, TokenFile: token, Timeout: time.Minute})
	require.NoError(b, err)
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer h.CloseIdleConnections()
	get := func() int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addresses().Caller+"/pedidos", http.NoBody)
		if err != nil {
			return 0
		}
		req.Header.Set("Authorization", "Bearer guias-demo")
		resp, err := h.Do(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	require.Eventually(b, func() bool {
		_, err := c.Apply(ctx, records, false)
		return err == nil && get() == http.StatusOK
	}, 20*time.Second, 50*time.Millisecond)

	b.SetParallelism(4)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if get() != http.StatusOK {
				b.Error("a request failed")
			}
		}
	})
}
