// Package admit decides whether a request may start now: limits per workspace and priority, shedding under load, and the
// budget of repeated attempts.
//
// Each node enforces its share of a limit without a round trip. Shares follow the demand on the nodes, which they report
// to one another each second. A node that was not heard of for 3 s keeps an equal share, and takes it if it is cut off;
// what is left goes by demand to the others.
//
// Invariants:
//   - The shares that nodes with the same news take add up to the limit.
//   - A request that is refused takes nothing from a bucket.
//   - A request of a higher priority is never shed where an equal one of a lower priority would not be.
package admit
