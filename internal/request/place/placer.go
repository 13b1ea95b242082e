package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

const (
	// forgetAfter is how long a target that is no longer named is remembered.
	forgetAfter = 30 * time.Second
	// sweepEvery is the time between two looks for targets to forget.
	sweepEvery = 5 * time.Second
	// zoneCost is the work, in requests, by which a target in another zone must be less busy to be chosen.
	zoneCost = 0.4
	// plainTime is the assumed time of one request of a plain service, before its answers are measured.
	plainTime = 20 * time.Millisecond
	// plainWeight is the weight of the last answer in the mean time of a plain service.
	plainWeight = 0.05
)

// Config holds what a Placer needs.
type Config struct {
	// Zone is the node's own.
	Zone camphorhinge.Zone
	// Seed decides between equals; it differs between nodes.
	Seed uint64
	// Rates are the speeds of engines; the zero value stands for DefaultRates.
	Rates Rates
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	cfg Config

	mu      sync.Mutex
	random  *rand.Rand
	targets map[camphorhinge.TargetName]*state
	seen    map[camphorhinge.TargetName]camphorhinge.Instant
	swept   camphorhinge.Instant
	// plain is the mean time of an answer by plain service.
	plain map[camphorhinge.ServiceName]time.Duration
	// unread is the mean number of tokens that a request of a service has to have read.
	unread map[camphorhinge.ServiceName]float64
}

// New returns a Placer that knows nothing yet.
func New(cfg Config) *Placer {
	if cfg.Rates == (Rates{}) {
		cfg.Rates = DefaultRates()
	}
	return &Placer{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)), //nolint:gosec // Choices between equals need no secrecy.
		targets: map[camphorhinge.TargetName]*state{},
		seen:    map[camphorhinge.TargetName]camphorhinge.Instant{},
		plain:   map[camphorhinge.ServiceName]time.Duration{},
		unread:  map[camphorhinge.ServiceName]float64{},
	}
}

// of returns the state of a target, a new one when the target started again.
func (p *Placer) of(now camphorhinge.Instant, t *camphorhinge.Target) *state {
	s := p.targets[t.Name]
	if s == nil || s.incarnation != t.Incarnation || s.address != t.Address {
		s = &state{incarnation: t.Incarnation, address: t.Address, pace: 1}
		p.targets[t.Name] = s
	}
	p.seen[t.Name] = now
	if now.Sub(p.swept) >= sweepEvery {
		p.sweep(now)
	}
	return s
}

func (p *Placer) sweep(now camphorhinge.Instant) {
	p.swept = now
	for name, at := range p.seen {
		if now.Sub(at) > forgetAfter && p.targets[name].running == 0 {
			delete(p.seen, name)
			delete(p.targets, name)
		}
	}
}

// candidates returns the live targets that may take a request. Targets that failed lately are left out as long as there
// are others.
func (p *Placer) candidates(now camphorhinge.Instant, live []*camphorhinge.Target, req *Request) []*camphorhinge.Target {
	var open, closed []*camphorhinge.Target
	for _, t := range live {
		if !t.Serving || slices.Contains(req.Exclude, t.Name) {
			continue
		}
		if p.of(now, t).open(now) {
			open = append(open, t)
		} else {
			closed = append(closed, t)
		}
	}
	if len(open) == 0 {
		return closed
	}
	return open
}

// Pick returns where a request goes; ok is false when no live target may take it.
func (p *Placer) Pick(now camphorhinge.Instant, live []*camphorhinge.Target, req Request) (Plan, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := p.candidates(now, live, &req)
	if len(targets) == 0 {
		return Plan{}, false
	}
	if req.Engine == nil {
		return p.pickPlain(now, targets, &req), true
	}
	return p.pickEngine(now, targets, &req)
}

// pickPlain returns the least busy target, with some preference for the node's own zone.
func (p *Placer) pickPlain(now camphorhinge.Instant, targets []*camphorhinge.Target, req *Request) Plan {
	var best *camphorhinge.Target
	var least float64
	for _, t := range targets {
		s := p.of(now, t)
		busy := (float64(s.running)+s.others(now))*s.pace + p.random.Float64()*0.1
		if t.Zone != p.cfg.Zone {
			busy += zoneCost
		}
		if s.share > 0 {
			busy += 4 * s.share
		}
		if best == nil || busy < least {
			best, least = t, busy
		}
	}
	mean := p.plain[req.Service]
	if mean == 0 {
		mean = plainTime
	}
	expected := mean
	if best.Slots > 0 && least > float64(best.Slots) {
		expected = time.Duration(float64(mean) * (least + 1) / float64(best.Slots))
	}
	return Plan{Serve: best, Expected: expected, Reason: "least busy"}
}

// Work is what one attempt asks of a target.
type Work struct {
	// Unread are the prompt tokens that the target is expected to read, Held those that it keeps in memory.
	Unread, Held camphorhinge.Tokens
	// Parts are what the target holds in its cache afterwards.
	Parts []Part
	// Memory is the size of the target's KV cache.
	Memory camphorhinge.Tokens
	// Expected is the estimated time to the first event.
	Expected time.Duration
}

// Flight is one attempt under way.
type Flight struct {
	placer  *Placer
	service camphorhinge.ServiceName
	state   *state
	target  *camphorhinge.Target
	work    Work
	sent    camphorhinge.Instant
	read    bool
	ended   bool
}

// Sent notes an attempt; End must be called once.
func (p *Placer) Sent(now camphorhinge.Instant, t *camphorhinge.Target, service camphorhinge.ServiceName, w Work) *Flight {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.of(now, t)
	s.running++
	s.unread += w.Unread
	s.held += w.Held
	if s.share >= suspectShare {
		s.trial = now
	}
	if len(w.Parts) > 0 {
		s.cache.add(now, w.Parts, w.Memory)
		p.unread[service] += paceWeight * (float64(w.Unread) - p.unread[service])
	}
	return &Flight{placer: p, service: service, state: s, target: t, work: w, sent: now}
}

// First notes that the prompt has been read: the first event came.
func (f *Flight) First(now camphorhinge.Instant) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	if f.read || f.ended {
		return
	}
	f.read = true
	f.state.unread -= f.work.Unread
	f.state.measure(now.Sub(f.sent), f.work.Expected)
}

// Load takes the target's word on its load from an answer.
func (f *Flight) Load(now camphorhinge.Instant, l Load) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	f.state.load, f.state.loadAt, f.state.hasLoad, f.state.mine = l, now, true, f.state.running
}

// End notes how the attempt ended.
func (f *Flight) End(now camphorhinge.Instant, o Outcome) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.state.running--
	f.state.held -= f.work.Held
	if !f.read {
		f.state.unread -= f.work.Unread
	}
	f.state.end(now, o)
	if o == Served && f.work.Held == 0 {
		mean := f.placer.plain[f.service]
		if mean == 0 {
			mean = plainTime
		}
		f.placer.plain[f.service] = mean + time.Duration(plainWeight*float64(now.Sub(f.sent)-mean))
	}
}
