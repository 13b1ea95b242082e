package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/client/retry"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"example.org/camphorhinge"
)

// Config holds the settings of a Client; zero fields take their defaults.
type Config struct {
	// DialTimeout bounds connecting to an engine; 500 ms by default.
	DialTimeout time.Duration
	// ReadTimeout bounds reading an engine back and preparing an order; 1 s by default.
	ReadTimeout time.Duration
	// OrderTimeout bounds the wait for the answer to an order; 2 s by default. An engine answers before it carries
	// out a change.
	OrderTimeout time.Duration
}

// Client calls engines over HTTP. It is safe for use by several goroutines.
type Client struct {
	cfg  Config
	http *client.Client
}

// New returns a Client, or an *Error if the HTTP library rejects its settings.
func New(cfg Config) (*Client, error) {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&cfg.DialTimeout, 500*time.Millisecond)
	setDefault(&cfg.ReadTimeout, time.Second)
	setDefault(&cfg.OrderTimeout, 2*time.Second)
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(cfg.DialTimeout),
		client.WithMaxIdleConnDuration(10*time.Second),
		// An order that is sent twice could take effect twice.
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
	)
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindNetwork, Err: err}
	}
	return &Client{cfg: cfg, http: c}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns the engine's announcement with its observed state.
func (c *Client) Read(ctx context.Context, address string) (camphorhinge.Announcement, error) {
	var a camphorhinge.Announcement
	status, body, err := c.call(ctx, c.cfg.ReadTimeout, http.MethodGet, address, "/v1/target", nil)
	if err != nil {
		return a, &Error{Op: "read", Kind: KindNetwork, Err: err}
	}
	if status != http.StatusOK {
		return a, &Error{Op: "read", Kind: KindAnswer, Err: fmt.Errorf("status %d", status)}
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return camphorhinge.Announcement{}, &Error{Op: "read", Kind: KindAnswer, Err: err}
	}
	return a, nil
}

// Prepare requests a nonce from a two-step engine; earlier nonces are void once the engine has accepted the call.
// After an Unknown outcome they may become void at any later moment.
func (c *Client) Prepare(ctx context.Context, address string, fence camphorhinge.Term, seq camphorhinge.Sequence) Result {
	r := c.order(ctx, c.cfg.ReadTimeout, address, "/v1/orders/prepare", Order{Fence: fence, Seq: seq})
	if r.Outcome == Done && r.Nonce == "" {
		return unknown(errors.New("answer to prepare has no nonce"))
	}
	return r
}

// Order sends an order, without a retry.
func (c *Client) Order(ctx context.Context, address string, o Order) Result {
	return c.order(ctx, c.cfg.OrderTimeout, address, "/v1/orders", o)
}

func (c *Client) order(ctx context.Context, limit time.Duration, address, path string, o Order) Result {
	status, body, err := c.call(ctx, limit, http.MethodPost, address, path, o)
	if err != nil {
		return unknown(err)
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return unknown(fmt.Errorf("status %d: %w", status, err))
	}
	r := Result{
		Outcome: Outcome(a.State), Reason: a.Error, Incarnation: a.Incarnation, Revision: a.Revision, Nonce: a.Nonce,
	}
	switch {
	case status == http.StatusOK && (r.Outcome == Done || r.Outcome == Changing):
		return r
	case status == http.StatusConflict && r.Outcome == Refused:
		return r
	}
	return unknown(fmt.Errorf("status %d with state %q", status, a.State))
}

func unknown(err error) Result { return Result{Outcome: Unknown, Err: err} }

// call sends one request and returns the answer's status and body. It times out at the earlier of limit and ctx's
// deadline. Cancelling ctx during the call does not end it.
func (c *Client) call(ctx context.Context, limit time.Duration, method, address, path string, in any) (int, []byte, error) {
	if err := ctx.Err(); err != nil {
		return 0, nil, err
	}
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d))
	}
	if limit <= 0 {
		return 0, nil, context.DeadlineExceeded
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetOptions(config.WithRequestTimeout(limit))
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	if err := c.http.Do(ctx, req, resp); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
