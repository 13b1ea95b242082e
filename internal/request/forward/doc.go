// Package forward is the reverse proxy of an entry node. It forwards callers' requests to targets unchanged, within the
// limits of their route, and retries them at other targets where the route allows it.
//
// Request handling does not depend on the HTTP server: it reads a Request and writes to a Sink. http.go adapts both to
// hertz.
//
// Invariants:
//   - A request of an at-most-once route gets no further attempt after one that may have run.
//   - A status that implies that the request has not run is sent only when every attempt was camphorhinge.NotRun.
//   - Events of a stream are forwarded complete and in order; a stream that is resumed at another target continues
//     after the last forwarded event.
//   - An answer that broke off is never terminated as if it were complete.
package forward
