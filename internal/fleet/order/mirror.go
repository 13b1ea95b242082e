package order

import (
	"encoding/json"
	"sync/atomic"

	"example.org/camphorhinge"
)

// holding is the part of an Entry that entry nodes need.
type holding struct {
	Service camphorhinge.ServiceName `json:"s"`
	Desired Desired                  `json:"d"`
	Hold    bool                     `json:"h,omitempty"`
}

// holds reports whether the engine must get no new work: its decision says so, or it does not match its decision.
func (h holding) holds(t *camphorhinge.Target) bool {
	return h.Hold || h.Service != t.Service || t.Busy || !h.Desired.Equal(Observed(&t.Announcement))
}

type holdings struct {
	Revision uint64                              `json:"revision"`
	Engines  map[camphorhinge.TargetName]holding `json:"engines"`
}

// Encode returns the Book's form for entry nodes, and its revision.
func (b *Book) Encode() (encoded []byte, revision uint64) {
	b.mu.RLock()
	h := holdings{Revision: b.state.Revision, Engines: make(map[camphorhinge.TargetName]holding, len(b.state.Engines))}
	for name, e := range b.state.Engines {
		h.Engines[name] = e.holding()
	}
	b.mu.RUnlock()
	return mustEncode(h), h.Revision
}

// Mirror is an entry node's copy of the Book. It is safe for use by several goroutines. Until the first Load every engine
// is held.
type Mirror struct {
	current atomic.Pointer[holdings]
}

// NewMirror returns a Mirror without content.
func NewMirror() *Mirror { return &Mirror{} }

// Load takes over an encoded Book unless it is older than the one held.
func (m *Mirror) Load(encoded []byte) error {
	h := &holdings{}
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

// Holds reports whether a target must get no new work, as Book.Holds does.
func (m *Mirror) Holds(t *camphorhinge.Target) bool {
	if t.Kind != camphorhinge.KindEngine {
		return false
	}
	h := m.current.Load()
	if h == nil {
		return true
	}
	e, ok := h.Engines[t.Name]
	return !ok || e.holds(t)
}
