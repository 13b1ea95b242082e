package schema

import (
	"crypto/sha256"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// Range of supported schema versions.
const (
	MinSchema = 1
	MaxSchema = 2
)

// Size limits of the input.
const (
	// MaxDocumentBytes is the maximum size of a document, in bytes.
	MaxDocumentBytes = 256 << 10
	// MaxDocuments is the maximum number of documents in one input.
	MaxDocuments = 256
	// MaxListEntries is the maximum number of entries in a list.
	MaxListEntries = 256
	// MaxNameBytes is the maximum length of a name, in bytes.
	MaxNameBytes = 63
)

// Defaults and limits of optional fields.
const (
	// DefaultPriority is the default priority of a service and the default ceiling of a workspace.
	DefaultPriority camphorhinge.Priority = 5
	// DefaultDeadline is the default deadline of a request.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline is the maximum deadline of a request; it also bounds how long an engine drains.
	MaxDeadline = time.Hour
)

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	KindService   Kind = "service"
	KindModel     Kind = "model"
	KindAdapter   Kind = "adapter"
	KindWorkspace Kind = "workspace"
)

// Kinds returns all kinds, sorted.
func Kinds() []Kind { return []Kind{KindAdapter, KindModel, KindService, KindWorkspace} }

// Key identifies a record.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Document is a decoded record; it must not be modified. Exactly one of Service, Model, Adapter and Workspace is set,
// depending on Kind.
type Document struct {
	Key
	Schema  int
	Version camphorhinge.Version
	// Raw is the document as written.
	Raw    []byte
	Digest Digest
	// Unknown contains the sorted paths of the fields that this program version does not know.
	Unknown []string

	Service   *Service
	Model     *Model
	Adapter   *Adapter
	Workspace *Workspace
}

// ServiceType distinguishes model services from plain services.
type ServiceType string

const (
	// TypeModel marks a service whose targets are model engines.
	TypeModel ServiceType = "model"
	// TypePlain marks a service whose requests are forwarded by path.
	TypePlain ServiceType = "plain"
)

// Service is a service that callers address.
type Service struct {
	Name     camphorhinge.ServiceName
	Type     ServiceType
	Priority camphorhinge.Priority
	Deadline time.Duration

	// Models, Floors, Objective, Quiet and Unfenced apply only to TypeModel.
	Models    []camphorhinge.ModelName
	Floors    Floors
	Objective ObjectiveWeights
	Quiet     []Window
	// Unfenced allows orders to engines that have no protection against late orders.
	Unfenced bool

	// Paths are path prefixes without a trailing slash (except "/"), and Idempotent lists the HTTP methods that may be
	// retried, sorted. Both apply only to TypePlain.
	Paths      []string
	Idempotent []string
}

// QuietAt reports whether t is in one of the service's quiet windows.
func (s *Service) QuietAt(t time.Time) bool {
	return slices.ContainsFunc(s.Quiet, func(w Window) bool { return w.Contains(t) })
}

// Floors are the minimum numbers of engines per role.
type Floors struct {
	Prefill, Decode, Mixed int
}

// ObjectiveWeights weighs goodput against the number of role changes. Both weights are at least 0, and at least one is
// positive.
type ObjectiveWeights struct {
	Goodput, Changes float64
}

// Window is a daily time window without role changes. It includes From but not To; when To is before From, it spans
// midnight.
type Window struct {
	// From and To are times since midnight, in whole minutes.
	From, To time.Duration
	// Zone is the time zone of From and To; it is UTC in schema 1.
	Zone *time.Location
}

// Contains reports whether t is in the window.
func (w Window) Contains(t time.Time) bool {
	local := t.In(w.Zone)
	sinceMidnight := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute
	if w.From < w.To {
		return w.From <= sinceMidnight && sinceMidnight < w.To
	}
	return sinceMidnight >= w.From || sinceMidnight < w.To
}

// Weights identifies the weights of a model or adapter in the weights store.
type Weights struct {
	ID string
	// Digest is the SHA-256 of the weights in lower-case hexadecimal; it is empty in schema 1.
	Digest string
	// Bytes is the size of the weights in bytes; it is 0, meaning unknown, in schema 1.
	Bytes int64
}

// Model is a model that engines load.
type Model struct {
	Name    camphorhinge.ModelName
	Weights Weights
	// Context is the maximum number of prompt and output tokens of one request together.
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

// DigestKey computes the SHA-256 of an API key.
func DigestKey(apiKey string) KeyDigest { return sha256.Sum256([]byte(apiKey)) }

// Limit is the rate limit of one token bucket.
type Limit struct {
	// Requests and Tokens are rates per second; 0 means no limit.
	Requests float64
	Tokens   float64
}

// Workspace is a customer or team with its own API key and rate limits.
type Workspace struct {
	Name camphorhinge.WorkspaceName
	Key  KeyDigest
	// Ceiling is the highest priority that requests of the workspace get.
	Ceiling camphorhinge.Priority
	// Limits defines one token bucket per listed priority; schema 1 defines a single one, at priority 0.
	Limits map[camphorhinge.Priority]Limit
}

// LimitOf returns the limit for requests of priority p, and the priority that identifies its token bucket. A priority
// without an entry uses the bucket of the next listed priority below it or, if there is none, of the lowest listed one.
// ok is false if the workspace has no limits.
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
