package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/place"
)

// attempt sends the request as planned. It returns nil once the answer was passed on.
func (j *job) attempt(ctx context.Context, placed *place.Placement) *exchange.Error {
	plan := placed.Plan
	call := j.call(plan.Serve)
	fetch := ""
	if plan.Fetch != nil {
		fetch = plan.Fetch.Address
	}
	if plan.Prefill == nil {
		call.Fetch = fetch
	} else {
		source, err := j.prefill(ctx, placed, fetch)
		if err != nil {
			return err
		}
		call.Source = source
	}
	err := j.run(ctx, call, placed.Server)
	if err != nil && call.Source != "" {
		if err.Run == camphorhinge.NotRun {
			// The engine may be free; only the KV cache was not to be had.
			j.allow(plan.Serve.Name)
		}
		j.free(plan.Prefill, call.Source)
	}
	return err
}

func (j *job) allow(name camphorhinge.TargetName) {
	for i, x := range j.exclude {
		if x == name {
			j.exclude = append(j.exclude[:i:i], j.exclude[i+1:]...)
			return
		}
	}
}

// prefill has an engine read the prompt, and returns the name of the KV cache.
func (j *job) prefill(ctx context.Context, placed *place.Placement, fetch string) (string, *exchange.Error) {
	plan, flight := placed.Plan, placed.Reader
	call := j.call(plan.Prefill)
	call.Role, call.Fetch = camphorhinge.RolePrefill, fetch
	clock := j.f.cfg.Clock
	counted, began := j.arrivals, clock.Now()
	answer, body, err := j.whole(ctx, call)
	if err == nil {
		if l, ok := j.f.cfg.Protocol.Load(answer.Header); ok {
			flight.Load(clock.Now(), l)
		}
		var source string
		var perr error
		if answer.Status == http.StatusOK {
			source, perr = j.f.cfg.Protocol.Prefilled(plan.Prefill, body)
		} else {
			perr = errors.New("status of a prefill: " + http.StatusText(answer.Status))
		}
		if perr == nil {
			flight.First(clock.Now())
			flight.End(clock.Now(), place.Served)
			j.read = clock.Now().Sub(began)
			if !j.prefilled {
				// The first accepted call of this kind is no arrival.
				j.prefilled, j.arrivals = true, counted
			}
			return source, nil
		}
		err = &exchange.Error{Op: "prefill", Kind: exchange.KindProtocol, Run: camphorhinge.NotRun, Status: answer.Status, Err: perr}
	}
	// Reading the prompt is no run, however the call ended.
	err.Run = camphorhinge.NotRun
	flight.End(clock.Now(), outcome(ctx, err))
	j.exclude = append(j.exclude, plan.Prefill.Name)
	return "", err
}

// free frees a KV cache that no request takes.
func (j *job) free(t *camphorhinge.Target, source string) {
	f := j.f
	f.after.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		answer, err := f.cfg.Exchange.Open(ctx, f.cfg.Protocol.Free(t, source))
		if err != nil {
			f.cfg.Log.Debug("KV cache not freed", "target", t.Name, "error", err)
			return nil
		}
		_, err = io.Copy(io.Discard, io.LimitReader(answer, maxAnswer))
		answer.Close()
		if err != nil {
			f.cfg.Log.Debug("KV cache not freed", "target", t.Name, "error", err)
		}
		return nil
	})
}

// whole runs an exchange whose answer is read to its end.
func (j *job) whole(ctx context.Context, call exchange.Call) (*exchange.Answer, []byte, *exchange.Error) {
	answer, err := j.open(ctx, call)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Close()
	body, err := readAll(answer)
	return answer, body, err
}

// errLeaving marks a target that takes no more requests since it was chosen.
var errLeaving = errors.New("the target is leaving")

// serving reports whether a target may still get requests: one that was chosen before a prompt was read may leave
// meanwhile.
func (j *job) serving(t *camphorhinge.Target) bool {
	for _, x := range j.f.cfg.Targets.Live(j.service.Name) {
		if x.Name == t.Name {
			return x.Serving && x.Incarnation == t.Incarnation
		}
	}
	return false
}

// open starts an exchange and counts its arrival.
func (j *job) open(ctx context.Context, call exchange.Call) (*exchange.Answer, *exchange.Error) {
	if !j.serving(call.Target) {
		return nil, &exchange.Error{Op: "open", Kind: exchange.KindConnect, Run: camphorhinge.NotRun, Err: errLeaving}
	}
	answer, err := j.f.cfg.Exchange.Open(ctx, call)
	if err == nil {
		j.arrivals++
		return answer, nil
	}
	e := asExchange(err)
	if e.Run != camphorhinge.NotRun || e.Kind == exchange.KindRefused {
		j.arrivals++
	}
	return nil, e
}

func asExchange(err error) *exchange.Error {
	var e *exchange.Error
	if errors.As(err, &e) {
		return e
	}
	return &exchange.Error{Op: "exchange", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown, Err: err}
}

// errTooLarge marks an answer over the limit.
var errTooLarge = errors.New("the answer is too large")

func readAll(answer *exchange.Answer) ([]byte, *exchange.Error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer+1))
	if err != nil {
		return nil, asExchange(err)
	}
	if len(body) > maxAnswer {
		return nil, &exchange.Error{Op: "read body", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown, Err: errTooLarge}
	}
	return body, nil
}

// outcome returns what a failed attempt says of its target.
func outcome(ctx context.Context, e *exchange.Error) place.Outcome {
	switch e.Kind {
	case exchange.KindConnect:
		return place.Unreachable
	case exchange.KindRefused:
		if e.Status == http.StatusMisdirectedRequest {
			return place.Foreign
		}
		return place.Refused
	case exchange.KindSilent:
		return place.Silent
	case exchange.KindLeft, exchange.KindBody:
		return place.Abandoned
	case exchange.KindDeadline:
		return place.Abandoned
	}
	if ctx.Err() != nil {
		return place.Abandoned
	}
	return place.Broken
}

// run sends the request to the target that runs it, and passes the answer on.
func (j *job) run(ctx context.Context, call exchange.Call, flight *place.Flight) *exchange.Error {
	clock := j.f.cfg.Clock
	end := j.f.cfg.Quarantine.Begin(call.Target, j.print)
	result, err := j.relay(ctx, call, flight)
	if err != nil {
		if err.Kind != exchange.KindStatus {
			result = outcome(ctx, err)
		}
		j.exclude = append(j.exclude, call.Target.Name)
		if err.Run != camphorhinge.NotRun {
			j.runs++
		}
	}
	end(err != nil && err.Reset, result == place.Served)
	flight.End(clock.Now(), result)
	return err
}

// relay passes the answer of one attempt on.
func (j *job) relay(ctx context.Context, call exchange.Call, flight *place.Flight) (place.Outcome, *exchange.Error) {
	answer, err := j.open(ctx, call)
	if err != nil {
		return place.Abandoned, err
	}
	defer answer.Close()
	if l, ok := j.f.cfg.Protocol.Load(answer.Header); ok {
		flight.Load(j.f.cfg.Clock.Now(), l)
	}
	if j.route.Stream && answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		return place.Served, j.stream(answer, flight)
	}
	if j.headed {
		return place.Errored, &exchange.Error{
			Op: "resume", Kind: exchange.KindProtocol, Run: camphorhinge.Run, Status: answer.Status, Err: errNoStream,
		}
	}
	body, err := readAll(answer)
	if err != nil {
		return place.Broken, err
	}
	flight.First(j.f.cfg.Clock.Now())
	if answer.Status >= http.StatusInternalServerError && j.mayRepeatError(ctx) {
		return place.Errored, &exchange.Error{
			Op: "answer", Kind: exchange.KindStatus, Run: camphorhinge.Run, Status: answer.Status, Err: errStatus,
		}
	}
	j.deliver(answer, body)
	if answer.Status >= http.StatusInternalServerError {
		return place.Errored, nil
	}
	return place.Served, nil
}

// errStatus marks a server error of a target.
var errStatus = errors.New("the target answered with a server error")

// mayRepeatError reports whether a request that got a server error goes to another target instead. The answer is kept from
// the caller only when that attempt is sure to be made.
func (j *job) mayRepeatError(ctx context.Context) bool {
	if j.route.Retry != routing.RetryIdempotent || j.runs+1 >= j.limit() || ctx.Err() != nil || j.paid {
		return false
	}
	j.paid = j.f.cfg.Budget.Take(j.f.cfg.Clock.Now(), j.service.Name, j.f.cfg.Nodes())
	return j.paid
}

// errNoStream marks an answer to a stream that goes on which is no stream.
var errNoStream = errors.New("the answer is not an event stream")

// promises reports whether a status states that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver passes a whole answer on. A status that promises that the request has not run becomes another one when the target
// did not state that.
func (j *job) deliver(answer *exchange.Answer, body []byte) {
	header := passOn(answer.Header)
	j.f.cfg.Protocol.Answer(header)
	j.status = answer.Status
	if promises(j.status) {
		j.status = http.StatusBadGateway
		j.f.cfg.Protocol.Unstamp(header)
	}
	j.out.Whole(j.status, header, body)
}

// passOn returns the part of a header that is passed on.
func passOn(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	// These concern one connection only, or are set by the sender of each message.
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
		"Host", "Expect",
	} {
		out.Del(name)
	}
	return out
}
