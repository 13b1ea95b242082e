package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"example.org/camphorhinge"
)

// DefaultRetention is how long claims are kept after their last change.
const DefaultRetention = 24 * time.Hour

// Config holds the dependencies of a Client.
type Config struct {
	Proposer camphorhinge.Proposer
	Node     camphorhinge.NodeID
	Metrics  *metrics.Set
	// Retention is how long claims are kept after their last change; 0 takes DefaultKeep.
	Retention time.Duration
	// NewToken draws tokens that are never drawn again; nil takes random UUIDs.
	NewToken func() string
}

// Client makes claims on behalf of one node. It is safe for concurrent use.
type Client struct{ cfg Config }

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.NewToken == nil {
		cfg.NewToken = uuid.NewString
	}
	return &Client{cfg: cfg}
}

// maxProposals bounds how often a claim of uncertain outcome is proposed. Each proposal ends by its own timeout, so more
// would only delay the answer "unknown".
const maxProposals = 3

// Claim asks for a claim. When the outcome of a proposal is uncertain the same claim is proposed again; its token makes
// that safe. An *Error of KindAbsent states that the claim has no effect; after any other the claim may come into being,
// and the returned Grant names it for Release.
func (c *Client) Claim(ctx context.Context, req Request) (Grant, error) {
	g := Grant{Key: req.Key, Token: c.cfg.NewToken()}
	cmd := command{
		Op: opClaim, Key: req.Key, Token: g.Token, Node: c.cfg.Node, Digest: req.Digest[:],
		TimeLeft: req.Deadline.Milliseconds(), Retention: c.cfg.Retention.Milliseconds(),
	}
	uncertain := false
	for n := 1; ; n++ {
		r, err := c.propose(ctx, cmd)
		var e *Error
		switch {
		case err == nil && r.Kind != "":
			return g, c.countFailure(&Error{Op: "claim", Kind: r.Kind, Err: errors.New("the claim was refused")})
		case err == nil:
			g.State, g.Answer = r.State, r.Answer
			c.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_claims_total{state=%q}", g.State)).Inc()
			return g, nil
		case errors.As(err, &e) && e.Kind == KindAbsent && !uncertain:
			return g, c.countFailure(err)
		}
		uncertain = true
		if n == maxProposals || ctx.Err() != nil {
			return g, c.countFailure(&Error{Op: "claim", Kind: KindUncertain, Err: err})
		}
	}
}

// storedHeaders names the headers of an answer that are kept.
func storedHeaders() []string {
	return []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag", "Last-Modified"}
}

// Complete stores the answer of a granted claim. A body above BodyLimit is left out.
func (c *Client) Complete(ctx context.Context, g Grant, a Answer) error {
	kept := Answer{Status: a.Status, Body: a.Body, Omitted: a.Omitted, Header: make(map[string][]string)}
	if len(kept.Body) > BodyLimit {
		kept.Body, kept.Omitted = nil, true
	}
	for _, name := range storedHeaders() {
		if v := a.Header[name]; len(v) > 0 {
			kept.Header[name] = v
		}
	}
	return c.proposeUntilCertain(ctx, command{
		Op: opComplete, Key: g.Key, Token: g.Token, Retention: c.cfg.Retention.Milliseconds(), Answer: &kept,
	})
}

// Lose notes that the outcome of a granted claim is unknown, ahead of its deadline.
func (c *Client) Lose(ctx context.Context, g Grant) error {
	return c.proposeUntilCertain(ctx, command{Op: opMarkLost, Key: g.Key, Token: g.Token, Retention: c.cfg.Retention.Milliseconds()})
}

// Release gives up a claim of which no byte was sent, or one of uncertain outcome. It also keeps a claim that is still
// under way from being granted later.
func (c *Client) Release(ctx context.Context, g Grant) error {
	return c.proposeUntilCertain(ctx, command{Op: opRelease, Key: g.Key, Token: g.Token})
}

// proposeUntilCertain proposes a proposeUntilCertain of an own claim until its outcome is certain; proposing it twice has no further effect.
func (c *Client) proposeUntilCertain(ctx context.Context, cmd command) error {
	for n := 1; ; n++ {
		r, err := c.propose(ctx, cmd)
		switch {
		case err == nil && r.Kind != "" && n == 1:
			return c.countFailure(&Error{Op: string(cmd.Op), Kind: r.Kind, Err: errors.New("the change was refused")})
		case err == nil:
			return nil
		case n == maxProposals || ctx.Err() != nil:
			return c.countFailure(err)
		}
	}
}

func (c *Client) propose(ctx context.Context, cmd command) (result, error) {
	var r result
	encoded, err := json.Marshal(cmd)
	if err != nil {
		return r, &Error{Op: string(cmd.Op), Kind: KindAbsent, Err: err}
	}
	out, err := c.cfg.Proposer.Propose(ctx, camphorhinge.CommandClaim, encoded)
	switch {
	case errors.Is(err, camphorhinge.ErrUncertain):
		return r, &Error{Op: string(cmd.Op), Kind: KindUncertain, Err: err}
	case err != nil:
		return r, &Error{Op: string(cmd.Op), Kind: KindAbsent, Err: err}
	}
	if err := json.Unmarshal(out, &r); err != nil {
		return r, &Error{Op: string(cmd.Op), Kind: KindUncertain, Err: err}
	}
	return r, nil
}

func (c *Client) countFailure(err error) error {
	kind := KindUncertain
	if e := (*Error)(nil); errors.As(err, &e) {
		kind = e.Kind
	}
	c.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_claim_failures_total{kind=%q}", kind)).Inc()
	return err
}
