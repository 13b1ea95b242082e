package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/exchange"
)

// promptCost is the memory that a byte of a model request's body takes while the request is parsed: the prompt is copied from the body, and
// decoded to text.
const promptCost = 2

// serveModel serves a model request.
func (f *Frontend) serveModel(ctx context.Context, in *inbound, out sink) *Error {
	body, err := in.readBody(maxModelBody)
	if err != nil {
		return err
	}
	parsing := f.cfg.Bodies.Lease(in.connection)
	defer parsing.Free()
	if gerr := parsing.Grow(promptCost * int64(len(body))); gerr != nil {
		return memoryError(gerr)
	}
	p, err := parsePrompt(in.path, body)
	if err != nil {
		return err
	}
	m, ok := f.cfg.Configuration.Model(p.Model)
	if !ok {
		return newRefusal(KindUnknownService, http.StatusNotFound, "no service serves the model %q", p.Model)
	}
	if p.Adapter != "" {
		m.Adapter = camphorhinge.AdapterName(p.Adapter)
	}
	left, err := in.applyLimits(m.Service)
	if err != nil {
		return err
	}
	ctx, cancel := in.withDeadline(ctx, left, true)
	defer cancel()
	text := p.text()
	j := &job{
		f: f, in: in, out: out, fingerprint: in.fingerprint(body), anyCaller: in.anyCallerFingerprint(body),
		route: camphorhinge.RouteRequest{
			Service: m.Service.Name, Model: m.Model, Adapter: m.Adapter, Priority: in.priority,
			Prompt: camphorhinge.Tokens(max(1, (len(text)+bytesPerToken-1)/bytesPerToken)), Output: p.maxOutput(),
		},
		header: http.Header{
			"Content-Type":             {"application/json"},
			"Camphorhinge-Workspace":   {string(in.workspace.Name)},
			camphorhinge.HeaderRequest: {string(in.id)},
		},
	}
	if f.cfg.Prefixes != nil {
		// Engines hash the names in the body, so an adapter that is given as the model is not resolved here.
		j.route.Prefixes = f.cfg.Prefixes(camphorhinge.ModelName(p.Model), camphorhinge.AdapterName(p.Adapter), text)
	}
	stream, deterministic := p.Stream, p.deterministic()
	parsing.Free() // From here on, neither p nor text is used.
	choice, release, err := j.admit(ctx)
	if err != nil {
		return err
	}
	defer release()
	if stream {
		r := &relay{job: j, body: body, deterministic: deterministic, lastEventAt: in.began}
		return r.run(ctx, choice)
	}
	return j.serveBuffered(ctx, choice, body)
}

// call describes an attempt of a model request.
func (j *job) call(l *leg, body []byte, resume int) exchange.Call {
	return exchange.Call{
		Target: l.choice.Target, Attempt: l.attempt, Method: j.in.method, Path: j.in.target, Header: j.header,
		Body: bytes.NewReader(body), Length: int64(len(body)), Priority: j.in.priority, Resume: resume,
		// After one connection failed or stalled, idle ones may be dead as well.
		NewConn: j.mayHaveRun, Memory: j.f.cfg.Answers.Lease(l.choice.Target.Address),
	}
}

// serveBuffered serves a model request that is not streamed. Any failed attempt may be retried, because the caller gets
// nothing before the answer is complete.
func (j *job) serveBuffered(ctx context.Context, choice camphorhinge.RouteChoice, body []byte) *Error {
	for {
		j.attempts++
		l := j.beginLeg(choice, camphorhinge.AttemptID(j.f.cfg.NewID()))
		answer := j.f.cfg.Answers.Buffer(l.choice.Target.Address)
		a, err := j.fetchAnswer(ctx, l, body, answer)
		l.end(err)
		if err == nil {
			h := j.f.answerHeader(j.in, camphorhinge.Run, 0, a.Header.Get("Content-Type"))
			j.out.SendComplete(a.Status, h, answer.Bytes())
			j.out.OnSent(answer.Free)
			j.f.meters.firstEvent.Update(time.Since(j.in.began).Seconds())
			return nil
		}
		answer.Free()
		if attemptError(err).Run == camphorhinge.Unknown {
			j.cancel(l)
		}
		var final *Error
		if choice, final = j.nextAttempt(ctx, err, choice.Target, true); final != nil {
			return final
		}
	}
}

// errCallerLeft marks a request whose caller closed the connection.
var errCallerLeft = &exchange.Error{
	Op: "answer", Kind: exchange.KindCallerLeft, Run: camphorhinge.Unknown, Err: errors.New("the caller closed the connection"),
}

// waitPerToken is the part of the time-out of a buffered answer that each output token adds. An engine under load takes
// a third of it.
const waitPerToken = 100 * time.Millisecond

// maxErrorText bounds the part of an error answer that is kept for the caller, in bytes.
const maxErrorText = 1 << 10

// fetchAnswer runs one attempt and reads the complete answer. An error status is returned as an error.
func (j *job) fetchAnswer(ctx context.Context, l *leg, body []byte, answer *buffer.Buffer) (*exchange.Answer, error) {
	call := j.call(l, body, 0)
	call.ExtraWait = time.Duration(j.route.Output) * waitPerToken
	a, err := j.f.cfg.Exchange.Open(ctx, call)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	more := a.Length > maxAnswer
	if !more {
		more, err = answer.ReadAll(a, a.Length, maxAnswer)
	}
	switch {
	case buffer.IsFull(err):
		return nil, answerMemoryError(err)
	case err != nil:
		return nil, err
	case more:
		return nil, &exchange.Error{
			Op: "read body", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown,
			Err: fmt.Errorf("the answer exceeds %d bytes", maxAnswer),
		}
	case a.Status >= http.StatusBadRequest:
		text := answer.Bytes()
		return nil, &exchange.Error{
			Op: "read body", Kind: exchange.KindStatus, Run: a.Class(), Status: a.Status,
			Body: bytes.Clone(text[:min(len(text), maxErrorText)]), Err: fmt.Errorf("target answered with status %d", a.Status),
		}
	}
	l.events = outputTokens(answer.Bytes())
	return a, nil
}

// answerMemoryError returns the error of an attempt for whose answer there is no memory.
func answerMemoryError(err error) error {
	return &exchange.Error{Op: "read body", Kind: exchange.KindMemory, Run: camphorhinge.Unknown, Err: err}
}

// outputTokens returns the number of output tokens that a buffered answer states in its usage, or 0.
func outputTokens(answer []byte) camphorhinge.Tokens {
	var a struct {
		Usage struct {
			Completion camphorhinge.Tokens `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(answer, &a) != nil {
		return 0
	}
	return max(a.Usage.Completion, 0)
}
