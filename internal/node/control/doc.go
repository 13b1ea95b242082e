// Package control carries the durable state's service between nodes: proposals, linearizable reads, configuration leases
// and joining. Server answers on each node and does the work on the leader; Client finds the leader; Renewer keeps a
// node's configuration current.
package control
