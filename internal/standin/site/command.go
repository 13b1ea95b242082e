package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge/internal/state/consensus"
)

// commandPause is the time between two attempts to propose a command.
const commandPause = 100 * time.Millisecond

// lease is what the leader knows of its followers: a leader without answers of a majority in time commits nothing.
type lease struct {
	mu sync.Mutex
	// answered is when the latest heartbeat that a follower answered was sent, by the follower's name.
	answered map[string]time.Time
}

// record records the answer of a follower to a heartbeat.
func (l *lease) record(follower string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.answered[follower]) {
		l.answered[follower] = sent
	}
}

// valid reports whether a majority of the given number of core nodes, the leader included, has answered in time.
func (l *lease) valid(cores int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	have := 1
	for _, sent := range l.answered {
		if time.Since(sent) < consensus.DefaultTiming().Lease {
			have++
		}
	}
	return have > cores/2
}

// runHeartbeats sends the heartbeats of the leader until the site ends.
func (s *Site) runHeartbeats() {
	for s.ctx.Err() == nil {
		leader, sent := s.leader(), time.Now()
		for _, follower := range s.cores {
			if follower == leader {
				continue
			}
			s.group.Go(func() error {
				ctx, cancel := context.WithTimeout(s.ctx, time.Second)
				defer cancel()
				if s.store(ctx, leader, follower) == nil {
					s.lease.record(follower.name, sent)
				}
				return nil
			})
		}
		sleep(s.ctx, consensus.DefaultTiming().Heartbeat)
	}
}

// Command sends a command of the operator to a core node, which passes it on to the leader, and returns when a majority of the
// core nodes has stored it or ctx ends.
func (s *Site) Command(ctx context.Context, at int) error {
	receiver, leader := s.cores[at], s.leader()
	if err := receiver.work(ctx, callWork); err != nil {
		return err
	}
	for {
		if leader != receiver {
			if err := (remoteFeed{core: leader, from: []*gate{&receiver.link}}).cross(ctx); err != nil {
				return err
			}
		}
		if err := leader.work(ctx, callWork); err != nil {
			return err
		}
		if s.lease.valid(len(s.cores)) {
			break
		}
		sleep(ctx, commandPause)
	}
	if err := s.replicate(ctx, leader); err != nil {
		return err
	}
	return (remoteFeed{core: receiver, from: []*gate{&leader.link}}).cross(ctx)
}

// replicate returns when a majority of the core nodes has stored a command of the leader.
func (s *Site) replicate(ctx context.Context, leader *core) error {
	followers := slices.DeleteFunc(slices.Clone(s.cores), func(c *core) bool { return c == leader })
	stored := make(chan error, len(followers))
	for _, follower := range followers {
		s.group.Go(func() error {
			stored <- s.store(ctx, leader, follower)
			return nil
		})
	}
	for have := 1; have <= len(s.cores)/2; {
		select {
		case err := <-stored:
			if err == nil {
				have++
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// store sends a message of the leader to a follower, whose answer the leader reads.
func (s *Site) store(ctx context.Context, leader, follower *core) error {
	if err := (remoteFeed{core: follower, from: []*gate{&leader.link}}).cross(ctx); err != nil {
		return err
	}
	if err := follower.work(ctx, callWork); err != nil {
		return err
	}
	if err := (remoteFeed{core: leader, from: []*gate{&follower.link}}).cross(ctx); err != nil {
		return err
	}
	return leader.work(ctx, callWork)
}
