// Package schedule places model requests with a view of the work of all entry nodes.
//
// One core node's Scheduler holds the Placer that all entry nodes call; it tracks each engine's outstanding prefill
// work and cached prompt segments. Its state is not durable: an entry node that gets no answer in time places the
// request from its local state, and switches to the next core node after repeated failures.
package schedule
