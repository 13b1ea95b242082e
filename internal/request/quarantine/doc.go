// Package quarantine finds requests that crash the targets that run them, and refuses them.
//
// Machine is the replicated side: it keeps crashes, each with the fingerprints that were in flight on the crashed
// target. Of n fingerprints each counts 1/n. Client is what a node calls: it knows what is in flight, reports crashes and
// keeps the counts that it learned.
//
// Invariants:
//   - One crash counts once: a node reports an attempt at most once, and the reports of several nodes on one crash are
//     merged into it.
//   - A fingerprint is refused for 10 minutes from the crash that brought it to the threshold, unless an attempt with it
//     succeeds.
package quarantine
