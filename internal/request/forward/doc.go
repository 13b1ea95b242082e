// Package forward passes callers' requests on to targets: unchanged, within the limits of their route, and to another
// target where that is allowed.
//
// The rules of a request do not depend on the HTTP server: they read a Request and write to a Sink. http.go adapts both to
// hertz.
//
// Invariants:
//   - A request of a route that runs at most once gets no further attempt after one that may have run.
//   - A status that promises that the request has not run is sent only when each attempt of it was camphorhinge.NotRun.
//   - Of a stream, whole events are passed on, in order; a stream that goes on elsewhere goes on after the last of them.
//   - An answer that broke off is never ended as if it were whole.
package forward
