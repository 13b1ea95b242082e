package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/exchange"
)

// call is a call to a plain service.
type call struct {
	*job
	// head is the buffered part of the body, rest the remainder, or nil when head is the complete body.
	head []byte
	rest io.Reader
	// repeatable is true when the method is idempotent and the complete body is buffered.
	repeatable bool
	grant      *claim.Grant
}

// servePlain serves a call to a plain service.
func (f *Frontend) servePlain(ctx context.Context, in *inbound, out sink) *Error {
	s, ok := f.cfg.Configuration.Path(in.path)
	if !ok {
		return newRefusal(KindUnknownService, http.StatusNotFound, "no service serves the path %q", in.path)
	}
	left, err := in.applyLimits(s)
	if err != nil {
		return err
	}
	c := &call{job: &job{
		f: f, in: in, out: out,
		route:  camphorhinge.RouteRequest{Service: s.Name, Priority: in.priority, Prompt: 1, Output: 1},
		header: requestHeader(in),
	}}
	idempotent := slices.Contains(s.Idempotent, in.method)
	key := in.header.Get(camphorhinge.HeaderIdempotencyKey)
	claimed := !idempotent && key != ""
	if err := c.receiveBody(claimed); err != nil {
		return err
	}
	c.repeatable = idempotent && c.rest == nil
	c.fingerprint = in.fingerprint(append([]byte(in.method+" "+in.target+" "), c.head...))
	c.anyCaller = in.anyCallerFingerprint(c.head)
	// A claimed call continues when its caller closes the connection: the answer is stored for the resend.
	ctx, cancel := in.withDeadline(ctx, left, c.rest == nil && !claimed)
	defer cancel()
	choice, release, err := c.admit(ctx)
	if err != nil {
		return err
	}
	defer release()
	if claimed {
		answered, err := c.acquireClaim(ctx, key, left)
		if err != nil || answered {
			return err
		}
	}
	return c.run(ctx, choice)
}

// receiveBody buffers the body. With all set, as for a claimed call, whose digest is compared, it buffers the complete
// body, otherwise at most maxBufferedBody bytes.
func (c *call) receiveBody(all bool) *Error {
	in, limit := c.in, int64(MaxBody)
	if in.length > limit {
		return newRefusal(KindTooLarge, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	}
	if all || in.length >= 0 && in.length <= maxBufferedBody {
		var err *Error
		if c.head, err = in.readBody(limit); err != nil {
			return err
		}
		return nil
	}
	if in.body == nil {
		return nil
	}
	more, err := in.received.ReadAll(in.body, in.length, maxBufferedBody)
	c.head = in.received.Bytes()
	switch {
	case err != nil:
		return bodyError(err)
	case more:
		c.rest = &limitedBody{r: in.body, remaining: limit - int64(len(c.head))}
	case in.length > int64(len(c.head)):
		return bodyError(io.ErrUnexpectedEOF)
	}
	return nil
}

// limitedBody is a reader that fails with errBodyTooLarge once a body exceeds the limit.
type limitedBody struct {
	r         io.Reader
	remaining int64
}

var errBodyTooLarge = errors.New("the body exceeds the limit")

func (c *limitedBody) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if c.remaining -= int64(n); c.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// run makes attempts until one is answered or no further one is allowed.
func (c *call) run(ctx context.Context, choice camphorhinge.RouteChoice) *Error {
	for {
		c.attempts++
		l := c.beginLeg(choice, camphorhinge.AttemptID(c.f.cfg.NewID()))
		a, err := c.f.cfg.Exchange.Open(ctx, c.exchangeCall(l))
		if err == nil {
			l.firstEvent = a.FirstByte()
			var callerErr *Error
			if callerErr, err = c.relayAnswer(a, l.choice.Target); err == nil {
				a.Close()
				l.end(nil)
				return callerErr
			}
			a.Close()
		}
		l.end(err)
		e := attemptError(err)
		if errors.Is(err, errAnswerBegun) {
			c.markOutcomeUnknown()
			return callerError(err, camphorhinge.Unknown)
		}
		if c.rest != nil && e.Kind != exchange.KindConnect {
			// Part of the body was streamed to the target and can't be sent again.
			c.mayHaveRun = c.mayHaveRun || e.Run != camphorhinge.NotRun
			return callerError(err, e.Run)
		}
		var final *Error
		if choice, final = c.nextAttempt(ctx, err, choice.Target, c.repeatable); final != nil {
			c.settleClaim(final)
			return final
		}
	}
}

// exchangeCall describes an attempt of a call to a plain service.
func (c *call) exchangeCall(l *leg) exchange.Call {
	out := exchange.Call{
		Target: l.choice.Target, Attempt: l.attempt, Method: c.in.method, Path: c.in.target, Header: c.header,
		Priority: c.in.priority, NewConn: !c.repeatable || c.mayHaveRun,
	}
	if c.rest != nil {
		out.Body, out.Length = io.MultiReader(bytes.NewReader(c.head), c.rest), c.in.length
	} else if len(c.head) > 0 {
		out.Body, out.Length = bytes.NewReader(c.head), int64(len(c.head))
	}
	return out
}

// readHead reads an answer up to its end or to maxBufferedBody bytes, and returns whether it has read maxBufferedBody bytes. Length is the
// answer's size in bytes, or -1 when it is unknown. The buffer grows with the answer: a buffer of maxBufferedBody bytes per call made up nine
// tenths of a node's allocations.
func readHead(head *buffer.Buffer, r io.Reader, length int64) (long bool, err error) {
	return head.ReadAll(r, length, maxBufferedBody-1)
}

// partSize is the size of the parts in which a long answer is passed on, in bytes.
const partSize = 32 << 10

// relayAnswer relays the target's answer. An answer below maxBufferedBody bytes is buffered completely before the
// caller gets any of it. An error after the start of a longer one wraps errAnswerBegun. callerErr is set when the
// caller closed the connection.
func (c *call) relayAnswer(a *exchange.Answer, target *camphorhinge.Target) (callerErr *Error, err error) {
	head, parts := c.f.cfg.Answers.Buffer(target.Address), c.f.cfg.Answers.Lease(target.Address)
	sending := false
	defer func() {
		parts.Free()
		if !sending {
			head.Free()
		}
	}()
	long, err := readHead(head, a, a.Length)
	if err == nil && long {
		// The memory for the rest is taken before the caller gets anything, so that its lack doesn't break off the answer.
		err = parts.Grow(partSize)
	}
	switch {
	case buffer.IsFull(err):
		return nil, answerMemoryError(err)
	case err != nil:
		return nil, err
	case !long && !a.Complete():
		return nil, io.ErrUnexpectedEOF
	}
	c.in.targetFailed = a.Status >= http.StatusInternalServerError
	h := relayedHeader(a.Header)
	h.Set(camphorhinge.HeaderRun, string(a.Class()))
	h.Set(camphorhinge.HeaderRequest, string(c.in.id))
	if !long {
		c.storeAnswer(claim.Answer{Status: a.Status, Header: h, Body: head.Bytes()})
		c.out.SendComplete(a.Status, h, head.Bytes())
		sending = true
		c.out.OnSent(head.Free)
		return nil, nil
	}
	c.out.StartStream(a.Status, h)
	if _, err := c.out.Write(head.Bytes()); err != nil {
		return c.callerLeft(a, h), nil
	}
	head.Free()
	part := make([]byte, partSize)
	for {
		n, err := a.Read(part)
		if n > 0 {
			if _, werr := c.out.Write(part[:n]); werr != nil {
				return c.callerLeft(a, h), nil
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			c.storeAnswer(claim.Answer{Status: a.Status, Header: h, Omitted: true})
			return nil, nil
		case err != nil:
			c.out.Abort()
			return nil, errors.Join(errAnswerBegun, err)
		}
	}
}

// callerLeft ends a call whose caller closed the connection during a long answer.
func (c *call) callerLeft(a *exchange.Answer, h http.Header) *Error {
	c.storeAnswer(claim.Answer{Status: a.Status, Header: h, Omitted: true})
	return callerError(errCallerLeft, camphorhinge.Unknown)
}

// isHopByHop reports whether a header applies to one connection only or is set by this system, and so is not forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect":
		return true
	}
	return strings.HasPrefix(name, "Camphorhinge-")
}

// requestHeader returns the header of a caller's request as a target gets it. The API key is replaced by the workspace.
func requestHeader(in *inbound) http.Header {
	out := make(http.Header, len(in.header))
	connection := in.header.Values("Connection")
	for k, v := range in.header {
		if !isHopByHop(k) && k != "Authorization" && k != "Traceparent" && !isListed(connection, k) {
			out[k] = v
		}
	}
	out.Set("Camphorhinge-Workspace", string(in.workspace.Name))
	out.Set(camphorhinge.HeaderRequest, string(in.id))
	return out
}

// relayedHeader returns the header of a target's answer as the caller gets it.
func relayedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	connection := h.Values("Connection")
	for k, v := range h {
		if !isHopByHop(k) && !isListed(connection, k) {
			out[k] = v
		}
	}
	return out
}

// isListed reports whether the lines of a Connection header name a field.
func isListed(connection []string, name string) bool {
	for _, line := range connection {
		for _, f := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(f), name) {
				return true
			}
		}
	}
	return false
}

// acquireClaim claims a call with an idempotency key. answered is true when the caller got the stored answer of an
// earlier call with the key.
func (c *call) acquireClaim(ctx context.Context, key string, left time.Duration) (answered bool, _ *Error) {
	if c.f.cfg.Claims == nil {
		return false, newRefusal(KindClaim, http.StatusServiceUnavailable, "this node can't claim requests")
	}
	if len(key) > maxIdempotencyKey {
		return false, newRefusal(KindInvalid, http.StatusBadRequest, "%s exceeds %d bytes",
			camphorhinge.HeaderIdempotencyKey, maxIdempotencyKey)
	}
	ctx, span := c.f.cfg.Tracer.Start(ctx, "claim")
	defer span.End()
	g, err := c.f.cfg.Claims.Claim(ctx, claim.Request{
		Key:      claim.Key{Workspace: c.in.workspace.Name, Service: c.in.service, Key: key},
		Digest:   claim.DigestOf(c.in.method, c.in.target, c.head),
		Deadline: left,
	})
	if err != nil {
		out := newRefusal(KindClaim, http.StatusServiceUnavailable, "the request could not be claimed: %w", err)
		out.RetryAfter = defaultRetryAfter
		var e *claim.Error
		if !errors.As(err, &e) || e.Kind != claim.KindNotApplied {
			out.Run = camphorhinge.Unknown
			// If the claim takes effect it belongs to this call, which was not sent, so it is released for the caller's
			// retry.
			c.f.runInBackground(func(ctx context.Context) error { return c.f.cfg.Claims.Release(ctx, g) })
		}
		return false, out
	}
	switch g.State {
	case claim.Granted:
		c.grant = &g
		return false, nil
	case claim.Stored:
		c.replayAnswer(g.Answer)
		return true, nil
	case claim.Busy:
		out := newRefusal(KindInProgress, http.StatusConflict, "a request with this key is in progress")
		out.Run, out.RetryAfter = camphorhinge.Unknown, defaultRetryAfter
		return false, out
	case claim.Differs:
		return false, newRefusal(KindKeyReused, http.StatusUnprocessableEntity, "the key was used for another request")
	case claim.Full:
		out := newRefusal(KindClaim, http.StatusServiceUnavailable, "too many requests are claimed")
		out.RetryAfter = defaultRetryAfter
		return false, out
	}
	out := newRefusal(KindOutcomeUnknown, http.StatusConflict, "the outcome of the request with this key is unknown")
	out.Run = camphorhinge.Unknown
	return false, out
}

// maxIdempotencyKey bounds an idempotency key, in bytes.
const maxIdempotencyKey = 255

// replayAnswer sends a stored answer.
func (c *call) replayAnswer(a *claim.Answer) {
	h := http.Header(a.Header).Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(camphorhinge.HeaderRun, string(camphorhinge.Run))
	h.Set(camphorhinge.HeaderRequest, string(c.in.id))
	h.Set("Camphorhinge-Replayed", "true")
	if a.Omitted {
		h.Set("Camphorhinge-Body", "omitted")
	}
	c.out.SendComplete(a.Status, h, a.Body)
}

// storeAnswer stores the answer of a claimed call before the caller gets it. If that fails, a later call with the key
// fails with KindOutcomeUnknown.
func (c *call) storeAnswer(a claim.Answer) {
	if c.grant == nil {
		return
	}
	g := *c.grant
	c.grant = nil
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if c.f.cfg.Claims.Complete(ctx, g, a) != nil {
		c.f.meters.controlFailures.Inc()
	}
}

// settleClaim ends the claim of a failed call: it releases the claim if the call has not run, and marks it as lost if
// the call may have run.
func (c *call) settleClaim(final *Error) {
	if c.grant == nil {
		return
	}
	if final.Run != camphorhinge.NotRun {
		c.markOutcomeUnknown()
		return
	}
	g := *c.grant
	c.grant = nil
	// The claim is released before the caller gets the error, so that an immediate resend does not find it in progress.
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if c.f.cfg.Claims.Release(ctx, g) != nil {
		c.f.meters.controlFailures.Inc()
	}
}

// markOutcomeUnknown marks the claim as lost in the background.
func (c *call) markOutcomeUnknown() {
	if c.grant == nil {
		return
	}
	g := *c.grant
	c.grant = nil
	c.f.runInBackground(func(ctx context.Context) error { return c.f.cfg.Claims.MarkLost(ctx, g) })
}
