// Package workload tells the lease holder the mix of prompt and output tokens that callers ask for.
//
// A Meter counts on each node. Its reports travel in the renewals of the configuration lease. The Collector on the lease
// holder adds them up to samples of the demand, from which package role decides.
//
// Demand is what callers ask for, not what was served: prompt tokens count when a request arrives, and output tokens are
// the number of requests times the mean output of recent complete answers. Requests that were shed or found no target
// are thus part of it. Requests over their workspace's limit are not, since no engine will ever serve them.
//
// Invariants:
//   - Each report counts once, however often it arrives.
//   - After a change of leader the history begins empty, and role.Decide changes no role until it is long enough.
package workload
