// Package quarantine detects requests that crash the targets on which they run, and refuses them.
//
// Machine is the replicated part. It stores recent crashes with the fingerprints (hashes of workspace, service and
// body) of the requests in flight on the crashed target; each of n fingerprints scores 1/n. Client is the part on each
// node. It tracks the attempts in flight, reports crashes and stores the resulting scores.
//
// Invariants:
//   - A crash counts once: a node reports an attempt at most once, and the reports of several nodes on one crash are
//     merged.
//   - A fingerprint is refused for 10 minutes from the crash by which it reached the threshold, unless an attempt with
//     it succeeds.
package quarantine
