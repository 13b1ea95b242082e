// Package dial makes the dialers of outgoing connections, to targets and to other nodes.
package dial
