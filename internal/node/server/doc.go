// Package server assembles the processes of a node: its ports, its copy of the configuration, the replica of the
// durable state if the node has a data folder, and the graceful shutdown, called planned stop. Server is the process
// of the command serve, which unites all roles; Core and Entry are the processes of core and entry nodes.
package server
