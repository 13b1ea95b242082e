// Package spread makes each announcement of a target known to all nodes: it takes announcements on the target port,
// passes them on to the other nodes in batches, takes theirs, and asks silent targets itself.
package spread
