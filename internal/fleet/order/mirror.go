package order

import (
	"encoding/json"
	"sync/atomic"

	"example.org/camphorhinge"
)

// engineView is the part of an Entry that entry nodes need.
type engineView struct {
	Service camphorhinge.ServiceName `json:"s"`
	Desired Desired                  `json:"d"`
	Cordon  bool                     `json:"h,omitempty"`
}

// cordoned reports whether the engine must get no new work: its decision says so, or it does not match its decision.
func (h engineView) cordoned(t *camphorhinge.Target) bool {
	return h.Cordon || h.Service != t.Service || t.Busy || !h.Desired.Equal(Observed(&t.Announcement))
}

type tableView struct {
	Revision uint64                                 `json:"revision"`
	Engines  map[camphorhinge.TargetName]engineView `json:"engines"`
}

// Encode returns the Book's form for entry nodes, and its revision.
func (tbl *Table) Encode() (encoded []byte, revision uint64) {
	tbl.mu.RLock()
	h := tableView{Revision: tbl.state.Revision, Engines: make(map[camphorhinge.TargetName]engineView, len(tbl.state.Engines))}
	for name, e := range tbl.state.Engines {
		h.Engines[name] = e.view()
	}
	tbl.mu.RUnlock()
	return mustEncode(h), h.Revision
}

// Mirror is an entry node's copy of the Book. It is safe for use by several goroutines. Until the first Load every engine
// is held.
type Mirror struct {
	current atomic.Pointer[tableView]
}

// NewMirror returns a Mirror without content.
func NewMirror() *Mirror { return &Mirror{} }

// Load takes over an encoded Book unless it is older than the one held.
func (m *Mirror) Load(encoded []byte) error {
	h := &tableView{}
	if err := json.Unmarshal(encoded, h); err != nil {
		return &Error{Op: "load", Kind: KindCorrupt, Err: err}
	}
	for {
		old := m.current.Load()
		if old != nil && old.Revision > h.Revision {
			return nil
		}
		if m.current.CompareAndSwap(old, h) {
			return nil
		}
	}
}

// Revision returns the revision of the Book that is held, 0 before the first Load.
func (m *Mirror) Revision() uint64 {
	if h := m.current.Load(); h != nil {
		return h.Revision
	}
	return 0
}

// Cordoned reports whether a target must get no new work, as Book.Cordoned does.
func (m *Mirror) Cordoned(t *camphorhinge.Target) bool {
	if t.Kind != camphorhinge.KindEngine {
		return false
	}
	h := m.current.Load()
	if h == nil {
		return true
	}
	e, ok := h.Engines[t.Name]
	return !ok || e.cordoned(t)
}
