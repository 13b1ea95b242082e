package frontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/exchange"
)

// Service is what the configuration says of a service.
type Service struct {
	Name camphorhinge.ServiceName
	// Idempotent holds the methods that may be repeated; it is not used for model requests.
	Idempotent []string
	// Priority is the default of requests to the service.
	Priority camphorhinge.Priority
	// Deadline bounds each request; it is above 0.
	Deadline time.Duration
}

// Model is what the configuration says of a name that callers use as model.
type Model struct {
	Service Service
	Model   camphorhinge.ModelName
	Adapter camphorhinge.AdapterName
}

// Workspace is what the configuration says of a workspace.
type Workspace struct {
	Name camphorhinge.WorkspaceName
	// Priority is the highest that its requests may ask for.
	Priority camphorhinge.Priority
}

// Configuration looks up the configuration in force on this node. Its methods are safe for concurrent use and don't
// block.
type Configuration interface {
	// Ready reports whether the node should get new requests from the balancer.
	Ready() bool
	// MayServe reports whether the configuration is recent enough for new requests.
	MayServe() bool
	// Model returns the route of a model or adapter name.
	Model(name string) (Model, bool)
	// Path returns the plain service with the longest matching path prefix.
	Path(path string) (Service, bool)
	// Workspace returns the workspace whose API key has this SHA-256, in lower-case hexadecimal.
	Workspace(keyDigest string) (Workspace, bool)
}

// Claimer grants non-idempotent requests; *claim.Client implements it.
type Claimer interface {
	// Claim asks for a claim. Its *claim.Error is of KindAbsent when the claim is known to have no effect; otherwise the
	// Grant names the claim for a Release.
	Claim(ctx context.Context, req claim.Request) (claim.Grant, error)
	// Complete stores the answer of a granted claim.
	Complete(ctx context.Context, g claim.Grant, a claim.Answer) error
	// Lose notes that the outcome of a granted claim is unknown.
	Lose(ctx context.Context, g claim.Grant) error
	// Release gives up a granted claim of which no byte was sent.
	Release(ctx context.Context, g claim.Grant) error
}

// Quarantine refuses requests that crash targets; *quarantine.Client implements it.
type Quarantine interface {
	// Refused reports whether a fingerprint is refused, and for how long.
	Refused(fp camphorhinge.Fingerprint) (time.Duration, bool)
	// Begin notes that a request is in flight at a target. The returned function is called once at the attempt's end:
	// crashed tells that the connection was reset or closed during it, succeeded that the answer was complete.
	Begin(target *camphorhinge.Target, fp camphorhinge.Fingerprint) (end func(crashed, succeeded bool))
}

// jitterer is an optional ability of an Admission: a random delay before a repeated attempt.
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
	Metrics       *metrics.Set
	Tracer        trace.Tracer
	// Prefixes hashes the leading blocks of a prompt, as engines do; nil turns prefix affinity off.
	Prefixes func(model camphorhinge.ModelName, adapter camphorhinge.AdapterName, prompt string) []uint64
	// NewID draws ids of requests and attempts; nil takes random UUIDs.
	NewID func() string
}

// MaxBody bounds the body of any request, in bytes. It holds a photo or a document for a plain service.
const MaxBody = 16 << 20

const (
	// maxModelBody bounds the body of a model request, in bytes. It holds a prompt of about two million tokens.
	maxModelBody = 8 << 20
	// maxAnswer bounds a whole answer to a model request, in bytes. It holds several answers of the longest context.
	maxAnswer = 16 << 20
	// receiveTimeout bounds the time in which a caller sends the body. It lets a slow phone link send a few MB.
	receiveTimeout = 20 * time.Second
	// maxBufferedBody bounds the part of a plain call's body or answer that is held in memory, in bytes. A call with a longer body
	// is not repeated.
	maxBufferedBody = 256 << 10
	// maxAttempts bounds the attempts of a request, so that a request that each target refuses ends.
	maxAttempts = 4
	// controlTimeout bounds a claim's completion, release or loss after the exchange, and a cancel.
	controlTimeout = 2 * time.Second
	// bytesPerToken is the estimated prompt text of one token, in bytes.
	bytesPerToken = 4
)

// Frontend serves callers. It is safe for concurrent use.
type Frontend struct {
	cfg    Config
	meters *meters
	// background runs control calls that no caller waits for, such as cancels.
	background errgroup.Group
	// watchers wait for callers that leave, one for each request whose body was read.
	watchers errgroup.Group
}

// maxBackground bounds the control calls under way; further ones run before their handler returns.
const maxBackground = 256

// New returns a Frontend; Close ends it.
func New(cfg Config) *Frontend {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	f := &Frontend{cfg: cfg, meters: newMeters(cfg.Metrics)}
	f.background.SetLimit(maxBackground)
	return f
}

// Close waits for control calls under way; the requests must have ended.
func (f *Frontend) Close() error { return errors.Join(f.watchers.Wait(), f.background.Wait()) }

// runInBackground runs a control call that no caller waits for.
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
	// Whole sends a complete answer. A caller that left is not noticed.
	Whole(status int, header http.Header, body []byte)
	// Head starts an answer that is sent in pieces.
	Head(status int, header http.Header)
	// Write sends one piece at once; an error means that the caller is gone.
	Write(p []byte) (int, error)
	// Abort cuts the connection, so that the caller can't take the pieces for the whole answer.
	Abort()
}
