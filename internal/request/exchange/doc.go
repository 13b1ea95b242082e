// Package exchange runs one attempt of a request against one target over HTTP/1.1.
//
// A Client has its own connection pool and uses net/http only to encode requests and decode answers. Hertz's client and
// net/http's Transport are not used, because they hide three things that an attempt depends on:
//   - whether a byte of the request was handed to the kernel, which decides between the run classes not-run and unknown;
//   - which connection carries the attempt: an abandoned attempt closes it, and when a connection stalls, the others to
//     the same target are retired;
//   - that the request is written only once. Both clients retry on their own; Transport does so for each request that has
//     an Idempotency-Key and no body.
//
// Invariants:
//   - An Error with Run == NotRun is returned only if no byte was written or the target stated it.
//   - A connection returns to the pool only after a complete answer with no further bytes behind it, and after the whole
//     request. The rest of a body that a target has not read when it answers is sent, or the connection is closed.
//   - An answer with neither a length nor chunks is complete only if its request was sent and no reset ended it.
//   - A status line with a status outside 100 to 599, or not of three digits, is no answer.
//   - A Stream returns io.EOF only after the end mark, an event with the data [DONE]; its events carry the attempt's
//     id and contiguous offsets.
//   - An event above 16 KB takes memory of Call.Memory until the next one is read or the Stream is closed.
package exchange
