package command

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// leavePollInterval is the time between two looks at the work of a leaving stand-in.
	leavePollInterval = 20 * time.Millisecond
	// leaveFlushTime is the time for which a stand-in without work sends the rest of its last answers; its end resets
	// connections.
	leaveFlushTime = 300 * time.Millisecond
)

// target is a stand-in that can leave before it ends.
type target interface {
	Run(ctx context.Context) error
	Leave(leaving bool)
	Running() int
}

func leaveFlag(cmd *kingpin.CmdClause) *time.Duration {
	return cmd.Flag("leave", "On SIGTERM announce that it leaves, and end once this time has passed and running work has ended; "+
		"0 ends at once.").Duration()
}

// runTarget runs t until ctx ends, or with leave for as much longer as leaving takes.
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
