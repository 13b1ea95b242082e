// Package decision stores the most recent decisions of a node in bounded ring buffers, for the explain command.
package decision
