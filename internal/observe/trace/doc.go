// Package trace sets up OpenTelemetry spans: W3C context in and out, export by OTLP over HTTP to a collector or as JSON
// lines to a writer.
package trace
