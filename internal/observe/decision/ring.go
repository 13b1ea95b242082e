package decision

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/camphorhinge"
)

// maxKinds is the number of kinds that get a buffer of their own; all further kinds share one buffer.
const maxKinds = 16

// Ring stores the last decisions of a node; it implements camphorhinge.Decisions and is safe for concurrent use. Each
// kind has a buffer of its own, so that frequent routing decisions do not evict the rare role changes.
type Ring struct {
	size uint64

	mu      sync.Mutex
	nextSeq uint64
	buffers map[string]*buffer
}

// buffer is a ring buffer of the last decisions of one kind; added counts all decisions ever added to it.
type buffer struct {
	decisions []camphorhinge.Decision
	added     uint64
}

// New returns an empty Ring that stores at most size decisions of each kind.
func New(size int) *Ring {
	return &Ring{size: uint64(size), buffers: map[string]*buffer{}}
}

// Record appends a decision and drops the oldest one of its kind when the buffer is full.
func (r *Ring) Record(kind, subject, reason string, inputs map[string]string) {
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

// bufferFor returns the buffer of a kind and creates it if needed. It is called with r.mu held.
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

// Find returns at most limit decisions, newest first, whose kind equals kind and whose subject contains subject. An
// empty kind or subject matches all decisions.
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
