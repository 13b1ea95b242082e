// Package relay passes TCP connections on and injects faults of the network between processes: cut, silent, one-way and
// slow connections. The faults are told over a small HTTP control port.
package relay
