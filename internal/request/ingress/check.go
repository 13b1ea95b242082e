package ingress

import (
	"bytes"
	"context"
	"errors"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/net/http/httpguts"
)

var (
	errMethod  = errors.New("the method is no token")
	errTarget  = errors.New("the request target is not in origin form, has control bytes, or leaves its path by dot segments")
	errFraming = errors.New("the header states the length of the body in several ways")
	errHost    = errors.New("the Host header is repeated or not valid")
)

// RefuseUnclear returns middleware that refuses a request which can't be passed on as the caller sent it, or whose end a target could take
// for another one, and calls onRefused with the reason. Its connection is closed, as further bytes on it may belong to the request.
func RefuseUnclear(reply Reply, onRefused func(error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		err := check(c)
		if err == nil {
			c.Next(ctx)
			return
		}
		onRefused(err)
		NewSink(c).SendComplete(reply(FaultMalformed))
		c.SetConnectionClose()
		c.Abort()
	}
}

// check returns an error for a request that must be refused.
func check(c *app.RequestContext) error {
	switch h := &c.Request.Header; {
	case !httpguts.ValidHeaderFieldName(string(h.Method())):
		return errMethod
	case !isForwardable(RequestTarget(c)):
		return errTarget
	default:
		return checkHeader(h.RawHeaders())
	}
}

// isForwardable reports whether a request target is in origin form and names a path that no target takes for one outside of it.
func isForwardable(target string) bool {
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	path = strings.ReplaceAll(strings.ReplaceAll(path, "%2e", "."), "%2E", ".")
	for segment := range strings.SplitSeq(path, "/") {
		if segment == ".." {
			return false
		}
	}
	return true
}

// checkHeader returns an error if the lines of a header state more than one length of the body, another transfer coding than chunked, or
// more than one valid host.
func checkHeader(raw []byte) error {
	hosts, length, chunked := 0, "", false
	for line := range bytes.Lines(raw) {
		name, text, ok := strings.Cut(strings.TrimRight(string(line), "\r\n"), ":")
		if !ok {
			continue // The empty line.
		}
		value := strings.TrimSpace(text)
		switch strings.ToLower(name) {
		case "host":
			if hosts++; hosts > 1 || !httpguts.ValidHostHeader(value) {
				return errHost
			}
		case "content-length":
			if length != "" && length != value || value == "" {
				return errFraming
			}
			length = value
		case "transfer-encoding":
			if chunked || !strings.EqualFold(value, "chunked") {
				return errFraming
			}
			chunked = true
		}
	}
	if chunked && length != "" {
		return errFraming
	}
	return nil
}
