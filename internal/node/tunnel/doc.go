// Package tunnel connects a node to targets that it can't reach by itself, through another node that reaches them.
//
// A Dialer connects directly first and, when that fails or takes long, through one of its relays, which are core nodes. A
// connection through a relay carries the same bytes as a direct one, so that deadlines, retries, attempt ids and the end of a
// request mean the same on it: closing one end closes the other, and bytes that were written may have been received. A Relay
// connects to known targets only, and directly, so that there is one relay on any way.
package tunnel
