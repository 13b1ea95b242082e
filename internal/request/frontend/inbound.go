package frontend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/quarantine"
)

// inbound is one request of a caller.
type inbound struct {
	method string
	path   string
	// target is the path with the query, as sent.
	target string
	header http.Header
	body   io.Reader
	// length is the body's size in bytes, or -1 when it is unknown.
	length int64
	// connection is the caller's address with the port.
	connection string
	// received holds the bytes of the body that were read.
	received *buffer.Buffer
	// watch calls cancel when the caller closes its connection, until the returned function is called; it may be nil.
	watch func(cancel context.CancelFunc) (stop func())

	id        camphorhinge.RequestID
	began     time.Time
	workspace Workspace
	service   camphorhinge.ServiceName
	priority  camphorhinge.Priority
	// targetFailed is set when the relayed answer has a status of 500 or above.
	targetFailed bool
}

// serve answers one request through out and records its outcome.
func (f *Frontend) serve(ctx context.Context, in *inbound, out sink) {
	in.received = f.cfg.Bodies.Buffer(in.connection)
	defer in.received.Free()
	in.id, in.began = camphorhinge.RequestID(f.cfg.NewID()), time.Now()
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(in.header))
	ctx, span := f.cfg.Tracer.Start(ctx, "request "+in.method, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("camphorhinge.request", string(in.id))))
	defer span.End()

	err := f.dispatch(ctx, in, out)
	span.SetAttributes(attribute.String("camphorhinge.workspace", string(in.workspace.Name)),
		attribute.String("camphorhinge.service", string(in.service)))
	if err == nil {
		f.meters.record(in.service, camphorhinge.Run, "", !in.targetFailed, time.Since(in.began))
		return
	}
	span.SetStatus(codes.Error, err.Error())
	f.meters.record(in.service, err.Run, err.Kind, false, time.Since(in.began))
	if err.Kind == KindCallerLeft {
		return
	}
	if err.Kind == KindMemory {
		f.memoryShort.Do(func() {
			f.cfg.Log.Warn("no memory for a request", "request", in.id, "from", in.connection, "run", err.Run, "error", err.Err)
		})
	}
	f.cfg.Decisions.Record("refuse", string(in.id), string(err.Kind), map[string]string{
		"run": string(err.Run), "workspace": string(in.workspace.Name), "service": string(in.service),
		"cause": err.Err.Error(),
	})
	if !errors.Is(err, errAnswerBegun) {
		out.SendComplete(err.Status, f.answerHeader(in, err.Run, err.RetryAfter, "application/json"), err.encode(in.id))
	}
}

// dispatch authorizes a request and serves it as a model request or a call to a plain service, by its path.
func (f *Frontend) dispatch(ctx context.Context, in *inbound, out sink) *Error {
	if !f.cfg.Configuration.MayServe() {
		err := newRefusal(KindStaleConfiguration, http.StatusServiceUnavailable, "the configuration of this node is stale")
		err.RetryAfter = defaultRetryAfter
		return err
	}
	if err := f.authorize(in); err != nil {
		return err
	}
	switch {
	case !isModelPath(in.path):
		return f.servePlain(ctx, in, out)
	case in.method != http.MethodPost:
		return newRefusal(KindInvalid, http.StatusMethodNotAllowed, "%s must be called with POST", in.path)
	}
	return f.serveModel(ctx, in, out)
}

// errAnswerBegun marks an Error after the start of the answer, for which no error answer can be sent.
var errAnswerBegun = errors.New("the answer had begun")

func isModelPath(path string) bool {
	return path == "/v1/completions" || path == "/v1/chat/completions"
}

// answerHeader returns the header of an answer of this node; retry is its Retry-After, rounded up to seconds, or 0.
func (f *Frontend) answerHeader(
	in *inbound, class camphorhinge.RunClass, retry time.Duration, contentType string,
) http.Header {
	h := http.Header{}
	h.Set("Content-Type", contentType)
	h.Set(camphorhinge.HeaderRun, string(class))
	h.Set(camphorhinge.HeaderRequest, string(in.id))
	if retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int((retry+time.Second-1)/time.Second)))
	}
	return h
}

// authorize sets the workspace of the request by the caller's API key.
func (f *Frontend) authorize(in *inbound) *Error {
	key, ok := strings.CutPrefix(in.header.Get("Authorization"), "Bearer ")
	if ok && key != "" {
		sum := sha256.Sum256([]byte(key))
		in.workspace, ok = f.cfg.Configuration.Workspace(hex.EncodeToString(sum[:]))
	}
	if !ok || key == "" {
		return newRefusal(KindUnauthorized, http.StatusUnauthorized, "the API key is missing or unknown")
	}
	return nil
}

// applyLimits sets the request's service and priority and returns the time left until its deadline. Callers may ask for
// a priority up to the limit of their workspace, and for a shorter deadline than that of the service.
func (in *inbound) applyLimits(s Service) (time.Duration, *Error) {
	in.service = s.Name
	in.priority = min(s.Priority, in.workspace.Priority)
	if v := in.header.Get(camphorhinge.HeaderPriority); v != "" {
		n, err := strconv.ParseUint(v, 10, 8)
		if err != nil || camphorhinge.Priority(n) > camphorhinge.MaxPriority {
			return 0, newRefusal(KindInvalid, http.StatusBadRequest, "%s must be a number from 0 to %d",
				camphorhinge.HeaderPriority, camphorhinge.MaxPriority)
		}
		in.priority = min(camphorhinge.Priority(n), in.workspace.Priority)
	}
	left := s.Deadline
	if v := in.header.Get(camphorhinge.HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 {
			return 0, newRefusal(KindInvalid, http.StatusBadRequest, "%s must be a positive number of milliseconds",
				camphorhinge.HeaderDeadline)
		}
		if n < left.Milliseconds() {
			left = time.Duration(n) * time.Millisecond
		}
	}
	return left - time.Since(in.began), nil
}

// withDeadline returns the context of the request's attempts: it ends at the deadline or, if watched, when the caller
// closes the connection. A request can be watched only after its body was read completely.
func (in *inbound) withDeadline(ctx context.Context, left time.Duration, watched bool) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, left)
	if in.watch == nil || !watched {
		return ctx, cancel
	}
	stop := in.watch(cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// readBody reads the complete body, of at most limit bytes.
func (in *inbound) readBody(limit int64) ([]byte, *Error) {
	if in.length > limit {
		return nil, newRefusal(KindTooLarge, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	}
	if in.body == nil {
		return nil, nil
	}
	if !in.received.Fits(max(in.length, 0)) {
		return nil, memoryError(errNoMemory)
	}
	more, err := in.received.ReadAll(in.body, in.length, limit)
	body := in.received.Bytes()
	switch {
	case err != nil:
		return nil, bodyError(err)
	case more:
		return nil, newRefusal(KindTooLarge, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	case in.length >= 0 && int64(len(body)) < in.length:
		return nil, newRefusal(KindInvalid, http.StatusBadRequest, "the body is shorter than its content length")
	}
	return body, nil
}

var errNoMemory = errors.New("no memory for the body now")

// memoryError returns the Error of a body for which there is no memory.
func memoryError(err error) *Error {
	e := newRefusal(KindMemory, http.StatusServiceUnavailable, "this node has no memory for the body: %w", err)
	e.RetryAfter = defaultRetryAfter
	return e
}

// bodyError returns the Error of a body that could not be read.
func bodyError(err error) *Error {
	if buffer.IsFull(err) {
		return memoryError(err)
	}
	if buffer.IsSlow(err) {
		return newRefusal(KindSlowRequest, http.StatusRequestTimeout, "the body could not be read: %w", err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return newRefusal(KindSlowRequest, http.StatusRequestTimeout, "the body was not received in time")
	}
	return newRefusal(KindInvalid, http.StatusBadRequest, "the body could not be read: %w", err)
}

// fingerprint returns the hash by which the quarantine counts requests that crash targets.
func (in *inbound) fingerprint(body []byte) camphorhinge.Fingerprint {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(in.workspace.Name), {0}, []byte(in.service), {0}, body} {
		_, _ = d.Write(part)
	}
	return camphorhinge.Fingerprint(d.Sum64())
}

// anyCallerFingerprint returns the hash by which the quarantine counts the request whichever workspace sends it.
func (in *inbound) anyCallerFingerprint(body []byte) camphorhinge.Fingerprint {
	return quarantine.RequestFingerprint(in.service, in.method, in.target, body)
}

// prompt holds the fields of a model request's body that the frontend uses.
type prompt struct {
	Model       string            `json:"model"`
	Adapter     string            `json:"adapter"`
	Prompt      json.RawMessage   `json:"prompt"`
	Messages    []json.RawMessage `json:"messages"`
	Stream      bool              `json:"stream"`
	MaxTokens   *int64            `json:"max_tokens"`
	MaxOutput   *int64            `json:"max_completion_tokens"`
	Seed        *int64            `json:"seed"`
	Temperature *float64          `json:"temperature"`
	N           *int64            `json:"n"`
}

// defaultOutput is the expected number of output tokens when the caller sets no limit.
const defaultOutput = 256

// parsePrompt decodes and validates the body of a model request.
func parsePrompt(path string, body []byte) (*prompt, *Error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, newRefusal(KindInvalid, http.StatusBadRequest, "the body is not a valid request: %w", err)
	}
	switch {
	case p.Model == "":
		return nil, newRefusal(KindInvalid, http.StatusBadRequest, "model is missing")
	case path == "/v1/completions" && len(p.Prompt) == 0:
		return nil, newRefusal(KindInvalid, http.StatusBadRequest, "prompt is missing")
	case path != "/v1/completions" && len(p.Messages) == 0:
		return nil, newRefusal(KindInvalid, http.StatusBadRequest, "messages is missing or empty")
	case p.maxOutput() <= 0:
		return nil, newRefusal(KindInvalid, http.StatusBadRequest, "max_tokens must be positive")
	}
	return &p, nil
}

// maxOutput returns the caller's limit of output tokens, or defaultOutput without one.
func (p *prompt) maxOutput() camphorhinge.Tokens {
	switch {
	case p.MaxOutput != nil:
		return camphorhinge.Tokens(*p.MaxOutput)
	case p.MaxTokens != nil:
		return camphorhinge.Tokens(*p.MaxTokens)
	}
	return defaultOutput
}

// deterministic reports whether a repeated run is expected to give the same answer.
func (p *prompt) deterministic() bool {
	return p.Seed != nil && p.Temperature != nil && *p.Temperature == 0 && (p.N == nil || *p.N == 1)
}

// text returns the prompt as one string, in the form whose prefixes engines hash.
func (p *prompt) text() string {
	var s string
	if json.Unmarshal(p.Prompt, &s) == nil && len(p.Messages) == 0 {
		return s
	}
	if len(p.Messages) == 0 {
		return string(p.Prompt)
	}
	var b strings.Builder
	for _, raw := range p.Messages {
		var m struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		}
		if json.Unmarshal(raw, &m) != nil {
			continue
		}
		if json.Unmarshal(m.Content, &s) != nil {
			s = string(m.Content)
		}
		b.WriteString(m.Role + ": " + s + "\n")
	}
	return b.String()
}
