// Package clock provides the monotonic clock of the operating system that includes the time for which a VM is
// suspended.
package clock
