package table

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"example.org/camphorhinge"
)

// Mirror follows a Table on a node without a replica, by way of Changes.
type Mirror struct {
	mu          sync.Mutex
	initialized bool
	view        atomic.Pointer[View]
}

// NewMirror returns a mirror without a configuration.
func NewMirror() *Mirror {
	m := &Mirror{}
	m.view.Store(emptyView())
	return m
}

// View returns the records as of the last Apply; it never changes.
func (m *Mirror) View() *View { return m.view.Load() }

// Initialized reports whether the mirror has taken a configuration.
func (m *Mirror) Initialized() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.initialized
}

// Apply takes changes and returns the revision in force. Changes up to the mirror's revision are passed over, so that
// an answer may arrive twice or late. On a gap it returns an error of KindGap and changes nothing; the node then asks
// for all records.
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
		return v.revision, &Error{Op: "apply changes", Kind: KindGap, Err: fmt.Errorf("no configuration yet")}
	}
	next := v.revision
	var fresh []Change
	for _, c := range list {
		if c.Revision <= next {
			continue
		}
		if c.Revision != next+1 {
			return v.revision, &Error{Op: "apply changes", Kind: KindGap, Err: fmt.Errorf("revision %d after %d", c.Revision, next)}
		}
		next = c.Revision
		fresh = append(fresh, c)
	}
	if next != in.Revision {
		return v.revision, &Error{Op: "apply changes", Kind: KindGap, Err: fmt.Errorf("changes end at revision %d of %d", next, in.Revision)}
	}
	m.view.Store(v.withChanges(in.Revision, fresh))
	return in.Revision, nil
}
