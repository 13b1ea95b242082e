package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"example.org/camphorhinge"
)

// kvExport is the state of an exported attempt, which the importing engine fetches.
type kvExport struct {
	Attempt  camphorhinge.AttemptID `json:"attempt"`
	Request  Request                `json:"request"`
	Key      string                 `json:"key"`
	Hashes   []uint64               `json:"hashes"`
	Prompt   camphorhinge.Tokens    `json:"prompt"`
	Produced int                    `json:"produced"`
	Blocks   camphorhinge.Blocks    `json:"blocks"`
	Priority camphorhinge.Priority  `json:"priority"`
	// RemainingMs is the time to the deadline in milliseconds, or 0 without a deadline.
	RemainingMs int64 `json:"left"`
}

// ExportAnswer is the answer to POST /v1/kv/export.
type ExportAnswer struct {
	Handle string              `json:"handle"`
	Blocks camphorhinge.Blocks `json:"blocks"`
}

// ImportRequest is the body of POST /v1/kv/import, which the engine forwards to /v1/kv/fetch of the engine at From. It
// is also the body of POST /v1/kv/export, which uses Attempt only.
type ImportRequest struct {
	From    string                 `json:"from"`
	Handle  string                 `json:"handle"`
	Attempt camphorhinge.AttemptID `json:"attempt"`
}

var (
	errNoAttempt     = errors.New("no such attempt in decode")
	errAttemptExists = errors.New("attempt exists")
	errUnavailable   = errors.New("engine is restarting or changing")
)

// export stops a decoding attempt, makes its state available under the returned handle, and ends its stream without an
// end mark.
func (e *Engine) export(id camphorhinge.AttemptID) (ExportAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.seqs[id]
	if s == nil || s.phase != decoding {
		return ExportAnswer{}, &Error{Op: "export", Kind: KindRequest, Err: errNoAttempt}
	}
	now := time.Now()
	k := kvExport{
		Attempt: id, Request: s.req, Key: s.key, Hashes: s.hashes, Prompt: s.prompt, Produced: s.produced,
		Blocks: inBlocks(s.prompt + camphorhinge.Tokens(s.produced)), Priority: s.priority,
	}
	if !s.deadline.IsZero() {
		k.RemainingMs = max(1, s.deadline.Sub(now).Milliseconds())
	}
	s.end(exported, now)
	handle := fmt.Sprintf("%s-%d", id, s.produced)
	e.handles[handle] = k
	return ExportAnswer{Handle: handle, Blocks: k.Blocks}, nil
}

// importKV fetches an exported attempt and continues its decode in the batch.
func (e *Engine) importKV(ctx context.Context, r ImportRequest) (kvExport, error) {
	k, err := fetchExport(ctx, r)
	if err != nil {
		return k, err
	}
	if !sleep(ctx, time.Duration(k.Blocks)*e.cfg.KVBlockTime) {
		return k, &Error{Op: "import", Kind: KindNetwork, Err: ctx.Err()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.state.busy {
		return k, &Error{Op: "import", Kind: KindRequest, Err: errUnavailable}
	}
	if old := e.seqs[k.Attempt]; old != nil && old.phase <= done {
		return k, &Error{Op: "import", Kind: KindRequest, Err: errAttemptExists}
	}
	now := time.Now()
	s := &sequence{
		attempt: k.Attempt, req: k.Request, key: k.Key, hashes: k.Hashes, prompt: k.Prompt, priority: k.Priority,
		arrival: e.arrivals, phase: decoding, started: true, produced: k.Produced, idleSince: now, changed: make(chan struct{}),
	}
	e.arrivals++
	if k.RemainingMs > 0 {
		s.deadline = now.Add(time.Duration(k.RemainingMs) * time.Millisecond)
	}
	e.seqs[k.Attempt] = s
	e.cache.store(k.Hashes, now)
	e.counters.Imports++
	notify(e.batchWake)
	return k, nil
}

func fetchExport(ctx context.Context, r ImportRequest) (kvExport, error) {
	var k kvExport
	body, err := json.Marshal(r)
	if err != nil {
		return k, &Error{Op: "fetch", Kind: KindRequest, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.From+"/v1/kv/fetch", bytes.NewReader(body))
	if err != nil {
		return k, &Error{Op: "fetch", Kind: KindRequest, Err: err}
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return k, &Error{Op: "fetch", Kind: KindNetwork, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return k, &Error{Op: "fetch", Kind: KindRequest, Err: fmt.Errorf("%s answered %s", r.From, resp.Status)}
	}
	if err := json.NewDecoder(resp.Body).Decode(&k); err != nil {
		return k, &Error{Op: "fetch", Kind: KindNetwork, Err: err}
	}
	if k.Attempt != r.Attempt {
		return k, &Error{Op: "fetch", Kind: KindRequest, Err: errNoAttempt}
	}
	return k, nil
}
