// Package duty decides which process may call the provider of targets, and how often. At most one process at a time holds the duties:
// the leader of the replicated log, whose term is the fencing token of its calls.
package duty
