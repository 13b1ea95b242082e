package command

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// leavePollInterval is the time between two checks whether a leaving stand-in still has running work.
	leavePollInterval = 20 * time.Millisecond
	// leaveFlushTime is how long a stand-in whose work has ended keeps running to send the rest of its last responses,
	// since its exit resets connections.
	leaveFlushTime = 300 * time.Millisecond
)

// target is a stand-in for a target that can leave the fleet before it ends.
type target interface {
	Run(ctx context.Context) error
	Leave(leaving bool)
	Running() int
}

func leaveFlag(cmd *kingpin.CmdClause) *time.Duration {
	return cmd.Flag("leave", "On SIGTERM, announce that the target leaves, and end once this time has passed and running work has ended; "+
		"0 ends at once.").Duration()
}

// runTarget runs t until ctx ends. If leave is positive, t then leaves: it runs for at least that time longer, and
// until its running work has ended.
func runTarget(ctx context.Context, t target, leave time.Duration) error {
	if leave <= 0 {
		return t.Run(ctx)
	}
	g, run := errgroup.WithContext(context.WithoutCancel(ctx))
	run, stop := context.WithCancel(run)
	defer stop()
	g.Go(func() error { return t.Run(run) })
	g.Go(func() error {
		defer stop()
		select {
		case <-run.Done():
			return nil
		case <-ctx.Done():
		}
		t.Leave(true)
		for wait := leave; wait > 0; {
			select {
			case <-run.Done():
				return nil
			case <-time.After(wait):
			}
			if wait = 0; t.Running() > 0 {
				wait = leavePollInterval
			}
		}
		time.Sleep(leaveFlushTime)
		return nil
	})
	return g.Wait()
}
