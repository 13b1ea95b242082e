// Package decision keeps the most recent decisions of a node in a bounded ring buffer, for the explain command.
package decision
