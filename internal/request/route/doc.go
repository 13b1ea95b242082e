// Package route chooses a target for each attempt: the one with the least expected completion, by the node's own
// in-flight work, the lagged load reports and the prompt prefixes that engines hold.
//
// A choice depends only on the targets, the announcements, the attempts and their results, the clock and the seed.
package route
