// Package routing implements the routing configuration of a deployment: which requests go to which service, and under
// which limits.
//
// Config is one version of the configuration, Index looks up the route of a request, Table is the camphorhinge.Machine
// that stores the newest version, and Delta is the difference between two versions that is sent to entry nodes.
package routing
