package frontend

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
)

// job is the state of a request over its attempts.
type job struct {
	f           *Frontend
	in          *inbound
	out         sink
	route       camphorhinge.RouteRequest
	fingerprint camphorhinge.Fingerprint
	// anyCaller is the hash of the request that is the same for all workspaces.
	anyCaller camphorhinge.Fingerprint
	// header is the request header for targets.
	header   http.Header
	attempts int
	// mayHaveRun is true once an attempt was not of class NotRun.
	mayHaveRun bool
}

// maxSegments bounds the leading blocks of a prompt by which crashes are counted.
const maxSegments = 32

// segmentFingerprints returns the hashes by which the quarantine counts the leading blocks of the prompt, which other
// requests may have as well.
func (j *job) segmentFingerprints() []camphorhinge.Fingerprint {
	var out []camphorhinge.Fingerprint
	for _, hash := range j.route.Prefixes[:min(len(j.route.Prefixes), maxSegments)] {
		d := xxhash.NewWithSeed(hash)
		_, _ = d.WriteString(string(j.in.service)) // Writes to a hash don't fail.
		out = append(out, camphorhinge.Fingerprint(d.Sum64()))
	}
	return out
}

// crashSegments returns the hashes by which the quarantine counts what other requests may have in common with this one: the
// leading blocks of the prompt, and the request as a whole.
func (j *job) crashSegments() []camphorhinge.Fingerprint {
	return append(j.segmentFingerprints(), j.anyCaller)
}

// admit decides whether the request may start. It returns its first target and a function that releases the admission.
func (j *job) admit(ctx context.Context) (camphorhinge.RouteChoice, func(), *Error) {
	var none camphorhinge.RouteChoice
	if q := j.f.cfg.Quarantine; q != nil {
		if left, refused := q.Refused(j.fingerprint, j.crashSegments()...); refused {
			j.f.cfg.Decisions.Record("quarantine", string(j.in.id), "fingerprint refused", map[string]string{
				"fingerprint": strconv.FormatUint(uint64(j.fingerprint), 16), "left": left.String(),
			})
			err := newRefusal(KindQuarantined, http.StatusUnprocessableEntity,
				"the request is refused because it ended the targets that ran it")
			err.RetryAfter = left
			return none, nil, err
		}
	}
	if ctx.Err() != nil {
		return none, nil, newRefusal(KindDeadline, http.StatusGatewayTimeout, "the deadline passed before the request started")
	}
	choice, ok := j.pick(ctx)
	if !ok {
		err := newRefusal(KindNoTarget, http.StatusServiceUnavailable, "no target of %s can take the request", j.in.service)
		err.RetryAfter = defaultRetryAfter
		return none, nil, err
	}
	release, refusal := j.f.cfg.Admission.Admit(camphorhinge.AdmitRequest{
		Workspace: j.in.workspace.Name, Service: j.in.service, Priority: j.in.priority,
		Tokens: j.route.Prompt + j.route.Output, Expected: choice.Expected, Deadline: j.route.Deadline,
	})
	if refusal != nil {
		kind, status := Kind(refusal.Kind), http.StatusServiceUnavailable
		if kind == KindLimit {
			status = http.StatusTooManyRequests
		}
		err := newRefusal(kind, status, "%s", refusal.Message)
		err.RetryAfter = refusal.RetryAfter
		return none, nil, err
	}
	return choice, release, nil
}

// pick updates the time left and asks the router for the next target.
func (j *job) pick(ctx context.Context) (camphorhinge.RouteChoice, bool) {
	j.route.Deadline = math.MaxInt64
	if d, ok := ctx.Deadline(); ok {
		j.route.Deadline = time.Until(d)
	}
	choice, ok := j.f.cfg.Router.Pick(j.route)
	if ok {
		j.f.cfg.Decisions.Record("route", string(j.in.id), choice.Reason, map[string]string{
			"target": string(choice.Target.Name), "expected": choice.Expected.String(),
			"attempt": strconv.Itoa(j.attempts + 1),
		})
	}
	return choice, ok
}

// nextAttempt returns the target of a retry after a failed attempt, or the Error for the caller if there is none. rerun
// reports whether the request may run a second time.
func (j *job) nextAttempt(
	ctx context.Context, failure error, target *camphorhinge.Target, rerun bool,
) (camphorhinge.RouteChoice, *Error) {
	var none camphorhinge.RouteChoice
	e := attemptError(failure)
	if e.Run != camphorhinge.NotRun {
		j.mayHaveRun = true
	}
	class := camphorhinge.NotRun
	switch {
	case e.Kind == exchange.KindStatus && e.Run == camphorhinge.Run:
		class = camphorhinge.Run
	case j.mayHaveRun:
		class = camphorhinge.Unknown
	}
	if isFinal(e) || ended(ctx) || j.attempts >= maxAttempts {
		return none, callerError(failure, class)
	}
	if e.Run != camphorhinge.NotRun {
		if !rerun || !j.f.cfg.Admission.Retry() || !j.waitJitter(ctx) {
			return none, callerError(failure, class)
		}
	}
	if !slices.Contains(j.route.Exclude, target.Name) {
		j.route.Exclude = append(slices.Clone(j.route.Exclude), target.Name)
	}
	choice, ok := j.pick(ctx)
	if !ok && e.Run != camphorhinge.NotRun {
		// Only targets whose connection failed are left; they may work on a new connection.
		j.route.Exclude = nil
		choice, ok = j.pick(ctx)
	}
	if !ok {
		return none, callerError(failure, class)
	}
	j.f.meters.retries.Inc()
	j.f.cfg.Decisions.Record("retry", string(j.in.id), string(e.Kind), map[string]string{
		"from": string(target.Name), "to": string(choice.Target.Name), "run": string(e.Run),
	})
	return choice, nil
}

// ended reports whether ctx has ended or its deadline has come. A read that times out at the deadline may return before the
// timer of ctx expires.
func ended(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(d) <= 0
}

// isFinal reports whether a retry at another target can't change the outcome.
func isFinal(e *exchange.Error) bool {
	switch e.Kind {
	case exchange.KindCallerLeft, exchange.KindDeadline, exchange.KindBody, exchange.KindMemory:
		return true
	case exchange.KindStatus:
		return e.Run == camphorhinge.Run
	case exchange.KindRefused:
		return isRequestFault(e.Status)
	}
	return false
}

// isRequestFault reports whether a status means that the request itself is at fault.
func isRequestFault(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType,
		http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// waitJitter waits for the random delay before a retry; it returns false if the context ends first.
func (j *job) waitJitter(ctx context.Context) bool {
	source, ok := j.f.cfg.Admission.(jitterer)
	if !ok {
		return true
	}
	t := time.NewTimer(source.Jitter())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attemptError returns the *exchange.Error of a failed attempt.
func attemptError(err error) *exchange.Error {
	var e *exchange.Error
	if errors.As(err, &e) {
		return e
	}
	return &exchange.Error{Op: "attempt", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown, Err: err}
}

// leg is one exchange with one target, whose end is reported to the router and the quarantine. An attempt that is
// resumed or moved has several legs with the same attempt id.
type leg struct {
	choice      camphorhinge.RouteChoice
	attempt     camphorhinge.AttemptID
	began       time.Time
	firstEvent  time.Duration
	events      camphorhinge.Tokens
	endRoute    func(camphorhinge.AttemptResult)
	endInFlight func(crashed, succeeded bool)
}

// beginLeg starts a leg whose target computes the prefill.
func (j *job) beginLeg(choice camphorhinge.RouteChoice, attempt camphorhinge.AttemptID) *leg {
	return j.newLeg(choice, attempt, j.f.cfg.Router.StartAttempt(choice, j.route))
}

// newLeg starts a leg that ends with a call of endRoute, the function that the router returned for it.
func (j *job) newLeg(
	choice camphorhinge.RouteChoice, attempt camphorhinge.AttemptID, endRoute func(camphorhinge.AttemptResult),
) *leg {
	l := &leg{choice: choice, attempt: attempt, began: time.Now(), endRoute: endRoute, endInFlight: func(bool, bool) {}}
	if q := j.f.cfg.Quarantine; q != nil {
		l.endInFlight = q.Begin(choice.Target, j.fingerprint, j.anyCaller, j.crashSegments()...)
	}
	return l
}

// end reports the end of the leg; err is nil for a complete answer. Later calls have no effect.
func (l *leg) end(err error) { l.finish(err, false) }

// endMoved reports the end of a leg whose answer continues in another leg.
func (l *leg) endMoved() { l.finish(nil, true) }

func (l *leg) finish(err error, moved bool) {
	if l.endRoute == nil {
		return
	}
	r := camphorhinge.AttemptResult{Class: camphorhinge.Run, FirstByte: l.firstEvent, Output: l.events, Moved: moved}
	crashed := false
	if err != nil {
		e := attemptError(err)
		r.Class, crashed = e.Run, e.Reset
		switch e.Kind {
		case exchange.KindConnect, exchange.KindCut, exchange.KindSilent, exchange.KindProtocol:
			r.Failed = true
		case exchange.KindStatus:
			r.Failed = e.Status >= http.StatusInternalServerError
		}
	}
	l.endRoute(r)
	l.endInFlight(crashed, err == nil)
	l.endRoute = nil
}

// cancel asks the target, in the background, to end an attempt whose answer is no longer needed.
func (j *job) cancel(l *leg) {
	target, attempt := l.choice.Target, l.attempt
	j.f.runInBackground(func(ctx context.Context) error { return j.f.cfg.Exchange.Cancel(ctx, target, attempt) })
}
