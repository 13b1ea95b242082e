package feed

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/camphorhinge"
)

const (
	// confirmInterval is the time between the starts of two reads of the newest version.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout bounds a read. A leader that takes longer may be lost; the next read then looks for another one.
	confirmTimeout = time.Second
	// applyInterval is the time between two checks whether the version that was read has been applied.
	applyInterval = 20 * time.Millisecond
)

// ConfirmerConfig holds the dependencies of a Confirmer.
type ConfirmerConfig struct {
	// Newest reads the newest committed version of the configuration from the leader. The read must be linearizable.
	Newest func(ctx context.Context) (camphorhinge.Version, error)
	// Applied returns the version that this core node has applied; it never decreases.
	Applied func() camphorhinge.Version
	Clock   camphorhinge.Clock
	Log     *slog.Logger
}

// Confirmer determines at what time a core node's configuration was certainly the newest.
type Confirmer struct {
	cfg ConfirmerConfig
	at  atomic.Int64
}

// NewConfirmer returns a Confirmer that has confirmed nothing.
func NewConfirmer(cfg ConfirmerConfig) *Confirmer { return &Confirmer{cfg: cfg} }

// At returns the latest time for which each version that was committed by then has been applied, or 0 if there is none.
func (c *Confirmer) At() camphorhinge.Instant { return camphorhinge.Instant(c.at.Load()) }

// Age returns the time since At in seconds, or -1 if there is none.
func (c *Confirmer) Age() float64 {
	at := c.At()
	if at == 0 {
		return -1
	}
	return c.cfg.Clock.Now().Sub(at).Seconds()
}

// Run reads the newest version at intervals until ctx ends. The first read does not wait for a timer: timers of duration 0 that expire in
// several goroutines of a synctest bubble at once crash the race detector of Go 1.26.
func (c *Confirmer) Run(ctx context.Context) error {
	for {
		began := time.Now()
		if err := c.confirm(ctx); err != nil {
			c.cfg.Log.Debug("newest version of the configuration not read", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(confirmInterval - time.Since(began)):
		}
	}
}

// confirm reads the newest version and waits until it has been applied. The time that counts is that before the read, since a version
// may be committed as soon as the leader has answered.
func (c *Confirmer) confirm(ctx context.Context) error {
	at := c.cfg.Clock.Now()
	readCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	newest, err := c.cfg.Newest(readCtx)
	if err != nil {
		return err
	}
	for c.cfg.Applied() < newest {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(applyInterval):
		}
	}
	c.at.Store(int64(at))
	return nil
}
