// Package feed brings to the entry nodes what routing needs: the targets, the routing configuration, the other entry nodes
// and the crash counts.
//
// Each entry node watches each core node with a call that is held until there is news. News thus comes by the fastest core
// node, and a core node that is lost or cut off delays nothing. A node's configuration never goes back to a lower version.
package feed
