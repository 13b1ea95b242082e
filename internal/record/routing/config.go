package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"example.org/camphorhinge"
)

// RetryPolicy specifies when a request of a route may be sent to another target.
type RetryPolicy string

const (
	// RetryIdempotent allows a request to run more than once.
	RetryIdempotent RetryPolicy = "idempotent"
	// RetryIfNotRun makes a request run at most once.
	RetryIfNotRun RetryPolicy = "once"
	// RetryResume allows a stream to be continued on another target after the last delivered event.
	RetryResume RetryPolicy = "resume"
)

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service camphorhinge.ServiceName `json:"service"`
	Weight  float64                  `json:"weight"`
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	// Host is in lower case and without a port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string      `json:"prefix"`
	Retry  RetryPolicy `json:"repeat"`
	// Stream is true when responses are event streams.
	Stream bool `json:"stream,omitempty"`
	// Timeout is the maximum duration of a request.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: the time to the complete response, or to the first event of a stream.
	Objective time.Duration `json:"objective,omitempty"`
	// GapObjective is the latency objective for the time between two events of a stream.
	GapObjective time.Duration `json:"gap,omitempty"`
	// Patience is how long a caller waits for the first event of a stream; 0 means until Timeout.
	Patience time.Duration `json:"patience,omitempty"`
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int `json:"rank"`
	// MaxAttempts is the maximum number of targets that one request may run on.
	MaxAttempts int `json:"attempts"`
	// Affinity is true when requests share prompt prefixes, which targets cache.
	Affinity bool `json:"affinity,omitempty"`
	// Public is true when requests need no key although the configuration has workspaces.
	Public bool    `json:"public,omitempty"`
	Shares []Share `json:"shares"`
}

// Key returns the host and prefix, which together identify a route.
func (r *Route) Key() string { return r.Host + r.Prefix }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int `json:"slots"`
	// CacheCapacity is the capacity of an engine's KV cache, in tokens.
	CacheCapacity camphorhinge.Tokens `json:"memory"`
	// TokenBytes is the size of the KV cache of one token, in bytes.
	TokenBytes int64 `json:"tokenBytes"`
	// LinkMbps is the bandwidth of an engine's link for KV transfers, in megabits per second.
	LinkMbps float64 `json:"link"`
	// HandleTTL is how long an engine keeps an exported KV cache that is not fetched.
	HandleTTL time.Duration `json:"handle"`
	// SwitchTime is the time for which an engine serves nothing while its role changes.
	SwitchTime time.Duration `json:"switch,omitempty"`
}

// Service describes the targets of a service that routes refer to.
type Service struct {
	Name camphorhinge.ServiceName `json:"name"`
	// HealthPath is the path of the targets' health check.
	HealthPath string `json:"health,omitempty"`
	// MaxConnections is the number of connections that one target accepts from all nodes together.
	MaxConnections int     `json:"connections,omitempty"`
	Engine         *Engine `json:"engine,omitempty"`
	// Scaling is set when the provider can be asked for another number of targets.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// Scaling bounds the number of a service's targets and holds what they cost.
type Scaling struct {
	// Min and Max bound the targets in each zone, reclaimable ones included.
	Min int `json:"min"`
	Max int `json:"max"`
	// Boot is the time from an order to the first request of a new target.
	Boot time.Duration `json:"boot"`
	// SpotPrice is the price of a reclaimable target as a share of that of another one; 0 means that there are none.
	SpotPrice float64 `json:"spot,omitempty"`
	// ZonePrices are the prices of a target for a second, by zone. Only these zones have targets.
	ZonePrices map[camphorhinge.Zone]float64 `json:"prices,omitempty"`
}

// Workspace holds the API keys of one workspace. The keys themselves are not kept.
type Workspace struct {
	Name camphorhinge.WorkspaceName `json:"name"`
	Keys []KeyDigest                `json:"keys,omitempty"`
	// Rank takes precedence over the rank of the route unless it is nil.
	Rank *int `json:"rank,omitempty"`
}

// KeyDigest is the SHA-256 of an API key. Its text form is hexadecimal.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("digest of %d digits, expected %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Limits bounds the size and timing of callers' requests; a zero field means that the configuration sets no limit.
type Limits struct {
	MaxHeaderBytes int `json:"header,omitempty"`
	MaxBodyBytes   int `json:"body,omitempty"`
	// HeaderTimeout is the maximum time to receive a header, IdleTimeout that between two requests of a connection.
	HeaderTimeout time.Duration `json:"headerTimeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle,omitempty"`
}

// Config is one version of the routing configuration.
type Config struct {
	Version  camphorhinge.Version `json:"version"`
	Routes   []Route              `json:"routes"`
	Services []Service            `json:"services"`
	Limits   Limits               `json:"limits"`
	// Workspaces hold the keys of callers. Without any, no request needs a key.
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Validate returns an error of KindInvalid that joins all faults of the configuration, or nil.
func (c *Config) Validate() error {
	var errs []error
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if c.Version == 0 {
		fault("version must be at least 1")
	}
	known := map[camphorhinge.ServiceName]bool{}
	for i, s := range c.Services {
		if s.Name == "" {
			fault("service %d of the list: name is missing", i+1)
		}
		if known[s.Name] {
			fault("service %s: duplicate name", s.Name)
		}
		known[s.Name] = true
	}
	labels := map[string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		label := r.Name
		if label == "" {
			label = fmt.Sprintf("%d of the list, without a name", i+1)
		}
		if other, ok := labels[r.Key()]; ok {
			fault("route %s: route %s has the same host %s and prefix %s", label, other, r.Host, r.Prefix)
		} else {
			labels[r.Key()] = label
		}
		errs = append(errs, r.validate(label, known)...)
	}
	errs = append(errs, c.validateWorkspaces()...)
	if err := errors.Join(errs...); err != nil {
		return &Error{Op: "check", Kind: KindInvalid, Err: err}
	}
	return nil
}

// validateWorkspaces returns the faults of the workspaces. They don't contain any key.
func (c *Config) validateWorkspaces() []error {
	var errs []error
	names := map[camphorhinge.WorkspaceName]bool{}
	owners := map[KeyDigest]camphorhinge.WorkspaceName{}
	for i, w := range c.Workspaces {
		if w.Name == "" {
			errs = append(errs, fmt.Errorf("workspace %d of the list: name is missing", i+1))
		}
		if names[w.Name] {
			errs = append(errs, fmt.Errorf("workspace %s: duplicate name", w.Name))
		}
		names[w.Name] = true
		for i, key := range w.Keys {
			if owner, ok := owners[key]; ok && owner != w.Name {
				errs = append(errs, fmt.Errorf("workspace %s: key %d is a key of workspace %s, too", w.Name, i+1, owner))
			}
			owners[key] = w.Name
		}
	}
	return errs
}

// validate returns the faults of a route, given the name for it in messages and the names of the configuration's services.
func (r *Route) validate(label string, known map[camphorhinge.ServiceName]bool) []error {
	var errs []error
	fault := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("route %s: %s", label, fmt.Sprintf(format, args...)))
	}
	if r.Host == "" {
		fault("host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fault("prefix %q must begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		fault("timeout must be positive")
	}
	if r.MaxAttempts < 0 {
		fault("number of attempts must not be negative")
	}
	switch r.Retry {
	case RetryIdempotent, RetryIfNotRun, RetryResume:
	default:
		fault("unknown retry policy %q", r.Retry)
	}
	total := 0.0
	for _, s := range r.Shares {
		if !known[s.Service] {
			fault("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			fault("weight of service %q must not be negative", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		fault("sum of weights must be positive")
	}
	return errs
}

// Service returns the service of the given name, or nil.
func (c *Config) Service(name camphorhinge.ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
