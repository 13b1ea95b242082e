// Package load sends requests as callers behind the platform's balancer do, checks each answer, and compares what callers
// were told with what the stand-in targets counted.
package load
