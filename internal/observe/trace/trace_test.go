package trace_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/propagation"

	"example.org/camphorhinge/internal/observe/trace"
)

// Guards against a hop that drops the caller's trace ID or propagates the caller's span ID instead of its own.
func TestSpansContinueCallersTrace(t *testing.T) {
	const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	var out bytes.Buffer
	p, err := trace.New(context.Background(), trace.Config{ServiceName: "node-1", Output: &out})
	require.NoError(t, err)

	incoming := propagation.MapCarrier{"traceparent": caller}
	ctx := trace.Propagator().Extract(context.Background(), incoming)
	ctx, span := p.Tracer("frontend").Start(ctx, "request")
	outgoing := propagation.MapCarrier{}
	trace.Propagator().Inject(ctx, outgoing)
	span.End()
	require.NoError(t, p.Close(context.Background()))

	require.Contains(t, outgoing["traceparent"], "0af7651916cd43dd8448eb211c80319c")
	require.NotEqual(t, caller, outgoing["traceparent"])
	var line struct {
		Name   string
		Parent struct{ SpanID string }
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "request", line.Name)
	require.Equal(t, "b7ad6b7169203331", line.Parent.SpanID)
}
