package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"example.org/camphorhinge"
)

// phase is the stage of a sequence; phases from done on are final, except that a resume returns an exported sequence
// to decoding.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	done     // the answer is complete
	exported // the KV cache is ready for another engine to fetch
	aborted  // cancelled, interrupted by a change or crash, or past its deadline
)

// sequence is one attempt that is queued, in the batch, or kept for a resume.
type sequence struct {
	attempt  camphorhinge.AttemptID
	req      Request
	key      string // BodyKey of the request
	hashes   []uint64
	prompt   camphorhinge.Tokens // length of the prompt
	priority camphorhinge.Priority
	deadline time.Time
	arrival  uint64

	phase     phase
	started   bool
	remaining camphorhinge.Tokens // prompt tokens still to compute
	produced  int
	readers   int
	idleSince time.Time     // when a reader last left or the sequence ended
	changed   chan struct{} // closed and replaced at each new token and at the end
}

// blocks returns the KV cache that the sequence needs at its greatest length.
func (s *sequence) blocks() camphorhinge.Blocks {
	return inBlocks(s.prompt + camphorhinge.Tokens(s.req.MaxTokens))
}

func inBlocks(t camphorhinge.Tokens) camphorhinge.Blocks {
	return camphorhinge.Blocks((t + camphorhinge.BlockTokens - 1) / camphorhinge.BlockTokens)
}

func (s *sequence) active() bool { return s.phase == prefilling || s.phase == decoding }

func (s *sequence) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) end(p phase, now time.Time) {
	s.phase = p
	s.idleSince = now
	s.broadcast()
}

// stepItem is the work of one step on one sequence: prompt tokens to prefill, or one output token while it decodes.
type stepItem struct {
	seq     *sequence
	prefill camphorhinge.Tokens
}

// runBatch computes steps until ctx ends. The results of a step become visible after its duration.
func (e *Engine) runBatch(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		e.mu.Lock()
		plan, duration := e.plan(time.Now())
		e.mu.Unlock()
		if len(plan) == 0 {
			// The poll finds sequences whose deadline or resume grace passes while the batch is idle.
			timer.Reset(100 * time.Millisecond)
			select {
			case <-ctx.Done():
				return nil
			case <-e.batchWake:
			case <-timer.C:
			}
			next = time.Now()
			continue
		}
		// Steps are timed from the scheduled end of the previous one, so that timer inaccuracy does not add up.
		next = next.Add(duration)
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		e.mu.Lock()
		e.apply(plan, time.Now())
		e.mu.Unlock()
	}
}

// plan selects the work of the next step and returns it with its duration.
func (e *Engine) plan(now time.Time) ([]stepItem, time.Duration) {
	if e.down {
		return nil, 0
	}
	e.reap(now)
	e.admit()
	if e.down {
		return nil, 0
	}
	running := e.inPhase(prefilling, decoding)
	var plan []stepItem
	budget, prefill, decode := e.cfg.PrefillChunk, camphorhinge.Tokens(0), 0
	for _, s := range running {
		if s.phase == decoding {
			plan = append(plan, stepItem{seq: s})
			decode++
			continue
		}
		if n := min(budget, s.remaining); n > 0 || s.remaining == 0 {
			plan = append(plan, stepItem{seq: s, prefill: n})
			budget -= n
			prefill += n
		}
	}
	duration := float64(prefill) / e.cfg.PrefillRate * float64(time.Second)
	if e.state.role == camphorhinge.RoleDecode {
		duration *= e.cfg.OffRoleFactor
	}
	if decode > 0 {
		step := float64(e.cfg.TokenTime) * (1 + e.cfg.BatchSlope*float64(decode-1))
		if e.state.role == camphorhinge.RolePrefill {
			step *= e.cfg.OffRoleFactor
		}
		duration += step
	}
	return plan, time.Duration(duration)
}

// apply records the results of a step; sequences that ended during the step are skipped.
func (e *Engine) apply(plan []stepItem, now time.Time) {
	for _, item := range plan {
		s := item.seq
		if e.seqs[s.attempt] != s || !s.active() {
			continue
		}
		e.counters.Prefilled += item.prefill
		if s.phase == prefilling {
			s.remaining -= item.prefill
			if s.remaining > 0 {
				continue
			}
			e.cache.store(s.hashes, now)
			s.phase = decoding
		}
		s.produced++
		e.counters.Generated++
		if s.produced >= s.req.MaxTokens {
			s.end(done, now)
			continue
		}
		s.broadcast()
	}
}

// admit moves queued sequences into the batch, highest priority first, up to MaxBatch and the free blocks. A sequence
// larger than all blocks runs alone.
func (e *Engine) admit() {
	running := e.inPhase(prefilling, decoding)
	free := e.cfg.Blocks
	for _, s := range running {
		free -= s.blocks()
	}
	for _, s := range e.inPhase(waiting) {
		if len(running) >= e.cfg.MaxBatch || s.blocks() > free && len(running) > 0 {
			return
		}
		s.phase = prefilling
		s.started = true
		s.remaining = max(0, s.prompt-camphorhinge.Tokens(e.cache.match(s.hashes))*camphorhinge.BlockTokens)
		free -= s.blocks()
		running = append(running, s)
		e.counters.Runs[s.key]++
		if e.cfg.CrashOn != "" && strings.Contains(s.req.Prompt, e.cfg.CrashOn) {
			e.crash()
			return
		}
	}
}

// reap aborts sequences that are past their deadline or had no reader for ResumeGrace, and deletes ended ones after
// ResumeGrace.
func (e *Engine) reap(now time.Time) {
	for id, s := range e.seqs {
		expired := s.phase <= decoding && !s.deadline.IsZero() && now.After(s.deadline)
		abandoned := s.readers == 0 && now.Sub(s.idleSince) > e.cfg.ResumeGrace
		switch {
		case expired, abandoned && s.phase <= decoding:
			s.end(aborted, now)
		case abandoned:
			delete(e.seqs, id)
		}
	}
}

// inPhase returns the sequences in any of the phases, by descending priority and then by arrival.
func (e *Engine) inPhase(phases ...phase) []*sequence {
	var out []*sequence
	for _, s := range e.seqs {
		if slices.Contains(phases, s.phase) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *sequence) int {
		if a.priority != b.priority {
			return int(b.priority) - int(a.priority)
		}
		return int(int64(a.arrival) - int64(b.arrival))
	})
	return out
}

// currentLoad returns the present load, without the lag of a report.
func (e *Engine) currentLoad() camphorhinge.Load {
	l := camphorhinge.Load{Blocks: e.cfg.Blocks, FreeBlocks: e.cfg.Blocks}
	for _, s := range e.seqs {
		switch {
		case s.phase == waiting:
			l.Waiting++
			l.Tokens += s.prompt + camphorhinge.Tokens(s.req.MaxTokens)
		case s.active():
			l.Running++
			l.Tokens += s.remaining + camphorhinge.Tokens(s.req.MaxTokens-s.produced)
			l.FreeBlocks -= s.blocks()
		}
	}
	l.FreeBlocks = max(0, l.FreeBlocks)
	return l
}
