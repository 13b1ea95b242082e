package decision

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/camphorhinge"
)

// maxKinds bounds the kinds that are kept apart; further ones share a buffer.
const maxKinds = 16

// Ring holds the last decisions of a node; it implements camphorhinge.Decisions. Each kind has a buffer of its own, so
// that the many choices of targets don't push out the few changes of roles.
type Ring struct {
	size uint64

	mu      sync.Mutex
	nextSeq uint64
	buffers map[string]*buffer
}

// buffer holds the last decisions of one kind.
type buffer struct {
	decisions []camphorhinge.Decision
	added     uint64
}

// New returns a Ring that keeps size decisions of each kind.
func New(size int) *Ring {
	return &Ring{size: uint64(size), buffers: map[string]*buffer{}}
}

// Note appends a decision and drops the oldest one of its kind when the buffer is full.
func (r *Ring) Note(kind, subject, reason string, inputs map[string]string) {
	now := time.Now().UnixMilli()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bufferFor(kind)
	d := camphorhinge.Decision{Seq: r.nextSeq, At: now, Kind: kind, Subject: subject, Reason: reason, Inputs: inputs}
	if b.added < r.size {
		b.decisions = append(b.decisions, d)
	} else {
		b.decisions[b.added%r.size] = d
	}
	b.added++
	r.nextSeq++
}

func (r *Ring) bufferFor(kind string) *buffer {
	if r.buffers[kind] == nil && len(r.buffers) >= maxKinds {
		kind = ""
	}
	b := r.buffers[kind]
	if b == nil {
		b = &buffer{}
		r.buffers[kind] = b
	}
	return b
}

// Find returns at most limit decisions, newest first, whose kind equals kind and whose subject contains subject.
// An empty kind or subject matches all.
func (r *Ring) Find(kind, subject string, limit int) []camphorhinge.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []camphorhinge.Decision
	for _, b := range r.buffers {
		for _, d := range b.decisions {
			if (kind == "" || d.Kind == kind) && strings.Contains(d.Subject, subject) {
				found = append(found, d)
			}
		}
	}
	slices.SortFunc(found, func(a, b camphorhinge.Decision) int { return cmp.Compare(b.Seq, a.Seq) })
	return found[:min(len(found), max(limit, 0))]
}
