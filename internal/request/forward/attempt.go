package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/place"
)

// attempt executes a placement: the separate prefill, if one is planned, and then the request itself. It returns nil
// once the answer was forwarded.
func (j *job) attempt(ctx context.Context, placed *place.Placement) *exchange.Error {
	plan := placed.Plan
	call := j.call(plan.Serve)
	fetch := ""
	if plan.Fetch != nil {
		fetch = plan.Fetch.Address
	}
	if plan.Prefill == nil {
		call.FetchFrom = fetch
	} else {
		source, err := j.prefill(ctx, placed, fetch)
		if err != nil {
			return err
		}
		call.Source = source
	}
	err := j.execute(ctx, call, placed.ServeAttempt)
	if err != nil && call.Source != "" {
		if err.Run == camphorhinge.NotRun {
			// The engine may have capacity, and only the KV cache was unavailable.
			j.unexclude(plan.Serve.Name)
		}
		j.freeCache(plan.Prefill, call.Source)
	}
	return err
}

// unexclude makes a target eligible for the next attempt again.
func (j *job) unexclude(name camphorhinge.TargetName) {
	for i, x := range j.exclude {
		if x == name {
			j.exclude = append(j.exclude[:i:i], j.exclude[i+1:]...)
			return
		}
	}
}

// prefill runs the separate prefill of a placement and returns the name under which the KV cache is fetched.
func (j *job) prefill(ctx context.Context, placed *place.Placement, fetch string) (string, *exchange.Error) {
	plan, inFlight := placed.Plan, placed.PrefillAttempt
	call := j.call(plan.Prefill)
	call.Role, call.FetchFrom = camphorhinge.RolePrefill, fetch
	clock := j.f.cfg.Clock
	arrivalsBefore, began := j.arrivals, clock.Now()
	watched, leave := j.watchLeave(ctx, call.Target, true)
	answer, body, err := j.exchangeBuffered(watched, call, inFlight)
	err = j.stop(leave, err)
	defer body.Free()
	if err == nil {
		if l, ok := j.f.cfg.Protocol.ParseLoad(answer.Header); ok {
			inFlight.RecordLoad(clock.Now(), l)
		}
		var source string
		var perr error
		if answer.Status == http.StatusOK {
			source, perr = j.f.cfg.Protocol.ParsePrefill(plan.Prefill, body.Bytes())
		} else {
			perr = errors.New("prefill failed with status " + http.StatusText(answer.Status))
		}
		if perr == nil {
			inFlight.RecordFirstEvent(clock.Now())
			inFlight.End(clock.Now(), place.Served)
			j.prefillTime = clock.Now().Sub(began)
			if !j.prefilled {
				// The first accepted prefill does not count as an arrival.
				j.prefilled, j.arrivals = true, arrivalsBefore
			}
			return source, nil
		}
		err = &exchange.Error{Op: "prefill", Kind: exchange.KindProtocol, Run: camphorhinge.NotRun, Status: answer.Status, Err: perr}
	}
	j.logMemoryShort(plan.Prefill, err)
	// A prefill does not run the request, however the call ended.
	err.Run = camphorhinge.NotRun
	inFlight.End(clock.Now(), targetOutcome(ctx, err))
	j.exclude = append(j.exclude, plan.Prefill.Name)
	return "", err
}

// freeCache frees an unused KV cache in the background.
func (j *job) freeCache(t *camphorhinge.Target, source string) {
	f := j.f
	f.background.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		answer, err := f.cfg.Exchange.Open(ctx, f.cfg.Protocol.FreeCall(t, source))
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

// exchangeBuffered runs an exchange and returns its complete answer. The body must be freed, also after an error.
func (j *job) exchangeBuffered(ctx context.Context, call exchange.Call, inFlight *place.InFlight) (*exchange.Answer, *buffer.Buffer, *exchange.Error) {
	body := j.answerBuffer(call.Target)
	answer, err := j.openExchange(ctx, call, inFlight)
	if err != nil {
		return nil, body, err
	}
	defer answer.Close()
	return answer, body, readAll(answer, body)
}

// answerBuffer returns an empty buffer for bytes of a target's answer.
func (j *job) answerBuffer(t *camphorhinge.Target) *buffer.Buffer {
	return j.f.cfg.Answers.Buffer(t.Address)
}

// errTargetLeaving marks a target that stopped accepting requests after it was chosen.
var errTargetLeaving = errors.New("the target is leaving")

// errTargetClosed marks a target that stated, after it was chosen, that it leaves or wants no requests for a time.
var errTargetClosed = errors.New("the target wants no requests now")

// isServing reports whether a target still accepts requests. It is checked before each exchange, because a serving
// engine may have left while the separate prefill ran.
func (j *job) isServing(t *camphorhinge.Target) bool {
	for _, x := range j.f.cfg.Targets.Live(j.service.Name) {
		if x.Name == t.Name {
			return x.Serving && x.Incarnation == t.Incarnation
		}
	}
	return false
}

// errQuarantined marks a request that the quarantine began to refuse while it waited for its placement or its prefill.
var errQuarantined = errors.New("the request crashes targets")

// openExchange starts an exchange and records what the target states of itself in its answer. It counts an arrival if the
// request may have reached the target.
func (j *job) openExchange(ctx context.Context, call exchange.Call, inFlight *place.InFlight) (*exchange.Answer, *exchange.Error) {
	if _, refused := j.f.cfg.Quarantine.Refused(j.fingerprint, j.segments...); refused {
		return nil, &exchange.Error{Op: "open", Kind: exchange.KindConnect, Run: camphorhinge.NotRun, Err: errQuarantined}
	}
	if !j.isServing(call.Target) {
		return nil, &exchange.Error{Op: "open", Kind: exchange.KindConnect, Run: camphorhinge.NotRun, Err: errTargetLeaving}
	}
	if inFlight.Barred(j.f.cfg.Clock.Now()) {
		return nil, &exchange.Error{Op: "open", Kind: exchange.KindConnect, Run: camphorhinge.NotRun, Err: errTargetClosed}
	}
	// All exchanges of the request bear the same attempt. An answer that a target repeats late comes on the connection of its
	// exchange, so a target that is asked again is asked on another one.
	if j.denied = j.authorize(); j.denied != nil {
		return nil, &exchange.Error{Op: "open", Kind: exchange.KindConnect, Run: camphorhinge.NotRun, Err: errDenied}
	}
	call.Workspace, call.Priority = j.workspace(), j.priority()
	call.NewConn = slices.Contains(j.asked, call.Target.Address)
	j.asked = append(j.asked, call.Target.Address)
	answer, err := j.f.cfg.Exchange.Open(ctx, call)
	if err == nil {
		j.arrivals++
		j.recordStatements(call.Target, answer.Status, answer.Header, inFlight)
		return answer, nil
	}
	e := asExchangeError(err)
	if e.Header != nil {
		j.recordStatements(call.Target, e.Status, e.Header, inFlight)
	}
	if e.Run != camphorhinge.NotRun || e.Kind == exchange.KindRefused {
		j.arrivals++
	}
	return nil, e
}

// recordStatements records what a target states of itself in the header of an answer.
func (j *job) recordStatements(t *camphorhinge.Target, status int, h http.Header, inFlight *place.InFlight) {
	now := j.f.cfg.Clock.Now()
	if limit, ok := j.f.cfg.Protocol.ParseLimit(h); ok {
		inFlight.RecordLimit(now, limit)
	}
	notice, err := j.f.cfg.Protocol.ParseNotice(status, h)
	if err != nil {
		j.f.badNotices.Do(func() { j.f.cfg.Log.Warn("statement of target not valid", "target", t.Name, "error", err) })
	}
	if closed := inFlight.RecordNotice(now, notice); closed > 0 {
		j.f.cfg.Log.Info("target wants no requests", "target", t.Name, "service", t.Service, "leaving", notice.Leaving, "closed_ms", closed.Milliseconds())
	}
}

func asExchangeError(err error) *exchange.Error {
	var e *exchange.Error
	if errors.As(err, &e) {
		return e
	}
	return &exchange.Error{Op: "exchange", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown, Err: err}
}

// logMemoryShort logs that an answer was dropped for lack of memory, if that is the error.
func (j *job) logMemoryShort(t *camphorhinge.Target, err *exchange.Error) {
	if buffer.IsFull(err) {
		j.f.memoryShort.Do(func() {
			j.f.cfg.Log.Warn("no memory for an answer", "target", t.Name, "request", j.info.Attempt, "error", err)
		})
	}
}

// errAnswerTooLarge marks an answer over the limit.
var errAnswerTooLarge = errors.New("the answer is too large")

// readAll reads a complete answer into body. One that states a length over the limit is not read.
func readAll(answer *exchange.Answer, body *buffer.Buffer) *exchange.Error {
	more := answer.Length > maxAnswer
	var err error
	if !more {
		more, err = body.ReadAll(answer, answer.Length, maxAnswer)
	}
	switch {
	case err != nil:
		return asExchangeError(err)
	case more:
		return &exchange.Error{Op: "read body", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown, Err: errAnswerTooLarge}
	}
	return nil
}

// targetOutcome maps the error of a failed attempt to the outcome that is recorded for its target.
func targetOutcome(ctx context.Context, e *exchange.Error) place.Outcome {
	if errors.Is(e, errQuarantined) || errors.Is(e, errTargetClosed) || errors.Is(e, errDenied) || errors.Is(e, exchange.ErrNoPlace) {
		return place.Abandoned
	}
	switch e.Kind {
	case exchange.KindConnect:
		return place.Unreachable
	case exchange.KindRefused:
		if e.Status == http.StatusMisdirectedRequest {
			return place.AddressReused
		}
		return place.Refused
	case exchange.KindSilent:
		return place.TimedOut
	case exchange.KindCallerLeft, exchange.KindBody:
		return place.Abandoned
	case exchange.KindDeadline:
		return place.Abandoned
	}
	if ctx.Err() != nil {
		return place.Abandoned
	}
	return place.Broken
}

// execute sends the request to the target that runs it, forwards the answer, and reports the outcome to the quarantine
// and the placer.
func (j *job) execute(ctx context.Context, call exchange.Call, inFlight *place.InFlight) *exchange.Error {
	clock := j.f.cfg.Clock
	j.recordOrigin(call.Target)
	end := j.f.cfg.Quarantine.Begin(call.Target, j.fingerprint, j.request, j.segments...)
	watched, leave := j.watchLeave(ctx, call.Target, false)
	j.leave = leave
	sent := clock.Now()
	result, err := j.relayAnswer(watched, call, inFlight)
	if err = j.stop(leave, err); err != nil {
		j.logMemoryShort(call.Target, err)
		if err.Kind != exchange.KindStatus { // relayAnswer returns the outcome of a server error itself.
			result = targetOutcome(ctx, err)
		}
		j.exclude = append(j.exclude, call.Target.Name)
		if err.Run != camphorhinge.NotRun {
			j.runs++
		}
		if err.Reset {
			j.recordRun(sent)
		}
	}
	end(err != nil && err.Reset, result == place.Served)
	inFlight.End(clock.Now(), result)
	return err
}

// relayAnswer opens an exchange and forwards its answer: an event stream event by event, any other answer once it is
// complete.
func (j *job) relayAnswer(ctx context.Context, call exchange.Call, inFlight *place.InFlight) (place.Outcome, *exchange.Error) {
	sent := j.f.cfg.Clock.Now()
	answer, err := j.openExchange(ctx, call, inFlight)
	if err != nil {
		return place.Abandoned, err
	}
	defer answer.Close()
	if l, ok := j.f.cfg.Protocol.ParseLoad(answer.Header); ok {
		inFlight.RecordLoad(j.f.cfg.Clock.Now(), l)
	}
	if j.route.Stream && answer.Status == http.StatusOK && isEventStream(answer) {
		return place.Served, j.streamAnswer(answer, inFlight)
	}
	if j.headerSent {
		return place.Errored, &exchange.Error{
			Op: "resume", Kind: exchange.KindProtocol, Run: camphorhinge.Run, Status: answer.Status, Err: errNotEventStream,
		}
	}
	j.recordRun(sent)
	body := j.answerBuffer(call.Target)
	if err := readAll(answer, body); err != nil {
		body.Free()
		return place.Broken, err
	}
	if isEventStream(answer) && !isWholeStream(body.Bytes(), answer.Framed(), j.answerBuffer(call.Target)) {
		body.Free()
		return place.Broken, asExchangeError(answer.BrokenOff(errIncompleteStream))
	}
	inFlight.RecordFirstEvent(j.f.cfg.Clock.Now())
	if answer.Status >= http.StatusInternalServerError && j.reserveErrorRetry(ctx) {
		body.Free()
		return place.Errored, &exchange.Error{
			Op: "answer", Kind: exchange.KindStatus, Run: camphorhinge.Run, Status: answer.Status, Err: errServerError,
		}
	}
	j.deliver(answer, body.Bytes())
	j.out.OnSent(body.Free)
	if answer.Status >= http.StatusInternalServerError {
		return place.Errored, nil
	}
	return place.Served, nil
}

// errServerError marks an answer with a status of 500 or above.
var errServerError = errors.New("the target answered with a server error")

// reserveErrorRetry reports whether a request that got a server error is retried at another target. It takes the retry
// from the budget at once, so that the error is withheld from the caller only when the retry budget allows another
// attempt. The current attempt is not yet counted in j.runs.
func (j *job) reserveErrorRetry(ctx context.Context) bool {
	if j.route.Retry != routing.RetryIdempotent || j.runs+1 >= j.maxRuns() || ctx.Err() != nil || j.retryReserved {
		return false
	}
	j.retryReserved = j.f.cfg.Budget.TryAcquire(j.f.cfg.Clock.Now(), j.service.Name, j.f.cfg.Nodes())
	return j.retryReserved
}

// errNotEventStream marks an answer to a resumed stream that is not an event stream.
var errNotEventStream = errors.New("the answer is not an event stream")

// impliesNotRun reports whether callers take a status to mean that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver forwards a complete answer. A status that implies that the request has not run is replaced by 502, because
// the target did not state that the request has not run: answers that state it are errors of exchange and don't get
// here.
func (j *job) deliver(answer *exchange.Answer, body []byte) {
	header := forwardableHeader(answer.Header)
	j.f.cfg.Protocol.StripInternal(header)
	j.status = answer.Status
	if impliesNotRun(j.status) {
		j.status = http.StatusBadGateway
		j.f.cfg.Protocol.StripStamp(header)
	}
	j.out.SendComplete(j.status, header, body)
}

// forwardableHeader returns a copy of a header without the hop-by-hop fields.
func forwardableHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	// These apply to one connection only, or are set by the sender of each message.
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
		"Host", "Expect",
	} {
		out.Del(name)
	}
	return out
}
