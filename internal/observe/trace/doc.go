// Package trace configures OpenTelemetry tracing: propagation in the W3C trace-context format, and export of spans over
// OTLP/HTTP to a collector or as JSON lines to a writer.
package trace
