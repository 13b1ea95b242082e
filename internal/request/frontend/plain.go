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
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/exchange"
)

// call is a call to a plain service.
type call struct {
	*job
	// head is the part of the body that is held in memory; rest follows it, or is nil when head is all.
	head []byte
	rest io.Reader
	// repeat is true when the method is idempotent and the body is held in memory.
	repeat bool
	grant  *claim.Grant
}

// plain serves a call to a plain service.
func (f *Frontend) plain(ctx context.Context, in *inbound, out sink) *Error {
	s, ok := f.cfg.Configuration.Path(in.path)
	if !ok {
		return refuse(KindUnknown, http.StatusNotFound, "no service serves the path %q", in.path)
	}
	left, err := in.limits(s)
	if err != nil {
		return err
	}
	c := &call{job: &job{
		f: f, in: in, out: out,
		route:  camphorhinge.RouteRequest{Service: s.Name, Priority: in.priority, Prompt: 1, Output: 1},
		header: forward(in),
	}}
	idempotent := slices.Contains(s.Idempotent, in.method)
	key := in.header.Get(camphorhinge.HeaderIdempotencyKey)
	claimed := !idempotent && key != ""
	if err := c.receive(claimed); err != nil {
		return err
	}
	c.repeat = idempotent && c.rest == nil
	c.fp = in.fingerprint(append([]byte(in.method+" "+in.target+" "), c.head...))
	// A claimed call goes on when its caller leaves: the answer is stored for the resend.
	ctx, cancel := in.bound(ctx, left, c.rest == nil && !claimed)
	defer cancel()
	choice, release, err := c.admit(ctx)
	if err != nil {
		return err
	}
	defer release()
	if claimed {
		answered, err := c.claim(ctx, key, left)
		if err != nil || answered {
			return err
		}
	}
	return c.run(ctx, choice)
}

// receive reads the body: the whole of a claimed call, whose digest is compared, or else the first part.
func (c *call) receive(all bool) *Error {
	in, limit := c.in, int64(MaxBody)
	if in.length > limit {
		return refuse(KindTooLarge, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	}
	if all || in.length >= 0 && in.length <= keepBody {
		var err *Error
		if c.head, err = in.read(limit); err != nil {
			return err
		}
		return nil
	}
	if in.body == nil {
		return nil
	}
	var err error
	c.head, err = readHead(in.body, in.length)
	switch {
	case err == nil:
		c.rest = &capped{r: in.body, left: limit - int64(len(c.head))}
	case !errors.Is(err, io.EOF):
		return unreadable(err)
	case in.length > int64(len(c.head)):
		return unreadable(io.ErrUnexpectedEOF)
	}
	return nil
}

// firstPart is the first size of the buffer for a body of unknown length.
const firstPart = 4 << 10

// readHead reads a body up to its end or to keepBody bytes. The error is nil when keepBody bytes were read, and that of r
// otherwise: io.EOF at the end of the body. Length is the body's size in bytes, or -1 when it is not known. The buffer
// follows the size: one of keepBody bytes for each call was nine tenths of all that a node allocated.
func readHead(r io.Reader, length int64) ([]byte, error) {
	size := int64(firstPart)
	if length >= 0 {
		size = length + 1 // The end of the body is seen only by reading past it.
	}
	head := make([]byte, 0, min(size, keepBody))
	for {
		n, err := r.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		switch {
		case len(head) == keepBody:
			return head, nil
		case err != nil:
			return head, err
		case len(head) == cap(head):
			head = append(make([]byte, 0, min(2*len(head), keepBody)), head...)
		}
	}
}

// capped fails a body of unknown length that exceeds the limit.
type capped struct {
	r    io.Reader
	left int64
}

var errCapped = errors.New("the body exceeds the limit")

func (c *capped) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if c.left -= int64(n); c.left < 0 {
		return 0, errCapped
	}
	return n, err
}

// run runs attempts until one gives an answer.
func (c *call) run(ctx context.Context, choice camphorhinge.RouteChoice) *Error {
	for {
		c.tried++
		l := c.begin(choice, camphorhinge.AttemptID(c.f.cfg.NewID()))
		a, err := c.f.cfg.Exchange.Open(ctx, c.request(l))
		if err == nil {
			l.first = a.FirstByte()
			var told *Error
			if told, err = c.answer(a); err == nil {
				a.Close()
				l.end(nil)
				return told
			}
			a.Close()
		}
		l.end(err)
		e := attemptError(err)
		if errors.Is(err, errWritten) {
			c.lose()
			return failed(err, camphorhinge.Unknown)
		}
		if c.rest != nil && e.Kind != exchange.KindConnect {
			// The body was passed on and can't be sent again.
			c.touched = c.touched || e.Run != camphorhinge.NotRun
			return failed(err, e.Run)
		}
		var final *Error
		if choice, final = c.again(ctx, err, choice.Target, c.repeat); final != nil {
			c.settle(final)
			return final
		}
	}
}

func (c *call) request(l *leg) exchange.Call {
	out := exchange.Call{
		Target: l.choice.Target, Attempt: l.attempt, Method: c.in.method, Path: c.in.target, Header: c.header,
		Priority: c.in.priority, NewConn: !c.repeat || c.touched,
	}
	if c.rest != nil {
		out.Body, out.Length = io.MultiReader(bytes.NewReader(c.head), c.rest), c.in.length
	} else if len(c.head) > 0 {
		out.Body, out.Length = bytes.NewReader(c.head), int64(len(c.head))
	}
	return out
}

// answer passes the target's answer on. An answer of up to 256 KiB is received as a whole before the caller gets any of
// it; an error of a longer one wraps errWritten. told is set when the caller left.
func (c *call) answer(a *exchange.Answer) (told *Error, err error) {
	head, err := readHead(a, a.Length)
	whole := errors.Is(err, io.EOF) && a.Complete()
	if err != nil && !whole {
		return nil, err
	}
	c.in.poor = a.Status >= http.StatusInternalServerError
	h := backward(a.Header)
	h.Set(camphorhinge.HeaderRun, string(a.Class()))
	h.Set(camphorhinge.HeaderRequest, string(c.in.id))
	if whole {
		c.complete(claim.Answer{Status: a.Status, Header: h, Body: head})
		c.out.Whole(a.Status, h, head)
		return nil, nil
	}
	c.out.Head(a.Status, h)
	if _, err := c.out.Write(head); err != nil {
		return c.left(a, h), nil
	}
	part := make([]byte, 32<<10)
	for {
		n, err := a.Read(part)
		if n > 0 {
			if _, werr := c.out.Write(part[:n]); werr != nil {
				return c.left(a, h), nil
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			c.complete(claim.Answer{Status: a.Status, Header: h, Omitted: true})
			return nil, nil
		case err != nil:
			c.out.Abort()
			return nil, errors.Join(errWritten, err)
		}
	}
}

// left ends a call whose caller left in the middle of a long answer.
func (c *call) left(a *exchange.Answer, h http.Header) *Error {
	c.complete(claim.Answer{Status: a.Status, Header: h, Omitted: true})
	return failed(errCaller, camphorhinge.Unknown)
}

// hop reports whether a header concerns one connection only, and is not passed on.
func hop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect":
		return true
	}
	return strings.HasPrefix(name, "Camphorhinge-")
}

// forward returns the header of a caller's request for a target. The API key stays here; the target gets the workspace.
func forward(in *inbound) http.Header {
	out := make(http.Header, len(in.header))
	named := in.header.Values("Connection")
	for k, v := range in.header {
		if !hop(k) && k != "Authorization" && k != "Traceparent" && !listed(named, k) {
			out[k] = v
		}
	}
	out.Set("Camphorhinge-Workspace", string(in.workspace.Name))
	out.Set(camphorhinge.HeaderRequest, string(in.id))
	return out
}

// backward returns the header of a target's answer for a caller.
func backward(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := h.Values("Connection")
	for k, v := range h {
		if !hop(k) && !listed(named, k) {
			out[k] = v
		}
	}
	return out
}

// listed reports whether a Connection header names a field.
func listed(connection []string, name string) bool {
	for _, line := range connection {
		for _, f := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(f), name) {
				return true
			}
		}
	}
	return false
}

// claim asks for the claim of a call with an idempotency key. answered is true when the caller was told the outcome of
// an earlier one.
func (c *call) claim(ctx context.Context, key string, left time.Duration) (answered bool, _ *Error) {
	if c.f.cfg.Claims == nil {
		return false, refuse(KindClaim, http.StatusServiceUnavailable, "this node can't claim requests")
	}
	if len(key) > maxKey {
		return false, refuse(KindInvalid, http.StatusBadRequest, "%s exceeds %d bytes",
			camphorhinge.HeaderIdempotencyKey, maxKey)
	}
	ctx, span := c.f.cfg.Tracer.Start(ctx, "claim")
	defer span.End()
	g, err := c.f.cfg.Claims.Claim(ctx, claim.Request{
		Key:      claim.Key{Workspace: c.in.workspace.Name, Service: c.in.service, Key: key},
		Digest:   claim.DigestOf(c.in.method, c.in.target, c.head),
		Deadline: left,
	})
	if err != nil {
		out := refuse(KindClaim, http.StatusServiceUnavailable, "the request could not be claimed: %w", err)
		out.RetryAfter = retryHint
		var e *claim.Error
		if !errors.As(err, &e) || e.Kind != claim.KindAbsent {
			out.Run = camphorhinge.Unknown
			// If the claim takes effect it is ours and unsent, so it is given up for the caller's next try.
			c.f.later(func(ctx context.Context) error { return c.f.cfg.Claims.Release(ctx, g) })
		}
		return false, out
	}
	switch g.State {
	case claim.Granted:
		c.grant = &g
		return false, nil
	case claim.Stored:
		c.replay(g.Answer)
		return true, nil
	case claim.Busy:
		out := refuse(KindInProgress, http.StatusConflict, "a request with this key is in progress")
		out.Run, out.RetryAfter = camphorhinge.Unknown, retryHint
		return false, out
	case claim.Differs:
		return false, refuse(KindKeyReused, http.StatusUnprocessableEntity, "the key was used for another request")
	case claim.Full:
		out := refuse(KindClaim, http.StatusServiceUnavailable, "too many requests are claimed")
		out.RetryAfter = retryHint
		return false, out
	}
	out := refuse(KindLost, http.StatusConflict, "the outcome of the request with this key is unknown")
	out.Run = camphorhinge.Unknown
	return false, out
}

// maxKey bounds an idempotency key, in bytes.
const maxKey = 255

// replay sends a stored answer.
func (c *call) replay(a *claim.Answer) {
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
	c.out.Whole(a.Status, h, a.Body)
}

// complete stores the answer before the caller gets it. When that fails, a later call with the key is told that the
// outcome is unknown.
func (c *call) complete(a claim.Answer) {
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

// settle releases the claim of a call that was not run, and marks that of one that may have been run as lost.
func (c *call) settle(final *Error) {
	if c.grant == nil {
		return
	}
	if final.Run != camphorhinge.NotRun {
		c.lose()
		return
	}
	g := *c.grant
	c.grant = nil
	// Released before the caller is told, so that a resend at once does not find the request in progress.
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if c.f.cfg.Claims.Release(ctx, g) != nil {
		c.f.meters.controlFailures.Inc()
	}
}

func (c *call) lose() {
	if c.grant == nil {
		return
	}
	g := *c.grant
	c.grant = nil
	c.f.later(func(ctx context.Context) error { return c.f.cfg.Claims.Lose(ctx, g) })
}
