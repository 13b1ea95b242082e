package web

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge/internal/node/accept"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/ingress"
)

const (
	// headerLimit is the maximum size of a request header, in bytes.
	headerLimit = 64 << 10
	// readTimeout bounds each read of a request, so that a slow client cannot occupy a connection indefinitely.
	readTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
)

// Kind classifies an Error.
type Kind string

// KindListen marks a port that cannot be opened or served.
const KindListen Kind = "listen"

// Error is the error type of this package; Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("web %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config configures a Server.
type Config struct {
	// Address is the IP:port to listen on.
	Address string
	// MaxBody is the maximum size of a request body that hertz reads itself, in bytes.
	MaxBody int
	// Bodies bounds the bytes of all request bodies that are held, by connection; nil sets no bound. It is for servers whose handlers
	// need whole bodies.
	Bodies *buffer.Pool
	// OnRefused is called with the reason when a body is refused for lack of memory; it may be nil and must be quick.
	OnRefused func(owner, reason string)
	// Connections bounds the open connections of the port, Port names it in their metrics.
	Connections int
	Port        string
	// Budget bounds them together with the connections of a client; nil sets no such bound.
	Budget *accept.Budget
	// Conns tracks the connections, of which idle ones are ended to make room for others; nil tracks none. A server with Bodies has its own.
	Conns *ingress.Conns
	// Headers bounds the bytes of incomplete headers; nil sets no bound.
	Headers *buffer.Pool
	Metrics *metrics.Set
	Log     *slog.Logger
	// Options are applied after the server's own options, so that they take precedence.
	Options []hertzconfig.Option
}

// Server is a hertz server with its own port and a graceful shutdown.
type Server struct {
	// Hertz is the underlying server; routes must be added before Serve is called.
	Hertz    *server.Hertz
	listener net.Listener
	requests requests
}

// New opens the port of cfg; requests are answered once Serve runs.
func New(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindListen, Err: err}
	}
	if cfg.Bodies != nil && cfg.Conns == nil {
		cfg.Conns = ingress.NewConns()
	}
	bound := accept.Config{Port: cfg.Port, Limit: cfg.Connections, Budget: cfg.Budget, Metrics: cfg.Metrics, Log: cfg.Log}
	if cfg.Conns != nil {
		bound.MakeRoom = cfg.Conns.EndOldestIdle
		cfg.Conns.Bound(cfg.Headers)
	}
	s := &Server{listener: accept.New(listener, bound)}
	listener = s.listener
	options := []hertzconfig.Option{
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(cfg.MaxBody),
		server.WithMaxHeaderBytes(headerLimit),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithTracer(&s.requests),
	}
	if cfg.Bodies != nil {
		limits := ingress.Limits{MaxHeaderBytes: headerLimit, HeaderTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: readTimeout}
		options = append(options, server.WithStreamBody(true), server.WithTransport(ingress.Transporter(limits, reply(limits), cfg.Conns)))
	}
	s.Hertz = server.New(append(options, cfg.Options...)...)
	if cfg.Bodies != nil {
		s.Hertz.Use(ingress.TrackPhase)
	}
	s.Hertz.Use(s.requests.closeWhileDraining)
	if cfg.Bodies != nil {
		s.Hertz.Use(holdBody(cfg.Bodies, int64(cfg.MaxBody), cfg.OnRefused))
	}
	return s, nil
}

// reply answers a request that could not be parsed.
func reply(limits ingress.Limits) ingress.Reply {
	return func(f ingress.Fault) (int, http.Header, []byte) {
		status, _, message := f.Answer(limits)
		return status, http.Header{"Content-Type": {"application/json"}}, fmt.Appendf(nil, `{"error":%q}`, message)
	}
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Drain makes the server close each connection after its next response, so that clients reconnect to another server.
func (s *Server) Drain() { s.requests.draining.Store(true) }

// Serve serves requests until ctx ends; then it refuses new connections and waits at most grace for running requests.
// It does not use hertz's own shutdown, which interrupts requests after 30 s.
func (s *Server) Serve(ctx context.Context, grace time.Duration) error {
	var g errgroup.Group
	g.Go(func() error {
		err := s.Hertz.Run()
		if ctx.Err() != nil || err == nil {
			return nil
		}
		return &Error{Op: "serve", Kind: KindListen, Err: err}
	})
	g.Go(func() error {
		<-ctx.Done()
		s.Drain()
		s.listener.Close()
		s.requests.waitIdle(grace)
		return nil
	})
	return g.Wait()
}
