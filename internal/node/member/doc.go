// Package member maintains the replicated list of nodes. A new leader uses it to determine which nodes may still hold a
// configuration lease from its predecessor.
package member
