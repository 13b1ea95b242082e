// Package quarantine detects requests and prompt segments that crash the targets on which they run, and refuses them.
//
// Machine is the replicated part. It stores recent crashes with the fingerprints (hashes of workspace, service and
// body) of the requests in flight on the crashed target; each of n fingerprints scores 1/n. Client is the part on each
// node. It tracks the attempts in flight, reports crashes and stores the resulting scores.
//
// The segments of the prompts in flight are counted apart, since requests that have a segment in common need have nothing
// else in common. A segment is refused after some crashes without a success since, unless another refused one explains
// them. A whole request without its caller is a segment as well; one that is not known to be sound is also refused by its
// score, like a fingerprint.
//
// Invariants:
//   - A crash counts once: a node reports an attempt at most once, and the reports of several nodes on one crash are
//     merged. For segments this holds however late and often a crash is reported.
//   - A fingerprint is refused for 10 minutes from the crash by which it reached the threshold, unless an attempt with
//     it succeeds. The refusal of a segment also ends when a later crash shows that another segment was the cause.
package quarantine
