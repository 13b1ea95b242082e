// Package frontend serves callers over HTTP: model requests, whose answers are streamed or buffered, and calls to plain
// services.
//
// Request handling does not depend on the HTTP server: it reads an inbound and writes to a sink. http.go adapts both to
// hertz.
//
// Invariants:
//   - Each error states a class. NotRun is stated only when each attempt of the request was NotRun.
//   - The end mark of a stream is written only after that of an attempt whose events are the same as those written.
//   - A call that is neither idempotent nor a model request gets no further attempt after one that was not NotRun.
//   - Bodies, answers and events above 16 KB take memory of Config.Bodies and Config.Answers as long as they are held. A body that finds
//     none is refused with 503 as NotRun; an answer that finds none ends the request with 502 as Unknown.
package frontend
