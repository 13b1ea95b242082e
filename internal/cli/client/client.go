package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"example.org/camphorhinge/internal/node/operator"
	"example.org/camphorhinge/internal/record/schema"
)

const (
	// DefaultTimeout bounds one attempt; it exceeds operator.DefaultTimeout, so that the server's timeout comes first.
	DefaultTimeout = 20 * time.Second
	dialTimeout    = 2 * time.Second
)

// Kind classifies errors by what the operator can do about them.
type Kind string

const (
	// KindUsage marks an invalid invocation, such as a missing token or address.
	KindUsage Kind = "usage"
	// KindRefused marks a request that the server refused, because of an invalid record, a wrong token or a missing
	// record.
	KindRefused Kind = "refused"
	// KindConflict marks a write that lost to another write.
	KindConflict Kind = "conflict"
	// KindUnavailable marks a request that had no effect.
	KindUnavailable Kind = "unavailable"
	// KindUncertain marks a write that may or may not have taken effect; sending it again is safe.
	KindUncertain Kind = "uncertain"
)

// Exit codes of the command line.
const (
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitUncertain   = 6
)

// Error describes a failed request of the operator.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Faults are the invalid fields with what was expected, if the server or the validation reported any.
	Faults schema.Faults
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExitCode returns the exit code with which the command ends.
func (e *Error) ExitCode() int {
	switch e.Kind {
	case KindUsage:
		return ExitUsage
	case KindRefused:
		return ExitRefused
	case KindConflict:
		return ExitConflict
	case KindUncertain:
		return ExitUncertain
	}
	return ExitUnavailable
}

// Config holds the settings of a client.
type Config struct {
	// Addresses are the operator ports of nodes, as host:port; they are tried in order.
	Addresses []string
	// TokenFile is the path of the file with the bearer token.
	TokenFile string
	// Timeout bounds one attempt; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Client sends the operator's requests. It is safe for concurrent use.
type Client struct {
	cfg   Config
	token string
}

// New returns a client with the token that it reads from cfg.TokenFile. It does not connect to a node.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, &Error{Op: "connect", Kind: KindUsage, Err: errors.New("want the address of at least one node's operator port")}
	}
	text, err := os.ReadFile(cfg.TokenFile)
	if err != nil {
		return nil, &Error{Op: "read token", Kind: KindUsage, Err: err}
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{cfg: cfg, token: strings.TrimSpace(string(text))}, nil
}

// Apply writes the records of a YAML stream or JSON document; with dry, it only returns the effect that they would
// have. Together with an error, the body is set if the server reported the outcome of each record.
func (c *Client) Apply(ctx context.Context, records []byte, dry bool) (operator.WriteBody, error) {
	path := "/v1/records"
	if dry {
		path += "?dry=true"
	}
	var body operator.WriteBody
	err := c.call(ctx, "apply", http.MethodPost, path, records, &body)
	return body, err
}

// Withdraw withdraws a record; w.Version is the version of the withdrawal, above that of the record.
func (c *Client) Withdraw(ctx context.Context, w operator.Withdrawal) (operator.WriteBody, error) {
	var body operator.WriteBody
	request, err := json.Marshal(w)
	if err != nil {
		return body, &Error{Op: "withdraw", Kind: KindUsage, Err: err}
	}
	err = c.call(ctx, "withdraw", http.MethodPost, "/v1/withdraw", request, &body)
	return body, err
}

// Records lists the records in force of one kind, or of all kinds when kind is empty.
func (c *Client) Records(ctx context.Context, kind schema.Kind) (operator.RecordsBody, error) {
	var body operator.RecordsBody
	err := c.call(ctx, "list", http.MethodGet, "/v1/records?kind="+url.QueryEscape(string(kind)), nil, &body)
	return body, err
}

// Record returns one record with its document and history.
func (c *Client) Record(ctx context.Context, key schema.Key) (operator.RecordBody, error) {
	var body operator.RecordBody
	if !schema.ValidKey(key) {
		return body, &Error{Op: "get", Kind: KindUsage, Err: fmt.Errorf("%s is not KIND/NAME of a record", key)}
	}
	err := c.call(ctx, "get", http.MethodGet, "/v1/records/"+key.String(), nil, &body)
	return body, err
}

// Status returns the status of the node and its view of the cluster, as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var body json.RawMessage
	err := c.call(ctx, "status", http.MethodGet, "/v1/status", nil, &body)
	return body, err
}

// Explain returns the decisions that match the query.
func (c *Client) Explain(ctx context.Context, q operator.Query) (operator.ExplainBody, error) {
	values := url.Values{"kind": {q.Kind}, "subject": {q.Subject}, "after": {strconv.FormatUint(q.After, 10)}}
	if q.Limit > 0 {
		values.Set("limit", strconv.Itoa(q.Limit))
	}
	var body operator.ExplainBody
	err := c.call(ctx, "explain", http.MethodGet, "/v1/explain?"+values.Encode(), nil, &body)
	return body, err
}

// call tries the addresses until a node gives a definite answer. After an attempt that may have taken effect, the
// outcome stays uncertain unless a later node gives a definite answer: a failure to reach it does not count as one.
func (c *Client) call(ctx context.Context, op, method, path string, request []byte, body any) error {
	var lastErr *Error
	uncertain := false
	for _, address := range c.cfg.Addresses {
		if ctx.Err() != nil && lastErr != nil {
			break
		}
		err := c.callNode(ctx, op, method, address, path, request, body)
		if err == nil {
			return nil
		}
		if err.Kind != KindUnavailable && err.Kind != KindUncertain {
			return err
		}
		uncertain = uncertain || err.Kind == KindUncertain
		lastErr = err
	}
	if uncertain {
		lastErr.Kind = KindUncertain
	}
	return lastErr
}

// callNode sends the request to the node at one address.
func (c *Client) callNode(ctx context.Context, op, method, address, path string, request []byte, body any) *Error {
	dialer := &trackingDialer{Dialer: standard.NewDialer()}
	h, err := client.NewClient(client.WithDialer(dialer), client.WithDialTimeout(dialTimeout), client.WithKeepAlive(false))
	if err != nil {
		return &Error{Op: op, Kind: KindUsage, Err: err}
	}
	defer h.CloseIdleConnections()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+c.token)
	if request != nil {
		req.SetBody(request)
		req.Header.SetContentTypeBytes([]byte("application/yaml"))
	}
	deadline := time.Now().Add(c.cfg.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := h.DoDeadline(ctx, req, resp, deadline); err != nil {
		kind := KindUnavailable
		// Once a connection was established, the request may have been sent.
		if method != http.MethodGet && dialer.connected {
			kind = KindUncertain
		}
		return &Error{Op: op + " at " + address, Kind: kind, Err: err}
	}
	return decodeResponse(op+" at "+address, method, resp, body)
}

// decodeResponse decodes a response of the server into body, or returns the error that it reports.
func decodeResponse(op, method string, resp *protocol.Response, body any) *Error {
	code := resp.StatusCode()
	var wrapped operator.ErrorBody
	// body may hold the response of another node; Unmarshal would keep its fields where this response has none.
	reflect.ValueOf(body).Elem().SetZero()
	err := json.Unmarshal(resp.Body(), body)
	if code != http.StatusOK && err == nil {
		err = json.Unmarshal(resp.Body(), &wrapped)
	}
	if code == http.StatusOK && err == nil {
		return nil
	}
	if err != nil || wrapped.Error == nil {
		// The server is not a node, or the response was cut off; a write may have taken effect.
		kind := KindUnavailable
		if method != http.MethodGet {
			kind = KindUncertain
		}
		return &Error{Op: op, Kind: kind, Err: fmt.Errorf("status %d with an unreadable body", code)}
	}
	return &Error{Op: op, Kind: kindOf(wrapped.Error.Kind), Err: errors.New(wrapped.Error.Message), Faults: wrapped.Error.Faults}
}

func kindOf(k operator.Kind) Kind {
	switch k {
	case operator.KindUsage:
		return KindUsage
	case operator.KindInvalid, operator.KindDenied, operator.KindAbsent:
		return KindRefused
	case operator.KindConflict:
		return KindConflict
	case operator.KindUnavailable:
		return KindUnavailable
	}
	// After an internal error of the server, the write may or may not have taken effect.
	return KindUncertain
}

// trackingDialer records whether a connection was established.
type trackingDialer struct {
	network.Dialer
	connected bool
}

// DialConnection implements network.Dialer.
func (d *trackingDialer) DialConnection(proto, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(proto, address, timeout, tlsConfig)
	d.connected = d.connected || err == nil
	return conn, err
}
