package table

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"example.org/camphorhinge"
)

// Mirror is a copy of a Table on a node without a replica, updated with Changes. Its methods are safe for concurrent
// use.
type Mirror struct {
	mu          sync.Mutex
	initialized bool
	view        atomic.Pointer[View]
}

// NewMirror returns an empty mirror, which must first receive all records.
func NewMirror() *Mirror {
	m := &Mirror{}
	m.view.Store(emptyView())
	return m
}

// View returns an immutable view of the records as of the last Apply.
func (m *Mirror) View() *View { return m.view.Load() }

// Initialized reports whether the mirror has received all records at least once.
func (m *Mirror) Initialized() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.initialized
}

// Apply applies changes and returns the mirror's revision. Changes up to that revision are skipped, so duplicate and
// late responses are harmless. If the changes do not follow the mirror's revision, Apply returns an error of KindGap
// and changes nothing; the node must then request all records.
func (m *Mirror) Apply(in Changes) (camphorhinge.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view.Load()
	list := make([]Change, len(in.Changes))
	for i, encoded := range in.Changes {
		if err := json.Unmarshal(encoded, &list[i]); err != nil {
			return v.revision, &Error{Op: "apply changes", Kind: KindCorrupt, Err: err}
		}
	}
	if m.initialized && in.Revision <= v.revision {
		return v.revision, nil
	}
	if in.Full {
		m.initialized = true
		m.view.Store(v.withRecords(in.Revision, list))
		return in.Revision, nil
	}
	if !m.initialized {
		return v.revision, &Error{Op: "apply changes", Kind: KindGap, Err: fmt.Errorf("the mirror has not received all records yet")}
	}
	next := v.revision
	var pending []Change
	for _, c := range list {
		if c.Revision <= next {
			continue
		}
		if c.Revision != next+1 {
			return v.revision, &Error{Op: "apply changes", Kind: KindGap, Err: fmt.Errorf("revision %d after %d", c.Revision, next)}
		}
		next = c.Revision
		pending = append(pending, c)
	}
	if next != in.Revision {
		return v.revision, &Error{Op: "apply changes", Kind: KindGap, Err: fmt.Errorf("changes end at revision %d, want %d", next, in.Revision)}
	}
	m.view.Store(v.withChanges(in.Revision, pending))
	return in.Revision, nil
}
