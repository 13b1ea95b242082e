// Package status defines the status that a node reports to the operator about itself and the cluster. Package server
// fills it in, and the command line prints it.
package status
