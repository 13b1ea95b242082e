// Package frontend serves callers over HTTP: model requests, streamed or whole, and calls to plain services.
//
// The rules of a request do not depend on the HTTP server: they read an inbound and write to a sink. http.go adapts both
// to hertz.
//
// Invariants:
//   - Each error states a class. NotRun is stated only when each attempt of the request was NotRun by itself.
//   - The end mark of a stream is written only after the end mark of an attempt whose pieces are those that were written.
//   - A call that is neither idempotent nor a model request gets no further attempt after one that was not NotRun.
package frontend
