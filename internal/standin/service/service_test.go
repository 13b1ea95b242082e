package service

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// TestRunsAndAnnouncements guards against a counter that misses a run whose answer was lost, and against a service that
// does not announce itself.
func TestRunsAndAnnouncements(t *testing.T) {
	received := make(chan camphorhinge.Announcement, 16)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a camphorhinge.Announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil && r.URL.Path == "/v1/announce" {
			received <- a
		}
	}))
	defer node.Close()
	s, err := New(Config{Name: "pedidos-1", Service: "pedidos", Announce: []string{node.URL}, CutOn: "corte", Incarnation: 3})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	first := <-received
	require.Equal(t, camphorhinge.KindService, first.Kind)
	require.Equal(t, s.Addr(), first.Address)

	post := func(body, key string) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+"/deposits", strings.NewReader(body))
		require.NoError(t, err)
		req.Close = true
		if key != "" {
			req.Header.Set(camphorhinge.HeaderIdempotencyKey, key)
		}
		return http.DefaultClient.Do(req)
	}
	resp, err := post("a", "k1")
	require.NoError(t, err)
	resp.Body.Close()
	_, err = post("corte", "k2")
	require.Error(t, err)
	_, err = post("corte", "")
	require.Error(t, err)
	require.Equal(t, map[string]int{"k1": 1, "k2": 1, Key("", []byte("corte")): 1}, s.Counters().Runs)

	s.Leave(true)
	for a := range received {
		if a.Leaving {
			break
		}
	}
	resp, err = post("b", "k3")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, string(camphorhinge.NotRun), resp.Header.Get(camphorhinge.HeaderRun))
	require.NotContains(t, s.Counters().Runs, "k3")
	cancel()
	require.NoError(t, g.Wait())
}
