// Package control serves the replicated state between nodes: proposals, linearizable reads, configuration leases and
// joining. Server runs on each node and does the work on the leader; Client finds the leader; Renewer keeps a node's
// configuration current.
package control
