package decision

import (
	"strings"
	"sync"
	"time"

	"example.org/camphorhinge"
)

// Ring holds the last decisions of a node; it implements camphorhinge.Decisions.
type Ring struct {
	mu   sync.Mutex
	buf  []camphorhinge.Decision
	next uint64
}

// New returns a Ring that keeps size decisions; size is at least 1.
func New(size int) *Ring {
	return &Ring{buf: make([]camphorhinge.Decision, size)}
}

// Note appends a decision and drops the oldest one when the ring is full.
func (r *Ring) Note(kind, subject, reason string, inputs map[string]string) {
	now := time.Now().UnixMilli()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf[r.next%uint64(len(r.buf))] = camphorhinge.Decision{
		Seq: r.next, At: now, Kind: kind, Subject: subject, Reason: reason, Inputs: inputs,
	}
	r.next++
}

// Find returns at most limit decisions, newest first, whose kind equals kind and whose subject contains subject.
// An empty kind or subject matches all.
func (r *Ring) Find(kind, subject string, limit int) []camphorhinge.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []camphorhinge.Decision
	size := uint64(len(r.buf))
	for i := uint64(1); i <= size && i <= r.next && len(found) < limit; i++ {
		d := r.buf[(r.next-i)%size]
		if kind != "" && d.Kind != kind {
			continue
		}
		if !strings.Contains(d.Subject, subject) {
			continue
		}
		found = append(found, d)
	}
	return found
}
