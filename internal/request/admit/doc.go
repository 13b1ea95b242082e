// Package admit decides whether a request may start now: limits per workspace and priority, shedding under load, and the
// budget of repeated attempts.
//
// Each node enforces its share of a limit without a round trip. Shares follow the demand on the nodes, which they learn
// from one another now and then; without that news each node has an equal share.
//
// Invariants:
//   - The shares that nodes with the same news take add up to the limit.
//   - A request that is refused takes nothing from a bucket.
//   - A request of a higher priority is never shed where an equal one of a lower priority would not be.
package admit
