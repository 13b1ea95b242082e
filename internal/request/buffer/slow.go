package buffer

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// DefaultMinRate is the default of Config.MinRate for bodies of callers, in bytes a second. A phone with GPRS, two slots of 13.4 kbit/s, sends
// 3,350.
const DefaultMinRate = 2048

const (
	// smallContent is the memory up to which content that is received is never ended for other content, in bytes. Less than
	// 16 KB of content take at most as much.
	smallContent = 32 << 10
	// rateWindow is the time within which the bytes may be late that the minimum rate requires, such as at the start of the content.
	rateWindow = time.Second
	// roomWait bounds the wait for the memory of content that was ended.
	roomWait = 200 * time.Millisecond
)

// Interrupter is a reader whose content may be ended for other content.
type Interrupter interface {
	// Interrupt makes a Read that waits for bytes fail, and reports whether it does so. It does not if bytes have arrived.
	Interrupt() bool
}

// intake is content that is being received. Its fields are guarded by the mu of the Pool.
type intake struct {
	owner  string
	reader Interrupter
	held   int64
	// waiting is true while a Read waits for bytes.
	waiting bool
	// dueBy is the time by which further bytes are due at the minimum rate.
	dueBy time.Time
	// ended is true once the content was ended, and freed is closed when its memory was returned afterwards.
	ended bool
	freed chan struct{}
}

func newIntake(owner string, r Interrupter, now time.Time) *intake {
	return &intake{owner: owner, reader: r, dueBy: now.Add(rateWindow), freed: make(chan struct{})}
}

// receive records n bytes. Bytes that arrive faster than at the rate count for two windows in advance at most, so that content which is
// received at the rate may always be late by a window.
func (in *intake) receive(n int, rate int64, now time.Time) {
	if in.dueBy.Before(now) {
		in.dueBy = now
	}
	in.dueBy = in.dueBy.Add(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
	if latest := now.Add(2 * rateWindow); in.dueBy.After(latest) {
		in.dueBy = latest
	}
}

// endable reports whether the content may be ended for other content.
func (in *intake) endable(now time.Time) bool {
	return in.waiting && in.held > smallContent && in.dueBy.Before(now)
}

// chooseSlow returns the content that may be ended, the one that holds most first, or none if all of it holds less than the bytes that are
// missing.
func chooseSlow(intakes iter.Seq[*intake], missing int64, now time.Time) []*intake {
	var slow []*intake
	var held int64
	for in := range intakes {
		if in.endable(now) {
			slow = append(slow, in)
			held += in.held
		}
	}
	if held < missing {
		return nil
	}
	slices.SortFunc(slow, func(a, b *intake) int { return cmp.Compare(b.held, a.held) })
	return slow
}

// startIntake registers content that is received into a Buffer; it returns nil if it can't be ended.
func (p *Pool) startIntake(owner string, r any) *intake {
	reader, ok := r.(Interrupter)
	if !ok || p == nil || p.cfg.Limit <= 0 || p.cfg.MinRate <= 0 {
		return nil
	}
	in := newIntake(owner, reader, time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.intakes[in] = struct{}{}
	return in
}

// await records that content which holds some memory waits for bytes.
func (p *Pool) await(in *intake, held int64) {
	if in == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	in.waiting, in.held = true, held
}

// received records n bytes of content, and reports whether it was ended meanwhile.
func (p *Pool) received(in *intake, n int) (ended bool) {
	if in == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	in.waiting = false
	in.receive(n, p.cfg.MinRate, time.Now())
	return in.ended
}

// stopIntake ends the registration of content that is not received any more.
func (p *Pool) stopIntake(in *intake) {
	if in == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.intakes, in)
}

// freeIntake records that the memory of content was returned.
func (p *Pool) freeIntake(in *intake) {
	if in == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending[in] {
		delete(p.ending, in)
		close(in.freed)
	}
}

// makeRoom ends content below the minimum rate until an owner may hold n more bytes, and waits for its memory. It reports false if
// that does not suffice.
func (p *Pool) makeRoom(owner string, n int64, until time.Time) bool {
	for {
		fits, in, chosen := p.endSlow(owner, n)
		if fits || in == nil {
			return fits
		}
		if chosen && p.cfg.OnEnded != nil {
			p.cfg.OnEnded(in.owner, in.held)
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-in.freed:
		case <-timer.C:
			return false
		}
		timer.Stop()
	}
}

// endSlow returns content whose memory will be returned soon. If there is none, it ends some and reports it as chosen.
func (p *Pool) endSlow(owner string, n int64) (fits bool, ending *intake, chosen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fits(owner, n) {
		return true, nil, false
	}
	for in := range p.ending {
		return false, in, false
	}
	missing := p.owners[owner] + n - (p.cfg.Limit - p.held)
	for _, in := range chooseSlow(maps.Keys(p.intakes), missing, time.Now()) {
		if !in.reader.Interrupt() {
			continue
		}
		in.ended = true
		delete(p.intakes, in)
		p.ending[in] = true
		if p.ended != nil {
			p.ended.Inc()
		}
		return false, in, true
	}
	return false, nil, false
}
