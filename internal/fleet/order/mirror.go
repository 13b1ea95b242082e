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

// cordoned reports whether the engine must get no new work: its entry cordons it, or its announcement does not match
// its decision.
func (v engineView) cordoned(t *camphorhinge.Target) bool {
	return v.Cordon || v.Service != t.Service || t.Busy || !v.Desired.Equal(Observed(&t.Announcement))
}

// tableView is the part of a Table that entry nodes need, as encoded for them.
type tableView struct {
	Revision uint64                                 `json:"revision"`
	Engines  map[camphorhinge.TargetName]engineView `json:"engines"`
}

// Encode returns the part of the Table that entry nodes need, encoded, and its revision.
func (tbl *Table) Encode() (encoded []byte, revision uint64) {
	tbl.mu.RLock()
	view := tableView{Revision: tbl.state.Revision, Engines: make(map[camphorhinge.TargetName]engineView, len(tbl.state.Engines))}
	for name, e := range tbl.state.Engines {
		view.Engines[name] = e.view()
	}
	tbl.mu.RUnlock()
	return mustEncode(view), view.Revision
}

// Mirror is an entry node's copy of the part of the Table that it needs. It is safe for use by several goroutines.
// Until the first Load every engine is cordoned.
type Mirror struct {
	current atomic.Pointer[tableView]
}

// NewMirror returns a Mirror that cordons every engine until the first Load.
func NewMirror() *Mirror { return &Mirror{} }

// Load replaces the copy by one that Table.Encode returned, unless the present copy is newer.
func (m *Mirror) Load(encoded []byte) error {
	view := &tableView{}
	if err := json.Unmarshal(encoded, view); err != nil {
		return &Error{Op: "load", Kind: KindCorrupt, Err: err}
	}
	for {
		old := m.current.Load()
		if old != nil && old.Revision > view.Revision {
			return nil
		}
		if m.current.CompareAndSwap(old, view) {
			return nil
		}
	}
}

// Revision returns the revision of the copy, 0 before the first Load.
func (m *Mirror) Revision() uint64 {
	if view := m.current.Load(); view != nil {
		return view.Revision
	}
	return 0
}

// Cordoned reports whether a target must get no new work, as Table.Cordoned does.
func (m *Mirror) Cordoned(t *camphorhinge.Target) bool {
	if t.Kind != camphorhinge.KindEngine {
		return false
	}
	view := m.current.Load()
	if view == nil {
		return true
	}
	e, ok := view.Engines[t.Name]
	return !ok || e.cordoned(t)
}
