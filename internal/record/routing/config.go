package routing

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"example.org/camphorhinge"
)

// RetryPolicy tells how often a request of a route may run.
type RetryPolicy string

const (
	// RetryIdempotent marks requests that may run more than once.
	RetryIdempotent RetryPolicy = "idempotent"
	// RetryIfNotRun marks requests that run at most once.
	RetryIfNotRun RetryPolicy = "once"
	// RetryResume marks streams that may go on at another target after the last event that was delivered.
	RetryResume RetryPolicy = "resume"
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service camphorhinge.ServiceName `json:"service"`
	Weight  float64                  `json:"weight"`
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	// Host is in lower case and without a port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string      `json:"prefix"`
	Retry  RetryPolicy `json:"repeat"`
	// Stream tells that answers are event streams.
	Stream bool `json:"stream,omitempty"`
	// Timeout is the longest time that a request may take.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: up to the whole answer, or to the first event of a stream.
	Objective time.Duration `json:"objective,omitempty"`
	// GapObjective is the longest pause between two events that is still on time.
	GapObjective time.Duration `json:"gap,omitempty"`
	// Patience is how long a caller waits for the first event of a stream; 0 when it waits for the whole time-out.
	Patience time.Duration `json:"patience,omitempty"`
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int `json:"rank"`
	// MaxAttempts is the greatest number of targets that one request may run on.
	MaxAttempts int `json:"attempts"`
	// Affinity tells that requests share prompt prefixes, which targets cache.
	Affinity bool    `json:"affinity,omitempty"`
	Shares   []Share `json:"shares"`
}

// Key names the place of a route: its host and prefix.
func (r *Route) Key() string { return r.Host + r.Prefix }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int `json:"slots"`
	// CacheCapacity is the size of an engine's KV cache.
	CacheCapacity camphorhinge.Tokens `json:"memory"`
	// TokenBytes is the size of the KV cache of one token.
	TokenBytes int64 `json:"tokenBytes"`
	// LinkMbps is the rate of an engine's link for KV transfers, in megabits per second.
	LinkMbps float64 `json:"link"`
	// HandleTTL is how long an engine keeps a KV cache that was not taken.
	HandleTTL time.Duration `json:"handle"`
}

// Service is a service that routes name.
type Service struct {
	Name camphorhinge.ServiceName `json:"name"`
	// HealthPath is the path of the targets' health check.
	HealthPath string `json:"health,omitempty"`
	// MaxConnections is the number of connections that one target accepts from all nodes.
	MaxConnections int     `json:"connections,omitempty"`
	Engine         *Engine `json:"engine,omitempty"`
}

// Limits bound what callers send.
type Limits struct {
	// MaxHeaderBytes and Body are in bytes; 0 stands for no limit of the configuration's.
	MaxHeaderBytes int `json:"header,omitempty"`
	MaxBodyBytes   int `json:"body,omitempty"`
	// HeaderTimeout bounds the time to receive a header, Idle the time between two requests of a connection.
	HeaderTimeout time.Duration `json:"headerTimeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle,omitempty"`
}

// Config is one version of the routing configuration.
type Config struct {
	Version  camphorhinge.Version `json:"version"`
	Routes   []Route              `json:"routes"`
	Services []Service            `json:"services"`
	Limits   Limits               `json:"limits"`
}

// Validate returns all faults of a configuration in one Error, or nil.
func (c *Config) Validate() error {
	var errs []error
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if c.Version == 0 {
		fault("version: expected at least 1")
	}
	known := map[camphorhinge.ServiceName]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			fault("service: expected a name")
		}
		if known[s.Name] {
			fault("service %s: listed twice", s.Name)
		}
		known[s.Name] = true
	}
	places := map[string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if places[r.Key()] {
			fault("route %s: host %s and prefix %s belong to another route", r.Name, r.Host, r.Prefix)
		}
		places[r.Key()] = true
		errs = append(errs, r.validate(known)...)
	}
	if err := errors.Join(errs...); err != nil {
		return &Error{Op: "check", Kind: KindInvalid, Err: err}
	}
	return nil
}

func (r *Route) validate(known map[camphorhinge.ServiceName]bool) []error {
	var errs []error
	fault := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("route %s: %s", r.Name, fmt.Sprintf(format, args...)))
	}
	if r.Host == "" {
		fault("expected a host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fault("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		fault("the time-out is not positive")
	}
	if r.MaxAttempts < 0 {
		fault("the number of attempts is negative")
	}
	switch r.Retry {
	case RetryIdempotent, RetryIfNotRun, RetryResume:
	default:
		fault("unknown kind %q", r.Retry)
	}
	total := 0.0
	for _, s := range r.Shares {
		if !known[s.Service] {
			fault("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			fault("weight of %s is negative", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		fault("the weights add up to 0")
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
