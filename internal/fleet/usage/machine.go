package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// maxWindows is the number of windows that a Machine keeps, and thus of reports that wait while the provider is down.
const maxWindows = 60

// Counts are the numbers of requests of the workspaces in a window.
type Counts map[camphorhinge.WorkspaceName]uint64

// Machine is the replicated state of usage reports: the content of the report for each recent window, and whether the provider has
// accepted it. The first content that is committed for a window is its content. It implements camphorhinge.Machine.
type Machine struct {
	mu      sync.Mutex
	windows map[uint64]*report
	// floor is the highest window that is no longer kept; no window up to it gets a content again.
	floor uint64
	// last is the last window that the provider has accepted, or 0.
	last uint64
}

// report is the state of one window. Counts are dropped once they are accepted.
type report struct {
	Counts   Counts `json:"counts,omitempty"`
	Accepted bool   `json:"accepted,omitempty"`
}

var _ camphorhinge.Machine = (*Machine)(nil)

// NewMachine returns an empty Machine.
func NewMachine() *Machine { return &Machine{windows: map[uint64]*report{}} }

// command commits the content of a window's report, or records that the provider has accepted it.
type command struct {
	Window   uint64 `json:"window"`
	Counts   Counts `json:"counts,omitempty"`
	Accepted bool   `json:"accepted,omitempty"`
}

// result is the result of a command.
type result struct {
	// First is set when the command determined the content.
	First bool `json:"first,omitempty"`
	// Lost are the windows that were dropped without having been accepted.
	Lost []uint64 `json:"lost,omitempty"`
}

// Apply implements camphorhinge.Machine.
func (m *Machine) Apply(_ camphorhinge.Entry, encoded []byte) []byte {
	var c command
	if json.Unmarshal(encoded, &c) != nil {
		return nil // Encoded by a later version of the program.
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var r result
	w := m.windows[c.Window]
	switch {
	case c.Accepted && w != nil:
		w.Counts, w.Accepted = nil, true
		m.last = max(m.last, c.Window)
	case !c.Accepted && w == nil && c.Window > m.floor:
		r.First = true
		m.windows[c.Window] = &report{Counts: c.Counts}
		r.Lost = m.drop()
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic("encode result: " + err.Error()) // It has only fields that can be encoded.
	}
	return data
}

// drop removes the oldest windows over maxWindows, and returns those that have not been accepted. The caller holds m.mu.
func (m *Machine) drop() (lost []uint64) {
	for len(m.windows) > maxWindows {
		oldest := slices.Min(slices.Collect(maps.Keys(m.windows)))
		if !m.windows[oldest].Accepted {
			lost = append(lost, oldest)
		}
		delete(m.windows, oldest)
		m.floor = oldest
	}
	return lost
}

// machineState is the encoded state of a Machine; JSON sorts the keys of maps.
type machineState struct {
	Windows map[uint64]*report `json:"windows"`
	Floor   uint64             `json:"floor"`
	Last    uint64             `json:"last"`
}

// Snapshot implements camphorhinge.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(machineState{m.windows, m.floor, m.last})
}

// Restore implements camphorhinge.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var s machineState
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &s); err != nil {
			return &Error{Op: "restore", Kind: KindSnapshot, Err: err}
		}
	}
	if s.Windows == nil {
		s.Windows = map[uint64]*report{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.windows, m.floor, m.last = s.Windows, s.Floor, s.Last
	return nil
}

// Last returns the last window whose report the provider has accepted, or 0.
func (m *Machine) Last() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last
}

// Waiting returns the windows whose reports the provider has not accepted, in order.
func (m *Machine) Waiting() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []uint64
	for k, w := range m.windows {
		if !w.Accepted {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// content returns the committed content of a window that the provider has not accepted.
func (m *Machine) content(window uint64) (Counts, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.windows[window]
	if w == nil || w.Accepted {
		return nil, false
	}
	return maps.Clone(w.Counts), true
}

// next returns the first window from the given one on that has no content yet.
func (m *Machine) next(from uint64) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	from = max(from, m.floor+1)
	for m.windows[from] != nil {
		from++
	}
	return from
}

// oldest returns the oldest window that is kept; ok is false when there is none.
func (m *Machine) oldest() (window uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.windows {
		if !ok || k < window {
			window, ok = k, true
		}
	}
	return window, ok
}
