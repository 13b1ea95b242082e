// Package routing holds the routing configuration of a deployment: which requests go to which service, under which limits.
//
// Config is one version of it, Index finds the route of a request, Table is the camphorhinge.Machine that keeps the newest
// version, and Delta is the difference between two versions as it travels to the entry nodes.
package routing
