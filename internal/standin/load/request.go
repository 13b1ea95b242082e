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

// endKind is how a request ended for its caller.
type endKind string

const (
	endComplete endKind = "complete"
	endWrong    endKind = "wrong"
	endNotRun   endKind = "not-run"
	endUnknown  endKind = "unknown"
	endRun      endKind = "run"
	endCut      endKind = "cut"
)

// ending is what a caller saw of one request.
type ending struct {
	kind   endKind
	detail string
	key    string
	resent int
	first  time.Duration
	whole  time.Duration
	// refused is true when no connection could be opened, so that the balancer would try another node.
	refused bool
}

const (
	// connectTries bounds the nodes that the balancer tries for one request.
	connectTries = 50
	// resendPause is the time between two tries of a caller.
	resendPause = 100 * time.Millisecond
)

func failed(err error) ending {
	var op *net.OpError
	return ending{kind: endCut, detail: err.Error(), refused: errors.As(err, &op) && op.Op == "dial"}
}

// balanced calls try on ready nodes until a connection opens, or once on the target.
func (r *runner) balanced(ctx context.Context, direct bool, try func(base string) ending) ending {
	if direct {
		return try(r.cfg.Direct)
	}
	var e ending
	for range connectTries {
		e = try(r.balancer.pick())
		if !e.refused {
			return e
		}
		select {
		case <-ctx.Done():
			return e
		case <-time.After(resendPause):
		}
	}
	e.kind = endNotRun
	return e
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
	// A request body that was sent once is not sent again by the client itself.
	req.GetBody = nil
	return r.client.Do(req)
}

// refusal classifies an error answer by its header.
func refusal(resp *http.Response) ending {
	body, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err != nil {
		return failed(err)
	}
	return classified(camphorhinge.RunClass(resp.Header.Get(camphorhinge.HeaderRun)), fmt.Sprintf("%d %s", resp.StatusCode, body))
}

// classified takes an error without a class for a wrong answer.
func classified(class camphorhinge.RunClass, detail string) ending {
	switch class {
	case camphorhinge.NotRun:
		return ending{kind: endNotRun, detail: detail}
	case camphorhinge.Unknown:
		return ending{kind: endUnknown, detail: detail}
	case camphorhinge.Run:
		return ending{kind: endRun, detail: detail}
	}
	return ending{kind: endWrong, detail: "no class: " + detail}
}

// complete streams one completion and compares it with the stand-in's answer.
func (r *runner) complete(ctx context.Context, i int, direct bool) ending {
	prompt := fmt.Sprintf("run %d request %d ", r.cfg.Seed, i) + strings.Repeat("sand board ", r.cfg.Words/2)
	body, err := json.Marshal(engine.Request{
		Model: camphorhinge.ModelName(r.cfg.Model), Prompt: prompt, MaxTokens: r.cfg.Output, Stream: true,
	})
	if err != nil {
		return ending{kind: endWrong, detail: err.Error()}
	}
	return r.balanced(ctx, direct, func(base string) ending {
		started := time.Now()
		resp, err := r.post(ctx, base, "/v1/completions", "", body)
		if err != nil {
			return failed(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return refusal(resp)
		}
		return readStream(resp.Body, engine.Answer(prompt, r.cfg.Output), started)
	})
}

type piece struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string                `json:"message"`
		Run     camphorhinge.RunClass `json:"run"`
	} `json:"error"`
}

// readStream reads server-sent events up to the end and compares their text with want, also when the stream breaks off.
func readStream(body io.Reader, want string, started time.Time) ending {
	var text strings.Builder
	var e ending
	in := bufio.NewScanner(io.LimitReader(body, answerLimit))
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data:")
		if !ok {
			continue
		}
		if e.kind == endComplete {
			return ending{kind: endWrong, detail: "an event after the end mark"}
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			e.whole = time.Since(started)
			if text.String() != want {
				return ending{kind: endWrong, detail: fmt.Sprintf("answer of %d bytes differs from the expected %d", text.Len(), len(want))}
			}
			e.kind = endComplete
			continue
		}
		var p piece
		if err := json.Unmarshal([]byte(data), &p); err != nil {
			return ending{kind: endWrong, detail: err.Error()}
		}
		if p.Error != nil {
			failure := classified(p.Error.Run, p.Error.Message)
			if failure.kind == endNotRun && text.Len() > 0 {
				return ending{kind: endWrong, detail: "told as not run after a part of the answer: " + p.Error.Message}
			}
			return broken(failure, text.String(), want)
		}
		if e.first == 0 {
			e.first = time.Since(started)
		}
		for _, c := range p.Choices {
			text.WriteString(c.Text)
		}
	}
	if e.kind == endComplete {
		return e
	}
	if err := in.Err(); err != nil {
		return broken(failed(fmt.Errorf("after %d bytes: %w", text.Len(), err)), text.String(), want)
	}
	return broken(ending{kind: endCut, detail: "stream ended without its end mark"}, text.String(), want)
}

// broken returns how a stream without an end mark ended, unless its text is not the beginning of the answer.
func broken(e ending, text, want string) ending {
	if !strings.HasPrefix(want, text) {
		return ending{kind: endWrong, detail: fmt.Sprintf("%d bytes that don't begin the answer, then: %s", len(text), e.detail)}
	}
	return e
}

// get sends one idempotent request without a body.
func (r *runner) get(ctx context.Context, direct bool) ending {
	return r.balanced(ctx, direct, func(base string) ending {
		started := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+r.cfg.Get, http.NoBody)
		if err != nil {
			return ending{kind: endWrong, detail: err.Error()}
		}
		if r.cfg.Key != "" {
			req.Header.Set("Authorization", "Bearer "+r.cfg.Key)
		}
		resp, err := r.client.Do(req)
		if err != nil {
			return failed(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return refusal(resp)
		}
		a, e := readAnswer(resp.Body)
		if e.kind != endComplete {
			return e
		}
		if a.Path != r.cfg.Get || a.Body != "" {
			return ending{kind: endWrong, detail: fmt.Sprintf("answer for path %s", a.Path)}
		}
		took := time.Since(started)
		return ending{kind: endComplete, first: took, whole: took}
	})
}

// deposit sends one non-idempotent request and resends it under its key until the outcome is known.
func (r *runner) deposit(ctx context.Context, i int, direct bool) ending {
	key := fmt.Sprintf("deposit-%d-%d", r.cfg.Seed, i)
	body := []byte(fmt.Sprintf(`{"board":%d,"amount":"12.50"}`, i))
	deadline := time.Now().Add(r.cfg.Settle)
	resent := 0
	var told ending
	for {
		e := r.balanced(ctx, direct, func(base string) ending { return r.depositOnce(ctx, base, key, body) })
		if e.refused && resent > 0 {
			e = told // No node said anything new.
		}
		told = e
		e.key, e.resent = key, resent
		settled := e.kind == endComplete || e.kind == endWrong || e.kind == endRun
		if settled || ctx.Err() != nil || !time.Now().Before(deadline) {
			return e
		}
		resent++
		time.Sleep(resendPause)
	}
}

func (r *runner) depositOnce(ctx context.Context, base, key string, body []byte) ending {
	started := time.Now()
	resp, err := r.post(ctx, base, r.cfg.Deposit, key, body)
	if err != nil {
		return failed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	a, e := readAnswer(resp.Body)
	if e.kind != endComplete {
		return e
	}
	if a.Key != key || a.Body != string(body) || a.Run != 1 {
		return ending{kind: endWrong, detail: fmt.Sprintf("answer of key %s run %d", a.Key, a.Run)}
	}
	took := time.Since(started)
	return ending{kind: endComplete, first: took, whole: took}
}

// compare checks what callers were told against what the services counted.
func (r *runner) compare(ctx context.Context) error {
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
	for key, e := range r.deposits {
		switch n := runs[key]; {
		case n > 1:
			r.report.DoubleRuns++
			r.example(fmt.Sprintf("%s ran %d times", key, n))
		case n == 1 && e.kind == endNotRun:
			r.report.FalseNotRun++
			r.example(key + " ran and was told as not run: " + e.detail)
		case n == 0 && (e.kind == endComplete || e.kind == endRun):
			r.report.Lost++
			r.example(key + " was told as run and did not run")
		}
	}
	return nil
}

// readAnswer reads one answer of a stand-in service up to its end; anything behind it makes it wrong.
func readAnswer(body io.Reader) (service.Answer, ending) {
	var a service.Answer
	data, err := io.ReadAll(io.LimitReader(body, answerLimit))
	if err != nil {
		return a, failed(err)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, ending{kind: endWrong, detail: err.Error()}
	}
	return a, ending{kind: endComplete}
}
