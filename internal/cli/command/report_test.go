package command

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge/internal/node/status"
)

// TestValidate guards against files that pass although nodes would refuse them, and valid files that are refused.
func TestValidate(t *testing.T) {
	const good = `{"version":7,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/a/","type":"idempotent",` +
		`"timeout_ms":4000,"target_latency_ms":100,"priority":1,"service":"s","max_attempts":2}],` +
		`"services":[{"name":"s","health_path":"/h","max_connections":10,"protocol":"h1"}],"limits":{}}`
	const settings = "node_name = \"e\"\nrole = \"entry\"\nmachine_class = \"edge\"\nip = \"10.1.0.3\"\nzone = \"z\"\n" +
		"internal_ports = [7380, 7395]\nseeds = [\"10.1.0.9:8144\"]\n[listen]\nfrontend = \"10.1.0.3:8149\"\nreadiness = \"10.1.0.3:8141\"\n" +
		"[limits]\nmemory_mb = 284\n[bounds]\ngrace_s = 8\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_allowance = 52\n"
	dir := t.TempDir()
	for name, text := range map[string]string{
		"good.json": good, "zero.json": strings.Replace(good, "4000", "0", 1), "unknown.json": strings.Replace(good, `"service":"s"`, `"service":"x"`, 1),
		"good.toml": settings, "bad.toml": strings.Replace(settings, "10.1.0.3:8149", "nowhere", 1),
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	for _, tc := range []struct {
		name, line string
		code       int
		out, errs  string
	}{
		{"configuration", "validate --configuration {dir}/good.json", 0, "version 7, 1 routes, 1 services: valid", ""},
		{"time-out of 0", "validate --configuration {dir}/zero.json", ExitRefused, "", "zero.json"},
		{"unknown service", "validate --configuration {dir}/unknown.json", ExitRefused, "", "unknown.json"},
		{"all files are named", "validate --configuration {dir}/good.json --configuration {dir}/zero.json", ExitRefused, "good.json", "zero.json"},
		{"settings", "validate --settings {dir}/good.toml", 0, "good.toml: settings: valid", ""},
		{"settings with a wrong address", "validate --settings {dir}/bad.toml", ExitRefused, "", "bad.toml"},
		{"no such file", "validate --settings {dir}/none.toml", ExitRefused, "", "none.toml"},
		{"no file given", "validate", ExitUsage, "", "expected --settings or --configuration"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := Run(context.Background(), strings.Fields(strings.ReplaceAll(tc.line, "{dir}", dir)), &out, &errs)
			require.Equal(t, tc.code, code, "%s%s", out.String(), errs.String())
			require.Contains(t, out.String(), tc.out)
			require.Contains(t, errs.String(), tc.errs)
		})
	}
}

// TestRequest guards the search for the cause of a failed request by its id: the output has the line on the request,
// and those on its targets and on core nodes around that time, but not those on other requests, targets and times.
func TestRequest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, []byte(strings.Join([]string{
		`{"time":"2026-10-01T10:00:05.000Z","level":"WARN","msg":"request ended","node":"e1","request":"r1","outcome":"target","target":"i-1","prefill":"i-2","took_ms":900}`,
		`{"time":"2026-10-01T10:00:05.000Z","level":"INFO","msg":"request ended","node":"e1","request":"r2","outcome":"served","target":"i-1","took_ms":9}`,
		`   4.5 core-1 {"time":"2026-10-01T10:00:04.500Z","level":"INFO","msg":"target leaves","node":"c1","target":"i-2"}`,
		`{"time":"2026-10-01T10:00:04.500Z","level":"INFO","msg":"target leaves","node":"c1","target":"i-3"}`,
		`{"time":"2026-10-01T10:00:04.000Z","level":"WARN","msg":"core node does not place requests","node":"e1","core":"10.0.0.1:7380"}`,
		`{"time":"2026-10-01T09:59:00.000Z","level":"INFO","msg":"target leaves","node":"c1","target":"i-1"}`,
		`not JSON {`,
	}, "\n")), 0o600))
	var out, errs bytes.Buffer
	require.Zero(t, Run(context.Background(), []string{"request", "r1", path}, &out, &errs), errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	require.Equal(t, "10:00:04.000 e1 core node does not place requests: core=10.0.0.1:7380", lines[0])
	require.Equal(t, "10:00:04.500 c1 target leaves: target=i-2", lines[1])
	require.Contains(t, lines[2], "request ended: outcome=target prefill=i-2 request=r1 target=i-1 took_ms=900")

	require.Equal(t, ExitFailure, Run(context.Background(), []string{"request", "r9", path}, &out, &errs))
	require.Equal(t, ExitUsage, Run(context.Background(), []string{"request", "r1", path + "x"}, &out, &errs))
}

// TestRequestShowsTargetsNotChosen guards against a request whose report does not tell which targets of its service its node
// passed over, since when and why.
func TestRequestShowsTargetsNotChosen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	line := func(second, node, service, target string, closed int) string {
		return fmt.Sprintf(`{"time":"2026-10-01T10:00:%s.000Z","msg":"target wants no requests","node":%q,"service":%q,"target":%q,"leaving":false,"closed_ms":%d}`,
			second, node, service, target, closed)
	}
	require.NoError(t, os.WriteFile(path, []byte(strings.Join([]string{
		`{"time":"2026-10-01T10:00:40.000Z","level":"WARN","msg":"request ended","node":"e1","service":"s","request":"r1","outcome":"served","target":"i-1","took_ms":900}`,
		line("20", "e1", "s", "i-2", 60_000),
		line("20", "e1", "s", "i-3", 10_000),
		line("20", "e2", "s", "i-4", 60_000),
		line("20", "e1", "other", "i-5", 60_000),
		line("50", "e1", "s", "i-6", 60_000),
	}, "\n")), 0o600))
	var out, errs bytes.Buffer
	require.Zero(t, Run(context.Background(), []string{"request", "r1", path}, &out, &errs), errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Equal(t, "10:00:20.000 e1 target wants no requests: closed_ms=60000 leaving=false service=s target=i-2", lines[0])
}

// TestStatusOfPlatformNode guards against a status of a platform node that requires a token, or that hides that the
// node is unreachable.
func TestStatusOfPlatformNode(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != status.Path {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(`{"node":"c1","zone":"z","configuration":"version 7","leader":"c1","repaired":true,"nodes":[],"targets":[{"name":"i-1","serving":true}]}`))
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	var out, errs bytes.Buffer
	require.Zero(t, Run(context.Background(), []string{"status", "--metrics", address, "--targets", "1"}, &out, &errs), errs.String())
	require.Contains(t, out.String(), "version 7")
	require.Contains(t, out.String(), "i-1")
	require.Equal(t, ExitFailure, Run(context.Background(), []string{"status", "--metrics", address, "--targets", "2"}, &out, &errs))
	server.Close()
	require.Equal(t, ExitUnavailable, Run(context.Background(), []string{"status", "--metrics", address}, &out, &errs))
}
