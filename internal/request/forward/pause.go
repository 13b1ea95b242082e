package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"example.org/camphorhinge/internal/request/place"
)

const (
	// maxPauseShare is the largest share of a request's remaining time that it waits for targets that want a pause.
	maxPauseShare = 0.5
	// maxPauseSpread bounds the random time for which a request waits longer than the pause, so that the requests that wait do
	// not reach the targets all at once.
	maxPauseSpread = 500 * time.Millisecond
)

// pauseLeft returns the time until the first of the targets that may serve the request ends its pause, or 0 if they don't all
// seem to want one. It is certain if all have asked for a pause.
func (j *job) pauseLeft() (left time.Duration, certain bool) {
	req := place.Request{Service: j.service.Name, Engine: j.service.Engine}
	if j.origin != nil {
		req.Software = &j.origin.Software
	}
	return j.f.cfg.Placer.PauseLeft(j.f.cfg.Targets.Live(j.service.Name), req)
}

// awaitPause waits until one of the targets ends its pause if all that may serve the request want one, and if that takes no more
// than maxPauseShare of the time that is left. It reports whether a target may be chosen again.
func (j *job) awaitPause(ctx context.Context) bool {
	wait, certain := j.pauseLeft()
	deadline, ok := ctx.Deadline()
	if !certain || wait <= 0 || !ok {
		return false
	}
	most := time.Duration(maxPauseShare * float64(time.Until(deadline)))
	if wait > most {
		return false
	}
	wait += time.Duration(rand.Float64() * float64(min(most-wait, maxPauseSpread))) //nolint:gosec // It spreads load; needs no secrecy.
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
