package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
)

// confirmDelay is the time for which announcements to be confirmed are collected, so that a release with many leaving targets takes few
// calls.
const confirmDelay = 10 * time.Millisecond

var (
	errNotHeld = errors.New("not held by enough other nodes")
	errUnknown = errors.New("the target is not known")
)

// confirmations collects the announcements whose senders wait until other nodes hold them.
type confirmations struct {
	mu sync.Mutex
	// open is the batch that collects announcements, or nil.
	open  *confirmation
	group errgroup.Group
}

// confirmation is a batch of announcements. reached is closed once enough other nodes hold it, or none is left to answer; err is then set
// if they are too few.
type confirmation struct {
	holders int
	batch   []registry.Aged
	reached chan struct{}
	err     error
}

// Confirm returns nil once the given number of other nodes, or all of them if there are fewer, hold what this node has recorded of a
// target.
func (s *Service) Confirm(ctx context.Context, name camphorhinge.TargetName, holders int) error {
	a, ok := s.cfg.Registry.Recorded(name)
	if !ok {
		return fmt.Errorf("%w: %s", errUnknown, name)
	}
	c := s.join(a, holders)
	select {
	case <-c.reached:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join adds an announcement to the open batch, or begins one.
func (s *Service) join(a registry.Aged, holders int) *confirmation {
	s.confirmations.mu.Lock()
	defer s.confirmations.mu.Unlock()
	c := s.confirmations.open
	if c == nil {
		c = &confirmation{reached: make(chan struct{})}
		s.confirmations.open = c
		s.confirmations.group.Go(func() error {
			time.Sleep(confirmDelay)
			s.close(c)
			s.sendConfirmation(c)
			return nil
		})
	}
	c.batch, c.holders = append(c.batch, a), max(c.holders, holders)
	if len(c.batch) >= maxBatch {
		s.confirmations.open = nil
	}
	return c
}

// close ends the collection of a batch.
func (s *Service) close(c *confirmation) {
	s.confirmations.mu.Lock()
	defer s.confirmations.mu.Unlock()
	if s.confirmations.open == c {
		s.confirmations.open = nil
	}
}

// sendConfirmation sends a batch to all other nodes at once. It returns when all have answered or batchTimeout has passed.
func (s *Service) sendConfirmation(c *confirmation) {
	others := s.cfg.Others()
	needed := min(c.holders, len(others))
	if needed == 0 {
		close(c.reached)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	req := s.encodeAnnouncements(c.batch)
	results := make(chan error, len(others))
	var calls errgroup.Group
	for _, address := range others {
		calls.Go(func() error {
			_, err := s.cfg.Pool.Get(address).Spread.Announce(ctx, req)
			results <- err
			return nil
		})
	}
	held := 0
	var errs []error
	for range others {
		if err := <-results; err != nil {
			errs = append(errs, err)
			s.failed.Inc()
			continue
		}
		if held++; held == needed {
			close(c.reached)
		}
	}
	if held < needed {
		c.err = fmt.Errorf("%w: %d of %d: %w", errNotHeld, held, needed, errors.Join(errs...))
		close(c.reached)
	}
	_ = calls.Wait() // The functions return no error.
}
