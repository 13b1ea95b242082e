// Package registry keeps one node's view of the live targets: it decodes announcements, keeps the newest of each
// target, expires targets that no longer renew, and returns the announcements to forward to other nodes.
//
// Processes exchange ages instead of times, since no two of them share a clock.
package registry
