package forward

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/place"
)

// job is one request under way.
type job struct {
	f   *Forwarder
	in  *Request
	out Sink
	ask Ask
	// version is that of the configuration that the request was matched with.
	version camphorhinge.Version
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
		if !ok && j.awaitTarget(ctx) {
			continue
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
	if j.headed && (j.route.Retry != routing.RetryResume || j.after == "") {
		return false
	}
	return j.route.Retry != routing.RetryIfNotRun && j.runs < j.limit()
}

// limit returns the number of targets that may run the request.
func (j *job) limit() int { return max(j.route.MaxAttempts, 1) }

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
