package forward

import (
	"context"
	"time"

	"example.org/camphorhinge/internal/record/routing"
)

const (
	// configurationStartup is how long after its start a node usually has the configuration: core nodes that restarted at the
	// same time elect a leader first.
	configurationStartup = time.Second
	// targetStartup is how long after its start a node usually knows all targets, which announce themselves about each second.
	targetStartup = 2 * time.Second
	// maxStartupShare is the part of its caller's time for which a request may wait for either.
	maxStartupShare = 0.5
	// startupPollInterval is the time between two looks.
	startupPollInterval = 50 * time.Millisecond
)

// awaitConfiguration returns the configuration in force. Shortly after the start of the node a request waits for it, if its caller has
// the time; otherwise the caller is told when to come again.
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

// awaitTarget waits for the first live target of the service, and reports whether there is one.
func (j *job) awaitTarget(ctx context.Context) bool {
	live := func() bool { return len(j.f.cfg.Targets.Live(j.service.Name)) > 0 }
	return !live() && j.awaitStartup(ctx, targetStartup, live)
}

// startupTimeLeft returns the time that is left of the given one since the node's start.
func (j *job) startupTimeLeft(within time.Duration) time.Duration {
	return j.f.cfg.Started.Add(within).Sub(j.f.cfg.Clock.Now())
}

// awaitStartup waits until ready reports true, if that is likely within the given time since the node's start and leaves the caller
// enough of its own. It reports whether ready did.
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
