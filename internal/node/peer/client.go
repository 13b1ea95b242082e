package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"example.org/camphorhinge/internal/node/dial"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/buffer"
)

const (
	// dialTimeout bounds the opening of a connection to a peer. It allows for several round trips between regions, and is
	// less than the 1 s after which the system retransmits a lost SYN packet, for example one to a VM that is starting.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// connectionsPerPeer is the maximum number of idle connections to one peer over HTTP/1.1.
	connectionsPerPeer = 8
	// sharedConnections is the maximum number of connections to one peer over HTTP/2. Several are only opened by calls
	// that arrive before the first one is established.
	sharedConnections = 4
	// replacedTimeout is how long a connection over HTTP/2 is kept open without a call, as after its replacement.
	replacedTimeout = 5 * time.Second
	// pingAfter is the silence after which a connection is checked, and pingTimeout the time for the answer.
	pingAfter, pingTimeout = time.Second, time.Second
)

// Conn holds the clients of one peer.
type Conn struct {
	Replica peerpb.Replica
	Control peerpb.Control
	Spread  peerpb.Spread
	Feed    peerpb.Feed

	transport *transport
}

// Pool provides clients by peer address. It is safe for concurrent use.
type Pool struct {
	creds *credentials
	// source is the local address of new connections; with nil the system chooses it.
	source net.Addr
	// traffic counts calls; nil counts none.
	traffic *metrics.Set
	// answers bounds the bytes of responses; nil sets no bound.
	answers *buffer.Pool

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

// BoundAnswers bounds the bytes of responses that are held. It must be called before the first Get.
func (p *Pool) BoundAnswers(answers *buffer.Pool) { p.answers = answers }

// Get returns the clients of the peer at address, an IP:port. It does not connect.
func (p *Pool) Get(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return c
	}
	scheme := "http://"
	if p.creds != nil {
		scheme = "https://"
	}
	link := newTransport(p.newHTTPTransport, func() {})
	link.answers, link.address = p.answers, address
	var rt http.RoundTripper = link
	if p.traffic != nil {
		link.onReplace = p.traffic.GetOrCreateCounter(TrafficPrefix + "replaced_total").Inc
		rt = &trafficCounter{inner: rt, set: p.traffic}
	}
	client := &http.Client{Transport: rt}
	c := &Conn{
		Replica: peerpb.NewReplicaProtobufClient(scheme+address, client),
		Control: peerpb.NewControlProtobufClient(scheme+address, client),
		Spread:  peerpb.NewSpreadProtobufClient(scheme+address, client),
		Feed:    peerpb.NewFeedProtobufClient(scheme+address, client),

		transport: link,
	}
	p.conns[address] = c
	return c
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.transport.close()
	}
	clear(p.conns)
}

// newHTTPTransport returns a transport with one connection for all calls over HTTP/2, or with a connection for each
// concurrent call over HTTP/1.1.
func (p *Pool) newHTTPTransport(http2 bool) *connections {
	c := &connections{}
	dialer := dial.New(dialTimeout, p.source)
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return watchedConn{conn, &c.received}, nil
		},
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: connectionsPerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           &http.Protocols{},
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	if http2 {
		t.IdleConnTimeout = replacedTimeout
		t.MaxConnsPerHost = sharedConnections // Calls that arrive while the first connection is opened share it.
	}
	t.Protocols.SetHTTP1(!http2)
	t.Protocols.SetHTTP2(http2 && p.creds != nil)
	t.Protocols.SetUnencryptedHTTP2(http2 && p.creds == nil)
	if p.creds != nil {
		t.TLSClientConfig = p.creds.clientConfig()
	}
	c.Transport = t
	return c
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
