// Package load generates requests like callers behind the platform's load balancer, checks each answer, and compares
// the reported outcomes with the counters of the stand-in targets.
package load
