package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"example.org/camphorhinge/internal/observe/trace"
	"example.org/camphorhinge/internal/request/buffer"
)

const (
	// minReplaceInterval is the least time between two replacements of a connection on which calls time out. The interval
	// doubles up to maxReplaceInterval, because a peer that was paused or is slow has to serve all these connections. It
	// returns to the least one after maxReplaceInterval without a timeout.
	minReplaceInterval = 500 * time.Millisecond
	maxReplaceInterval = 4 * time.Second
)

// transport sends the calls to one peer over a shared HTTP/2 connection, which needs one descriptor at both ends however
// many calls wait for their answers. After a call that timed out while nothing was received, later calls use another
// connection: a peer that is only slow answers on the one that it has. It begins with HTTP/1.1, and
// returns to it after a failure, until a response shows that the peer speaks HTTP/2: one of an earlier version does not.
// It also adds the trace context to the headers of calls.
type transport struct {
	open func(http2 bool) *connections
	// answers bounds the bytes of responses that are held; address is the peer's, which owns them.
	answers *buffer.Pool
	address string
	// onReplace is called when a connection is replaced after a timeout.
	onReplace func()

	mu      sync.Mutex
	current *connections
	http2   bool
	// replacedAt is the time of the latest replacement after a timeout, and replaceInterval the least time to the next.
	// timedOutAt is the time of the latest timeout.
	replacedAt, timedOutAt time.Time
	replaceInterval        time.Duration
}

// connections are the connections to a peer over one version of HTTP.
type connections struct {
	*http.Transport
	// received is when bytes were last received, in nanoseconds since 1970.
	received atomic.Int64
}

// watchedConn records when bytes are received.
type watchedConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(time.Now().UnixNano())
	}
	return n, err
}

func newTransport(open func(http2 bool) *connections, onReplace func()) *transport {
	return &transport{open: open, onReplace: onReplace, current: open(false), replaceInterval: minReplaceInterval}
}

// speaksHTTP2 is a header of HTTP/1.1 responses by which a peer shows that it also speaks HTTP/2.
const speaksHTTP2 = "Camphorhinge-Http2"

// RoundTrip sends one call.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if oteltrace.SpanContextFromContext(req.Context()).IsValid() {
		req = req.Clone(req.Context())
		trace.Propagator().Inject(req.Context(), propagation.HeaderCarrier(req.Header))
	}
	t.mu.Lock()
	used, http2 := t.current, t.http2
	t.mu.Unlock()
	sent := time.Now()
	resp, err := used.RoundTrip(req)
	if err == nil {
		resp.Body = t.answers.Reader(t.address, resp.Body)
	}
	t.recordEnd(used)
	switch {
	case err == nil && !http2 && resp.Header.Get(speaksHTTP2) != "":
		t.replace(used, true)
	case err == nil || errors.Is(err, context.Canceled):
	case http2 && (errors.Is(err, context.DeadlineExceeded) || isTimeout(err)):
		t.replaceSilent(used, sent)
	case http2:
		t.replace(used, false)
	case isTimeout(err):
		used.CloseIdleConnections() // A call that waits has a connection of its own.
	}
	return resp, err
}

// recordEnd records the end of a call. The connection of a transport that has been replaced is closed after its last
// call.
func (t *transport) recordEnd(used *connections) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != used {
		used.CloseIdleConnections()
	}
}

// replace makes later calls use another transport than the given one. Calls in progress continue.
func (t *transport) replace(used *connections, http2 bool) {
	used.CloseIdleConnections()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == used {
		t.current, t.http2 = t.open(http2), http2
	}
}

// replaceSilent makes later calls use another connection after a call that was sent at the given time and timed out, unless
// something has been received since then or this connection is recent.
func (t *transport) replaceSilent(used *connections, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.timedOutAt) > maxReplaceInterval {
		t.replaceInterval = minReplaceInterval
	}
	t.timedOutAt = now
	if t.current != used || used.received.Load() >= sent.UnixNano() || now.Sub(t.replacedAt) < t.replaceInterval {
		return
	}
	used.CloseIdleConnections()
	t.onReplace()
	t.current, t.replacedAt = t.open(true), now
	t.replaceInterval = min(2*t.replaceInterval, maxReplaceInterval)
}

// close closes the idle connections.
func (t *transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.CloseIdleConnections()
}
