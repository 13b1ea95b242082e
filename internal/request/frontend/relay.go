package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
)

const (
	// maxResumes bounds the attempts to resume a stream at one offset.
	maxResumes = 2
	// drainCheckInterval is the time between two checks whether the engine of a stream is drained. It is well below the
	// 3 s within which a leaving target must get no new work.
	drainCheckInterval = 250 * time.Millisecond
	// eventMargin is the space for the fields of an event of one line besides its data, in bytes.
	eventMargin = 128
	// minEventsToMove is the number of remaining events below which a stream is not moved, as it ends sooner where it
	// is.
	minEventsToMove = 32
)

// errDiverged marks a repeated run whose events differ from those that the caller received.
var errDiverged = &exchange.Error{
	Op: "replay", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown,
	Err: errors.New("the repeated run gave a different answer"),
}

// relay forwards a streamed answer to the caller, over one or more legs.
type relay struct {
	*job
	body []byte
	// deterministic is true when a repeated run gives the same answer; the hashes of its events are then kept to verify
	// it.
	deterministic bool
	hashes        []uint64
	// sent is the number of events that were sent to the caller; finished is true when one of them has a finish reason.
	sent           int
	finished       bool
	headerSent     bool
	lastEventAt    time.Time
	drainCheckedAt time.Time
	// prefillMoveTried and drainMoveTried are set once a move off the current engine was tried because it is a prefill
	// engine, or because it is drained. A successful move resets both.
	prefillMoveTried, drainMoveTried bool
}

// run makes attempts until the answer is complete or no further one is allowed.
func (r *relay) run(ctx context.Context, choice camphorhinge.RouteChoice) *Error {
	for {
		r.attempts++
		l, err := r.attempt(ctx, choice)
		if err == nil {
			return nil
		}
		if attemptError(err).Run != camphorhinge.NotRun {
			r.cancel(l)
		}
		rerun := (r.sent == 0 || r.deterministic) && !errors.Is(err, errDiverged)
		next, final := r.nextAttempt(ctx, err, l.choice.Target, rerun)
		if final != nil {
			return r.fail(final)
		}
		if r.sent > 0 {
			r.f.meters.replayed.Inc()
		}
		choice = next
	}
}

// fail sends the failure to the caller as an error event if the stream has begun; otherwise serve sends it as an error
// answer.
func (r *relay) fail(err *Error) *Error {
	if !r.headerSent || err.Kind == KindCallerLeft {
		return err
	}
	if r.sent > 0 {
		err.Run = camphorhinge.Unknown
	}
	if _, werr := fmt.Fprintf(r.out, "event: error\ndata: %s\n\n", err.encode(r.in.id)); werr != nil {
		r.out.Abort()
	}
	out := *err
	out.Err = fmt.Errorf("%w: %w", errAnswerBegun, err.Err)
	return &out
}

// attempt runs one attempt, which may use several connections and engines. It returns the last leg.
func (r *relay) attempt(ctx context.Context, choice camphorhinge.RouteChoice) (*leg, error) {
	l := r.beginLeg(choice, camphorhinge.AttemptID(r.f.cfg.NewID()))
	s, err := r.f.cfg.Exchange.Stream(ctx, r.call(l, r.body, 0))
	if err != nil {
		l.end(err)
		return l, err
	}
	for failures := 0; ; {
		e, err := s.Next()
		switch {
		case errors.Is(err, io.EOF):
			s.Close()
			l.end(nil)
			return l, r.finish(s.Offset())
		case err != nil:
			s.Close()
			l.end(err)
			if ended(ctx) || isFinal(attemptError(err)) || s.Offset() == 0 || failures >= maxResumes {
				return l, err
			}
			failures++
			next, nl := r.resume(ctx, l, s.Offset())
			if next == nil {
				return l, err
			}
			s, l = next, nl
			continue
		}
		failures = 0
		if err := r.relayEvent(l, e); err != nil {
			s.Close()
			l.end(err)
			return l, err
		}
		if r.shouldMove(l) {
			if next, nl := r.move(ctx, l, s.Offset(), r.route); next != nil {
				s.Close()
				l.endMoved()
				r.cancel(l)
				s, l, r.prefillMoveTried, r.drainMoveTried = next, nl, false, false
			}
		}
	}
}

// relayEvent forwards one event. An event that the caller received from an earlier run is only compared with it.
func (r *relay) relayEvent(l *leg, e exchange.Event) error {
	if l.events++; l.firstEvent == 0 {
		l.firstEvent = time.Since(l.began)
	}
	if r.deterministic {
		h := eventHash(e.Data)
		if e.Offset < r.sent {
			if r.hashes[e.Offset] != h {
				r.f.meters.diverged.Inc()
				return errDiverged
			}
			return nil
		}
		r.hashes = append(r.hashes, h)
	}
	if r.route.Software == nil {
		r.route.Software = &l.choice.Target.Software
	}
	if !r.headerSent {
		h := r.f.answerHeader(r.in, camphorhinge.Run, 0, "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		r.out.StartStream(http.StatusOK, h)
		r.headerSent = true
	}
	var b bytes.Buffer
	b.Grow(len(e.Data) + eventMargin)
	fmt.Fprintf(&b, "id: %s/%d\n", r.in.id, r.sent)
	for line := range bytes.Lines(e.Data) {
		b.WriteString("data: ")
		b.Write(bytes.TrimRight(line, "\n"))
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	if _, err := r.out.Write(b.Bytes()); err != nil {
		return errCallerLeft
	}
	now := time.Now()
	if r.sent == 0 {
		r.f.meters.firstEvent.Update(now.Sub(r.in.began).Seconds())
	} else {
		r.f.meters.eventInterval.Update(now.Sub(r.lastEventAt).Seconds())
	}
	r.f.meters.events.Inc()
	r.sent, r.lastEventAt, r.finished = r.sent+1, now, r.finished || e.Finish
	return nil
}

// finish sends the end mark. It returns errDiverged if a repeated run has fewer events than the caller received.
func (r *relay) finish(offset int) error {
	if offset < r.sent {
		r.f.meters.diverged.Inc()
		return errDiverged
	}
	if _, err := r.out.Write([]byte("data: [DONE]\n\n")); err != nil {
		return errCallerLeft
	}
	return nil
}

// resume continues a broken stream at the exact offset: on the same engine, or else on one that imports its KV cache.
// It returns nil when neither is possible.
func (r *relay) resume(ctx context.Context, l *leg, offset int) (*exchange.Stream, *leg) {
	nl := r.beginLeg(l.choice, l.attempt)
	call := r.call(nl, r.body, offset)
	call.NewConn, call.Finished = true, r.finished && offset >= r.sent
	s, err := r.f.cfg.Exchange.Stream(ctx, call)
	if err == nil {
		r.f.meters.resumed.Inc()
		return s, nl
	}
	nl.end(err)
	if attemptError(err).Kind == exchange.KindConnect {
		return nil, nil
	}
	// The engine refused to resume, so the stream must move to another one.
	route := r.route
	route.Exclude = append(slices.Clone(route.Exclude), l.choice.Target.Name)
	return r.move(ctx, l, offset, route)
}

// shouldMove reports whether the stream should move off its engine because that is a prefill engine or is drained.
// After a failed move from an engine, none is tried again for the same reason.
func (r *relay) shouldMove(l *leg) bool {
	if r.drainMoveTried || int(r.route.Output)-r.sent < minEventsToMove {
		return false
	}
	if l.choice.Target.Role == camphorhinge.RolePrefill && !r.prefillMoveTried {
		r.prefillMoveTried = true
		return true
	}
	now := time.Now()
	if now.Sub(r.drainCheckedAt) < drainCheckInterval {
		return false
	}
	r.drainCheckedAt = now
	for _, t := range r.f.cfg.Targets.Live(r.in.service) {
		if t.Name == l.choice.Target.Name {
			r.drainMoveTried = !t.Serving
			return r.drainMoveTried
		}
	}
	return false
}

// move exports the attempt's KV cache, imports it on another engine and resumes the stream there. It returns nil when
// any step fails or the router prefers that the stream stays. The attempt's old connection remains open.
func (r *relay) move(ctx context.Context, l *leg, offset int, route camphorhinge.RouteRequest) (*exchange.Stream, *leg) {
	x := r.f.cfg.Exchange
	// The cache also holds the tokens of the events sent so far, which take memory on the importing engine.
	sent := camphorhinge.Tokens(r.sent)
	route.Prompt, route.Output = route.Prompt+sent, max(route.Output-sent, 1)
	if d, ok := ctx.Deadline(); ok {
		route.Deadline = time.Until(d)
	}
	choice, ok := r.f.cfg.Router.PickDecode(route, l.choice.Target)
	if !ok {
		return nil, nil
	}
	handle, err := x.Export(ctx, l.choice.Target, l.attempt)
	if err != nil {
		return nil, nil
	}
	if err := x.Import(ctx, choice.Target, l.choice.Target, handle, l.attempt); err != nil {
		return nil, nil
	}
	nl := r.newLeg(choice, l.attempt, r.f.cfg.Router.StartDecodeAttempt(choice, route))
	call := r.call(nl, r.body, offset)
	call.Finished = r.finished && offset >= r.sent
	s, err := x.Stream(ctx, call)
	if err != nil {
		nl.end(err)
		return nil, nil
	}
	r.f.meters.moved.Inc()
	r.f.cfg.Decisions.Record("route", string(r.in.id), "stream moved by KV cache", map[string]string{
		"from": string(l.choice.Target.Name), "to": string(choice.Target.Name),
	})
	return s, nl
}

// eventHash returns the hash of an event's content. Fields such as id and created differ between runs, so only the
// choices are hashed if there are any.
func eventHash(data []byte) uint64 {
	var e struct {
		Choices json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(data, &e) == nil && len(e.Choices) > 0 {
		var b bytes.Buffer
		if json.Compact(&b, e.Choices) == nil {
			return xxhash.Sum64(b.Bytes())
		}
	}
	return xxhash.Sum64(data)
}
