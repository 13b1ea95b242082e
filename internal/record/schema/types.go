package schema

import (
	"crypto/sha256"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// Accepted schema versions.
const (
	MinSchema = 1
	MaxSchema = 2
)

// Size limits of the input.
const (
	// MaxDocumentBytes is the largest document, in bytes.
	MaxDocumentBytes = 256 << 10
	// MaxDocuments is the largest number of documents in one input.
	MaxDocuments = 256
	// MaxListEntries is the largest number of entries in a list.
	MaxListEntries = 256
	// MaxNameBytes is the longest name, in bytes.
	MaxNameBytes = 63
)

// Values of fields that a document leaves out.
const (
	// DefaultPriority is the priority of a service, and the ceiling of a workspace.
	DefaultPriority camphorhinge.Priority = 5
	// DefaultDeadline is the time allowed for a request.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline is the longest deadline; it also bounds how long an engine drains.
	MaxDeadline = time.Hour
)

// Kind names a kind of record.
type Kind string

// Kinds of records.
const (
	KindService   Kind = "service"
	KindModel     Kind = "model"
	KindAdapter   Kind = "adapter"
	KindWorkspace Kind = "workspace"
)

// Kinds returns all kinds in a fixed order.
func Kinds() []Kind { return []Kind{KindAdapter, KindModel, KindService, KindWorkspace} }

// Key names a record.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Document is a decoded record; it is not changed after Decode. Exactly one of Service, Model, Adapter and Workspace
// is set, by Kind.
type Document struct {
	Key
	Schema  int
	Version camphorhinge.Version
	// Raw is the document as written.
	Raw    []byte
	Digest Digest
	// Unknown are the paths of the fields that this version does not know.
	Unknown []string

	Service   *Service
	Model     *Model
	Adapter   *Adapter
	Workspace *Workspace
}

// ServiceType tells model services from plain ones.
type ServiceType string

const (
	// TypeModel marks a service of model engines.
	TypeModel ServiceType = "model"
	// TypePlain marks a service whose requests are passed on by path.
	TypePlain ServiceType = "plain"
)

// Service is a service that callers address.
type Service struct {
	Name     camphorhinge.ServiceName
	Type     ServiceType
	Priority camphorhinge.Priority
	Deadline time.Duration

	// Models, Floors, Weigh, Quiet and Unfenced belong to TypeModel.
	Models    []camphorhinge.ModelName
	Floors    Floors
	Objective ObjectiveWeights
	Quiet     []Window
	// Unfenced allows orders to engines that have no protection against late orders.
	Unfenced bool

	// Paths are path prefixes without a trailing slash (but for "/"), and Idempotent are the methods that may be
	// repeated, sorted. Both belong to TypePlain.
	Paths      []string
	Idempotent []string
}

// QuietAt reports whether t lies in one of the service's quiet windows.
func (s *Service) QuietAt(t time.Time) bool {
	return slices.ContainsFunc(s.Quiet, func(w Window) bool { return w.Contains(t) })
}

// Floors are the least numbers of engines per role.
type Floors struct {
	Prefill, Decode, Mixed int
}

// ObjectiveWeights sets goodput against the number of role changes; both are at least 0 and not both 0.
type ObjectiveWeights struct {
	Goodput, Changes float64
}

// Window is a daily time window without role changes. From is within it and To is not; a window with To before From
// passes midnight.
type Window struct {
	// From and To are times since midnight, in whole minutes.
	From, To time.Duration
	// Zone is the time zone in which From and To are read; schema 1 has UTC.
	Zone *time.Location
}

// Contains reports whether t lies in the window.
func (w Window) Contains(t time.Time) bool {
	local := t.In(w.Zone)
	at := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute
	if w.From < w.To {
		return w.From <= at && at < w.To
	}
	return at >= w.From || at < w.To
}

// Weights name the weights of a model or adapter in the weights store.
type Weights struct {
	ID string
	// Digest is the SHA-256 of the weights in hexadecimal digits; it is empty in schema 1.
	Digest string
	// Bytes is the size of the weights; it is 0, for unknown, in schema 1.
	Bytes int64
}

// Model is a model that engines load.
type Model struct {
	Name    camphorhinge.ModelName
	Weights Weights
	// Context is the greatest number of prompt and output tokens of one request.
	Context  camphorhinge.Tokens
	Adapters []camphorhinge.AdapterName
}

// Adapter is an adapter of a model.
type Adapter struct {
	Name    camphorhinge.AdapterName
	Model   camphorhinge.ModelName
	Weights Weights
}

// KeyDigest is the SHA-256 of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the KeyDigest of an API key.
func DigestKey(apiKey string) KeyDigest { return sha256.Sum256([]byte(apiKey)) }

// Limit bounds the rate of one token bucket.
type Limit struct {
	// Requests and Tokens are per second; 0 means no limit.
	Requests float64
	Tokens   float64
}

// Workspace is a customer or team with its own key and limits.
type Workspace struct {
	Name camphorhinge.WorkspaceName
	Key  KeyDigest
	// Ceiling is the highest priority that requests of the workspace get.
	Ceiling camphorhinge.Priority
	// Limits holds one token bucket per listed priority; schema 1 has one bucket, at 0.
	Limits map[camphorhinge.Priority]Limit
}

// LimitOf returns the limit for requests of priority p, and the priority that names its bucket. A priority without an
// entry shares the bucket of the next listed priority below it, or the lowest listed one. Without any limit ok is
// false.
func (w *Workspace) LimitOf(p camphorhinge.Priority) (bucket camphorhinge.Priority, limit Limit, ok bool) {
	for q := int(p); q >= 0; q-- {
		if l, found := w.Limits[camphorhinge.Priority(q)]; found {
			return camphorhinge.Priority(q), l, true
		}
	}
	for q := p; q <= camphorhinge.MaxPriority; q++ {
		if l, found := w.Limits[q]; found {
			return q, l, true
		}
	}
	return 0, Limit{}, false
}
