package order

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// maxEngines bounds the entries of a Book; the size of two years has 10,000 replicas in regional cells.
const maxEngines = 16384

// Desired is what an engine shall serve and which role it shall play. Models and Adapters are sorted.
type Desired struct {
	Role     camphorhinge.Role          `json:"role"`
	Models   []camphorhinge.ModelName   `json:"models"`
	Adapters []camphorhinge.AdapterName `json:"adapters"`
}

func sorted[T cmp.Ordered](in []T) []T {
	out := append(make([]T, 0, len(in)), in...)
	slices.Sort(out)
	return slices.Compact(out)
}

func (d Desired) normal() Desired {
	return Desired{Role: d.Role, Models: sorted(d.Models), Adapters: sorted(d.Adapters)}
}

// Equal reports whether both name the same state.
func (d Desired) Equal(o Desired) bool {
	d, o = d.normal(), o.normal()
	return d.Role == o.Role && slices.Equal(d.Models, o.Models) && slices.Equal(d.Adapters, o.Adapters)
}

// Observed is the state that an engine announces.
func Observed(a *camphorhinge.Announcement) Desired {
	return Desired{Role: a.Role, Models: a.Models, Adapters: a.Adapters}.normal()
}

// Order is one committed order. State is Recorded or Unknown while it is open, and Done, Refused or Abandoned after.
type Order struct {
	Engine      camphorhinge.TargetName  `json:"engine"`
	Incarnation camphorhinge.Incarnation `json:"incarnation"`
	Fence       camphorhinge.Term        `json:"fence"`
	Seq         camphorhinge.Sequence    `json:"seq"`
	Desired     Desired                  `json:"desired"`
	State       State                    `json:"state"`
}

func (o *Order) same(p *Order) bool { return o.Fence == p.Fence && o.Seq == p.Seq }

// Entry is what the Book holds of one engine.
type Entry struct {
	Engine  camphorhinge.TargetName  `json:"engine"`
	Service camphorhinge.ServiceName `json:"service"`
	Desired Desired                  `json:"desired"`
	// Draining tells nodes to send no new work, from the decision to change the engine until the change is done.
	Draining bool `json:"draining,omitempty"`
	// Seq is the highest sequence that an order to this engine carried; the seal before an order has the one below.
	Seq  camphorhinge.Sequence `json:"seq"`
	Open *Order                `json:"open,omitempty"`
	Last *Order                `json:"last,omitempty"`
	// Revision is the Book's revision of the latest change of this entry.
	Revision uint64 `json:"revision"`
}

// Book is the replicated state of decisions and orders; it implements camphorhinge.Machine.
type Book struct {
	mu    sync.RWMutex
	state bookState
}

type bookState struct {
	Revision uint64                             `json:"revision"`
	Term     camphorhinge.Term                  `json:"term"`
	Seq      camphorhinge.Sequence              `json:"seq"`
	Engines  map[camphorhinge.TargetName]*Entry `json:"engines"`
}

var _ camphorhinge.Machine = (*Book)(nil)

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{state: bookState{Engines: map[camphorhinge.TargetName]*Entry{}}} }

// Apply implements camphorhinge.Machine.
func (b *Book) Apply(e camphorhinge.Entry, encoded []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Term = max(b.state.Term, e.Term)
	var c command
	code := codeCorrupt
	if json.Unmarshal(encoded, &c) == nil {
		code = b.apply(c)
	}
	return mustEncode(result{Code: code, Term: b.state.Term})
}

func (b *Book) apply(c command) code {
	if c.Term < b.state.Term {
		return codeStale
	}
	b.state.Term = c.Term
	switch c.Op {
	case opBegin:
		return codeOK
	case opDecide:
		return b.decide(c)
	case opRecord:
		return b.record(c)
	case opResolve:
		return b.resolve(c)
	case opForget:
		return b.forget(c)
	}
	return codeCorrupt
}

func (b *Book) decide(c command) code {
	old := b.state.Engines[c.Engine]
	if old == nil && len(b.state.Engines) >= maxEngines {
		return codeFull
	}
	next := Entry{Engine: c.Engine, Seq: b.state.Seq}
	if old != nil {
		next = *old
		if old.Service == c.Service && old.Desired.Equal(c.Desired) && old.Draining == c.Draining {
			return codeOK
		}
	}
	next.Service, next.Desired, next.Draining = c.Service, c.Desired.normal(), c.Draining
	b.put(next)
	return codeOK
}

func (b *Book) record(c command) code {
	e, o := b.state.Engines[c.Engine], c.Order
	switch {
	case o == nil || o.Fence != c.Term || o.Engine != c.Engine:
		return codeCorrupt
	case e == nil:
		return codeAbsent
	case e.Open != nil && e.Open.same(o):
		return codeOK // the same command was proposed again after an uncertain outcome
	case e.Open != nil:
		return codeOpen
	case o.Seq <= e.Seq:
		return codeSequence
	case !o.Desired.Equal(e.Desired):
		return codeDiffers
	}
	next, opened := *e, *o
	opened.Desired, opened.State = o.Desired.normal(), Recorded
	next.Open, next.Seq, next.Draining = &opened, o.Seq, true
	b.state.Seq = max(b.state.Seq, o.Seq)
	b.put(next)
	return codeOK
}

func (b *Book) resolve(c command) code {
	e, o := b.state.Engines[c.Engine], c.Order
	switch {
	case o == nil:
		return codeCorrupt
	case e == nil:
		return codeAbsent
	case e.Open == nil && e.Last != nil && e.Last.same(o) && e.Last.State == o.State:
		return codeOK
	case e.Open == nil || !e.Open.same(o):
		return codeClosed
	}
	next, closed := *e, *e.Open
	closed.State = o.State
	switch o.State {
	case Unknown:
		next.Open = &closed
	case Done, Refused, Abandoned:
		next.Open, next.Last = nil, &closed
		if o.State == Done && next.Desired.Equal(closed.Desired) {
			next.Draining = false
		}
	default:
		return codeCorrupt
	}
	b.put(next)
	return codeOK
}

func (b *Book) forget(c command) code {
	e := b.state.Engines[c.Engine]
	if e == nil {
		return codeOK
	}
	if e.Open != nil {
		return codeOpen
	}
	delete(b.state.Engines, c.Engine)
	b.state.Revision++
	return codeOK
}

// put replaces an entry; readers hold pointers to the former one, which does not change.
func (b *Book) put(e Entry) {
	b.state.Revision++
	e.Revision = b.state.Revision
	b.state.Engines[e.Engine] = &e
}

// Snapshot implements camphorhinge.Machine.
func (b *Book) Snapshot() ([]byte, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return mustEncode(b.state), nil
}

// Restore implements camphorhinge.Machine.
func (b *Book) Restore(snapshot []byte) error {
	s := bookState{}
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &s); err != nil {
			return &Error{Op: "restore", Kind: KindCorrupt, Err: err}
		}
	}
	if s.Engines == nil {
		s.Engines = map[camphorhinge.TargetName]*Entry{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = s
	return nil
}

// Entry returns what the Book holds of an engine; the caller must not change what it points to.
func (b *Book) Entry(name camphorhinge.TargetName) (Entry, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e := b.state.Engines[name]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns all entries, sorted by engine.
func (b *Book) Entries() []Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]Entry, 0, len(b.state.Engines))
	for _, name := range slices.Sorted(maps.Keys(b.state.Engines)) {
		out = append(out, *b.state.Engines[name])
	}
	return out
}

// Revision returns the number of changes of the Book.
func (b *Book) Revision() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.state.Revision
}

// Holds reports whether a target must get no new work: it is an engine whose state differs from its decision, that has
// no decision yet, or that is about to change.
func (b *Book) Holds(t *camphorhinge.Target) bool {
	if t.Kind != camphorhinge.KindEngine {
		return false
	}
	e, ok := b.Entry(t.Name)
	return !ok || e.holding().holds(t)
}

// holding returns the part of the entry that entry nodes need.
func (e *Entry) holding() holding {
	return holding{Service: e.Service, Desired: e.Desired, Hold: e.Draining || e.Open != nil}
}
