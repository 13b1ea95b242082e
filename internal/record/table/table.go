package table

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
)

// Bounds of the changes that are kept for nodes that lag; a node beyond them gets all records.
const (
	// MaxWindowChanges is the greatest number of kept changes.
	MaxWindowChanges = 1024
	// MaxWindowBytes is the greatest size of the kept changes, in bytes.
	MaxWindowBytes = 4 << 20
)

// Table is the replicated state of the records. Apply, Snapshot and Restore are called by one goroutine; the other
// methods may be called by any.
type Table struct {
	mu       sync.RWMutex
	revision camphorhinge.Revision
	records  map[schema.Key]*record
	window   window
	view     atomic.Pointer[View]
}

var _ camphorhinge.Machine = (*Table)(nil)

// record is the state of one name; it outlives a withdrawal as a tombstone.
type record struct {
	history history
	// raw is the document in force; it is nil after a withdrawal.
	raw []byte
}

func (r *record) latest() historyEntry { return r.history[len(r.history)-1] }

// New returns an empty table at revision 0.
func New() *Table {
	t := &Table{records: map[schema.Key]*record{}}
	t.view.Store(emptyView())
	return t
}

// View returns the records in force; it never changes.
func (t *Table) View() *View { return t.view.Load() }

// Apply implements camphorhinge.Machine; the command and the result are those of Command and Result.
func (t *Table) Apply(e camphorhinge.Entry, command []byte) []byte {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return Result{Outcome: Refused, Revision: t.current(), Message: "unreadable command: " + err.Error()}.encode()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(e, c).encode()
}

func (t *Table) current() camphorhinge.Revision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.revision
}

// apply is called with t.mu held.
func (t *Table) apply(e camphorhinge.Entry, c Command) Result {
	now := historyEntry{version: c.Version, time: e.Stamp, withdraw: c.Withdraw}
	if message := validateCommand(c, &now); message != "" {
		return Result{Outcome: Refused, Revision: t.revision, Message: message}
	}
	r := t.records[c.Key]
	if r == nil {
		if c.Withdraw {
			return Result{Outcome: Absent, Revision: t.revision}
		}
		r = &record{}
		t.records[c.Key] = r
	}
	if len(r.history) > 0 && c.Version <= r.latest().version {
		earlier, found := r.history.find(c.Version)
		if found && earlier.withdraw == now.withdraw && earlier.digest == now.digest {
			return Result{Outcome: Accepted, Revision: earlier.revision, Repeated: true}
		}
		if !found {
			earlier = r.latest()
		}
		winner := earlier.toWrite()
		return Result{Outcome: Conflict, Revision: t.revision, Winner: &winner}
	}
	t.revision++
	now.revision = t.revision
	r.history = r.history.add(now)
	r.raw = c.Raw
	change := Change{Key: c.Key, Write: now.toWrite(), Raw: c.Raw}
	t.window.add(t.revision, change.encode())
	t.view.Store(t.view.Load().withChanges(t.revision, []Change{change}))
	return Result{Outcome: Accepted, Revision: t.revision}
}

// Preview returns what Apply would answer to a command, given the writes that History returned. The revision of a write
// that would be accepted is 0, as are those of refusals.
func Preview(history []Write, c Command) Result {
	if message := validateCommand(c, &historyEntry{}); message != "" {
		return Result{Outcome: Refused, Message: message}
	}
	if len(history) == 0 {
		if c.Withdraw {
			return Result{Outcome: Absent}
		}
		return Result{Outcome: Accepted}
	}
	latest := history[len(history)-1]
	if c.Version > latest.Version {
		return Result{Outcome: Accepted}
	}
	for _, w := range history {
		if w.Version != c.Version {
			continue
		}
		if w.Withdraw == c.Withdraw && w.Digest == c.Digest {
			return Result{Outcome: Accepted, Revision: w.Revision, Repeated: true}
		}
		return Result{Outcome: Conflict, Winner: &w}
	}
	return Result{Outcome: Conflict, Winner: &latest}
}

// validateCommand checks what each program version checks alike, and fills in the digest.
func validateCommand(c Command, p *historyEntry) string {
	if c.Kind == "" || c.Name == "" || c.Version == 0 {
		return "kind, name and a version from 1 are needed"
	}
	if c.Withdraw {
		if len(c.Raw) > 0 || c.Digest != "" {
			return "a withdrawal has no document"
		}
		return ""
	}
	sum, err := hex.DecodeString(string(c.Digest))
	if err != nil || len(sum) != digestBytes || len(c.Raw) == 0 {
		return "a document and its digest are needed"
	}
	copy(p.digest[:], sum)
	return ""
}

// History returns the kept writes of a record, by rising version; it is empty for an unknown record.
func (t *Table) History(key schema.Key) []Write {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.records[key]
	if r == nil {
		return nil
	}
	out := make([]Write, len(r.history))
	for i, p := range r.history {
		out[i] = p.toWrite()
	}
	return out
}

// Since returns what brings a node at the given revision to the current one: the changes after it, or all records when
// the changes are no longer kept or the revision is not one of this table. A node without any configuration asks with
// full set.
func (t *Table) Since(revision camphorhinge.Revision, full bool) Changes {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := Changes{Revision: t.revision}
	if !full && revision == t.revision {
		return out
	}
	if !full && revision < t.revision {
		if list, ok := t.window.since(revision); ok {
			out.Changes = list
			return out
		}
	}
	out.Full = true
	for _, key := range t.keys() {
		if r := t.records[key]; r.raw != nil {
			out.Changes = append(out.Changes, Change{Key: key, Write: r.latest().toWrite(), Raw: r.raw}.encode())
		}
	}
	return out
}

// keys returns the keys of all records, tombstones included, sorted.
func (t *Table) keys() []schema.Key {
	return slices.SortedFunc(maps.Keys(t.records), compareKeys)
}

func compareKeys(a, b schema.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

type encodedTable struct {
	Revision camphorhinge.Revision `json:"revision"`
	Records  []encodedRecord       `json:"records"`
}

type encodedRecord struct {
	schema.Key
	History []byte `json:"history"`
	Raw     []byte `json:"raw,omitempty"`
}

// Snapshot implements camphorhinge.Machine. The window of changes is not part of it: after a restore, nodes that lag
// get all records once.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := encodedTable{Revision: t.revision, Records: []encodedRecord{}}
	for _, key := range t.keys() {
		r := t.records[key]
		out.Records = append(out.Records, encodedRecord{Key: key, History: r.history.encode(), Raw: r.raw})
	}
	text, err := json.Marshal(out)
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: KindCorrupt, Err: err}
	}
	return text, nil
}

// Restore implements camphorhinge.Machine. After an error the table is unchanged.
func (t *Table) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		snapshot = []byte("{}") // The first state.
	}
	var in encodedTable
	if err := json.Unmarshal(snapshot, &in); err != nil {
		return &Error{Op: "restore", Kind: KindCorrupt, Err: err}
	}
	records := make(map[schema.Key]*record, len(in.Records))
	var live []Change
	for _, one := range in.Records {
		h, err := decodeHistory(one.History)
		if err == nil && len(h) == 0 {
			err = errors.New("no history")
		}
		if err == nil && records[one.Key] != nil {
			err = errors.New("listed twice")
		}
		if err != nil {
			return &Error{Op: "restore", Kind: KindCorrupt, Err: fmt.Errorf("%s: %w", one.Key, err)}
		}
		r := &record{history: h, raw: one.Raw}
		if (r.raw == nil) != r.latest().withdraw {
			return &Error{Op: "restore", Kind: KindCorrupt, Err: fmt.Errorf("%s: document does not match its history", one.Key)}
		}
		records[one.Key] = r
		if r.raw != nil {
			live = append(live, Change{Key: one.Key, Write: r.latest().toWrite(), Raw: r.raw})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision, t.records, t.window = in.Revision, records, window{last: in.Revision}
	t.view.Store(t.view.Load().withRecords(in.Revision, live))
	return nil
}

// window holds the latest encoded changes, without a gap in their revisions.
type window struct {
	// last is the revision of the last change.
	last  camphorhinge.Revision
	list  [][]byte
	bytes int
}

func (w *window) add(revision camphorhinge.Revision, encoded []byte) {
	w.last = revision
	w.list = append(w.list, encoded)
	w.bytes += len(encoded)
	drop := 0
	for len(w.list)-drop > MaxWindowChanges || w.bytes > MaxWindowBytes {
		w.bytes -= len(w.list[drop])
		w.list[drop] = nil
		drop++
	}
	w.list = w.list[drop:]
}

// since returns the changes after a revision, in order; ok is false when some are no longer kept.
func (w *window) since(revision camphorhinge.Revision) (list [][]byte, ok bool) {
	behind := w.last - revision
	if revision > w.last || behind > camphorhinge.Revision(len(w.list)) {
		return nil, false
	}
	return slices.Clone(w.list[len(w.list)-int(behind):]), true
}

func (c Change) encode() []byte {
	// A Change holds only strings, numbers and bytes, which Marshal does not refuse.
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}
