package order

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// maxEngines bounds the entries of a Table. The fleet expected in two years has 10,000 replicas in regional cells.
const maxEngines = 16384

// Desired is the state that an engine is meant to have. Models and Adapters are sorted.
type Desired struct {
	Role     camphorhinge.Role          `json:"role"`
	Models   []camphorhinge.ModelName   `json:"models"`
	Adapters []camphorhinge.AdapterName `json:"adapters"`
}

func sortedUnique[T cmp.Ordered](in []T) []T {
	out := append(make([]T, 0, len(in)), in...)
	slices.Sort(out)
	return slices.Compact(out)
}

func (d Desired) normalized() Desired {
	return Desired{Role: d.Role, Models: sortedUnique(d.Models), Adapters: sortedUnique(d.Adapters)}
}

// Equal reports whether both describe the same state, whatever the order of models and adapters.
func (d Desired) Equal(o Desired) bool {
	d, o = d.normalized(), o.normalized()
	return d.Role == o.Role && slices.Equal(d.Models, o.Models) && slices.Equal(d.Adapters, o.Adapters)
}

// Observed returns the state that an engine announces, normalized.
func Observed(a *camphorhinge.Announcement) Desired {
	return Desired{Role: a.Role, Models: a.Models, Adapters: a.Adapters}.normalized()
}

// Order is one committed order. State is Recorded or Unknown while the order is open, and Done, Refused or Abandoned
// once it is closed.
type Order struct {
	Engine      camphorhinge.TargetName  `json:"engine"`
	Incarnation camphorhinge.Incarnation `json:"incarnation"`
	Fence       camphorhinge.Term        `json:"fence"`
	Seq         camphorhinge.Sequence    `json:"seq"`
	Desired     Desired                  `json:"desired"`
	State       State                    `json:"state"`
}

func (o *Order) sameID(p *Order) bool { return o.Fence == p.Fence && o.Seq == p.Seq }

// Entry is the Table's state of one engine.
type Entry struct {
	Engine  camphorhinge.TargetName  `json:"engine"`
	Service camphorhinge.ServiceName `json:"service"`
	Desired Desired                  `json:"desired"`
	// Draining cordons the engine, from the decision to change it until the change is done.
	Draining bool `json:"draining,omitempty"`
	// Seq is the highest sequence of any order to this engine. The fencing call before an order uses the sequence
	// below it.
	Seq camphorhinge.Sequence `json:"seq"`
	// Open is the order whose outcome is not established yet; Last is the latest closed order.
	Open *Order `json:"open,omitempty"`
	Last *Order `json:"last,omitempty"`
	// Revision is the Table's revision at the latest change of this entry.
	Revision uint64 `json:"revision"`
}

// Table is the replicated state of decisions and orders; it implements camphorhinge.Machine.
type Table struct {
	mu    sync.RWMutex
	state tableState
}

type tableState struct {
	Revision uint64 `json:"revision"`
	// Term is the highest term of any command or log entry applied.
	Term camphorhinge.Term `json:"term"`
	// Seq is the highest sequence of any order. New entries start from it, so that an engine that was removed and
	// returns gets no sequence twice.
	Seq     camphorhinge.Sequence              `json:"seq"`
	Engines map[camphorhinge.TargetName]*Entry `json:"engines"`
}

var _ camphorhinge.Machine = (*Table)(nil)

// NewTable returns a Table without entries, at revision 0.
func NewTable() *Table {
	return &Table{state: tableState{Engines: map[camphorhinge.TargetName]*Entry{}}}
}

// Apply implements camphorhinge.Machine.
func (tbl *Table) Apply(e camphorhinge.Entry, encoded []byte) []byte {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.state.Term = max(tbl.state.Term, e.Term)
	var c command
	code := codeCorrupt
	if json.Unmarshal(encoded, &c) == nil {
		code = tbl.apply(c)
	}
	return mustEncode(result{Code: code, Term: tbl.state.Term})
}

func (tbl *Table) apply(c command) code {
	if c.Term < tbl.state.Term {
		return codeStale
	}
	tbl.state.Term = c.Term
	switch c.Op {
	case opBegin:
		return codeOK
	case opDecide:
		return tbl.decide(c)
	case opRecord:
		return tbl.record(c)
	case opResolve:
		return tbl.resolve(c)
	case opRemove:
		return tbl.remove(c)
	}
	return codeCorrupt
}

func (tbl *Table) decide(c command) code {
	old := tbl.state.Engines[c.Engine]
	if old == nil && len(tbl.state.Engines) >= maxEngines {
		return codeFull
	}
	next := Entry{Engine: c.Engine, Seq: tbl.state.Seq}
	if old != nil {
		next = *old
		if old.Service == c.Service && old.Desired.Equal(c.Desired) && old.Draining == c.Draining {
			return codeOK
		}
	}
	next.Service, next.Desired, next.Draining = c.Service, c.Desired.normalized(), c.Draining
	tbl.put(next)
	return codeOK
}

func (tbl *Table) record(c command) code {
	e, o := tbl.state.Engines[c.Engine], c.Order
	switch {
	case o == nil || o.Fence != c.Term || o.Engine != c.Engine:
		return codeCorrupt
	case e == nil:
		return codeAbsent
	case e.Open != nil && e.Open.sameID(o):
		return codeOK // the same command was proposed again after an uncertain outcome
	case e.Open != nil:
		return codeOpen
	case o.Seq <= e.Seq:
		return codeSequence
	case !o.Desired.Equal(e.Desired):
		return codeDiffers
	}
	next, opened := *e, *o
	opened.Desired, opened.State = o.Desired.normalized(), Recorded
	next.Open, next.Seq, next.Draining = &opened, o.Seq, true
	tbl.state.Seq = max(tbl.state.Seq, o.Seq)
	tbl.put(next)
	return codeOK
}

func (tbl *Table) resolve(c command) code {
	e, o := tbl.state.Engines[c.Engine], c.Order
	switch {
	case o == nil:
		return codeCorrupt
	case e == nil:
		return codeAbsent
	case e.Open == nil && e.Last != nil && e.Last.sameID(o) && e.Last.State == o.State:
		return codeOK
	case e.Open == nil || !e.Open.sameID(o):
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
	tbl.put(next)
	return codeOK
}

func (tbl *Table) remove(c command) code {
	e := tbl.state.Engines[c.Engine]
	if e == nil {
		return codeOK
	}
	if e.Open != nil {
		return codeOpen
	}
	delete(tbl.state.Engines, c.Engine)
	tbl.state.Revision++
	return codeOK
}

// put replaces an entry instead of changing it. Copies that Entry returned share the orders and slices of the former
// entry, so those must not change either.
func (tbl *Table) put(e Entry) {
	tbl.state.Revision++
	e.Revision = tbl.state.Revision
	tbl.state.Engines[e.Engine] = &e
}

// Snapshot implements camphorhinge.Machine.
func (tbl *Table) Snapshot() ([]byte, error) {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	return mustEncode(tbl.state), nil
}

// Restore implements camphorhinge.Machine.
func (tbl *Table) Restore(snapshot []byte) error {
	s := tableState{}
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &s); err != nil {
			return &Error{Op: "restore", Kind: KindCorrupt, Err: err}
		}
	}
	if s.Engines == nil {
		s.Engines = map[camphorhinge.TargetName]*Entry{}
	}
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.state = s
	return nil
}

// Entry returns the entry of an engine; the caller must not change what it points to.
func (tbl *Table) Entry(name camphorhinge.TargetName) (Entry, bool) {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	e := tbl.state.Engines[name]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns all entries, sorted by engine.
func (tbl *Table) Entries() []Entry {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	out := make([]Entry, 0, len(tbl.state.Engines))
	for _, name := range slices.Sorted(maps.Keys(tbl.state.Engines)) {
		out = append(out, *tbl.state.Engines[name])
	}
	return out
}

// Revision returns the number of changes applied to the Table.
func (tbl *Table) Revision() uint64 {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	return tbl.state.Revision
}

// Cordoned reports whether a target must get no new work: an engine whose observed state differs from its decision,
// that has no decision yet, or that is changing or about to change. Plain services are never cordoned.
func (tbl *Table) Cordoned(t *camphorhinge.Target) bool {
	if t.Kind != camphorhinge.KindEngine {
		return false
	}
	e, ok := tbl.Entry(t.Name)
	return !ok || e.view().cordoned(t)
}

// view returns the part of the entry that entry nodes need.
func (e *Entry) view() engineView {
	return engineView{Service: e.Service, Desired: e.Desired, Cordon: e.Draining || e.Open != nil}
}
