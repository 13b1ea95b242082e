package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/standin/engine"
	"example.org/camphorhinge/internal/standin/service"
)

// outcomeKind is how a request ended from the caller's point of view.
type outcomeKind string

const (
	outcomeComplete outcomeKind = "complete"
	outcomeWrong    outcomeKind = "wrong"
	outcomeNotRun   outcomeKind = "not-run"
	outcomeUnknown  outcomeKind = "unknown"
	outcomeRun      outcomeKind = "run"
	outcomeCut      outcomeKind = "cut"
)

// outcome is the result of one request as its caller observed it.
type outcome struct {
	kind   outcomeKind
	detail string
	key    string
	resent int
	first  time.Duration
	total  time.Duration
	// notConnected is true when no connection could be opened, so that another node may be tried.
	notConnected bool
}

const (
	// maxConnectTries bounds the connection attempts for one request.
	maxConnectTries = 50
	// resendPause is the time between two connection attempts or two sends of a deposit.
	resendPause = 100 * time.Millisecond
)

func connectionFailure(err error) outcome {
	var op *net.OpError
	return outcome{kind: outcomeCut, detail: err.Error(), notConnected: errors.As(err, &op) && op.Op == "dial"}
}

// viaBalancer calls try on ready nodes until a connection opens; a direct request is tried once, on the target.
func (r *runner) viaBalancer(ctx context.Context, direct bool, try func(base string) outcome) outcome {
	if direct {
		return try(r.cfg.Direct)
	}
	var o outcome
	for range maxConnectTries {
		o = try(r.balancer.pick())
		if !o.notConnected {
			return o
		}
		select {
		case <-ctx.Done():
			return o
		case <-time.After(resendPause):
		}
	}
	o.kind = outcomeNotRun
	return o
}

func (r *runner) post(ctx context.Context, base, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if base == r.cfg.Direct {
		// Engines refuse a request without an attempt id.
		req.Header.Set(camphorhinge.HeaderAttempt, uuid.NewString())
	}
	if r.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.cfg.Key)
	}
	if key != "" {
		req.Header.Set(camphorhinge.HeaderIdempotencyKey, key)
	}
	// Without GetBody the client does not resend a body on its own.
	req.GetBody = nil
	return r.client.Do(req)
}

// classifyResponse classifies an error response by its run class header.
func classifyResponse(resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err != nil {
		return connectionFailure(err)
	}
	return classifyError(camphorhinge.RunClass(resp.Header.Get(camphorhinge.HeaderRun)), fmt.Sprintf("%d %s", resp.StatusCode, body))
}

// classifyError returns the outcome for a run class; an error without a known class is a wrong answer.
func classifyError(class camphorhinge.RunClass, detail string) outcome {
	switch class {
	case camphorhinge.NotRun:
		return outcome{kind: outcomeNotRun, detail: detail}
	case camphorhinge.Unknown:
		return outcome{kind: outcomeUnknown, detail: detail}
	case camphorhinge.Run:
		return outcome{kind: outcomeRun, detail: detail}
	}
	return outcome{kind: outcomeWrong, detail: "no class: " + detail}
}

// completion streams one completion and compares it with the answer that the stand-in engine gives to the prompt.
func (r *runner) completion(ctx context.Context, i int, direct bool) outcome {
	prompt := fmt.Sprintf("run %d request %d ", r.cfg.Seed, i) + strings.Repeat("sand board ", r.cfg.Words/2)
	body, err := json.Marshal(engine.Request{
		Model: camphorhinge.ModelName(r.cfg.Model), Prompt: prompt, MaxTokens: r.cfg.Output, Stream: true,
	})
	if err != nil {
		return outcome{kind: outcomeWrong, detail: err.Error()}
	}
	return r.viaBalancer(ctx, direct, func(base string) outcome {
		started := time.Now()
		resp, err := r.post(ctx, base, "/v1/completions", "", body)
		if err != nil {
			return connectionFailure(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return classifyResponse(resp)
		}
		return readStream(resp.Body, engine.Answer(prompt, r.cfg.Output), started)
	})
}

// streamEvent is one event of a completion stream.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string                `json:"message"`
		Run     camphorhinge.RunClass `json:"run"`
	} `json:"error"`
}

// readStream reads server-sent events up to the end and compares their text with want, also when the stream is
// interrupted.
func readStream(body io.Reader, want string, started time.Time) outcome {
	var text strings.Builder
	var o outcome
	in := bufio.NewScanner(io.LimitReader(body, maxAnswerBytes))
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data:")
		if !ok {
			continue
		}
		if o.kind == outcomeComplete {
			return outcome{kind: outcomeWrong, detail: "an event after the end mark"}
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			o.total = time.Since(started)
			if text.String() != want {
				return outcome{kind: outcomeWrong, detail: fmt.Sprintf("answer of %d bytes differs from the expected %d", text.Len(), len(want))}
			}
			o.kind = outcomeComplete
			continue
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return outcome{kind: outcomeWrong, detail: err.Error()}
		}
		if event.Error != nil {
			failure := classifyError(event.Error.Run, event.Error.Message)
			if failure.kind == outcomeNotRun && text.Len() > 0 {
				return outcome{kind: outcomeWrong, detail: "reported as not run after a part of the answer: " + event.Error.Message}
			}
			return interrupted(failure, text.String(), want)
		}
		if o.first == 0 {
			o.first = time.Since(started)
		}
		for _, c := range event.Choices {
			text.WriteString(c.Text)
		}
	}
	if o.kind == outcomeComplete {
		return o
	}
	if err := in.Err(); err != nil {
		return interrupted(connectionFailure(fmt.Errorf("after %d bytes: %w", text.Len(), err)), text.String(), want)
	}
	return interrupted(outcome{kind: outcomeCut, detail: "stream ended without its end mark"}, text.String(), want)
}

// interrupted returns o, the outcome of a stream without an end mark, or a wrong answer when text is no prefix of want.
func interrupted(o outcome, text, want string) outcome {
	if !strings.HasPrefix(want, text) {
		return outcome{kind: outcomeWrong, detail: fmt.Sprintf("%d bytes that are no prefix of the answer, then: %s", len(text), o.detail)}
	}
	return o
}

// get sends one idempotent request without a body.
func (r *runner) get(ctx context.Context, direct bool) outcome {
	return r.viaBalancer(ctx, direct, func(base string) outcome {
		started := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+r.cfg.Get, http.NoBody)
		if err != nil {
			return outcome{kind: outcomeWrong, detail: err.Error()}
		}
		if r.cfg.Key != "" {
			req.Header.Set("Authorization", "Bearer "+r.cfg.Key)
		}
		resp, err := r.client.Do(req)
		if err != nil {
			return connectionFailure(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return classifyResponse(resp)
		}
		a, o := readAnswer(resp.Body)
		if o.kind != outcomeComplete {
			return o
		}
		if a.Path != r.cfg.Get || a.Body != "" {
			return outcome{kind: outcomeWrong, detail: fmt.Sprintf("answer for path %s", a.Path)}
		}
		took := time.Since(started)
		return outcome{kind: outcomeComplete, first: took, total: took}
	})
}

// deposit sends one non-idempotent request and resends it with the same idempotency key until the outcome is final or
// Settle has passed.
func (r *runner) deposit(ctx context.Context, i int, direct bool) outcome {
	key := fmt.Sprintf("deposit-%d-%d", r.cfg.Seed, i)
	body := []byte(fmt.Sprintf(`{"board":%d,"amount":"12.50"}`, i))
	deadline := time.Now().Add(r.cfg.Settle)
	resent := 0
	var last outcome
	for {
		o := r.viaBalancer(ctx, direct, func(base string) outcome { return r.depositOnce(ctx, base, key, body) })
		if o.notConnected && resent > 0 {
			o = last // No node was reached, so the last outcome still holds.
		}
		last = o
		o.key, o.resent = key, resent
		settled := o.kind == outcomeComplete || o.kind == outcomeWrong || o.kind == outcomeRun
		if settled || ctx.Err() != nil || !time.Now().Before(deadline) {
			return o
		}
		resent++
		time.Sleep(resendPause)
	}
}

func (r *runner) depositOnce(ctx context.Context, base, key string, body []byte) outcome {
	started := time.Now()
	resp, err := r.post(ctx, base, r.cfg.Deposit, key, body)
	if err != nil {
		return connectionFailure(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return classifyResponse(resp)
	}
	a, o := readAnswer(resp.Body)
	if o.kind != outcomeComplete {
		return o
	}
	if a.Key != key || a.Body != string(body) || a.Run != 1 {
		return outcome{kind: outcomeWrong, detail: fmt.Sprintf("answer of key %s run %d", a.Key, a.Run)}
	}
	took := time.Since(started)
	return outcome{kind: outcomeComplete, first: took, total: took}
}

// compareCounters compares the outcomes of the deposits with the counters of the services.
func (r *runner) compareCounters(ctx context.Context) error {
	if len(r.cfg.Counters) == 0 {
		return nil
	}
	runs := map[string]int{}
	for _, url := range r.cfg.Counters {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/counters", http.NoBody)
		if err != nil {
			return err
		}
		resp, err := r.client.Do(req)
		if err != nil {
			return err
		}
		var c service.Counters
		err = json.NewDecoder(resp.Body).Decode(&c)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("counters of %s: %s", url, resp.Status)
		}
		if err != nil {
			return err
		}
		for k, n := range c.Runs {
			runs[k] += n
		}
	}
	for key, o := range r.deposits {
		switch n := runs[key]; {
		case n > 1:
			r.report.DoubleRuns++
			r.addExample(fmt.Sprintf("%s ran %d times", key, n))
		case n == 1 && o.kind == outcomeNotRun:
			r.report.FalseNotRun++
			r.addExample(key + " ran but was reported as not run: " + o.detail)
		case n == 0 && (o.kind == outcomeComplete || o.kind == outcomeRun):
			r.report.Lost++
			r.addExample(key + " was reported as run but did not run")
		}
	}
	return nil
}

// readAnswer reads one answer of a stand-in service; trailing data makes it a wrong answer.
func readAnswer(body io.Reader) (service.Answer, outcome) {
	var a service.Answer
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return a, connectionFailure(err)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, outcome{kind: outcomeWrong, detail: err.Error()}
	}
	return a, outcome{kind: outcomeComplete}
}
