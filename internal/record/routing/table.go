package routing

import (
	"encoding/json"
	"fmt"
	"sync"

	"example.org/camphorhinge"
)

const (
	// maxPreviousVersions is the number of earlier versions for which a Table can compute a delta.
	maxPreviousVersions = 64
	// defaultPreviousBytes is the default of Table.BoundPrevious. Below it are 64 versions of 512 KB.
	defaultPreviousBytes = 32 << 20
)

// Decoder parses and validates the operator's configuration document.
type Decoder func(document []byte) (*Config, error)

// Outcome classifies the result of a routing command.
type Outcome string

const (
	// OutcomeAccepted marks a document that became the current version, or already was.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeStale marks a different document whose version is not above the current one; the state is unchanged.
	OutcomeStale Outcome = "overtaken"
	// OutcomeInvalid marks a document that fails validation; the state is unchanged.
	OutcomeInvalid Outcome = "invalid"
)

// Result is the encoded result of a routing command.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version is the current version after the command.
	Version camphorhinge.Version `json:"version"`
	Message string               `json:"message,omitempty"`
}

// Table is the camphorhinge.Machine of the routing configuration; the highest version takes effect. It stores the
// operator's document unchanged, so that a read returns the exact bytes that were written.
type Table struct {
	decode Decoder

	mu       sync.RWMutex
	document []byte
	current  *Config
	// previous contains the last versions before the current one, oldest first, previousBytes the sum of their sizes.
	previous      []sizedConfig
	previousBytes int64
	// maxPreviousBytes bounds previousBytes.
	maxPreviousBytes int64
}

// sizedConfig is a configuration with its size in memory.
type sizedConfig struct {
	*Config
	size int64
}

// NewTable returns a table without a configuration, which parses commands and snapshots with decode.
func NewTable(decode Decoder) *Table {
	return &Table{decode: decode, maxPreviousBytes: defaultPreviousBytes}
}

// BoundPrevious sets the greatest number of bytes that earlier versions take in memory; 0 means the default. An entry node whose version
// is no longer kept gets the full configuration. It must be called before the first command.
func (t *Table) BoundPrevious(limit int64) {
	if limit > 0 {
		t.maxPreviousBytes = limit
	}
}

// Apply implements camphorhinge.Machine; the command is the operator's document and the return value an encoded Result.
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
		panic("encode result: " + err.Error()) // Unreachable: all fields of a Result are marshalable.
	}
	return data
}

func (t *Table) replace(document []byte, c *Config) {
	if t.current != nil {
		old := sizedConfig{Config: t.current, size: t.current.size()}
		t.previous, t.previousBytes = append(t.previous, old), t.previousBytes+old.size
		for len(t.previous) > maxPreviousVersions || t.previousBytes > t.maxPreviousBytes {
			t.previousBytes -= t.previous[0].size
			t.previous[0] = sizedConfig{} // The array is used further.
			t.previous = t.previous[1:]
		}
	}
	t.document, t.current = append([]byte(nil), document...), c
}

// Snapshot implements camphorhinge.Machine; it returns the current document.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return append([]byte(nil), t.document...), nil
}

// Restore implements camphorhinge.Machine. On error the table is unchanged.
func (t *Table) Restore(snapshot []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(snapshot) == 0 {
		t.document, t.current, t.previous, t.previousBytes = nil, nil, nil, 0
		return nil
	}
	c, err := t.decode(snapshot)
	if err != nil {
		return &Error{Op: "restore", Kind: KindMalformed, Err: fmt.Errorf("stored document: %w", err)}
	}
	t.replace(snapshot, c)
	return nil
}

// Document returns the current document and its version, or nil and 0 when there is none.
func (t *Table) Document() ([]byte, camphorhinge.Version) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.current == nil {
		return nil, 0
	}
	return t.document, t.current.Version
}

// Current returns the current configuration, or nil.
func (t *Table) Current() *Config {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current
}

// Since returns the delta from a version to the current one. It returns a delta with the full configuration when the
// version is not among the earlier ones that are kept, and nil when there is no configuration.
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
			return Diff(c.Config, t.current)
		}
	}
	return Diff(nil, t.current)
}
