package server

import (
	"context"
	"time"
)

const (
	// reliefInterval is the time between two looks at whether the leader is late.
	reliefInterval = 500 * time.Millisecond
	// lateRun is the delay of a run of the placement queue from which a node counts as late. The leader sends a heartbeat each
	// 100 ms.
	lateRun = 100 * time.Millisecond
	// lateLooks is the number of looks in a row at which a leader must be late to hand leadership over.
	lateLooks = 2
	// reliefPause is the least time between two attempts to hand leadership over.
	reliefPause = 5 * time.Second
)

// relief decides when a leader that also places requests hands leadership over because it has too little processor time for both:
// commands of the operator would wait behind placements, and the other voters would elect another leader.
type relief struct {
	late int
	// pausedUntil is the time before which leadership is not handed over again.
	pausedUntil time.Time
}

// due records whether the leader was late in the last interval, and reports whether it must hand leadership over now.
func (r *relief) due(now time.Time, leads bool, late time.Duration) bool {
	if !leads || late < lateRun {
		r.late = 0
		return false
	}
	r.late++
	if r.late < lateLooks || now.Before(r.pausedUntil) {
		return false
	}
	r.late, r.pausedUntil = 0, now.Add(reliefPause)
	return true
}

// runRelief hands leadership over while this node is too late with placements, until ctx ends.
func (c *Core) runRelief(ctx context.Context) error {
	ticker := time.NewTicker(reliefInterval)
	defer ticker.Stop()
	var r relief
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			_, leads := c.durable.replica.Authority()
			if late := c.scheduler.TakeLateness(); r.due(now, leads, late) {
				c.log.Warn("leadership handed over, since placements take the processor's time", "late_ms", late.Milliseconds())
				c.durable.transferLeadership()
			}
		}
	}
}
