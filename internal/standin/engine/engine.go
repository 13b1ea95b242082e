package engine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/standin/wire"
)

// maxOrderRecords bounds Counters.Orders; the older half is dropped when it is full.
const maxOrderRecords = 4096

// loadSampleInterval is the time between two load samples. With a LoadLag, a report carries an old sample.
const loadSampleInterval = 50 * time.Millisecond

// OrderRecord is the result of one order or prepare call.
type OrderRecord struct {
	Kind        string                   `json:"kind"`
	Fence       camphorhinge.Term        `json:"fence"`
	Seq         camphorhinge.Sequence    `json:"seq"`
	Incarnation camphorhinge.Incarnation `json:"incarnation"`
	Revision    uint64                   `json:"revision"`
	Role        camphorhinge.Role        `json:"role,omitempty"`
	// Result is "taken" for an accepted call, "repeated" for a resent one, or the reason for a refusal.
	Result string `json:"result"`
}

// Counters count events since New, across all incarnations.
type Counters struct {
	// Runs counts how often a request entered the batch, by BodyKey.
	Runs      map[string]int `json:"runs"`
	Orders    []OrderRecord  `json:"orders"`
	Refused   int            `json:"refused"`
	Cancelled int            `json:"cancelled"`
	// Cut counts sequences that an order or a crash aborted.
	Cut       int                 `json:"cut"`
	Crashes   int                 `json:"crashes"`
	Changes   int                 `json:"changes"`
	Imports   int                 `json:"imports"`
	Prefilled camphorhinge.Tokens `json:"prefilled"`
	Generated camphorhinge.Tokens `json:"generated"`
}

// state is what an announcement and the order protocol expose of the engine.
type state struct {
	incarnation camphorhinge.Incarnation
	seq         camphorhinge.Sequence
	revision    uint64
	role        camphorhinge.Role
	models      []camphorhinge.ModelName
	adapters    []camphorhinge.AdapterName
	leaving     bool
	busy        bool
	last        camphorhinge.LastOrder
	highest     orderPosition
	nonce       string
}

// Engine is one stand-in engine. Its methods are safe for concurrent use.
type Engine struct {
	cfg          Config
	listener     *wire.Listener
	server       *server.Hertz
	batchWake    chan struct{}
	announceWake chan struct{}
	jobs         chan func(context.Context)

	mu             sync.Mutex
	rng            *rand.Rand
	state          state
	seqs           map[camphorhinge.AttemptID]*sequence
	handles        map[string]kvExport
	arrivals       uint64
	cache          *cache
	loadSamples    []sampledLoad
	counters       Counters
	orderCount     int
	pending        *Order // the change in progress
	down           bool
	announcePaused bool
	incarnationEnd chan struct{} // closed when the incarnation ends
}

type sampledLoad struct {
	at   time.Time
	load camphorhinge.Load
}

// New creates an engine and opens its listener; Run serves it.
func New(c Config) (*Engine, error) {
	c = c.withDefaults()
	l, err := wire.Listen(c.Listen)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindNetwork, Err: err}
	}
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	e := &Engine{
		cfg: c, listener: l, rng: rng,
		batchWake: make(chan struct{}, 1), announceWake: make(chan struct{}, 1), jobs: make(chan func(context.Context), 64),
		seqs: map[camphorhinge.AttemptID]*sequence{}, handles: map[string]kvExport{},
		cache:          newCache(c, rng),
		counters:       Counters{Runs: map[string]int{}},
		incarnationEnd: make(chan struct{}),
		state: state{
			incarnation: c.Incarnation, revision: 1, role: c.Role,
			models: slices.Clone(c.Models), adapters: slices.Clone(c.Adapters),
		},
	}
	e.server = server.New(
		server.WithListener(l), server.WithTransport(standard.NewTransporter), server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(64<<20),
	)
	e.routes()
	return e, nil
}

// Addr returns the announced address: Config.Advertise, or that of the listener.
func (e *Engine) Addr() string {
	if e.cfg.Advertise != "" {
		return e.cfg.Advertise
	}
	return e.listener.Addr().String()
}

// ListenAddr returns the IP and port of the listener.
func (e *Engine) ListenAddr() string { return e.listener.Addr().String() }

// Running returns the number of attempts that are running, queued, or still read by a client.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.seqs {
		if s.phase <= decoding || s.readers > 0 {
			n++
		}
	}
	return n
}

// Run serves requests until ctx ends, and then resets all connections.
func (e *Engine) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := e.server.Run(); err != nil {
			return &Error{Op: "serve", Kind: KindNetwork, Err: err}
		}
		return nil
	})
	g.Go(func() error { return e.runBatch(ctx) })
	g.Go(func() error {
		return wire.NewAnnouncer(e.cfg.Announce).Run(ctx, e.announceWake, e.announcement)
	})
	g.Go(func() error { return e.sampleLoad(ctx) })
	g.Go(func() error { // jobs, such as a role change, outlive the request that started them
		for {
			select {
			case <-ctx.Done():
				return nil
			case job := <-e.jobs:
				g.Go(func() error { job(ctx); return nil })
			}
		}
	})
	g.Go(func() error {
		<-ctx.Done()
		e.mu.Lock()
		if !e.down {
			close(e.incarnationEnd)
		}
		e.down = true
		e.mu.Unlock()
		e.listener.Down()
		return e.listener.Close()
	})
	return g.Wait()
}

func (e *Engine) sampleLoad(ctx context.Context) error {
	tick := time.NewTicker(loadSampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			e.mu.Lock()
			e.loadSamples = append(e.loadSamples, sampledLoad{at: now, load: e.currentLoad()})
			// The newest sample that is at least LoadLag old is the one to report; older ones are dropped.
			for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.cfg.LoadLag {
				e.loadSamples = e.loadSamples[1:]
			}
			e.mu.Unlock()
		}
	}
}

// announcement returns the next announcement, or false when none is to be sent.
func (e *Engine) announcement() (camphorhinge.Announcement, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.announcePaused || e.state.busy && e.cfg.OfflineDuringChange {
		return camphorhinge.Announcement{}, false
	}
	a := e.describe()
	a.Cache = e.cache.takeReport(time.Now())
	return a, true
}

// describe builds an announcement without cache events and takes the next sequence number for it.
func (e *Engine) describe() camphorhinge.Announcement {
	e.state.seq++
	s := &e.state
	a := camphorhinge.Announcement{
		Name: e.cfg.Name, Service: e.cfg.Service, Address: e.Addr(), Zone: e.cfg.Zone,
		Incarnation: s.incarnation, Seq: s.seq, Kind: camphorhinge.KindEngine,
		Role: s.role, Models: slices.Clone(s.models), Adapters: slices.Clone(s.adapters),
		Fencing: e.cfg.Fencing, Orders: e.cfg.Orders,
		Leaving: s.leaving, Busy: s.busy, Revision: s.revision, Last: s.last,
		Cache: camphorhinge.CacheReport{Seq: e.cache.sentSeq},
	}
	if e.cfg.LoadLag == 0 || len(e.loadSamples) == 0 {
		a.Load = e.currentLoad()
	} else {
		a.Load = e.loadSamples[0].load
		a.Load.Age = time.Since(e.loadSamples[0].at).Milliseconds()
	}
	return a
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.Runs = maps.Clone(c.Runs)
	c.Orders = slices.Clone(c.Orders)
	return c
}

// Target returns the present announcement without cache events.
func (e *Engine) Target() camphorhinge.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.describe()
}

// Crash resets all connections; the engine restarts after RestartTime with a new incarnation.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Leave makes the engine refuse new work and announce that it is leaving; false revokes that.
func (e *Engine) Leave(leaving bool) {
	e.mu.Lock()
	e.state.leaving = leaving
	e.mu.Unlock()
	e.announceNow()
}

// PauseAnnouncements stops the announcements; false resumes them.
func (e *Engine) PauseAnnouncements(paused bool) {
	e.mu.Lock()
	e.announcePaused = paused
	e.mu.Unlock()
}

// SilenceConnections makes the engine send nothing more on its open connections, without closing them; new ones work.
func (e *Engine) SilenceConnections() { e.listener.SilenceConnections() }

func (e *Engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.counters.Crashes++
	close(e.incarnationEnd)
	e.abortAll()
	e.applyHalf()
	e.listener.Down()
	e.jobs <- func(ctx context.Context) {
		if !sleep(ctx, e.cfg.RestartTime) {
			return
		}
		e.mu.Lock()
		e.restart()
		e.mu.Unlock()
		e.listener.Up()
		e.announceNow()
	}
}

// restart begins a new incarnation without the state that a process has in memory only. Role, models and adapters
// stay, as for an engine whose command line contains them and is rewritten by each order.
func (e *Engine) restart() {
	s := &e.state
	s.incarnation++
	s.seq, s.revision, s.busy, s.nonce = 0, 1, false, ""
	s.last = camphorhinge.LastOrder{}
	if !e.cfg.KeepFence {
		s.highest = orderPosition{}
	}
	e.seqs = map[camphorhinge.AttemptID]*sequence{}
	e.handles = map[string]kvExport{}
	e.cache = newCache(e.cfg, e.rng)
	e.loadSamples = nil
	e.incarnationEnd = make(chan struct{})
	e.down = false
}

// abortAll aborts and counts all sequences that have not finished.
func (e *Engine) abortAll() {
	for _, s := range e.seqs {
		if s.phase <= decoding {
			e.counters.Cut++
			s.end(aborted, time.Now())
		}
	}
}

func (e *Engine) announceNow() { notify(e.announceWake) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d; it returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Kind classifies an Error.
type Kind string

const (
	// KindNetwork marks a failure to listen, to serve or to reach another engine.
	KindNetwork Kind = "network"
	// KindRequest marks a request that can't be carried out in the present state.
	KindRequest Kind = "request"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("engine: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
