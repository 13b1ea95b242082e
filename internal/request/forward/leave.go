package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
)

// leaveCheckInterval is the time between two checks whether a target leaves before it will answer. The provider gives a notice of a few
// seconds.
const leaveCheckInterval = 250 * time.Millisecond

// errLeavesBefore marks an attempt that was ended because its target leaves before it would answer.
var errLeavesBefore = errors.New("the target leaves before it would answer")

// States of a leaveWatch.
const (
	watching int32 = iota
	answering
	moved
)

// leaveWatch ends an attempt that waits for the answer of a target that will have left before.
type leaveWatch struct {
	state  atomic.Int32
	cancel context.CancelFunc
}

// watchLeave returns the context of an attempt that may run the request, or of a separate prefill, which does not. It ends if the target
// announces a time left that is shorter than the expected time to the answer, another target serves, and a further attempt is allowed,
// which is then reserved. stop must be called when the attempt has ended.
func (j *job) watchLeave(ctx context.Context, t *camphorhinge.Target, prefill bool) (context.Context, *leaveWatch) {
	w := &leaveWatch{cancel: func() {}}
	again := prefill || j.runs+1 < j.maxRuns() && j.isRetryable(&exchange.Error{Kind: exchange.KindCut, Run: camphorhinge.Unknown})
	// Only reclaimable targets leave before their requests have ended.
	if !t.Spot || !again {
		return ctx, w
	}
	ctx, w.cancel = context.WithCancel(ctx)
	answerAt := j.placedAt.Add(j.plan.Expected)
	var check func()
	check = func() {
		if ctx.Err() != nil || w.state.Load() != watching {
			return
		}
		if !j.leavesBefore(t, answerAt) {
			time.AfterFunc(leaveCheckInterval, check)
			return
		}
		if j.f.cfg.Budget.TryAcquire(j.f.cfg.Clock.Now(), j.service.Name, j.f.cfg.Nodes()) && w.state.CompareAndSwap(watching, moved) {
			w.cancel()
		}
	}
	time.AfterFunc(leaveCheckInterval, check)
	return ctx, w
}

// leavesBefore reports whether a target leaves before the given time while another one serves.
func (j *job) leavesBefore(t *camphorhinge.Target, at camphorhinge.Instant) bool {
	leaves, others := false, false
	for _, x := range j.f.cfg.Targets.Live(j.service.Name) {
		switch {
		case x.Name == t.Name:
			leaves = x.Incarnation == t.Incarnation && x.Leaving && x.LeavesIn > 0 &&
				x.ReportedAt.Add(time.Duration(x.LeavesIn)*time.Millisecond) < at
		case x.Serving && x.Role != camphorhinge.RolePrefill:
			others = true
		}
	}
	return leaves && others
}

// answers records that the target has begun to answer. It returns false if the attempt was ended before.
func (w *leaveWatch) answers() bool {
	return w.state.CompareAndSwap(watching, answering) || w.state.Load() == answering
}

// stop ends the watch. It returns the error of the attempt, which is err unless the watch has ended the attempt.
func (j *job) stop(w *leaveWatch, err *exchange.Error) *exchange.Error {
	w.cancel()
	if err == nil || w.state.Load() != moved {
		return err
	}
	j.retryReserved = true
	run := camphorhinge.Unknown
	if err.Run == camphorhinge.NotRun {
		run = err.Run
	}
	return &exchange.Error{Op: "leave", Kind: exchange.KindCut, Run: run, Err: errLeavesBefore}
}
