package quarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"example.org/camphorhinge"
)

// All replicas must have the same values of these constants, which determine the replicated state.
const (
	// scoreUnit is a score of 1. It is divisible by 1 to 16, so that the shares of crashes with few fingerprints are
	// exact. Sums of integers don't depend on their order, unlike those of floating-point numbers.
	scoreUnit = 720_720
	// refusalThreshold is the score of 1.5 from which a fingerprint is refused. Two crashes with no other request in
	// flight reach it. A request that merely runs beside a crashing one scores at most 1/2 per crash.
	refusalThreshold = scoreUnit + scoreUnit/2
	// Window is how long a crash counts, and how long a fingerprint is refused.
	Window = 10 * time.Minute
	// mergeWindow is the time in which reports on one incarnation of a target count as one crash. A crashed target may
	// still reset new connections, such as that of a resumed stream, until it expires 2.5 s after its last
	// announcement; a restarted one has another incarnation.
	mergeWindow = 5 * time.Second
	// maxCrashes bounds the stored crashes; the oldest is dropped first.
	maxCrashes = 4096
	// maxFingerprints bounds the fingerprints of one crash. With more, each would score less than 1/1000.
	maxFingerprints = 1000
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindCorrupt marks a command, result or snapshot that can't be decoded.
	KindCorrupt Kind = "corrupt"
	// KindPropose marks a report that could not be committed.
	KindPropose Kind = "propose"
)

// Error is the error of a failed operation, with its cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("quarantine %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// command reports a crash with the fingerprints in flight, or the success of fingerprints.
type command struct {
	Node         camphorhinge.NodeID        `json:"n"`
	Target       camphorhinge.TargetName    `json:"t,omitempty"`
	Incarnation  camphorhinge.Incarnation   `json:"i,omitempty"`
	Fingerprints []camphorhinge.Fingerprint `json:"f"`
	Success      bool                       `json:"s,omitempty"`
	// Segments are those in flight when the target ended, Sound successes with any segments.
	Segments []camphorhinge.Fingerprint `json:"g,omitempty"`
	// Requests are those of the Segments that are whole requests.
	Requests []camphorhinge.Fingerprint `json:"q,omitempty"`
	Sound    []success                  `json:"o,omitempty"`
	// Retried are those of the Segments that the node sent to the target only after it had seen another one end with them.
	Retried []camphorhinge.Fingerprint `json:"r,omitempty"`
	// Age is the time from the crash to the sending of the command, in milliseconds.
	Age int64 `json:"a,omitempty"`
}

// Score is the score of one fingerprint, of a whole request or of a prompt segment.
type Score struct {
	Fingerprint camphorhinge.Fingerprint `json:"f"`
	Value       float64                  `json:"c"`
	// RemainingMillis is the remaining time of the refusal in milliseconds, or 0 if the fingerprint is not refused.
	RemainingMillis int64 `json:"l"`
	// Index is the log index of the last change of a segment's score; of two scores, that with the higher one is newer.
	Index camphorhinge.Index `json:"i,omitempty"`
	// Segment is true for the score of a prompt segment.
	Segment bool `json:"g,omitempty"`
}

// crash is one crash of a target.
type crash struct {
	// Stamp is that of the entry with the first report, in milliseconds.
	Stamp       int64                    `json:"at"`
	Target      camphorhinge.TargetName  `json:"t"`
	Incarnation camphorhinge.Incarnation `json:"i"`
	// Fingerprints are those in flight, sorted; Cleared are those that succeeded later.
	Fingerprints []camphorhinge.Fingerprint `json:"f"`
	Cleared      []camphorhinge.Fingerprint `json:"c,omitempty"`
	// At is the stamp of the crash, which a delayed report may put before Stamp; it counts for Segments, those in flight,
	// sorted.
	At       int64                      `json:"w,omitempty"`
	Segments []camphorhinge.Fingerprint `json:"g,omitempty"`
	// Retried are the Segments that came to the target only after they had been in another crash, sorted.
	Retried []camphorhinge.Fingerprint `json:"r,omitempty"`
	// Requests are those of the Segments that are whole requests, sorted.
	Requests []camphorhinge.Fingerprint `json:"q,omitempty"`
}

// Machine is the replicated state of crashes and scores; it implements camphorhinge.Machine.
type Machine struct {
	mu sync.Mutex
	// crashes are ordered by stamp.
	crashes []*crash
	// refusedUntil is the stamp at which the refusal of a fingerprint ends, in milliseconds.
	refusedUntil map[camphorhinge.Fingerprint]int64
	// index lists the stored crashes of each fingerprint, without those from which it was cleared.
	index    map[camphorhinge.Fingerprint][]*crash
	segments segmentScores
	// stamp is that of the last applied entry.
	stamp int64
}

var _ camphorhinge.Machine = (*Machine)(nil)

// NewMachine returns a Machine without any crashes.
func NewMachine() *Machine {
	return &Machine{
		refusedUntil: make(map[camphorhinge.Fingerprint]int64),
		index:        make(map[camphorhinge.Fingerprint][]*crash),
		segments:     newSegmentScores(),
	}
}

// Apply implements camphorhinge.Machine. The result is the encoded list of Scores of the command's fingerprints and
// segments.
func (m *Machine) Apply(e camphorhinge.Entry, encoded []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stamp = e.Stamp
	m.dropExpired()
	var c command
	if json.Unmarshal(encoded, &c) != nil {
		return []byte("[]")
	}
	m.segments.addSuccesses(e, c.Sound)
	if c.Success {
		m.clear(c.Fingerprints)
	} else {
		m.recordCrash(e, c)
	}
	scores := make([]Score, 0, len(c.Fingerprints)+len(c.Segments)+len(c.Sound))
	for _, fp := range c.Fingerprints {
		scores = append(scores, m.score(fp, m.stamp))
	}
	for _, seg := range c.Segments {
		scores = append(scores, m.segments.score(seg, m.stamp))
	}
	for _, x := range c.Sound {
		scores = append(scores, m.segments.score(x.Segment, m.stamp))
	}
	out, err := json.Marshal(scores)
	if err != nil {
		panic("scores of plain numbers can't be encoded: " + err.Error())
	}
	return out
}

// recordCrash merges a report into the crash that it belongs to, or adds a new crash.
func (m *Machine) recordCrash(e camphorhinge.Entry, c command) {
	var current *crash
	for _, cr := range slices.Backward(m.crashes) {
		if m.stamp-cr.Stamp > mergeWindow.Milliseconds() {
			break
		}
		if cr.Target == c.Target && cr.Incarnation == c.Incarnation {
			current = cr
			break
		}
	}
	if current == nil {
		current = &crash{Stamp: m.stamp, At: m.stamp - max(c.Age, 0), Target: c.Target, Incarnation: c.Incarnation}
		if len(m.crashes) >= maxCrashes {
			m.dropOldest(1)
		}
		m.crashes = append(m.crashes, current)
	}
	for _, fp := range c.Fingerprints {
		if i, found := slices.BinarySearch(current.Fingerprints, fp); !found && len(current.Fingerprints) < maxFingerprints {
			current.Fingerprints = slices.Insert(current.Fingerprints, i, fp)
			m.index[fp] = append(m.index[fp], current)
		}
	}
	for _, fp := range current.Fingerprints {
		if m.total(fp, m.stamp) >= refusalThreshold {
			m.refusedUntil[fp] = m.stamp + Window.Milliseconds()
		}
	}
	m.segments.addCrash(e, current, c)
}

// total returns the score of a fingerprint in scoreUnits, over the crashes within Window.
func (m *Machine) total(fp camphorhinge.Fingerprint, now int64) int {
	total := 0
	for _, cr := range m.index[fp] {
		if now-cr.Stamp < Window.Milliseconds() {
			total += scoreUnit / len(cr.Fingerprints)
		}
	}
	return total
}

// dropOldest removes the n oldest crashes.
func (m *Machine) dropOldest(n int) {
	for _, cr := range m.crashes[:n] {
		for _, fp := range cr.Fingerprints {
			list := slices.DeleteFunc(m.index[fp], func(o *crash) bool { return o == cr })
			if m.index[fp] = list; len(list) == 0 {
				delete(m.index, fp)
			}
		}
		m.segments.drop(cr)
	}
	m.crashes = slices.Delete(m.crashes, 0, n)
}

func (m *Machine) score(fp camphorhinge.Fingerprint, now int64) Score {
	return Score{Fingerprint: fp, Value: float64(m.total(fp, now)) / scoreUnit, RemainingMillis: max(m.refusedUntil[fp]-now, 0)}
}

// clear resets the scores of fingerprints that succeeded. The shares of other fingerprints in the same crashes are
// unchanged.
func (m *Machine) clear(fingerprints []camphorhinge.Fingerprint) {
	for _, fp := range fingerprints {
		delete(m.refusedUntil, fp)
		for _, cr := range m.index[fp] {
			cr.Cleared = append(cr.Cleared, fp)
		}
		delete(m.index, fp)
	}
}

func (m *Machine) dropExpired() {
	n := 0
	for n < len(m.crashes) && m.stamp-m.crashes[n].Stamp >= Window.Milliseconds() {
		n++
	}
	m.dropOldest(n)
	for fp, until := range m.refusedUntil {
		if until <= m.stamp {
			delete(m.refusedUntil, fp)
		}
	}
	m.segments.dropExpired(m.stamp)
}

// Scores returns the scores above 0 and those of refused fingerprints, sorted by fingerprint, for Client.MergeScores on
// other nodes. now is the cluster's time in milliseconds: without commands the stamp does not advance, but refusals
// must end nevertheless.
func (m *Machine) Scores(now int64) []Score {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = max(now, m.stamp)
	seen := make(map[camphorhinge.Fingerprint]struct{}, len(m.refusedUntil))
	for fp := range m.refusedUntil {
		seen[fp] = struct{}{}
	}
	for fp := range m.index {
		seen[fp] = struct{}{}
	}
	out := make([]Score, 0, len(seen))
	for fp := range seen {
		if s := m.score(fp, now); s.Value > 0 || s.RemainingMillis > 0 {
			out = append(out, s)
		}
	}
	out = append(out, m.segments.scores(now)...)
	slices.SortFunc(out, func(a, b Score) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// remainingStep is the step to which Suspects rounds up the remaining time of a refusal, so that its result changes rarely.
const remainingStep = 10_000

// Suspects returns the Scores of refused fingerprints, of those that were in more than one crash, and of released segments.
// A large fleet has very many fingerprints with a single crash, as when connections are reset, and other nodes don't need
// them.
func (m *Machine) Suspects(now int64) []Score {
	all := m.Scores(now)
	out := all[:0]
	for _, s := range all {
		if s.RemainingMillis == 0 && s.Value <= 1 && !m.isReleased(s) {
			continue
		}
		s.RemainingMillis = (s.RemainingMillis + remainingStep - 1) / remainingStep * remainingStep
		out = append(out, s)
	}
	return out
}

// isReleased reports whether a score is that of a segment whose refusal has ended before its time.
func (m *Machine) isReleased(s Score) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.segments.refused[s.Fingerprint]
	return s.Segment && ok && r.Until == 0
}

// snapshot is the encoded state.
type snapshot struct {
	Stamp   int64                              `json:"at"`
	Crashes []*crash                           `json:"crashes"`
	Refused map[camphorhinge.Fingerprint]int64 `json:"refused"`
	// Sound, Segments and Index are the state of the segments, except their crashes.
	Sound    map[camphorhinge.Fingerprint]int64              `json:"sound,omitempty"`
	Segments map[camphorhinge.Fingerprint]refusal            `json:"segments,omitempty"`
	Index    map[camphorhinge.Fingerprint]camphorhinge.Index `json:"index,omitempty"`
}

// Snapshot implements camphorhinge.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := json.Marshal(snapshot{m.stamp, m.crashes, m.refusedUntil, m.segments.soundAt, m.segments.refused, m.segments.index})
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: KindCorrupt, Err: err}
	}
	return out, nil
}

// Restore implements camphorhinge.Machine.
func (m *Machine) Restore(encoded []byte) error {
	if len(encoded) == 0 {
		encoded = []byte("{}") // The initial state.
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
	m.segments = newSegmentScores()
	maps.Copy(m.segments.soundAt, s.Sound)
	maps.Copy(m.segments.refused, s.Segments)
	maps.Copy(m.segments.index, s.Index)
	m.index = make(map[camphorhinge.Fingerprint][]*crash)
	for _, cr := range m.crashes {
		for _, seg := range cr.Segments {
			m.segments.crashes[seg] = append(m.segments.crashes[seg], cr)
		}
		for _, fp := range cr.Fingerprints {
			if !slices.Contains(cr.Cleared, fp) {
				m.index[fp] = append(m.index[fp], cr)
			}
		}
	}
	return nil
}
