package routing

import (
	"encoding/json"
	"fmt"
	"sync"

	"example.org/camphorhinge"
)

// maxPreviousVersions is the number of earlier versions that a Table can tell the difference from.
const maxPreviousVersions = 64

// Decoder parses and checks the document in which the operator wrote a configuration.
type Decoder func(document []byte) (*Config, error)

// Outcome tells what a Table did with a document.
type Outcome string

const (
	// OutcomeAccepted marks a document that is now the newest version, or was already.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeStale marks a document whose version is not above the held one; nothing changed.
	OutcomeStale Outcome = "overtaken"
	// OutcomeInvalid marks a document that breaks a rule; nothing changed.
	OutcomeInvalid Outcome = "invalid"
)

// Result is the encoded result of a routing command.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version is the newest version after the command.
	Version camphorhinge.Version `json:"version"`
	Message string               `json:"message,omitempty"`
}

// Table is the camphorhinge.Machine of the routing configuration. The highest version holds. It keeps the operator's
// document as it was written, so that a read returns exactly that.
type Table struct {
	decode Decoder

	mu       sync.RWMutex
	document []byte
	current  *Config
	// previous are the last versions before the current one, oldest first.
	previous []*Config
}

// NewTable returns an empty Table.
func NewTable(decode Decoder) *Table { return &Table{decode: decode} }

// Apply applies a command, which is a document, and returns an encoded Result.
func (t *Table) Apply(_ camphorhinge.Entry, command []byte) []byte {
	c, err := t.decode(command)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{Outcome: OutcomeAccepted}
	switch {
	case err != nil:
		r.Outcome, r.Message = OutcomeInvalid, err.Error()
	case t.current != nil && c.Version == t.current.Version && string(command) == string(t.document):
	case t.current != nil && c.Version <= t.current.Version:
		r.Outcome = OutcomeStale
	default:
		t.replace(command, c)
	}
	if t.current != nil {
		r.Version = t.current.Version
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic("encode result: " + err.Error()) // A Result has only marshalable fields.
	}
	return data
}

func (t *Table) replace(document []byte, c *Config) {
	if t.current != nil {
		t.previous = append(t.previous, t.current)
		if len(t.previous) > maxPreviousVersions {
			t.previous = t.previous[1:]
		}
	}
	t.document, t.current = append([]byte(nil), document...), c
}

// Snapshot returns the newest document.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return append([]byte(nil), t.document...), nil
}

// Restore replaces the state by the document of a snapshot.
func (t *Table) Restore(snapshot []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(snapshot) == 0 {
		t.document, t.current, t.previous = nil, nil, nil
		return nil
	}
	c, err := t.decode(snapshot)
	if err != nil {
		return &Error{Op: "restore", Kind: KindMalformed, Err: fmt.Errorf("stored document: %w", err)}
	}
	t.replace(snapshot, c)
	return nil
}

// Document returns the newest document and its version, or nil and 0.
func (t *Table) Document() ([]byte, camphorhinge.Version) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.current == nil {
		return nil, 0
	}
	return t.document, t.current.Version
}

// Current returns the newest configuration, or nil.
func (t *Table) Current() *Config {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current
}

// Since returns the difference from a version to the newest one; it is the whole configuration when the version is not
// among the last ones, and nil when there is no configuration.
func (t *Table) Since(version camphorhinge.Version) *Delta {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.current == nil {
		return nil
	}
	if version == t.current.Version {
		return Diff(t.current, t.current)
	}
	for _, c := range t.previous {
		if c.Version == version {
			return Diff(c, t.current)
		}
	}
	return Diff(nil, t.current)
}
