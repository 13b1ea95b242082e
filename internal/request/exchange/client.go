package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/buffer"
)

// Dialer opens connections; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Places bounds the open connections of a process.
type Places interface {
	// Take takes a place for a connection, and returns false if there is none.
	Take() bool
	// Return gives a place back.
	Return()
}

// noPlaces is a Places without a bound.
type noPlaces struct{}

func (noPlaces) Take() bool { return true }
func (noPlaces) Return()    {}

// Config holds the dependencies and limits of a Client. Zero limits take the defaults below.
type Config struct {
	Dialer Dialer
	// ConnectTimeout bounds the time to connect.
	ConnectTimeout time.Duration
	// FirstByteTimeout bounds the time from the sent request to the first byte of the answer.
	FirstByteTimeout time.Duration
	// StallTimeout bounds the time between two bytes of an answer, and the duration of one write of a request.
	StallTimeout time.Duration
	// ProbeTimeout bounds a probe of a target, and each control call (cancel, export, import).
	ProbeTimeout time.Duration
	// MaxIdle is the greatest number of idle connections per target.
	MaxIdle int
	// Places bounds the connections, also the idle ones; nil sets no bound.
	Places  Places
	Metrics *metrics.Set
	Tracer  trace.Tracer
	// Dialect translates the headers of attempts and answers; nil means the project's own headers.
	Dialect Dialect
}

// Defaults of Config.
const (
	// DefaultConnectTimeout is far above the one-way delay of 1.5 ms between zones and allows one lost SYN.
	DefaultConnectTimeout = 1500 * time.Millisecond
	// DefaultFirstByteTimeout covers a long prompt that is queued behind others.
	DefaultFirstByteTimeout = 20 * time.Second
	// DefaultStallTimeout covers a pause of an engine between two batches.
	DefaultStallTimeout = 5 * time.Second
	// DefaultProbeTimeout allows for a small answer from a target under load.
	DefaultProbeTimeout = 2 * time.Second
	// DefaultMaxIdle is enough for the bursts of one node to one target.
	DefaultMaxIdle = 32

	// maxHeaderBytes bounds an answer's status line and header, in bytes.
	maxHeaderBytes = 64 << 10
	// poolIdleTimeout stays below the usual 60 s idle limit of servers.
	poolIdleTimeout = 30 * time.Second
)

// Client runs attempts over its own connection pool. It is safe for concurrent use.
type Client struct {
	cfg    Config
	pool   *pool
	probes errgroup.Group
	// sends writes requests whose answer is read meanwhile; trailing is bounded by maxTrailing and waits for the rest of those whose
	// answer is complete.
	sends, trailing errgroup.Group
	// sharedProbes shares one probe among all requests that wait for the same address.
	sharedProbes singleflight.Group
	// mu guards probing, and orders the start of goroutines before or after Close.
	mu sync.Mutex
	// probing holds the addresses that probeAfterSilence is probing.
	probing    map[string]struct{}
	stopProbes context.CancelFunc
	probeCtx   context.Context
	// connsRetired counts the connections retired because another one to the same target stalled.
	connsRetired *metrics.Counter
}

// New creates a Client and applies the defaults of Config. The caller must call Close.
func New(cfg Config) *Client {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&cfg.ConnectTimeout, DefaultConnectTimeout)
	set(&cfg.FirstByteTimeout, DefaultFirstByteTimeout)
	set(&cfg.StallTimeout, DefaultStallTimeout)
	set(&cfg.ProbeTimeout, DefaultProbeTimeout)
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = DefaultMaxIdle
	}
	if cfg.Dialer == nil {
		cfg.Dialer = &net.Dialer{}
	}
	if cfg.Places == nil {
		cfg.Places = noPlaces{}
	}
	if cfg.Dialect == nil {
		cfg.Dialect = native{}
	}
	base, stop := context.WithCancel(context.Background())
	c := &Client{
		cfg: cfg, pool: newPool(cfg.MaxIdle, poolIdleTimeout), probing: make(map[string]struct{}),
		probeCtx: base, stopProbes: stop,
		connsRetired: cfg.Metrics.GetOrCreateCounter("camphorhinge_exchange_siblings_dropped_total"),
	}
	c.trailing.SetLimit(maxTrailing)
	return c
}

// Close closes all connections, including those in use, and waits for running probes and writes to end.
func (c *Client) Close() error {
	c.mu.Lock()
	c.stopProbes()
	c.mu.Unlock()
	c.pool.closeAll()
	return errors.Join(c.probes.Wait(), c.sends.Wait(), c.trailing.Wait())
}

// Call describes one attempt.
type Call struct {
	Target  *camphorhinge.Target
	Attempt camphorhinge.AttemptID
	Method  string
	// Path is the request target with its query; it is sent verbatim.
	Path string
	// Host is the Host header; empty means the target's address.
	Host   string
	Header http.Header
	// Body is read once; Length is its size in bytes, or -1 when it is not known. A *bytes.Reader may be read until after the call,
	// because a target may answer before it has read the body; other bodies are read before the answer.
	Body   io.Reader
	Length int64
	// ExtraWait is added to the first-byte timeout, for answers that are sent only when they are complete.
	ExtraWait time.Duration
	// Priority is passed on to the target.
	Priority camphorhinge.Priority
	// Workspace is the caller's workspace, which is passed on to the target, or empty.
	Workspace camphorhinge.WorkspaceName
	// Role is camphorhinge.RolePrefill for a call that only prefills the prompt, and otherwise empty.
	Role camphorhinge.Role
	// Source identifies the KV cache of the prompt that the target fetches, in the naming of the engine that holds it; empty
	// for none.
	Source string
	// FetchFrom is the address of the engine from which the target fetches the prompt segments that it has not cached; empty
	// for none.
	FetchFrom string
	// LastEventID is the id of the last event that the caller has received, for a resumed stream.
	LastEventID string
	// Resume is the offset at which a stream is resumed, or 0 for a new one.
	Resume int
	// Finished is true when the event before Resume had a finish reason, so that only the end mark is missing.
	Finished bool
	// NewConn requires a new connection. A target may close an idle one while the request is being written, which leaves the
	// class unknown; calls that can't be repeated avoid this. It must be set when the target has received the attempt before:
	// on the same connection, a late copy of the earlier answer could not be told from the answer to this call.
	NewConn bool
	// Memory is what the current event of a stream takes, or nil for no bound. The Stream frees it.
	Memory *buffer.Lease
}

// Answer is a target's answer whose body is received by Read. Close must be called; before the end of the body it abandons
// the exchange and closes the connection.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's size in bytes, or -1 when it is unknown.
	Length int64

	client *Client
	ctx    context.Context
	conn   *conn
	sent   *sending
	resp   *http.Response
	span   trace.Span
	// stopWatch stops the closing of the connection at the end of ctx. It returns false if that has begun.
	stopWatch func() bool
	// complete is true when the body was read to its end.
	complete  bool
	closed    bool
	start     time.Time
	firstByte time.Duration
	err       error
}

// maxQuietFactor is the number of stall timeouts that may pass between two events of a stream: a target that computes for
// long may send comments meanwhile.
const maxQuietFactor = 12

// ExpectEvent sets the time in which the next event of a streamed answer must be complete. Without it, a target that sends
// comments or single bytes would hold the request for ever.
func (a *Answer) ExpectEvent() {
	a.conn.progressBy = time.Now().Add(maxQuietFactor * a.client.cfg.StallTimeout)
}

// Class returns the run class that the answer states according to Config.Dialect.
func (a *Answer) Class() camphorhinge.RunClass {
	return a.client.cfg.Dialect.Class(a.Status, a.Header)
}

// FirstByte returns the time from the start of the attempt to the first byte of the answer.
func (a *Answer) FirstByte() time.Duration { return a.firstByte }

// Open sends a request and reads the answer's header. An answer that states the class not-run is returned as an Error of
// KindRefused; other error statuses are returned as an Answer. The context's deadline is passed on to the target, and the
// end of the context closes the connection.
func (c *Client) Open(ctx context.Context, call Call) (*Answer, error) {
	ctx, span := c.cfg.Tracer.Start(ctx, "target "+call.Method, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("camphorhinge.target", string(call.Target.Name)),
			attribute.String("camphorhinge.attempt", string(call.Attempt)),
			attribute.Int("camphorhinge.resume", call.Resume)))
	a, err := c.open(ctx, span, call)
	if err != nil {
		c.countFailure(err)
		span.SetStatus(codes.Error, err.Error())
		span.End()
		return nil, err
	}
	return a, nil
}

func (c *Client) open(ctx context.Context, span trace.Span, call Call) (*Answer, error) {
	start := time.Now()
	cn, err := c.connect(ctx, call.Target.Address, call.NewConn)
	if err != nil {
		return nil, err
	}
	cn.reset(c.cfg.FirstByteTimeout+call.ExtraWait, c.cfg.StallTimeout, maxHeaderBytes)
	if call.Attempt != "" && c.probePath() != "" {
		cn.probe = c.probeFunc(call.Target.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	// Closing a net/http body would read it to its end; instead, finish closes the connection or returns it to the pool.
	sent := &sending{conn: cn, done: make(chan struct{})}
	resp, err := c.roundTrip(ctx, cn, call, sent) //nolint:bodyclose // see above
	if err != nil {
		stop()
		c.pool.remove(cn)
		c.probeAfterSilence(err, call.Target.Address)
		return nil, err
	}
	cn.headerBudget, cn.readTimeout, cn.probe, cn.progressBy = math.MaxInt64, c.cfg.StallTimeout, nil, time.Time{}
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0 // The answer to HEAD states the length of another one.
	}
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: length,
		client: c, ctx: ctx, conn: cn, sent: sent, resp: resp, span: span, stopWatch: stop, start: start, firstByte: time.Since(start),
	}
	if id := c.cfg.Dialect.Attempt(resp.Header); id != "" && id != call.Attempt {
		a.finish()
		return nil, newError(ctx, "open", cn, fmt.Errorf("%w: header %.80q", errAttempt, id))
	}
	cn.setKeepAlive(resp.Header)
	if a.Class() == camphorhinge.NotRun && call.Attempt != "" && cn.requests > 1 && c.cfg.Dialect.Attempt(resp.Header) == "" {
		// It may be the refusal of an earlier request on the connection once more, while the target runs this one.
		a.finish()
		return nil, newError(ctx, "open", cn, errAnonymousRefusal)
	}
	if a.Class() == camphorhinge.NotRun {
		// The header makes the refusal certain; a truncated body only shortens the message.
		cn.progressBy = time.Now().Add(c.cfg.StallTimeout)
		body, _ := io.ReadAll(io.LimitReader(a, maxErrorBytes))
		a.finish()
		return nil, &Error{
			Op: "open", Kind: KindRefused, Run: camphorhinge.NotRun, Status: resp.StatusCode,
			Header: resp.Header, Body: body, Err: statusError(resp.StatusCode),
		}
	}
	return a, nil
}

// connect returns an idle connection or, if there is none or newConn is set, a new one. Its errors are of class not-run,
// since nothing was sent.
func (c *Client) connect(ctx context.Context, address string, newConn bool) (*conn, error) {
	if !newConn {
		if cn := c.pool.acquire(address); cn != nil {
			return cn, nil
		}
	}
	if !c.cfg.Places.Take() {
		return nil, &Error{Op: "connect", Kind: KindConnect, Run: camphorhinge.NotRun, Err: ErrNoPlace}
	}
	dctx, cancel := context.WithTimeout(ctx, c.cfg.ConnectTimeout)
	defer cancel()
	nc, err := c.cfg.Dialer.DialContext(dctx, "tcp", address)
	if err != nil {
		c.cfg.Places.Return()
		e := &Error{Op: "connect", Kind: KindConnect, Run: camphorhinge.NotRun, Err: err}
		switch cause := context.Cause(ctx); {
		case errors.Is(cause, context.DeadlineExceeded):
			e.Kind = KindDeadline
		case cause != nil:
			e.Kind = KindCallerLeft
		}
		return nil, e
	}
	cn := &conn{Conn: nc, address: address, giveBack: c.cfg.Places.Return}
	cn.br = bufio.NewReaderSize(cn, 8<<10)
	if !c.pool.add(cn) {
		_ = cn.Close()
		return nil, &Error{Op: "connect", Kind: KindConnect, Run: camphorhinge.NotRun, Err: errClosed}
	}
	if !cn.usable() {
		c.pool.remove(cn)
		return nil, newError(ctx, "connect", cn, errUnrequested)
	}
	return cn, nil
}

// Reachable reports whether a target accepts a new connection, which is then kept for later requests.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	cn, err := c.connect(ctx, address, true)
	if errors.Is(err, ErrNoPlace) {
		// Whether the target answers does not depend on the places of this process. The connection is closed at once.
		ctx, cancel := context.WithTimeout(ctx, c.cfg.ConnectTimeout)
		defer cancel()
		nc, err := c.cfg.Dialer.DialContext(ctx, "tcp", address)
		return err == nil && nc.Close() == nil
	}
	if err != nil {
		return false
	}
	c.pool.release(cn)
	return true
}

// EndOldestIdle closes the connection that has been idle for the longest time, and reports whether there is one.
func (c *Client) EndOldestIdle() bool { return c.pool.endOldestIdle() }

// Retire makes later requests to an address use new connections. Those in use complete their exchange.
func (c *Client) Retire(address string) { c.connsRetired.Add(c.pool.retire(address)) }

// callerBody records an error of reading the caller's body, to distinguish it from a failure of the target.
type callerBody struct {
	io.Reader
	err error
}

func (s *callerBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

// roundTrip sends a request and reads the head of its answer. It sets the result of sent, possibly later.
func (c *Client) roundTrip(ctx context.Context, cn *conn, call Call, sent *sending) (*http.Response, error) {
	if err := checkCall(&call); err != nil {
		return nil, &Error{Op: "request", Kind: KindProtocol, Run: camphorhinge.NotRun, Err: err}
	}
	h, host := c.head(ctx, &call)
	var src *callerBody
	if call.Body != nil && call.Length != 0 {
		src = &callerBody{Reader: call.Body}
	}
	write := func() error {
		sent.finish(writeRequest(cn, &call, h, host, src))
		return nil
	}
	if overlaps(&call) {
		cn.sending = sent
		if !c.start(&c.sends, write) {
			return nil, newError(ctx, "write", cn, errClosed)
		}
	} else {
		_ = write()
	}
	if !overlaps(&call) && src != nil && src.err != nil {
		e := newError(ctx, "write", cn, src.err)
		if e.Kind != KindCallerLeft && e.Kind != KindDeadline {
			e.Kind, e.Reset = KindBody, false
		}
		return nil, e
	}
	if werr := sent.failed(); werr != nil && (cn.sentBytes.Load() == 0 || ctx.Err() != nil) {
		return nil, newError(ctx, "write", cn, werr)
	}
	// The whole header must arrive in the time that its first byte may take: a target may send single bytes or
	// informational answers without end.
	cn.progressBy = time.Now().Add(cn.readTimeout)
	// After a failed write there may still be an answer, such as the refusal of a large body.
	resp, err := readHeader(cn.br, call.Method)
	if err != nil {
		if werr := sent.failed(); werr != nil && !isProtocolFault(err) {
			err = werr
		}
		return nil, newError(ctx, "read header", cn, err)
	}
	return resp, nil
}

// start runs f in a group, unless the Client is closed.
func (c *Client) start(g *errgroup.Group, f func() error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.probeCtx.Err() != nil {
		return false
	}
	return g.TryGo(f)
}

// head returns the header of a request and its Host.
func (c *Client) head(ctx context.Context, call *Call) (http.Header, string) {
	h := make(http.Header, len(call.Header)+8)
	for k, v := range call.Header {
		h[k] = v
	}
	remaining := time.Duration(0)
	if d, ok := ctx.Deadline(); ok {
		remaining = max(time.Until(d), time.Millisecond)
	}
	c.cfg.Dialect.Prepare(h, call, remaining)
	if h.Get("User-Agent") == "" {
		h.Set("User-Agent", "camphorhinge")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
	if call.Host == "" {
		return h, call.Target.Address
	}
	return h, call.Host
}

// Framed reports whether the end of the body is marked by a content length or the last chunk, so that a lost connection
// can be detected.
func (a *Answer) Framed() bool {
	chunked := len(a.resp.TransferEncoding) > 0 && strings.EqualFold(a.resp.TransferEncoding[0], "chunked")
	return a.resp.ContentLength >= 0 || chunked || a.resp.Body == http.NoBody
}

// Read implements io.Reader. It returns io.EOF only when the complete body was received; other errors are of type *Error.
func (a *Answer) Read(p []byte) (int, error) {
	if a.complete {
		return 0, io.EOF
	}
	if a.err != nil {
		return 0, a.err
	}
	if !a.Framed() {
		if !a.client.cfg.Dialect.CloseDelimited() {
			return 0, a.recordFailure("read body", errFraming)
		}
		if err := a.sent.failed(); err != nil {
			return 0, a.recordFailure("read body", fmt.Errorf("%w: %w", errUnsent, err))
		}
	}
	n, err := a.resp.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF) && !a.Framed() && !a.sent.complete():
		// The failed write may have consumed the reset of the connection, so that its end looks like a regular one.
		return n, a.recordFailure("read body", fmt.Errorf("%w: %w", errUnsent, io.ErrUnexpectedEOF))
	case errors.Is(err, io.EOF):
		a.complete = true
		return n, io.EOF
	case err != nil:
		return n, a.recordFailure("read body", err)
	}
	return n, nil
}

// recordFailure stores and counts the failure of the exchange, probes the target if the connection stalled, and returns
// the failure as an *Error.
func (a *Answer) recordFailure(op string, err error) error {
	e := newError(a.ctx, op, a.conn, err)
	e.Status = a.Status
	a.err = e
	a.span.SetStatus(codes.Error, e.Error())
	a.client.countFailure(e)
	a.client.probeAfterSilence(e, a.conn.address)
	return e
}

// BrokenOff records that the target ended the body before its content was complete, and returns the failure as an *Error.
func (a *Answer) BrokenOff(cause error) error {
	a.complete = false
	return a.recordFailure("read body", fmt.Errorf("%w: %w", cause, io.ErrUnexpectedEOF))
}

// Close ends the exchange. Unless the complete body was received, it closes the connection.
func (a *Answer) Close() {
	if !a.closed {
		a.finish()
		a.span.End()
	}
}

// finish returns the connection to the pool if it can be reused, and otherwise closes it.
func (a *Answer) finish() {
	a.closed = true
	// A stopped AfterFunc did not run, so the connection is still open.
	if !a.stopWatch() || !a.complete || a.err != nil || a.resp.Close || !a.Framed() {
		a.client.pool.remove(a.conn)
		return
	}
	select {
	case <-a.sent.done:
		a.release()
	default:
		if !a.client.start(&a.client.trailing, a.sendRest) {
			a.client.pool.remove(a.conn)
		}
	}
}

// sendRest waits until the rest of the request was written, and then returns the connection to the pool. What a target reads behind an
// answer that it gave early is the rest of that request's body or the end of the connection.
func (a *Answer) sendRest() error {
	timer := time.NewTimer(a.client.cfg.StallTimeout)
	defer timer.Stop()
	select {
	case <-a.sent.done:
		a.release()
	case <-timer.C:
		a.client.pool.remove(a.conn)
	}
	return nil
}

// release returns the connection to the pool if the request was written.
func (a *Answer) release() {
	if a.sent.err != nil {
		a.client.pool.remove(a.conn)
		return
	}
	a.conn.sending = nil
	a.client.pool.release(a.conn)
}

// countFailure counts a failed attempt by its kind and class.
func (c *Client) countFailure(err error) {
	var e *Error
	if errors.As(err, &e) {
		c.cfg.Metrics.GetOrCreateCounter(
			fmt.Sprintf("camphorhinge_exchange_failures_total{kind=%q,run=%q}", e.Kind, e.Run)).Inc()
	}
}

// Complete reports whether the body was read to its end.
func (a *Answer) Complete() bool { return a.complete }
