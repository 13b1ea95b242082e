package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/place"
)

// job is one request under way.
type job struct {
	f       *Forwarder
	in      *Request
	out     Sink
	ask     Ask
	route   *routing.Route
	service *routing.Service
	// header is the part of the request's header that is passed on.
	header http.Header
	body   []byte
	// print is the hash by which crashes of the request are counted.
	print camphorhinge.Fingerprint
	began camphorhinge.Instant

	// arrivals is the number of attempts that reached a target, runs that of those which may have run.
	arrivals, runs int
	exclude        []camphorhinge.TargetName
	// prefilled is set once a target has accepted to read the prompt.
	prefilled bool
	// paid is set when the next attempt was taken from the retry budget already.
	paid bool
	// headed is set once the answer's header was sent, after which after is the id of the last event that was sent.
	headed bool
	after  string

	// plan is the last plan, and first is when the first event was sent.
	plan place.Plan
	// placed is when it was made.
	placed camphorhinge.Instant
	first  camphorhinge.Instant
	// read is how long the last separate prefill took.
	read time.Duration
	// status is that of the answer that was passed on.
	status int
}

// attempts tries targets until one has answered or none may be tried.
func (j *job) attempts(ctx context.Context) *Error {
	j.print = j.fingerprint()
	var last *exchange.Error
	for try := 0; ; try++ {
		if wait, refused := j.f.cfg.Quarantine.Refused(j.print); refused && j.runs == 0 {
			return later(KindQuarantined, wait, "requests like this one crashed several targets")
		}
		if err := j.mayTry(ctx, try, last); err != nil {
			return err
		}
		placed, refusal, ok := j.f.cfg.Placer.Place(ctx, j.f.cfg.Targets.Live(j.service.Name), j.request())
		if !ok && ctx.Err() != nil {
			return j.interrupted(ctx)
		}
		if refusal > 0 && j.runs == 0 {
			return later(KindOverload, refusal, "the request can't be served before its caller gives up")
		}
		if !ok && len(j.exclude) > 0 {
			return j.failed(ctx, last)
		}
		if !ok {
			return j.noTarget()
		}
		j.plan, j.placed = placed.Plan, j.f.cfg.Clock.Now()
		last = j.attempt(ctx, placed)
		placed.Close(j.f.cfg.Clock.Now())
		if last == nil {
			return nil
		}
	}
}

// interrupted returns the Error of a request whose time was over, or whose caller left, before it was sent.
func (j *job) interrupted(ctx context.Context) *Error {
	e := &Error{Op: "place", Kind: KindLeft, Run: camphorhinge.NotRun, Status: http.StatusServiceUnavailable, Err: ctx.Err()}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Kind, e.RetryAfter = KindDeadline, targetPause
	}
	if j.runs > 0 {
		e.Run, e.Status = camphorhinge.Unknown, http.StatusGatewayTimeout
	}
	return e
}

func (j *job) noTarget() *Error {
	if j.runs > 0 {
		return &Error{Op: "place", Kind: KindTarget, Run: camphorhinge.Unknown, Status: http.StatusBadGateway, Err: errNoOther}
	}
	return later(KindNoTarget, targetPause, "service %s has no target that can be reached", j.service.Name)
}

var (
	errNoOther = errors.New("no other target may take the request")
	errBudget  = errors.New("the retry budget is spent")
)

// mayTry returns nil when one more attempt is allowed after last, which is nil before the first one.
func (j *job) mayTry(ctx context.Context, try int, last *exchange.Error) *Error {
	if last == nil {
		return nil
	}
	if ctx.Err() != nil || try >= tries || !j.repeatable(last) {
		return j.failed(ctx, last)
	}
	if j.arrivals == 0 || j.paid {
		j.paid = false
		return nil
	}
	if !j.f.cfg.Budget.Take(j.f.cfg.Clock.Now(), j.service.Name, j.f.cfg.Nodes()) {
		e := j.failed(ctx, last)
		if e.Kind == KindTarget || e.Kind == KindNoTarget {
			e.Kind, e.Err = KindBudget, errors.Join(errBudget, e.Err)
		}
		return e
	}
	return nil
}

// repeatable reports whether the request may be sent again after an attempt that failed.
func (j *job) repeatable(last *exchange.Error) bool {
	switch last.Kind {
	case exchange.KindLeft, exchange.KindDeadline, exchange.KindBody:
		return false
	}
	if last.Kind == exchange.KindRefused && last.Status == http.StatusBadRequest {
		return false
	}
	if last.Run == camphorhinge.NotRun {
		return j.runs == 0 || j.runs < j.limit()
	}
	if j.headed && (j.route.Repeat != routing.RepeatResume || j.after == "") {
		return false
	}
	return j.route.Repeat != routing.RepeatNever && j.runs < j.limit()
}

// limit returns the number of targets that may run the request.
func (j *job) limit() int { return max(j.route.Attempts, 1) }

// failed returns the Error of a request whose last attempt ended with last.
func (j *job) failed(ctx context.Context, last *exchange.Error) *Error {
	e := &Error{Op: "exchange", Kind: KindTarget, Run: camphorhinge.Unknown, Status: http.StatusBadGateway, Err: last}
	switch {
	case last.Kind == exchange.KindLeft:
		e.Kind = KindLeft
	case last.Kind == exchange.KindDeadline || errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Kind, e.Status = KindDeadline, http.StatusGatewayTimeout
	case last.Kind == exchange.KindRefused && last.Status == http.StatusBadRequest:
		e.Kind, e.Status = KindInvalid, http.StatusBadRequest
	}
	if j.runs > 0 || last.Run != camphorhinge.NotRun {
		return e
	}
	e.Run = camphorhinge.NotRun
	switch e.Kind {
	case KindInvalid:
		return e
	case KindTarget:
		e.Kind = KindNoTarget
	}
	e.Status, e.RetryAfter = http.StatusServiceUnavailable, targetPause
	return e
}

// request returns what the Placer needs to know.
func (j *job) request() place.Request {
	r := place.Request{
		Rank: j.route.Rank, Zone: j.f.cfg.Zone, Bytes: len(j.body),
		Service: j.service.Name, Engine: j.service.Engine, Parts: j.ask.Parts, Prompt: j.ask.Prompt, Output: j.ask.Output,
		Exclude: j.exclude, Direct: !j.mayPrefill(),
	}
	if j.route.Objective > 0 {
		r.Due = j.began.Add(j.route.Objective)
	}
	if patience := j.route.Patience; patience > 0 {
		r.Until = j.began.Add(patience)
	}
	return r
}

// mayPrefill reports whether a separate prefill may be planned. One after the first that was accepted is an extra arrival.
func (j *job) mayPrefill() bool {
	return !j.prefilled || j.f.cfg.Budget.Take(j.f.cfg.Clock.Now(), j.service.Name, j.f.cfg.Nodes())
}

// call returns the attempt at a target.
func (j *job) call(t *camphorhinge.Target) exchange.Call {
	c := exchange.Call{
		Target: t, Attempt: j.ask.Attempt, Method: j.in.Method, Path: j.in.Target, Host: j.in.Host, Header: j.header,
		Priority: j.priority(), After: j.ask.After,
	}
	if len(j.body) > 0 {
		c.Body, c.Length = bytes.NewReader(j.body), int64(len(j.body))
	}
	if j.after != "" {
		c.After = j.after
	}
	return c
}

// priority returns the priority of the route, in which a higher number is more urgent.
func (j *job) priority() camphorhinge.Priority {
	rank := min(max(j.route.Rank, 0), int(camphorhinge.MaxPriority))
	return camphorhinge.MaxPriority - camphorhinge.Priority(rank)
}

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
	if j.route.Repeat != routing.RepeatFreely || j.runs+1 >= j.limit() || ctx.Err() != nil || j.paid {
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
