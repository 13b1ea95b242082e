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

// Limits of the change window, from which lagging nodes catch up; a node that lags further receives all records.
const (
	// MaxWindowChanges is the maximum number of changes in the window.
	MaxWindowChanges = 1024
	// MaxWindowBytes is the maximum total size of the encoded changes in the window, in bytes.
	MaxWindowBytes = 4 << 20
)

// Table is the replicated state of the records. Apply, Snapshot and Restore must be called from a single goroutine; the
// other methods are safe for concurrent use.
type Table struct {
	mu       sync.RWMutex
	revision camphorhinge.Revision
	records  map[schema.Key]*record
	window   window
	view     atomic.Pointer[View]
}

var _ camphorhinge.Machine = (*Table)(nil)

// record is the state of one kind and name; after a withdrawal it remains as a tombstone.
type record struct {
	history history
	// raw is the current document; it is nil after a withdrawal.
	raw []byte
}

func (r *record) latest() historyEntry { return r.history[len(r.history)-1] }

// New returns an empty table at revision 0.
func New() *Table {
	t := &Table{records: map[schema.Key]*record{}}
	t.view.Store(emptyView())
	return t
}

// View returns an immutable view of the current records.
func (t *Table) View() *View { return t.view.Load() }

// Apply implements camphorhinge.Machine; command is an encoded Command and the return value an encoded Result.
func (t *Table) Apply(e camphorhinge.Entry, command []byte) []byte {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return Result{Outcome: Refused, Revision: t.current(), Message: "decode command: " + err.Error()}.encode()
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

// apply applies a decoded command. It is called with t.mu held.
func (t *Table) apply(e camphorhinge.Entry, c Command) Result {
	entry := historyEntry{version: c.Version, time: e.Stamp, withdraw: c.Withdraw}
	if message := validateCommand(c, &entry); message != "" {
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
		if found && earlier.withdraw == entry.withdraw && earlier.digest == entry.digest {
			return Result{Outcome: Accepted, Revision: earlier.revision, Repeated: true}
		}
		if !found {
			earlier = r.latest()
		}
		winner := earlier.toWrite()
		return Result{Outcome: Conflict, Revision: t.revision, Winner: &winner}
	}
	t.revision++
	entry.revision = t.revision
	r.history = r.history.add(entry)
	r.raw = c.Raw
	change := Change{Key: c.Key, Write: entry.toWrite(), Raw: c.Raw}
	t.window.add(t.revision, change.encode())
	t.view.Store(t.view.Load().withChanges(t.revision, []Change{change}))
	return Result{Outcome: Accepted, Revision: t.revision}
}

// Preview returns the result that Apply would return for a command, given the record's History. Result.Revision is 0,
// except for a repeated write.
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

// validateCommand makes only the checks that are the same in all program versions, so that replicas agree. It stores
// the command's digest in entry, and returns the reason for a refusal or an empty string.
func validateCommand(c Command, entry *historyEntry) string {
	if c.Kind == "" || c.Name == "" || c.Version == 0 {
		return "kind, name and a version of at least 1 are required"
	}
	if c.Withdraw {
		if len(c.Raw) > 0 || c.Digest != "" {
			return "a withdrawal must not have a document or digest"
		}
		return ""
	}
	sum, err := hex.DecodeString(string(c.Digest))
	if err != nil || len(sum) != digestBytes || len(c.Raw) == 0 {
		return "a document and its SHA-256 digest are required"
	}
	copy(entry.digest[:], sum)
	return ""
}

// History returns the last HistoryLimit writes of a record, in ascending order of version, or nil if the record does
// not exist.
func (t *Table) History(key schema.Key) []Write {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.records[key]
	if r == nil {
		return nil
	}
	out := make([]Write, len(r.history))
	for i, e := range r.history {
		out[i] = e.toWrite()
	}
	return out
}

// Since returns what a node at the given revision needs to reach the current one: the changes after that revision, or
// all records when those changes are no longer in the window or the revision is above the current one. A node that
// has never received the records sets full to receive all of them.
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

// keys returns the sorted keys of all records, including tombstones.
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

// Snapshot implements camphorhinge.Machine. It does not include the change window, so lagging nodes receive all records
// once after a restore.
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

// Restore implements camphorhinge.Machine. On error the table is unchanged.
func (t *Table) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		snapshot = []byte("{}") // An empty snapshot stands for the initial state.
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
			err = errors.New("history is empty")
		}
		if err == nil && records[one.Key] != nil {
			err = errors.New("duplicate record")
		}
		if err != nil {
			return &Error{Op: "restore", Kind: KindCorrupt, Err: fmt.Errorf("%s: %w", one.Key, err)}
		}
		r := &record{history: h, raw: one.Raw}
		if (r.raw == nil) != r.latest().withdraw {
			return &Error{Op: "restore", Kind: KindCorrupt, Err: fmt.Errorf("%s: document and history disagree on whether the record is withdrawn", one.Key)}
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

// window holds the latest encoded changes, with consecutive revisions.
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

// since returns the changes after a revision, in order; ok is false when some of them are no longer in the window or
// the revision is above the last one.
func (w *window) since(revision camphorhinge.Revision) (list [][]byte, ok bool) {
	behind := w.last - revision
	if revision > w.last || behind > camphorhinge.Revision(len(w.list)) {
		return nil, false
	}
	return slices.Clone(w.list[len(w.list)-int(behind):]), true
}

func (c Change) encode() []byte {
	// Marshal can't fail on a Change, which holds only strings, numbers, booleans and bytes.
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}
