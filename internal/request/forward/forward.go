package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/access"
	"example.org/camphorhinge/internal/request/budget"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/origin"
	"example.org/camphorhinge/internal/request/place"
	"example.org/camphorhinge/internal/request/quarantine"
)

const (
	// receiveTimeout bounds the time that a caller may take to send the body.
	receiveTimeout = 10 * time.Second
	// defaultMaxBody is the limit of a request body when the configuration sets none, in bytes.
	defaultMaxBody = 8 << 20
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 16 << 20
	// answerMargin is the part of a route's time-out that is reserved for sending the final answer.
	answerMargin = 30 * time.Millisecond
	// maxAttempts bounds the attempts of a request, so that one that every target refuses fails in the end. The route's
	// MaxAttempts bounds only those that may have run.
	maxAttempts = 4
	// configurationRetryAfter and targetRetryAfter are the Retry-After of a request that failed because this node has
	// no configuration, or no target for the request.
	configurationRetryAfter = 500 * time.Millisecond
	targetRetryAfter        = 300 * time.Millisecond
	// stopRetryAfter is the Retry-After of a stopping node; it is short because the retry reaches another node.
	stopRetryAfter = 100 * time.Millisecond
	// freeTimeout bounds the call that frees an unused KV cache.
	freeTimeout = 2 * time.Second
)

// RequestInfo holds the parameters that a caller sets in the header of its request.
type RequestInfo struct {
	Attempt camphorhinge.AttemptID
	// Timeout is the time that the caller waits for the answer, or 0 when it is not stated.
	Timeout time.Duration
	// Prompt is the number of prompt tokens and Output the limit of generated tokens; Segments divide the prompt.
	Prompt, Output camphorhinge.Tokens
	Segments       []place.Segment
	// LastEventID is the id of the last event that the caller received, for a stream that it resumes.
	LastEventID string
	// Resumes is the attempt that brought the first event of that stream, or empty when the caller does not state it.
	Resumes camphorhinge.AttemptID
	// Key is the caller's API key; empty unless the header has exactly one.
	Key access.Key
}

// Protocol translates between this package and the headers and bodies that callers and targets of a deployment use.
// It makes no decisions.
type Protocol interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// StripKey removes all fields of a request's header that may hold an API key.
	StripKey(h http.Header)
	// ParseLoad reads the load that a target reports in the header of an answer; ok is false when there is no valid
	// report.
	ParseLoad(h http.Header) (l place.Load, ok bool)
	// ParseLimit reads the number of requests a second that a target states, in the header of an answer, to take from all
	// nodes together. It returns 0 when there is none, and false when it is not valid.
	ParseLimit(h http.Header) (perSecond float64, ok bool)
	// ParseNotice reads what a target states in an answer about further requests. The error tells a value that is not valid and
	// was left out.
	ParseNotice(status int, h http.Header) (place.Notice, error)
	// StripInternal removes the fields of an answer's header that callers must not get.
	StripInternal(h http.Header)
	// StripStamp removes the target's signature from the header of an answer whose status was replaced, so that the
	// answer can't be taken for the target's own.
	StripStamp(h http.Header)
	// ParsePrefill reads the answer of a separate prefill and returns the name under which its KV cache is fetched.
	ParsePrefill(target *camphorhinge.Target, body []byte) (source string, err error)
	// FreeCall returns the call that frees a KV cache that will not be fetched.
	FreeCall(target *camphorhinge.Target, source string) exchange.Call
}

// Config holds the dependencies of a Forwarder.
type Config struct {
	// Index returns the routing configuration in force, or nil before there is one.
	Index func() *routing.Index
	// Access admits requests by their keys.
	Access     *access.Guard
	Targets    camphorhinge.Targets
	Placer     Placer
	Origins    Origins
	Exchange   *exchange.Client
	Budget     *budget.Budget
	Quarantine Quarantine
	// Usage counts the requests that begin to run; nil means that they are not counted.
	Usage    Usage
	Protocol Protocol
	// Bodies and Answers bound the bytes of requests, by connection, and of answers and events, by target, that are held in memory.
	Bodies, Answers *buffer.Pool
	// Zone is the availability zone of this node.
	Zone camphorhinge.Zone
	// Nodes returns the number of nodes that share the retry budget.
	Nodes func() int
	// Started is the start of this node.
	Started camphorhinge.Instant
	Clock   camphorhinge.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Placer chooses the targets of requests; *schedule.Client implements it.
type Placer interface {
	// Place chooses the targets of a request and records the work there; ok is false when no live target may take it. A
	// refusal above 0 means that the request can't be served in time, and is the time after which the caller may retry.
	Place(ctx context.Context, live []*camphorhinge.Target, req place.Request) (p *place.Placement, refusal time.Duration, ok bool)
	// PauseLeft returns the time until the first of the targets that may serve the request ends the pause that it asked this
	// node for, or 0 if they don't all seem to want one. It is certain if all have asked.
	PauseLeft(live []*camphorhinge.Target, req place.Request) (left time.Duration, certain bool)
}

// Origins records where streams begin; *schedule.Client implements it.
type Origins interface {
	// RecordOrigin records where a stream begins, or with a try of 0 that it was continued there. Try numbers the targets to
	// which the attempt was sent, from 1. The record is needed for the given time.
	RecordOrigin(key origin.Key, from origin.Origin, try int, keep time.Duration)
	// ResolveOrigin returns where a stream began; ok is false when that is not known. Key is 0 when the caller did not state
	// which stream it continues, which then began at the service within the given time.
	ResolveOrigin(ctx context.Context, key origin.Key, service camphorhinge.ServiceName, window time.Duration) (from origin.Origin, ok bool)
}

// Usage counts requests; *usage.Meter implements it.
type Usage interface {
	// RecordRun counts a request of a workspace that began to run at the given time.
	RecordRun(workspace camphorhinge.WorkspaceName, at camphorhinge.Instant)
}

// Quarantine refuses requests that crash targets; *quarantine.Client implements it.
type Quarantine interface {
	// Refused reports whether a request is refused, by its fingerprint or by one of its segments, and for how long.
	Refused(fp camphorhinge.Fingerprint, segments ...camphorhinge.Fingerprint) (time.Duration, bool)
	// Begin records that a request is in flight at a target; segments are the parts that other requests may have as well, and
	// request is the one of them that is the request without its caller. The returned function must be called once when the
	// attempt ends: crashed means that the connection was reset or closed during it, succeeded that the answer was complete.
	Begin(target *camphorhinge.Target, fp, request camphorhinge.Fingerprint, segments ...camphorhinge.Fingerprint) (end func(crashed, succeeded bool))
}

// Sink receives the answer for a caller; *ingress.Sink implements it.
type Sink interface {
	// SendComplete sends a complete answer. The body must stay unchanged until the function given to OnSent is called.
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

// Request is one request of a caller.
type Request struct {
	Method string
	// Path is the path without the query, RequestTarget the request target of HTTP, which is the path with the query.
	// Both are as sent, not decoded.
	Path, RequestTarget string
	Host                string
	Header              http.Header
	Body                io.Reader
	// Length is the body's size in bytes, or -1 when it is unknown.
	Length int64
	// Caller is the caller's IP address, Connection that address with the port.
	Caller, Connection string
	// Watch calls cancel when the caller closes its connection, until the returned function is called; it may be nil.
	Watch func(cancel context.CancelFunc) (stop func())
}

// Forwarder forwards requests to targets. It is safe for concurrent use.
type Forwarder struct {
	cfg    Config
	meters *meters
	// background runs the calls that free unused KV caches after their request has ended.
	background errgroup.Group
	// stopping is set once new requests are refused.
	stopping atomic.Bool
	// ended is done once requests in progress are to be answered at once, and end does that.
	ended context.Context //nolint:containedctx // It ends requests of other contexts.
	end   context.CancelFunc
	// watchers detect callers that close the connection, one for each request in progress.
	watchers errgroup.Group
	// badNotices bounds the log lines on statements of targets that are not valid.
	badNotices rate.Sometimes
	// memoryShort bounds the log lines on answers for which there is no memory.
	memoryShort rate.Sometimes
}

// maxBackground bounds the concurrent calls that free KV caches; calls above it are skipped, as engines also free
// unused caches by themselves.
const maxBackground = 64

// repeatedLogInterval is the least time between two log lines of one kind on faults of targets, after the first ten.
const repeatedLogInterval = 10 * time.Second

// New returns a Forwarder. Close must be called to release it.
func New(cfg Config) *Forwarder {
	ended, end := context.WithCancel(context.Background())
	f := &Forwarder{
		cfg: cfg, ended: ended, end: end, meters: newMeters(cfg.Metrics),
		badNotices: rate.Sometimes{First: 10, Interval: repeatedLogInterval}, memoryShort: rate.Sometimes{First: 10, Interval: repeatedLogInterval},
	}
	f.background.SetLimit(maxBackground)
	return f
}

// Close waits for background calls to finish. All requests must have ended before.
func (f *Forwarder) Close() error { return errors.Join(f.watchers.Wait(), f.background.Wait()) }

// StopAccepting makes the Forwarder refuse new requests, for a planned stop. Requests in progress continue.
func (f *Forwarder) StopAccepting() { f.stopping.Store(true) }

// errStopping is the cause of the end of a request at the end of a planned stop. It counts as the request's deadline.
var errStopping = fmt.Errorf("this node is stopping: %w", context.DeadlineExceeded)

// EndRequests ends the requests in progress as if their deadlines had passed, so that each gets an answer before the process ends.
func (f *Forwarder) EndRequests() { f.end() }

// Serve forwards one request, answers it through out, and records its outcome.
func (f *Forwarder) Serve(ctx context.Context, in *Request, out Sink) {
	j := &job{
		f: f, in: in, out: out, began: f.cfg.Clock.Now(), info: f.cfg.Protocol.ParseRequest(in.Header), header: forwardableHeader(in.Header),
		received: f.cfg.Bodies.Buffer(in.Connection),
	}
	defer j.received.Free()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(f.ended, func() { cancel(errStopping) })()
	err := j.serve(ctx)
	f.recordOutcome(j, err)
	switch {
	case err == nil:
	case j.headerSent || err.Kind == KindCallerLeft:
		out.Abort()
	default:
		out.SendComplete(err.Status, errorHeader(err), errorBody(err))
	}
}

// serve runs the request. On an error the caller has no complete answer yet.
func (j *job) serve(ctx context.Context) *Error {
	if j.f.stopping.Load() {
		return newUnavailable(KindStopping, stopRetryAfter, "this node is stopping")
	}
	index, err := j.awaitConfiguration(ctx)
	if err != nil {
		return err
	}
	j.version = index.Config.Version
	if j.route = index.Match(j.in.Host, j.in.Path); j.route == nil {
		return newRefusal(KindNoRoute, http.StatusNotFound, "no route for this host and path")
	}
	if err := j.authorizeArrival(ctx, index); err != nil {
		return err
	}
	if err := j.readBody(index.Config.Limits); err != nil {
		return err
	}
	if err := j.chooseService(ctx, index); err != nil {
		return err
	}
	j.f.cfg.Budget.RecordRequest(j.f.cfg.Clock.Now(), j.service.Name)
	timeout := j.route.Timeout - answerMargin
	if j.info.Timeout > 0 {
		timeout = min(timeout, j.info.Timeout)
	}
	timeout -= j.f.cfg.Clock.Now().Sub(j.began)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if j.in.Watch != nil {
		defer j.in.Watch(cancel)()
	}
	return j.runAttempts(ctx)
}

// readBody buffers the whole body, so that retries can send it again and a slow caller occupies no target.
func (j *job) readBody(l routing.Limits) *Error {
	limit := int64(l.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if j.in.Length > limit {
		return newRefusal(KindTooLarge, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	}
	if j.in.Body == nil {
		return nil
	}
	if !j.f.cfg.Bodies.Fits(j.in.Connection, max(j.in.Length, 0)) {
		return newUnavailable(KindMemory, targetRetryAfter, "this node has no memory for a body of %d bytes now", j.in.Length)
	}
	more, err := j.received.ReadAll(j.in.Body, j.in.Length, limit)
	body := j.received.Bytes()
	switch {
	case buffer.IsFull(err):
		return newUnavailable(KindMemory, targetRetryAfter, "this node has no memory for the body now: %w", err)
	case buffer.IsSlow(err):
		return newRefusal(KindSlowRequest, http.StatusRequestTimeout, "the body could not be read: %w", err)
	case err != nil:
		e := newRefusal(KindInvalid, http.StatusBadRequest, "the body could not be read: %w", err)
		if isTimeout(err) {
			e = newRefusal(KindSlowRequest, http.StatusRequestTimeout, "the body was not received in time")
		}
		return e
	case more:
		return newRefusal(KindTooLarge, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	case j.in.Length >= 0 && int64(len(body)) < j.in.Length:
		return newRefusal(KindInvalid, http.StatusBadRequest, "the body is shorter than its content length")
	}
	j.body = body
	return nil
}

// crashFingerprint returns the hash by which the quarantine counts requests that crash targets.
func (j *job) crashFingerprint() camphorhinge.Fingerprint {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(j.in.Caller), {0}, []byte(j.in.RequestTarget), {0}, j.body} {
		_, _ = d.Write(part) // Writes to a hash don't fail.
	}
	return camphorhinge.Fingerprint(d.Sum64())
}

// requestFingerprint returns the hash by which the quarantine counts the request whoever sends it.
func (j *job) requestFingerprint() camphorhinge.Fingerprint {
	return quarantine.RequestFingerprint(j.service.Name, j.in.Method, j.in.RequestTarget, j.body)
}

// fingerprintParts returns hashes of the caller, of the request target and of the body, in hexadecimal. They tell which part
// differs between requests of different fingerprints, without any of their content.
func (j *job) fingerprintParts() string {
	return fmt.Sprintf("%08x/%08x/%08x", uint32(xxhash.Sum64String(j.in.Caller)), uint32(xxhash.Sum64String(j.in.RequestTarget)),
		uint32(xxhash.Sum64(j.body)))
}

// segmentFingerprints returns the hashes by which the quarantine counts what other requests may have in common with this
// one: the segments of the prompt but the last, and the request as a whole without its caller.
func (j *job) segmentFingerprints() []camphorhinge.Fingerprint {
	var out []camphorhinge.Fingerprint
	for _, s := range j.info.Segments[:max(len(j.info.Segments)-1, 0)] {
		d := xxhash.NewWithSeed(s.Hash)
		_, _ = d.WriteString(string(j.service.Name)) // Writes to a hash don't fail.
		out = append(out, camphorhinge.Fingerprint(d.Sum64()))
	}
	return append(out, j.request)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// errorHeader returns the header of an error answer of this node.
func errorHeader(e *Error) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	h.Set(camphorhinge.HeaderRun, string(e.Run))
	if e.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer") // RFC 9110 requires it with this status.
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return h
}

// errorBody returns the body of an error answer of this node. It omits the cause, which may contain addresses of
// targets.
func errorBody(e *Error) []byte {
	return []byte(`{"error":{"type":` + strconv.Quote(string(e.Kind)) + `,"run":` + strconv.Quote(string(e.Run)) + "}}\n")
}
