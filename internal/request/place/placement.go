package place

import (
	"time"

	"example.org/camphorhinge"
)

// Placement is a plan whose work is recorded at its targets. Close must be called once.
type Placement struct {
	Plan
	// PrefillAttempt is the attempt at Plan.Prefill, or nil without a separate prefill.
	PrefillAttempt *InFlight
	// ServeAttempt is the attempt at Plan.Serve.
	ServeAttempt *InFlight
}

// Close ends the attempts that have not ended yet as Abandoned.
func (p *Placement) Close(now camphorhinge.Instant) {
	if p.PrefillAttempt != nil {
		p.PrefillAttempt.End(now, Abandoned)
	}
	p.ServeAttempt.End(now, Abandoned)
}

// adopt records the work of a plan; the caller holds the lock.
func (p *Placer) adopt(now camphorhinge.Instant, plan Plan, req *Request) *Placement {
	out := &Placement{Plan: plan}
	if plan.Prefill != nil {
		out.PrefillAttempt = p.startAttempt(now, plan.Prefill, plan, req, true)
	}
	out.ServeAttempt = p.startAttempt(now, plan.Serve, plan, req, plan.Prefill == nil)
	return out
}

// InFlight is one request's work at one target, from the start of the attempt to its end.
type InFlight struct {
	placer  *Placer
	service camphorhinge.ServiceName
	state   *targetState
	sentAt  camphorhinge.Instant
	// reserved is the number of tokens counted against the engine's memory.
	reserved camphorhinge.Tokens
	segments []Segment
	// prefillDue is when the target's prefill is expected to be complete, prefillTime its duration without the wait.
	// prefilling is true until it is complete; all three are zero when the target does no prefill.
	prefillDue  camphorhinge.Instant
	prefillTime time.Duration
	prefilling  bool
	// firstEventSeen is set once the first event has arrived, also when another engine did the prefill.
	firstEventSeen bool
	// expected is the plan's Expected, or 0 when the target does no prefill.
	expected time.Duration
	ended    bool
	// OnEvent is called without the Placer's lock when the prefill completes and when the attempt ends; nil means no
	// observer.
	OnEvent func(e Event)
}

// Event is a change of an InFlight.
type Event struct {
	At camphorhinge.Instant
	// PrefillDone is true when the first event has arrived, so that the prefill is complete.
	PrefillDone bool
	// Ended is true when the attempt has ended, with Outcome.
	Ended   bool
	Outcome Outcome
}

// startAttempt records an attempt at a target; prefills is true when the target prefills the prompt itself.
func (p *Placer) startAttempt(now camphorhinge.Instant, t *camphorhinge.Target, plan Plan, req *Request, prefills bool) *InFlight {
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
	if prefills {
		f.prefilling, f.expected = true, plan.Expected
		f.prefillTime = p.prefillTime(t, float64(plan.Uncached))
		f.prefillDue = s.startPrefill(now, f.prefillTime)
	}
	s.cache.addPending(now, f, req.Engine.CacheCapacity)
	return f
}

// RecordFirstEvent records that the first event has arrived, which means that the prefill is complete. Repeated calls
// and calls after the end have no effect.
func (f *InFlight) RecordFirstEvent(now camphorhinge.Instant) {
	f.placer.mu.Lock()
	first := !f.firstEventSeen && !f.ended
	if first {
		f.firstEventSeen = true
		f.state.cache.markCached(now, f)
	}
	if first && f.prefilling {
		f.prefilling = false
		f.state.finishPrefill(now, f.prefillDue)
		f.state.recordSlowdown(now.Sub(f.sentAt), f.expected)
	}
	f.placer.mu.Unlock()
	if first && f.OnEvent != nil {
		f.OnEvent(Event{At: now, PrefillDone: true})
	}
}

// RecordLoad stores the load that the target reported in an answer.
func (f *InFlight) RecordLoad(now camphorhinge.Instant, l Load) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	f.state.load, f.state.loadAt, f.state.hasLoad, f.state.ownRunning = l, now, true, f.state.running
}

// End records the outcome of the attempt; only the first call has an effect.
func (f *InFlight) End(now camphorhinge.Instant, o Outcome) {
	f.placer.mu.Lock()
	first := !f.ended
	if first {
		f.end(now, o)
	}
	f.placer.mu.Unlock()
	if first && f.OnEvent != nil {
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
	if !f.firstEventSeen {
		f.state.cache.dropPending(f)
	}
	f.state.recordOutcome(now, o)
	if o == Served && f.reserved == 0 { // Requests to plain services reserve no tokens.
		mean := f.placer.plainLatency[f.service]
		if mean == 0 {
			mean = defaultPlainLatency
		}
		f.placer.plainLatency[f.service] = mean + time.Duration(plainLatencyWeight*float64(now.Sub(f.sentAt)-mean))
	}
}
