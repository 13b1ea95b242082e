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
	// resumes bounds the attempts to resume a stream at one offset.
	resumes = 2
	// lookEvery is the time between two looks at whether the engine of a stream is drained. It is well below the 3 s in
	// which a leaving target must get no new work.
	lookEvery = 250 * time.Millisecond
	// moveMin is the number of pieces left below which a stream ends sooner than it moves.
	moveMin = 32
)

// errDiverged marks a repeated run whose pieces differ from those that the caller has.
var errDiverged = &exchange.Error{
	Op: "replay", Kind: exchange.KindProtocol, Run: camphorhinge.Unknown,
	Err: errors.New("the repeated run gave another answer"),
}

// relay passes a streamed answer on to the caller, over as many legs as it takes.
type relay struct {
	*job
	body []byte
	// keep is true when the answer is deterministic, so that hashes of the pieces are kept for a comparison.
	keep   bool
	hashes []uint64
	// sent is the number of pieces that the caller got; finished is true when one of them has a finish reason.
	sent     int
	finished bool
	headed   bool
	last     time.Time
	looked   time.Time
	// handed and moved are true after an attempt to move the stream off its engine: handed because the engine only computes
	// prompts, moved because it is drained.
	handed, moved bool
}

// run runs attempts until the answer is complete.
func (r *relay) run(ctx context.Context, choice camphorhinge.RouteChoice) *Error {
	for {
		r.tried++
		l, err := r.attempt(ctx, choice)
		if err == nil {
			return nil
		}
		if attemptError(err).Run != camphorhinge.NotRun {
			r.cancel(l)
		}
		rerun := (r.sent == 0 || r.keep) && !errors.Is(err, errDiverged)
		next, final := r.again(ctx, err, l.choice.Target, rerun)
		if final != nil {
			return r.fail(final)
		}
		if r.sent > 0 {
			r.f.meters.replayed.Inc()
		}
		choice = next
	}
}

// fail tells the caller of the failure: within the stream if it has begun.
func (r *relay) fail(err *Error) *Error {
	if !r.headed || err.Kind == KindLeft {
		return err
	}
	if r.sent > 0 {
		err.Run = camphorhinge.Unknown
	}
	if _, werr := fmt.Fprintf(r.out, "event: error\ndata: %s\n\n", err.body(r.in.id)); werr != nil {
		r.out.Abort()
	}
	out := *err
	out.Err = fmt.Errorf("%w: %w", errWritten, err.Err)
	return &out
}

// attempt runs one attempt, which may go over several connections and engines. It returns the last leg.
func (r *relay) attempt(ctx context.Context, choice camphorhinge.RouteChoice) (*leg, error) {
	l := r.begin(choice, camphorhinge.AttemptID(r.f.cfg.NewID()))
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
			if ctx.Err() != nil || s.Offset() == 0 || failures >= resumes {
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
		if err := r.piece(l, e); err != nil {
			s.Close()
			l.end(err)
			return l, err
		}
		if r.leaves(l) {
			if next, nl := r.move(ctx, l, s.Offset(), r.route); next != nil {
				s.Close()
				l.moveOn()
				r.cancel(l)
				s, l, r.handed, r.moved = next, nl, false, false
			}
		}
	}
}

// piece passes one event on, or compares it with what the caller already has.
func (r *relay) piece(l *leg, e exchange.Event) error {
	if l.pieces++; l.first == 0 {
		l.first = time.Since(l.began)
	}
	if r.keep {
		h := pieceHash(e.Data)
		if e.Offset < r.sent {
			if r.hashes[e.Offset] != h {
				r.f.meters.diverged.Inc()
				return errDiverged
			}
			return nil
		}
		r.hashes = append(r.hashes, h)
	}
	if !r.headed {
		h := r.f.header(r.in, camphorhinge.Run, 0, "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		r.out.Head(http.StatusOK, h)
		r.headed = true
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "id: %s/%d\n", r.in.id, r.sent)
	for line := range bytes.Lines(e.Data) {
		b.WriteString("data: ")
		b.Write(bytes.TrimRight(line, "\n"))
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	if _, err := r.out.Write(b.Bytes()); err != nil {
		return errCaller
	}
	now := time.Now()
	if r.sent == 0 {
		r.f.meters.firstToken.Update(now.Sub(r.in.began).Seconds())
	} else {
		r.f.meters.token.Update(now.Sub(r.last).Seconds())
	}
	r.f.meters.tokens.Inc()
	r.sent, r.last, r.finished = r.sent+1, now, r.finished || e.Finish
	return nil
}

// finish sends the end mark, unless a repeated run ended before the pieces that the caller has.
func (r *relay) finish(offset int) error {
	if offset < r.sent {
		r.f.meters.diverged.Inc()
		return errDiverged
	}
	if _, err := r.out.Write([]byte("data: [DONE]\n\n")); err != nil {
		return errCaller
	}
	return nil
}

// resume goes on with a broken stream at the exact offset: on the same engine, or else on one that imports its KV cache.
func (r *relay) resume(ctx context.Context, l *leg, offset int) (*exchange.Stream, *leg) {
	nl := r.begin(l.choice, l.attempt)
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
	// The engine refuses the stream, so it can't stay there.
	route := r.route
	route.Exclude = append(slices.Clone(route.Exclude), l.choice.Target.Name)
	return r.move(ctx, l, offset, route)
}

// leaves reports whether the stream should leave its engine: one that only computes prompts, or one that is drained. A
// move that failed is not tried again on the same engine for the same reason.
func (r *relay) leaves(l *leg) bool {
	if r.moved || int(r.route.Output)-r.sent < moveMin {
		return false
	}
	if l.choice.Target.Role == camphorhinge.RolePrefill && !r.handed {
		r.handed = true
		return true
	}
	now := time.Now()
	if now.Sub(r.looked) < lookEvery {
		return false
	}
	r.looked = now
	for _, t := range r.f.cfg.Targets.Live(r.in.service) {
		if t.Name == l.choice.Target.Name {
			r.moved = !t.Serving
			return r.moved
		}
	}
	return false
}

// move exports the attempt's KV cache, imports it on another engine and resumes the stream there. It returns nil when any
// step fails or the router prefers that the stream stays; the attempt's old connection is not touched.
func (r *relay) move(ctx context.Context, l *leg, offset int, route camphorhinge.RouteRequest) (*exchange.Stream, *leg) {
	x := r.f.cfg.Exchange
	// The pieces that were sent are in the cache as well, and fill memory on the importer.
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
	nl := r.leg(choice, l.attempt, r.f.cfg.Router.SentDecode(choice, route))
	call := r.call(nl, r.body, offset)
	call.Finished = r.finished && offset >= r.sent
	s, err := x.Stream(ctx, call)
	if err != nil {
		nl.end(err)
		return nil, nil
	}
	r.f.meters.moved.Inc()
	r.f.cfg.Decisions.Note("route", string(r.in.id), "stream moved by KV cache", map[string]string{
		"from": string(l.choice.Target.Name), "to": string(choice.Target.Name),
	})
	return s, nl
}

// pieceHash hashes what a piece says to the caller. Fields such as id and created differ between runs, so only the
// choices count when there are any.
func pieceHash(data []byte) uint64 {
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
