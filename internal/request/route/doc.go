// Package route chooses a target for each attempt: the one with the least expected completion, estimated from the
// node's own requests in flight, lagged load reports and the prompt prefixes that engines have cached.
//
// Choices are deterministic: they depend only on the targets, the announcements, the attempts and their results, the
// clock and the seed.
package route
