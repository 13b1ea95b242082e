package frontend

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/exchange"
)

// Service is the configuration of a service.
type Service struct {
	Name camphorhinge.ServiceName
	// Idempotent lists the idempotent HTTP methods; it is not used for model requests.
	Idempotent []string
	// Priority is the default priority of requests to the service.
	Priority camphorhinge.Priority
	// Deadline bounds the duration of each request; it is above 0.
	Deadline time.Duration
}

// Model is the service, model and adapter to which a model name in a request resolves.
type Model struct {
	Service Service
	Model   camphorhinge.ModelName
	Adapter camphorhinge.AdapterName
}

// Workspace is the configuration of a workspace.
type Workspace struct {
	Name camphorhinge.WorkspaceName
	// Priority is the highest priority that its requests may have.
	Priority camphorhinge.Priority
}

// Configuration looks up the configuration in force on this node. Its methods are safe for concurrent use and don't
// block.
type Configuration interface {
	// Ready reports whether the load balancer should send new requests to this node.
	Ready() bool
	// MayServe reports whether the configuration is recent enough for new requests.
	MayServe() bool
	// Model resolves a model or adapter name.
	Model(name string) (Model, bool)
	// Path returns the plain service with the longest matching path prefix.
	Path(path string) (Service, bool)
	// Workspace returns the workspace whose API key has this SHA-256, in lower-case hexadecimal.
	Workspace(keyDigest string) (Workspace, bool)
}

// Claimer grants claims, which make a non-idempotent request run at most once; *claim.Client implements it.
type Claimer interface {
	// Claim requests a claim. A *claim.Error of KindNotApplied means that the claim has no effect; after any other error
	// it may take effect, and the Grant identifies it for a Release.
	Claim(ctx context.Context, req claim.Request) (claim.Grant, error)
	// Complete stores the answer of a granted claim.
	Complete(ctx context.Context, g claim.Grant, a claim.Answer) error
	// MarkLost records that the outcome of a granted claim is unknown.
	MarkLost(ctx context.Context, g claim.Grant) error
	// Release withdraws a granted claim whose request was not sent.
	Release(ctx context.Context, g claim.Grant) error
}

// Quarantine refuses requests that crash targets; *quarantine.Client implements it.
type Quarantine interface {
	// Refused reports whether a request is refused, by its fingerprint or by one of its segments, and for how long.
	Refused(fp camphorhinge.Fingerprint, segments ...camphorhinge.Fingerprint) (time.Duration, bool)
	// Begin records that a request is in flight at a target; segments are the parts that other requests may have as
	// well, and request is the one of them that is the request without its workspace. The returned function must be called once when the attempt ends: crashed means that the connection was reset
	// or closed during it, succeeded that the answer was complete.
	Begin(target *camphorhinge.Target, fp, request camphorhinge.Fingerprint, segments ...camphorhinge.Fingerprint) (end func(crashed, succeeded bool))
}

// jitterer is an optional interface of an Admission that provides a random delay before a retry.
type jitterer interface {
	Jitter() time.Duration
}

// Config holds the dependencies of a Frontend. Claims and Quarantine may be nil.
type Config struct {
	Router        camphorhinge.Router
	Admission     camphorhinge.Admission
	Targets       camphorhinge.Targets
	Decisions     camphorhinge.Decisions
	Configuration Configuration
	Exchange      *exchange.Client
	Claims        Claimer
	Quarantine    Quarantine
	// Bodies is the memory for bodies of requests, by connection; nil sets no bound.
	Bodies *buffer.Pool
	// Answers is the memory for answers of targets, by target; nil sets no bound.
	Answers *buffer.Pool
	Metrics *metrics.Set
	Tracer  trace.Tracer
	// Log may be nil.
	Log *slog.Logger
	// Prefixes returns the hashes of a prompt's leading blocks as engines compute them; nil disables prefix affinity.
	Prefixes func(model camphorhinge.ModelName, adapter camphorhinge.AdapterName, prompt string) []uint64
	// NewID generates the ids of requests and attempts; nil stands for random UUIDs.
	NewID func() string
}

// MaxBody bounds the body of any request, in bytes. It suffices for a photo or a document sent to a plain service.
const MaxBody = 16 << 20

const (
	// maxModelBody bounds the body of a model request, in bytes. It suffices for a prompt of about two million tokens.
	maxModelBody = 8 << 20
	// maxAnswer bounds a buffered answer to a model request, in bytes. It suffices for several answers of the longest
	// context.
	maxAnswer = 16 << 20
	// receiveTimeout bounds the time that a caller may take to send the body. A slow phone link can send a few MB in
	// it.
	receiveTimeout = 20 * time.Second
	// maxBufferedBody bounds the part of a plain call's body or answer that is buffered, in bytes. A call with a longer
	// body is not retried.
	maxBufferedBody = 256 << 10
	// maxAttempts bounds the attempts of a request, so that a request that every target refuses fails in the end.
	maxAttempts = 4
	// controlTimeout bounds each control call: a claim's completion, release or marking as lost after the exchange, and
	// a cancel.
	controlTimeout = 2 * time.Second
	// bytesPerToken is the estimated number of bytes of prompt text per token.
	bytesPerToken = 4
)

// Frontend serves callers. It is safe for concurrent use.
type Frontend struct {
	cfg    Config
	meters *meters
	// background runs control calls that no caller waits for, such as cancels.
	background errgroup.Group
	// watchers detect callers that close the connection, one for each request whose body was read completely.
	watchers errgroup.Group
	// memoryShort bounds the log lines on requests and headers for which there is no memory.
	memoryShort rate.Sometimes
}

// memoryLogInterval is the least time between two log lines on lack of memory, after the first ten.
const memoryLogInterval = 10 * time.Second

// maxBackground bounds the concurrent control calls; calls above it run synchronously in their request's handler.
const maxBackground = 256

// New returns a Frontend. Close must be called to release it.
func New(cfg Config) *Frontend {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	f := &Frontend{cfg: cfg, meters: newMeters(cfg.Metrics), memoryShort: rate.Sometimes{First: 10, Interval: memoryLogInterval}}
	f.background.SetLimit(maxBackground)
	return f
}

// Close waits for background calls to finish. All requests must have ended before.
func (f *Frontend) Close() error { return errors.Join(f.watchers.Wait(), f.background.Wait()) }

// runInBackground runs a control call that no caller waits for, and counts it if it fails.
func (f *Frontend) runInBackground(call func(ctx context.Context) error) {
	run := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		if call(ctx) != nil {
			f.meters.controlFailures.Inc()
		}
		return nil
	}
	if !f.background.TryGo(run) {
		_ = run()
	}
}

// sink receives the answer for a caller.
type sink interface {
	// SendComplete sends a complete answer. It does not detect that the caller closed the connection. The body must stay unchanged until the
	// function given to OnSent is called.
	SendComplete(status int, header http.Header, body []byte)
	// OnSent sets a function that is called once, when the answer was sent or the caller's connection ended.
	OnSent(f func())
	// StartStream starts a streamed answer.
	StartStream(status int, header http.Header)
	// Write sends a chunk of a streamed answer and flushes it; an error means that the caller closed the connection.
	Write(p []byte) (int, error)
	// Abort closes the connection, so that the caller can't mistake what it received for a complete answer.
	Abort()
}
