package site

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/forward"
	"example.org/camphorhinge/internal/request/place"
)

// Headers between callers, nodes and engines.
const (
	headerAttempt  = "Attempt"
	headerTimeout  = "Timeout-Ms"
	headerOutput   = "Output"
	headerSegments = "Segments"
	headerRole     = "Role"
	headerSource   = "Source"
	headerAfter    = "After"
	headerResumes  = "Resumes"
	headerLimit    = "Limit"
	headerNotRun   = "Not-Run"
	headerLeaving  = "Leaving"
	headerPause    = "Pause"
)

// segmentTokens is the size of each prompt segment.
const segmentTokens = 500

// protocol implements forward.Protocol and exchange.Dialect.
type protocol struct{}

var (
	_ forward.Protocol = protocol{}
	_ exchange.Dialect = protocol{}
)

// parseSegments returns the segments of a prompt, which the header lists in hexadecimal.
func parseSegments(h http.Header) []place.Segment {
	var out []place.Segment
	for _, s := range strings.Split(h.Get(headerSegments), ",") {
		if n, err := strconv.ParseUint(s, 16, 64); err == nil {
			out = append(out, place.Segment{Hash: n, Tokens: segmentTokens})
		}
	}
	return out
}

// ParseRequest implements forward.Protocol.
func (protocol) ParseRequest(h http.Header) forward.RequestInfo {
	info := forward.RequestInfo{
		Attempt: camphorhinge.AttemptID(h.Get(headerAttempt)), LastEventID: h.Get(headerAfter),
		Resumes: camphorhinge.AttemptID(h.Get(headerResumes)), Segments: parseSegments(h),
	}
	info.Prompt = segmentTokens * camphorhinge.Tokens(len(info.Segments))
	if n, err := strconv.Atoi(h.Get(headerOutput)); err == nil {
		info.Output = camphorhinge.Tokens(n)
	}
	if n, err := strconv.Atoi(h.Get(headerTimeout)); err == nil {
		info.Timeout = time.Duration(n) * time.Millisecond
	}
	return info
}

// StripKey implements forward.Protocol. Requests of the site have no keys.
func (protocol) StripKey(http.Header) {}

// ParseLoad implements forward.Protocol.
func (protocol) ParseLoad(http.Header) (place.Load, bool) { return place.Load{}, false }

// ParseLimit implements forward.Protocol.
func (protocol) ParseLimit(h http.Header) (float64, bool) {
	limit, err := strconv.ParseFloat(h.Get(headerLimit), 64)
	return limit, err == nil || h.Get(headerLimit) == ""
}

// ParseNotice implements forward.Protocol.
func (protocol) ParseNotice(_ int, h http.Header) (place.Notice, error) {
	n := place.Notice{Leaving: h.Get(headerLeaving) != ""}
	text := h.Get(headerPause)
	if text == "" {
		return n, nil
	}
	var err error
	n.Pause, err = time.ParseDuration(text)
	return n, err
}

// StripInternal implements forward.Protocol.
func (protocol) StripInternal(http.Header) {}

// StripStamp implements forward.Protocol.
func (protocol) StripStamp(http.Header) {}

// ParsePrefill implements forward.Protocol.
func (protocol) ParsePrefill(t *camphorhinge.Target, body []byte) (string, error) {
	handle, ok := strings.CutPrefix(string(body), "handle ")
	if !ok {
		return "", errNoHandle
	}
	return t.Address + "/" + handle, nil
}

// FreeCall implements forward.Protocol.
func (protocol) FreeCall(t *camphorhinge.Target, source string) exchange.Call {
	return exchange.Call{Target: t, Method: http.MethodDelete, Path: "/handles/" + source}
}

// Prepare implements exchange.Dialect.
func (protocol) Prepare(h http.Header, call *exchange.Call, left time.Duration) {
	for name, value := range map[string]string{
		headerAttempt: string(call.Attempt), headerSource: call.Source, headerAfter: call.LastEventID, headerRole: string(call.Role),
	} {
		h.Del(name)
		if value != "" {
			h.Set(name, value)
		}
	}
	h.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
}

// Attempt implements exchange.Dialect.
func (protocol) Attempt(h http.Header) camphorhinge.AttemptID {
	return camphorhinge.AttemptID(h.Get(headerAttempt))
}

// Class implements exchange.Dialect.
func (protocol) Class(status int, h http.Header) camphorhinge.RunClass {
	if status >= http.StatusBadRequest && h.Get(headerNotRun) != "" {
		return camphorhinge.NotRun
	}
	return camphorhinge.Run
}

// ProbePath implements exchange.Dialect.
func (protocol) ProbePath() string { return "" }

// CloseDelimited implements exchange.Dialect.
func (protocol) CloseDelimited() bool { return true }

var (
	errNoHandle = errors.New("the answer to a prefill names no handle")
	errRefused  = errors.New("connection refused")
	errNoLeader = errors.New("no leader can be reached")
)
