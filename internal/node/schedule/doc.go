// Package schedule places the model requests of all entry nodes on one core node, since a single entry node does not
// see the work that the others send to an engine.
//
// The core node's Scheduler holds the Placer that all entry nodes call; it tracks each engine's outstanding prefill
// work and cached prompt segments. Its state is not durable: an entry node that gets no answer in time places the
// request from its local state, and switches to the next core node after repeated failures.
//
// The placements of an entry node belong to a session, which has a number for each start of the entry node's process
// and each core node. The entry node begins a new session when it has dropped events, and the core node then ends the
// placements of the earlier one, since their end events may be among those lost.
package schedule
