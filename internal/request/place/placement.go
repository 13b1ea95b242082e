package place

import (
	"time"

	"example.org/camphorhinge"
)

// Placement is a plan whose work is noted at its targets. Close must be called once.
type Placement struct {
	Plan
	// Reader is the attempt at Plan.Prefill; nil without one.
	Reader *Flight
	// Server is the attempt at Plan.Serve.
	Server *Flight
}

// Close ends what has not ended, as attempts that were not made.
func (p *Placement) Close(now camphorhinge.Instant) {
	if p.Reader != nil {
		p.Reader.End(now, Abandoned)
	}
	p.Server.End(now, Abandoned)
}

// adopt notes the work of a plan.
func (p *Placer) adopt(now camphorhinge.Instant, plan Plan, req *Request) *Placement {
	out := &Placement{Plan: plan}
	if plan.Prefill != nil {
		out.Reader = p.send(now, plan.Prefill, plan, req, true)
	}
	out.Server = p.send(now, plan.Serve, plan, req, plan.Prefill == nil)
	return out
}

// Flight is one attempt under way.
type Flight struct {
	placer  *Placer
	service camphorhinge.ServiceName
	state   *state
	sent    camphorhinge.Instant
	// held are the tokens that the attempt holds in the engine's memory.
	held  camphorhinge.Tokens
	parts []Part
	// due is when the prompt is expected to be read; reading is true until it is.
	// It takes read by itself.
	due     camphorhinge.Instant
	read    time.Duration
	reading bool
	// began is set once the first event came.
	began bool
	// expected is the estimated time to the first event, or 0 when another engine reads the prompt.
	expected time.Duration
	ended    bool
	// Told is called after each change of the flight, without locks; nil means no observer.
	Told func(e Event)
}

// Event is what happened to a Flight.
type Event struct {
	At camphorhinge.Instant
	// First tells that the prompt has been read.
	First bool
	// Ended tells that the attempt has ended, with Outcome.
	Ended   bool
	Outcome Outcome
}

// send notes an attempt at a target; reads tells that the target reads the prompt itself.
func (p *Placer) send(now camphorhinge.Instant, t *camphorhinge.Target, plan Plan, req *Request, reads bool) *Flight {
	s := p.of(now, t)
	f := &Flight{placer: p, service: req.Service, state: s, sent: now}
	s.running++
	if s.failing(now) >= suspectShare {
		s.trial = now
	}
	if req.Engine == nil {
		return f
	}
	f.held = req.Prompt + req.Output
	s.held += f.held
	f.parts = req.Parts
	if reads {
		f.reading, f.expected = true, plan.Expected
		f.read = p.toRead(t, float64(plan.Unread))
		f.due = s.begin(now, f.read)
	}
	s.cache.add(now, f, req.Engine.CacheCapacity)
	return f
}

// First notes that the prompt has been read: the first event came.
func (f *Flight) First(now camphorhinge.Instant) {
	f.placer.mu.Lock()
	was := !f.began && !f.ended
	if was {
		f.began = true
		f.state.cache.read(now, f)
	}
	if was && f.reading {
		f.reading = false
		f.state.finish(now, f.due)
		f.state.measure(now.Sub(f.sent), f.expected)
	}
	f.placer.mu.Unlock()
	if was && f.Told != nil {
		f.Told(Event{At: now, First: true})
	}
}

// Load takes the target's word on its load from an answer.
func (f *Flight) Load(now camphorhinge.Instant, l Load) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	f.state.load, f.state.loadAt, f.state.hasLoad, f.state.mine = l, now, true, f.state.running
}

// End notes how the attempt ended; calls after the first one change nothing.
func (f *Flight) End(now camphorhinge.Instant, o Outcome) {
	f.placer.mu.Lock()
	was := !f.ended
	if was {
		f.end(now, o)
	}
	f.placer.mu.Unlock()
	if was && f.Told != nil {
		f.Told(Event{At: now, Ended: true, Outcome: o})
	}
}

func (f *Flight) end(now camphorhinge.Instant, o Outcome) {
	f.ended = true
	f.state.running--
	f.state.held -= f.held
	if f.reading {
		f.reading = false
		f.state.cancel(now, f.due, f.read)
	}
	if !f.began {
		f.state.cache.drop(f)
	}
	f.state.end(now, o)
	if o == Served && f.held == 0 {
		mean := f.placer.plain[f.service]
		if mean == 0 {
			mean = plainTime
		}
		f.placer.plain[f.service] = mean + time.Duration(plainWeight*float64(now.Sub(f.sent)-mean))
	}
}
