package frontend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"
)

// fleet is a fixed view of targets: it picks the first that serves and is not excluded.
type fleet struct {
	mu      sync.Mutex
	targets []*camphorhinge.Target
}

func (f *fleet) Live(camphorhinge.ServiceName) []*camphorhinge.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.targets)
}

// drain marks a target as not serving.
func (f *fleet) drain(name camphorhinge.TargetName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, t := range f.targets {
		if t.Name == name {
			next := *t
			next.Serving = false
			f.targets[i] = &next
		}
	}
}

func (f *fleet) Pick(req camphorhinge.RouteRequest) (camphorhinge.RouteChoice, bool) {
	for _, t := range f.Live(req.Service) {
		if t.Serving && !slices.Contains(req.Exclude, t.Name) {
			return camphorhinge.RouteChoice{Target: t, Reason: "first"}, true
		}
	}
	return camphorhinge.RouteChoice{}, false
}

func (f *fleet) Sent(camphorhinge.RouteChoice, camphorhinge.RouteRequest) func(camphorhinge.AttemptResult) {
	return func(camphorhinge.AttemptResult) {}
}

// open admits everything and grants budget retries.
type open struct{ budget int }

func (o *open) Admit(camphorhinge.AdmitRequest) (func(), *camphorhinge.Refusal) {
	return func() {}, nil
}

func (o *open) Retry() bool { o.budget--; return o.budget >= 0 }

type quiet struct{}

func (quiet) Note(string, string, string, map[string]string) {}

// fixed is a configuration with one engine service and one plain service.
type fixed struct{ stale atomic.Bool }

func (c *fixed) Ready() bool    { return !c.stale.Load() }
func (c *fixed) MayServe() bool { return !c.stale.Load() }

func (c *fixed) Model(name string) (Model, bool) {
	return Model{Service: Service{Name: "asistente", Deadline: time.Minute}, Model: "m"}, name == "m"
}

func (c *fixed) Path(path string) (Service, bool) {
	return Service{
		Name: "pedidos", Deadline: time.Minute, Idempotent: []string{"GET", "PUT"},
	}, strings.HasPrefix(path, "/pedidos")
}

func (c *fixed) Workspace(digest string) (Workspace, bool) {
	sum := sha256.Sum256([]byte("key"))
	return Workspace{Name: "lima", Priority: 9}, digest == hex.EncodeToString(sum[:])
}

// TestHTTP guards the whole path over real sockets: a streamed and a whole answer, a plain call, and JSON errors with a
// class for requests that are not passed on.
func TestHTTP(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case strings.HasPrefix(r.URL.Path, "/pedidos"):
			w.Header().Set("X-Workspace", r.Header.Get("Camphorhinge-Workspace"))
			_, _ = fmt.Fprintf(w, "%s %d %q", r.Method, len(body), r.Header.Get("Authorization"))
		case strings.Contains(string(body), `"stream":true`):
			w.Header().Set("Content-Type", "text/event-stream")
			id := r.Header.Get(camphorhinge.HeaderAttempt)
			_, _ = fmt.Fprintf(w, "id: %s/0\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n", id)
			_, _ = fmt.Fprintf(w, "id: %s/1\ndata: {\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}]}\n\n", id)
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		default:
			_, _ = fmt.Fprint(w, `{"choices":[]}`)
		}
	}))
	defer target.Close()
	view := &fleet{targets: []*camphorhinge.Target{{
		Announcement: camphorhinge.Announcement{Name: "t1", Address: target.Listener.Addr().String()}, Serving: true,
	}}}
	cfg := &fixed{}
	tracer := noop.NewTracerProvider().Tracer("")
	x := exchange.New(exchange.Config{Metrics: metrics.NewSet(), Tracer: tracer})
	f := New(Config{
		Router: view, Targets: view, Admission: &open{}, Decisions: quiet{}, Configuration: cfg, Exchange: x,
		Metrics: metrics.NewSet(), Tracer: tracer,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := server.New(append(Options(), server.WithListener(ln))...)
	f.Register(h.Engine)
	var group errgroup.Group
	group.Go(h.Run)
	defer func() {
		http.DefaultClient.CloseIdleConnections()
		require.NoError(t, h.Shutdown(context.Background()))
		_ = group.Wait()
		require.NoError(t, f.Close())
		require.NoError(t, x.Close())
	}()
	base := "http://" + ln.Addr().String()
	for _, tc := range []struct {
		name, method, path, body, key string
		stale                         bool
		status                        int
		run, answer                   string
	}{
		{"stream", "POST", "/v1/completions", `{"model":"m","prompt":"x","stream":true}`, "key", false, 200, "run", "data: [DONE]\n\n"},
		{"whole", "POST", "/v1/chat/completions", `{"model":"m","messages":[{}]}`, "key", false, 200, "run", `{"choices":[]}`},
		{"plain", "POST", "/pedidos/1?a=b", "hola", "key", false, 200, "run", `POST 4 ""`},
		{"large plain", "POST", "/pedidos/1", strings.Repeat("x", 3<<20), "key", false, 200, "run", `POST 3145728 ""`},
		{"too large plain", "POST", "/pedidos/1", strings.Repeat("x", 17<<20), "key", false, 413, "not-run", "too_large"},
		{"too large prompt", "POST", "/v1/completions", strings.Repeat("x", 9<<20), "key", false, 413, "not-run", "too_large"},
		{"no key", "GET", "/pedidos", "", "", false, 401, "not-run", "unauthorized"},
		{"bad json", "POST", "/v1/completions", `{"model":`, "key", false, 400, "not-run", "invalid_request"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, "key", false, 400, "not-run", "messages is missing"},
		{"unknown model", "POST", "/v1/completions", `{"model":"n","prompt":"x"}`, "key", false, 404, "not-run", "unknown_service"},
		{"unknown path", "GET", "/x", "", "key", false, 404, "not-run", "unknown_service"},
		{"method", "GET", "/v1/completions", "", "key", false, 405, "not-run", "invalid_request"},
		{"stale", "GET", "/pedidos", "", "key", true, 503, "not-run", "stale_configuration"},
		{"ready", "GET", "/readyz", "", "", false, 200, "", "ready\n"},
		{"not ready", "GET", "/readyz", "", "", true, 503, "", "not ready\n"},
		{"healthy", "GET", "/healthz", "", "", true, 200, "", "ok\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg.stale.Store(tc.stale)
			req, err := http.NewRequest(tc.method, base+tc.path, strings.NewReader(tc.body))
			require.NoError(t, err)
			if tc.key != "" {
				req.Header.Set("Authorization", "Bearer "+tc.key)
			}
			res, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Equal(t, tc.status, res.StatusCode, "%s", body)
			require.Equal(t, tc.run, res.Header.Get(camphorhinge.HeaderRun))
			require.Contains(t, string(body), tc.answer)
			if tc.run != "" {
				require.NotEmpty(t, res.Header.Get(camphorhinge.HeaderRequest))
			}
		})
	}
}
