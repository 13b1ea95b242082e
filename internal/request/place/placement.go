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
	p.reserveTransfers(now, &plan)
	if plan.Prefill != nil {
		out.PrefillAttempt = p.startAttempt(now, plan.Prefill, plan, req, true)
	}
	out.ServeAttempt = p.startAttempt(now, plan.Serve, plan, req, plan.Prefill == nil)
	if req.Engine != nil {
		out.ServeAttempt.output, out.ServeAttempt.decodeSpeed = float64(req.Output), p.speedOf(req.Service, decodeWork)
		out.ServeAttempt.expectEnd(now.Add(plan.Expected))
	}
	if out.PrefillAttempt != nil {
		out.PrefillAttempt.successor = out.ServeAttempt
		out.ServeAttempt.awaiting = true
		out.ServeAttempt.state.awaited++
	}
	return out
}

// InFlight is one request's work at one target, from the start of the attempt to its end.
type InFlight struct {
	placer  *Placer
	service camphorhinge.ServiceName
	state   *targetState
	sentAt  camphorhinge.Instant
	// plainTime is the expected time at a plain service's target, relative to that at an idle one of usual slowness; 0 for an engine.
	plainTime float64
	// reserved is the number of tokens counted against the engine's memory, without those of segments.
	reserved camphorhinge.Tokens
	segments []Segment
	// prefillDue is when the target's prefill is expected to be complete, prefillTime its duration without the wait.
	// prefilling is true until it is complete; all three are zero when the target does no prefill.
	prefillDue  camphorhinge.Instant
	prefillTime time.Duration
	prefilling  bool
	// successor is the attempt that follows a separate prefill, and awaiting is true there until the prefill is complete.
	successor *InFlight
	awaiting  bool
	// slowness is what the target reported and no Event has told yet, or 0.
	slowness float64
	// firstEventSeen is set once the first event has arrived, at firstEventAt, also when another engine did the prefill.
	firstEventSeen bool
	firstEventAt   camphorhinge.Instant
	// output is the limit of generated tokens and decodeSpeed the speed at which they are generated; nil for a separate
	// prefill and for a plain service. endsAt is when the attempt is expected to end.
	output      float64
	decodeSpeed *speed
	endsAt      camphorhinge.Instant
	// speed is that of the prefill's service and role, and uncached the number of tokens to prefill. fetches is set when
	// the engine waits for the transfer of a KV cache as well.
	speed    *speed
	uncached float64
	fetches  bool
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
	// Slowness is what the target has reported since the Event before, or 0.
	Slowness float64
}

// startAttempt records an attempt at a target; prefills is true when the target prefills the prompt itself.
func (p *Placer) startAttempt(now camphorhinge.Instant, t *camphorhinge.Target, plan Plan, req *Request, prefills bool) *InFlight {
	s := p.stateOf(now, t)
	f := &InFlight{placer: p, service: req.Service, state: s, sentAt: now}
	if req.Engine == nil {
		f.plainTime = p.plainTime(now, candidate{t, s})
	}
	s.running++
	p.takeFromLimit(now, s)
	if s.currentFailureShare(now) >= suspectShare {
		s.lastTrial = now
	}
	if req.Engine == nil {
		return f
	}
	f.reserved = s.reserve(req)
	f.segments = req.Segments
	if prefills {
		f.prefilling, f.speed, f.uncached, f.fetches = true, p.prefillSpeedOf(t), float64(plan.Uncached), plan.Fetch != nil
		f.prefillTime = time.Duration(f.uncached * f.speed.perToken * s.slowdown * s.slowness.relative(now) * float64(time.Millisecond))
		f.prefillDue = s.startPrefill(now, f.prefillTime)
	}
	s.cache.addPending(now, f, req.Engine.CacheCapacity)
	return f
}

// expectEnd records when an attempt whose first event is expected at the given time is expected to end.
func (f *InFlight) expectEnd(first camphorhinge.Instant) {
	if f.decodeSpeed == nil {
		return
	}
	f.state.ends.remove(f.endsAt)
	f.endsAt = first.Add(time.Duration(decodeMargin * f.decodeSpeed.estimate(f.output) * float64(time.Millisecond)))
	f.state.ends.add(f.endsAt)
}

// RecordFirstEvent records that the first event has arrived, which means that the prefill is complete. Repeated calls
// and calls after the end have no effect.
func (f *InFlight) RecordFirstEvent(now camphorhinge.Instant) {
	f.placer.mu.Lock()
	first := !f.firstEventSeen && !f.ended
	var slowness float64
	if first {
		f.firstEventSeen, f.firstEventAt = true, now
		slowness, f.slowness = f.slowness, 0
		f.expectEnd(now)
		f.state.cache.markCached(now, f)
		f.recordTaken()
	}
	if first && f.prefilling {
		f.prefilling = false
		f.recordPrefill(now)
	}
	if first && f.successor != nil {
		f.successor.stopAwaiting()
	}
	f.placer.mu.Unlock()
	if first && f.OnEvent != nil {
		f.OnEvent(Event{At: now, PrefillDone: true, Slowness: slowness})
	}
}

// stopAwaiting records that the separate prefill is complete or that the attempt has ended.
func (f *InFlight) stopAwaiting() {
	if f.awaiting {
		f.awaiting = false
		f.state.awaited--
	}
}

// recordPrefill records a complete prefill. The engine began it once it had the request and had completed the prefill
// before.
func (f *InFlight) recordPrefill(now camphorhinge.Instant) {
	s := f.state
	s.finishPrefill(now, f.prefillDue)
	took := now.Sub(max(f.sentAt, s.lastPrefillDone))
	s.lastPrefillDone = max(s.lastPrefillDone, now)
	s.recordSlowdown(took, time.Duration(f.speed.estimate(f.uncached)*float64(time.Millisecond)))
	if !f.fetches {
		f.speed.observe(f.uncached, took)
	}
}

// RecordLoad stores the load that the target reported in an answer.
func (f *InFlight) RecordLoad(now camphorhinge.Instant, l Load) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	f.state.load, f.state.loadAt, f.state.hasLoad, f.state.ownRunning = l, now, true, f.state.running
	f.recordSlowness(now, l.Slowness)
}

// RecordSlowness stores the slowness that the target reported in an answer; 0 stands for none.
func (f *InFlight) RecordSlowness(now camphorhinge.Instant, reported float64) {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	f.recordSlowness(now, reported)
}

func (f *InFlight) recordSlowness(now camphorhinge.Instant, reported float64) {
	f.slowness = reported
	f.state.slowness.record(now, reported)
}

// End records the outcome of the attempt; only the first call has an effect.
func (f *InFlight) End(now camphorhinge.Instant, o Outcome) {
	f.placer.mu.Lock()
	first, slowness := !f.ended, f.slowness
	if first {
		f.end(now, o)
	}
	f.placer.mu.Unlock()
	if first && f.OnEvent != nil {
		f.OnEvent(Event{At: now, Ended: true, Outcome: o, Slowness: slowness})
	}
}

// recordTaken records that the target has taken the attempt. The caller holds the Placer's lock.
func (f *InFlight) recordTaken() { f.state.tookAt = max(f.state.tookAt, f.sentAt) }

func (f *InFlight) end(now camphorhinge.Instant, o Outcome) {
	f.ended = true
	f.state.running--
	f.state.ends.remove(f.endsAt)
	if o == Served && f.firstEventSeen && f.decodeSpeed != nil {
		f.decodeSpeed.observe(f.output, now.Sub(f.firstEventAt))
	}
	f.stopAwaiting()
	f.state.release(f.reserved, f.segments)
	if f.prefilling {
		f.prefilling = false
		f.state.cancelPrefill(now, f.prefillDue, f.prefillTime)
	}
	if !f.firstEventSeen {
		f.state.cache.dropPending(f)
	}
	f.state.recordOutcome(now, o)
	if o == Served {
		f.recordTaken()
	}
	if o == Served && f.plainTime > 0 {
		f.placer.recordPlainLatency(f.service, now.Sub(f.sentAt), f.plainTime)
	}
}
