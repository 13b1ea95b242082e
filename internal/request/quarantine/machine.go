package quarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

// The values below are part of the replicated state's rules: they must be equal on all replicas.
const (
	// scoreUnit is the count 1. It is divisible by 1 to 16, so that the shares of small crashes are exact, and sums of integers
	// don't depend on their order, unlike those of floating-point numbers.
	scoreUnit = 720_720
	// refusalThreshold is the count 1.5, from which a fingerprint is refused. Two crashes alone in flight reach it; a request that
	// is merely in flight next to a crashing one has at most 1/2 per crash.
	refusalThreshold = scoreUnit + scoreUnit/2
	// Window is how long a crash counts, and how long a fingerprint is refused.
	Window = 10 * time.Minute
	// mergeWindow is the time in which reports on one incarnation of a target count as one crash. A target that died may still
	// reset new connections, such as that of a resumed stream, until it expires 2.5 s after its last announcement; a target
	// that restarts has another incarnation.
	mergeWindow = 5 * time.Second
	// maxCrashes bounds the crashes that are kept; the oldest is dropped first.
	maxCrashes = 4096
	// maxFingerprints bounds the fingerprints of one crash. With more, each would count less than 1/1000.
	maxFingerprints = 1000
)

// Kind tells how a call failed.
type Kind string

// Kinds of failed calls.
const (
	// KindCorrupt marks a command, result or snapshot that can't be decoded.
	KindCorrupt Kind = "corrupt"
	// KindPropose marks a report that could not be committed.
	KindPropose Kind = "propose"
)

// Error is a failed call.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("quarantine %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// command reports a crash with the fingerprints in flight, or the success of a fingerprint.
type command struct {
	Node         camphorhinge.NodeID        `json:"n"`
	Target       camphorhinge.TargetName    `json:"t,omitempty"`
	Incarnation  camphorhinge.Incarnation   `json:"i,omitempty"`
	Fingerprints []camphorhinge.Fingerprint `json:"f"`
	Success      bool                       `json:"s,omitempty"`
}

// Score is the count of one fingerprint.
type Score struct {
	Fingerprint camphorhinge.Fingerprint `json:"f"`
	Count       float64                  `json:"c"`
	// RemainingMillis is the time in milliseconds for which the fingerprint is refused, or 0.
	RemainingMillis int64 `json:"l"`
}

// crash is one crash of a target.
type crash struct {
	Stamp       int64                    `json:"at"`
	Target      camphorhinge.TargetName  `json:"t"`
	Incarnation camphorhinge.Incarnation `json:"i"`
	// Fingerprints are the fingerprints in flight, sorted; Cleared are those which succeeded later.
	Fingerprints []camphorhinge.Fingerprint `json:"f"`
	Cleared      []camphorhinge.Fingerprint `json:"c,omitempty"`
}

// Machine is the replicated state of crash counts; it implements camphorhinge.Machine.
type Machine struct {
	mu sync.Mutex
	// crashes are ordered by stamp.
	crashes []*crash
	// refusedUntil holds until which stamp a fingerprint is refusedUntil.
	refusedUntil map[camphorhinge.Fingerprint]int64
	// index holds the crashes of a fingerprint that count.
	index map[camphorhinge.Fingerprint][]*crash
	stamp int64
}

var _ camphorhinge.Machine = (*Machine)(nil)

// NewMachine returns an empty Machine.
func NewMachine() *Machine {
	return &Machine{
		refusedUntil: make(map[camphorhinge.Fingerprint]int64),
		index:        make(map[camphorhinge.Fingerprint][]*crash),
	}
}

// Apply implements camphorhinge.Machine. The result is the encoded list of the Scores of the command's fingerprints.
func (m *Machine) Apply(e camphorhinge.Entry, encoded []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stamp = e.Stamp
	m.dropExpired()
	var c command
	if json.Unmarshal(encoded, &c) != nil {
		return []byte("[]")
	}
	if c.Success {
		m.resetScores(c.Fingerprints)
	} else {
		m.recordCrash(c)
	}
	scores := make([]Score, 0, len(c.Fingerprints))
	for _, p := range c.Fingerprints {
		scores = append(scores, m.score(p, m.stamp))
	}
	out, err := json.Marshal(scores)
	if err != nil {
		panic("scores of plain numbers can't be encoded: " + err.Error())
	}
	return out
}

// recordCrash adds a report to the crash that it belongs to, or to a new one.
func (m *Machine) recordCrash(c command) {
	var at *crash
	for _, k := range slices.Backward(m.crashes) {
		if m.stamp-k.Stamp > mergeWindow.Milliseconds() {
			break
		}
		if k.Target == c.Target && k.Incarnation == c.Incarnation {
			at = k
			break
		}
	}
	if at == nil {
		at = &crash{Stamp: m.stamp, Target: c.Target, Incarnation: c.Incarnation}
		if len(m.crashes) >= maxCrashes {
			m.dropOldest(1)
		}
		m.crashes = append(m.crashes, at)
	}
	for _, p := range c.Fingerprints {
		if i, found := slices.BinarySearch(at.Fingerprints, p); !found && len(at.Fingerprints) < maxFingerprints {
			at.Fingerprints = slices.Insert(at.Fingerprints, i, p)
			m.index[p] = append(m.index[p], at)
		}
	}
	for _, p := range at.Fingerprints {
		if m.total(p, m.stamp) >= refusalThreshold {
			m.refusedUntil[p] = m.stamp + Window.Milliseconds()
		}
	}
}

// total adds up the shares of a fingerprint in the crashes that count.
func (m *Machine) total(p camphorhinge.Fingerprint, now int64) int {
	total := 0
	for _, k := range m.index[p] {
		if now-k.Stamp < Window.Milliseconds() {
			total += scoreUnit / len(k.Fingerprints)
		}
	}
	return total
}

// dropOldest forgets the n oldest crashes.
func (m *Machine) dropOldest(n int) {
	for _, k := range m.crashes[:n] {
		for _, p := range k.Fingerprints {
			list := slices.DeleteFunc(m.index[p], func(o *crash) bool { return o == k })
			if m.index[p] = list; len(list) == 0 {
				delete(m.index, p)
			}
		}
	}
	m.crashes = slices.Delete(m.crashes, 0, n)
}

func (m *Machine) score(p camphorhinge.Fingerprint, now int64) Score {
	return Score{Fingerprint: p, Count: float64(m.total(p, now)) / scoreUnit, RemainingMillis: max(m.refusedUntil[p]-now, 0)}
}

// resetScores resets the counts of fingerprints that succeeded. The shares of others in the same crashes stay.
func (m *Machine) resetScores(prints []camphorhinge.Fingerprint) {
	for _, p := range prints {
		delete(m.refusedUntil, p)
		for _, k := range m.index[p] {
			k.Cleared = append(k.Cleared, p)
		}
		delete(m.index, p)
	}
}

func (m *Machine) dropExpired() {
	n := 0
	for n < len(m.crashes) && m.stamp-m.crashes[n].Stamp >= Window.Milliseconds() {
		n++
	}
	m.dropOldest(n)
	for p, until := range m.refusedUntil {
		if until <= m.stamp {
			delete(m.refusedUntil, p)
		}
	}
}

// Scores returns the counts above 0, sorted by fingerprint, for Client.Learn on other nodes. Now is the cluster's time in
// milliseconds: without commands the stamp stands still, and a refusal has to end all the same.
func (m *Machine) Scores(now int64) []Score {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = max(now, m.stamp)
	seen := make(map[camphorhinge.Fingerprint]struct{}, len(m.refusedUntil))
	for p := range m.refusedUntil {
		seen[p] = struct{}{}
	}
	for p := range m.index {
		seen[p] = struct{}{}
	}
	out := make([]Score, 0, len(seen))
	for p := range seen {
		if s := m.score(p, now); s.Count > 0 || s.RemainingMillis > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Score) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// snapshot is the encoded state.
type snapshot struct {
	Stamp   int64                              `json:"at"`
	Crashes []*crash                           `json:"crashes"`
	Refused map[camphorhinge.Fingerprint]int64 `json:"refused"`
}

// Snapshot implements camphorhinge.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := json.Marshal(snapshot{m.stamp, m.crashes, m.refusedUntil})
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: KindCorrupt, Err: err}
	}
	return out, nil
}

// Restore implements camphorhinge.Machine.
func (m *Machine) Restore(encoded []byte) error {
	if len(encoded) == 0 {
		encoded = []byte("{}") // The first state.
	}
	var s snapshot
	if err := json.Unmarshal(encoded, &s); err != nil {
		return &Error{Op: "restore", Kind: KindCorrupt, Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stamp, m.crashes, m.refusedUntil = s.Stamp, s.Crashes, s.Refused
	if m.refusedUntil == nil {
		m.refusedUntil = make(map[camphorhinge.Fingerprint]int64)
	}
	m.index = make(map[camphorhinge.Fingerprint][]*crash)
	for _, k := range m.crashes {
		for _, p := range k.Fingerprints {
			if !slices.Contains(k.Cleared, p) {
				m.index[p] = append(m.index[p], k)
			}
		}
	}
	return nil
}
