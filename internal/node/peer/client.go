package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"example.org/camphorhinge/internal/node/dial"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/observe/trace"
)

const (
	// dialTimeout bounds the opening of a connection to a peer. It allows for several round trips between regions, and is
	// less than the 1 s after which the system retransmits a lost SYN packet, for example one to a VM that is starting.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// connectionsPerPeer is the maximum number of idle connections to one peer.
	connectionsPerPeer = 8
)

// Conn holds the clients of one peer.
type Conn struct {
	Replica peerpb.Replica
	Control peerpb.Control
	Spread  peerpb.Spread
	Feed    peerpb.Feed

	transport *http.Transport
}

// Pool provides clients by peer address. It is safe for concurrent use.
type Pool struct {
	creds *credentials
	// source is the local address of new connections; with nil the system chooses it.
	source net.Addr

	mu    sync.Mutex
	conns map[string]*Conn
}

// NewPool returns an empty Pool. If files is nil, its connections are plain TCP.
func NewPool(files *Files) (*Pool, error) {
	p := &Pool{conns: map[string]*Conn{}}
	if files == nil {
		return p, nil
	}
	creds, err := newCredentials(*files)
	if err != nil {
		return nil, err
	}
	p.creds = creds
	return p, nil
}

// SetSource sets the local IP address of all connections. It must be called before the first Get.
func (p *Pool) SetSource(source netip.Addr) {
	p.source = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
}

// Get returns the clients of the peer at address, an IP:port. It does not connect.
func (p *Pool) Get(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return c
	}
	scheme := "http://"
	transport := &http.Transport{
		DialContext:         dial.New(dialTimeout, p.source).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: connectionsPerPeer,
		IdleConnTimeout:     idleTimeout,
	}
	if p.creds != nil {
		scheme = "https://"
		transport.TLSClientConfig = p.creds.clientConfig()
	}
	client := &http.Client{Transport: &closeOnTimeout{inner: transport}}
	c := &Conn{
		Replica: peerpb.NewReplicaProtobufClient(scheme+address, client),
		Control: peerpb.NewControlProtobufClient(scheme+address, client),
		Spread:  peerpb.NewSpreadProtobufClient(scheme+address, client),
		Feed:    peerpb.NewFeedProtobufClient(scheme+address, client),

		transport: transport,
	}
	p.conns[address] = c
	return c
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.transport.CloseIdleConnections()
	}
	clear(p.conns)
}

// closeOnTimeout is a RoundTripper that closes the idle connections to the peer when a call times out. It also adds the
// trace context to the headers of calls.
type closeOnTimeout struct{ inner *http.Transport }

// RoundTrip sends one call.
func (d *closeOnTimeout) RoundTrip(req *http.Request) (*http.Response, error) {
	if oteltrace.SpanContextFromContext(req.Context()).IsValid() {
		req = req.Clone(req.Context())
		trace.Propagator().Inject(req.Context(), propagation.HeaderCarrier(req.Header))
	}
	resp, err := d.inner.RoundTrip(req)
	if err != nil && (errors.Is(err, context.DeadlineExceeded) || isTimeout(err)) {
		d.inner.CloseIdleConnections()
	}
	return resp, err
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
