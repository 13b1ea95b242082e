// Package site simulates a site in the virtual time of a synctest bubble: entry nodes, core nodes and engines in one
// process, connected by pipes.
//
// The forwarding, placement, distribution and quarantine of the nodes are the product's own code. The replicated log is
// a stand-in that applies each command at once on all core nodes that can be reached. Nodes can be restarted, cut off
// and frozen, the leader and the node that places requests can change, and engines show the troubles of Trouble.
package site
