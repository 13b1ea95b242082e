package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/route"

	"example.org/camphorhinge"
)

// DefaultTimeout is the default time limit of a request; a write may take 10 s from commit to acceptance.
const DefaultTimeout = 15 * time.Second

// HTTPBody is the request body limit for the HTTP server, in bytes. It exceeds MaxBody so that the API can return its
// own error for bodies that are slightly too large.
const HTTPBody = 4 * MaxBody

// Options returns the options for an HTTP server that serves the API.
func Options() []config.Option {
	return []config.Option{
		// Idle connections would delay a stop, and the operator sends few requests.
		server.WithKeepAlive(false),
		server.WithHandleMethodNotAllowed(false),
	}
}

// Config holds the dependencies of an API; only Timeout is optional.
type Config struct {
	// TokenFile is the path of the file with the bearer token.
	TokenFile string
	Writer    RecordWriter
	Reader    RecordReader
	Status    StatusSource
	Explain   Explainer
	// Metrics is exported at /metrics, together with the metrics of the process; the API adds its own metrics to it.
	Metrics *metrics.Set
	// Timeout is the time limit of each request; 0 selects DefaultTimeout.
	Timeout time.Duration
}

// API handles the operator's HTTP requests.
type API struct {
	cfg   Config
	token *token
}

// New returns an API. It fails if a dependency is missing or the token file is unusable.
func New(cfg Config) (*API, error) {
	if cfg.Writer == nil || cfg.Reader == nil || cfg.Status == nil || cfg.Explain == nil || cfg.Metrics == nil {
		return nil, newError("new", KindInternal, errors.New("a writer, reader, status source, explainer and metrics are needed"))
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	a := &API{cfg: cfg, token: &token{path: cfg.TokenFile}}
	if _, err := a.token.digest(); err != nil {
		return nil, newError("new", KindUsage, err)
	}
	return a, nil
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err, Message: err.Error()}
}

// Register adds the routes of the API to an engine.
func (a *API) Register(e *route.Engine) {
	e.Use(recovery.Recovery())
	e.POST("/v1/records", a.handle("apply", a.apply))
	e.POST("/v1/withdraw", a.handle("withdraw", a.withdraw))
	e.GET("/v1/records", a.handle("list", a.list))
	e.GET("/v1/records/:kind/:name", a.handle("get", a.get))
	e.GET("/v1/status", a.handle("status", a.status))
	e.GET("/v1/explain", a.handle("explain", a.explain))
	e.GET("/metrics", a.handle("metrics", a.metrics))
	e.NoRoute(a.handle("route", func(context.Context, *app.RequestContext) (any, error) {
		return nil, newError("route", KindAbsent, errors.New("no such path or method"))
	}))
}

// handlerFunc handles one request. It returns the JSON body of the response, or nil if it has written the response
// itself. Besides an error it may return a body that describes the error and partial results.
type handlerFunc func(context.Context, *app.RequestContext) (any, error)

// handle wraps a handler: it checks the token and the body size, limits the time, writes the body or error, and counts
// the request.
func (a *API) handle(name string, handler handlerFunc) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		ctx, cancel := context.WithTimeout(ctx, a.cfg.Timeout)
		defer cancel()
		var body any
		err := a.token.check(rc.Request.Header.Peek("Authorization"))
		if err == nil && len(rc.Request.Body()) > MaxBody {
			err = newError(name, KindUsage, fmt.Errorf("body of %d bytes, at most %d", len(rc.Request.Body()), MaxBody))
		}
		if err == nil {
			body, err = handler(ctx, rc)
		}
		code := http.StatusOK
		if err != nil {
			apiErr := asError(name, err)
			code = statusOf(apiErr.Kind)
			if body == nil {
				body = ErrorBody{Error: apiErr}
			}
			if apiErr.Kind == KindDenied {
				rc.Response.Header.Set("WWW-Authenticate", "Bearer")
			}
		}
		if body != nil {
			rc.JSON(code, body)
		}
		a.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`camphorhinge_operator_requests_total{request=%q,code="%d"}`, name, code)).Inc()
	}
}

// asError converts err to an Error. Other errors come from reads, which have no effect, and become KindUnavailable.
func asError(op string, err error) *Error {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	return newError(op, KindUnavailable, err)
}

func statusOf(kind Kind) int {
	switch kind {
	case KindUsage:
		return http.StatusBadRequest
	case KindDenied:
		return http.StatusUnauthorized
	case KindInvalid:
		return http.StatusUnprocessableEntity
	case KindConflict:
		return http.StatusConflict
	case KindAbsent:
		return http.StatusNotFound
	case KindUnavailable:
		return http.StatusServiceUnavailable
	case KindUncertain:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

func (a *API) status(ctx context.Context, _ *app.RequestContext) (any, error) {
	status, err := a.cfg.Status.Status(ctx)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(status)
	if err != nil {
		return nil, newError("status", KindInternal, err)
	}
	return json.RawMessage(text), nil
}

func (a *API) explain(ctx context.Context, rc *app.RequestContext) (any, error) {
	q := Query{Kind: rc.Query("kind"), Subject: rc.Query("subject")}
	after, err := parseNumber(rc, "after", 0, 1<<63)
	if err != nil {
		return nil, err
	}
	limit, err := parseNumber(rc, "limit", DefaultExplain, MaxExplain)
	if err != nil {
		return nil, err
	}
	q.After, q.Limit = after, int(limit)
	decisions, err := a.cfg.Explain.Explain(ctx, q)
	if err != nil {
		return nil, err
	}
	if decisions == nil {
		decisions = []camphorhinge.Decision{}
	}
	return ExplainBody{Decisions: decisions}, nil
}

// parseNumber returns a query parameter as a number from 0 to maximum, or def if the parameter is missing.
func parseNumber(rc *app.RequestContext, name string, def, maximum uint64) (uint64, error) {
	text := rc.Query(name)
	if text == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > maximum {
		return 0, usageError("explain", name, fmt.Sprintf("a whole number from 0 to %d", maximum), text)
	}
	return n, nil
}

func (a *API) metrics(_ context.Context, rc *app.RequestContext) (any, error) {
	var b bytes.Buffer
	a.cfg.Metrics.WritePrometheus(&b)
	metrics.WriteProcessMetrics(&b)
	rc.Data(http.StatusOK, "text/plain; version=0.0.4; charset=utf-8", b.Bytes())
	return nil, nil
}
