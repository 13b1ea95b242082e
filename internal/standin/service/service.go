package service

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/standin/wire"
)

// Config describes one process of a plain service.
type Config struct {
	Name    camphorhinge.TargetName
	Service camphorhinge.ServiceName
	Zone    camphorhinge.Zone
	// Listen is the address to listen on; 127.0.0.1:0 by default.
	Listen string
	// Advertise is the announced address; that of the listener by default.
	Advertise string
	// Announce lists the base URLs of nodes.
	Announce []string
	// Incarnation is the number of this start; the wall-clock time in milliseconds by default.
	Incarnation camphorhinge.Incarnation
	// Delay is the execution time of one request.
	Delay time.Duration
	// CutOn closes the connection between the run and the answer of a request whose body contains this text.
	CutOn string
}

// Counters count runs of requests.
type Counters struct {
	// Runs counts executions by Key.
	Runs    map[string]int `json:"runs"`
	Refused int            `json:"refused"`
}

// Answer is the body of each answer.
type Answer struct {
	Target camphorhinge.TargetName `json:"target"`
	Key    string                  `json:"key"`
	// Run is how often the request with this key has run in this process.
	Run  int    `json:"run"`
	Path string `json:"path"`
	Body string `json:"body"`
}

// Service is one stand-in process. Its methods are safe for concurrent use.
type Service struct {
	cfg          Config
	listener     *wire.Listener
	server       *server.Hertz
	announceWake chan struct{}

	mu             sync.Mutex
	seq            camphorhinge.Sequence
	running        int
	leaving        bool
	announcePaused bool
	counters       Counters
}

// New creates a service and opens its listener; Run serves it.
func New(c Config) (*Service, error) {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Incarnation == 0 {
		c.Incarnation = camphorhinge.Incarnation(time.Now().UnixMilli())
	}
	l, err := wire.Listen(c.Listen)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindNetwork, Err: err}
	}
	s := &Service{cfg: c, listener: l, announceWake: make(chan struct{}, 1), counters: Counters{Runs: map[string]int{}}}
	s.server = server.New(
		server.WithListener(l), server.WithTransport(standard.NewTransporter), server.WithDisablePrintRoute(true),
	)
	s.server.GET("/v1/counters", func(_ context.Context, ctx *app.RequestContext) { ctx.JSON(http.StatusOK, s.Counters()) })
	s.server.GET("/v1/target", func(_ context.Context, ctx *app.RequestContext) {
		a, _ := s.announcement()
		ctx.JSON(http.StatusOK, a)
	})
	s.server.NoRoute(s.handle)
	return s, nil
}

// Key returns the key by which a request is counted: its idempotency key, or else a hash of the body.
func Key(idempotencyKey string, body []byte) string {
	if idempotencyKey != "" {
		return idempotencyKey
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// Addr returns the announced address: Config.Advertise, or that of the listener.
func (s *Service) Addr() string {
	if s.cfg.Advertise != "" {
		return s.cfg.Advertise
	}
	return s.listener.Addr().String()
}

// ListenAddr returns the IP and port of the listener.
func (s *Service) ListenAddr() string { return s.listener.Addr().String() }

// Running returns the number of requests in execution.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Run serves requests until ctx ends, and then resets all connections.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := s.server.Run(); err != nil {
			return &Error{Op: "serve", Kind: KindNetwork, Err: err}
		}
		return nil
	})
	g.Go(func() error { return wire.NewAnnouncer(s.cfg.Announce).Run(ctx, s.announceWake, s.announcement) })
	g.Go(func() error {
		<-ctx.Done()
		s.listener.Down()
		return s.listener.Close()
	})
	return g.Wait()
}

// Leave makes the process refuse new work and announce that it is leaving; false revokes that.
func (s *Service) Leave(leaving bool) {
	s.mu.Lock()
	s.leaving = leaving
	s.mu.Unlock()
	select {
	case s.announceWake <- struct{}{}:
	default:
	}
}

// PauseAnnouncements stops the announcements; false resumes them.
func (s *Service) PauseAnnouncements(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcePaused = paused
}

// SilenceConnections makes the process send nothing more on its open connections, without closing them; new ones work.
func (s *Service) SilenceConnections() { s.listener.SilenceConnections() }

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Runs = maps.Clone(c.Runs)
	return c
}

// announcement returns the next announcement, and false when it is not to be sent.
func (s *Service) announcement() (camphorhinge.Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return camphorhinge.Announcement{
		Name: s.cfg.Name, Service: s.cfg.Service, Address: s.Addr(), Zone: s.cfg.Zone,
		Incarnation: s.cfg.Incarnation, Seq: s.seq, Kind: camphorhinge.KindService,
		Leaving: s.leaving, Load: camphorhinge.Load{Running: s.running},
	}, !s.announcePaused
}

func (s *Service) handle(ctx context.Context, c *app.RequestContext) {
	body := c.Request.Body()
	key := Key(c.Request.Header.Get(camphorhinge.HeaderIdempotencyKey), body)
	s.mu.Lock()
	if s.leaving {
		s.counters.Refused++
		s.mu.Unlock()
		c.Response.Header.Set(camphorhinge.HeaderRun, string(camphorhinge.NotRun))
		c.JSON(http.StatusServiceUnavailable, map[string]any{"error": map[string]any{"message": "leaving"}})
		return
	}
	s.counters.Runs[key]++
	run := s.counters.Runs[key]
	s.running++
	s.mu.Unlock()
	if s.cfg.Delay > 0 {
		timer := time.NewTimer(s.cfg.Delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if s.cfg.CutOn != "" && bytes.Contains(body, []byte(s.cfg.CutOn)) {
		c.GetConn().Close()
		return
	}
	c.Response.Header.Set(camphorhinge.HeaderRun, string(camphorhinge.Run))
	c.JSON(http.StatusOK, Answer{Target: s.cfg.Name, Key: key, Run: run, Path: string(c.Path()), Body: string(body)})
}

// Kind classifies an Error.
type Kind string

// KindNetwork marks a failure to listen or to serve.
const KindNetwork Kind = "network"

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("service: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
