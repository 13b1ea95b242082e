// Package discovery makes each announcement of a target known to all nodes: it takes announcements on the target port,
// passes them on to the other nodes in batches, takes theirs, and asks silent targets itself. The same call tells the
// other nodes the demand on the workspaces' limits.
package discovery
