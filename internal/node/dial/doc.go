// Package dial provides the dialers for connections to targets and to other nodes, which detect dead connections early.
package dial
