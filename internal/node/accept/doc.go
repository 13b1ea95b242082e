// Package accept bounds the open connections of a port, so that callers can't take all descriptors of the process.
//
// Invariants:
//   - At most Config.Limit connections are open, and one more while room is made for it.
//   - An error of accepting that passes, such as a lack of descriptors, does not end the port.
package accept
