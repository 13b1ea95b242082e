// Package admit decides whether a request may start now. It enforces limits per workspace and priority, sheds load, and
// keeps the retry budget.
//
// Each node enforces its share of a limit without a round trip. Shares follow the demand on the nodes, which they
// report to one another every second. A node without a report in the last 3 s is assigned an even share, which is also
// what it takes itself when it is partitioned; the rest is divided among the reporting nodes by demand.
//
// Invariants:
//   - The shares of nodes that hold the same reports add up to the limit.
//   - A refused request takes nothing from a token bucket.
//   - A request is never shed where an equal one of a lower priority would be admitted.
package admit
