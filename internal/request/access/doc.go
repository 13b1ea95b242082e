// Package access decides whether a caller's request may run, by its API key.
//
// Invariants:
//   - A request that arrives at least the bound after the time at which the configuration in force is known to have been the newest
//     is not admitted by a key, since the key may have been removed since.
//   - The version in force at the time of the decision decides, and not the one that the request was matched with.
package access
