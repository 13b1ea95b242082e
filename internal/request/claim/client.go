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
	// Retention is how long claims are kept after their last change; 0 means DefaultRetention.
	Retention time.Duration
	// NewToken returns a token that is unique across all nodes and restarts; nil means random UUIDs.
	NewToken func() string
}

// Client proposes claims and their changes on behalf of one node. It is safe for concurrent use.
type Client struct{ cfg Config }

// New creates a Client and applies the defaults of Config.
func New(cfg Config) *Client {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.NewToken == nil {
		cfg.NewToken = uuid.NewString
	}
	return &Client{cfg: cfg}
}

// maxProposals bounds how often a command of uncertain outcome is proposed. Each proposal waits up to its own timeout,
// so more of them would only delay the answer "unknown".
const maxProposals = 3

// Claim requests a claim. When the outcome of a proposal is uncertain, it proposes the same claim again, which its
// token makes safe. An *Error of KindNotApplied means that the claim took no effect; after any other error it may take
// effect, also later, and the caller passes the returned Grant to Release.
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
		case errors.As(err, &e) && e.Kind == KindNotApplied && !uncertain:
			return g, c.countFailure(err)
		}
		uncertain = true
		if n == maxProposals || ctx.Err() != nil {
			return g, c.countFailure(&Error{Op: "claim", Kind: KindUncertain, Err: err})
		}
	}
}

// storedHeaders returns the names of the answer headers that are stored.
func storedHeaders() []string {
	return []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag", "Last-Modified"}
}

// Complete stores the answer of a granted claim, without its body if that exceeds BodyLimit.
func (c *Client) Complete(ctx context.Context, g Grant, a Answer) error {
	stored := Answer{Status: a.Status, Body: a.Body, Omitted: a.Omitted, Header: make(map[string][]string)}
	if len(stored.Body) > BodyLimit {
		stored.Body, stored.Omitted = nil, true
	}
	for _, name := range storedHeaders() {
		if v := a.Header[name]; len(v) > 0 {
			stored.Header[name] = v
		}
	}
	return c.proposeUntilCertain(ctx, command{
		Op: opComplete, Key: g.Key, Token: g.Token, Retention: c.cfg.Retention.Milliseconds(), Answer: &stored,
	})
}

// MarkLost marks the outcome of a granted claim as unknown before its deadline.
func (c *Client) MarkLost(ctx context.Context, g Grant) error {
	return c.proposeUntilCertain(ctx, command{Op: opMarkLost, Key: g.Key, Token: g.Token, Retention: c.cfg.Retention.Milliseconds()})
}

// Release gives up a claim whose request was not sent, or one of uncertain outcome. It also revokes the token, so that
// a claim that is applied after the release is not granted.
func (c *Client) Release(ctx context.Context, g Grant) error {
	return c.proposeUntilCertain(ctx, command{Op: opRelease, Key: g.Key, Token: g.Token})
}

// proposeUntilCertain proposes a change of the node's own claim until its outcome is certain, at most maxProposals
// times. The change is idempotent. A refused repetition counts as success, since an earlier proposal may have been
// applied.
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

// propose commits a command and decodes its result. An undecodable result leaves the outcome uncertain.
func (c *Client) propose(ctx context.Context, cmd command) (result, error) {
	var r result
	encoded, err := json.Marshal(cmd)
	if err != nil {
		return r, &Error{Op: string(cmd.Op), Kind: KindNotApplied, Err: err}
	}
	out, err := c.cfg.Proposer.Propose(ctx, camphorhinge.CommandClaim, encoded)
	switch {
	case errors.Is(err, camphorhinge.ErrUncertain):
		return r, &Error{Op: string(cmd.Op), Kind: KindUncertain, Err: err}
	case err != nil:
		return r, &Error{Op: string(cmd.Op), Kind: KindNotApplied, Err: err}
	}
	if err := json.Unmarshal(out, &r); err != nil {
		return r, &Error{Op: string(cmd.Op), Kind: KindUncertain, Err: err}
	}
	return r, nil
}

// countFailure counts a failed call by its Kind and returns err.
func (c *Client) countFailure(err error) error {
	kind := KindUncertain
	if e := (*Error)(nil); errors.As(err, &e) {
		kind = e.Kind
	}
	c.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_claim_failures_total{kind=%q}", kind)).Inc()
	return err
}
