// Package workload collects on the lease holder the workload of each model service: the prompt-to-output mix of the
// tokens that callers request.
//
// A Meter counts on each node. Its reports are carried by the renewals of the configuration lease. The Collector on the
// lease holder sums them into samples of the demand, from which package role decides.
//
// Demand is what callers request, not what was served: prompt tokens count when a request arrives, and output tokens
// are the number of requests times the mean output of recent complete answers. Requests that were shed or found no
// target are thus included. Requests over their workspace's limit are not, since no engine will ever serve them.
//
// Invariants:
//   - Each report counts once, however often it arrives.
//   - After a change of leader the history is empty, and role.Decide changes no role until it is long enough.
package workload
