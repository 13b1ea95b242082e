package trace

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Config configures the exporters of a Provider. Without any, spans are not recorded, but trace context is still
// propagated.
type Config struct {
	// ServiceName is the value of the resource attribute service.name.
	ServiceName string
	// Collector is the host:port of an OTLP/HTTP collector; if it is empty, spans are not exported over OTLP.
	Collector string
	// Output receives each span as one line of JSON; it may be nil.
	Output io.Writer
}

// Kind classifies an Error.
type Kind string

// KindExporter marks an exporter that could not be created, flushed or stopped.
const KindExporter Kind = "exporter"

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("trace %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Provider creates tracers and exports their spans.
type Provider struct {
	sdk *sdktrace.TracerProvider
}

// New creates the exporters of cfg; the caller must call Close to flush them.
func New(ctx context.Context, cfg Config) (*Provider, error) {
	var opts []sdktrace.TracerProviderOption
	if cfg.Collector != "" {
		exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.Collector), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, &Error{Op: "collector", Kind: KindExporter, Err: err}
		}
		opts = append(opts, sdktrace.WithBatcher(exp))
	}
	if cfg.Output != nil {
		exp, err := stdouttrace.New(stdouttrace.WithWriter(cfg.Output))
		if err != nil {
			return nil, &Error{Op: "lines", Kind: KindExporter, Err: err}
		}
		opts = append(opts, sdktrace.WithBatcher(exp))
	}
	if len(opts) == 0 {
		return &Provider{}, nil
	}
	opts = append(opts, sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", cfg.ServiceName))))
	return &Provider{sdk: sdktrace.NewTracerProvider(opts...)}, nil
}

// Tracer returns the tracer of a component, whose name is the instrumentation scope of its spans.
func (p *Provider) Tracer(component string) oteltrace.Tracer {
	if p.sdk == nil {
		return noop.NewTracerProvider().Tracer(component)
	}
	return p.sdk.Tracer(component)
}

// Close flushes and stops the exporters; ctx bounds the time it takes.
func (p *Provider) Close(ctx context.Context) error {
	if p.sdk == nil {
		return nil
	}
	if err := p.sdk.Shutdown(ctx); err != nil {
		return &Error{Op: "close", Kind: KindExporter, Err: err}
	}
	return nil
}

// Propagator returns the W3C trace-context propagator.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }
