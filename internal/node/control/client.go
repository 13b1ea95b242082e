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
	// acceptTimeout bounds one call that does. It is longer than a configuration lease, so that a call on a silent
	// connection ends soon, and a change that reaches all nodes is in force before.
	acceptTimeout = 3 * time.Second
	// answerMargin is the part of a call's time that is left for the leader's answer to arrive.
	answerMargin = 200 * time.Millisecond
	// checkTimeout bounds the question to a node that did not answer before; a live one answers within milliseconds.
	checkTimeout = 200 * time.Millisecond
)

// Client calls the leader from any node; it implements camphorhinge.Proposer.
type Client struct {
	pool *peer.Pool
	// addresses returns the peer addresses at which a leader may be found.
	addresses func() []string

	mu     sync.Mutex
	leader string
	next   int
	// pending holds what ends the calls that wait for the answer of an address.
	pending map[*pendingCall]struct{}
	// unresponsive are addresses that left their last call waiting to its end.
	unresponsive map[string]bool
}

// pendingCall is a call that waits for an answer.
type pendingCall struct {
	address string
	cancel  context.CancelFunc
}

// NewClient returns a Client.
func NewClient(pool *peer.Pool, addresses func() []string) *Client {
	return &Client{pool: pool, addresses: addresses, pending: map[*pendingCall]struct{}{}, unresponsive: map[string]bool{}}
}

// Leader returns the address that answered as the leader last, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// nextAddress returns the address to call next.
func (c *Client) nextAddress() string {
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

// recordNotLeader notes that address is not the leader, and which one may be.
func (c *Client) recordNotLeader(address, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address || c.leader == "" {
		c.leader = ""
		if hint != address {
			c.leader = hint
		}
	}
}

// recordLeader notes that address answered as the leader. Calls that wait for the answer of another address end, since a
// paused or unreachable leader would keep them until their deadline.
func (c *Client) recordLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
	for p := range c.pending {
		if p.address != address {
			p.cancel()
		}
	}
}

// callContext returns a context for a call to address that ends when another address answers as the leader.
func (c *Client) callContext(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancel(ctx)
	p := &pendingCall{address: address, cancel: end}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[p] = struct{}{}
	return ctx, func() {
		end()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pending, p)
	}
}

// recordAnswered notes whether the last call to address got an answer or at least failed at once, which costs no time.
func (c *Client) recordAnswered(address string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.unresponsive, address)
	} else {
		c.unresponsive[address] = true
	}
}

// isResponsive reports whether address may be called: its last call got an answer, or it isResponsive a short question now. The
// other nodes go on naming a leader that is paused or cut off until they elect another, and a call to it would be lost.
func (c *Client) isResponsive(ctx context.Context, address string) bool {
	c.mu.Lock()
	doubted := c.unresponsive[address]
	c.mu.Unlock()
	if !doubted {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := c.pool.Get(address).Control.Read(ctx, &peerpb.ReadRequest{})
	answered := !errors.Is(err, context.DeadlineExceeded)
	c.recordAnswered(address, answered)
	return answered
}

// callResult is how one call to one node ended.
type callResult struct {
	outcome string
	// hint is the leader's address as the node knows it.
	hint    string
	message string
}

// callLeader calls each candidate until one answers as the leader. Call returns an error only when no answer came.
func (c *Client) callLeader(ctx context.Context, op string, call func(context.Context, *peer.Conn) (callResult, error)) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	last := errors.New("no leader known")
	for ctx.Err() == nil {
		address := c.nextAddress()
		if address == "" {
			if !pause(ctx) {
				break
			}
			continue
		}
		if !c.isResponsive(ctx, address) {
			last = errors.New("no answer from " + address)
			c.recordNotLeader(address, "")
			if !pause(ctx) {
				break
			}
			continue
		}
		waiting, done := c.callContext(ctx, address)
		v, err := call(waiting, c.pool.Get(address))
		done()
		c.recordAnswered(address, !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled))
		switch {
		case err != nil && !neverSent(err):
			c.recordNotLeader(address, "")
			return &Error{Op: op, Kind: KindUncertain, Err: err}
		case err != nil:
			last = err
			c.recordNotLeader(address, "")
		case v.outcome == OutcomeDone:
			c.recordLeader(address)
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
			c.recordNotLeader(address, v.hint)
		default:
			// Only a redirect promises that nothing was done; an empty body decodes to an answer without an outcome.
			c.recordNotLeader(address, "")
			return &Error{Op: op, Kind: KindUncertain, Err: fmt.Errorf("%s answered with the outcome %q", address, v.outcome)}
		}
		if !pause(ctx) {
			break
		}
	}
	return &Error{Op: op, Kind: KindUnavailable, Err: last}
}

// withDeadline returns ctx with a deadline.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
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

// Propose commits a command by way of the leader. A call that is not answered in time ends with camphorhinge.ErrUncertain,
// also before ctx's deadline; the caller then sends the same command again.
func (c *Client) Propose(ctx context.Context, kind camphorhinge.CommandKind, command []byte) ([]byte, error) {
	var result []byte
	err := c.callLeader(ctx, "propose", func(ctx context.Context, conn *peer.Conn) (callResult, error) {
		limit := attemptTimeout
		if kind == camphorhinge.CommandRecord {
			limit = acceptTimeout
		}
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		deadline, _ := ctx.Deadline()
		left := time.Until(deadline) - answerMargin
		resp, err := conn.Control.Propose(ctx, &peerpb.ProposeRequest{
			Kind: uint32(kind), Command: command, Timeout: uint64(max(left.Milliseconds(), 1)),
		})
		if err != nil {
			return callResult{}, err
		}
		result = resp.GetResult()
		return callResult{outcome: resp.GetOutcome(), hint: resp.GetLeader(), message: resp.GetMessage()}, nil
	})
	return result, err
}

// Read answers a linearizable query. A read has no effect, so an answer that was lost is asked for again.
func (c *Client) Read(ctx context.Context, query string, args []byte) ([]byte, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	for {
		var result []byte
		err := c.callLeader(ctx, "read", func(ctx context.Context, conn *peer.Conn) (callResult, error) {
			ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			resp, err := conn.Control.Read(ctx, &peerpb.ReadRequest{Query: query, Args: args})
			if err != nil {
				return callResult{}, err
			}
			result = resp.GetResult()
			return callResult{outcome: resp.GetOutcome(), hint: resp.GetLeader(), message: string(resp.GetResult())}, nil
		})
		if errors.Is(err, camphorhinge.ErrUncertain) && pause(ctx) {
			continue
		}
		return result, err
	}
}

// Join asks the leader to add a node with its replica.
func (c *Client) Join(ctx context.Context, req *peerpb.JoinRequest) (cluster string, err error) {
	err = c.callLeader(ctx, "join", func(ctx context.Context, conn *peer.Conn) (callResult, error) {
		resp, err := conn.Control.Join(ctx, req)
		if err != nil {
			return callResult{}, err
		}
		cluster = resp.GetCluster()
		return callResult{outcome: resp.GetOutcome(), hint: resp.GetLeader(), message: resp.GetMessage()}, nil
	})
	return cluster, err
}
