package place

import (
	"time"

	"example.org/camphorhinge"
)

// Placement is a plan whose work is noted at its targets. Close must be called once.
type Placement struct {
	Plan
	// PrefillAttempt is the attempt at Plan.Prefill; nil without one.
	PrefillAttempt *InFlight
	// ServeAttempt is the attempt at Plan.Serve.
	ServeAttempt *InFlight
}

// Close ends what has not ended, as attempts that were not made.
func (p *Placement) Close(now camphorhinge.Instant) {
	if p.PrefillAttempt != nil {
		p.PrefillAttempt.End(now, Abandoned)
	}
	p.ServeAttempt.End(now, Abandoned)
}

// adopt notes the work of a plan.
func (p *Placer) adopt(now camphorhinge.Instant, plan Plan, req *Request) *Placement {
	out := &Placement{Plan: plan}
	if plan.Prefill != nil {
		out.PrefillAttempt = p.startAttempt(now, plan.Prefill, plan, req, true)
	}
	out.ServeAttempt = p.startAttempt(now, plan.Serve, plan, req, plan.Prefill == nil)
	return out
}

// InFlight is one attempt under way.
type InFlight struct {
	placer  *Placer
	service camphorhinge.ServiceName
	state   *targetState
	sentAt  camphorhinge.Instant
	// reserved are the tokens that the attempt holds in the engine's memory.
	reserved camphorhinge.Tokens
	segments []Segment
	// prefillDue is when the prompt is expected to be read; reading is true until it is.
	// It takes read by itself.
	prefillDue  camphorhinge.Instant
	prefillTime time.Duration
	prefilling  bool
	// prefilled is set once the first event came.
	prefilled bool
	// expected is the estimated time to the first event, or 0 when another engine reads the prompt.
	expected time.Duration
	ended    bool
	// OnEvent is called after each change of the flight, without locks; nil means no observer.
	OnEvent func(e Event)
}

// Event is what happened to a Flight.
type Event struct {
	At camphorhinge.Instant
	// PrefillDone tells that the prompt has been read.
	PrefillDone bool
	// Ended tells that the attempt has ended, with Outcome.
	Ended   bool
	Outcome Outcome
}

// startAttempt notes an attempt at a target; reads tells that the target reads the prompt itself.
func (p *Placer) startAttempt(now camphorhinge.Instant, t *camphorhinge.Target, plan Plan, req *Request, reads bool) *InFlight {
	s := p.stateOf(now, t)
	f := &InFlight{placer: p, service: req.Service, state: s, sentAt: now}
	s.running++
	if s.currentFailureShare(now) >= suspectShare {
		s.lastTrial = now
	}
	if req.Engine == nil {
		return f
	}
	f.reserved = req.Prompt + req.Output
	s.reserved += f.reserved
	f.segments = req.Segments
	if reads {
		f.prefilling, f.expected = true, plan.Expected
		f.prefillTime = p.prefillTime(t, float64(plan.Uncached))
		f.prefillDue = s.startPrefill(now, f.prefillTime)
	}
	s.cache.addPending(now, f, req.Engine.Memory)
	return f
}

// RecordFirstEvent notes that the prompt has been read: the first event came.
func (f *InFlight) RecordFirstEvent(now camphorhinge.Instant) {
	f.placer.mu.Lock()
	was := !f.prefilled && !f.ended
	if was {
		f.prefilled = true
		f.state.cache.markCached(now, f)
	}
	if was && f.prefilling {
		f.prefilling = false
		f.state.finishPrefill(now, f.prefillDue)
		f.state.recordSlowdown(now.Sub(f.sentAt), f.expected)
	}
	f.placer.mu.Unlock()
	if was && f.OnEvent != nil {
		f.OnEvent(Event{At: now, PrefillDone: true})
	}
}

// RecordLoad takes the target's word on its load from an answer.
func (f *InFlight) RecordLoad(now camphorhinge.Instant, l Load) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	f.state.load, f.state.loadAt, f.state.hasLoad, f.state.ownRunning = l, now, true, f.state.running
}

// End notes how the attempt ended; calls after the first one change nothing.
func (f *InFlight) End(now camphorhinge.Instant, o Outcome) {
	f.placer.mu.Lock()
	was := !f.ended
	if was {
		f.end(now, o)
	}
	f.placer.mu.Unlock()
	if was && f.OnEvent != nil {
		f.OnEvent(Event{At: now, Ended: true, Outcome: o})
	}
}

func (f *InFlight) end(now camphorhinge.Instant, o Outcome) {
	f.ended = true
	f.state.running--
	f.state.reserved -= f.reserved
	if f.prefilling {
		f.prefilling = false
		f.state.cancelPrefill(now, f.prefillDue, f.prefillTime)
	}
	if !f.prefilled {
		f.state.cache.dropPending(f)
	}
	f.state.recordOutcome(now, o)
	if o == Served && f.reserved == 0 {
		mean := f.placer.plainLatency[f.service]
		if mean == 0 {
			mean = defaultPlainLatency
		}
		f.placer.plainLatency[f.service] = mean + time.Duration(plainLatencyWeight*float64(now.Sub(f.sentAt)-mean))
	}
}
