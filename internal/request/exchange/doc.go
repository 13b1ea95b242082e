// Package exchange runs one attempt of a request with one target over HTTP/1.1.
//
// A Client keeps its own pool of connections and uses net/http only to encode requests and decode answers. Neither
// hertz's client nor net/http's Transport is used, because an attempt has to know three things that both hide: whether
// a byte of the request was handed to the kernel (it decides between the classes not-run and unknown), which connection
// carries the attempt (an abandoned attempt closes it, and the siblings of a silent one are dropped), and that the
// request is written once. Both retry by themselves; Transport does so for each request that has an Idempotency-Key
// and no body.
//
// Invariants:
//   - An Error with Run == NotRun is returned only when no byte was written, or when the target said so.
//   - A connection goes back to the pool only after a whole answer with nothing behind it.
//   - A Stream returns io.EOF only after the end mark; its events carry the attempt's id and contiguous offsets.
package exchange
