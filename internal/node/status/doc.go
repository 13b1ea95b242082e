// Package status declares what a node says of itself and of the cluster to the operator. It holds no logic: package server
// fills it in, and the command line prints it.
package status
