package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"path"
	"time"

	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/observe/trace"
)

const (
	// MaxBody is the largest body of a call, in bytes; snapshots travel in smaller chunks.
	MaxBody = 8 << 20
	// headerTimeout bounds how long a peer may take to send its headers.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds a whole call, longer than any call's own timeout.
	bodyTimeout = 30 * time.Second
)

// Services are the implementations that a Server offers.
type Services struct {
	Replica peerpb.Replica
	Control peerpb.Control
	Spread  peerpb.Spread
	// Feed is nil on a node that is no core node.
	Feed peerpb.Feed
	// Tracer makes a span for each call that belongs to a trace; nil makes none.
	Tracer oteltrace.Tracer
}

// Server serves the peer port.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer opens the peer port; calls are answered once Serve is called. Files may be nil for plain TCP.
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
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return &Server{
		listener: listener,
		http: &http.Server{
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			WriteTimeout:      bodyTimeout,
		},
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers calls by svc until ctx ends; calls under way then get a second to finish.
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
	s.http.Handler = traced(svc.Tracer, http.MaxBytesHandler(mux, MaxBody))

	stop := context.AfterFunc(ctx, func() {
		late, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := s.http.Shutdown(late); err != nil {
			_ = s.http.Close() // Calls that outlast the grace time are cut.
		}
	})
	defer stop()
	if err := s.http.Serve(s.listener); err != nil && ctx.Err() == nil {
		return &Error{Op: "serve", Kind: KindListen, Err: err}
	}
	return nil
}

// traced makes a span for each call that carries a trace context, such as a claim of a traced request.
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
