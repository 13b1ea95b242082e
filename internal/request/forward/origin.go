package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/origin"
)

const (
	// originRetryAfter is the Retry-After of a continued stream without a record: one that was held up arrives soon.
	originRetryAfter = time.Second
	// versionRetryAfter is the Retry-After of a continued stream without a target of its version: one that crashed is back, or
	// another has changed its role, after some seconds.
	versionRetryAfter = 2 * time.Second
	// maxVersionWait bounds the wait for a target of the version that began a stream; callers take a longer pause in a stream
	// for its end.
	maxVersionWait = 2 * time.Second
	// refusalPause is the pause after which a target that refused a continued stream is asked again.
	refusalPause = 400 * time.Millisecond
	// originMargin is the time for which an origin is needed in addition to the time that the caller waits for its stream.
	originMargin = time.Second
)

// Outcomes of continued streams in metrics.
const (
	// outcomeContinued marks a stream that a target began to continue.
	outcomeContinued = "continued"
	// outcomeNoTarget marks a stream without a target of the version that began it.
	outcomeNoTarget = "no_target"
	// outcomeUnknown marks a stream of which is not known where it began.
	outcomeUnknown = "unknown"
	// outcomeNotRouted marks a stream that began at a service to which the route no longer leads.
	outcomeNotRouted = "not_routed"
)

// continues reports whether the caller continues a stream that it has received in part.
func (j *job) continues() bool { return j.route.Stream && j.info.LastEventID != "" }

// chooseService chooses the service for a request: by the shares of the route, or for a stream that the caller continues the
// one where it began.
func (j *job) chooseService(ctx context.Context, index *routing.Index) *Error {
	name := j.route.Pick(rand.Float64()) //nolint:gosec // A traffic split needs no cryptographic randomness.
	if j.continues() {
		from, err := j.resolveOrigin(ctx)
		if err != nil {
			return err
		}
		name, j.origin = from.Service, &from
	}
	if j.service = index.Service(name); j.service == nil {
		return newUnavailable(KindNoConfiguration, configurationRetryAfter, "service %s is not configured", name)
	}
	return nil
}

// resolveOrigin returns where the stream that the caller continues began. It returns an Error if that is not known, or the
// route does not lead there any more.
func (j *job) resolveOrigin(ctx context.Context) (origin.Origin, *Error) {
	var key origin.Key
	if j.info.Resumes != "" {
		key = origin.KeyOf(j.info.Resumes)
	}
	var only camphorhinge.ServiceName
	if len(j.route.Shares) == 1 {
		only = j.route.Shares[0].Service
	}
	from, ok := j.f.cfg.Origins.ResolveOrigin(ctx, key, only, j.originTime())
	if !ok {
		j.f.meters.recordContinued(only, outcomeUnknown)
		return from, newUnavailable(KindNoOrigin, originRetryAfter, "it is not known at which software version stream %s began", j.info.Resumes)
	}
	for _, s := range j.route.Shares {
		if s.Service == from.Service && s.Weight > 0 {
			return from, nil
		}
	}
	j.f.meters.recordContinued(from.Service, outcomeNotRouted)
	return from, newUnavailable(KindNoOrigin, versionRetryAfter, "the stream began at service %s, to which the route no longer leads", from.Service)
}

// originTime returns the time within which the caller's stream began or may be continued.
func (j *job) originTime() time.Duration {
	return max(2*j.route.Timeout, j.info.Timeout) + originMargin
}

// recordOrigin records where a stream that may be continued begins, before it is sent there.
func (j *job) recordOrigin(t *camphorhinge.Target) {
	if !j.route.Stream || j.route.Retry != routing.RetryResume || j.headerSent {
		return
	}
	from := origin.Origin{Service: j.service.Name, Software: t.Software}
	j.originTries++
	switch {
	case !j.continues():
		j.f.cfg.Origins.RecordOrigin(origin.KeyOf(j.info.Attempt), from, j.originTries, j.originTime())
	case j.info.Resumes != "" && j.originTries == 1:
		j.f.cfg.Origins.RecordOrigin(origin.KeyOf(j.info.Resumes), from, 0, j.originTime())
	}
}

// pinOrigin records that the target of the current plan sends the first event, so that only targets of its version may
// continue the stream.
func (j *job) pinOrigin() {
	if j.origin == nil {
		j.origin = &origin.Origin{Service: j.service.Name, Software: j.plan.Serve.Software}
		return
	}
	j.f.meters.recordContinued(j.service.Name, outcomeContinued)
}

// awaitVersion waits, once, for another target that may continue the stream, while its version is in service: a target that
// crashed comes back, and engines change their roles. After a refusal, the same target will do after refusalPause. last is the
// error of the attempt before, or nil. It reports whether there is a target.
func (j *job) awaitVersion(ctx context.Context, last *exchange.Error) bool {
	if j.origin == nil || j.versionAwaited {
		return false
	}
	j.versionAwaited = true
	refused, began := last != nil && last.Kind == exchange.KindRefused, j.f.cfg.Clock.Now()
	waitCtx, cancel := context.WithTimeout(ctx, maxVersionWait)
	defer cancel()
	ticker := time.NewTicker(startupPollInterval)
	defer ticker.Stop()
	for {
		inService := false
		for _, t := range j.f.cfg.Targets.Live(j.service.Name) {
			if t.Software != j.origin.Software {
				continue
			}
			inService = true
			again := refused && j.f.cfg.Clock.Now().Sub(began) >= refusalPause
			if t.Serving && t.Role != camphorhinge.RolePrefill && (again || !slices.Contains(j.exclude, t.Name)) {
				return true
			}
		}
		if !inService {
			return false
		}
		select {
		case <-waitCtx.Done():
			return false
		case <-ticker.C:
		}
	}
}
