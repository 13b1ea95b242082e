package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"example.org/camphorhinge/internal/node/accept"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/observe/trace"
	"example.org/camphorhinge/internal/request/buffer"
)

const (
	// MaxBody is the maximum body size of a call, in bytes; snapshots are sent in smaller chunks.
	MaxBody = 8 << 20
	// maxCalls is the maximum number of concurrent calls on one connection.
	maxCalls = 1000
	// headerLimit is the maximum size of a header, in bytes.
	headerLimit = 64 << 10
	// headerTimeout bounds how long a peer may take to send its headers.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds a complete call; it is longer than the timeout of any call.
	bodyTimeout = 30 * time.Second
)

// Services are the service implementations that a Server serves.
type Services struct {
	Replica peerpb.Replica
	Control peerpb.Control
	Spread  peerpb.Spread
	// Feed is nil unless this is a core node.
	Feed peerpb.Feed
	// Tunnels handles requests with the method CONNECT; nil refuses them.
	Tunnels http.Handler
	// Tracer creates a span for each call that belongs to a trace; with nil there are no spans.
	Tracer oteltrace.Tracer
	// Traffic counts the calls by method; nil counts none.
	Traffic *metrics.Set
	// Bodies bounds the bytes of calls that are held, by connection; nil sets no bound.
	Bodies *buffer.Pool
	// Metrics counts bodies that were refused for lack of memory, and Log reports them; nil does neither.
	Metrics *metrics.Set
	Log     *slog.Logger
}

// Server serves the peer port.
type Server struct {
	listener net.Listener
	http     *http.Server
	// connections is the number of open connections.
	connections atomic.Int64

	mu sync.Mutex
	// fresh holds the connections on which no request has begun, and since when they are open.
	fresh map[net.Conn]time.Time
}

// NewServer opens the peer port at address, an IP:port; calls are answered once Serve runs. If files is nil, the port
// serves plain TCP.
func NewServer(address string, files *Files) (*Server, error) {
	var config *tls.Config
	if files != nil {
		creds, err := newCredentials(*files)
		if err != nil {
			return nil, err
		}
		config = creds.serverConfig()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(files == nil)
	s := &Server{
		listener: listener, fresh: map[net.Conn]time.Time{},
		http: &http.Server{
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    headerLimit,
			ReadTimeout:       bodyTimeout,
			WriteTimeout:      bodyTimeout,
			Protocols:         protocols,
			TLSConfig:         config,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxCalls},
		},
	}
	s.http.ConnState = s.countConnection
	return s, nil
}

// Bound sets the greatest number of open connections. Those on which no request has begun are ended to make room, the oldest first. It
// must be called before Serve.
func (s *Server) Bound(limit int, set *metrics.Set, log *slog.Logger) {
	s.listener = accept.New(s.listener, accept.Config{Port: "peers", Limit: limit, MakeRoom: s.endOldestNew, Metrics: set, Log: log})
}

// endOldestNew closes the oldest connection on which no request has begun, and reports whether there is one.
func (s *Server) endOldestNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest net.Conn
	for c, since := range s.fresh {
		if oldest == nil || since.Before(s.fresh[oldest]) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.fresh, oldest)
	return oldest.Close() == nil
}

// trackFresh records whether a connection waits for its first request.
func (s *Server) trackFresh(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.fresh[c] = time.Now()
		return
	}
	delete(s.fresh, c)
}

func (s *Server) countConnection(c net.Conn, state http.ConnState) {
	s.trackFresh(c, state)
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

// Connections returns the number of open connections from peers.
func (s *Server) Connections() int64 { return s.connections.Load() }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves svc until ctx ends; running calls then get 1 s to complete.
func (s *Server) Serve(ctx context.Context, svc Services) error {
	mux := http.NewServeMux()
	replica := peerpb.NewReplicaServer(svc.Replica)
	control := peerpb.NewControlServer(svc.Control)
	spread := peerpb.NewSpreadServer(svc.Spread)
	mux.Handle(replica.PathPrefix(), replica)
	mux.Handle(control.PathPrefix(), control)
	mux.Handle(spread.PathPrefix(), spread)
	if svc.Feed != nil {
		feed := peerpb.NewFeedServer(svc.Feed)
		mux.Handle(feed.PathPrefix(), feed)
	}
	s.http.Handler = tunneled(svc.Tunnels, counted(svc.Traffic, traced(svc.Tracer, http.MaxBytesHandler(guardBodies(&svc, markHTTP2(mux)), MaxBody))))

	stop := context.AfterFunc(ctx, func() {
		late, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := s.http.Shutdown(late); err != nil {
			_ = s.http.Close() // Interrupts the calls that are still running.
		}
	})
	defer stop()
	if err := s.serve(); err != nil && ctx.Err() == nil {
		return &Error{Op: "serve", Kind: KindListen, Err: err}
	}
	return nil
}

func (s *Server) serve() error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(s.listener, "", "") // The certificate comes from the TLS configuration.
	}
	return s.http.Serve(s.listener)
}

// tunneled wraps a handler so that requests with the method CONNECT over HTTP/1.1 go to tunnels, if that is not nil.
func tunneled(tunnels, next http.Handler) http.Handler {
	if tunnels == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect && r.ProtoMajor == 1 {
			tunnels.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// markHTTP2 wraps a handler so that its HTTP/1.1 responses show that this server speaks HTTP/2 as well.
func markHTTP2(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			w.Header().Set(speaksHTTP2, "1")
		}
		next.ServeHTTP(w, r)
	})
}

// traced wraps a handler so that each call with a trace context, such as a claim of a traced request, gets a span.
func traced(tracer oteltrace.Tracer, next http.Handler) http.Handler {
	if tracer == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := trace.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		if oteltrace.SpanContextFromContext(ctx).IsValid() {
			var span oteltrace.Span
			ctx, span = tracer.Start(ctx, "peer "+path.Base(r.URL.Path), oteltrace.WithSpanKind(oteltrace.SpanKindServer))
			defer span.End()
			r = r.WithContext(ctx)
		}
		next.ServeHTTP(w, r)
	})
}
