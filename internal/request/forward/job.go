package forward

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/access"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/origin"
	"example.org/camphorhinge/internal/request/place"
)

// job is the state of one request in progress.
type job struct {
	f    *Forwarder
	in   *Request
	out  Sink
	info RequestInfo
	// version is the version of the configuration that the request was matched with.
	version camphorhinge.Version
	route   *routing.Route
	service *routing.Service
	// header is the forwardable part of the request's header.
	header http.Header
	// received holds the request's body, which body refers to.
	received *buffer.Buffer
	body     []byte
	// fingerprint is the hash by which the quarantine counts crashes of the request.
	fingerprint camphorhinge.Fingerprint
	// request is the hash by which it counts crashes of the request whoever sends it.
	request camphorhinge.Fingerprint
	// segments are the hashes by which it counts crashes of what other requests may have in common with this one.
	segments []camphorhinge.Fingerprint
	began    camphorhinge.Instant
	// permit is what the request's key last admitted it to; denied is set once the key no longer admits it.
	permit access.Permit
	denied *Error
	// counted is set once the request has been counted as begun.
	counted bool

	// arrivals counts the attempts that reached a target, runs the attempts that may have run the request.
	arrivals, runs int
	// asked lists the addresses of the targets to which the request or its separate prefill was sent.
	asked []string
	// exclude lists the targets whose attempt or separate prefill failed.
	exclude []camphorhinge.TargetName
	// prefilled is set once a target has accepted a separate prefill.
	prefilled bool
	// retryReserved is set when the next attempt was already taken from the retry budget.
	retryReserved bool
	// headerSent is set once the header of a streamed answer was sent; lastEventID is the id of the last event sent.
	headerSent  bool
	lastEventID string
	// origin is where the stream began, once that is known: at the first event, or before for a stream that the caller
	// continues. Only targets of that version may continue it.
	origin *origin.Origin
	// versionAwaited is set once the request has waited for a target of the version.
	versionAwaited bool
	// originTries counts the targets that were recorded as the origin.
	originTries int
	// events counts the events sent; unframed is set once an answer with neither a length nor chunks was streamed.
	events   int
	unframed bool

	// leave ends the latest attempt if its target leaves before it would answer.
	leave *leaveWatch

	// plan is the latest plan.
	plan place.Plan
	// placedAt is the time at which the plan was made.
	placedAt camphorhinge.Instant
	// firstEventAt is the time at which the first event was sent, or 0.
	firstEventAt camphorhinge.Instant
	// prefillTime is the duration of the latest separate prefill.
	prefillTime time.Duration
	// status is the status of the forwarded answer.
	status int
}

// runAttempts places and sends the request until an attempt succeeds or no further attempt is allowed.
func (j *job) runAttempts(ctx context.Context) *Error {
	j.fingerprint, j.request = j.crashFingerprint(), j.requestFingerprint()
	j.segments = j.segmentFingerprints()
	var last *exchange.Error
	for try := 0; ; try++ {
		if j.denied != nil {
			return j.denied
		}
		if err := j.quarantineError(ctx, last); err != nil {
			return err
		}
		if err := j.allowAttempt(ctx, try, last); err != nil {
			return err
		}
		placed, refusal, ok := j.f.cfg.Placer.Place(ctx, j.f.cfg.Targets.Live(j.service.Name), j.placeRequest())
		if !ok && ctx.Err() != nil {
			return j.interruptedError(ctx)
		}
		if !ok && j.awaitPause(ctx) {
			j.placeAgain(last)
			continue
		}
		if refusal > 0 && j.runs == 0 {
			return newUnavailable(KindOverload, refusal, "the request can't be served before its caller gives up")
		}
		if !ok && j.awaitVersion(ctx, last) {
			j.placeAgain(last)
			continue
		}
		if !ok && len(j.exclude) > 0 {
			return j.finalError(ctx, last)
		}
		if !ok && j.awaitTarget(ctx) {
			continue
		}
		if !ok {
			return j.noTargetError()
		}
		j.plan, j.placedAt = placed.Plan, j.f.cfg.Clock.Now()
		last = j.attempt(ctx, placed)
		placed.Close(j.f.cfg.Clock.Now())
		if last == nil {
			return nil
		}
	}
}

// placeAgain prepares another placement after a wait. The attempt that was allowed after last is still to be made, at any target.
func (j *job) placeAgain(last *exchange.Error) {
	j.exclude, j.retryReserved = nil, last != nil && j.arrivals > 0
}

// quarantineError returns the Error of a request that the quarantine refuses, or nil. last is the error of the attempt
// before, or nil.
func (j *job) quarantineError(ctx context.Context, last *exchange.Error) *Error {
	wait, refused := j.f.cfg.Quarantine.Refused(j.fingerprint, j.segments...)
	if !refused {
		return nil
	}
	if j.runs == 0 {
		return newUnavailable(KindQuarantined, wait, "this request, or others with a segment of its prompt, crashed several targets")
	}
	return j.finalError(ctx, last)
}

// interruptedError returns the Error of a request whose deadline passed or whose caller closed the connection while it
// waited for its placement.
func (j *job) interruptedError(ctx context.Context) *Error {
	e := &Error{Op: "place", Kind: KindCallerLeft, Run: camphorhinge.NotRun, Status: http.StatusServiceUnavailable, Err: ctx.Err()}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.Kind, e.RetryAfter = KindDeadline, targetRetryAfter
	}
	if j.runs > 0 {
		e.Run, e.Status = camphorhinge.Unknown, http.StatusGatewayTimeout
	}
	return e
}

// noTargetError returns the Error of a request for which no live target is eligible.
func (j *job) noTargetError() *Error {
	if j.runs > 0 {
		return &Error{Op: "place", Kind: KindTarget, Run: camphorhinge.Unknown, Status: http.StatusBadGateway, Err: errNoOtherTarget}
	}
	if j.origin != nil {
		j.f.meters.recordContinued(j.service.Name, outcomeNoTarget)
		return newUnavailable(KindNoOrigin, versionRetryAfter, "service %s has no reachable target of software version %s, which began the stream",
			j.service.Name, j.origin.Software)
	}
	return newUnavailable(KindNoTarget, targetRetryAfter, "service %s has no reachable target", j.service.Name)
}

var (
	errNoOtherTarget = errors.New("no other target may take the request")
	errRetryBudget   = errors.New("the retry budget is exhausted")
)

// allowAttempt returns nil when another attempt is allowed after last, which is nil before the first attempt, and
// otherwise the Error for the caller. It takes the attempt from the retry budget, unless it was already reserved or no
// earlier attempt reached a target.
func (j *job) allowAttempt(ctx context.Context, try int, last *exchange.Error) *Error {
	if last == nil {
		return nil
	}
	if ctx.Err() != nil || try >= maxAttempts || !j.isRetryable(last) {
		return j.finalError(ctx, last)
	}
	if j.arrivals == 0 || j.retryReserved {
		j.retryReserved = false
		return nil
	}
	if !j.f.cfg.Budget.TryAcquire(j.f.cfg.Clock.Now(), j.service.Name, j.f.cfg.Nodes()) {
		e := j.finalError(ctx, last)
		if e.Kind == KindTarget || e.Kind == KindNoTarget {
			e.Kind, e.Err = KindRetryBudget, errors.Join(errRetryBudget, e.Err)
		}
		return e
	}
	return nil
}

// isRetryable reports whether the route allows another attempt after one that failed.
func (j *job) isRetryable(last *exchange.Error) bool {
	switch last.Kind {
	case exchange.KindCallerLeft, exchange.KindDeadline, exchange.KindBody:
		return false
	}
	if last.Kind == exchange.KindRefused && last.Status == http.StatusBadRequest {
		return false
	}
	if last.Run == camphorhinge.NotRun {
		return j.runs == 0 || j.runs < j.maxRuns()
	}
	if j.headerSent && (j.route.Retry != routing.RetryResume || j.lastEventID == "") {
		return false
	}
	return j.route.Retry != routing.RetryIfNotRun && j.runs < j.maxRuns()
}

// maxRuns returns the route's limit of attempts that may have run the request.
func (j *job) maxRuns() int { return max(j.route.MaxAttempts, 1) }

// finalError returns the Error of a request that gets no further attempt after last.
func (j *job) finalError(ctx context.Context, last *exchange.Error) *Error {
	e := &Error{Op: "exchange", Kind: KindTarget, Run: camphorhinge.Unknown, Status: http.StatusBadGateway, Err: last}
	switch {
	case last.Kind == exchange.KindCallerLeft:
		e.Kind = KindCallerLeft
	case last.Kind == exchange.KindDeadline || errors.Is(context.Cause(ctx), context.DeadlineExceeded):
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
	pause, certain := j.pauseLeft()
	if !certain && last.Kind != exchange.KindRefused {
		pause = 0 // Another failure is no sign that further targets pause.
	}
	e.Status, e.RetryAfter = http.StatusServiceUnavailable, max(targetRetryAfter, pause)
	if j.continues() {
		// Few targets have the version that began the stream.
		e.RetryAfter = max(versionRetryAfter, e.RetryAfter)
	}
	return e
}

// placeRequest returns the description of the request for the Placer.
func (j *job) placeRequest() place.Request {
	r := place.Request{
		Rank: j.rank(), Workspace: j.workspace(), Zone: j.f.cfg.Zone, Bytes: len(j.body),
		Service: j.service.Name, Engine: j.service.Engine, Segments: j.info.Segments, Prompt: j.info.Prompt, Output: j.info.Output,
		Exclude: j.exclude, Direct: !j.allowPrefill(), Resumable: j.route.Stream && j.route.Retry == routing.RetryResume,
	}
	if j.origin != nil {
		r.Software = &j.origin.Software
	}
	if j.route.Objective > 0 {
		r.Due = j.began.Add(j.route.Objective)
	}
	if patience := j.route.Patience; patience > 0 {
		r.Deadline = j.began.Add(patience)
	}
	return r
}

// allowPrefill reports whether a separate prefill may be planned. After an accepted one, another counts as a further
// arrival and is taken from the retry budget.
func (j *job) allowPrefill() bool {
	return !j.prefilled || j.f.cfg.Budget.TryAcquire(j.f.cfg.Clock.Now(), j.service.Name, j.f.cfg.Nodes())
}

// call returns the Call of an attempt at a target.
func (j *job) call(t *camphorhinge.Target) exchange.Call {
	c := exchange.Call{
		Target: t, Attempt: j.info.Attempt, Method: j.in.Method, Path: j.in.RequestTarget, Host: j.in.Host, Header: j.header,
		Priority: j.priority(), LastEventID: j.info.LastEventID,
	}
	if len(j.body) > 0 {
		c.Body, c.Length = bytes.NewReader(j.body), int64(len(j.body))
	}
	if j.lastEventID != "" {
		c.LastEventID = j.lastEventID
	}
	return c
}

// priority converts the rank of the request, in which a lower number is more urgent, to a priority, in which a higher is.
func (j *job) priority() camphorhinge.Priority {
	rank := min(max(j.rank(), 0), int(camphorhinge.MaxPriority))
	return camphorhinge.MaxPriority - camphorhinge.Priority(rank)
}
