package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/budget"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/place"
)

const (
	// receiveTimeout bounds the time in which a caller sends the body.
	receiveTimeout = 10 * time.Second
	// defaultBody bounds a body when the configuration does not, in bytes.
	defaultBody = 8 << 20
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 16 << 20
	// answerMargin is the part of a route's time-out that is left for the final answer.
	answerMargin = 30 * time.Millisecond
	// tries bounds the targets that a request is sent to, so that one which each target refuses ends.
	tries = 4
	// configurationPause and targetPause are the times after which a caller may come again when this node has no
	// configuration, or no target for it.
	configurationPause = 500 * time.Millisecond
	targetPause        = 300 * time.Millisecond
	// stopPause is the time after which a caller may come again that met a node which stops; it then meets another node.
	stopPause = 100 * time.Millisecond
	// freeTimeout bounds the call that frees a KV cache which is not taken.
	freeTimeout = 2 * time.Second
)

// Ask is what a caller says of its request in the header.
type Ask struct {
	Attempt camphorhinge.AttemptID
	// Left is the time that the caller waits, or 0 when it does not say.
	Left time.Duration
	// Prompt and Output are the numbers of tokens to read and at most to generate; Parts are the parts of the prompt.
	Prompt, Output camphorhinge.Tokens
	Parts          []place.Part
	// After is the id of the last event that the caller has, for a stream that goes on.
	After string
}

// Protocol is how callers and targets of a deployment spell what a request says. It only translates.
type Protocol interface {
	// Ask reads the header of a caller's request.
	Ask(h http.Header) Ask
	// Load reads a target's word on its load from an answer; ok is false when there is none.
	Load(h http.Header) (l place.Load, ok bool)
	// Answer removes from an answer's header what is meant for this system alone.
	Answer(h http.Header)
	// Unstamp removes the target's own mark from an answer's header, so that it can't be taken for the target's answer.
	Unstamp(h http.Header)
	// Prefilled reads the answer of a call that only had the prompt read: the name under which its KV cache is fetched.
	Prefilled(target *camphorhinge.Target, body []byte) (source string, err error)
	// Free returns the call that frees a KV cache which will not be fetched.
	Free(target *camphorhinge.Target, source string) exchange.Call
}

// Config holds what a Forwarder needs.
type Config struct {
	// Index returns the configuration in force, or nil.
	Index      func() *routing.Index
	Targets    camphorhinge.Targets
	Placer     Placer
	Exchange   *exchange.Client
	Budget     *budget.Budget
	Quarantine Quarantine
	Protocol   Protocol
	// Zone is the node's own.
	Zone camphorhinge.Zone
	// Nodes returns the number of nodes that share the retry budget.
	Nodes func() int
	// Started is when the node started.
	Started camphorhinge.Instant
	Clock   camphorhinge.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Placer chooses where requests go; *schedule.Client implements it.
type Placer interface {
	// Place chooses where a request goes and notes the work; ok is false when no live target may take it. A refusal above 0
	// tells that it can't be served in time, and when its caller may come again.
	Place(ctx context.Context, live []*camphorhinge.Target, req place.Request) (p *place.Placement, refusal time.Duration, ok bool)
}

// Quarantine refuses requests that crash targets; *quarantine.Client implements it.
type Quarantine interface {
	// Refused reports whether a fingerprint is refused, and for how long.
	Refused(fp camphorhinge.Fingerprint) (time.Duration, bool)
	// Begin notes that a request is in flight at a target. The returned function is called once at the attempt's end:
	// crashed tells that the connection was reset or closed during it, succeeded that the answer was complete.
	Begin(target *camphorhinge.Target, fp camphorhinge.Fingerprint) (end func(crashed, succeeded bool))
}

// Sink receives the answer for a caller; *ingress.Sink implements it.
type Sink interface {
	// Whole sends a complete answer.
	Whole(status int, header http.Header, body []byte)
	// Head starts an answer that is sent in pieces.
	Head(status int, header http.Header)
	// Write sends one piece at once; an error means that the caller is gone.
	Write(p []byte) (int, error)
	// Abort cuts the connection, so that the caller can't take the pieces for the whole answer.
	Abort()
}

// Request is one request of a caller.
type Request struct {
	Method string
	// Path is the path without the query, Target with it, as sent.
	Path, Target string
	Host         string
	Header       http.Header
	Body         io.Reader
	// Length is the body's size in bytes, or -1 when it is not known.
	Length int64
	// Caller is the caller's address.
	Caller string
	// Watch cancels a request when its caller leaves, until the returned function is called; it may be nil.
	Watch func(cancel context.CancelFunc) (stop func())
}

// Forwarder passes requests on. It is safe for concurrent use.
type Forwarder struct {
	cfg    Config
	meters *meters
	// after frees KV caches that no request takes; no caller waits for it.
	after errgroup.Group
	// refusing is set once no more requests are taken.
	refusing atomic.Bool
	// watches wait for callers that leave, one for each request under way.
	watches errgroup.Group
}

// afterLimit bounds the calls of Forwarder.after under way; further ones are left out, and the engine frees the cache itself.
const afterLimit = 64

// New returns a Forwarder; Close ends it.
func New(cfg Config) *Forwarder {
	f := &Forwarder{cfg: cfg, meters: newMeters(cfg.Metrics)}
	f.after.SetLimit(afterLimit)
	return f
}

// Close waits for calls under way; the requests must have ended.
func (f *Forwarder) Close() error { return errors.Join(f.watches.Wait(), f.after.Wait()) }

// Refuse makes the Forwarder refuse further requests, for a planned stop; requests under way go on.
func (f *Forwarder) Refuse() { f.refusing.Store(true) }

// Serve answers one request.
func (f *Forwarder) Serve(ctx context.Context, in *Request, out Sink) {
	j := &job{f: f, in: in, out: out, began: f.cfg.Clock.Now(), ask: f.cfg.Protocol.Ask(in.Header), header: passOn(in.Header)}
	err := j.serve(ctx)
	f.note(j, err)
	switch {
	case err == nil:
	case j.headed || err.Kind == KindLeft:
		out.Abort()
	default:
		out.Whole(err.Status, errorHeader(err), errorBody(err))
	}
}

// serve answers the request, or returns why it could not.
func (j *job) serve(ctx context.Context) *Error {
	if j.f.refusing.Load() {
		return later(KindStopping, stopPause, "this node stops")
	}
	index, err := j.index(ctx)
	if err != nil {
		return err
	}
	j.version = index.Config.Version
	if j.route = index.Match(j.in.Host, j.in.Path); j.route == nil {
		return refuse(KindUnknown, http.StatusNotFound, "no route for this host and path")
	}
	if err := j.receive(index.Config.Limits); err != nil {
		return err
	}
	name := j.route.Pick(rand.Float64()) //nolint:gosec // The division of a split needs no secrecy.
	if j.service = index.Service(name); j.service == nil {
		return later(KindConfiguration, configurationPause, "service %s is not configured", name)
	}
	j.f.cfg.Budget.Arrived(j.f.cfg.Clock.Now(), name)
	left := j.route.Timeout - answerMargin
	if j.ask.Left > 0 {
		left = min(left, j.ask.Left)
	}
	left -= j.f.cfg.Clock.Now().Sub(j.began)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if j.in.Watch != nil {
		defer j.in.Watch(cancel)()
	}
	return j.attempts(ctx)
}

// receive reads the body, so that it can be sent again and so that a caller which sends slowly holds no target.
func (j *job) receive(l routing.Limits) *Error {
	limit := int64(l.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultBody
	}
	if j.in.Length > limit {
		return refuse(KindTooLarge, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	}
	if j.in.Body == nil {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(j.in.Body, limit+1))
	switch {
	case err != nil:
		e := refuse(KindInvalid, http.StatusBadRequest, "the body could not be read: %w", err)
		if isTimeout(err) {
			e = refuse(KindSlow, http.StatusRequestTimeout, "the body was not received in time")
		}
		return e
	case int64(len(body)) > limit:
		return refuse(KindTooLarge, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	case j.in.Length >= 0 && int64(len(body)) < j.in.Length:
		return refuse(KindInvalid, http.StatusBadRequest, "the body is shorter than its content length")
	}
	j.body = body
	return nil
}

// fingerprint returns the hash by which crashing requests are counted.
func (j *job) fingerprint() camphorhinge.Fingerprint {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(j.in.Caller), {0}, []byte(j.in.Target), {0}, j.body} {
		_, _ = d.Write(part) // Writes to a hash don't fail.
	}
	return camphorhinge.Fingerprint(d.Sum64())
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// errorHeader returns the header of an answer of our own.
func errorHeader(e *Error) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	h.Set(camphorhinge.HeaderRun, string(e.Run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return h
}

// errorBody returns the body of an answer of our own. It names no cause, which may hold addresses of targets.
func errorBody(e *Error) []byte {
	return []byte(`{"error":{"type":` + strconv.Quote(string(e.Kind)) + `,"run":` + strconv.Quote(string(e.Run)) + "}}\n")
}
