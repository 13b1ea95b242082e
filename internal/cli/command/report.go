package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge/internal/node/status"
	"example.org/camphorhinge/platform"
)

const (
	// statusTimeout bounds a request for the status of a node.
	statusTimeout = 5 * time.Second
	// maxStatusBytes bounds the size of a status; the limit suffices for 10,000 targets.
	maxStatusBytes = 8 << 20
	// logBufferBytes is the size of the buffer for reading a log.
	logBufferBytes = 1 << 20
	// contextWindow is the time before and after a request in which decisions on its targets and core nodes are shown.
	contextWindow = 3 * time.Second
)

// validate checks settings files of the platform and routing configurations.
func (a *app) validate(cmd *kingpin.CmdClause) func(context.Context) error {
	settings := cmd.Flag("settings", "Settings file of the platform; may be repeated.").PlaceHolder("FILE").Strings()
	configurations := cmd.Flag("configuration", "Routing configuration as the operator sends it; may be repeated.").PlaceHolder("FILE").Strings()
	return func(context.Context) error {
		if len(*settings)+len(*configurations) == 0 {
			return &Error{Op: "validate", Kind: KindUsage, Err: errors.New("expected --settings or --configuration")}
		}
		var errs []error
		for _, path := range *settings {
			s, err := platform.Load(path)
			if err == nil {
				err = s.Check()
			}
			errs = append(errs, a.reportValidation(path, "settings", err))
		}
		for _, path := range *configurations {
			data, err := os.ReadFile(path)
			kind := "routing configuration"
			if err == nil {
				c, decodeErr := platform.DecodeManifest(data)
				if err = decodeErr; err == nil {
					kind = fmt.Sprintf("routing configuration, version %d, %d routes, %d services", c.Version, len(c.Routes), len(c.Services))
				}
			}
			errs = append(errs, a.reportValidation(path, kind, err))
		}
		return errors.Join(errs...)
	}
}

func (a *app) reportValidation(path, kind string, err error) error {
	if err != nil {
		return &Error{Op: "validate", Kind: KindRefused, Err: fmt.Errorf("%s: %w", path, err)}
	}
	fmt.Fprintf(a.out, "%s: %s: valid\n", path, kind)
	return nil
}

// fetchStatus requests the status of a node of the platform at address, the address of its metrics.
func fetchStatus(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+status.Path, http.NoBody)
	if err != nil {
		return nil, &Error{Op: "status", Kind: KindUsage, Err: fmt.Errorf("--metrics: expected IP:port, got %q: %w", address, err)}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &Error{Op: "status", Kind: KindUnavailable, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d", address, resp.StatusCode)
	}
	if err != nil {
		return nil, &Error{Op: "status", Kind: KindUnavailable, Err: err}
	}
	return data, nil
}

// logEntry is a decoded log line.
type logEntry struct {
	at     time.Time
	fields map[string]any
}

// request prints the log lines on a request, and on its targets and on core nodes around that time.
func (a *app) request(cmd *kingpin.CmdClause) func(context.Context) error {
	id := cmd.Arg("id", "ID of the request's attempt.").Required().String()
	files := cmd.Arg("log", "Log files of nodes with JSON lines; standard input if none is given.").Strings()
	return func(context.Context) error {
		var all []logEntry
		if len(*files) == 0 {
			all = readLog(os.Stdin)
		}
		for _, path := range *files {
			f, err := os.Open(path)
			if err != nil {
				return &Error{Op: "request", Kind: KindUsage, Err: err}
			}
			all = append(all, readLog(f)...)
			f.Close()
		}
		shown := selectEntries(all, *id)
		if len(shown) == 0 {
			return &Error{Op: "request", Kind: KindRun, Err: fmt.Errorf("no line about request %s", *id)}
		}
		for _, e := range shown {
			showEntry(a.out, e)
		}
		return nil
	}
}

// readLog returns the JSON lines of a log. It ignores text before the first brace of a line, and lines that are not
// JSON or have no time.
func readLog(r io.Reader) []logEntry {
	var out []logEntry
	lines := bufio.NewReaderSize(r, logBufferBytes)
	for {
		line, err := lines.ReadString('\n')
		if i := strings.IndexByte(line, '{'); i >= 0 {
			e := logEntry{fields: map[string]any{}}
			at, ok := "", false
			if json.Unmarshal([]byte(line[i:]), &e.fields) == nil {
				at, ok = e.fields["time"].(string)
			}
			if t, parseErr := time.Parse(time.RFC3339Nano, at); ok && parseErr == nil {
				e.at = t
				out = append(out, e)
			}
		}
		if err != nil {
			return out
		}
	}
}

// selectEntries returns the lines on a request, those on its targets and on core nodes from contextWindow before its start to
// contextWindow after its end, and those on targets of its service that its node did not choose then, in order of time.
func selectEntries(all []logEntry, id string) []logEntry {
	var from, to time.Time
	targets := map[any]bool{}
	var request logEntry
	for _, e := range all {
		if e.fields["request"] != id {
			continue
		}
		took, _ := e.fields["took_ms"].(float64)
		if start := e.at.Add(-time.Duration(took) * time.Millisecond); from.IsZero() || start.Before(from) {
			from = start
		}
		if e.at.After(to) {
			to, request = e.at, e
		}
		for _, name := range []string{"target", "prefill", "fetch"} {
			if t := e.fields[name]; t != nil {
				targets[t] = true
			}
		}
	}
	var out []logEntry
	for _, e := range all {
		inWindow := !from.IsZero() && e.at.After(from.Add(-contextWindow)) && e.at.Before(to.Add(contextWindow))
		_, onRequest := e.fields["request"]
		if e.fields["request"] == id || inWindow && !onRequest && (targets[e.fields["target"]] || e.fields["target"] == nil) ||
			tellsOfTargetNotChosen(e, request, from, to) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(x, y logEntry) int { return x.at.Compare(y.at) })
	return out
}

// tellsOfTargetNotChosen reports whether a line says that the node of a request did not choose a target of its service at some
// time between from and to.
func tellsOfTargetNotChosen(e, request logEntry, from, to time.Time) bool {
	closed, ok := e.fields["closed_ms"].(float64)
	if !ok || e.fields["node"] != request.fields["node"] || e.fields["service"] != request.fields["service"] {
		return false
	}
	return e.at.Before(to) && e.at.Add(time.Duration(closed)*time.Millisecond).After(from)
}

// showEntry prints a log line with its fields sorted by name.
func showEntry(w io.Writer, e logEntry) {
	fmt.Fprintf(w, "%s %v %v:", e.at.Format("15:04:05.000"), dashNil(e.fields["node"]), e.fields["msg"])
	var names []string
	for name := range e.fields {
		if !slices.Contains([]string{"time", "level", "msg", "node"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, " %s=%v", name, e.fields[name])
	}
	fmt.Fprintln(w)
}

func dashNil(v any) any {
	if v == nil {
		return "-"
	}
	return v
}
