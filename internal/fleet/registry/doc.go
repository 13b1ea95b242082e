// Package registry holds one node's view of the live targets: it decodes announcements, keeps the newest of each target,
// expires targets that stopped renewing, and says which announcements to pass on to other nodes.
//
// Times between processes travel as ages, since no two processes share a clock.
package registry
