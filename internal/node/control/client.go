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
	// retryPause is the mean pause before the next attempt to reach the leader; the pauses range from half of it to one
	// and a half.
	retryPause = 60 * time.Millisecond
	// defaultTimeout bounds calls whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// attemptTimeout bounds one call that does not wait for a change to be in force.
	attemptTimeout = 2 * time.Second
	// acceptTimeout bounds one call that waits for a change to be in force. It is short, so that a call on a dead
	// connection ends soon, but longer than a configuration lease, within which a change that reaches all nodes comes
	// into force.
	acceptTimeout = 3 * time.Second
	// answerMargin is the part of a call's timeout reserved for the leader's answer to arrive.
	answerMargin = 200 * time.Millisecond
	// checkTimeout bounds the probe of a node that did not answer its last call; a live one answers within
	// milliseconds.
	checkTimeout = 200 * time.Millisecond
)

// Client calls the leader from any node; it implements camphorhinge.Proposer.
type Client struct {
	pool *peer.Pool
	// addresses returns the peer addresses of the nodes that may lead.
	addresses func() []string
	// pause waits between two calls; it returns false when the context ends before.
	pause func(ctx context.Context) bool

	mu     sync.Mutex
	leader string
	next   int
	// pending holds the calls that wait for an answer.
	pending map[*pendingCall]struct{}
	// unresponsive holds the addresses whose last call timed out or was canceled.
	unresponsive map[string]bool
}

// pendingCall is a call to an address that waits for an answer.
type pendingCall struct {
	address string
	cancel  context.CancelFunc
}

// NewClient returns a Client that looks for the leader at the given addresses.
func NewClient(pool *peer.Pool, addresses func() []string) *Client {
	return &Client{pool: pool, addresses: addresses, pause: pause, pending: map[*pendingCall]struct{}{}, unresponsive: map[string]bool{}}
}

// Leader returns the last known address of the leader, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// nextAddress returns the address to call next: the leader's, or the next one in turn when no leader is known.
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

// recordNotLeader records that address is not the leader; hint is the address that may be, or "".
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

// recordLeader records that address answered as the leader. It cancels the calls that wait for another address, since a
// paused or unreachable leader would block them until their deadline.
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

// callContext returns a context for a call to address that is canceled when another address answers as the leader.
func (c *Client) callContext(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	p := &pendingCall{address: address, cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[p] = struct{}{}
	return ctx, func() {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pending, p)
	}
}

// recordAnswered records whether the last call to address was answered. A call that failed at once counts as answered,
// since it costs no time.
func (c *Client) recordAnswered(address string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.unresponsive, address)
	} else {
		c.unresponsive[address] = true
	}
}

// isResponsive reports whether address may be called: its last call was answered, or a short probe is answered now.
// Other nodes name a paused or isolated leader until they elect its successor, and a call to it would only time out.
func (c *Client) isResponsive(ctx context.Context, address string) bool {
	c.mu.Lock()
	unresponsive := c.unresponsive[address]
	c.mu.Unlock()
	if !unresponsive {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := c.pool.Get(address).Control.Read(ctx, &peerpb.ReadRequest{})
	answered := !errors.Is(err, context.DeadlineExceeded)
	c.recordAnswered(address, answered)
	return answered
}

// callResult is the result of one call to one node.
type callResult struct {
	outcome string
	// hint is the leader's address according to the node.
	hint    string
	message string
}

// callLeader calls one candidate after another until one answers as the leader. The parameter call sends one request;
// it must return an error only when no answer arrived.
func (c *Client) callLeader(ctx context.Context, op string, call func(context.Context, *peer.Conn) (callResult, error)) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	last, followed := errors.New("no leader known"), false
	for ctx.Err() == nil {
		address := c.nextAddress()
		if address == "" {
			if !c.pause(ctx) {
				break
			}
			continue
		}
		if !c.isResponsive(ctx, address) {
			last = errors.New("no answer from " + address)
			c.recordNotLeader(address, "")
			if !c.pause(ctx) {
				break
			}
			continue
		}
		callCtx, done := c.callContext(ctx, address)
		result, err := call(callCtx, c.pool.Get(address))
		done()
		c.recordAnswered(address, !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled))
		switch {
		case err != nil && !neverSent(err):
			c.recordNotLeader(address, "")
			return &Error{Op: op, Kind: KindUncertain, Err: err}
		case err != nil:
			last = err
			c.recordNotLeader(address, "")
		case result.outcome == OutcomeDone:
			c.recordLeader(address)
			return nil
		case result.outcome == OutcomeUncertain:
			return &Error{Op: op, Kind: KindUncertain, Err: errors.New(result.message)}
		case result.outcome == OutcomeRefused:
			return &Error{Op: op, Kind: KindRefused, Err: errors.New(result.message)}
		case result.outcome == OutcomeRedirect:
			last = errors.New("not the leader: " + address)
			if result.message != "" {
				last = fmt.Errorf("%w: %s", last, result.message)
			}
			c.recordNotLeader(address, result.hint)
			if result.hint != "" && !followed {
				// A pause would only make the call later; further hints may be those of nodes that name each other.
				followed = true
				continue
			}
		default:
			// Only a redirect guarantees that nothing was done; an empty body decodes to an answer without an outcome.
			c.recordNotLeader(address, "")
			return &Error{Op: op, Kind: KindUncertain, Err: fmt.Errorf("%s answered with the outcome %q", address, result.outcome)}
		}
		if !c.pause(ctx) {
			break
		}
	}
	return &Error{Op: op, Kind: KindUnavailable, Err: last}
}

// withDeadline returns ctx with a deadline: its own, or one after defaultTimeout.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// pause waits a random time around retryPause and reports false when ctx ended meanwhile.
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

// neverSent reports whether a call failed before its connection was established.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Propose commits a command through the leader. A call that is not answered in time fails with
// camphorhinge.ErrUncertain, even before ctx's deadline; the caller then repeats the same command.
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

// Read runs a linearizable query on the leader. It is repeated when the answer is lost, since a read has no effect.
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
		if errors.Is(err, camphorhinge.ErrUncertain) && c.pause(ctx) {
			continue
		}
		return result, err
	}
}

// Join asks the leader to add a node and its replica, and returns the cluster's id.
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
