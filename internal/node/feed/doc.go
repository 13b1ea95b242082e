// Package feed distributes the data that routing needs from core nodes to entry nodes: the targets, the routing
// configuration, the number of entry nodes and the crash scores.
//
// Each entry node watches every core node by long polling: a call returns when there are changes. Changes thus arrive
// through the fastest core node, and a failed or unreachable core node delays nothing. The configuration of an entry
// node never returns to a lower version.
package feed
