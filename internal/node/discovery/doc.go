// Package discovery distributes the announcements of targets to all nodes: it receives announcements on the target
// port, forwards them to the other nodes in batches, receives theirs, and polls silent targets, whose renewals stopped
// arriving. The same call carries the demand on the workspaces' limits to the other nodes.
package discovery
