// Package member keeps the replicated list of entry nodes. A new leader needs it to know which nodes may still hold a
// configuration lease from its predecessor.
package member
