// Package relay forwards TCP connections and injects network faults between processes: cut, silent, one-way and slow
// connections. Faults are set through an HTTP control port.
package relay
