package forward

import (
	"context"
	"time"

	"example.org/camphorhinge/internal/record/routing"
)

const (
	// configurationStartup is the time after its start within which a node usually has the configuration. It covers the
	// election of a leader by core nodes that restarted at the same time.
	configurationStartup = time.Second
	// targetStartup is the time after its start within which a node usually has all targets, which announce themselves
	// about every second.
	targetStartup = 2 * time.Second
	// maxStartupShare is the largest share of the caller's remaining timeout that a request may wait for either.
	maxStartupShare = 0.5
	// startupPollInterval is the time between two checks while a request waits.
	startupPollInterval = 50 * time.Millisecond
)

// awaitConfiguration returns the configuration in force. Shortly after the start of the node it waits for one, if the
// caller's timeout allows; otherwise it returns an Error with a RetryAfter.
func (j *job) awaitConfiguration(ctx context.Context) (*routing.Index, *Error) {
	f := j.f
	x := f.cfg.Index()
	if x == nil && j.awaitStartup(ctx, configurationStartup, func() bool { return f.cfg.Index() != nil }) {
		x = f.cfg.Index()
	}
	if x == nil {
		return nil, newUnavailable(KindNoConfiguration, max(j.startupTimeLeft(configurationStartup), configurationRetryAfter), "this node has no configuration yet")
	}
	return x, nil
}

// awaitTarget waits, shortly after the start of the node, for the first live target of the service. It reports whether
// the wait ended with one; it returns false at once if there is a target already.
func (j *job) awaitTarget(ctx context.Context) bool {
	live := func() bool { return len(j.f.cfg.Targets.Live(j.service.Name)) > 0 }
	return !live() && j.awaitStartup(ctx, targetStartup, live)
}

// startupTimeLeft returns how much remains of a period that began with the node's start; it is negative afterwards.
func (j *job) startupTimeLeft(within time.Duration) time.Duration {
	return j.f.cfg.Started.Add(within).Sub(j.f.cfg.Clock.Now())
}

// awaitStartup polls ready until it reports true, the context ends or the period within, counted from the node's start,
// is over; it reports whether ready did. It returns false at once when the period is over already, when its rest would
// take more than maxStartupShare of the caller's remaining timeout, or when the caller stated no timeout.
func (j *job) awaitStartup(ctx context.Context, within time.Duration, ready func() bool) bool {
	rest := j.startupTimeLeft(within)
	left := j.info.Timeout - j.f.cfg.Clock.Now().Sub(j.began)
	if rest <= 0 || rest > time.Duration(maxStartupShare*float64(left)) {
		return false
	}
	timer, ticker := time.NewTimer(rest), time.NewTicker(startupPollInterval)
	defer timer.Stop()
	defer ticker.Stop()
	for !ready() {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return ready()
		case <-ticker.C:
		}
	}
	return true
}
