package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
)

// model serves a model request.
func (f *Frontend) model(ctx context.Context, in *inbound, out sink) *Error {
	body, err := in.read(maxModelBody)
	if err != nil {
		return err
	}
	p, err := parse(in.path, body)
	if err != nil {
		return err
	}
	m, ok := f.cfg.Configuration.Model(p.Model)
	if !ok {
		return refuse(KindUnknown, http.StatusNotFound, "no service serves the model %q", p.Model)
	}
	if p.Adapter != "" {
		m.Adapter = camphorhinge.AdapterName(p.Adapter)
	}
	left, err := in.limits(m.Service)
	if err != nil {
		return err
	}
	ctx, cancel := in.bound(ctx, left, true)
	defer cancel()
	text := p.text()
	j := &job{
		f: f, in: in, out: out, fp: in.fingerprint(body),
		route: camphorhinge.RouteRequest{
			Service: m.Service.Name, Model: m.Model, Adapter: m.Adapter, Priority: in.priority,
			Prompt: camphorhinge.Tokens(max(1, (len(text)+tokenBytes-1)/tokenBytes)), Output: p.output(),
		},
		header: http.Header{
			"Content-Type":             {"application/json"},
			"Camphorhinge-Workspace":   {string(in.workspace.Name)},
			camphorhinge.HeaderRequest: {string(in.id)},
		},
	}
	if f.cfg.Prefixes != nil {
		// Engines hash what the body names, so an adapter that is named in the place of the model stays there.
		j.route.Prefixes = f.cfg.Prefixes(camphorhinge.ModelName(p.Model), camphorhinge.AdapterName(p.Adapter), text)
	}
	choice, release, err := j.admit(ctx)
	if err != nil {
		return err
	}
	defer release()
	if p.Stream {
		r := &relay{job: j, body: body, keep: p.deterministic(), last: in.began}
		return r.run(ctx, choice)
	}
	return j.whole(ctx, choice, body)
}

// call describes an attempt of a model request.
func (j *job) call(l *leg, body []byte, resume int) exchange.Call {
	return exchange.Call{
		Target: l.choice.Target, Attempt: l.attempt, Method: j.in.method, Path: j.in.target, Header: j.header,
		Body: bytes.NewReader(body), Length: int64(len(body)), Priority: j.in.priority, Resume: resume,
		// Where one connection broke or fell silent, idle ones may have done so as well.
		NewConn: j.touched,
	}
}

// whole runs a model request whose answer is sent in one piece, so that each attempt may be repeated until then.
func (j *job) whole(ctx context.Context, choice camphorhinge.RouteChoice, body []byte) *Error {
	for {
		j.tried++
		l := j.begin(choice, camphorhinge.AttemptID(j.f.cfg.NewID()))
		a, answer, err := j.fetch(ctx, l, body)
		l.end(err)
		if err == nil {
			h := j.f.header(j.in, camphorhinge.Run, 0, a.Header.Get("Content-Type"))
			j.out.Whole(a.Status, h, answer)
			j.f.meters.firstToken.Update(time.Since(j.in.began).Seconds())
			return nil
		}
		if attemptError(err).Run == camphorhinge.Unknown {
			j.cancel(l)
		}
		var final *Error
		if choice, final = j.again(ctx, err, choice.Target, true); final != nil {
			return final
		}
	}
}

// errCaller marks a caller that left.
var errCaller = &exchange.Error{
	Op: "answer", Kind: exchange.KindLeft, Run: camphorhinge.Unknown, Err: errors.New("the caller closed the connection"),
}

// pieceTime is the time of one output token that a whole answer is waited for; an engine under load needs a third of it.
const pieceTime = 100 * time.Millisecond

// fetch runs one attempt and reads the whole answer.
func (j *job) fetch(ctx context.Context, l *leg, body []byte) (*exchange.Answer, []byte, error) {
	call := j.call(l, body, 0)
	call.ExtraWait = time.Duration(j.route.Output) * pieceTime
	a, err := j.f.cfg.Exchange.Open(ctx, call)
	if err != nil {
		return nil, nil, err
	}
	defer a.Close()
	answer, err := io.ReadAll(io.LimitReader(a, maxAnswer+1))
	switch {
	case err != nil:
		return nil, nil, err
	case len(answer) > maxAnswer:
		return nil, nil, &exchange.Error{
			Op: "read body", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown,
			Err: fmt.Errorf("the answer exceeds %d bytes", maxAnswer),
		}
	case a.Status >= http.StatusBadRequest:
		return nil, nil, &exchange.Error{
			Op: "read body", Kind: exchange.KindStatus, Run: a.Class(), Status: a.Status,
			Body: answer, Err: fmt.Errorf("target answered with status %d", a.Status),
		}
	}
	l.pieces = outputTokens(answer)
	return a, answer, nil
}

// outputTokens returns the number of output tokens that a whole answer states, or 0.
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
