package command

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/cli/client"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/server"
	"example.org/camphorhinge/internal/node/setting"
	"example.org/camphorhinge/internal/standin/engine"
)

const (
	// demoKey is the API key of the demo's workspace.
	demoKey = "demo-key"
	// demoPrompt is the prompt of the request that the demo sends.
	demoPrompt = "Which wax suits a 62 kg rider on a 150 cm sand board?"
	// demoTokens is the number of output tokens that the demo requests.
	demoTokens = 24
	// demoTimeout bounds the start of the demo's node and its first request.
	demoTimeout = 30 * time.Second
	// demoPollInterval is the time between two attempts to send the request until the demo's node is ready.
	demoPollInterval = 50 * time.Millisecond
)

// demoRecords are the records of the demo; %s stands for the digest of demoKey.
const demoRecords = `schema: 1
kind: model
name: tabla-3b
version: 1
spec: {weights: tabla-3b/2026-08, context: 32768}
---
schema: 2
kind: service
name: asesor-lm
version: 1
spec: {type: model, models: [tabla-3b], deadline: 30000}
---
schema: 1
kind: workspace
name: demo
version: 1
spec: {key: %s}
`

func (a *app) demo(cmd *kingpin.CmdClause) func(context.Context) error {
	keep := cmd.Flag("keep", "Keep running, to try requests by hand.").Bool()
	level := cmd.Flag("log-level", "Minimum level of log lines.").Default("warn").Enum("debug", "info", "warn", "error")
	return func(ctx context.Context) error {
		dir, err := os.MkdirTemp("", "camphorhinge-demo-")
		if err != nil {
			return &Error{Op: "demo", Kind: KindRun, Err: err}
		}
		defer os.RemoveAll(dir) //nolint:errcheck // A leftover folder in the temporary directory does no harm.
		d := &demo{app: a, dir: dir, keep: *keep, level: *level}
		return d.run(ctx)
	}
}

// demo is one run of the demo command.
type demo struct {
	app   *app
	dir   string
	keep  bool
	level string
	spans spanBuffer
}

func (d *demo) run(ctx context.Context) error {
	token := filepath.Join(d.dir, "token")
	if err := os.WriteFile(token, []byte("operator-token-of-the-demo"), 0o600); err != nil {
		return err
	}
	cfg := setting.Serve{
		Node: "demo", Zone: "caribe-a", Data: filepath.Join(d.dir, "data"), Bootstrap: true, PeerPlain: true, OperatorToken: token,
		CallerListen: "127.0.0.1:0", TargetListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		StopLimit: time.Minute, StaleLimit: config.StaleLimit, ClaimRetention: defaultClaimRetention,
		WeightLoads: defaultWeightLoads, WeightRate: defaultWeightRate,
	}
	s, err := server.New(ctx, cfg, logger(d.app.errs, d.level, "text"), &d.spans)
	if err != nil {
		return startError("demo", err)
	}
	addresses := s.Addresses()
	e, err := engine.New(engine.Config{
		Name: "engine-1", Service: "asesor-lm", Zone: "caribe-a", Models: []camphorhinge.ModelName{"tabla-3b"},
		Announce: []string{"http://" + addresses.Target}, TokenTime: 20 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	// stopNode starts a planned stop of the node; the engine serves until the node has stopped.
	nodeCtx, stopNode := context.WithCancel(ctx)
	defer stopNode()
	engineCtx, stopEngine := context.WithCancel(context.WithoutCancel(ctx))
	defer stopEngine()
	var node, standin errgroup.Group
	standin.Go(func() error { return e.Run(engineCtx) })
	node.Go(func() error { return s.Run(nodeCtx) })

	err = d.requestUntilServed(ctx, addresses, token)
	if err == nil && d.keep {
		d.printUsage(addresses)
		<-ctx.Done()
	}
	stopNode()
	err = errors.Join(err, node.Wait())
	stopEngine()
	err = errors.Join(err, standin.Wait())
	if err == nil {
		d.printSpans()
	}
	return err
}

func (d *demo) requestUntilServed(ctx context.Context, addresses server.Addresses, token string) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	c, err := client.New(client.Config{Addresses: []string{addresses.Operator}, TokenFile: token, Timeout: demoTimeout})
	if err != nil {
		return err
	}
	digest := sha256.Sum256([]byte(demoKey))
	records := fmt.Sprintf(demoRecords, hex.EncodeToString(digest[:]))
	if _, err := c.Apply(ctx, []byte(records), false); err != nil {
		return err
	}
	for {
		answer, err := d.complete(ctx, addresses.Caller)
		if err == nil {
			fmt.Fprintf(d.app.out, "\nprompt  %s\nanswer  %s\n", demoPrompt, answer)
			if want := engine.Answer(demoPrompt, demoTokens); answer != want {
				return &Error{Op: "demo", Kind: KindRun, Err: errors.New("the answer is not the engine's")}
			}
			return nil
		}
		// The node refuses requests until it has received its configuration and the announcement of the engine.
		select {
		case <-ctx.Done():
			return &Error{Op: "demo", Kind: KindRun, Err: err}
		case <-time.After(demoPollInterval):
		}
	}
}

// complete streams one completion and returns its text.
func (d *demo) complete(ctx context.Context, caller string) (string, error) {
	body, err := json.Marshal(engine.Request{Model: "tabla-3b", Prompt: demoPrompt, MaxTokens: demoTokens, Stream: true})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+caller+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, rerr := io.ReadAll(io.LimitReader(resp.Body, 1<<12))
		return "", errors.Join(fmt.Errorf("%s: %s", resp.Status, text), rerr)
	}
	return streamText(resp.Body)
}

// streamText returns the text of a streamed completion. A stream without the end marker [DONE] is an error.
func streamText(r io.Reader) (string, error) {
	var text strings.Builder
	in := bufio.NewScanner(r)
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", err
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Text)
		}
	}
	return "", errors.Join(errors.New("the stream ended without [DONE]"), in.Err())
}

func (d *demo) printUsage(a server.Addresses) {
	fmt.Fprintf(d.app.out, `
The node runs until it is interrupted. Try:

  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"tabla-3b","prompt":"hello","max_tokens":20,"stream":true}'
`, a.Caller, demoKey)
}

// printSpans prints the spans of the last traced request.
func (d *demo) printSpans() {
	fmt.Fprintln(d.app.out, "\ntrace")
	for _, s := range d.spans.lastTrace() {
		fmt.Fprintf(d.app.out, "  %-28s %8v  span %s parent %s\n",
			s.Name, s.EndTime.Sub(s.StartTime).Round(10*time.Microsecond), s.SpanContext.SpanID, s.Parent.SpanID)
	}
}

// span holds the fields of an exported span that the demo shows.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
}

// spanBuffer collects spans as JSON lines.
type spanBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends exported spans.
func (b *spanBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lastTrace returns the spans of the trace that ended last, in order of their start times.
func (b *spanBuffer) lastTrace() []span {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []span
	dec := json.NewDecoder(&b.buf)
	for {
		var s span
		if err := dec.Decode(&s); err != nil {
			break
		}
		all = append(all, s)
	}
	var last []span
	for _, s := range all {
		if s.SpanContext.TraceID == all[len(all)-1].SpanContext.TraceID {
			last = append(last, s)
		}
	}
	slices.SortFunc(last, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	return last
}
