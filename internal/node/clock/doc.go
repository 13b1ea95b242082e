// Package clock reads the monotonic clock of the operating system that counts suspended time.
package clock
