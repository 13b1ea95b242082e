package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

const (
	// retryPause is the mean pause before another node is asked for the leader, in a random range of half to one and a half.
	retryPause = 60 * time.Millisecond
	// defaultTimeout bounds calls whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// attemptTimeout bounds one call that does not wait for a change to be in force.
	attemptTimeout = 2 * time.Second
)

// Client calls the leader from any node; it implements camphorhinge.Proposer.
type Client struct {
	pool *peer.Pool
	// addresses returns the peer addresses at which a leader may be found.
	addresses func() []string

	mu     sync.Mutex
	leader string
	next   int
}

// NewClient returns a Client.
func NewClient(pool *peer.Pool, addresses func() []string) *Client {
	return &Client{pool: pool, addresses: addresses}
}

// Leader returns the address that answered as the leader last, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// target returns the address to call next.
func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	all := c.addresses()
	if len(all) == 0 {
		return ""
	}
	c.next++
	return all[c.next%len(all)]
}

// moved notes that address is not the leader, and which one may be.
func (c *Client) moved(address, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address || c.leader == "" {
		c.leader = ""
		if hint != address {
			c.leader = hint
		}
	}
}

func (c *Client) found(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// verdict is how one call to one node ended.
type verdict struct {
	outcome string
	// hint is the leader's address as the node knows it.
	hint    string
	message string
}

// lead calls each candidate until one answers as the leader. Call returns an error only when no answer came.
func (c *Client) lead(ctx context.Context, op string, call func(context.Context, *peer.Conn) (verdict, error)) error {
	ctx, cancel := bounded(ctx)
	defer cancel()
	last := errors.New("no leader known")
	for ctx.Err() == nil {
		address := c.target()
		if address == "" {
			if !pause(ctx) {
				break
			}
			continue
		}
		v, err := call(ctx, c.pool.Get(address))
		switch {
		case err != nil && !neverSent(err):
			c.moved(address, "")
			return &Error{Op: op, Kind: KindUncertain, Err: err}
		case err != nil:
			last = err
			c.moved(address, "")
		case v.outcome == OutcomeDone:
			c.found(address)
			return nil
		case v.outcome == OutcomeUncertain:
			return &Error{Op: op, Kind: KindUncertain, Err: errors.New(v.message)}
		case v.outcome == OutcomeRefused:
			return &Error{Op: op, Kind: KindRefused, Err: errors.New(v.message)}
		case v.outcome == OutcomeRedirect:
			last = errors.New("not the leader: " + address)
			if v.message != "" {
				last = fmt.Errorf("%w: %s", last, v.message)
			}
			c.moved(address, v.hint)
		default:
			// Only a redirect promises that nothing was done; an empty body decodes to an answer without an outcome.
			c.moved(address, "")
			return &Error{Op: op, Kind: KindUncertain, Err: fmt.Errorf("%s answered with the outcome %q", address, v.outcome)}
		}
		if !pause(ctx) {
			break
		}
	}
	return &Error{Op: op, Kind: KindUnavailable, Err: last}
}

// bounded returns ctx with a deadline.
func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// pause waits a random time and reports whether ctx still runs.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause/2 + time.Duration(rand.Int64N(int64(retryPause)))) //nolint:gosec // Jitter needs no secrecy.
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// neverSent reports whether a call failed before its connection was open.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Propose commits a command by way of the leader.
func (c *Client) Propose(ctx context.Context, kind camphorhinge.CommandKind, command []byte) ([]byte, error) {
	var result []byte
	err := c.lead(ctx, "propose", func(ctx context.Context, conn *peer.Conn) (verdict, error) {
		left := attemptTimeout
		if deadline, ok := ctx.Deadline(); ok {
			left = time.Until(deadline)
		}
		resp, err := conn.Control.Propose(ctx, &peerpb.ProposeRequest{
			Kind: uint32(kind), Command: command, Timeout: uint64(max(left.Milliseconds(), 1)),
		})
		if err != nil {
			return verdict{}, err
		}
		result = resp.GetResult()
		return verdict{outcome: resp.GetOutcome(), hint: resp.GetLeader(), message: resp.GetMessage()}, nil
	})
	return result, err
}

// Read answers a linearizable query. A read has no effect, so an answer that was lost is asked for again.
func (c *Client) Read(ctx context.Context, query string, args []byte) ([]byte, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	for {
		var result []byte
		err := c.lead(ctx, "read", func(ctx context.Context, conn *peer.Conn) (verdict, error) {
			ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			resp, err := conn.Control.Read(ctx, &peerpb.ReadRequest{Query: query, Args: args})
			if err != nil {
				return verdict{}, err
			}
			result = resp.GetResult()
			return verdict{outcome: resp.GetOutcome(), hint: resp.GetLeader(), message: string(resp.GetResult())}, nil
		})
		if errors.Is(err, camphorhinge.ErrUncertain) && pause(ctx) {
			continue
		}
		return result, err
	}
}

// Join asks the leader to add a node with its replica.
func (c *Client) Join(ctx context.Context, req *peerpb.JoinRequest) (cluster string, err error) {
	err = c.lead(ctx, "join", func(ctx context.Context, conn *peer.Conn) (verdict, error) {
		resp, err := conn.Control.Join(ctx, req)
		if err != nil {
			return verdict{}, err
		}
		cluster = resp.GetCluster()
		return verdict{outcome: resp.GetOutcome(), hint: resp.GetLeader(), message: resp.GetMessage()}, nil
	})
	return cluster, err
}
